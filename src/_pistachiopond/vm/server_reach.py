"""Which services this VM reaches, learned from connections and from probes."""

import asyncio
import random
from typing import final

from _pistachiopond.decisions.server_reachability import Reachability
from _pistachiopond.http1.client import ExchangeError
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import BackendServer
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

    def record_connect(self, server: BackendServer, is_connected: bool) -> None:
        """Record whether a connection to a server could be opened."""
        service = server.service
        if is_connected:
            if self._reachability.connected(service):
                log_change(
                    "service reachable again", service=service, server=server.server_id
                )
            return
        server_count = len(self._fleet.staying_servers(service))
        if self._reachability.connect_failed(
            service, server.server_id, server_count, boot_s()
        ):
            log_change(
                "service unreachable from this VM",
                service=service,
                last_server=server.server_id,
                servers=server_count,
            )

    def is_unreachable(self, service: str) -> bool:
        """Return whether requests for the service should go through another VM."""
        return self._reachability.is_unreachable(service)

    def unreachable(self) -> frozenset[str]:
        """Return the services that this VM does not reach."""
        return self._reachability.unreachable()

    def unreachable_for_s(self) -> float:
        """Return for how long some service has been unreachable; 0 if none is."""
        return self._reachability.unreachable_for_s(boot_s())

    def probe(self, pools: ServerPools) -> None:
        """Open a connection to a server of each service that has failed recently."""
        for service, failed in self._reachability.start_probes(boot_s()).items():
            servers = self._fleet.staying_servers(service)
            others = [item for item in servers if item.server_id not in failed]
            if others or servers:
                server = self._rng.choice(others or servers)
                task = asyncio.get_running_loop().create_task(
                    self._probe_server(pools, server)
                )
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)

    async def _probe_server(self, pools: ServerPools, server: BackendServer) -> None:
        try:
            await pools.pool_of(server).open_idle()
        except ExchangeError as error:
            log_change("probe failed", server=server.server_id, reason=str(error))
