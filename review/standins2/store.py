"""A stand-in of the platform's store: keyed topics, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import struct
from typing import Any, final
from urllib.parse import parse_qs, urlsplit

from review.standins2.http import Answer, Call

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
# The system may not write to these.
FOREIGN_TOPICS = (OPERATOR_TOPIC, SERVERS_TOPIC)


@final
class Store:
    """Keeps all records of its topics in memory."""

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, plain: dict[str, Any] | None) -> None:
        """Write a record as the operator or a server does; None drops the key."""
        value = b"" if plain is None else json.dumps(plain).encode()
        self._append(topic, key, value)

    def _append(self, topic: str, key: str, value: bytes) -> int:
        records = self._topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def handle(self, call: Call) -> Answer:
        """Answer one call of the system."""
        parts = urlsplit(call.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        if parts.path == "/log-newest":
            return self._newest(topic)
        if parts.path == "/log-read":
            return await self._read(topic, query)
        if parts.path == "/log-append":
            return self._take_append(topic, query, call.body)
        return _json(404, {})

    def _newest(self, topic: str) -> Answer:
        records = self._topics.get(topic, [])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
        ]
        return _json(200, {"items": items, "more": False, "end": len(records)})

    async def _read(self, topic: str, query: dict[str, str]) -> Answer:
        loop = asyncio.get_running_loop()
        offset = int(query["from"])
        end_s = loop.time() + int(query.get("waitMs", "0")) / 1000
        while offset == len(self._topics.get(topic, [])):
            changed = self._changed
            try:
                async with asyncio.timeout_at(end_s):
                    await changed.wait()
            except TimeoutError:
                break
        records = self._topics.get(topic, [])
        if offset > len(records):
            return _json(410, {"first": 0})
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[offset:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return Answer(200, {}, body)

    def _take_append(self, topic: str, query: dict[str, str], body: bytes) -> Answer:
        if topic in FOREIGN_TOPICS:
            return _json(403, {})
        end = len(self._topics.get(topic, []))
        if int(query.get("at", end)) != end:
            return _json(412, {"end": end})
        content = body[4:]
        key = content[1 : 1 + content[0]].decode()
        offset = self._append(topic, key, content[1 + content[0] :])
        return _json(200, {"offset": offset, "end": offset + 1})


def _json(status: int, plain: dict[str, Any]) -> Answer:
    headers = {"Content-Type": "application/json"}
    return Answer(status, headers, json.dumps(plain).encode())
