"""The service ``log``: access to the platform's log, with metrics and back-off.

After a failure, calls fail at once until the next attempt is due. The back-off has
jitter, which spreads the retries of daemons that lost the log at the same moment.
"""

import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar, final

import httpx
from anyio.abc import TaskStatus
from prometheus_client import Counter, Gauge
from result import Err, Result

from _pistachiopond.clients.log import LogClient, LogFailure, LogPage, make_log_client
from _pistachiopond.clients.reply_client import (
    MAX_LOG_REPLY_BYTES,
    make_reply_client,
)
from _pistachiopond.control.ports import LogAccess
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.settings import ControlSettings

T = TypeVar("T")

BASE_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 5.0
MAX_LOG_CONNECTIONS: Final = 64

APPENDS: Final = Counter(
    "pond_log_appends", "Appends to the log", ["stream_kind", "result"]
)
READS: Final = Counter("pond_log_reads", "Reads of the log", ["stream_kind", "result"])
DOWN_SECONDS: Final = Gauge(
    "pond_log_down_seconds", "How long the log has not answered"
)


@final
class Backoff:
    """Computes when the next attempt is due after failures."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._retry_at_s = float("-inf")
        self._down_since_s: float | None = None

    def is_due(self, now_s: float) -> bool:
        """Return whether an attempt is allowed now."""
        return now_s >= self._retry_at_s

    def record_result(self, now_s: float, *, answered: bool) -> None:
        """Record whether an attempt was answered."""
        if answered:
            self._failures = 0
            self._retry_at_s = float("-inf")
            self._down_since_s = None
            return
        if self._down_since_s is None:
            self._down_since_s = now_s
        if not self.is_due(now_s):
            return
        self._failures += 1
        limit_s = min(BASE_BACKOFF_S * 2**self._failures, MAX_BACKOFF_S)
        self._retry_at_s = now_s + limit_s * self._rng.uniform(0.5, 1.0)

    def down_for_s(self, now_s: float) -> float:
        """Return the time since attempts began to fail; 0 while they succeed."""
        return 0.0 if self._down_since_s is None else now_s - self._down_since_s


def stream_kind(stream: str) -> str:
    """Return the part of a stream's name that is used as a metric label."""
    return stream.split("-", 1)[0]


def make_log_access(client: LogClient, timer: Timer, rng: random.Random) -> LogAccess:
    """Return the log client's calls with counters and back-off added."""
    backoff = Backoff(rng)

    async def call_with_backoff(
        counter: Counter, stream: str, call: Callable[[], Awaitable[Result[T, Any]]]
    ) -> Result[T, Any]:
        kind = stream_kind(stream)
        if not backoff.is_due(timer.now_s()):
            counter.labels(kind, "held_back").inc()
            return Err(LogFailure(False, "the log is not answering; backing off"))
        result = await call()
        now_s = timer.now_s()
        backoff.record_result(now_s, answered=result.is_ok())
        DOWN_SECONDS.set(backoff.down_for_s(now_s))
        counter.labels(kind, "ok" if result.is_ok() else "failed").inc()
        return result

    async def append(stream: str, payload: str) -> Result[int, LogFailure]:
        return await call_with_backoff(
            APPENDS, stream, lambda: client.append(stream, payload)
        )

    async def read(
        stream: str, from_offset: int, limit: int, wait_s: float
    ) -> Result[LogPage, LogFailure]:
        return await call_with_backoff(
            READS, stream, lambda: client.read(stream, from_offset, limit, wait_s)
        )

    return LogAccess(append, read, lambda: backoff.down_for_s(timer.now_s()))


def make_log_service(settings: ControlSettings, timer: Timer) -> Service:
    """Return the service ``log``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        limits = httpx.Limits(
            max_connections=MAX_LOG_CONNECTIONS,
            max_keepalive_connections=MAX_LOG_CONNECTIONS,
        )
        async with make_reply_client(MAX_LOG_REPLY_BYTES, limits=limits) as http:
            client = make_log_client(http, settings.log_url)
            rng = random.Random(f"{settings.listen_address}/{time.time_ns()}")
            task_status.started(make_log_access(client, timer, rng))
            await kernel.stop_event("log").wait()

    return Service("log", run)
