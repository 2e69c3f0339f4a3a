"""Tests of timers on the virtual clock."""

import unittest

import anyio

from _pistachiopond.kernel.timer import VirtualTimer, every


class EveryTests(unittest.TestCase):
    def test_tick_is_called_once_a_period(self) -> None:
        ticks_s: list[float] = []

        async def on_tick(now_s: float) -> None:
            ticks_s.append(now_s)

        async def scenario() -> None:
            timer = VirtualTimer()
            async with anyio.create_task_group() as group:
                group.start_soon(every, timer, 2.0, on_tick)
                await timer.advance(7.0)
                group.cancel_scope.cancel()

        anyio.run(scenario)
        self.assertEqual(ticks_s, [2.0, 4.0, 6.0])
