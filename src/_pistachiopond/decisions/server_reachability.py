"""Decides whether a service's servers are reachable from this VM.

Load that this answers: the network between this VM and all servers of a service fails,
while callers, the other VMs and the store still reach it. Each request would find that
out by itself, one server after another, until its deadline. So the outcomes of new
connections are shared: once several servers have failed and none has accepted since,
the service counts as unreachable from here and other VMs forward its requests.

Only new connections count. Established ones may live on while new ones fail, and one
that fails says little about other servers.
"""

from typing import Final, final

# A single server that does not accept connections may have crashed.
MIN_FAILED_SERVERS: Final = 2
# Failures older than this no longer count. Longer than two connection timeouts, so that
# a VM with little traffic still sees several.
FAILURE_MEMORY_S: Final = 3.0
# Pause between two rounds of probes of a service.
PROBE_PERIOD_S: Final = 0.5


@final
class _ServiceState:
    def __init__(self) -> None:
        self.failed_s: dict[str, float] = {}
        self.unreachable_since_s: float | None = None
        self.probed_s = float("-inf")

    def is_unreachable(self) -> bool:
        """Return whether the service is unreachable."""
        return self.unreachable_since_s is not None


@final
class Reachability:
    """Tracks the failures to connect to the servers of each service.

    A service has state only while one of its servers has failed recently or it is
    unreachable.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceState] = {}

    def connect_failed(
        self, service: str, server_id: str, server_count: int, now_s: float
    ) -> bool:
        """Record a failed or slow attempt to connect to a server.

        Parameters
        ----------
        service : str
            The server's service.
        server_id : str
            The server.
        server_count : int
            The number of servers of the service.
        now_s : float
            The time in seconds.

        Returns
        -------
        bool
            Whether the service has become unreachable.
        """
        state = self._services.setdefault(service, _ServiceState())
        state.failed_s[server_id] = now_s
        self._forget_old(state, now_s)
        required = min(MIN_FAILED_SERVERS, max(1, server_count))
        if state.is_unreachable() or len(state.failed_s) < required:
            return False
        state.unreachable_since_s = now_s
        return True

    def connected(self, service: str) -> bool:
        """Record a new connection; return whether the service was unreachable."""
        state = self._services.pop(service, None)
        return state is not None and state.is_unreachable()

    def is_unreachable(self, service: str) -> bool:
        """Return whether requests for the service should go through another VM."""
        state = self._services.get(service)
        return state is not None and state.is_unreachable()

    def unreachable(self) -> frozenset[str]:
        """Return the services that are unreachable."""
        return frozenset(
            name for name, state in self._services.items() if state.is_unreachable()
        )

    def unreachable_for_s(self, now_s: float) -> float:
        """Return for how long some service has been unreachable; 0 if none is."""
        since_s = [
            state.unreachable_since_s
            for state in self._services.values()
            if state.unreachable_since_s is not None
        ]
        return now_s - min(since_s) if since_s else 0.0

    def start_probes(self, now_s: float) -> dict[str, frozenset[str]]:
        """Return the services to probe now, each with its servers that have failed.

        A service is probed while it is unreachable, and also after a first failure,
        which tells a crashed server from an unreachable service.
        """
        due: dict[str, frozenset[str]] = {}
        for service, state in list(self._services.items()):
            self._forget_old(state, now_s)
            if not state.failed_s and not state.is_unreachable():
                del self._services[service]
            elif now_s - state.probed_s >= PROBE_PERIOD_S:
                state.probed_s = now_s
                due[service] = frozenset(state.failed_s)
        return due

    def _forget_old(self, state: _ServiceState, now_s: float) -> None:
        state.failed_s = {
            name: failed_s
            for name, failed_s in state.failed_s.items()
            if now_s - failed_s <= FAILURE_MEMORY_S
        }
