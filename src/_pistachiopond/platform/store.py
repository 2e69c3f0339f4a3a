"""Client of the platform's store, an HTTP service of append-only logs with offsets."""

import base64
import json
import struct
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, Literal, NamedTuple, TypedDict
from urllib.parse import urlencode

from result import Err, Ok, Result

from _pistachiopond.http1.messages import CompleteResponse, Request, RequestHead
from _pistachiopond.observe.logs import log_warning
from _pistachiopond.schema.json_decoding import (
    MAX_WHOLE_NUMBER,
    Count,
    check_type,
    make_decoder,
)
from _pistachiopond.schema.store_position import StorePosition

OPERATOR_TOPIC: Final = "keyed.op"
SERVERS_TOPIC: Final = "keyed.servers"
OWN_TOPIC: Final = "keyed.pond"
STREAMS_TOPIC: Final = "keyed.pond-streams"
REFUSALS_TOPIC: Final = "keyed.pond-refusals"

# Rises by one whenever the store comes back from an older copy; in every answer.
_ERA_HEADER: Final = b"store-era"

# Of one read of a topic's newest records, over all of its pages.
MAX_SNAPSHOT_BYTES: Final = 64 * 1024 * 1024
MAX_SNAPSHOT_PAGES: Final = 1_000
# Of a whole number in a header.
MAX_DIGITS: Final = 16

_LENGTH: Final = struct.Struct(">I")
_OFFSETS: Final = struct.Struct(">QQ")


class StoreFailure(NamedTuple):
    """Why a call to the store failed.

    Attributes
    ----------
    kind : str
        ``unreachable`` (nothing was sent), ``lost`` (no complete response; a write may
        take effect now or later), ``refused`` (not executed), ``absent`` (no such
        topic), ``expired`` (the store does not have the offset), ``moved`` (the log
        no longer ends at the expected offset), ``restored`` (the store has come back
        from an older copy, so the position means nothing any more) or ``malformed``.
    detail : str
        Description for the log.
    era : int
        The store's era in the answer; 0 without an answer.
    """

    kind: Literal[
        "unreachable",
        "lost",
        "refused",
        "absent",
        "expired",
        "moved",
        "restored",
        "malformed",
    ]
    detail: str
    era: int = 0


class KeyedRecord(NamedTuple):
    """A record of a topic that keeps the newest record of each key.

    Attributes
    ----------
    position : StorePosition
        Its position in the topic.
    key : str
        Identifies what the record describes.
    value : bytes
        The content; empty if the key was deleted.
    """

    position: StorePosition
    key: str
    value: bytes


class TailPage(NamedTuple):
    """The result of a read from a position on.

    Attributes
    ----------
    records : tuple of KeyedRecord
        In the order of their offsets; empty if none was written in time.
    next_position : StorePosition
        The position to read next, in the era of the position that was read.
    end : StorePosition
        The position after the newest record.
    """

    records: tuple[KeyedRecord, ...]
    next_position: StorePosition
    end: StorePosition


class Snapshot(NamedTuple):
    """The newest record of each key.

    Attributes
    ----------
    records : tuple of KeyedRecord
        The records that the topic keeps.
    end : StorePosition
        A position to read on from without missing newer records.
    """

    records: tuple[KeyedRecord, ...]
    end: StorePosition


Call = Callable[[Request, float], Awaitable[Result[CompleteResponse, StoreFailure]]]


class StoreClient(NamedTuple):
    """The calls to the store that this project uses.

    Attributes
    ----------
    read_tail : callable
        ``read_tail(topic, position, wait_s, timeout_s)`` reads records from a position
        on, and waits up to `wait_s` for the first. It fails with ``restored`` if the
        store is in a later era.
    read_newest : callable
        ``read_newest(topic, timeout_s)`` reads the newest record of each key.
    append : callable
        ``append(topic, key, value, at, timeout_s)`` appends a record if the topic ends
        at the offset of `at`, and returns the record's position. The store does not
        compare the era, so the position returned may be of a later one than `at`. With
        None for `at` it appends in any case.
    """

    read_tail: Callable[
        [str, StorePosition, float, float], Awaitable[Result[TailPage, StoreFailure]]
    ]
    read_newest: Callable[[str, float], Awaitable[Result[Snapshot, StoreFailure]]]
    append: Callable[
        [str, str, bytes, StorePosition | None, float],
        Awaitable[Result[StorePosition, StoreFailure]],
    ]


