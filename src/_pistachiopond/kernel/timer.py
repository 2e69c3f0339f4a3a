"""Timers on the monotonic clock or on a virtual clock.

Other modules get the time only through a timer, so that tests and replay run on a
virtual clock the same code that runs live on the monotonic clock.
"""

import heapq
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, Protocol, final

import anyio
import anyio.lowlevel

OnTick = Callable[[float], Awaitable[None]]


class Timer(Protocol):
    """The timer interface; all times are monotonic seconds."""

    def now_s(self) -> float:
        """Return the current time in seconds."""
        ...

    async def sleep_until(self, deadline_s: float) -> None:
        """Return once the time has reached `deadline_s`."""
        ...


@final
class RealTimer:
    """The timer of a live process, on the monotonic clock."""

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    async def sleep_until(self, deadline_s: float) -> None:
        """Sleep until the monotonic clock reaches `deadline_s`."""
        await anyio.sleep(max(0.0, deadline_s - time.monotonic()))


class _Sleeper(NamedTuple):
    deadline_s: float
    sequence: int
    wake: anyio.Event


@final
class VirtualTimer:
    """A timer whose time moves only when a test or a replay calls `advance`."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s
        self._sequence = itertools.count()
        self._sleepers: list[_Sleeper] = []

    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    async def sleep_until(self, deadline_s: float) -> None:
        """Wait until `advance` has moved the time to `deadline_s`."""
        if deadline_s <= self._now_s:
            await anyio.lowlevel.checkpoint()
            return
        sleeper = _Sleeper(deadline_s, next(self._sequence), anyio.Event())
        heapq.heappush(self._sleepers, sleeper)
        await sleeper.wake.wait()

    async def advance(self, duration_s: float) -> None:
        """Move the time forward and wake sleeping tasks in deadline order.

        Parameters
        ----------
        duration_s : float
            The time to advance by, in seconds.
        """
        await _run_ready_tasks()
        end_s = self._now_s + duration_s
        while self._sleepers and self._sleepers[0].deadline_s <= end_s:
            sleeper = heapq.heappop(self._sleepers)
            self._now_s = sleeper.deadline_s
            sleeper.wake.set()
            await _run_ready_tasks()
        self._now_s = end_s
        await _run_ready_tasks()


# A woken task may wake others, so one pass of the event loop is not enough.
SCHEDULER_ROUNDS: Final = 20


async def _run_ready_tasks() -> None:
    for _ in range(SCHEDULER_ROUNDS):
        await anyio.lowlevel.checkpoint()


async def every(timer: Timer, period_s: float, on_tick: OnTick) -> None:
    """Call `on_tick` once a period until the task is cancelled.

    A tick that takes longer than a period delays the next one instead of causing a
    burst of late ticks.

    Parameters
    ----------
    timer : Timer
        The timer.
    period_s : float
        Seconds from one tick to the next.
    on_tick : callable
        Receives the time of the tick in seconds.
    """
    deadline_s = timer.now_s() + period_s
    while True:
        await timer.sleep_until(deadline_s)
        now_s = timer.now_s()
        await on_tick(now_s)
        deadline_s = max(deadline_s + period_s, timer.now_s())
