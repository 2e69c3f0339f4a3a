"""How the process stops: the balancer notices, then requests end, then it exits."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from _pistachiopond.http1.server import ServerConnection
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import Route

# The balancer asks each second and takes a VM out after two misses; new callers come
# until then.
NOTICE_S: Final = 3.2
# A stream that is taken later than this might outlast the grace; its caller is sent
# elsewhere while it can still be served there.
LAST_STREAM_S: Final = 2.6
# Other requests end within this time.
LAST_REQUEST_LEFT_S: Final = 2.5
# Left of the grace when requests in progress are ended, and for the exit itself.
END_LEFT_S: Final = 1.0
EXIT_LEFT_S: Final = 0.5
CHECK_S: Final = 0.05


@final
class Stopping:
    """Whether the process stops, and what it may still take and finish."""

    def __init__(self, grace_s: float, now_s: Callable[[], float]) -> None:
        """Start as a process that is not stopping.

        Parameters
        ----------
        grace_s : float
            From SIGTERM to SIGKILL.
        now_s : callable
            The event loop's time in seconds.
        """
        self._grace_s = grace_s
        self._now_s = now_s
        self._began_s: float | None = None
        self.running: set[asyncio.Timeout] = set()

    def set_grace_s(self, grace_s: float) -> None:
        """Note how long the process has from SIGTERM to SIGKILL."""
        self._grace_s = grace_s

    def begin(self) -> None:
        """Note that SIGTERM has come."""
        self._began_s = self._now_s()

    def has_begun(self) -> bool:
        """Return whether the process stops."""
        return self._began_s is not None

    def refuses(self, route: Route) -> bool:
        """Return whether a request for the route comes too late to be finished."""
        if self._began_s is None:
            return False
        elapsed_s = self._now_s() - self._began_s
        if route.kind == "stream":
            return elapsed_s > LAST_STREAM_S
        return elapsed_s > self._grace_s - LAST_REQUEST_LEFT_S

    async def drain(self, connections: set[ServerConnection]) -> None:
        """Return once all requests have ended, or the grace is almost over."""
        assert self._began_s is not None
        while self._elapsed_s() < self._grace_s - END_LEFT_S:
            await asyncio.sleep(CHECK_S)
            if self._elapsed_s() < min(NOTICE_S, self._grace_s / 2):
                continue
            for connection in list(connections):
                if connection.is_idle():
                    connection.close_after_answer()
            if not connections:
                break
        cut_off = len(self.running)
        for limit in list(self.running):
            limit.reschedule(self._now_s())
        while connections and self._elapsed_s() < self._grace_s - EXIT_LEFT_S:
            await asyncio.sleep(CHECK_S)
        log_change("drained", seconds=round(self._elapsed_s(), 2), cut_off=cut_off)

    def _elapsed_s(self) -> float:
        assert self._began_s is not None
        return self._now_s() - self._began_s
