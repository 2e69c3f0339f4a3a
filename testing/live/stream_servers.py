"""Backend servers that crash, break off and answer twice at seeded bytes of a stream.

Each run of a request makes bytes that no other run makes, and all of them are recorded.
"""

import asyncio
import random
import re
import socket
import struct
import time
from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Final, NamedTuple, final

from testing.vm.deployment import server_entry
from testing.vm.fake_server import echoed_id, read_request

SERVICE: Final = "plain"
POISON: Final = "poison"
RESTART_S: Final = 1.0
SECOND_ANSWERS: Final = ("second answer within", "second answer within a chunk")
# Size of a chunk that a server announces and breaks off.
LARGE_CHUNK_BYTES: Final = 1_000_000
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
FAULTS: Final = {
    "none": 62,
    "break off": 16,
    "answer twice": 8,
    "second answer within": 5,
    "second answer within a chunk": 3,
    "no response": 3,
    "refuse": 3,
    "fail": 3,
}


class Run(NamedTuple):
    """One run of a request at a server.

    Attributes
    ----------
    attempt_id : str
        The request's attempt id.
    seal : bytes
        The proof that the server sends.
    made : list of bytes
        The events by number, or the body.
    fault : str
        What the server did wrong, from `FAULTS`.
    """

    attempt_id: str
    seal: bytes
    made: dict[int, bytes]
    fault: str


@final
class Runs:
    """Everything that the servers ran.

    Attributes
    ----------
    weights : mapping
        How often servers have each of `FAULTS`.
    """

    def __init__(self, weights: Mapping[str, int]) -> None:
        self.weights = weights
        self.by_attempt: defaultdict[str, list[Run]] = defaultdict(list)
        self.faults: Counter[str] = Counter()

    def begin(self, attempt_id: str, fault: str) -> Run:
        """Record a run."""
        runs = self.by_attempt[attempt_id]
        run = Run(
            attempt_id, b"seal-%s-%d" % (attempt_id.encode(), len(runs)), {}, fault
        )
        runs.append(run)
        self.faults[fault] += 1
        return run


class _Plan(NamedTuple):
    """How a server answers one request."""

    rng: random.Random
    fault: str
    first: int
    count: int
    is_stream: bool
    is_chunked: bool


