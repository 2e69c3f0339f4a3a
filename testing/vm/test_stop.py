"""Tests of a process that is asked to stop."""

import asyncio
import unittest

import anyio

from _pistachiopond.http1.client import connect
from _pistachiopond.http1.messages import HttpAddress, RequestHead, encode_request
from _pistachiopond.http1.server import ServerConnection
from _pistachiopond.vm.program import _ready_handler
from _pistachiopond.vm.stop import LAST_STREAM_S, Stopping
from testing.vm.deployment import listen, running_world
from testing.vm.fake_server import hang, stream


async def ask_ready(address: HttpAddress) -> int:
    """Return what the balancer gets."""
    connection = await connect(address, 1.0)
    head = RequestHead(b"GET", b"/ready", [(b"Host", b"vm")])
    connection.send(encode_request(head, b""))
    status = (await connection.read_head()).status
    connection.close()
    return status


class StoppingTests(unittest.IsolatedAsyncioTestCase):
    async def test_streams_that_could_outlast_the_grace_are_sent_elsewhere(
        self,
    ) -> None:
        async with running_world() as world:
            await world.add_server("s1", "plain")
            stopping = world.vm.stopping
            stopping.begin()
            early = await world.call("/stream/x")
            self.assertEqual(early.head.status, 200)
            stopping._began_s = stopping._now_s() - LAST_STREAM_S - 0.1
            late = await world.call("/stream/x")
            self.assertEqual(late.head.status, 503)
            self.assertIsNotNone(late.head.value(b"retry-after"))
            self.assertEqual((await world.call("/once/x")).head.status, 200)

    async def test_a_stopping_vm_tells_the_balancer_at_once(self) -> None:
        async with running_world() as world:
            stopping = anyio.Event()
            handler = _ready_handler(world.vm, stopping)
            listening, address = await listen(handler)
            self.addCleanup(listening.close)
            self.assertEqual(await ask_ready(address), 200)
            stopping.set()
            self.assertEqual(await ask_ready(address), 503)

    async def test_what_is_left_at_the_end_of_the_grace_gets_an_answer(self) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            server.steps = [hang]
            caller = asyncio.ensure_future(world.call("/once/x", X_Deadline_Ms="60000"))
            await asyncio.sleep(0.1)
            stopping = world.vm.stopping
            stopping.begin()
            stopping._began_s = stopping._now_s() - 60.0
            await stopping.drain(set())
            self.assertEqual((await caller).head.status, 504)

    async def test_idle_connections_end_after_the_balancers_notice(self) -> None:
        connection = ServerConnection.__new__(ServerConnection)
        closed = []
        connection.is_idle = lambda: True  # type: ignore[method-assign]
        connection.close_after_answer = lambda: closed.append(1)  # type: ignore
        loop = asyncio.get_running_loop()
        stopping = Stopping(8.0, loop.time)
        stopping.begin()
        stopping._began_s = loop.time() - 6.8
        await stopping.drain({connection})
        self.assertTrue(closed)

    async def test_a_stream_in_progress_is_finished(self) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            server.steps = [stream(0, 5)]
            caller = asyncio.ensure_future(world.call("/stream/x"))
            world.vm.stopping.begin()
            self.assertEqual((await caller).body.count(b"id:"), 6)


if __name__ == "__main__":
    unittest.main()
