"""Several VMs with a fake store in one event loop, for tests of leadership."""

import asyncio
import json
from collections.abc import Iterable
from functools import partial
from typing import Any

from _pistachiopond.http1.client import connect
from _pistachiopond.http1.messages import HttpAddress, Request, encode_request
from _pistachiopond.http1.server import Responder
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.vm.leader_election import LEADER_KEY
from _pistachiopond.vm.program import Vm, make_vm
from testing.vm.deployment import (
    MAX_BODY_BYTES,
    configuration,
    listen,
    make_settings,
    request_head,
    server_entry,
    start_vm,
    wait_until,
)
from testing.vm.fake_server import FakeServer
from testing.vm.fake_store import FakeStore


class Cluster:
    """Several VMs with a fake store."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self._turned_away: frozenset[str] = frozenset()
        self._store_calls: dict[asyncio.Task[None], str] = {}
        self.vms: dict[str, Vm] = {}
        self.tasks: dict[str, list[asyncio.Task]] = {}
        self._call_count = 0
        self._caller_addresses: dict[str, HttpAddress] = {}
        self._listening: list[asyncio.Server] = []

    async def start(self, count: int, **more: Any) -> None:
        """Start the store and the VMs, and wait for a leader.

        Further arguments replace parts of the configuration.
        """
        self.server, _ = await listen(self.store.handle)

        value = json.dumps(configuration(1, **more)).encode()
        self.store.put("keyed.op", "config", value)
        for number in range(count):
            name = f"vm-{number}"
            listening, address = await listen(partial(self._call_store, name))
            self._listening.append(listening)
            self.launch(name, address)
        await wait_until(lambda: self.all_have_replies(list(self.vms)), 5.0)

    async def _call_store(
        self, name: str, request: Request, responder: Responder
    ) -> None:
        if name not in self._turned_away:
            call = asyncio.ensure_future(self.store.handle(request, responder))
            self._store_calls[call] = name
            try:
                await asyncio.wait([call])
            finally:
                del self._store_calls[call]
                call.cancel()
            if not call.cancelled():
                await call
                return
        await responder.respond(503, [], b"")

    def turn_away(self, names: Iterable[str]) -> None:
        """Have the store answer 503 to these VMs only, also to calls under way."""
        self._turned_away = frozenset(names)
        for call, name in self._store_calls.items():
            if name in self._turned_away:
                call.cancel()

    def launch(self, name: str, store: HttpAddress) -> None:
        """Start a VM that knows only the store's address."""
        vm = make_vm(make_settings(store, name), Metrics())
        self.tasks[name] = start_vm(vm)
        self.vms[name] = vm

    async def accept_callers(self, service: str) -> None:
        """Start a server of the service, and listen for callers on all VMs."""
        server = FakeServer("s1")
        listening, address = await listen(server.handle)
        self._listening.append(listening)
        entry = server_entry(service, f"{address.ip}:{address.port}")
        self.store.put("keyed.servers", "s1", entry)
        for name, vm in self.vms.items():
            listening, address = await listen(vm.request_handler.handle)
            self._listening.append(listening)
            self._caller_addresses[name] = address
        vms = self.vms.values()
        await wait_until(lambda: all("s1" in vm.fleet.servers for vm in vms))

    async def call(self, name: str, path: str) -> int:
        """Send a request to a VM on a new connection; return the status."""
        self._call_count += 1
        connection = await connect(self._caller_addresses[name], 1.0)
        connection.send(encode_request(request_head(path, self._call_count), b"body"))
        head = await connection.read_head()
        await connection.read_body(MAX_BODY_BYTES)
        connection.close()
        return head.status

    def all_have_replies(self, names: list[str]) -> bool:
        """Return whether all of these VMs have had a recent reply of a leader."""
        return all(self.vms[name].leader_client.reply_age_s() < 0.5 for name in names)

    def leader(self) -> str:
        """Return the VM with the newest claim."""
        records = self.store.topics["keyed.pond"]
        value = [value for key, value in records if key == LEADER_KEY][-1]
        return json.loads(value)["leader"]

    def claim_count(self) -> int:
        """Return how many claims of the lead the store has."""
        return [key for key, _ in self.store.topics["keyed.pond"]].count(LEADER_KEY)

    async def kill(self, name: str) -> None:
        """End a VM at once, without a graceful shutdown."""
        for task in self.tasks.pop(name):
            task.cancel()
        for writer in list(self.vms[name].leader_server._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def close(self) -> None:
        """End all VMs and the store."""
        for name in list(self.tasks):
            await self.kill(name)
        for listening in self._listening:
            listening.close()
        self.server.close()
        await asyncio.sleep(0.05)
