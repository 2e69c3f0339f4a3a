"""Pools of persistent connections to the backend servers."""

from collections.abc import Callable
from functools import partial
from typing import Final, final

from _pistachiopond.decisions.attempt_policy import is_repeatable
from _pistachiopond.http1.pool import ConnectionPool, ConnectOutcome
from _pistachiopond.schema.deployment import BackendServer, Route, ServiceSpec
from _pistachiopond.vm.excessive_messages import RecordExcess, ignore_excess_at

# A reachable server accepts within a few milliseconds; TCP sends a lost SYN again after
# one second.
CONNECT_TIMEOUT_S: Final = 1.2
# The longer a connection has been idle, the likelier its server is about to close it.
# A request that must not run twice is sent only on a connection that was idle for less
# than this.
MAX_IDLE_SINGLE_RUN_S: Final = 2.5
# Lower bound of a service's idle limit, which is lowered if its servers close idle
# connections early.
MIN_IDLE_SINGLE_RUN_S: Final = 0.5
# A connection that the server had already closed is reset within a round trip after
# the request is sent. A reset after more than this may be a crash of the server.
IMMEDIATE_RESET_S: Final = 0.03
# When a connection is found closed, its service's idle limit becomes this share of the
# time for which the connection was idle.
SAFE_IDLE_SHARE: Final = 0.6
# How fast a lowered idle limit rises again, in seconds per second.
IDLE_LIMIT_RECOVERY_RATE: Final = 0.02
# A VM opens up to this multiple of its equal share of a server's connections. Callers'
# load is uneven over VMs, and a server accepts fewer connections while its queue is
# long.
CONNECTION_OVERCOMMIT: Final = 1.5
MIN_CONNECTIONS: Final = 4


def ignore_bytes_of(server: BackendServer) -> None:
    """Ignore when bytes arrive from a server."""


@final
class ServerPools:
    """One connection pool for each incarnation of a backend server."""

    def __init__(
        self,
        now_s: Callable[[], float],
        on_connect: Callable[[BackendServer, ConnectOutcome], None],
        on_excess: RecordExcess = ignore_excess_at,
        on_bytes: Callable[[BackendServer], None] = ignore_bytes_of,
    ) -> None:
        """Start without pools.

        Parameters
        ----------
        now_s : callable
            The monotonic time in seconds.
        on_connect : callable
            Called with a server and the outcome of opening a connection to it.
        on_excess : callable
            Called with a server's address when its response exceeds a bound.
        on_bytes : callable
            Called with a server whenever bytes arrive from it.
        """
        self._now_s = now_s
        self._on_connect = on_connect
        self._on_excess = on_excess
        self._on_bytes = on_bytes
        self._pools: dict[tuple[str, int], ConnectionPool] = {}
        self._idle_limits_s: dict[str, float] = {}

    def pool_of(self, server: BackendServer) -> ConnectionPool:
        """Return the pool of one incarnation of a server."""
        key = server.incarnation()
        pool = self._pools.get(key)
        if pool is None:
            pool = ConnectionPool(
                server.address,
                self._now_s,
                CONNECT_TIMEOUT_S,
                partial(self._on_connect, server),
                partial(self._on_excess, server.address),
                on_bytes=partial(self._on_bytes, server),
            )
            self._pools[key] = pool
        return pool

    def max_idle_s(self, route: Route, service: str) -> float | None:
        """Return the idle limit of connections for the route; None for no limit."""
        if is_repeatable(route):
            return None
        return self._idle_limits_s.get(service, MAX_IDLE_SINGLE_RUN_S)

    def record_reset(self, service: str, idle_s: float, after_s: float) -> None:
        """Lower the service's idle limit if an idle connection was found closed.

        Parameters
        ----------
        service : str
            The server's service; its servers are assumed to use one idle timeout.
        idle_s : float
            How long the connection had been idle.
        after_s : float
            Time from sending the request to the end of the connection.
        """
        if after_s > IMMEDIATE_RESET_S or idle_s < MIN_IDLE_SINGLE_RUN_S:
            return
        limit_s = max(MIN_IDLE_SINGLE_RUN_S, idle_s * SAFE_IDLE_SHARE)
        known_s = self._idle_limits_s.get(service, MAX_IDLE_SINGLE_RUN_S)
        self._idle_limits_s[service] = min(known_s, limit_s)

    def relax_idle_limits(self, elapsed_s: float) -> None:
        """Raise lowered idle limits gradually back to the default."""
        for service, limit_s in list(self._idle_limits_s.items()):
            self._idle_limits_s[service] = (
                limit_s + IDLE_LIMIT_RECOVERY_RATE * elapsed_s
            )
            if self._idle_limits_s[service] >= MAX_IDLE_SINGLE_RUN_S:
                del self._idle_limits_s[service]

    def close_unused(
        self,
        servers: dict[str, BackendServer],
        services: dict[str, ServiceSpec],
        members: int,
    ) -> None:
        """Close expired connections and pools of removed servers; update limits.

        Parameters
        ----------
        servers : dict of str to BackendServer
            The registered servers.
        services : dict of str to ServiceSpec
            The services, with the connections that one server accepts from all VMs.
        members : int
            The number of VMs.
        """
        kept = {server.incarnation(): server for server in servers.values()}
        for key, pool in list(self._pools.items()):
            pool.close_expired()
            service = services.get(kept[key].service) if key in kept else None
            if service is not None and service.max_connections:
                share = (
                    service.max_connections * CONNECTION_OVERCOMMIT / max(1, members)
                )
                pool.max_open = max(MIN_CONNECTIONS, int(share))
            if key not in kept:
                pool.close()
                if pool.open_connections == 0:
                    del self._pools[key]
