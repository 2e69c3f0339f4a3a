"""Backend servers that break resumable streams, and callers that check every event.

``python -m testing.vm.stream_faults --seeds 1-20`` runs many seeds and prints each
breach with the runs and the log lines of its request.
"""

import argparse
import asyncio
import contextlib
import json
import logging
import random
import re
import socket
import struct
import sys
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Collection, Iterator, Mapping, Sequence
from contextlib import asynccontextmanager, contextmanager
from typing import Final, Literal, NamedTuple, NoReturn, final

from absl import logging as absl_logging

from _pistachiopond.http1.client import ClientConnection, ExchangeError, connect
from _pistachiopond.http1.messages import HttpAddress, RequestHead, encode_request
from _pistachiopond.http1.server import ServerConnection
from testing.vm.cluster import Cluster
from testing.vm.deployment import (
    HOST,
    listen,
    refusing_address,
    running_deployment,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import echoed_id, read_request
from testing.vm.test_cut_from_servers import cut_off

EVENTS: Final = 12
SERVERS: Final = 6
CALLERS: Final = 12
PATH: Final = b"/resume/x"
POISON: Final = b"poison"
EVENT_END: Final = b"\n\n"
RESPONSE_HEAD: Final = b"HTTP/1."
GARBAGE: Final = b"\x00\xff}{ZZ\r\xfe~garbage"

Framing = Literal["chunked", "until_close", "length"]
FaultKind = Literal[
    "none",
    "reset",
    "close",
    "silence",
    "garble",
    "second",
    "refuse",
    "twice",
    "late",
    "starts_over",
]
FAULT_WEIGHTS: Final[dict[FaultKind, int]] = {
    "none": 40,
    "reset": 12,
    "close": 10,
    "silence": 4,
    "garble": 6,
    "second": 12,
    "refuse": 8,
    "twice": 5,
    "late": 5,
    "starts_over": 8,
}
REFUSALS: Final = (
    b"503 Service Unavailable\r\nX-Not-Executed: 1",
    b"503 Service Unavailable",
    b"500 Internal Server Error",
    b"421 Misdirected Request",
)


class MadeEvent(NamedTuple):
    """Where an event comes from."""

    number: int
    run: int
    attempt_id: str
    version: str


class Answer(NamedTuple):
    """What a caller got of one answer; `last_id` is the id that it resumed after."""

    attempt_id: str
    last_id: int | None
    body: bytes
    is_complete: bool


BreachKind = Literal[
    "changed_event",
    "foreign_event",
    "wrong_id",
    "mixed_versions",
    "ended_within_event",
    "ended_early",
]


class Breach(NamedTuple):
    """A broken promise about a stream; `data` is the event or part of it.

    `index` is the position in the answer, from 0, and not the event's id. `is_resumed`
    says whether the caller had events of earlier answers.
    """

    kind: BreachKind
    attempt_id: str
    is_resumed: bool
    index: int
    data: bytes


def find_breach(
    made: Mapping[bytes, MadeEvent], answers: Sequence[Answer], events: int
) -> Breach | None:
    """Return the first breach in the answers to one caller's stream.

    Parameters
    ----------
    made : mapping
        All events that servers made, by their bytes with the end mark.
    answers : sequence of Answer
        The answers to the caller's attempts, in order.
    events : int
        How many events a whole stream has.
    """
    attempt_ids = {answer.attempt_id for answer in answers}
    version = None
    for answer in answers:
        place = (answer.attempt_id, answer.last_id is not None)
        due = 0 if answer.last_id is None else answer.last_id + 1
        *blocks, rest = answer.body.split(EVENT_END)
        for index, block in enumerate(blocks):
            kind: BreachKind | None = None
            event = made.get(block + EVENT_END)
            if event is None:
                kind = "changed_event"
            elif event.attempt_id not in attempt_ids:
                kind = "foreign_event"
            elif event.number != due:
                kind = "wrong_id"
            elif version not in (None, event.version):
                kind = "mixed_versions"
            if event is None or kind is not None:
                return Breach(kind or "changed_event", *place, index, block)
            version = event.version
            due += 1
        kind = judge_end(made, answer, rest, due == events)
        if kind is not None:
            return Breach(kind, *place, len(blocks), rest)
    return None


def judge_end(
    made: Mapping[bytes, MadeEvent], answer: Answer, rest: bytes, has_all: bool
) -> BreachKind | None:
    """Return what is wrong with the end of an answer, or None."""
    if rest and answer.is_complete:
        return "ended_within_event"
    if rest and not any(event.startswith(rest) for event in made):
        return "changed_event"
    if answer.is_complete and not has_all:
        return "ended_early"
    return None


class Run(NamedTuple):
    """One response of a server, with what it was meant to do."""

    number: int
    server: str
    attempt_id: str
    first: int
    framing: Framing
    fault: FaultKind
    is_second: bool
    cut_bytes: int | None
    body_bytes: int


@final
class Record:
    """All runs and events of the servers of one test run."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.made: dict[bytes, MadeEvent] = {}
        self.crashes = 0
        self.refusals = 0

    def make_events(
        self, server: str, version: str, attempt_id: str, first: int, pad: int
    ) -> tuple[int, bytes]:
        """Make the events of a new run; return its number and their bytes."""
        run = len(self.runs)
        events = []
        for number in range(first, EVENTS):
            mark = b"%b.%d.%d" % (server.encode(), run, number)
            event = b"id: %d\ndata: <%b %b %b>\n\n" % (number, mark, b"." * pad, mark)
            self.made[event] = MadeEvent(number, run, attempt_id, version)
            events.append(event)
        return run, b"".join(events)


def encode_response(
    rng: random.Random, framing: Framing, id_line: bytes, body: bytes
) -> tuple[bytes, bytes]:
    """Return the head and the framed body of a stream."""
    lines = b"HTTP/1.1 200 OK\r\n" + id_line
    lines += b"X-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n"
    if framing == "length":
        return lines + b"Content-Length: %d\r\n\r\n" % len(body), body
    if framing == "until_close":
        return lines + b"\r\n", body
    ends = sorted({*rng.sample(range(len(body) + 1), min(9, len(body))), len(body)})
    start = 0
    framed = b""
    for end in ends:
        if end > start:
            framed += b"%x\r\n%b\r\n" % (end - start, body[start:end])
            start = end
    return lines + b"Transfer-Encoding: chunked\r\n\r\n", framed + b"0\r\n\r\n"


def choose_cut(rng: random.Random, head: bytes, body: bytes) -> int:
    """Return after how many bytes a response breaks off; often within its start."""
    size = len(head) + len(body)
    if rng.random() < 0.5:
        return min(size - 1, len(head) + rng.randrange(90))
    return rng.randrange(size)


def cut_for_close(head: bytes, body: bytes, cut: int, framing: Framing) -> int:
    """Return a cut at which a closed connection tells that the stream is incomplete."""
    data = head + body
    while framing == "until_close" and (
        cut == len(head) or (cut > len(head) and data[:cut].endswith(EVENT_END))
    ):
        cut -= 1
    return cut


@final
class FaultyServer:
    """Answers resumable streams, with seeded faults at seeded bytes."""

    def __init__(
        self,
        name: str,
        version: str,
        seed: int,
        record: Record,
        faults: Collection[FaultKind],
    ) -> None:
        self.name = name
        self._faults = [kind for kind in FAULT_WEIGHTS if kind in faults]
        self._version = version
        self._rng = random.Random(f"{seed}/{name}")
        self._record = record
        self._writers: set[asyncio.StreamWriter] = set()
        self._recent: list[tuple[bytes, int]] = []
        self._address: HttpAddress | None = None
        self._is_crashed = False

    async def listen(self) -> HttpAddress:
        """Listen on the same port each time, and return the address."""
        place = self._address or HttpAddress("127.0.0.1", 0)
        self._server = await asyncio.start_server(self._serve, *place)
        self._address = HttpAddress(*self._server.sockets[0].getsockname())
        return self._address

    def close(self) -> None:
        """Close the listening socket and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        late = b""
        try:
            while True:
                head = await read_request(reader)
                if head.startswith(b"GET "):
                    writer.write(self._health())
                    continue
                if POISON in head:
                    await self._crash()
                    return
                if late:
                    writer.write(late)
                    late = b""
                    await asyncio.sleep(self._rng.choice((0.0, 0.005)))
                late = await self._answer(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        except EndOfConnection:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _health(self) -> bytes:
        return (
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Instance-Id: %b\r\n\r\n"
            % self.name.encode()
        )

    async def _crash(self) -> None:
        if self._is_crashed:
            return
        self._is_crashed = True
        self._record.crashes += 1
        await asyncio.sleep(self._rng.uniform(0.0, 0.02))
        self.close()
        await asyncio.sleep(self._rng.uniform(0.1, 0.4))
        await self.listen()
        self._is_crashed = False

    async def _answer(
        self,
        request: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Answer one request; return a second answer to send before the next one."""
        rng = self._rng
        weights = [FAULT_WEIGHTS[kind] for kind in self._faults]
        fault = rng.choices(self._faults, weights)[0]
        id_line = echoed_id(request)
        if fault == "refuse":
            self._record.refusals += 1
            status = rng.choice(REFUSALS)
            writer.write(
                b"HTTP/1.1 %b\r\n%bContent-Length: 0\r\n\r\n" % (status, id_line)
            )
            return b""
        found = re.search(rb"Last-Event-Id: (\d+)", request, re.IGNORECASE)
        goes_on = found is not None and fault != "starts_over"
        first = int(found[1]) + 1 if goes_on else 0
        self._recent = [*self._recent[-5:], (id_line, first)]
        framing = rng.choices(("chunked", "until_close", "length"), (45, 45, 10))[0]
        is_cut = fault in ("reset", "close", "silence", "garble", "second")
        head, body, cut = self._encode(id_line, first, framing, fault, is_cut)
        await self._write_slowly(writer, (head + body)[:cut])
        if is_cut:
            await self._break_off(fault, reader, writer)
        if fault == "late" and framing != "until_close":
            return self._second(fault)
        if fault in ("twice", "late"):
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.005, 0.03)))
            writer.write(self._second(fault))
            await writer.drain()
        if framing == "until_close":
            raise EndOfConnection
        return b""

    async def _break_off(
        self,
        fault: FaultKind,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> NoReturn:
        """End a connection after a part of a response."""
        rng = self._rng
        if fault == "second":
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.005, 0.03)))
            await self._write_slowly(writer, self._second(fault))
            raise EndOfConnection
        if fault == "silence":
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), rng.choice((0.1, 0.3, 1.5)))
        elif fault == "garble":
            writer.write(GARBAGE * rng.randrange(1, 4))
            await writer.drain()
        # The bytes before a reset must arrive.
        await asyncio.sleep(0.004)
        if fault in ("reset", "silence"):
            reset(writer)
        raise EndOfConnection

    def _second(self, fault: FaultKind) -> bytes:
        """Return another response, to the same or to another recent attempt."""
        rng = self._rng
        is_same = rng.random() < 0.6
        id_line, first = self._recent[-1] if is_same else rng.choice(self._recent)
        framing = rng.choices(("chunked", "until_close", "length"), (30, 40, 30))[0]
        if fault in ("twice", "late"):
            framing = "length"
        head, body, _ = self._encode(
            id_line, first, framing, fault, False, is_second=True
        )
        return head + body

    def _encode(
        self,
        id_line: bytes,
        first: int,
        framing: Framing,
        fault: FaultKind,
        is_cut: bool,
        *,
        is_second: bool = False,
    ) -> tuple[bytes, bytes, int | None]:
        rng = self._rng
        attempt_id = id_line.partition(b":")[2].strip().decode()
        number, events = self._record.make_events(
            self.name, self._version, attempt_id, first, rng.choice((0, 10, 60))
        )
        head, body = encode_response(rng, framing, id_line, events)
        cut = choose_cut(rng, head, body) if is_cut else None
        if cut is not None and fault == "close":
            cut = cut_for_close(head, body, cut, framing)
        self._record.runs.append(
            Run(
                number,
                self.name,
                attempt_id,
                first,
                framing,
                fault,
                is_second,
                None if cut is None else cut - len(head),
                len(body),
            )
        )
        return head, body, cut

    async def _write_slowly(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        rng = self._rng
        start = 0
        while start < len(data):
            size = rng.choice((7, 60, 400, 2000))
            writer.write(data[start : start + size])
            await writer.drain()
            start += size
            if rng.random() < 0.5:
                await asyncio.sleep(rng.choice((0.0, 0.001, 0.004)))


class EndOfConnection(Exception):
    """The server ends the connection."""


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@final
class Callers:
    """Callers that take their streams up again after broken connections."""

    def __init__(self, seed: int, addresses: dict[str, HttpAddress]) -> None:
        self.addresses = addresses
        self.streams: list[list[Answer]] = []
        self.statuses: Counter[int] = Counter()
        self._seed = seed
        self._count = 0

    async def run(self, streams: int) -> None:
        """Run all callers until each has had so many streams."""
        works = [self._run_caller(number, streams) for number in range(CALLERS)]
        await asyncio.gather(*works)

    async def send_poison(self) -> None:
        """Send requests that crash servers, until cancelled."""
        rng = random.Random(f"{self._seed}/poison")
        count = 0
        while True:
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            # After some crashes, the same request is refused.
            body = b"poison %d" % (count // 4)
            count += 1
            headers = self._headers(f"poison-{count}")
            head = RequestHead(b"POST", b"/resume/" + POISON, headers)
            with contextlib.suppress(ExchangeError):
                address = self.addresses[rng.choice(sorted(self.addresses))]
                connection = await connect(address, 1.0)
                connection.send(encode_request(head, body))
                await connection.read_head()
                connection.close()

    async def _run_caller(self, number: int, streams: int) -> None:
        rng = random.Random(f"{self._seed}/caller/{number}")
        kept: dict[str, ClientConnection] = {}
        for _ in range(streams):
            self._count += 1
            await self._run_stream(rng, f"{self._seed:x}-{self._count}", kept)
        for connection in kept.values():
            connection.close()

    async def _run_stream(
        self, rng: random.Random, name: str, kept: dict[str, ClientConnection]
    ) -> None:
        answers: list[Answer] = []
        self.streams.append(answers)
        leaves_after = rng.randrange(1, 900) if rng.random() < 0.08 else None
        last_id, first_attempt = None, None
        for attempt in range(5):
            attempt_id = f"{name}-{attempt}"
            headers = self._headers(attempt_id)
            if last_id is not None and first_attempt is not None:
                headers.append((b"Last-Event-Id", b"%d" % last_id))
                headers.append((b"Resumes", first_attempt.encode()))
            if rng.random() < 0.1:
                headers.append((b"Expect", b"100-continue"))
            request = encode_request(RequestHead(b"POST", PATH, headers), name.encode())
            vm = rng.choice(sorted(self.addresses))
            body, is_complete = await self._call(vm, request, leaves_after, kept)
            answers.append(Answer(attempt_id, last_id, body, is_complete))
            if is_complete or leaves_after is not None:
                return
            ids = re.findall(rb"^id: (\d+)$", body.rpartition(EVENT_END)[0], re.M)
            if ids:
                last_id = int(ids[-1])
                first_attempt = first_attempt or attempt_id
            await asyncio.sleep(rng.uniform(0.0, 0.02))

    async def _call(
        self,
        vm: str,
        request: bytes,
        leaves_after: int | None,
        kept: dict[str, ClientConnection],
    ) -> tuple[bytes, bool]:
        """Send a request; return the events and whether they ended as complete."""
        body = b""
        connection = kept.pop(vm, None)
        try:
            if connection is None or not connection.is_open():
                connection = await connect(self.addresses[vm], 1.0)
            connection.send(request)
            head = await connection.read_head()
            self.statuses[head.status] += 1
            while chunk := await connection.read_chunk():
                body += chunk if head.status == 200 else b""
                if leaves_after is not None and len(body) > leaves_after:
                    connection.close()
                    return body, False
        except (ExchangeError, KeyError):
            self.statuses[0] += 1
            if connection is not None:
                connection.close()
            return body, False
        if connection.finish(asyncio.get_running_loop().time()):
            kept[vm] = connection
        return body, head.status == 200

    def _headers(self, attempt_id: str) -> list[tuple[bytes, bytes]]:
        return [
            (b"Host", HOST.encode()),
            (b"X-Attempt-Id", attempt_id.encode()),
            (b"X-Deadline-Ms", b"1000"),
            (b"X-Key", b"office-key"),
            # Within the customer's rate limit.
            (b"X-Token-Counts", b"0,1"),
        ]


class RunOptions(NamedTuple):
    """What a run plays.

    Attributes
    ----------
    seed : int
        The seed of all faults, callers and disturbances.
    streams : int
        How many streams each caller has.
    faults : collection of str
        The faults of servers, besides crashes.
    versions : int
        How many software versions the servers have.
    cuts : bool
        Whether VMs are cut from the servers.
    """

    seed: int
    streams: int
    faults: Collection[FaultKind] = tuple(FAULT_WEIGHTS)
    versions: int = 2
    cuts: bool = True


class Result(NamedTuple):
    """The outcome of one run."""

    seed: int
    record: Record
    callers: Callers
    breaches: list[Breach]
    log: dict[str, list[str]]


@contextmanager
def captured_log() -> Iterator[dict[str, list[str]]]:
    """Collect the log lines that name a request, by its attempt id."""
    lines: dict[str, list[str]] = defaultdict(list)

    class Collector(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            fields = getattr(record, "fields", {})
            text = json.dumps({"message": record.getMessage()} | fields, default=str)
            lines[str(fields.get("request", ""))].append(text)

    logger = absl_logging.get_absl_logger()
    handler, level, propagate = Collector(), logger.level, logger.propagate
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    try:
        yield lines
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        logger.propagate = propagate


@asynccontextmanager
async def faulty_servers(
    options: RunOptions, record: Record
) -> AsyncIterator[dict[str, bytes]]:
    """Run the servers; yield their entries in the store."""
    servers = []
    entries = {}
    for number in range(SERVERS):
        version = f"v{number % options.versions + 1}"
        name = f"s{number}"
        server = FaultyServer(name, version, options.seed, record, options.faults)
        place = await server.listen()
        address = f"{place.ip}:{place.port}"
        entries[server.name] = server_entry("plain", address, version=version, slots=20)
        servers.append(server)
    try:
        yield entries
    finally:
        for server in servers:
            server.close()


async def _run_callers(
    callers: Callers, streams: int, others: Sequence[asyncio.Task]
) -> None:
    tasks = [*others, asyncio.ensure_future(callers.send_poison())]
    try:
        await callers.run(streams)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def run_single_vm(options: RunOptions) -> Result:
    """Run callers at one VM."""
    record = Record()
    with captured_log() as log:
        async with (
            faulty_servers(options, record) as entries,
            running_deployment() as deployment,
        ):
            for name, entry in entries.items():
                deployment.store.put("keyed.servers", name, entry)
            fleet = deployment.vm.fleet
            await wait_until(lambda: len(fleet.servers) == SERVERS)
            callers = Callers(options.seed, {"vm-1": deployment.address})
            await _run_callers(callers, options.streams, [])
    return _judge(options.seed, record, callers, log)


@final
class CallerListeners:
    """Listens for callers on the VMs of a cluster, and kills and replaces VMs."""

    def __init__(self, cluster: Cluster, addresses: dict[str, HttpAddress]) -> None:
        self._cluster = cluster
        self._addresses = addresses
        self._listening: dict[str, asyncio.Server] = {}
        self._connections: dict[str, set[ServerConnection]] = {}

    async def open(self, name: str) -> None:
        """Accept callers at a VM that knows the servers."""
        vm = self._cluster.vms[name]
        await wait_until(
            lambda: len(vm.fleet.servers) == SERVERS and vm.state.table is not None,
            5.0,
        )
        self._connections[name] = set()
        listening, address = await listen(
            vm.request_handler.handle, self._connections[name]
        )
        self._listening[name] = listening
        self._addresses[name] = address

    async def kill(self, name: str) -> None:
        """Kill a VM with all its connections."""
        self._addresses.pop(name, None)
        self._listening.pop(name).close()
        for connection in list(self._connections.pop(name)):
            connection.abort()
        await self._cluster.kill(name)

    def close(self) -> None:
        """Close all listening sockets."""
        for listening in self._listening.values():
            listening.close()


async def _disturb(
    options: RunOptions, cluster: Cluster, listeners: CallerListeners
) -> None:
    """Kill and replace VMs, and cut them from the servers, until cancelled."""
    rng = random.Random(f"{options.seed}/vms")
    store = HttpAddress(*cluster.server.sockets[0].getsockname())
    count = 3
    with refusing_address() as refusing:
        while True:
            await asyncio.sleep(rng.uniform(0.3, 0.8))
            name = rng.choice(sorted(cluster.tasks))
            if options.cuts and rng.random() < 0.6:
                heal = cut_off(cluster.vms[name], refusing)
                await asyncio.sleep(rng.uniform(0.2, 0.6))
                heal()
                continue
            await listeners.kill(name)
            cluster.launch(f"vm-{count}", store)
            await listeners.open(f"vm-{count}")
            count += 1


async def run_cluster(options: RunOptions) -> Result:
    """Run callers at three VMs, which are killed and cut from the servers."""
    record = Record()
    cluster = Cluster()
    with captured_log() as log:
        async with faulty_servers(options, record) as entries:
            await cluster.start(3)
            callers = Callers(options.seed, {})
            listeners = CallerListeners(cluster, callers.addresses)
            try:
                for name, entry in entries.items():
                    cluster.store.put("keyed.servers", name, entry)
                for name in list(cluster.vms):
                    await listeners.open(name)
                disturbance = asyncio.ensure_future(
                    _disturb(options, cluster, listeners)
                )
                await _run_callers(callers, options.streams, [disturbance])
                if not disturbance.cancelled() and disturbance.exception():
                    raise disturbance.exception()
            finally:
                listeners.close()
                await cluster.close()
    return _judge(options.seed, record, callers, log)


def _judge(
    seed: int, record: Record, callers: Callers, log: dict[str, list[str]]
) -> Result:
    found = (find_breach(record.made, item, EVENTS) for item in callers.streams)
    return Result(seed, record, callers, [item for item in found if item], log)


Cause = Literal[
    "attempts", "second_response", "events_skipped", "callers_attempts", "other"
]


def likely_cause(result: Result, breach: Breach) -> Cause:
    """Return what was joined: attempts, responses of one, or a caller's attempts."""
    made = runs_of(result, breach)
    if any(run.fault == "second" and (run.cut_bytes or 0) < 0 for run in made):
        return "second_response"
    attempts = [run for run in made if not run.is_second]
    if breach.kind in ("wrong_id", "mixed_versions", "ended_early"):
        is_resumed_once = breach.is_resumed and len(attempts) <= 1
        is_between_answers = is_resumed_once and not breach.index
        return "callers_attempts" if is_between_answers else "events_skipped"
    by_number = {run.number: run for run in result.record.runs}
    runs = [by_number[number] for number in runs_in(breach.data)]
    if RESPONSE_HEAD in breach.data or any(run.is_second for run in runs):
        return "second_response"
    return "attempts" if len(attempts) > 1 else "other"


def runs_of(result: Result, breach: Breach) -> list[Run]:
    """Return the runs of the attempt with a breach."""
    runs = result.record.runs
    return [run for run in runs if run.attempt_id == breach.attempt_id]


def runs_in(data: bytes) -> list[int]:
    """Return the numbers of the runs that are named in bytes of a stream."""
    named = re.findall(rb"s\d+\.(\d+)\.\d+", data)
    return sorted({int(number) for number in named})


def describe(result: Result, breach: Breach) -> str:
    """Return a breach with the runs and the log lines of its request."""
    runs = runs_of(result, breach)
    named = runs_in(breach.data)
    others = [r for r in result.record.runs if r.number in named and r not in runs]
    cause = likely_cause(result, breach)
    lines = [
        f"seed {result.seed}: {breach.kind} {breach.attempt_id}, {cause},"
        f" event {breach.index} of the answer"
    ]
    lines.append(f"  bytes: {breach.data!r}")
    lines += [f"  run of the attempt: {run}" for run in runs]
    lines += [f"  run in the bytes: {run}" for run in others]
    lines += [f"  log: {line}" for line in result.log.get(breach.attempt_id, [])]
    return "\n".join(lines)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of ``1-20`` or ``3``."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run the seeds of the command line; return 1 if there are breaches."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=parse_seeds, default=[1, 2])
    parser.add_argument("--streams", type=int, default=200)
    parser.add_argument("--mode", choices=("single", "cluster"), default="single")
    parser.add_argument("--versions", type=int, default=2)
    parser.add_argument("--without", nargs="*", default=[], choices=FAULT_WEIGHTS)
    parser.add_argument("--no-cuts", action="store_true")
    args = parser.parse_args()
    faults = [kind for kind in FAULT_WEIGHTS if kind not in args.without]
    run = run_single_vm if args.mode == "single" else run_cluster
    causes: Counter[Cause] = Counter()
    for seed in args.seeds:
        began_s = time.monotonic()
        result = asyncio.run(
            run(RunOptions(seed, args.streams, faults, args.versions, not args.no_cuts))
        )
        causes.update(likely_cause(result, breach) for breach in result.breaches)
        complete = sum(item[-1].is_complete for item in result.callers.streams)
        messages = Counter(
            json.loads(line)["message"] for item in result.log.values() for line in item
        )
        print(
            f"seed {seed}: {len(result.breaches)} breaches,"
            f" {len(result.callers.streams)} streams, {complete} complete,"
            f" {len(result.record.runs)} runs, {result.record.crashes} crashes,"
            f" statuses {dict(result.callers.statuses)},"
            f" attempts failed {messages['attempt failed']},"
            f" passed on {messages['request passed on']},"
            f" {time.monotonic() - began_s:.1f} s",
            flush=True,
        )
        for breach in result.breaches:
            print(describe(result, breach), flush=True)
    print(f"{causes.total()} breaches in {len(args.seeds)} runs: {dict(causes)}")
    return 1 if causes else 0


if __name__ == "__main__":
    sys.exit(main())
