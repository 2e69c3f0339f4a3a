"""A fake of the platform's store: keyed topics with offsets, in memory."""

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from typing import final
from urllib.parse import parse_qs, urlsplit

from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder


@final
class FakeStore:
    """Answers reads and conditional appends.

    `refuses` and `hangs` select by path the calls that get a 503 or no response. An
    append that hangs is executed when `hangs` no longer selects it, and not answered.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.first: dict[str, int] = {}
        self.calls: list[str] = []
        self.era = 0
        self.refuses: Callable[[str], bool] = lambda path: False
        self.hangs: Callable[[str], bool] = lambda path: False
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record, as the operators or a server would."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def expire_history(self, topic: str) -> None:
        """Expire all offsets so far, as compaction to the newest records does."""
        self.first[topic] = len(self.topics.get(topic, []))

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all records, for `restore`."""
        return {topic: list(records) for topic, records in self.topics.items()}

    def restore(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Come back from a copy; what was written since is lost."""
        self.topics = {topic: list(records) for topic, records in copy.items()}
        self.first.clear()
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(self, responder: Responder, status: int, body: bytes) -> None:
        await responder.respond(status, [(b"Store-Era", b"%d" % self.era)], body)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one call."""
        parts = urlsplit(request.head.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        if self.hangs(parts.path):
            while self.hangs(parts.path):
                await asyncio.sleep(0.01)
            if parts.path == "/log-append":
                self._try_append(query, request.body)
            await asyncio.sleep(3600)
        if self.refuses(parts.path):
            await self._respond(responder, 503, b"")
        elif parts.path == "/log-read":
            await self._read(query, responder)
        elif parts.path == "/log-newest":
            await self._newest(query, responder)
        elif parts.path == "/log-append":
            await self._append(query, request.body, responder)
        else:
            await self._respond(responder, 404, b"")

    async def _read(self, query: dict[str, str], responder: Responder) -> None:
        topic, offset = query["topic"], int(query["from"])
        deadline_s = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while offset == len(self.topics.get(topic, [])):
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline_s):
                    await changed.wait()
            except TimeoutError:
                break
        first = self.first.get(topic, 0)
        records = self.topics.get(topic, [])
        if not first <= offset <= len(records):
            plain = json.dumps({"first": first}).encode()
            await self._respond(responder, 410, plain)
            return
        body = struct.pack(">QQ", len(records), first)
        for key, value in records[offset:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += struct.pack(">I", len(content)) + content
        await self._respond(responder, 200, body)

    async def _newest(self, query: dict[str, str], responder: Responder) -> None:
        records = self.topics.get(query["topic"], [])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {"key": key, "offset": at, "value": base64.b64encode(value).decode()}
            for key, (at, value) in newest.items()
        ]
        plain = {"items": items, "more": False, "end": len(records)}
        await self._respond(responder, 200, json.dumps(plain).encode())

    async def _append(
        self, query: dict[str, str], body: bytes, responder: Responder
    ) -> None:
        offset = self._try_append(query, body)
        if offset is None:
            plain = json.dumps({"end": len(self.topics[query["topic"]])}).encode()
            await self._respond(responder, 412, plain)
            return
        plain = json.dumps({"offset": offset, "end": offset + 1}).encode()
        await self._respond(responder, 200, plain)

    def _try_append(self, query: dict[str, str], body: bytes) -> int | None:
        """Append a record if its condition holds; return its offset."""
        records = self.topics.setdefault(query["topic"], [])
        if "at" in query and int(query["at"]) != len(records):
            return None
        (size,) = struct.unpack_from(">I", body)
        content = body[4 : 4 + size]
        key = content[1 : 1 + content[0]].decode()
        return self.put(query["topic"], key, content[1 + content[0] :])
