"""Workers that write resumable streams, event by event."""

import asyncio
import json
import time
from typing import Final, NamedTuple, final

from review.standins3.http import Message, answer, listen, port_of
from review.standins3.store import Store

HEARTBEAT_S: Final = 1.2


class Run(NamedTuple):
    """A request that a worker ran."""

    worker: str
    version: str
    attempt_id: str
    after: int
    began_s: float


def entry(
    service: str, address: str, version: str, born_ms: int, sequence: int
) -> bytes:
    """Return a worker's entry in the store."""
    plain = {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "version": version,
        "slots": 64,
        "state": "ready",
        "born": born_ms,
        "coldRemainingMs": 0,
        "sequence": sequence,
    }
    return json.dumps(plain).encode()


@final
class StreamWorker:
    """A sound worker of one software version; a bit slow, within the pause allowed.

    Attributes
    ----------
    runs : list of Run
        What it ran.
    """

    def __init__(
        self, worker_id: str, version: str, service: str, events: int, pause_s: float
    ) -> None:
        self.worker_id = worker_id
        self.version = version
        self.runs: list[Run] = []
        self._service = service
        self._events = events
        self._pause_s = pause_s
        self._born_ms = 0
        self._sequence = 0
        self._address = ""

    async def start(self, store: Store) -> "asyncio.Task[None]":
        """Listen, register, and write status reports until cancelled."""
        self._born_ms = int(time.time() * 1000)
        self._server = await listen(self._serve, "127.0.0.1")
        self._address = f"127.0.0.1:{port_of(self._server)}"
        return asyncio.create_task(self._report(store))

    async def _report(self, store: Store) -> None:
        while True:
            self._sequence += 1
            plain = entry(
                self._service,
                self._address,
                self.version,
                self._born_ms,
                self._sequence,
            )
            store.put("keyed.servers", self.worker_id, plain)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.headers.get("x-expect-instance", self.worker_id) != self.worker_id:
            writer.write(answer(421, {}, b""))
            return
        if message.method == "GET":
            writer.write(answer(200, {"X-Instance-Id": self.worker_id}, b""))
            return
        attempt_id = message.headers.get("x-attempt-id", "")
        after = int(message.headers.get("last-event-id") or 0)
        self.runs.append(
            Run(self.worker_id, self.version, attempt_id, after, time.monotonic())
        )
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\n"
            f"X-Server-Seal: {self.worker_id}.{attempt_id}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode("latin-1"))
        for number in range(after + 1, self._events + 1):
            event = f"id: {number}\ndata: {self.version}/{self.worker_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._pause_s)
        writer.write(b"0\r\n\r\n")
