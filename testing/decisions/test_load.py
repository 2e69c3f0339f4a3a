"""Tests of the concurrency window, the load estimate and the usage shares."""

import unittest

from _pistachiopond.decisions.load import INITIAL_WINDOW, ServerLoad
from _pistachiopond.decisions.recent_usage import RecentUsage

FULL = int(INITIAL_WINDOW)


def fill(load: ServerLoad, count: int) -> None:
    for number in range(count):
        load.started(str(number), 100.0, 0.0)


class WindowTests(unittest.TestCase):
    def test_a_full_window_admits_only_one_more_urgent_request(self) -> None:
        load = ServerLoad(is_adaptive=True)
        fill(load, FULL)
        self.assertFalse(load.has_room("normal", 0.0))
        self.assertTrue(load.has_room("urgent", 0.0))
        load.started("urgent", 100.0, 0.0)
        self.assertFalse(load.has_room("urgent", 0.0))

    def test_batch_and_customers_above_their_share_use_part_of_the_window(self) -> None:
        load = ServerLoad(is_adaptive=True)
        fill(load, int(0.75 * FULL))
        self.assertFalse(load.has_room("batch", 0.0))
        self.assertFalse(load.has_room("normal", 0.0, is_over_share=True))
        self.assertTrue(load.has_room("normal", 0.0))

    def test_slow_tokens_shrink_the_window_and_fast_ones_widen_it(self) -> None:
        load = ServerLoad(is_adaptive=True)
        for second in range(20):
            load.record_token_gap(0.040, float(second))
        narrow = load.window
        self.assertLess(narrow, FULL / 2)
        fill(load, FULL)
        for second in range(20, 60):
            load.record_first_token(0.05, float(second))
        self.assertGreater(load.window, narrow * 2)

    def test_a_server_that_refuses_gets_no_requests_for_a_time(self) -> None:
        load = ServerLoad(is_adaptive=True)
        load.record_overload(2.0, 10.0)
        self.assertFalse(load.has_room("urgent", 11.9))
        self.assertTrue(load.has_room("urgent", 12.1))


class ReportTests(unittest.TestCase):
    def test_own_requests_are_subtracted_from_the_report(self) -> None:
        load = ServerLoad(is_adaptive=True)
        load.started("a", 300.0, 1.0)
        load.started("b", 50.0, 9.5)
        load.reported(500.0, age_s=1.0, now_s=10.0)
        self.assertEqual(load.last_others_tokens(), 200.0)

    def test_an_old_report_decays_towards_the_mean(self) -> None:
        load = ServerLoad(is_adaptive=True)
        load.reported(0.0, age_s=0.0, now_s=0.0)
        self.assertAlmostEqual(load.others_tokens(0.0, 1_000.0), 0.0)
        self.assertGreater(load.others_tokens(30.0, 1_000.0), 990.0)

    def test_an_older_report_does_not_replace_a_newer_one(self) -> None:
        load = ServerLoad(is_adaptive=True)
        load.reported(100.0, age_s=0.0, now_s=10.0)
        load.reported(900.0, age_s=5.0, now_s=11.0)
        self.assertEqual(load.last_others_tokens(), 100.0)


class RecentUsageTests(unittest.TestCase):
    def test_only_a_customer_far_above_its_weighted_share_is_over(self) -> None:
        usage = RecentUsage({"a": 1.0, "b": 3.0}.__getitem__)
        usage.add("a", 90_000.0, 0.0)
        self.assertFalse(usage.is_over_share("a", 0.0), "alone")
        usage.add("b", 30_000.0, 0.0)
        self.assertTrue(usage.is_over_share("a", 0.0))
        self.assertFalse(usage.is_over_share("b", 0.0))

    def test_old_usage_decays(self) -> None:
        usage = RecentUsage(lambda customer: 1.0)
        usage.add("a", 90_000.0, 0.0)
        usage.add("b", 10_000.0, 60.0)
        self.assertFalse(usage.is_over_share("a", 60.0))
