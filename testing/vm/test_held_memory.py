"""Tests of a VM's listeners when the memory or descriptors of the machine are short."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from _pistachiopond.http1.client import ClientConnection, connect
from _pistachiopond.http1.messages import HttpAddress, encode_request
from _pistachiopond.http1.server import ServerConnection
from _pistachiopond.kernel.timer import RealTimer
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.vm.held_memory import HeldMemory
from _pistachiopond.vm.program import _listen_for_requests
from _pistachiopond.vm.relay_messages import classify_relayed
from testing.vm.deployment import (
    SingleVmDeployment,
    free_port,
    request_head,
    running_deployment,
    wait_until,
)

MIB = 1024 * 1024
TINY_MEMORY_BYTES = 1_000_000
DESCRIPTORS = 220
BODY_BYTES = 90_000


@asynccontextmanager
async def short_deployment() -> AsyncIterator[tuple[SingleVmDeployment, HeldMemory]]:
    """Run a VM with the smallest budget and ten connections for callers."""
    async with running_deployment() as deployment:
        connections: set[ServerConnection] = set()
        callers, relay = (HttpAddress("127.0.0.1", free_port()) for _ in range(2))
        settings = deployment.vm.settings._replace(
            caller_address=callers,
            relay_address=relay,
            memory_bytes=TINY_MEMORY_BYTES,
            max_descriptors=DESCRIPTORS,
        )
        vm = deployment.vm = deployment.vm._replace(settings=settings)
        held = HeldMemory(
            settings, vm.state, connections, set(), RealTimer().now_s, Metrics()
        )
        await _listen_for_requests(vm, connections, lambda: False, held)
        yield deployment, held
        for connection in list(connections):
            connection.abort()


class HeldMemoryTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_refused_body_promises_callers_and_vms_that_it_has_not_run(
        self,
    ) -> None:
        async with short_deployment() as (deployment, held):
            # All but the share of small bodies.
            held.account.force_reserve(7 * MIB)
            for address in (
                deployment.vm.settings.caller_address,
                deployment.vm.settings.relay_address,
            ):
                connection = await connect(address, 1.0)
                head = request_head("/open/x", 7)
                connection.send(encode_request(head, bytes(BODY_BYTES)))
                waiting = asyncio.ensure_future(connection.read_head())
                while not waiting.done():
                    held.tick()
                    await asyncio.sleep(0.05)
                response = waiting.result()
                self.assertEqual(response.status, 503)
                self.assertEqual(response.value(b"x-attempt-id"), b"request-7")
                self.assertEqual(response.value(b"retry-after"), b"1.000")
                # Without the verdict, another VM may not send the request elsewhere.
                self.assertEqual(classify_relayed(response), "not_run")
                connection.close()
            held.account.release(14 * MIB)

    async def test_silent_connections_give_way_to_a_caller(self) -> None:
        async with short_deployment() as (deployment, _):
            await deployment.add_server("s1", "plain")
            address = deployment.vm.settings.caller_address
            silent: list[ClientConnection] = [
                await connect(address, 1.0) for _ in range(10)
            ]
            await asyncio.sleep(0.5)
            deployment.address = address
            response = await deployment.call("/open/x")
            self.assertEqual(response.head.status, 200)
            await wait_until(lambda: any(not x.is_open() for x in silent))
            for connection in silent:
                connection.close()


if __name__ == "__main__":
    unittest.main()
