"""Runs asyncio code on a clock that moves only when nothing else is left to do."""

import asyncio
import selectors
import time
import unittest
from collections.abc import Coroutine, Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from types import SimpleNamespace
from typing import Any, Final, TypeVar, final
from unittest.mock import patch

from _pistachiopond.kernel import timer
from _pistachiopond.vm import clock

# Bytes between two sockets of this process may still be on their way. A jump to a timer
# that is far ahead waits longer for them, since it may be a time limit.
MIN_SETTLE_S: Final = 0.001
MAX_SETTLE_S: Final = 0.01
SETTLE_SHARE: Final = 0.05
# Real time without a move of the clock after which a test fails instead of hanging.
MAX_STANDSTILL_S: Final = 120.0
# Timers are run a little late, as on a real clock, so that rounding runs none early.
LATENESS_S: Final = 1e-6

# The processor on which times that count the work done are stated runs the loop of
# `processor_slowdown` in this time.
REFERENCE_STEPS: Final = 100_000
REFERENCE_S: Final = 0.002

T = TypeVar("T")


def processor_slowdown() -> float:
    """Return how many times slower this thread runs than on the stated processor.

    At least 1. What else the machine runs makes the same work take more processor time.
    """
    began_s = time.thread_time()
    for _ in range(REFERENCE_STEPS):
        pass
    return max(1.0, (time.thread_time() - began_s) / REFERENCE_S)


@final
class _Selector(selectors.DefaultSelector):
    """A selector that skips the time until the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self._moved_s = time.monotonic()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; if nothing is, move the clock by the timeout.

        Raises
        ------
        TimeoutError
            When the clock has not moved for `MAX_STANDSTILL_S`.
        """
        if time.monotonic() - self._moved_s > MAX_STANDSTILL_S:
            raise TimeoutError(f"no timer has run for {MAX_STANDSTILL_S} s")
        if timeout is None or timeout <= 0.0:
            return super().select(timeout)
        settle_s = min(MAX_SETTLE_S, max(MIN_SETTLE_S, SETTLE_SHARE * timeout))
        ready = super().select(min(settle_s, timeout))
        if not ready:
            self.now_s += timeout + LATENESS_S
            self._moved_s = time.monotonic()
        return ready


@final
class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with real sockets and a virtual clock, which starts at 0.

    If it counts processor time, the clock also moves by what its thread computes, and
    so shows what calls that take long cost others, whatever else the machine runs.
    """

    def __init__(self, *, counts_processor_time: bool = False) -> None:
        self._virtual = _Selector()
        self._counts_processor_time = counts_processor_time
        self._began_s = time.thread_time()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        if self._counts_processor_time:
            return self._virtual.now_s + time.thread_time() - self._began_s
        return self._virtual.now_s

    def stand_still(self, duration_s: float) -> None:
        """Move the clock as if the process had not run for so long."""
        self._virtual.now_s += duration_s


@contextmanager
def _clocks_of(loop: asyncio.AbstractEventLoop) -> Iterator[None]:
    """Let all clocks of the VM's code show the loop's time."""
    clocks = SimpleNamespace(
        CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
        clock_gettime=lambda clock_id: loop.time(),
        monotonic=loop.time,
    )
    with patch.object(clock, "time", clocks), patch.object(timer, "time", clocks):
        yield


def run_in_virtual_time(
    work: Coroutine[Any, Any, T], *, counts_processor_time: bool = False
) -> T:
    """Run a coroutine, with all clocks of the VM's code on the virtual time."""
    make_loop = partial(VirtualTimeLoop, counts_processor_time=counts_processor_time)
    with asyncio.Runner(loop_factory=make_loop) as runner:
        with _clocks_of(runner.get_loop()):
            return runner.run(work)


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs its tests, their set-up and their clean-up in virtual time.

    Not for tests with threads: the clock does not wait for them.
    """

    # From Python 3.13 on, the class attribute `loop_factory` does the same.
    def _setupAsyncioRunner(self) -> None:
        self._asyncioRunner = asyncio.Runner(debug=True, loop_factory=VirtualTimeLoop)
        self._clocks = ExitStack()
        self._clocks.enter_context(_clocks_of(self._asyncioRunner.get_loop()))

    def _tearDownAsyncioRunner(self) -> None:
        try:
            super()._tearDownAsyncioRunner()
        finally:
            self._clocks.close()
