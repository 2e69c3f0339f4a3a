"""A stand-in of a worker: registers itself, and runs requests one per channel."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from review.standins.record import Record
from review.standins.store import Store
from review.standins.wire import Message, encode_response, read_request

HEARTBEAT_S = 1.2
# After the store's return a worker writes its entry again within two seconds.
REWRITE_S = 1.8

# Runs a request and writes its answer; returns whether the channel may be kept.
Run = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[bool]]


class Worker:
    """One worker of a service.

    Attributes
    ----------
    seal : str
        The proof in its answers.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str, version: str
    ) -> None:
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.version = version
        self.address = ""
        self.seal = f"seal.{name}"
        self.slots = 48
        self.is_leaving = False
        # When the store took the report that this worker is draining.
        self.drain_ack_s: float | None = None
        # Whether a worker that leaves says so in its answers, too.
        self.says_leaving = True
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, run: Run) -> None:
        """Listen on a free port, register and keep the entry fresh."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._writers.add(writer)
            try:
                while (request := await read_request(reader)) is not None:
                    if not await self._run(request, reader, writer, run):
                        break
                await writer.drain()
            except (OSError, ValueError, asyncio.IncompleteReadError):
                return
            finally:
                self._writers.discard(writer)
                writer.close()

        self._server = server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        task = asyncio.get_running_loop().create_task(self._beat())
        self._tasks.add(task)

    def write_entry(self) -> bool:
        """Write the entry to the store; return whether the store took it."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": "draining" if self.is_leaving else "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        is_taken = self.store.put(
            "keyed.servers", self.name, json.dumps(entry).encode()
        )
        if is_taken and self.is_leaving and self.drain_ack_s is None:
            self.drain_ack_s = time.monotonic()
            self.record.say(f"the store takes that {self.name} is draining")
        return is_taken

    def head(self, request: Message) -> dict[str, str]:
        """Return the headers of each answer to a request."""
        attempt_id = request.headers["x-attempt-id"]
        headers = {"X-Attempt-Id": attempt_id, "X-Server-Seal": self.seal}
        if self.is_leaving and self.says_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def leave(self) -> None:
        """Begin to leave; the next status report says so to the store."""
        self.is_leaving = True
        self.record.say(f"{self.name} begins to leave")

    def end(self) -> None:
        """End: close all channels, with what still runs, and remove the entry."""
        self.stop_heartbeats()
        self.close_channels()
        self.store.put("keyed.servers", self.name, b"")
        self.record.say(f"{self.name} has ended")

    def stop_heartbeats(self) -> None:
        """Write no more status reports."""
        for task in self._tasks:
            task.cancel()

    def stop_listening(self) -> None:
        """Take no new channels."""
        if self._server is not None:
            self._server.close()

    def close_channels(self) -> None:
        """Take no new channels and close the others."""
        self.stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            era = self.store.era
            if self.store.is_up:
                self.write_entry()
                await asyncio.sleep(HEARTBEAT_S)
            while not self.store.is_up or self.store.era != era:
                if self.store.is_up:
                    await asyncio.sleep(REWRITE_S)
                    break
                await asyncio.sleep(0.02)

    async def _run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        run: Run,
    ) -> bool:
        expected = request.headers.get("x-expect-instance", self.name)
        attempt_id = request.headers.get("x-attempt-id")
        if expected != self.name:
            writer.write(encode_response(421, {"X-Instance-Id": self.name}))
            return True
        if attempt_id is None:
            writer.write(encode_response(400, {"X-Not-Executed": "1"}))
            return True
        path = request.start[1]
        self.record.add(f"{self.name} ({self.version}) runs {attempt_id} {path}")
        keeps = True
        try:
            keeps = await run(self, request, writer)
            self.record.add(f"{self.name} has run {attempt_id}")
        except (OSError, asyncio.CancelledError):
            self.record.add(f"{self.name} drops {attempt_id}, its channel is closed")
            raise
        return keeps
