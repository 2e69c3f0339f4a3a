"""A VM's process beside callers whose bodies and connections it cannot all hold.

The loads ended processes by memory before `decisions/memory_budget.py`. The tests check
no times and no share of served requests, since both depend on the machine's speed.
"""

import asyncio
import json
import tempfile
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final, NamedTuple

from _pistachiopond.http1.messages import HttpAddress, Request, encode_request
from _pistachiopond.http1.server import (
    Handler,
    Responder,
    ServerConnection,
    ServerContext,
)
from _pistachiopond.kernel.timer import RealTimer
from testing.live.vm_processes import CALLER_PORT, loopback_ip, start_vm_program
from testing.vm.deployment import (
    LIMITS,
    configuration,
    listen,
    request_head,
    server_entry,
)
from testing.vm.fake_server import FakeServer
from testing.vm.fake_store import FakeStore
from tools.processes import Program

CHECKOUT: Final = Path(__file__).resolve().parents[2]
NAME: Final = "vm-a"
KIB: Final = 1024
MIB: Final = 1024 * KIB
MAX_BODY_BYTES: Final = 1 * MIB
# Callers of each load: with bodies, and with connections that send nothing.
BODY_CALLERS: Final = 64
SILENT_CALLERS: Final = 500
PIECE_BYTES: Final = 32 * KIB
# Long enough that no limit on time ends a load.
LONG_MS: Final = 120_000
SLOW_SERVER_S: Final = 6.0
# How long the load stays after the last byte that its callers can send.
HELD_S: Final = 2.0
SEND_LIMIT_S: Final = 5.0
START_LIMIT_S: Final = 60.0
ANSWER_LIMIT_S: Final = 60.0
POLL_S: Final = 0.1

# What one caller sends, in the pieces in which it is sent.
Load = Callable[[int], list[bytes]]


class Machine(NamedTuple):
    """The limits in a VM's settings and in its configuration."""

    memory_mb: int
    descriptors: int
    body_bytes: int


# On the code without an account, the loads of bodies reached 108 to 116 MiB
# (the bound is 91.6 MiB), and the connections 518 descriptors.
MACHINE: Final = Machine(96, 400, MAX_BODY_BYTES)
# The smallest machine of a deployment, with the limits that deployments have.
SMALLEST: Final = Machine(160, 1_638, 4 * MIB)


class Caller(NamedTuple):
    """The connection of one caller."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


def encode_head(path: str, number: int, framing: str) -> bytes:
    """Return the head of a request with a body; `framing` is the header for it."""
    head = request_head(path, number, X_Deadline_Ms=str(LONG_MS))
    lines = [b"%b %b HTTP/1.1" % (head.method, head.target), framing.encode()]
    lines += [b"%b: %b" % header for header in head.headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def sized(number: int, announced: int, sent: int, piece: int) -> list[bytes]:
    """Return a request that announces its size, whole or in part."""
    body = bytes(sent)
    pieces = [body[x : x + piece] for x in range(0, sent, piece)]
    return [
        encode_head("/open/x", number, f"Content-Length: {announced}"),
        *pieces,
    ]


def chunked(number: int, sent: int, chunk: int) -> list[bytes]:
    """Return a request in chunks of a size, without its last chunk."""
    framed = b"%x\r\n%b\r\n" % (chunk, bytes(chunk))
    body = framed * (sent // chunk)
    head = encode_head("/open/x", number, "Transfer-Encoding: chunked")
    return [head, *(body[x : x + MIB] for x in range(0, len(body), MIB))]


async def send_all(callers: list[Caller], load: Load) -> None:
    """Send each caller's pieces, one piece of each caller at a time."""
    pieces = [load(number) for number in range(len(callers))]

    async def send(caller: Caller, piece: bytes) -> None:
        try:
            async with asyncio.timeout(SEND_LIMIT_S):
                caller.writer.write(piece)
                await caller.writer.drain()
        except (OSError, TimeoutError):
            # The process may close a connection, refuse its request, or not read it.
            caller.writer.transport.abort()

    for position in range(max(len(parts) for parts in pieces)):
        await asyncio.gather(
            *(
                send(caller, parts[position])
                for caller, parts in zip(callers, pieces, strict=True)
                if position < len(parts) and not caller.writer.is_closing()
            )
        )


