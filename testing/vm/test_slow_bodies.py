"""Tests of callers whose requests' bodies come slowly or not at all."""

import asyncio
import json
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final, NamedTuple

from _pistachiopond.http1.messages import HttpAddress, Request, encode_request
from _pistachiopond.http1.server import Responder, ServerConnection
from _pistachiopond.kernel.timer import RealTimer, every
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.schema.relayed_request import RelayedRequest
from _pistachiopond.vm.held_memory import HeldMemory
from _pistachiopond.vm.program import MAINTENANCE_PERIOD_S, _listen_for_requests
from testing.virtual_time import run_in_virtual_time
from testing.vm.deployment import (
    HOST,
    SingleVmDeployment,
    configuration,
    free_port,
    request_head,
    running_deployment,
)
from testing.vm.fake_server import respond_ok

ROUTE_TIMEOUT_S: Final = configuration(1)["routes"][0]["timeoutMs"] / 1000
IDLE_S: Final = configuration(1)["limits"]["idleTimeoutMs"] / 1000
# A check of the limits, and the clock's steps.
MAX_LATE_S: Final = MAINTENANCE_PERIOD_S + 0.1
GIVEN_UP_S: Final = 4 * IDLE_S
# Of a request, and what of it has passed before a server can get the request.
DEADLINE_S: Final = 1.0
SPENT_S: Final = 0.4


class Answer(NamedTuple):
    """The start of a response, and when it came; both without one."""

    status_line: bytes
    elapsed_s: float


@asynccontextmanager
async def accepting_deployment() -> AsyncIterator[
    tuple[SingleVmDeployment, HttpAddress, HttpAddress]
]:
    """Run a VM that listens as its program does; yields both addresses."""
    async with running_deployment() as deployment:
        connections: set[ServerConnection] = set()
        callers, peers = (HttpAddress("127.0.0.1", free_port()) for _ in range(2))
        vm = deployment.vm
        settings = vm.settings._replace(caller_address=callers, relay_address=peers)
        vm = vm._replace(settings=settings)
        held = HeldMemory(
            settings, vm.state, connections, set(), RealTimer().now_s, Metrics()
        )
        await _listen_for_requests(vm, connections, lambda: False, held)

        async def enforce(now_s: float) -> None:
            for connection in list(connections):
                connection.enforce_timeouts(now_s)

        timer = RealTimer()
        enforcing = asyncio.ensure_future(every(timer, MAINTENANCE_PERIOD_S, enforce))
        try:
            yield deployment, callers, peers
        finally:
            enforcing.cancel()


