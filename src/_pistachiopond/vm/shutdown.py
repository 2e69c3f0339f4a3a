"""Graceful shutdown: the load balancer notices, requests drain, the process exits."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from _pistachiopond.http1.server import ServerConnection
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import Route

# The load balancer probes every second and removes a VM after two failures; until then
# new callers arrive.
BALANCER_NOTICE_S: Final = 3.2
# A stream that starts later than this after SIGTERM might outlast the grace period. It
# is refused, so that its caller can retry at another VM in time.
LAST_STREAM_START_S: Final = 2.6
# Other requests are refused if less than this is left of the grace period; they end
# within this time.
MIN_REQUEST_TIME_S: Final = 2.5
# What is left of the grace period when requests in progress are ended, and when the
# process exits even with open connections.
CANCEL_TIME_LEFT_S: Final = 1.0
EXIT_TIME_LEFT_S: Final = 0.5
CHECK_PERIOD_S: Final = 0.05


@final
class Shutdown:
    """Tracks whether the process is stopping, and drains its requests."""

    def __init__(self, grace_s: float, now_s: Callable[[], float]) -> None:
        """Start in the running state.

        Parameters
        ----------
        grace_s : float
            The grace period, from SIGTERM to SIGKILL.
        now_s : callable
            The event loop's time in seconds.
        """
        self._grace_s = grace_s
        self._now_s = now_s
        self._started_s: float | None = None
        self.request_timeouts: set[asyncio.Timeout] = set()

    def set_grace_s(self, grace_s: float) -> None:
        """Set the grace period, from SIGTERM to SIGKILL."""
        self._grace_s = grace_s

    def begin(self) -> None:
        """Start the shutdown, at SIGTERM."""
        self._started_s = self._now_s()

    def has_begun(self) -> bool:
        """Return whether the shutdown has started."""
        return self._started_s is not None

    def refuses(self, route: Route) -> bool:
        """Return whether a request for the route is too late to finish in time."""
        if self._started_s is None:
            return False
        elapsed_s = self._now_s() - self._started_s
        if route.kind == "stream":
            return elapsed_s > LAST_STREAM_START_S
        return elapsed_s > self._grace_s - MIN_REQUEST_TIME_S

    async def drain(self, connections: set[ServerConnection]) -> None:
        """Wait for all requests to end; end the rest before the grace period is over.

        Idle connections are closed only after the load balancer has had time to
        notice the shutdown, but no later than after half of the grace period.
        """
        assert self._started_s is not None
        while self._elapsed_s() < self._grace_s - CANCEL_TIME_LEFT_S:
            await asyncio.sleep(CHECK_PERIOD_S)
            if self._elapsed_s() < min(BALANCER_NOTICE_S, self._grace_s / 2):
                continue
            for connection in list(connections):
                if connection.is_idle():
                    connection.close_after_response()
            if not connections:
                break
        cut_off = len(self.request_timeouts)
        for timeout in list(self.request_timeouts):
            timeout.reschedule(self._now_s())
        while connections and self._elapsed_s() < self._grace_s - EXIT_TIME_LEFT_S:
            await asyncio.sleep(CHECK_PERIOD_S)
        log_change("drained", seconds=round(self._elapsed_s(), 2), cut_off=cut_off)

    def _elapsed_s(self) -> float:
        assert self._started_s is not None
        return self._now_s() - self._started_s
