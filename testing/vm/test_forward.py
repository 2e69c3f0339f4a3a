"""Tests of requests on their way: retries, resumed streams and true refusals."""

import asyncio
import unittest

from _pistachiopond.http1.client import ExchangeError
from _pistachiopond.http1.messages import HttpAddress, Request
from _pistachiopond.http1.server import Responder
from testing.vm.deployment import free_port, running_world, until
from testing.vm.fake_server import (
    answer_error,
    answer_not_run,
    answer_unmarked_503,
    attempt_of,
    break_connection,
    hang,
    stream,
)


class ForwardTests(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_is_passed_on_whole(self) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            answer = await world.call("/once/x", X_Tenant="forged", X_Hold="h")
            self.assertEqual((answer.head.status, answer.body), (200, b"done"))
            self.assertEqual(answer.head.value(b"x-server-seal"), b"seal")
            head = server.requests[0].head
            self.assertEqual(head.values(b"x-tenant"), [b"office"])
            self.assertEqual(head.values(b"x-key"), [])
            self.assertEqual(head.values(b"x-hold"), [])
            self.assertLessEqual(int(head.values(b"x-deadline-ms")[0]), 1000)

    async def test_a_safe_request_is_tried_again_and_an_unsafe_one_is_not(self) -> None:
        for path, statuses in (("/safe/x", (200, 2)), ("/once/x", (502, 1))):
            async with running_world() as world:
                servers = [await world.add_server(n, "plain") for n in ("s1", "s2")]
                for server in servers:
                    server.steps = [break_connection]
                servers[1].steps = [] if path == "/safe/x" else [break_connection]
                servers[0].steps = [break_connection]
                answers = []
                for _ in range(1 if path == "/once/x" else 4):
                    answers.append(await world.call(path))
                ran = sum(len(server.requests) for server in servers)
                self.assertEqual(answers[0].head.status, statuses[0])
                if path == "/once/x":
                    self.assertEqual(ran, 1)

    async def test_a_refusal_that_says_not_run_is_given_only_when_it_is_so(
        self,
    ) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            server.steps = [answer_not_run]
            refused = await world.call("/once/x")
            self.assertEqual(refused.head.status, 503)
            self.assertIsNotNone(refused.head.value(b"retry-after"))
            server.steps = [answer_unmarked_503]
            unclear = await world.call("/once/x")
            self.assertEqual(unclear.head.status, 502)
            self.assertIsNone(unclear.head.value(b"x-server-seal"))

    async def test_a_servers_own_failure_is_passed_on(self) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            server.steps = [answer_error]
            answer = await world.call("/once/x")
            self.assertEqual((answer.head.status, answer.body), (500, b"failed"))

    async def test_a_stream_goes_on_at_another_server_after_its_last_event(
        self,
    ) -> None:
        async with running_world() as world:
            first = await world.add_server("s1", "plain")
            breaks = asyncio.Event()
            first.steps = [stream(0, 3, breaks)]
            caller = asyncio.ensure_future(world.call("/resume/x"))
            await until(lambda: bool(first.requests))
            second = await world.add_server("s2", "plain")
            second.steps = [stream(4, 6)]
            breaks.set()
            answer = await caller
            self.assertEqual(answer.body.count(b"data: x\n\n"), 7)
            self.assertEqual(second.requests[0].head.values(b"last-event-id"), [b"3"])

    async def test_a_resumed_stream_that_fails_does_not_look_complete(self) -> None:
        async with running_world() as world:
            first = await world.add_server("s1", "plain")
            breaks = asyncio.Event()
            first.steps = [stream(0, 3, breaks)]
            connection = await world.send("/resume/x")
            await until(lambda: bool(first.requests))
            second = await world.add_server("s2", "plain")
            second.steps = [answer_error]
            breaks.set()
            with self.assertRaises(ExchangeError):
                await connection.read_head()
                while await connection.read_chunk():
                    pass

    async def test_a_large_answer_that_breaks_off_is_not_begun_again(self) -> None:
        async def break_after_a_part(request: Request, responder: Responder) -> None:
            headers = [(b"X-Attempt-Id", attempt_of(request))]
            await responder.begin(200, headers, 3_000_000)
            for _ in range(20):
                await responder.send(b"x" * 100_000)
            responder.abort()

        async with running_world() as world:
            for name in ("s1", "s2"):
                server = await world.add_server(name, "plain")
                server.steps = [break_after_a_part]
            with self.assertRaises(ExchangeError):
                await world.call("/safe/x")
            ran = sum(len(server.requests) for server in world.servers.values())
            self.assertEqual(ran, 1)

    async def test_a_stream_that_may_not_be_resumed_is_broken_off(self) -> None:
        async with running_world() as world:
            breaks = asyncio.Event()
            breaks.set()
            for name in ("s1", "s2"):
                server = await world.add_server(name, "plain")
                server.steps = [stream(0, 3, breaks)]
            with self.assertRaises(ExchangeError):
                await world.call("/stream/x")
            ran = sum(len(server.requests) for server in world.servers.values())
            self.assertEqual(ran, 1)

    async def test_a_server_drops_the_request_of_a_caller_who_left(self) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            server.steps = [hang]
            connection = await world.send("/once/x")
            await until(lambda: bool(server.requests))
            connection.close()
            await until(lambda: server.cancelled == 1, 0.5)

    async def test_tries_that_reach_no_server_use_up_no_retries(self) -> None:
        async with running_world() as world:
            world.vm.retries.set_bounds(0.0, 0.0)
            while world.vm.retries.spend("plain"):
                pass
            await world.add_server("s1", "plain")
            closed = HttpAddress("127.0.0.1", free_port())
            world.describe("s2", "plain", closed)
            await until(lambda: "s2" in world.vm.fleet.servers)
            for _ in range(6):
                answer = await world.call("/once/x")
                self.assertEqual(answer.head.status, 200)

    async def test_a_silent_server_is_given_up_at_the_end_of_the_request(self) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            server.steps = [hang]
            answer = await world.call("/once/x", X_Deadline_Ms="300")
            self.assertEqual(answer.head.status, 504)
            await until(lambda: server.cancelled == 1, 0.5)


if __name__ == "__main__":
    unittest.main()
