"""Client of the platform's store, an HTTP service of append-only logs with offsets."""

import base64
import json
import struct
from collections.abc import Awaitable, Callable
from typing import Any, Final, Literal, NamedTuple
from urllib.parse import urlencode

from result import Err, Ok, Result

from _pistachiopond.http1.messages import CompleteResponse, Request, RequestHead

OPERATOR_TOPIC: Final = "keyed.op"
SERVERS_TOPIC: Final = "keyed.servers"
OWN_TOPIC: Final = "keyed.pond"

_LENGTH: Final = struct.Struct(">I")
_OFFSETS: Final = struct.Struct(">QQ")


class StoreFailure(NamedTuple):
    """Why a call to the store failed.

    Attributes
    ----------
    kind : str
        ``unreachable`` (nothing was sent), ``lost`` (no complete response; a write may
        take effect now or later), ``refused`` (not executed), ``absent`` (no such
        topic), ``expired`` (the offset is no longer kept), ``moved`` (the log no
        longer ends at the expected offset) or ``malformed``.
    detail : str
        Description for the log.
    """

    kind: Literal[
        "unreachable", "lost", "refused", "absent", "expired", "moved", "malformed"
    ]
    detail: str


class KeyedRecord(NamedTuple):
    """A record of a topic that keeps the newest record of each key.

    Attributes
    ----------
    offset : int
        Its offset in the topic.
    key : str
        Identifies what the record describes.
    value : bytes
        The content; empty if the key was deleted.
    """

    offset: int
    key: str
    value: bytes


class TailPage(NamedTuple):
    """The result of a read from an offset on.

    Attributes
    ----------
    records : tuple of KeyedRecord
        In the order of their offsets; empty if none was written in time.
    next_offset : int
        The offset to read next.
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
        The records that the topic keeps.
    end : int
        An offset to read on from without missing newer records.
    """

    records: tuple[KeyedRecord, ...]
    end: int


Call = Callable[[Request, float], Awaitable[Result[CompleteResponse, StoreFailure]]]


class StoreClient(NamedTuple):
    """The calls to the store that this project uses.

    Attributes
    ----------
    read_tail : callable
        ``read_tail(topic, offset, wait_s, timeout_s)`` reads records from an offset on,
        and waits up to `wait_s` for the first.
    read_newest : callable
        ``read_newest(topic, timeout_s)`` reads the newest record of each key.
    append : callable
        ``append(topic, key, value, at_offset, timeout_s)`` appends a record if the
        topic ends at that offset, and returns the record's offset.
    """

    read_tail: Callable[
        [str, int, float, float], Awaitable[Result[TailPage, StoreFailure]]
    ]
    read_newest: Callable[[str, float], Awaitable[Result[Snapshot, StoreFailure]]]
    append: Callable[
        [str, str, bytes, int, float], Awaitable[Result[int, StoreFailure]]
    ]


def make_store_client(call: Call) -> StoreClient:
    """Return a client that uses `call` to send each HTTP request."""

    async def read_tail(
        topic: str, offset: int, wait_s: float, timeout_s: float
    ) -> Result[TailPage, StoreFailure]:
        query = {"topic": topic, "part": 0, "from": offset}
        query["waitMs"] = int(wait_s * 1000)
        reply = await call(_get("/log-read", query), timeout_s)
        return reply.and_then(_check_status).and_then(
            lambda body: decode_tail(body, offset)
        )

    async def read_newest(
        topic: str, timeout_s: float
    ) -> Result[Snapshot, StoreFailure]:
        records: list[KeyedRecord] = []
        end: int | None = None
        query: dict[str, Any] = {"topic": topic, "part": 0}
        while True:
            reply = await call(_get("/log-newest", query), timeout_s)
            page = reply.and_then(_check_status).and_then(_decode_newest)
            if page.is_err():
                return Err(page.err())
            items, has_more, page_end = page.ok()
            records += items
            # Records may be written between two pages, so the tail must be read from
            # the end that the first page shows.
            end = page_end if end is None else end
            if not has_more or not items:
                return Ok(Snapshot(tuple(records), end))
            query["after"] = items[-1].key

    async def append(
        topic: str, key: str, value: bytes, at_offset: int, timeout_s: float
    ) -> Result[int, StoreFailure]:
        query = urlencode({"topic": topic, "part": 0, "at": at_offset})
        head = RequestHead(
            b"POST", f"/log-append?{query}".encode(), [(b"Host", b"store")]
        )
        body = encode_record(key, value)
        reply = await call(Request(head, body), timeout_s)
        return reply.and_then(_check_status).and_then(_decode_append)

    return StoreClient(read_tail, read_newest, append)


def encode_record(key: str, value: bytes) -> bytes:
    """Return a keyed record in the format of the store."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


def decode_tail(body: bytes, offset: int) -> Result[TailPage, StoreFailure]:
    """Return the records in the body of a read from `offset` on."""
    if len(body) < _OFFSETS.size:
        detail = f"the body has {len(body)} bytes, its two offsets need {_OFFSETS.size}"
        return Err(StoreFailure("malformed", detail))
    end, first = _OFFSETS.unpack_from(body)
    records: list[KeyedRecord] = []
    position, record_offset = _OFFSETS.size, max(offset, first)
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        content = body[position + _LENGTH.size : position + _LENGTH.size + size]
        if len(content) < size:
            detail = f"the body ends after {len(content)} of a record's {size} bytes"
            return Err(StoreFailure("malformed", detail))
        record = _decode_keyed(record_offset, content)
        if record is not None:
            records.append(record)
        position += _LENGTH.size + size
        record_offset += 1
    if position != len(body):
        detail = (
            f"the body ends after {len(body) - position} of the {_LENGTH.size} bytes "
            "of a record's length"
        )
        return Err(StoreFailure("malformed", detail))
    return Ok(TailPage(tuple(records), record_offset, end))


def _decode_keyed(offset: int, content: bytes) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    return KeyedRecord(offset, key, content[1 + content[0] :])


def _get(path: str, query: dict[str, Any]) -> Request:
    target = f"{path}?{urlencode(query)}".encode()
    return Request(RequestHead(b"GET", target, [(b"Host", b"store")]), b"")


def _check_status(reply: CompleteResponse) -> Result[bytes, StoreFailure]:
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
