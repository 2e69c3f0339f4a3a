"""Which services this VM reaches, learned from connections and from probes."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from typing import final

from _pistachiopond.decisions.evacuation import may_get_work
from _pistachiopond.decisions.server_reachability import Reachability
from _pistachiopond.http1.client import ExchangeError
from _pistachiopond.http1.pool import ConnectOutcome
from _pistachiopond.observe.containment import start_contained
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import BackendServer, Incarnation
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet
from _pistachiopond.vm.server_pools import ServerPools


@final
class ServerReach:
    """Records the outcomes of connections to servers, and probes after failures."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._reachability = Reachability()
        self._probes: set[asyncio.Task[None]] = set()
        self._rng = random.Random()
        self.on_proof: Callable[[], None] = _ignore_proof

    def record_connect(self, server: BackendServer, outcome: ConnectOutcome) -> None:
        """Record the outcome of opening a connection to a server."""
        service = server.service
        if outcome == "connected":
            self._fleet.connected(server)
            if self._reachability.connected(service):
                if self._fleet.refusals.forget_unproved(service):
                    self._fleet.wake_waiters()
                log_change(
                    "service reachable again", service=service, server=server.server_id
                )
            return
        if not may_get_work(server, self._fleet.evacuated):
            # Nothing is sent there, so it does not matter whether it can be reached.
            return
        if outcome == "refused" and self._fleet.connection_refused(server):
            log_change("server refuses connections", server=server.server_id)
            self.on_proof()
        refusals = self._fleet.refusals
        if refusals.is_proved(server.incarnation()):
            # It refuses while others accept, which says nothing about the network.
            return
        server_count = sum(
            not refusals.is_proved(item.incarnation())
            for item in self._fleet.staying_servers(service)
        )
        if self._reachability.connect_failed(
            service, server.server_id, server_count, boot_s()
        ):
            log_change(
                "service unreachable from this VM",
                service=service,
                last_server=server.server_id,
                servers=server_count,
            )
            # Requests that wait for a model may go through another VM now.
            self._fleet.wake_waiters()

    def is_unreachable(self, service: str) -> bool:
        """Return whether requests for the service should go through another VM."""
        return self._reachability.is_unreachable(service)

    def unreachable(self) -> frozenset[str]:
        """Return the services that this VM does not reach."""
        return self._reachability.unreachable()

    def unreachable_for_s(self) -> float:
        """Return for how long some service has been unreachable; 0 if none is."""
        return self._reachability.unreachable_for_s(boot_s())

    def refusing(self) -> list[Incarnation]:
        """Return the servers that are proved to refuse this VM's connections."""
        return self._fleet.refusals.proved()

    def suspect(self, incarnations: Iterable[Incarnation]) -> None:
        """Have servers checked that may have crashed, unless they serve this VM."""
        for incarnation in incarnations:
            is_current = self._fleet.current(incarnation) is not None
            if is_current and not self._fleet.own_load.get(incarnation[0]):
                self._fleet.refusals.suspect(incarnation)

    def probe(self, pools: ServerPools) -> None:
        """Open connections to servers that may be unreachable or have crashed."""
        self._probe_services(pools)
        for incarnation in self._fleet.refusals.start_checks(boot_s()):
            server = self._fleet.current(incarnation)
            if server is not None and not self.is_unreachable(server.service):
                self._start_probe(self._check_server(pools, server))

    def _probe_services(self, pools: ServerPools) -> None:
        for service, failed in self._reachability.start_probes(boot_s()).items():
            servers = self._fleet.staying_servers(service)
            # Where all servers are evacuated, they still show whether the links work.
            servers = servers or list(self._fleet.servers_of(service))
            others = [item for item in servers if item.server_id not in failed]
            if others or servers:
                server = self._rng.choice(others or servers)
                self._start_probe(self._probe_server(pools, server))

    def _start_probe(self, work: Coroutine[None, None, object]) -> None:
        start_contained("probe", work, self._probes)

    async def _check_server(self, pools: ServerPools, server: BackendServer) -> None:
        """Find out whether a server refuses connections while another accepts."""
        refusals, incarnation = self._fleet.refusals, server.incarnation()
        is_suspected_only = not refusals.is_refusing(incarnation)
        if is_suspected_only and pools.pool_of(server).has_idle():
            return
        is_accepted = await _is_accepting(pools, server)
        if is_accepted or not refusals.is_refusing(incarnation):
            return
        others = [
            item
            for item in self._fleet.staying_servers(server.service)
            if not refusals.is_refusing(item.incarnation())
        ]
        if others and not refusals.is_proved(incarnation):
            if await _is_accepting(pools, self._rng.choice(others)):
                await _is_accepting(pools, server)

    async def _probe_server(self, pools: ServerPools, server: BackendServer) -> None:
        try:
            await pools.pool_of(server).open_idle()
        except ExchangeError as error:
            log_change("probe failed", server=server.server_id, reason=str(error))


async def _is_accepting(pools: ServerPools, server: BackendServer) -> bool:
    """Open a connection; its outcome is recorded by the pool."""
    try:
        await pools.pool_of(server).open_idle()
    except ExchangeError:
        return False
    return True


def _ignore_proof() -> None:
    """Ignore that a server is proved to refuse connections."""
