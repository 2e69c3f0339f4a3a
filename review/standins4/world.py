"""Stand-ins of the platform, of backend servers and of clients, for one small world.

The programs under test are started as processes with the command of the deploy file.
Store, servers and clients run in this process. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT: Final = Path(__file__).resolve().parents[2]
HEARTBEAT_S: Final = 1.2
# A server's entry lapses after so many heartbeats without one.
LAPSE_HEARTBEATS: Final = 3
# Time of one way through the store, half of its 4 ms for an answer.
STORE_WAY_S: Final = 0.002
START_LIMIT_S: Final = 30.0
REASONS: Final = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request"}
FRONT_PORT: Final = 8221
READY_PORT: Final = 8224
SERVER_PORT: Final = 8080
PEER_PORTS: Final = (7600, 7615)

SETTINGS: Final = """\
nodeName = "{name}"
role = "vm"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "north"
internalPortRange = [{first_port},{last_port}]
seeds = []
bootstrap = true
toleranceMember = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream",\
"engine","tenants","quota","platform"]
[zones]
zone-a = "north"
zone-b = "north"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
fileDescriptors = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configPropagationMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevocation = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 7500
recoveryS = 12
passMs = 120
retryAfterS = 0
requireFence = true
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOver = 1.1
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"""


class CannotRunError(Exception):
    """The case could not be played, which says nothing about the rule."""


class Message(NamedTuple):
    """A request or a response.

    Attributes
    ----------
    start : list of str
        The words of its first line.
    headers : dict of str to str
        With names in lower case.
    body : bytes
        The whole body; empty for a response that is read in parts.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Read the first line and the headers of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return first.split(" ", 2), {k.strip().lower(): v.strip() for k, _, v in pairs}


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    body = b""
    while size := int((await reader.readline()).strip() or b"0", 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with its body; one without framing has none."""
    start, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(start, headers, await read_chunks(reader))
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


def encode_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: keyed topics, reads that wait, and conditional appends."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        # Returns whether to turn a call away, by its path and its topic.
        self.refuses: Callable[[str, str], bool] = lambda path, topic: False
        # How often it has come back from an older copy; None if it does not say.
        self.era: int | None = None
        self._is_away = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        self.address = ""

    async def listen(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._server = server
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record, as the operator or a server."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return len(records) - 1

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all records."""
        return {topic: list(records) for topic, records in self.topics.items()}

    def go_away(self) -> None:
        """End all connections with a reset, and all further ones."""
        self._is_away = True
        for writer in list(self._writers):
            reset_connection(writer)

    def come_back(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Serve again, from an older copy."""
        self.topics = copy
        self.era = (self.era or 0) + 1
        self._is_away = False

    def leader(self) -> str:
        """Return the name in the newest claim of the system's own topic."""
        for key, value in reversed(self.topics.get("keyed.pond", [])):
            if key == "leader" and value:
                return json.loads(value)["leader"]
        return ""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_away:
            reset_connection(writer)
            return
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                await asyncio.sleep(STORE_WAY_S)
                response = await self._answer(message)
                await asyncio.sleep(STORE_WAY_S)
                if self._is_away or writer.is_closing():
                    break
                if self.era is not None:
                    era = b"\r\nStore-Era: %d\r\n" % self.era
                    response = response.replace(b"\r\n", era, 1)
                writer.write(response)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message: Message) -> bytes:
        parts = urlsplit(message.start[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        if self.refuses(parts.path, topic):
            return encode_response(503)
        if parts.path == "/log-read":
            return await self._read(topic, query)
        if parts.path == "/log-newest":
            return self._newest(topic, query)
        if parts.path == "/log-append":
            return self._append(topic, query, message.body)
        return encode_response(404)

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        offset = int(query["from"])
        end_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(self.topics.get(topic, [])) <= offset:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
            if self.refuses("/log-read", topic):
                return encode_response(503)
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return encode_response(200, body=body)

    def _newest(self, topic: str, query: dict[str, str]) -> bytes:
        if topic not in self.topics:
            return encode_response(404)
        newest = {
            key: (offset, value)
            for offset, (key, value) in enumerate(self.topics[topic])
        }
        items = [
            {"key": k, "offset": at, "value": base64.b64encode(value).decode()}
            for k, (at, value) in sorted(newest.items())
            if value and k > query.get("after", "")
        ]
        plain = {
            "items": items[:500],
            "more": len(items) > 500,
            "end": len(self.topics[topic]),
        }
        return encode_response(200, body=json.dumps(plain).encode())

    def _append(self, topic: str, query: dict[str, str], body: bytes) -> bytes:
        records = self.topics.setdefault(topic, [])
        if topic in ("keyed.op", "keyed.servers"):
            return encode_response(403)
        if "at" in query and int(query["at"]) != len(records):
            plain = json.dumps({"end": len(records)}).encode()
            return encode_response(412, body=plain)
        first = len(records)
        while body:
            (size,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + size], body[4 + size :]
            key_end = 1 + content[0]
            self.put(topic, content[1:key_end].decode(), content[key_end:])
        plain = json.dumps({"offset": first, "end": len(records)}).encode()
        return encode_response(200, body=plain)


class Arrival(NamedTuple):
    """A request that reached a server.

    Attributes
    ----------
    at_s : float
        When it was read, on the monotonic clock.
    attempt : str
        The client's id.
    server : str
        The server's id.
    outcome : str
        ``run``, ``full`` or ``other`` (another incarnation was expected).
    """

    at_s: float
    attempt: str
    server: str
    outcome: str


class Server:
    """A backend server with slots, a short queue, and an entry in the store."""

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        store: Store,
        *,
        slots: int,
        queue: int,
    ) -> None:
        self.name = name
        self._ip = ip
        self.service = service
        self.slots = slots
        self.queue = queue
        self.work_s: Callable[[], float] = lambda: 0.02
        # Headers of all answers, and of those that turn a request away.
        self.headers: dict[str, str] = {}
        self.arrivals: list[Arrival] = []
        self.on_full: Callable[[Server], None] = lambda server: None
        self.models: tuple[str, ...] = ()
        # The ids of the events of each stream, and the time between two of them.
        self.events = 0
        self.pause_s = 0.02
        # Of its software; each event names it.
        self.version = "v1"
        # A part of prompts that crashes the server when it begins to answer, and for
        # how long the server is away then.
        self.bad_part = ""
        self.down_s = 3.0
        # Whether it is silent for that time, and its connections end only then.
        self.is_silent_crash = False
        self.is_stuck = False
        self.is_up = False
        self.address = ""
        self.state = "ready"
        self.reports = True
        self.running = 0
        self.waiting = 0
        self.completed = 0
        self.cut_off = 0
        self._store = store
        self._born = 0
        self._beats = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._free = asyncio.Condition()
        self._lapse: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begin a new lifetime at the address of the one before."""
        self._listener = await asyncio.start_server(self._serve, self._ip, SERVER_PORT)
        self.address = f"{self._ip}:{SERVER_PORT}"
        self.is_up, self.is_stuck = True, False
        self.state = "ready"
        self.running = self.waiting = 0
        self._born = int(time.time() * 1000)
        self.beat()

    def beat(self) -> None:
        """Write the entry, and schedule the next write and the lapse."""
        self._beats += 1
        plain = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._beats,
            "born": self._born,
            "models": [self._model(name) for name in self.models],
        }
        self._store.put("keyed.servers", self.name, json.dumps(plain).encode())
        loop = asyncio.get_running_loop()
        if self._lapse is not None:
            self._lapse.cancel()
        self._lapse = loop.call_later(LAPSE_HEARTBEATS * HEARTBEAT_S, self._remove)

    def _model(self, name: str) -> dict[str, object]:
        return {"name": name, "version": 1, "adapters": []}

    def _remove(self) -> None:
        self._store.put("keyed.servers", self.name, b"")

    async def keep_beating(self) -> None:
        """Write the entry periodically while the server is up."""
        while True:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))
            if self.is_up and self.reports:
                self.beat()

    def crash(self) -> None:
        """End all connections with a reset, and stop listening."""
        self.is_up = False
        self._listener.close()
        self.cut_off += self.running
        for writer in list(self._writers):
            reset_connection(writer)
        self._writers.clear()

    def crash_and_return(self, after_s: float) -> None:
        """Crash, and begin a new lifetime some seconds later."""

        async def later() -> None:
            await asyncio.sleep(after_s)
            if self.is_stuck:
                self.crash()
            await self.start()

        if not self.is_up:
            return
        if self.is_silent_crash:
            self.is_stuck, self.is_up = True, False
        else:
            self.crash()
        task = asyncio.get_running_loop().create_task(later())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                await self._wait_while_stuck()
                if not self.is_up:
                    # Read before the crash.
                    break
                writer.write(await self._answer(message, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_while_stuck(self) -> None:
        """Wait until the end of a silent crash, which ends all connections."""
        while self.is_stuck:
            await asyncio.sleep(0.05)
            if not self.is_stuck:
                raise ConnectionResetError

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> bytes:
        if message.start[1] == "/report":
            models = [self._model(name) for name in self.models]
            plain = {"models": models, "busy": False, "sequence": 0}
            return encode_response(200, self.headers, json.dumps(plain).encode())
        if message.start[1] == "/order":
            # What the case needs is loaded, so nothing is to be ordered.
            return encode_response(409, self.headers)
        attempt = message.headers.get("x-attempt-id", "")
        headers = self._answer_headers(attempt)
        expected = message.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            self._record(attempt, "other")
            return encode_response(421, headers | {"X-Instance-Id": self.name})
        if self.running >= self.slots and self.waiting >= self.queue:
            self._record(attempt, "full")
            self.on_full(self)
            return encode_response(503, headers | {"X-Not-Executed": "1"})
        self._record(attempt, "run")
        born = self._born
        if self.running >= self.slots:
            self.waiting += 1
            async with self._free:
                await self._free.wait_for(
                    lambda: self.running < self.slots or self._born != born
                )
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self.work_s())
            await self._wait_while_stuck()
            if self.bad_part and self.bad_part in message.headers.get(
                "x-prompt-prefix", ""
            ):
                self.crash_and_return(self.down_s)
                await self._wait_while_stuck()
            if self.events and self.is_up:
                after = int(message.headers.get("last-event-id", "0"))
                return await self._stream(attempt, writer, after)
        finally:
            if self._born == born:
                self.running -= 1
            async with self._free:
                self._free.notify_all()
        if not self.is_up or self._born != born:
            raise ConnectionResetError
        self.completed += 1
        seal = {"X-Server-Seal": f"{self.name}.{attempt}"}
        return encode_response(200, self._answer_headers(attempt) | seal, b"x" * 800)

    def _answer_headers(self, attempt: str) -> dict[str, str]:
        """Return the headers of an answer that is sent now."""
        return {"X-Attempt-Id": attempt, "Keep-Alive": "timeout=60", **self.headers}

    async def _stream(
        self, attempt: str, writer: asyncio.StreamWriter, after: int
    ) -> bytes:
        """Send the events after a given one; return the end of the response."""
        headers = self._answer_headers(attempt)
        seal = {"X-Server-Seal": f"{self.name}.{attempt}"}
        framing = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Weight-Versions": "1",
        }
        lines = ["HTTP/1.1 200 OK"]
        lines += [
            f"{name}: {value}" for name, value in (headers | seal | framing).items()
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(after + 1, self.events + 1):
            await self._wait_while_stuck()
            event = f"id: {number}\ndata: {self.version} {self.name}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        self.completed += 1
        return b"0\r\n\r\n"

    def _record(self, attempt: str, outcome: str) -> None:
        self.arrivals.append(Arrival(time.monotonic(), attempt, self.name, outcome))


class Vm:
    """One process of the platform's program."""

    def __init__(self, name: str, ip: str, zone: str, store: str, folder: Path) -> None:
        self.name = name
        self.ip = ip
        self._folder = folder
        self._path = folder / f"{name}.toml"
        self._process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        text = SETTINGS.format(
            name=name,
            ip=ip,
            zone=zone,
            store=store,
            front_port=FRONT_PORT,
            ready_port=READY_PORT,
            first_port=PEER_PORTS[0],
            last_port=PEER_PORTS[1],
        )
        self._path.write_text(text, encoding="utf-8")

    @property
    def pid(self) -> int:
        """The process id; 0 if the process has not been started."""
        return 0 if self._process is None else self._process.pid

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["vm"]["run"].split()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PISTACHIOPOND_NODE_FILE"] = str(self._path)
        log_path = self._folder / f"{self.name}.log"
        with log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.is_running():
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGKILL)
            self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the VM answers that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                start, _ = await read_head(reader)
                writer.close()
                return start[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Answer(NamedTuple):
    """What a client got; `status` is 0 if the connection ended without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """A client's kept connection to one VM."""

    def __init__(self, vm: Vm) -> None:
        self._vm = vm
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, head: str, body: bytes, limit_s: float) -> Answer:
        """Send a request and return the answer."""
        try:
            async with asyncio.timeout(limit_s):
                if self._streams is not None and self._streams[0].at_eof():
                    self.close()
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._vm.ip, FRONT_PORT
                    )
                reader, writer = self._streams
                writer.write(head.encode() + body)
                start, headers, content = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return Answer(0, {}, b"")
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(start[1]), headers, content)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