@final
class StreamServer:
    """A server whose answers depend on the seed and the request's attempt id.

    The target of a request for a stream is ``/ROUTE/COUNT-ANYTHING``; its events have
    the ids from 0 to ``COUNT - 1``.
    """

    def __init__(self, number: int, seed: int, runs: Runs) -> None:
        self.server_id = f"s{number}"
        self.crashes = 0
        self._number = number
        self._seed = seed
        self._runs = runs
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._is_closed = False
        self._port = 0
        self._listening: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listen on a free port, and from then on always on that one."""
        self._listening = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port
        )
        self._port = self._listening.sockets[0].getsockname()[1]

    def is_up(self) -> bool:
        """Return whether the server has not crashed."""
        return self._listening is not None

    def entry(self) -> bytes:
        """Return the next entry that the server writes to the store."""
        self._sequence += 1
        more = {"born": self._born_ms, "slots": 24, "sequence": self._sequence}
        return server_entry(SERVICE, f"127.0.0.1:{self._port}", **more)

    async def crash(self) -> None:
        """Reset all connections at whatever byte they are, and be back later."""
        if self._listening is None or self._is_closed:
            return
        self.crashes += 1
        self._listening.close()
        self._listening = None
        for writer in list(self._writers):
            _reset(writer)
        await asyncio.sleep(RESTART_S)
        self._born_ms = int(time.time() * 1000)
        if self._is_closed:
            return
        if self.crashes % 2:
            self.server_id = f"s{self._number}-{self.crashes}"
        await self.listen()

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        self._is_closed = True
        if self._listening is not None:
            self._listening.close()
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._listening is None:
            # Accepted just before the crash.
            self._runs.faults["connection of a crashed server"] += 1
            _reset(writer)
            return
        self._writers.add(writer)
        try:
            while await self._answer(await read_request(reader), writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection is kept."""
        target = head.split(b" ")[1].decode()
        expected = _header(head, "X-Expect-Instance")
        if target in ("/report", "/health"):
            body = b'{"models": [], "busy": false, "sequence": 0}'
            more = b"X-Instance-Id: %s\r\n" % self.server_id.encode()
            writer.write(_whole(b"200 OK", more, body))
            return True
        if expected not in (None, self.server_id):
            writer.write(_whole(b"421 Other", echoed_id(head), b""))
            return True
        attempt_id = _header(head, "X-Attempt-Id") or ""
        plan = self._plan(target, attempt_id, _header(head, "Last-Event-Id"))
        if plan.fault == "refuse":
            marked = echoed_id(head) + b"X-Not-Executed: 1\r\n"
            writer.write(_whole(b"503 Full", marked, b""))
            return True
        run = self._runs.begin(attempt_id, plan.fault)
        sealed = echoed_id(head) + b"X-Server-Seal: %s\r\n" % run.seal
        if POISON in target:
            writer.write(_stream_head(sealed, plan))
            await self._send_events(writer, plan, run, 1)
            await self.crash()
            return False
        if plan.fault == "fail":
            run.made[0] = b"failed"
            writer.write(_whole(b"500 Failed", sealed, b"failed"))
            return True
        if plan.fault == "no response":
            writer.write(b"no response\r\n" if plan.rng.random() < 0.5 else b"")
            return False
        if plan.is_stream:
            return await self._answer_stream(writer, plan, run, sealed)
        return await self._answer_body(writer, plan, run, sealed)

    def _plan(self, target: str, attempt_id: str, last_id: str | None) -> _Plan:
        run_number = len(self._runs.by_attempt[attempt_id])
        rng = random.Random(f"{self._seed} {attempt_id} {run_number}")
        weights = self._runs.weights
        (fault,) = rng.choices(list(weights), list(weights.values()))
        _, route, name = target.split("/", 2)
        first = int(last_id) + 1 if last_id else 0
        is_stream = route in ("resume", "stream")
        count = int(name.partition("-")[0]) if is_stream else 1
        is_chunked = rng.random() < 0.6
        if fault in SECOND_ANSWERS:
            is_chunked = fault != "second answer within"
        return _Plan(rng, fault, first, count, is_stream, is_chunked)

    async def _answer_body(
        self, writer: asyncio.StreamWriter, plan: _Plan, run: Run, sealed: bytes
    ) -> bool:
        body = run.made[0] = _payload(plan.rng, run, 0)
        whole = _whole(b"200 OK", sealed, body)
        if plan.fault in ("break off", *SECOND_ANSWERS):
            writer.write(whole[: plan.rng.randrange(1, len(whole))])
            await writer.drain()
            if plan.rng.random() < 0.5:
                _reset(writer)
            return False
        writer.write(whole)
        return await self._repeat(writer, plan, whole)

    async def _answer_stream(
        self, writer: asyncio.StreamWriter, plan: _Plan, run: Run, sealed: bytes
    ) -> bool:
        rng = plan.rng
        writer.write(_stream_head(sealed, plan))
        if plan.fault in ("break off", *SECOND_ANSWERS):
            left = plan.count - plan.first
            whole_count = rng.randrange(left) if left > 0 else 0
            await self._send_events(writer, plan, run, whole_count)
            if left <= 0:
                _reset(writer)
                return False
            piece = _piece(plan, run, plan.first + whole_count)
            part = piece[: rng.randrange(1, len(piece))]
            if plan.fault == "second answer within a chunk":
                writer.write(b"%x\r\n" % LARGE_CHUNK_BYTES)
                plan = plan._replace(is_chunked=False)
            writer.write(_framed(part, plan))
            await writer.drain()
            await asyncio.sleep(rng.uniform(0.0, 0.03))
            if plan.fault in SECOND_ANSWERS:
                # It is the answer to a request that goes on after this event.
                writer.write(_stream_head(sealed, plan))
                later = plan._replace(first=plan.first + whole_count + 1)
                await self._send_events(writer, later, run, plan.count - later.first)
            elif rng.random() < 0.5:
                _reset(writer)
            return False
        await self._send_events(writer, plan, run, plan.count - plan.first)
        if not plan.is_chunked:
            return False
        writer.write(b"0\r\n\r\n")
        again = _stream_head(sealed, plan)
        again += b"".join(_framed(piece, plan) for piece in run.made.values())
        return await self._repeat(writer, plan, again + b"0\r\n\r\n")

    async def _repeat(
        self, writer: asyncio.StreamWriter, plan: _Plan, answer: bytes
    ) -> bool:
        """Answer twice if the plan says so; return that the connection is kept."""
        if plan.fault == "answer twice":
            await writer.drain()
            await asyncio.sleep(plan.rng.choice((0.0, 0.01, 0.1)))
            writer.write(answer)
        await writer.drain()
        return True

    async def _send_events(
        self, writer: asyncio.StreamWriter, plan: _Plan, run: Run, count: int
    ) -> None:
        """Send events, each in two parts with a pause between them."""
        for number in range(plan.first, plan.first + count):
            piece = _piece(plan, run, number)
            cut = plan.rng.randrange(1, len(piece))
            for part in (piece[:cut], piece[cut:]):
                writer.write(_framed(part, plan))
                await writer.drain()
                await asyncio.sleep(plan.rng.uniform(0.0, 0.02))


def _header(head: bytes, name: str) -> str | None:
    found = re.search(rb"(?i)\r\n%s: *([^\r]*)\r\n" % name.encode(), head)
    return found[1].decode() if found else None


def _whole(status: bytes, headers: bytes, body: bytes) -> bytes:
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + headers + length + body


def _stream_head(headers: bytes, plan: _Plan) -> bytes:
    coding = b"Transfer-Encoding: chunked\r\n" if plan.is_chunked else b""
    kind = b"Content-Type: text/event-stream\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\n" + headers + coding + kind


def _framed(part: bytes, plan: _Plan) -> bytes:
    return b"%x\r\n%b\r\n" % (len(part), part) if plan.is_chunked else part


def _payload(rng: random.Random, run: Run, number: int) -> bytes:
    filler = rng.randbytes(rng.choice((8, 40, 40, 2000))).hex().encode()
    return b"<%s %d %s>" % (run.seal, number, filler)


def _piece(plan: _Plan, run: Run, number: int) -> bytes:
    """Make the event with a number, or return the one made before."""
    if number not in run.made:
        payload = _payload(plan.rng, run, number)
        run.made[number] = b"id: %d\ndata: %b\n\n" % (number, payload)
    return run.made[number]


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
