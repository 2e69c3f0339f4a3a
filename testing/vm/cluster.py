"""Several VMs with a fake store in one event loop, for tests of leadership."""

import asyncio
import json

from _pistachiopond.http1.messages import HttpAddress
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.vm.program import Vm, make_vm
from testing.vm.deployment import (
    configuration,
    listen,
    make_settings,
    start_vm,
    wait_until,
)
from testing.vm.fake_store import FakeStore


class Cluster:
    """Several VMs with a fake store, without callers."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.vms: dict[str, Vm] = {}
        self.tasks: dict[str, list[asyncio.Task]] = {}

    async def start(self, count: int) -> None:
        """Start the store and the VMs, and wait for a leader."""
        self.server, address = await listen(self.store.handle)

        value = json.dumps(configuration(1)).encode()
        self.store.put("keyed.op", "config", value)
        for number in range(count):
            self.launch(f"vm-{number}", address)
        await wait_until(lambda: self.all_have_replies(list(self.vms)), 5.0)

    def launch(self, name: str, store: HttpAddress) -> None:
        """Start a VM that knows only the store's address."""
        vm = make_vm(make_settings(store, name), Metrics())
        self.tasks[name] = start_vm(vm)
        self.vms[name] = vm

    def all_have_replies(self, names: list[str]) -> bool:
        """Return whether all of these VMs have had a recent reply of a leader."""
        return all(self.vms[name].leader_client.reply_age_s() < 0.5 for name in names)

    def leader(self) -> str:
        """Return the VM with the newest claim."""
        _, value = self.store.topics["keyed.pond"][-1]
        return json.loads(value)["leader"]

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
        self.server.close()
        await asyncio.sleep(0.05)
