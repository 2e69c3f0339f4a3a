"""A stand-in for the platform's append-only log; its protocol: ``platform/log.py``."""

from collections import deque
from typing import Final, NamedTuple, final

import anyio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.http import (
    bad_request,
    int_query,
    json_answer,
    read_body,
)

MAX_WAIT_MS: Final = 30_000
MAX_RECORDS: Final = 1_000


class LogOptions(NamedTuple):
    """What the log keeps and carries.

    Attributes
    ----------
    retention_records : int or None
        Records kept of each stream; None for all.
    retention_s : float or None
        How long a record is kept; None for ever.
    appends_per_s : float
        Over all streams; later appends wait.
    """

    retention_records: int | None = None
    retention_s: float | None = None
    appends_per_s: float = 400.0


class AppendBody(NamedTuple):
    """The body of an append."""

    payload: str


class Appended(NamedTuple):
    """The answer to an append."""

    offset: int


class RecordView(NamedTuple):
    """One record in the answer to a read."""

    offset: int
    age_ms: float
    payload: str


class Page(NamedTuple):
    """The answer to a read."""

    first: int
    next: int
    records: tuple[RecordView, ...]


class _Kept(NamedTuple):
    offset: int
    appended_s: float
    payload: str


@final
class Stream:
    """The retained records of one stream."""

    def __init__(self, options: LogOptions) -> None:
        self._options = options
        self._records: deque[_Kept] = deque()
        self._next = 0
        self._grown = anyio.Event()

    def append(self, payload: str, now_s: float) -> int:
        """Add a record, wake readers and return its offset."""
        offset = self._next
        self._next += 1
        self._records.append(_Kept(offset, now_s, payload))
        self._expire(now_s)
        self._grown.set()
        self._grown = anyio.Event()
        return offset

    def page(self, start: int, limit: int, now_s: float) -> Page:
        """Return the records from `start` on, or from the oldest that is kept."""
        self._expire(now_s)
        first = self._records[0].offset if self._records else self._next
        skipped = max(0, start - first)
        chosen = list(self._records)[skipped : skipped + limit]
        views = tuple(
            RecordView(kept.offset, (now_s - kept.appended_s) * 1000.0, kept.payload)
            for kept in chosen
        )
        return Page(first, self._next, views)

    async def wait_beyond(self, start: int) -> None:
        """Return once there is a record at `start` or later."""
        while self._next <= start:
            await self._grown.wait()

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
    """Every stream, and the pace of appends."""

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
        body = await read_body(AppendBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        await self._take_turn()
        self._appends += 1
        stream = self._stream(request.path_params["stream"])
        offset = stream.append(body.unwrap().payload, self._timer.now_s())
        return json_answer(Appended(offset))

    async def _take_turn(self) -> None:
        turn_s = max(self._next_append_s, self._timer.now_s())
        self._next_append_s = turn_s + 1.0 / self._options.appends_per_s
        await self._timer.sleep_until(turn_s)

    async def _read(self, request: Request) -> Response:
        self._reads += 1
        start = int_query(request, "from", 0)
        limit = min(int_query(request, "limit", MAX_RECORDS), MAX_RECORDS)
        wait_ms = min(int_query(request, "wait_ms", 0), MAX_WAIT_MS)
        stream = self._stream(request.path_params["stream"])
        with anyio.move_on_after(wait_ms / 1000.0):
            await stream.wait_beyond(start)
        return json_answer(stream.page(start, limit, self._timer.now_s()))

    async def _list(self, request: Request) -> Response:
        del request
        streams = {
            name: stream.page(0, 0, self._timer.now_s()).next
            for name, stream in sorted(self._streams.items())
        }
        return json_answer(
            {"streams": streams, "appends": self._appends, "reads": self._reads}
        )