class _Answer(NamedTuple):
    body: bytes
    era: int


class _Page(NamedTuple):
    """A page of a snapshot.

    `next_key` is the key after which the next page begins; None if there is none.
    """

    records: list[KeyedRecord]
    next_key: str | None
    end: StorePosition


class _NewestItem(TypedDict):
    key: str
    # In base64.
    value: str
    offset: Count


class _NewestPage(TypedDict):
    items: list[Any]
    more: bool
    end: Count


class _Appended(TypedDict):
    offset: Count


_decode_appended: Final = make_decoder(_Appended)


def make_store_client(call: Call) -> StoreClient:
    """Return a client that uses `call` to send each HTTP request."""

    async def read_tail(
        topic: str, position: StorePosition, wait_s: float, timeout_s: float
    ) -> Result[TailPage, StoreFailure]:
        query = {"topic": topic, "part": 0, "from": position.offset}
        query["waitMs"] = int(wait_s * 1000)
        reply = await call(_get("/log-read", query), timeout_s)
        return (
            reply.and_then(partial(_check_era, expected=position.era))
            .and_then(_check_status)
            .and_then(lambda answer: decode_tail(answer.body, position))
        )

    async def read_newest(
        topic: str, timeout_s: float
    ) -> Result[Snapshot, StoreFailure]:
        records: list[KeyedRecord] = []
        end: StorePosition | None = None
        size_bytes = 0
        query: dict[str, Any] = {"topic": topic, "part": 0}
        for _ in range(MAX_SNAPSHOT_PAGES):
            reply = await call(_get("/log-newest", query), timeout_s)
            if end is not None:
                reply = reply.and_then(partial(_check_era, expected=end.era))
            answer = reply.and_then(_check_status)
            page = answer.and_then(_decode_newest)
            if page.is_err():
                return Err(page.err())
            size_bytes += len(answer.ok().body)
            if size_bytes > MAX_SNAPSHOT_BYTES:
                detail = f"a snapshot of more than {MAX_SNAPSHOT_BYTES} bytes"
                return Err(_malformed(detail, page.ok().end.era))
            records += page.ok().records
            # Records may be written between two pages, so the tail must be read from
            # the end that the first page shows.
            end = page.ok().end if end is None else end
            next_key = page.ok().next_key
            if next_key is None:
                return Ok(Snapshot(tuple(records), end))
            if next_key == query.get("after"):
                detail = f"a page ends at the key {next_key[:100]!r} as the last"
                return Err(_malformed(detail, end.era))
            query["after"] = next_key
        detail = f"a snapshot of more than {MAX_SNAPSHOT_PAGES} pages"
        return Err(StoreFailure("malformed", detail, 0 if end is None else end.era))

    async def append(
        topic: str, key: str, value: bytes, at: StorePosition | None, timeout_s: float
    ) -> Result[StorePosition, StoreFailure]:
        condition = {} if at is None else {"at": at.offset}
        query = urlencode({"topic": topic, "part": 0} | condition)
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


def decode_tail(body: bytes, position: StorePosition) -> Result[TailPage, StoreFailure]:
    """Return the records in the body of a read from `position` on."""
    era, offset = position
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
        record = _decode_keyed(StorePosition(era, record_offset), content)
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
    return Ok(
        TailPage(
            tuple(records), StorePosition(era, record_offset), StorePosition(era, end)
        )
    )


def _decode_keyed(position: StorePosition, content: bytes) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    return KeyedRecord(position, key, content[1 + content[0] :])


