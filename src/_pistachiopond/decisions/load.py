"""Estimates the load of a backend server and limits the requests sent to it.

Many entry daemons share a server without coordinating. Each limits its own requests
in flight by a concurrency window (additive increase, multiplicative decrease) driven
by the first-token delay and the time between tokens that it observes. It estimates
the load from other daemons by subtracting its own requests from the server's report;
the older the report, the less it counts.
"""

import math
from typing import Final, final

from _pistachiopond.schema.manifest import Urgency

FIRST_TOKEN_LIMIT_S: Final = 0.30
TOKEN_GAP_LIMIT_S: Final = 0.0288
REPORT_DECAY_S: Final = 3.0
INITIAL_WINDOW: Final = 8.0
MIN_WINDOW: Final = 1.0
MAX_WINDOW: Final = 256.0
WINDOW_SHRINK_FACTOR: Final = 0.95
WINDOW_GROWTH: Final = 2.0
BATCH_WINDOW_SHARE: Final = 0.4
OVER_SHARE_WINDOW_SHARE: Final = 0.7
URGENT_EXTRA_SLOTS: Final = 1
MIN_SHRINK_INTERVAL_S: Final = 0.5
SERVER_TOKENS_PER_S: Final = 4_000.0


@final
class ServerLoad:
    """One entry daemon's estimate of the load of one backend server."""

    def __init__(self, *, is_adaptive: bool) -> None:
        self._is_adaptive = is_adaptive
        self._window = INITIAL_WINDOW
        self._shrunk_at_s = -math.inf
        self._running: dict[str, tuple[float, float]] = {}
        self._others_tokens = 0.0
        self._reported_at_s = -math.inf
        self.paused_until_s = -math.inf

    @property
    def in_flight(self) -> int:
        """The number of this daemon's attempts that run on the server."""
        return len(self._running)

    @property
    def window(self) -> float:
        """The maximum number of this daemon's attempts in flight on the server."""
        return self._window

    def has_room(
        self, urgency: Urgency, now_s: float, *, is_over_share: bool = False
    ) -> bool:
        """Return whether one more attempt of that class may start now.

        Batch requests, and those of customers above their fair share, may use only
        part of the window, so that the next request of another customer starts at
        once. Urgent requests may exceed the window.
        """
        if now_s < self.paused_until_s:
            return False
        if not self._is_adaptive:
            return True
        limit = int(self._window)
        if urgency == "batch":
            limit = max(1, int(BATCH_WINDOW_SHARE * self._window))
        elif is_over_share:
            limit = max(1, int(OVER_SHARE_WINDOW_SHARE * self._window))
        elif urgency == "urgent":
            limit += URGENT_EXTRA_SLOTS
        return len(self._running) < limit

    def started(self, request_id: str, tokens: float, now_s: float) -> None:
        """Record the start of an attempt with its estimated cost in tokens."""
        self._running[request_id] = (now_s, tokens)

    def ended(self, request_id: str) -> None:
        """Record that an attempt has ended."""
        self._running.pop(request_id, None)

    def reported(self, queued_tokens: float, age_s: float, now_s: float) -> None:
        """Update the estimate from a server report made `age_s` before `now_s`.

        Reports older than the last one are ignored.
        """
        reported_at_s = now_s - age_s
        if reported_at_s < self._reported_at_s:
            return
        own = 0.0
        if self._running:
            own = sum(
                tokens
                for started_s, tokens in self._running.values()
                if started_s <= reported_at_s
            )
        self._others_tokens = max(0.0, queued_tokens - own)
        self._reported_at_s = reported_at_s

    def others_tokens(self, now_s: float, mean_tokens: float) -> float:
        """Return the estimated load from other daemons, in tokens.

        Parameters
        ----------
        now_s : float
            The time in seconds.
        mean_tokens : float
            The mean over all servers. The estimate decays towards it as the report
            ages.
        """
        report_weight = math.exp(-(now_s - self._reported_at_s) / REPORT_DECAY_S)
        return mean_tokens + report_weight * (self._others_tokens - mean_tokens)

    def last_others_tokens(self) -> float:
        """Return the load from other daemons at the last report, in tokens."""
        return self._others_tokens

    def own_tokens(self) -> float:
        """Return the estimated cost of this daemon's attempts in flight, in tokens."""
        return sum(tokens for _, tokens in self._running.values())

    def record_first_token(self, delay_s: float, now_s: float) -> None:
        """Adapt the window to an observed first-token delay."""
        self._adapt_window(delay_s <= FIRST_TOKEN_LIMIT_S, now_s)

    def record_token_gap(self, gap_s: float, now_s: float) -> None:
        """Adapt the window to an observed time between tokens."""
        if gap_s > TOKEN_GAP_LIMIT_S:
            self._adapt_window(False, now_s)

    def record_overload(self, pause_s: float, now_s: float) -> None:
        """Pause sending for that long, after the server refused an attempt."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)
        self._adapt_window(False, now_s)

    def reset_window(self) -> None:
        """Reduce the window to its minimum, after the server was ejected."""
        self._window = MIN_WINDOW

    def _adapt_window(self, is_fast: bool, now_s: float) -> None:
        if is_fast:
            if len(self._running) + 1 >= int(self._window):
                self._window = min(
                    MAX_WINDOW, self._window + WINDOW_GROWTH / self._window
                )
            return
        if now_s - self._shrunk_at_s >= MIN_SHRINK_INTERVAL_S:
            self._shrunk_at_s = now_s
            self._window = max(MIN_WINDOW, self._window * WINDOW_SHRINK_FACTOR)
