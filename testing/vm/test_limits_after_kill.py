"""Tests of customers' limits after all VMs were killed at once."""

import asyncio
import unittest

from testing.virtual_time import run_in_virtual_time
from testing.vm.killed_fleet import STREAMS, Figures, KilledFleet, both_serve

SEEDS = (1, 2)
SETTLED_S = 15.0


async def play(seed: int) -> Figures:
    """Let a customer take its streams up again, which is well within its burst."""
    fleet = KilledFleet(seed, limits_customers=True)
    await fleet.start(3)
    for version in ("v1", "v1", "v2"):
        await fleet.add_server(version)
    try:
        # The streams themselves use much of the burst before.
        await asyncio.sleep(SETTLED_S)
        await both_serve(fleet)
        return await fleet.resume()
    finally:
        await fleet.close()


class LimitTests(unittest.TestCase):
    def test_callers_within_their_limit_are_served_when_they_come_back_as_told(
        self,
    ) -> None:
        statuses = [run_in_virtual_time(play(seed)).statuses for seed in SEEDS]
        self.assertEqual(statuses, [{200: STREAMS}] * len(SEEDS))
