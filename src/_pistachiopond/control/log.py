"""The service ``log``: the platform's log with counters and a jittered back-off.

While the log does not answer, calls fail at once until the next attempt is due.
The jitter spreads the attempts of many daemons that lost it at the same moment.
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
from _pistachiopond.control.ports import LogAccess
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.settings import ControlSettings

T = TypeVar("T")

FIRST_BACKOFF_S: Final = 0.2
LONGEST_BACKOFF_S: Final = 5.0
MAX_LOG_CONNECTIONS: Final = 64

APPENDS: Final = Counter(
    "pond_log_appends", "Appends to the log", ["stream_kind", "result"]
)
READS: Final = Counter("pond_log_reads", "Reads of the log", ["stream_kind", "result"])
DOWN: Final = Gauge("pond_log_down_seconds", "How long the log has not answered")


@final
class Backoff:
    """When the next attempt is due after failures."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._retry_s = float("-inf")
        self._down_since_s: float | None = None

    def is_due(self, now_s: float) -> bool:
        """Return whether an attempt may be made now."""
        return now_s >= self._retry_s

    def note(self, now_s: float, *, answered: bool) -> None:
        """Take note of how an attempt ended."""
        if answered:
            self._failures = 0
            self._retry_s = float("-inf")
            self._down_since_s = None
            return
        if self._down_since_s is None:
            self._down_since_s = now_s
        if not self.is_due(now_s):
            return
        self._failures += 1
        limit_s = min(FIRST_BACKOFF_S * 2**self._failures, LONGEST_BACKOFF_S)
        self._retry_s = now_s + limit_s * self._rng.uniform(0.5, 1.0)

    def down_for_s(self, now_s: float) -> float:
        """Return how long no attempt was answered; 0 while they are."""
        return 0.0 if self._down_since_s is None else now_s - self._down_since_s


def stream_kind(stream: str) -> str:
    """Return the part of a stream's name that metrics are split by."""
    return stream.split("-", 1)[0]


def make_log_access(client: LogClient, timer: Timer, rng: random.Random) -> LogAccess:
    """Return the log's calls with counters and back-off."""
    backoff = Backoff(rng)

    async def guarded(
        counter: Counter, stream: str, call: Callable[[], Awaitable[Result[T, Any]]]
    ) -> Result[T, Any]:
        kind = stream_kind(stream)
        if not backoff.is_due(timer.now_s()):
            counter.labels(kind, "held_back").inc()
            return Err(LogFailure(False, "the log did not answer; waiting to retry"))
        answer = await call()
        now_s = timer.now_s()
        backoff.note(now_s, answered=answer.is_ok())
        DOWN.set(backoff.down_for_s(now_s))
        counter.labels(kind, "ok" if answer.is_ok() else "failed").inc()
        return answer

    async def append(stream: str, payload: str) -> Result[int, LogFailure]:
        return await guarded(APPENDS, stream, lambda: client.append(stream, payload))

    async def read(
        stream: str, from_offset: int, limit: int, wait_s: float
    ) -> Result[LogPage, LogFailure]:
        return await guarded(
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
        async with httpx.AsyncClient(limits=limits, trust_env=False) as http:
            client = make_log_client(http, settings.log_url)
            rng = random.Random(f"{settings.listen_address}/{time.time_ns()}")
            task_status.started(make_log_access(client, timer, rng))
            await kernel.stop_event("log").wait()

    return Service("log", run)
