"""A stand-in for the platform's append-only log.

``clients/log.py`` describes the protocol.
"""

from collections import deque
from typing import Final, NamedTuple, final

import anyio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.http import (
    bad_request,
    int_query_parameter,
    json_response,
    parse_body,
)

MAX_WAIT_MS: Final = 30_000
MAX_RECORDS: Final = 1_000


class LogOptions(NamedTuple):
    """Retention and throughput of the log.

    Attributes
    ----------
    retention_records : int or None
        Number of records kept in each stream; None for no limit.
    retention_s : float or None
        How long a record is kept; None for no limit.
    appends_per_s : float
        Maximum rate of appends over all streams; appends beyond it wait.
    """

    retention_records: int | None = None
    retention_s: float | None = None
    appends_per_s: float = 400.0


class AppendBody(NamedTuple):
    """Body of an append."""

    payload: str


class Appended(NamedTuple):
    """Response to an append."""

    offset: int


class RecordView(NamedTuple):
    """One record in the response to a read."""

    offset: int
    age_ms: float
    payload: str


class Page(NamedTuple):
    """Response to a read.

    Attributes
    ----------
    first : int
        The oldest offset that is still kept.
    next : int
        The offset of the next append.
    """

    first: int
    next: int
    records: tuple[RecordView, ...]


class _StoredRecord(NamedTuple):
    offset: int
    appended_s: float
    payload: str


@final
class Stream:
    """The retained records of one stream."""

    def __init__(self, options: LogOptions) -> None:
        self._options = options
        self._records: deque[_StoredRecord] = deque()
        self._next_offset = 0
        self._record_added = anyio.Event()

    def append(self, payload: str, now_s: float) -> int:
        """Append a record, wake waiting readers and return the record's offset."""
        offset = self._next_offset
        self._next_offset += 1
        self._records.append(_StoredRecord(offset, now_s, payload))
        self._expire(now_s)
        self._record_added.set()
        self._record_added = anyio.Event()
        return offset

    def read_page(self, start_offset: int, limit: int, now_s: float) -> Page:
        """Return up to `limit` records from `start_offset`, or from the oldest kept."""
        self._expire(now_s)
        first = self._records[0].offset if self._records else self._next_offset
        skipped = max(0, start_offset - first)
        chosen = list(self._records)[skipped : skipped + limit]
        views = tuple(
            RecordView(
                record.offset, (now_s - record.appended_s) * 1000.0, record.payload
            )
            for record in chosen
        )
        return Page(first, self._next_offset, views)

    async def wait_for_record(self, start_offset: int) -> None:
        """Wait until a record exists at `start_offset` or later."""
        while self._next_offset <= start_offset:
            await self._record_added.wait()

    def _expire(self, now_s: float) -> None:
        count = self._options.retention_records
        age_s = self._options.retention_s
        while count is not None and len(self._records) > count:
            self._records.popleft()
        while (
            age_s is not None
            and self._records
            and self._records[0].appended_s + age_s <= now_s
        ):
            self._records.popleft()


@final
class StandinLog:
    """All streams of the log, with the rate limit for appends."""

    def __init__(self, options: LogOptions, timer: Timer) -> None:
        self._options = options
        self._timer = timer
        self._streams: dict[str, Stream] = {}
        self._next_append_s = 0.0
        self._appends = 0
        self._reads = 0

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the log."""
        path = "/streams/{stream}/records"
        return [
            Route(path, self._append, methods=["POST"]),
            Route(path, self._read, methods=["GET"]),
            Route("/streams", self._list, methods=["GET"]),
        ]

    def _stream(self, name: str) -> Stream:
        return self._streams.setdefault(name, Stream(self._options))

    async def _append(self, request: Request) -> Response:
        body = await parse_body(AppendBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        await self._wait_for_append_slot()
        self._appends += 1
        stream = self._stream(request.path_params["stream"])
        offset = stream.append(body.unwrap().payload, self._timer.now_s())
        return json_response(Appended(offset))

    async def _wait_for_append_slot(self) -> None:
        scheduled_s = max(self._next_append_s, self._timer.now_s())
        self._next_append_s = scheduled_s + 1.0 / self._options.appends_per_s
        await self._timer.sleep_until(scheduled_s)

    async def _read(self, request: Request) -> Response:
        self._reads += 1
        start_offset = int_query_parameter(request, "from", 0)
        limit = min(int_query_parameter(request, "limit", MAX_RECORDS), MAX_RECORDS)
        wait_ms = min(int_query_parameter(request, "wait_ms", 0), MAX_WAIT_MS)
        stream = self._stream(request.path_params["stream"])
        with anyio.move_on_after(wait_ms / 1000.0):
            await stream.wait_for_record(start_offset)
        return json_response(stream.read_page(start_offset, limit, self._timer.now_s()))

    async def _list(self, request: Request) -> Response:
        del request
        streams = {
            name: stream.read_page(0, 0, self._timer.now_s()).next
            for name, stream in sorted(self._streams.items())
        }
        return json_response(
            {"streams": streams, "appends": self._appends, "reads": self._reads}
        )