def encode_request(
    method: str,
    path: str,
    attempt: str,
    deadline_ms: int,
    body: bytes = b"",
    more: dict[str, str] | None = None,
) -> str:
    """Return the head of a client's request; `more` are further headers."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: pond.example",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in (more or {}).items()]
    return "\r\n".join(lines) + "\r\n\r\n"


class World:
    """The store, the servers and the VMs of one run, and its record."""

    def __init__(self, record: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="pond-review-"))
        self.store = Store()
        self.servers: list[Server] = []
        self.vms: list[Vm] = []
        self.began_s = time.monotonic()
        self._net = find_free_net()
        self._record = record.open("w", encoding="utf-8")
        self._tasks: list[asyncio.Task[None]] = []

    def log(self, **fields: object) -> None:
        """Write one line to the record, with the time since the start."""
        at_s = round(time.monotonic() - self.began_s, 3)
        self._record.write(json.dumps({"t": at_s, **fields}) + "\n")

    def log_answer(self, attempt: str, vm: str, status: int) -> None:
        """Write a request that was sent, and the status that was answered."""
        self.log(sent=attempt, vm=vm, answered=status)

    def _log_arrivals(self) -> None:
        """Write what reached the servers."""
        arrivals = [item for server in self.servers for item in server.arrivals]
        for at_s, attempt, server, outcome in sorted(arrivals):
            after_s = round(at_s - self.began_s, 3)
            self.log(reached=attempt, server=server, outcome=outcome, at_s=after_s)

    async def add_server(
        self, name: str, service: str, *, slots: int, queue: int
    ) -> Server:
        """Start a server of a service."""
        ip = f"{self._net}.{100 + len(self.servers)}"
        server = Server(name, service, ip, self.store, slots=slots, queue=queue)
        await server.start()
        self.servers.append(server)
        self.keep(server.keep_beating())
        return server

    def keep(self, work: Any) -> None:
        """Run a coroutine until the end of the run."""
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    async def start_vms(self, count: int) -> None:
        """Start VMs on addresses of their own, and wait until all are ready."""
        for _ in range(count):
            self.add_vm().start()
        await self.wait_ready(self.vms)

    def add_vm(self) -> Vm:
        """Return a further VM, which is not started yet."""
        number = len(self.vms) + 1
        zone = "zone-a" if number % 2 else "zone-b"
        ip, name = f"{self._net}.{number}", f"front-{zone}-{number}"
        vm = Vm(name, ip, zone, self.store.address, self.folder)
        self.vms.append(vm)
        return vm

    async def wait_ready(self, vms: list[Vm]) -> None:
        """Wait until VMs are ready."""
        end_s = time.monotonic() + START_LIMIT_S
        while not all([await vm.is_ready() for vm in vms]):
            if time.monotonic() > end_s or not all(vm.is_running() for vm in vms):
                raise CannotRunError("the VMs were not ready in time")
            await asyncio.sleep(0.1)

    def vm_named(self, name: str) -> Vm:
        """Return a VM by its name."""
        return next(vm for vm in self.vms if vm.name == name)

    def close(self) -> None:
        """End all processes, and keep the logs if asked to."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.end()
        self._log_arrivals()
        self._record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def find_free_net() -> str:
    """Return the first three numbers of loopback addresses that nothing listens on."""
    for _ in range(50):
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{net}.1", FRONT_PORT))
            except OSError:
                continue
            return net
    raise CannotRunError("no free loopback address")


def run_case(
    play: Callable[[World, bool], Awaitable[bool]], record: Path, limit_s: float
) -> int:
    """Play a case; return 0 if the rule held, 1 if not, and 2 if it couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # Ended from outside, the run still has to end its processes.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        world = World(record)
        try:
            async with asyncio.timeout(limit_s):
                await world.store.listen()
                return await play(world, has_trouble)
        finally:
            world.close()

    try:
        return 0 if asyncio.run(main()) else 1
    except (
        CannotRunError,
        TimeoutError,
        OSError,
        KeyboardInterrupt,
        asyncio.CancelledError,
    ) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
