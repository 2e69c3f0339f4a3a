"""Workers that crash as they begin to write an answer on one part of a prompt."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

from review.standins3.http import Message, answer, listen, port_of
from review.standins3.store import Store
from review.standins3.stream_workers import HEARTBEAT_S, entry

EVENTS: Final = 8
EVENT_PAUSE_S: Final = 0.03
FIRST_EVENT_S: Final = 0.06
# An entry is removed after three status report intervals of silence.
LAPSE_S: Final = 3 * HEARTBEAT_S


class Arrival(NamedTuple):
    """A request that reached a worker."""

    worker: str
    attempt_id: str
    is_bad: bool
    at_s: float


@final
class PromptWorker:
    """A worker that is back under a new id some seconds after each crash.

    Attributes
    ----------
    arrivals : list of Arrival
        The requests that reached it.
    crashes : list of float
        When it crashed.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        bad_part: str,
        down_s: float,
        log: Callable[[str], None],
    ) -> None:
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []
        self._name = name
        self._service = service
        self._store = store
        self._bad_part = bad_part
        self._down_s = down_s
        self._log = log
        self._worker_id = ""
        self._starts = 0
        self._server: asyncio.Server | None = None
        self._report: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen at a new address, and register under a new id."""
        self._starts += 1
        self._worker_id = f"i-{self._name}-{self._starts}"
        self._server = await listen(self._serve, "127.0.0.1")
        self._report = asyncio.create_task(self._report_status())

    def end(self) -> None:
        """End all that it does."""
        for task in [*self._tasks, self._report]:
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()

    async def _report_status(self) -> None:
        assert self._server is not None
        address = f"127.0.0.1:{port_of(self._server)}"
        born_ms, beats = int(time.time() * 1000), 0
        while True:
            beats += 1
            plain = entry(self._service, address, "v1", born_ms, beats)
            self._store.put("keyed.servers", self._worker_id, plain)
            await asyncio.sleep(HEARTBEAT_S)

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _crash(self) -> None:
        if self._server is None or self._report is None:
            return
        self.crashes.append(time.monotonic())
        self._log(f"{self._worker_id} crashes")
        self._server.close()
        self._server = None
        self._report.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()
        self._start(self._lapse(self._worker_id))
        self._start(self._be_back())

    async def _lapse(self, worker_id: str) -> None:
        await asyncio.sleep(LAPSE_S)
        self._store.put("keyed.servers", worker_id, b"")

    async def _be_back(self) -> None:
        await asyncio.sleep(self._down_s)
        await self.start()

    async def _serve(self, message: Message, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        if message.headers.get("x-expect-instance", self._worker_id) != (
            self._worker_id
        ):
            writer.write(answer(421, {}, b""))
            return
        if message.method == "GET":
            writer.write(answer(200, {"X-Instance-Id": self._worker_id}, b""))
            return
        attempt_id = message.headers.get("x-attempt-id", "")
        parts = message.headers.get("x-prompt-prefix", "").split(",")
        is_bad = any(part.split(":")[0] == self._bad_part for part in parts)
        now_s = time.monotonic()
        self.arrivals.append(Arrival(self._worker_id, attempt_id, is_bad, now_s))
        await asyncio.sleep(FIRST_EVENT_S)
        if is_bad:
            self._crash()
            return
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\n"
            f"X-Server-Seal: {self._worker_id}.{attempt_id}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode("latin-1"))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
