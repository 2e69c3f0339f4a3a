"""Tests of the windows and of the discount on old load reports."""

import unittest

from _pistachiopond.decisions.load import INITIAL_WINDOW, ServerLoad
from _pistachiopond.decisions.shares import UseShares

FULL = int(INITIAL_WINDOW)


def fill(load: ServerLoad, count: int) -> None:
    for number in range(count):
        load.started(str(number), 100.0, 0.0)


class WindowTests(unittest.TestCase):
    def test_a_full_window_has_no_room_but_for_one_urgent_request(self) -> None:
        load = ServerLoad(is_adaptive=True)
        fill(load, FULL)
        self.assertFalse(load.has_room("normal", 0.0))
        self.assertTrue(load.has_room("urgent", 0.0))
        load.started("urgent", 100.0, 0.0)
        self.assertFalse(load.has_room("urgent", 0.0))

    def test_batch_and_customers_above_their_share_leave_room(self) -> None:
        load = ServerLoad(is_adaptive=True)
        fill(load, int(0.75 * FULL))
        self.assertFalse(load.has_room("batch", 0.0))
        self.assertFalse(load.has_room("normal", 0.0, is_over_share=True))
        self.assertTrue(load.has_room("normal", 0.0))

    def test_slow_tokens_shrink_the_window_and_fast_ones_widen_it(self) -> None:
        load = ServerLoad(is_adaptive=True)
        for second in range(20):
            load.token_gap(0.040, float(second))
        narrow = load.window
        self.assertLess(narrow, FULL / 2)
        fill(load, FULL)
        for second in range(20, 60):
            load.first_token(0.05, float(second))
        self.assertGreater(load.window, narrow * 2)

    def test_a_refusing_server_gets_a_pause(self) -> None:
        load = ServerLoad(is_adaptive=True)
        load.overloaded(2.0, 10.0)
        self.assertFalse(load.has_room("urgent", 11.9))
        self.assertTrue(load.has_room("urgent", 12.1))


class ReportTests(unittest.TestCase):
    def test_own_work_is_not_counted_twice(self) -> None:
        load = ServerLoad(is_adaptive=True)
        load.started("a", 300.0, 1.0)
        load.started("b", 50.0, 9.5)
        load.reported(500.0, age_s=1.0, now_s=10.0)
        self.assertEqual(load.last_foreign_tokens(), 200.0)

    def test_an_old_report_fades_towards_the_usual(self) -> None:
        load = ServerLoad(is_adaptive=True)
        load.reported(0.0, age_s=0.0, now_s=0.0)
        self.assertAlmostEqual(load.foreign_tokens(0.0, 1_000.0), 0.0)
        self.assertGreater(load.foreign_tokens(30.0, 1_000.0), 990.0)

    def test_an_older_report_does_not_replace_a_newer_one(self) -> None:
        load = ServerLoad(is_adaptive=True)
        load.reported(100.0, age_s=0.0, now_s=10.0)
        load.reported(900.0, age_s=5.0, now_s=11.0)
        self.assertEqual(load.last_foreign_tokens(), 100.0)


class ShareTests(unittest.TestCase):
    def test_only_a_customer_far_above_its_weight_is_over(self) -> None:
        shares = UseShares({"a": 1.0, "b": 3.0}.__getitem__)
        shares.add("a", 90_000.0, 0.0)
        self.assertFalse(shares.is_over("a", 0.0), "alone")
        shares.add("b", 30_000.0, 0.0)
        self.assertTrue(shares.is_over("a", 0.0))
        self.assertFalse(shares.is_over("b", 0.0))

    def test_past_use_is_forgotten(self) -> None:
        shares = UseShares(lambda customer: 1.0)
        shares.add("a", 90_000.0, 0.0)
        shares.add("b", 10_000.0, 60.0)
        self.assertFalse(shares.is_over("a", 60.0))
