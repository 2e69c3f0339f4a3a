"""Tests of bodies that find no room in the memory of the process."""

import asyncio
import unittest
from typing import Final

from _pistachiopond.decisions.memory_budget import (
    BODY_COPIES,
    CONNECTION_BYTES,
    MemoryAccount,
)
from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import (
    Responder,
    ServerConnection,
    ServerContext,
    ServerLimits,
    make_unbounded_memory,
)
from testing.http1.test_pipelined_requests import PausingTransport

LIMITS: Final = ServerLimits(16 * 1024, 100_000, 2.0, 15.0)
SIZE: Final = 80_000
# Room for one body of the size, but not for two.
BUDGET: Final = 1.5 * SIZE * BODY_COPIES
HEAD: Final = b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n"
SIZED: Final = HEAD % SIZE + b"\r\n"
CHUNKED: Final = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK: Final = b"2000\r\n" + bytes(0x2000) + b"\r\n"


class HeldBodiesTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.account = MemoryAccount(BUDGET)
        self.may_answer = asyncio.Event()
        self.sizes: list[int] = []
        self.connections: list[ServerConnection] = []

    async def asyncTearDown(self) -> None:
        # Whatever happened, nothing may stay counted for connections that have ended.
        for connection in self.connections:
            connection.connection_lost(None)
        await asyncio.sleep(0)
        self.assertEqual(
            (self.account.reserved_bytes, self.account.other_bytes), (0, 0)
        )

    def check_nothing_is_counted(self) -> None:
        counted = (self.account.reserved_bytes, self.account.other_bytes)
        self.assertEqual(counted, (0, 0))

    async def handle(self, request: Request, responder: Responder) -> None:
        self.sizes.append(len(request.body))
        await self.may_answer.wait()
        await responder.respond(200, [], b"")

    def connect(self) -> tuple[ServerConnection, PausingTransport]:
        memory = make_unbounded_memory()._replace(
            account=self.account, refusal_headers=lambda head: [(b"X-Of", head.target)]
        )
        context = ServerContext(
            self.handle,
            lambda: LIMITS,
            lambda: 0.0,
            lambda: False,
            set(),
            memory=memory,
        )
        connection = ServerConnection(context)
        transport = PausingTransport()
        connection._transport = transport  # type: ignore[assignment]
        self.connections.append(connection)
        return connection, transport

    async def test_a_body_over_the_limit_is_refused_from_its_head(self) -> None:
        connection, transport = self.connect()
        connection.data_received(HEAD % (LIMITS.body_bytes + 1) + b"\r\n")
        self.assertIn(b" 413 ", transport.written)
        connection.data_received(bytes(SIZE))
        self.assertEqual(self.account.reserved_bytes, 0)

    async def test_a_body_that_exceeds_the_limit_is_dropped(self) -> None:
        connection, transport = self.connect()
        connection.data_received(CHUNKED)
        while not transport.written:
            connection.data_received(CHUNK)
        self.assertIn(b" 413 ", transport.written)
        self.assertEqual(self.account.reserved_bytes, 0)
        self.assertEqual(len(connection._body), 0)

    async def test_a_body_waits_unread_until_another_has_ended(self) -> None:
        first, _ = self.connect()
        first.data_received(SIZED + bytes(SIZE))
        second, transport = self.connect()
        second.data_received(SIZED[:-2] + b"Expect: 100-continue\r\n\r\n")
        self.assertTrue(transport.is_paused)
        self.assertEqual(second.holding().phase, "waiting")
        self.assertEqual(transport.written, b"")
        self.may_answer.set()
        for _ in range(3):
            await asyncio.sleep(0)
        second.take_room()
        self.assertFalse(transport.is_paused)
        self.assertIn(b" 100 ", transport.written)
        second.data_received(bytes(SIZE))
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual(self.sizes, [SIZE, SIZE])
        self.assertEqual(self.account.reserved_bytes, 0)

    async def test_a_body_without_room_is_refused_with_a_time_to_return(self) -> None:
        first, _ = self.connect()
        first.data_received(SIZED + bytes(SIZE))
        second, transport = self.connect()
        second.data_received(SIZED + bytes(10))
        second.refuse_for_memory()
        self.assertIn(b" 503 ", transport.written)
        self.assertIn(b"X-Of: /x", transport.written)
        self.assertFalse(transport.is_paused)
        await asyncio.sleep(0)
        self.assertEqual(self.sizes, [SIZE])

    async def test_chunks_reserve_what_they_take(self) -> None:
        connection, _ = self.connect()
        connection.data_received(CHUNKED)
        for number in range(1, 6):
            connection.data_received(CHUNK)
            taken_bytes = number * 0x2000 * BODY_COPIES
            self.assertGreaterEqual(self.account.reserved_bytes, taken_bytes)
            self.assertLessEqual(
                self.account.reserved_bytes, LIMITS.body_bytes * BODY_COPIES
            )
        connection.data_received(b"0\r\n\r\n")
        self.assertEqual(self.account.reserved_bytes, taken_bytes)

    async def test_a_small_body_that_came_with_its_head_is_served(self) -> None:
        first, _ = self.connect()
        first.data_received(SIZED + bytes(SIZE))
        second, _ = self.connect()
        second.data_received(HEAD % 4 + b"\r\nbody")
        await asyncio.sleep(0)
        self.assertEqual(self.sizes, [SIZE, 4])

    async def test_no_request_is_taken_while_the_budget_is_exceeded(self) -> None:
        held_bytes = int(BUDGET) + 1
        self.account.count(held_bytes)
        connection, transport = self.connect()
        connection.data_received(b"GET /x HTTP/1.1\r\n\r\n")
        self.assertIn(b" 503 ", transport.written)
        self.assertEqual(self.sizes, [])
        self.account.count(-held_bytes)

    async def test_a_connection_that_gives_way_is_released_at_once(self) -> None:
        connection, _ = self.connect()
        connection.data_received(SIZED)
        self.assertGreater(self.account.other_bytes, CONNECTION_BYTES)
        connection.give_way()
        self.assertEqual(
            (self.account.reserved_bytes, self.account.other_bytes), (0, 0)
        )


if __name__ == "__main__":
    unittest.main()
