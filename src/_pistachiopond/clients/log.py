"""A client of the platform's append-only log, with JSON over HTTP.

The log's protocol is confined to this module; to use a different log service, replace
this module.

The protocol of the stand-in service, with one resource for each stream:

``POST /streams/{stream}/records``
    Appends a record. Body ``{"payload": "..."}``; response ``{"offset": 7}``.
``GET /streams/{stream}/records?from=3&limit=100&wait_ms=5000``
    Reads records. Response ``{"first": 0, "next": 9, "records": [{"offset": 3,
    "age_ms": 12, "payload": "..."}]}``, where ``first`` is the oldest retained
    offset and ``next`` the offset of the next append. Waits up to ``wait_ms`` for a
    record at ``from`` or later.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import httpx
from result import Err, Ok, Result

APPEND_TIMEOUT_S: Final = 2.0
READ_TIMEOUT_MARGIN_S: Final = 2.0


class LogRecord(NamedTuple):
    """One record of a stream.

    Attributes
    ----------
    offset : int
        Its position; offsets of a stream start at 0 and have no gaps.
    age_s : float
        The time from the append until the log's response.
    payload : str
        The appended text.
    """

    offset: int
    age_s: float
    payload: str


class LogPage(NamedTuple):
    """A range of records of a stream.

    Attributes
    ----------
    first_offset : int
        The oldest offset that is still retained.
    next_offset : int
        The offset that the next append will get.
    records : tuple of LogRecord
        The records, ordered by offset.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogFailure(NamedTuple):
    """A failed call to the log.

    Attributes
    ----------
    may_have_taken_effect : bool
        Whether an append may have succeeded despite the failure.
    detail : str
        The error text for log lines.
    """

    may_have_taken_effect: bool
    detail: str


Append = Callable[[str, str], Awaitable[Result[int, LogFailure]]]
Read = Callable[[str, int, int, float], Awaitable[Result[LogPage, LogFailure]]]


class LogClient(NamedTuple):
    """The operations of the log.

    Attributes
    ----------
    append : callable
        ``append(stream, payload)`` returns the record's offset.
    read : callable
        ``read(stream, from_offset, limit, wait_s)`` returns a page.
    """

    append: Append
    read: Read


def make_log_client(http: httpx.AsyncClient, base_url: str) -> LogClient:
    """Return a client of the log service at `base_url`."""

    async def append(stream: str, payload: str) -> Result[int, LogFailure]:
        url = f"{base_url}/streams/{stream}/records"
        result = await _call(
            http.post(url, json={"payload": payload}, timeout=APPEND_TIMEOUT_S)
        )
        return result.map(lambda body: int(body["offset"]))

    async def read(
        stream: str, from_offset: int, limit: int, wait_s: float
    ) -> Result[LogPage, LogFailure]:
        url = f"{base_url}/streams/{stream}/records"
        query = {"from": from_offset, "limit": limit, "wait_ms": int(wait_s * 1000)}
        result = await _call(
            http.get(url, params=query, timeout=wait_s + READ_TIMEOUT_MARGIN_S)
        )
        return result.map(_parse_page)

    return LogClient(append, read)


async def _call(
    request: Awaitable[httpx.Response],
) -> Result[dict[str, Any], LogFailure]:
    try:
        response = await request
        response.raise_for_status()
        return Ok(response.json())
    except httpx.ConnectError as error:
        return Err(LogFailure(False, f"cannot connect: {error}"))
    except httpx.HTTPStatusError as error:
        return Err(LogFailure(error.response.status_code >= 500, str(error)))
    except (httpx.HTTPError, ValueError) as error:
        return Err(LogFailure(True, f"{type(error).__name__}: {error}"))


def _parse_page(body: dict[str, Any]) -> LogPage:
    records = tuple(
        LogRecord(int(item["offset"]), item["age_ms"] / 1000.0, item["payload"])
        for item in body["records"]
    )
    return LogPage(int(body["first"]), int(body["next"]), records)