async def send_slowly(
    address: HttpAddress, headers: bytes, pause_s: float, size: int, path: bytes
) -> Answer:
    """Send a body a byte at a time until an answer comes."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(*address)
    head = b"POST %b HTTP/1.1\r\nHost: %b\r\nX-Attempt-Id: a1\r\nX-Key: office-key\r\n"
    writer.write(head % (path, HOST.encode()) + headers)
    writer.write(b"Content-Length: %d\r\n\r\n" % size)
    start_s = loop.time()

    async def send() -> None:
        for _ in range(size):
            writer.write(b"x")
            await asyncio.sleep(pause_s)

    sending = asyncio.ensure_future(send())
    try:
        async with asyncio.timeout(GIVEN_UP_S):
            status_line = await reader.readline()
        return Answer(status_line, loop.time() - start_s)
    except TimeoutError:
        return Answer(b"", loop.time() - start_s)
    finally:
        sending.cancel()
        writer.close()


def counted(deployment: SingleVmDeployment) -> dict[str, float]:
    """Return the requests that exceeded a bound, by kind."""
    return {
        sample.labels["kind"]: sample.value
        for metric in deployment.vm.metrics.registry.collect()
        for sample in metric.samples
        if sample.name == "pond_excessive_requests_total"
    }


class SlowBodyTests(unittest.TestCase):
    async def check_slow(
        self, path: bytes, headers: bytes, pause_s: float, limit_s: float
    ) -> None:
        async with accepting_deployment() as (deployment, callers, peers):
            server = await deployment.add_server("s1", "plain")
            for address in (callers, peers):
                answer = await send_slowly(address, headers, pause_s, 99_000, path)
                self.assertIn(b" 408 ", answer.status_line)
                self.assertGreaterEqual(answer.elapsed_s, limit_s)
                self.assertLessEqual(answer.elapsed_s, limit_s + MAX_LATE_S)
            self.assertEqual(counted(deployment), {"slow_body": 2.0})
            self.assertEqual(server.requests, [])

    def test_a_slow_body_is_refused_at_the_requests_deadline(self) -> None:
        for headers, limit_s in (
            (b"X-Deadline-Ms: 700\r\n", 0.7),
            (b"X-Deadline-Ms: 60000\r\n", ROUTE_TIMEOUT_S),
            (b"X-Deadline-Ms: nan\r\n", ROUTE_TIMEOUT_S),
            (b"", ROUTE_TIMEOUT_S),
        ):
            for pause_s in (0.04, GIVEN_UP_S):
                with self.subTest(headers=headers, pause_s=pause_s):
                    run_in_virtual_time(
                        self.check_slow(b"/safe/x", headers, pause_s, limit_s)
                    )

    def test_a_slow_body_of_no_route_is_refused_after_the_idle_limit(self) -> None:
        run_in_virtual_time(self.check_slow(b"/none/x", b"", 0.4, IDLE_S))

    async def check_in_time(self) -> None:
        async with accepting_deployment() as (deployment, callers, _):
            await deployment.add_server("s1", "plain")
            answer = await send_slowly(
                callers, b"", ROUTE_TIMEOUT_S / 25, 20, b"/safe/x"
            )
            self.assertIn(b" 200 ", answer.status_line)
            self.assertEqual(counted(deployment), {})

    async def check_time_left(self, *, is_relayed: bool) -> None:
        headers = b"X-Deadline-Ms: %d\r\n" % (1000 * DEADLINE_S)
        if is_relayed:
            relayed = RelayedRequest("safe", "plain", "office", 1, DEADLINE_S, 2, "f")
            headers += b"Pond-Relay: %b\r\n" % json.dumps(relayed._asdict()).encode()
        async with accepting_deployment() as (deployment, callers, peers):
            server = await deployment.add_server("s1", "plain")
            address = peers if is_relayed else callers
            answer = await send_slowly(address, headers, SPENT_S / 20, 20, b"/safe/x")
            self.assertIn(b" 200 ", answer.status_line)
            self.check_left(server.requests[0])

    def check_left(self, request: Request) -> None:
        """Check how much time a server was given."""
        (left_ms,) = request.head.values(b"x-deadline-ms")
        # The last byte of the body ends the last pause but one.
        self.assertLessEqual(int(left_ms) / 1000, DEADLINE_S - 0.95 * SPENT_S)
        self.assertGreater(int(left_ms) / 1000, DEADLINE_S - SPENT_S - MAX_LATE_S)

    def test_a_server_gets_no_more_time_than_is_left_behind_a_slow_body(self) -> None:
        for is_relayed in (False, True):
            with self.subTest(is_relayed=is_relayed):
                run_in_virtual_time(self.check_time_left(is_relayed=is_relayed))

    async def check_time_left_behind_another(self) -> None:
        async def respond_late(request: Request, responder: Responder) -> None:
            await asyncio.sleep(SPENT_S)
            await respond_ok(request, responder)

        async with accepting_deployment() as (deployment, callers, _):
            server = await deployment.add_server("s1", "plain")
            server.steps = [respond_late]
            reader, writer = await asyncio.open_connection(*callers)
            for number in range(2):
                deadline_ms = f"{1000 * DEADLINE_S:.0f}"
                head = request_head("/once/x", number, X_Deadline_Ms=deadline_ms)
                writer.write(encode_request(head, b"body"))
            for _ in range(2):
                self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\ndone"))
            writer.close()
            self.check_left(server.requests[1])

    def test_a_server_gets_no_more_time_than_is_left_behind_another_request(
        self,
    ) -> None:
        run_in_virtual_time(self.check_time_left_behind_another())

    def test_a_body_that_is_complete_in_time_is_forwarded(self) -> None:
        run_in_virtual_time(self.check_in_time())


if __name__ == "__main__":
    unittest.main()
