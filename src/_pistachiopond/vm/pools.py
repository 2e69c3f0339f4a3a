"""Kept connections to all backend servers."""

from collections.abc import Callable
from typing import Final, final

from _pistachiopond.decisions.attempt_policy import is_repeatable
from _pistachiopond.http1.pool import ConnectionPool
from _pistachiopond.schema.deployment import BackendServer, Route, ServiceSpec

# A server in reach answers within a few milliseconds; a lost opening packet is sent
# again after a second.
CONNECT_LIMIT_S: Final = 1.2
# The longer a connection has been idle, the likelier its server is about to close it;
# a request that must not run twice is not sent into that.
MAX_IDLE_ONCE_S: Final = 2.5
# Where servers close such connections without notice, this is the least.
MIN_IDLE_ONCE_S: Final = 0.5
# A connection that was closed before is reset as soon as a request comes, within the
# time of a round trip; a server that crashes resets it at any time.
RESET_AT_ONCE_S: Final = 0.03
# Of the time after which one was found closed.
SAFE_IDLE_SHARE: Final = 0.6
# How fast a limit that was lowered rises again, in seconds for each second.
IDLE_RECOVERY: Final = 0.02
# Of a server's connections; callers' load is uneven over VMs, and a server accepts
# fewer while its queue is long.
CONNECTION_SHARE: Final = 1.5
MIN_CONNECTIONS: Final = 4


@final
class ServerPools:
    """A pool for each server that runs."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._pools: dict[tuple[str, int], ConnectionPool] = {}
        self._idle_once_s: dict[str, float] = {}

    def of(self, server: BackendServer) -> ConnectionPool:
        """Return the pool of one incarnation of a server."""
        key = server.incarnation()
        pool = self._pools.get(key)
        if pool is None:
            pool = ConnectionPool(server.address, self._now_s, CONNECT_LIMIT_S)
            self._pools[key] = pool
        return pool

    def max_idle_s(self, route: Route, service: str) -> float | None:
        """Return how long a connection for the route may have been idle."""
        if is_repeatable(route):
            return None
        return self._idle_once_s.get(service, MAX_IDLE_ONCE_S)

    def was_reset(self, service: str, idle_s: float, after_s: float) -> None:
        """Learn from a kept connection that ended without an answer.

        Parameters
        ----------
        service : str
            Whose servers close connections alike.
        idle_s : float
            How long it had been idle.
        after_s : float
            From the sending of the request to the end of the connection.
        """
        if after_s > RESET_AT_ONCE_S or idle_s < MIN_IDLE_ONCE_S:
            return
        limit_s = max(MIN_IDLE_ONCE_S, idle_s * SAFE_IDLE_SHARE)
        known_s = self._idle_once_s.get(service, MAX_IDLE_ONCE_S)
        self._idle_once_s[service] = min(known_s, limit_s)

    def recover(self, elapsed_s: float) -> None:
        """Let limits that were lowered rise again."""
        for service, limit_s in list(self._idle_once_s.items()):
            self._idle_once_s[service] = limit_s + IDLE_RECOVERY * elapsed_s
            if self._idle_once_s[service] >= MAX_IDLE_ONCE_S:
                del self._idle_once_s[service]

    def tidy(
        self,
        servers: dict[str, BackendServer],
        services: dict[str, ServiceSpec],
        members: int,
    ) -> None:
        """Close idle connections, and the pools of servers that are gone.

        Parameters
        ----------
        servers : dict of str to BackendServer
            Those that run.
        services : dict of str to ServiceSpec
            With how many connections a server accepts from all VMs together.
        members : int
            How many VMs there are.
        """
        kept = {server.incarnation(): server for server in servers.values()}
        for key, pool in list(self._pools.items()):
            pool.close_old()
            service = services.get(kept[key].service) if key in kept else None
            if service is not None and service.max_connections:
                share = service.max_connections * CONNECTION_SHARE / max(1, members)
                pool.max_open = max(MIN_CONNECTIONS, int(share))
            if key not in kept:
                pool.close()
                if pool.open_count == 0:
                    del self._pools[key]
