"""Tests of the account of what callers make a process hold."""

import unittest
from typing import Final

from _pistachiopond.decisions.memory_budget import (
    BODY_COPIES,
    MAX_WAIT_S,
    MIB,
    MIN_BUDGET_BYTES,
    MIN_SILENT_S,
    SMALL_BODY_BYTES,
    STOPPED_S,
    UNKNOWN_MEMORY_BUDGET_BYTES,
    Holding,
    MemoryAccount,
    Phase,
    Room,
    budget_bytes,
    choose_relief,
    choose_silent,
    max_caller_connections,
)

NOW_S: Final = 100.0
GREATEST: Final = 4 * MIB
SMALLEST_MACHINE_BYTES: Final = 160_000_000


def holding(
    phase: Phase, age_s: float = 0.0, source: str = "a", held: int = MIB
) -> Holding:
    wanted = MIB if phase == "waiting" else 0
    return Holding(source, phase, held, wanted, NOW_S - age_s)


class AccountTests(unittest.TestCase):
    def test_one_greatest_request_is_served_whatever_the_budget(self) -> None:
        # An account that is too small must not refuse a request within the limits.
        account = MemoryAccount(1.0)
        self.assertTrue(account.try_reserve(GREATEST, 0))
        self.assertFalse(account.try_reserve(GREATEST, 0))
        own_bytes = account.reserved_bytes
        self.assertTrue(account.try_reserve(GREATEST, own_bytes))

    def test_the_sum_of_bodies_is_bounded(self) -> None:
        budget = budget_bytes(SMALLEST_MACHINE_BYTES)
        account = MemoryAccount(budget)
        bodies = 0
        while account.try_reserve(GREATEST, 0):
            bodies += 1
        self.assertGreater(bodies, 4)
        self.assertLessEqual(bodies * GREATEST * BODY_COPIES, budget)

    def test_large_bodies_leave_room_for_small_ones(self) -> None:
        account = MemoryAccount(budget_bytes(SMALLEST_MACHINE_BYTES))
        while account.try_reserve(GREATEST, 0):
            pass
        while account.try_reserve(SMALL_BODY_BYTES + 1, 0):
            pass
        for _ in range(20):
            self.assertTrue(account.try_reserve(SMALL_BODY_BYTES, 0))

    def test_resident_memory_beyond_the_estimate_lowers_the_budget(self) -> None:
        # A wrong estimate must make the process refuse early, not run out of memory.
        account = MemoryAccount(300 * MIB, 500 * MIB)
        account.count(100 * MIB)
        account.record_resident(490 * MIB)
        self.assertLess(account.room().all_bytes, 0)
        account.record_resident(100 * MIB)
        self.assertEqual(account.room().all_bytes, 200 * MIB)

    def test_what_is_released_is_free_again(self) -> None:
        account = MemoryAccount(10 * MIB)
        account.force_reserve(MIB)
        account.count(MIB)
        self.assertEqual(account.room().all_bytes, (9 - BODY_COPIES) * MIB)
        account.release(MIB * BODY_COPIES)
        account.count(-MIB)
        self.assertEqual(account.room().all_bytes, 10 * MIB)

    def test_bounds_of_machines(self) -> None:
        for memory_bytes, expected in (
            (None, UNKNOWN_MEMORY_BUDGET_BYTES),
            (0, MIN_BUDGET_BYTES),
            (512 * MIB, (448 - 64) * MIB),
        ):
            self.assertEqual(budget_bytes(memory_bytes), expected)
        for descriptors, connections in ((None, None), (1_638, 719), (10, 1)):
            self.assertEqual(max_caller_connections(descriptors), connections)


class ReliefTests(unittest.TestCase):
    def test_tables(self) -> None:
        late, stopped = MAX_WAIT_S + 0.1, STOPPED_S + 0.1
        # The case, the holdings, what is free, and which are closed and refused.
        for name, holdings, free, closed, refused in (
            ("room for all", [holding("waiting")], MIB, [], []),
            ("paused first", [holding("waiting")], 0, [], []),
            ("late", [holding("waiting", late)], 0, [], [0]),
            (
                "stopped senders before those that wait, oldest first",
                [
                    holding("receiving", stopped),
                    holding("receiving", stopped + 1.0),
                    holding("waiting", late),
                ],
                0,
                [1],
                [],
            ),
            (
                "a source with many first",
                [
                    holding("receiving", stopped + 5.0),
                    holding("receiving", stopped, "b"),
                    holding("receiving", stopped, "b"),
                    holding("waiting"),
                ],
                0,
                [1],
                [],
            ),
            (
                "senders that go on, and requests that may be running, stay",
                [
                    holding("receiving", STOPPED_S - 0.1),
                    holding("running", 50.0),
                    holding("waiting", late),
                ],
                0,
                [],
                [2],
            ),
            (
                "only as many as needed are refused, the newest first",
                [holding("waiting", late + x) for x in (0.2, 0.0, 0.1, 0.3)],
                0,
                [],
                [1, 2],
            ),
            (
                "beyond the budget",
                [
                    holding("idle", 1.0),
                    holding("running", 50.0),
                    holding("unread", 1.0),
                    holding("waiting"),
                ],
                -2 * MIB,
                [2],
                [3],
            ),
            (
                "requests that may be running stay at any excess",
                [holding("running"), holding("idle"), holding("idle", 1.0)],
                -50 * MIB,
                [2],
                [],
            ),
        ):
            with self.subTest(name):
                relief = choose_relief(holdings, Room(free, free), NOW_S)
                self.assertEqual((relief.closed, relief.refused), (closed, refused))

    def test_a_large_body_does_not_wait_for_the_share_of_small_ones(self) -> None:
        # It waited without end while the rest of the budget alone had room for it.
        holdings = [holding("waiting", MAX_WAIT_S + 0.1), holding("idle")]
        relief = choose_relief(holdings, Room(-MIB, 2 * MIB), NOW_S)
        self.assertEqual((relief.closed, relief.refused), ([], [0]))

    def test_connections_that_send_nothing_give_way_to_new_ones(self) -> None:
        silent = MIN_SILENT_S + 0.1
        holdings = [
            holding("idle"),
            holding("running", 50.0),
            holding("receiving", STOPPED_S + 1.0),
            holding("idle", silent),
            holding("idle", silent + 1.0),
            holding("waiting", 50.0),
        ]
        self.assertEqual(choose_silent(holdings, 9, NOW_S), [4, 3, 2])
        self.assertEqual(choose_silent(holdings, 1, NOW_S), [4])


if __name__ == "__main__":
    unittest.main()