class VmBesideCallers(unittest.IsolatedAsyncioTestCase):
    machine: Machine = MACHINE

    async def asyncSetUp(self) -> None:
        self.is_slow = False
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = FakeStore()
        store_server, store_address = await listen(store.handle)
        self.addCleanup(store_server.close)
        server = FakeServer("sound")

        async def answer(request: Request, responder: Responder) -> None:
            if self.is_slow and request.head.target.startswith(b"/open/"):
                await asyncio.sleep(SLOW_SERVER_S)
            await server.handle(request, responder)
            server.requests.clear()

        backend, address = await listen_with_large_limits(answer)
        self.addCleanup(backend.close)
        plain = configuration(1)
        plain["limits"] |= {
            "maxBodyBytes": self.machine.body_bytes,
            "idleTimeoutMs": LONG_MS,
        }
        plain["services"][0]["connectionLimit"] = 200
        for route in plain["routes"]:
            route["timeoutMs"] = LONG_MS
        store.put("keyed.op", "config", json.dumps(plain).encode())
        entry = server_entry("plain", f"{address.ip}:{address.port}", slots=200)
        store.put("keyed.servers", "sound", entry)
        # The two limits are added behind one that the file has.
        limits = (
            f"100.0\nmemoryMb = {self.machine.memory_mb}"
            f"\nfileDescriptors = {self.machine.descriptors}"
        )
        self.program = start_vm_program(
            CHECKOUT,
            NAME,
            Path(folder.name),
            f"{store_address.ip}:{store_address.port}",
            linkMbps=limits,
        )
        self.addCleanup(self.program.kill)
        await self.check_answer(START_LIMIT_S)

    async def call(self, body: bytes = b"body") -> bytes:
        """Send an ordinary request; return the status line of its answer."""
        reader, writer = await asyncio.open_connection(*address_of(NAME))
        try:
            head = request_head("/safe/x", 0, X_Deadline_Ms="5000")
            writer.write(encode_request(head, body))
            return await reader.readline()
        finally:
            writer.close()

    async def check_answer(self, limit_s: float = ANSWER_LIMIT_S) -> None:
        """Check that an ordinary request is answered; it may be refused before."""
        async with asyncio.timeout(limit_s):
            while True:
                running = self.program.is_running()
                self.assertTrue(running, self.program.describe_exit())
                try:
                    if b" 200 " in await self.call():
                        return
                except OSError:
                    pass
                await asyncio.sleep(POLL_S)

    def check_memory(self) -> None:
        peak_bytes = peak_resident_bytes(self.program)
        bound_bytes = self.machine.memory_mb * 1_000_000
        self.assertLess(peak_bytes, bound_bytes, f"{peak_bytes / MIB:.1f} MiB")


class HeldMemoryTests(VmBesideCallers):
    @asynccontextmanager
    async def connected(self, count: int) -> AsyncIterator[list[Caller]]:
        callers: list[Caller] = []
        try:
            for _ in range(count):
                # The process may close the connection at once, even while it is opened.
                opening = asyncio.open_connection(*address_of(NAME))
                try:
                    callers.append(Caller(*await opening))
                except OSError:
                    continue
            yield callers
        finally:
            for caller in callers:
                caller.writer.transport.abort()

    async def check_load(
        self, count: int, act: Callable[[list[Caller]], Awaitable[None]]
    ) -> None:
        """Check the process beside callers, and an answer while they are there."""
        async with self.connected(count) as callers:
            await act(callers)
            descriptors = count_descriptors(self.program)
            await asyncio.sleep(HELD_S)
            descriptors = max(descriptors, count_descriptors(self.program))
            await self.check_answer()
        self.check_memory()
        self.assertLess(descriptors, self.machine.descriptors)
        await self.check_answer()

    async def check_bodies(self, load: Load) -> None:
        await self.check_load(BODY_CALLERS, lambda x: send_all(x, load))

    async def test_bodies_short_of_their_end(self) -> None:
        size = MAX_BODY_BYTES
        await self.check_bodies(lambda x: sized(x, size, size - 1, size))

    async def test_bodies_that_come_piece_by_piece(self) -> None:
        size = MAX_BODY_BYTES
        await self.check_bodies(lambda x: sized(x, size, size - 1, PIECE_BYTES))

    async def test_bodies_in_large_chunks(self) -> None:
        await self.check_bodies(lambda x: chunked(x, MAX_BODY_BYTES, 64 * KIB))

    async def test_bodies_in_small_chunks(self) -> None:
        await self.check_bodies(lambda x: chunked(x, MAX_BODY_BYTES, 1000))

    async def test_whole_bodies_at_a_slow_server(self) -> None:
        self.is_slow = True
        size = MAX_BODY_BYTES
        await self.check_bodies(lambda x: sized(x, size, size, size))

    async def test_bodies_over_the_limit_announced(self) -> None:
        size = 4 * MAX_BODY_BYTES
        await self.check_bodies(lambda x: sized(x, size, size, size))

    async def test_bodies_over_the_limit_just_sent(self) -> None:
        await self.check_bodies(lambda x: chunked(x, 4 * MAX_BODY_BYTES, 64 * KIB))

    async def test_connections_that_send_nothing(self) -> None:
        await self.check_load(SILENT_CALLERS, lambda _: asyncio.sleep(0.0))


class GreatestRequestTests(VmBesideCallers):
    machine = SMALLEST

    async def test_a_request_of_the_greatest_size_is_served(self) -> None:
        # An account must not refuse a single request that the limits allow.
        status = await self.call(bytes(SMALLEST.body_bytes))
        self.assertIn(b" 200 ", status)
        self.check_memory()


async def listen_with_large_limits(
    handler: Handler,
) -> tuple[asyncio.Server, HttpAddress]:
    """Listen as a backend server that takes all bodies of the tests."""
    limits = LIMITS._replace(body_bytes=16 * MIB, idle_s=LONG_MS / 1000.0)
    context = ServerContext(
        handler, lambda: limits, RealTimer().now_s, lambda: False, set()
    )
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: ServerConnection(context), "127.0.0.1", 0)
    return server, HttpAddress(*server.sockets[0].getsockname())


def address_of(name: str) -> HttpAddress:
    """Return a VM's address for callers."""
    return HttpAddress(loopback_ip(name), CALLER_PORT)


def count_descriptors(program: Program) -> int:
    """Return how many file descriptors the process has open."""
    return len(list(Path(f"/proc/{program.pid}/fd").iterdir()))


def peak_resident_bytes(program: Program) -> int:
    """Return the highest resident memory of the process since its start."""
    for line in Path(f"/proc/{program.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIB
    return 0


if __name__ == "__main__":
    unittest.main()
