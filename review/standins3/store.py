"""The platform's store: keyed topics in memory, as PROTOCOL describes them."""

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from typing import final
from urllib.parse import parse_qs, urlsplit

from review.standins3.http import Message, answer, listen, port_of


@final
class Store:
    """Serves all machines from one state, each at an address of its own."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def address_for(self, turns_away: Callable[[], bool]) -> str:
        """Listen for one machine; answer it 503 while `turns_away` returns true."""

        async def serve(message: Message, writer: asyncio.StreamWriter) -> None:
            if turns_away():
                writer.write(answer(503, {}, b""))
                return
            reply = await self._answer(message)
            writer.write(answer(503, {}, b"") if turns_away() else reply)

        server = await listen(serve, "127.0.0.1")
        self._servers.append(server)
        return f"127.0.0.1:{port_of(server)}"

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def newest(self, topic: str, key: str) -> bytes:
        """Return the newest value of a key; empty if there is none."""
        records = self.topics.get(topic, [])
        return next((value for name, value in reversed(records) if name == key), b"")

    async def _answer(self, message: Message) -> bytes:
        parts = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        records = self.topics.setdefault(query["topic"], [])
        if parts.path == "/log-append":
            return self._append(query, message.body, records)
        if parts.path == "/log-newest":
            return _newest(records)
        return await self._read(query, records)

    def _append(
        self, query: dict[str, str], body: bytes, records: list[tuple[str, bytes]]
    ) -> bytes:
        if "at" in query and int(query["at"]) != len(records):
            return answer(412, {}, json.dumps({"end": len(records)}).encode())
        (size,) = struct.unpack_from(">I", body)
        content = body[4 : 4 + size]
        key = content[1 : 1 + content[0]].decode()
        offset = self.put(query["topic"], key, content[1 + content[0] :])
        plain = {"offset": offset, "end": offset + 1}
        return answer(200, {}, json.dumps(plain).encode())

    async def _read(
        self, query: dict[str, str], records: list[tuple[str, bytes]]
    ) -> bytes:
        offset = int(query["from"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("waitMs", "0")) / 1000.0
        while offset >= len(records):
            changed = self._changed
            try:
                async with asyncio.timeout_at(end_s):
                    await changed.wait()
            except TimeoutError:
                break
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[offset:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += struct.pack(">I", len(content)) + content
        return answer(200, {}, body)


def _newest(records: list[tuple[str, bytes]]) -> bytes:
    newest: dict[str, tuple[int, bytes]] = {}
    for offset, (key, value) in enumerate(records):
        newest[key] = (offset, value)
    items = [
        {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
        for key, (offset, value) in sorted(newest.items())
        if value
    ]
    plain = {"items": items, "more": False, "end": len(records)}
    return answer(200, {}, json.dumps(plain).encode())
