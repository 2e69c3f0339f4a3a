"""Tests of the graceful shutdown."""

import asyncio
import unittest

import anyio

from _pistachiopond.http1.client import connect
from _pistachiopond.http1.messages import HttpAddress, RequestHead, encode_request
from _pistachiopond.http1.server import ServerConnection
from _pistachiopond.vm.program import _ready_handler
from _pistachiopond.vm.shutdown import LAST_STREAM_START_S, Shutdown
from testing.vm.deployment import listen, running_deployment
from testing.vm.fake_server import hang, stream


async def probe_readiness(address: HttpAddress) -> int:
    """Return the status of the load balancer's readiness probe."""
    connection = await connect(address, 1.0)
    head = RequestHead(b"GET", b"/ready", [(b"Host", b"vm")])
    connection.send(encode_request(head, b""))
    status = (await connection.read_head()).status
    connection.close()
    return status


class ShutdownTests(unittest.IsolatedAsyncioTestCase):
    async def test_new_streams_that_could_outlast_the_grace_period_are_refused(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            await deployment.add_server("s1", "plain")
            shutdown = deployment.vm.shutdown
            shutdown.begin()
            early = await deployment.call("/stream/x")
            self.assertEqual(early.head.status, 200)
            shutdown._started_s = shutdown._now_s() - LAST_STREAM_START_S - 0.1
            late = await deployment.call("/stream/x")
            self.assertEqual(late.head.status, 503)
            self.assertIsNotNone(late.head.value(b"retry-after"))
            self.assertEqual((await deployment.call("/once/x")).head.status, 200)

    async def test_a_stopping_vm_reports_not_ready_at_once(self) -> None:
        async with running_deployment() as deployment:
            stopping = anyio.Event()
            handler = _ready_handler(deployment.vm, stopping)
            listening, address = await listen(handler)
            self.addCleanup(listening.close)
            self.assertEqual(await probe_readiness(address), 200)
            stopping.set()
            self.assertEqual(await probe_readiness(address), 503)

    async def test_requests_left_at_the_end_of_the_grace_period_get_a_response(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain")
            server.steps = [hang]
            caller = asyncio.ensure_future(
                deployment.call("/once/x", X_Deadline_Ms="60000")
            )
            await asyncio.sleep(0.1)
            shutdown = deployment.vm.shutdown
            shutdown.begin()
            shutdown._started_s = shutdown._now_s() - 60.0
            await shutdown.drain(set())
            self.assertEqual((await caller).head.status, 504)

    async def test_idle_connections_are_closed_after_the_balancers_notice_time(
        self,
    ) -> None:
        connection = ServerConnection.__new__(ServerConnection)
        closed = []
        connection.is_idle = lambda: True  # type: ignore[method-assign]
        connection.close_after_response = lambda: closed.append(1)  # type: ignore
        loop = asyncio.get_running_loop()
        shutdown = Shutdown(8.0, loop.time)
        shutdown.begin()
        shutdown._started_s = loop.time() - 6.8
        await shutdown.drain({connection})
        self.assertTrue(closed)

    async def test_a_stream_in_progress_is_completed(self) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain")
            server.steps = [stream(0, 5)]
            caller = asyncio.ensure_future(deployment.call("/stream/x"))
            deployment.vm.shutdown.begin()
            self.assertEqual((await caller).body.count(b"id:"), 6)


if __name__ == "__main__":
    unittest.main()
