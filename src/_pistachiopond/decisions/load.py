"""How busy each backend server is, from own work in flight and late reports.

Many entry daemons share a server without talking to each other. Each bounds its
own work in flight by a window that follows the first-token delay and the gap
between tokens that it observes, and estimates the work of the others from the
server's report, less its own part, with less weight the older the report is.
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
SHRINK_FACTOR: Final = 0.95
GROWTH: Final = 2.0
BATCH_PART: Final = 0.4
OVER_SHARE_PART: Final = 0.7
URGENT_EXTRA: Final = 1
SHRINK_PERIOD_S: Final = 0.5
SERVER_TOKENS_PER_S: Final = 4_000.0


@final
class ServerLoad:
    """What one entry daemon knows of one backend server's load."""

    def __init__(self, *, is_adaptive: bool) -> None:
        self._is_adaptive = is_adaptive
        self._window = INITIAL_WINDOW
        self._shrunk_at_s = -math.inf
        self._running: dict[str, tuple[float, float]] = {}
        self._foreign_tokens = 0.0
        self._reported_at_s = -math.inf
        self.paused_until_s = -math.inf

    @property
    def in_flight(self) -> int:
        """How many attempts of this entry daemon run there."""
        return len(self._running)

    @property
    def window(self) -> float:
        """How many attempts this entry daemon may run there at once."""
        return self._window

    def has_room(
        self, urgency: Urgency, now_s: float, *, is_over_share: bool = False
    ) -> bool:
        """Return whether one more attempt of that class may start now.

        Batch work, and customers above their share, leave a part of the window
        free, so that the next request of another finds room at once.
        """
        if now_s < self.paused_until_s:
            return False
        if not self._is_adaptive:
            return True
        limit = int(self._window)
        if urgency == "batch":
            limit = max(1, int(BATCH_PART * self._window))
        elif is_over_share:
            limit = max(1, int(OVER_SHARE_PART * self._window))
        elif urgency == "urgent":
            limit += URGENT_EXTRA
        return len(self._running) < limit

    def started(self, request_id: str, tokens: float, now_s: float) -> None:
        """Note an attempt that starts with that much work in tokens."""
        self._running[request_id] = (now_s, tokens)

    def ended(self, request_id: str) -> None:
        """Note that an attempt has ended."""
        self._running.pop(request_id, None)

    def reported(self, queued_tokens: float, age_s: float, now_s: float) -> None:
        """Take the server's report, made `age_s` before `now_s`."""
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
        self._foreign_tokens = max(0.0, queued_tokens - own)
        self._reported_at_s = reported_at_s

    def foreign_tokens(self, now_s: float, usual_tokens: float) -> float:
        """Return the estimated work of others.

        Parameters
        ----------
        now_s : float
            The time in seconds.
        usual_tokens : float
            What to expect of a server of which nothing is known; an old report
            fades towards it.
        """
        trust = math.exp(-(now_s - self._reported_at_s) / REPORT_DECAY_S)
        return usual_tokens + trust * (self._foreign_tokens - usual_tokens)

    def last_foreign_tokens(self) -> float:
        """Return the work of others at the last report."""
        return self._foreign_tokens

    def own_tokens(self) -> float:
        """Return the work of this entry daemon there, as estimated at its start."""
        return sum(tokens for _, tokens in self._running.values())

    def first_token(self, delay_s: float, now_s: float) -> None:
        """Adapt the window to an observed first-token delay."""
        self._adapt(delay_s <= FIRST_TOKEN_LIMIT_S, now_s)

    def token_gap(self, gap_s: float, now_s: float) -> None:
        """Adapt the window to an observed time between tokens."""
        if gap_s > TOKEN_GAP_LIMIT_S:
            self._adapt(False, now_s)

    def overloaded(self, pause_s: float, now_s: float) -> None:
        """Note that the server refused work for that long."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)
        self._adapt(False, now_s)

    def restart(self) -> None:
        """Begin again with the smallest window, after a failure."""
        self._window = MIN_WINDOW

    def _adapt(self, is_fast: bool, now_s: float) -> None:
        if is_fast:
            if len(self._running) + 1 >= int(self._window):
                self._window = min(MAX_WINDOW, self._window + GROWTH / self._window)
            return
        if now_s - self._shrunk_at_s >= SHRINK_PERIOD_S:
            self._shrunk_at_s = now_s
            self._window = max(MIN_WINDOW, self._window * SHRINK_FACTOR)
