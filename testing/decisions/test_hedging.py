"""Tests of the decision on second attempts, their delay and their share."""

import unittest

from _pistachiopond.decisions.hedging import (
    MAX_CLASSES,
    MAX_SAMPLE_AGE_S,
    MAX_SAVED_HEDGES,
    MIN_DELAY_S,
    MIN_SAMPLES,
    HeadTimes,
    HedgeShares,
    HedgeSituation,
    RequestClass,
    length_class,
    withheld_reason,
)
from _pistachiopond.decisions.shared_retry_budget import SharedRetryBudget
from _pistachiopond.schema.hedge_share import parse_hedge_share

CLASS = RequestClass("plain", "safe", "", 0)
ALLOWED = HedgeSituation(
    late_s=0.0,
    time_left_s=1.0,
    typical_s=0.1,
    servers_run=1,
    max_servers=2,
    is_suspected=False,
    is_unreachable=False,
    has_waiting=False,
    utilisation=0.3,
    has_server=True,
    has_share=True,
    has_retry_to_spare=True,
)


class WithheldReasonTests(unittest.TestCase):
    def test_each_condition_alone_forbids_a_second_attempt(self) -> None:
        """Guards against a second attempt where one would do harm."""
        self.assertIsNone(withheld_reason(ALLOWED))
        for reason, change in (
            ("standstill", {"late_s": 0.2}),
            ("attempts", {"servers_run": 2}),
            ("time", {"time_left_s": 0.05}),
            ("suspected", {"is_suspected": True}),
            ("unreachable", {"is_unreachable": True}),
            ("waiting", {"has_waiting": True}),
            ("full", {"utilisation": 0.8}),
            ("no_server", {"has_server": False}),
            ("share", {"has_share": False}),
            ("retry_budget", {"has_retry_to_spare": False}),
        ):
            with self.subTest(reason):
                self.assertEqual(withheld_reason(ALLOWED._replace(**change)), reason)


class HeadTimesTests(unittest.TestCase):
    def test_the_delay_is_the_95th_percentile_of_recent_times(self) -> None:
        """Guards against second attempts for ordinary requests, or from old times."""
        times = HeadTimes()
        for number in range(MIN_SAMPLES - 1):
            times.record(CLASS, 0.1 + number / 1000, 0.0)
        self.assertIsNone(times.estimate(CLASS, 0.0))
        times.record(CLASS, 0.1 + (MIN_SAMPLES - 1) / 1000, 0.0)
        estimate = times.estimate(CLASS, 0.0)
        assert estimate is not None
        self.assertAlmostEqual(estimate.delay_s, 0.1 + 0.95 * MIN_SAMPLES / 1000, 2)
        self.assertAlmostEqual(estimate.typical_s, 0.1 + 0.5 * MIN_SAMPLES / 1000, 2)
        self.assertIsNone(times.estimate(CLASS._replace(kind="stream"), 0.0))
        self.assertIsNone(times.estimate(CLASS, MAX_SAMPLE_AGE_S + 1.0))
        self.assertAlmostEqual(times.expected_rest_s(CLASS, 0.2), 0.05, 2)
        self.assertEqual(times.expected_rest_s(CLASS, 9.0), 0.0)

    def test_answers_within_moments_are_not_hedged_sooner_than_the_minimum(
        self,
    ) -> None:
        times = HeadTimes()
        for _ in range(MIN_SAMPLES):
            times.record(CLASS, 0.001, 0.0)
        estimate = times.estimate(CLASS, 0.0)
        assert estimate is not None
        self.assertEqual(estimate.delay_s, MIN_DELAY_S)

    def test_the_number_of_classes_is_bounded(self) -> None:
        """Guards against memory that callers fill with names of models."""
        times = HeadTimes()
        for number in range(3 * MAX_CLASSES):
            times.record(CLASS._replace(model=f"m{number}"), 0.1, 0.0)
        self.assertEqual(len(times._classes), MAX_CLASSES)
        self.assertEqual([length_class(n) for n in (None, 1, 500, 513)], [0, 1, 9, 10])


class ShareTests(unittest.TestCase):
    def test_second_attempts_stay_within_the_share(self) -> None:
        """Guards against more second attempts than operators allow, also in bursts."""
        shares, spent = HedgeShares(), 0
        self.assertFalse(shares.has_hedge("plain"))
        for number in range(1, 2_001):
            shares.record_request("plain", 0.02)
            if shares.has_hedge("plain"):
                shares.spend("plain")
                spent += 1
            self.assertLessEqual(spent, 0.02 * number + 1e-6)
        self.assertEqual(spent, 40)
        for _ in range(2_000):
            shares.record_request("plain", 0.02)
        saved = 0
        while shares.has_hedge("plain"):
            shares.spend("plain")
            saved += 1
        self.assertEqual(saved, MAX_SAVED_HEDGES)

    def test_a_share_is_a_number_from_0_to_0_2(self) -> None:
        """Guards against hedging that an unreadable setting turns on."""
        for value, share in (
            ("0.02", 0.02),
            (0.2, 0.2),
            (0, 0.0),
            ("0.21", None),
            (-0.01, None),
            ("nan", None),
            ("", None),
            (True, None),
            ([], None),
            (10**400, None),
        ):
            with self.subTest(value=str(value)[:20]):
                self.assertEqual(parse_hedge_share(value), share)

    def test_second_attempts_leave_half_of_the_retry_budget(self) -> None:
        """Guards against failed requests that get no retry because of others."""
        budget = SharedRetryBudget(0.2, 56.0)
        spent = 0
        while budget.has_retry_to_spare("plain"):
            budget.spend("plain")
            spent += 1
        # Half of what this VM uses of the budget, 0.6 x 56, is left.
        self.assertEqual(spent, 16)
        self.assertTrue(budget.has_retry("plain"))
        budget.set_members(88)
        self.assertTrue(budget.has_retry_to_spare("other"))
        budget.spend("other")
        self.assertFalse(budget.has_retry_to_spare("other"))
