"""A stand-in of the platform's store: logs in memory, behind its published calls."""

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from review.standins.wire import Message, encode_response, read_request

Topics = dict[str, list[tuple[str, bytes]]]


class Store:
    """Answers the calls of the log; operators and workers write with `put`."""

    def __init__(self) -> None:
        self.topics: Topics = {}
        self.era = 0
        self.is_up = True
        self.address = ""
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        # Called when the store comes back from a copy; workers then write anew.
        self.on_return: list[Callable[[], None]] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def put(self, topic: str, key: str, value: bytes) -> bool:
        """Append a record; return whether the store took it."""
        if not self.is_up:
            return False
        self.topics.setdefault(topic, []).append((key, value))
        self._wake()
        return True

    def copy(self) -> Topics:
        """Return a copy of all topics."""
        return {topic: list(records) for topic, records in self.topics.items()}

    def go_away(self) -> None:
        """Answer nothing from now on: channels end, and calls get 503."""
        self.is_up = False
        for writer in list(self._writers):
            writer.transport.abort()
        self._wake()

    def come_back(self, copy: Topics | None) -> None:
        """Answer again; from an older copy if there is one, in the next era."""
        if copy is not None:
            self.topics = {topic: list(records) for topic, records in copy.items()}
            self.era += 1
        self.is_up = True
        self._wake()
        for call in self.on_return:
            call()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self._answer(request)
                headers = {"Store-Era": str(self.era)}
                writer.write(encode_response(status, headers, body))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        if not self.is_up:
            return 503, b""
        parts = urlsplit(request.start[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/log-read":
            return await self._read(query)
        if parts.path == "/log-newest":
            return self._newest(query["topic"])
        if parts.path == "/log-append":
            return self._append(query, request.body)
        return 404, b""

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        topic, offset, era = query["topic"], int(query["from"]), self.era
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("waitMs", "0")) / 1000
        while offset == len(self.topics.get(topic, [])) and self.era == era:
            try:
                async with asyncio.timeout_at(end_s):
                    await self._changed.wait()
            except TimeoutError:
                break
            if not self.is_up:
                return 503, b""
        records = self.topics.get(topic, [])
        if not self.is_up:
            return 503, b""
        if self.era != era or offset > len(records):
            return 410, b'{"first":0}'
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[offset:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def _newest(self, topic: str) -> tuple[int, bytes]:
        newest: dict[str, tuple[int, bytes]] = {}
        records = self.topics.get(topic, [])
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {"key": key, "offset": at, "value": base64.b64encode(value).decode()}
            for key, (at, value) in newest.items()
        ]
        plain = {"items": items, "more": False, "end": len(records)}
        return 200, json.dumps(plain).encode()

    def _append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        records = self.topics.setdefault(query["topic"], [])
        if "at" in query and int(query["at"]) != len(records):
            return 412, json.dumps({"end": len(records)}).encode()
        offset, position = len(records), 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + size]
            key = content[1 : 1 + content[0]].decode()
            records.append((key, content[1 + content[0] :]))
            position += 4 + size
        self._wake()
        return 200, json.dumps({"offset": offset, "end": len(records)}).encode()