def _get(path: str, query: dict[str, Any]) -> Request:
    target = f"{path}?{urlencode(query)}".encode()
    return Request(RequestHead(b"GET", target, [(b"Host", b"store")]), b"")


def _era_of(reply: CompleteResponse) -> int:
    """Return the store's era; 0 for a store that does not send it.

    Raises
    ------
    ValueError
        When the header is not a whole number in the range of `Count`.
    """
    value = reply.head.value(_ERA_HEADER)
    if value is None:
        return 0
    text = value.decode("latin-1").strip()
    if not text.isdecimal() or not text.isascii() or len(text) > MAX_DIGITS:
        raise ValueError(f"the store's era is not a whole number: {text[:100]!r}")
    era = int(text)
    if era > MAX_WHOLE_NUMBER:
        raise ValueError(f"the store's era is out of range: {era}")
    return era


def _check_era(
    reply: CompleteResponse, expected: int
) -> Result[CompleteResponse, StoreFailure]:
    """Return the reply if it is of the expected era, otherwise a failure."""
    try:
        era = _era_of(reply)
    except ValueError as error:
        return Err(StoreFailure("malformed", str(error)))
    if era > expected:
        detail = f"the store is in era {era}, the position is of era {expected}"
        return Err(StoreFailure("restored", detail, era))
    if era < expected:
        detail = f"the answer is of era {era}, the position is of era {expected}"
        return Err(StoreFailure("lost", detail, era))
    return Ok(reply)


def _check_status(reply: CompleteResponse) -> Result[_Answer, StoreFailure]:
    try:
        era = _era_of(reply)
    except ValueError as error:
        return Err(StoreFailure("malformed", str(error)))
    status = reply.head.status
    if status == 200:
        return Ok(_Answer(reply.body, era))
    detail = f"status {status}: {reply.body[:200].decode('utf-8', 'replace')}"
    if status == 404:
        return Err(StoreFailure("absent", detail, era))
    if status == 410:
        return Err(StoreFailure("expired", detail, era))
    if status == 412:
        return Err(StoreFailure("moved", detail, era))
    return Err(StoreFailure("refused", detail, era))


def _decode_newest(answer: _Answer) -> Result[_Page, StoreFailure]:
    try:
        # Other writers choose the keys, and an invalid one must not hide the others; so
        # each item is checked by itself, after a lenient decoding of the page.
        plain = json.loads(answer.body)
    except (ValueError, RecursionError) as error:
        return Err(_malformed(f"{type(error).__name__}: {error}", answer.era))
    page = check_type(_NewestPage, plain)
    if page.is_err():
        return Err(_malformed(page.err(), answer.era))
    items = [
        check_type(_NewestItem, item).and_then(partial(_make_record, answer.era))
        for item in page.ok()["items"]
    ]
    for item in items:
        if item.is_err():
            log_warning("record of the store cannot be read", reason=item.err())
    next_key = None
    if items and page.ok()["more"]:
        if items[-1].is_err():
            detail = f"the last record of a page cannot be read: {items[-1].err()}"
            return Err(_malformed(detail, answer.era))
        next_key = items[-1].ok().key
    records = [item.ok() for item in items if item.is_ok()]
    end = StorePosition(answer.era, page.ok()["end"])
    return Ok(_Page(records, next_key, end))


def _make_record(era: int, item: _NewestItem) -> Result[KeyedRecord, str]:
    try:
        # A key that cannot be encoded could not be named in a call either.
        item["key"].encode()
        value = base64.b64decode(item["value"])
    except ValueError as error:
        return Err(str(error))
    return Ok(KeyedRecord(StorePosition(era, item["offset"]), item["key"], value))


def _decode_append(answer: _Answer) -> Result[StorePosition, StoreFailure]:
    return (
        _decode_appended(answer.body)
        .map(lambda plain: StorePosition(answer.era, plain["offset"]))
        .map_err(lambda reason: _malformed(reason, answer.era))
    )


def _malformed(reason: str, era: int) -> StoreFailure:
    return StoreFailure("malformed", reason, era)
