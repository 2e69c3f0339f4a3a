"""Calls to the platform's store, an HTTP service of logs with offsets."""

import base64
import json
import struct
from collections.abc import Awaitable, Callable
from typing import Any, Final, Literal, NamedTuple
from urllib.parse import urlencode

from result import Err, Ok, Result

from _pistachiopond.http1.messages import Request, RequestHead, WholeResponse

OPERATOR_TOPIC: Final = "keyed.op"
SERVERS_TOPIC: Final = "keyed.servers"
OWN_TOPIC: Final = "keyed.pond"

_LENGTH: Final = struct.Struct(">I")
_OFFSETS: Final = struct.Struct(">QQ")


class StoreFailure(NamedTuple):
    """A call that brought no result.

    Attributes
    ----------
    kind : str
        ``unreachable``, ``lost`` (a write may be done, now or later),
        ``refused`` (not done), ``absent`` (no such topic), ``expired`` (the offset
        is no longer kept), ``moved`` (the log has grown) or ``malformed``.
    detail : str
        For the log.
    """

    kind: Literal[
        "unreachable", "lost", "refused", "absent", "expired", "moved", "malformed"
    ]
    detail: str


class KeyedRecord(NamedTuple):
    """A record of a topic that keeps the newest of each key.

    Attributes
    ----------
    offset : int
        Its place in the topic.
    key : str
        What it is about.
    value : bytes
        Empty where the key was deleted.
    """

    offset: int
    key: str
    value: bytes


class TailPage(NamedTuple):
    """Records from an offset on.

    Attributes
    ----------
    records : tuple of KeyedRecord
        In their order; empty when none came in time.
    next_offset : int
        Where to go on.
    end : int
        The offset after the newest record.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


class Snapshot(NamedTuple):
    """The newest record of each key.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Those that the topic keeps.
    end : int
        An offset from which a tail misses nothing that is newer.
    """

    records: tuple[KeyedRecord, ...]
    end: int


Call = Callable[[Request, float], Awaitable[Result[WholeResponse, StoreFailure]]]


class StoreClient(NamedTuple):
    """The calls that the product makes.

    Attributes
    ----------
    read_tail : callable
        ``read_tail(topic, offset, wait_s, limit_s)`` waits for records.
    read_newest : callable
        ``read_newest(topic, limit_s)`` gives the newest of each key.
    append : callable
        ``append(topic, key, value, at_offset, limit_s)`` adds a record, only if
        the topic ends at that offset, and gives the record's offset.
    """

    read_tail: Callable[
        [str, int, float, float], Awaitable[Result[TailPage, StoreFailure]]
    ]
    read_newest: Callable[[str, float], Awaitable[Result[Snapshot, StoreFailure]]]
    append: Callable[
        [str, str, bytes, int, float], Awaitable[Result[int, StoreFailure]]
    ]


def make_store_client(call: Call) -> StoreClient:
    """Return the store's calls over `call`, which sends one HTTP request."""

    async def read_tail(
        topic: str, offset: int, wait_s: float, limit_s: float
    ) -> Result[TailPage, StoreFailure]:
        query = {"topic": topic, "part": 0, "from": offset}
        query["waitMs"] = int(wait_s * 1000)
        reply = await call(_get("/log-read", query), limit_s)
        return reply.and_then(_check).and_then(lambda body: decode_tail(body, offset))

    async def read_newest(topic: str, limit_s: float) -> Result[Snapshot, StoreFailure]:
        records: list[KeyedRecord] = []
        end: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": 0}
        while True:
            reply = await call(_get("/log-newest", query), limit_s)
            page = reply.and_then(_check).and_then(_decode_newest)
            if page.is_err():
                return Err(page.err())
            items, has_more, page_end = page.ok()
            records += items
            # Later pages may show newer records, so the tail starts at the first.
            end = page_end if end is None else end
            if not has_more or not items:
                return Ok(Snapshot(tuple(records), end))
            query["after"] = items[-1].key

    async def append(
        topic: str, key: str, value: bytes, at_offset: int, limit_s: float
    ) -> Result[int, StoreFailure]:
        query = urlencode({"topic": topic, "part": 0, "at": at_offset})
        head = RequestHead(
            b"POST", f"/log-append?{query}".encode(), [(b"Host", b"store")]
        )
        body = encode_record(key, value)
        reply = await call(Request(head, body), limit_s)
        return reply.and_then(_check).and_then(_decode_append)

    return StoreClient(read_tail, read_newest, append)


def encode_record(key: str, value: bytes) -> bytes:
    """Return a keyed record as the store takes it."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


def decode_tail(body: bytes, offset: int) -> Result[TailPage, StoreFailure]:
    """Return the records in the body of a read that began at `offset`."""
    if len(body) < _OFFSETS.size:
        return Err(StoreFailure("malformed", "a read without its two offsets"))
    end, first = _OFFSETS.unpack_from(body)
    records: list[KeyedRecord] = []
    place, number = _OFFSETS.size, max(offset, first)
    while place + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, place)
        content = body[place + _LENGTH.size : place + _LENGTH.size + size]
        if len(content) < size:
            return Err(StoreFailure("malformed", "a read ends within a record"))
        record = _keyed(number, content)
        if record is not None:
            records.append(record)
        place += _LENGTH.size + size
        number += 1
    if place != len(body):
        return Err(StoreFailure("malformed", "a read ends within a record's length"))
    return Ok(TailPage(tuple(records), number, end))


def _keyed(offset: int, content: bytes) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    return KeyedRecord(offset, key, content[1 + content[0] :])


def _get(path: str, query: dict[str, Any]) -> Request:
    target = f"{path}?{urlencode(query)}".encode()
    return Request(RequestHead(b"GET", target, [(b"Host", b"store")]), b"")


def _check(reply: WholeResponse) -> Result[bytes, StoreFailure]:
    status = reply.head.status
    if status == 200:
        return Ok(reply.body)
    detail = f"status {status}: {reply.body[:200].decode('utf-8', 'replace')}"
    if status == 404:
        return Err(StoreFailure("absent", detail))
    if status == 410:
        return Err(StoreFailure("expired", detail))
    if status == 412:
        return Err(StoreFailure("moved", detail))
    return Err(StoreFailure("refused", detail))


def _decode_newest(
    body: bytes,
) -> Result[tuple[list[KeyedRecord], bool, int], StoreFailure]:
    try:
        plain = json.loads(body)
        records = [
            KeyedRecord(
                int(item["offset"]), item["key"], base64.b64decode(item["value"])
            )
            for item in plain["items"]
        ]
        return Ok((records, bool(plain["more"]), int(plain["end"])))
    except (KeyError, TypeError, ValueError) as error:
        return Err(StoreFailure("malformed", f"{type(error).__name__}: {error}"))


def _decode_append(body: bytes) -> Result[int, StoreFailure]:
    try:
        return Ok(int(json.loads(body)["offset"]))
    except (KeyError, TypeError, ValueError) as error:
        return Err(StoreFailure("malformed", f"{type(error).__name__}: {error}"))
