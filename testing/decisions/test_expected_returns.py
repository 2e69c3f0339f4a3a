"""Tests of what refused callers of a customer far above its rate are told."""

import math
import unittest
from collections import Counter
from itertools import product
from typing import Final

from _pistachiopond.decisions.expected_returns import (
    EARLY_RETURN_S,
    MAX_EXPECTED,
    MAX_WAIT_S,
    RETURN_GRACE_S,
    RETURN_MARGIN_S,
    Bucket,
    ReturnSchedule,
    WaitingReply,
    WaitingRequest,
)
from _pistachiopond.decisions.shared_limits import (
    CustomerBalances,
    UsageAllocator,
    UsageReport,
)
from testing.decisions.limit_callers import (
    GREEDY,
    MODERATE,
    OVERLOAD,
    CallerRun,
    Outcome,
)

SEEDS: Final = range(1, 7)
WINDOW_S: Final = 8.0
RATE: Final = 100.0
EMPTY: Final = Bucket(0.0, RATE, 1000.0, float("-inf"))


def request(number: int, cost: float, most_s: float = 2.0) -> WaitingRequest:
    return WaitingRequest(number, f"digest-{number}", cost, cost, most_s)


class OverloadTests(unittest.TestCase):
    """A customer at six times its rate for 6 s, another within its rate beside it."""

    def sum_of(self, *, expects: bool) -> tuple[Outcome, Outcome]:
        """Return the outcomes of both customers over all seeds."""
        greedy, moderate = [], []
        for seed in SEEDS:
            run = CallerRun(seed, expects=expects)
            run.run()
            for customer in (GREEDY, MODERATE):
                bound = customer.rate_per_s * WINDOW_S + customer.burst
                self.assertLessEqual(run.most_in_window(customer, WINDOW_S), bound)
            greedy.append(run.outcome(GREEDY, *OVERLOAD))
            moderate.append(run.outcome(MODERATE, *OVERLOAD))
        return (
            Outcome(*(sum(parts) for parts in zip(*greedy, strict=True))),
            Outcome(*(sum(parts) for parts in zip(*moderate, strict=True))),
        )

    def test_returns_are_not_refused_again_as_often_within_the_limit(self) -> None:
        before, _ = self.sum_of(expects=False)
        after, moderate = self.sum_of(expects=True)
        share_before = before.served() / before.asked
        share_after = after.served() / after.asked
        # Measured: 0.23 and 0.40.
        self.assertGreater(share_after, 1.3 * share_before)
        again_before = before.refused_twice / before.asked
        again_after = after.refused_twice / after.asked
        self.assertLess(again_after, 0.9 * again_before)
        self.assertEqual(moderate.refused_twice, 0)

    def test_callers_that_come_after_the_overload_are_served(self) -> None:
        end_s = OVERLOAD[1]
        found = {expects: Counter[str]() for expects in (False, True)}
        for expects, seed in product(found, SEEDS):
            run = CallerRun(seed, expects=expects)
            run.run()
            later = run.outcome(GREEDY, end_s, end_s + 5.0)
            found[expects].update(later._asdict())
        self.assertLess(found[True]["refused_twice"], found[False]["refused_twice"] / 2)

    def test_lasting_demand_is_served_in_time_as_often_as_without(self) -> None:
        # Tokens kept for returns, which are late, refused requests that could have been
        # served in time: 74 of 2,410 were, 533 without the rule.
        start_s, end_s = OVERLOAD[0], OVERLOAD[0] + 20.0
        found = {False: 0, True: 0}
        for expects, seed in product(found, SEEDS):
            run = CallerRun(seed, expects=expects)
            run.run(4.0, end_s)
            found[expects] += run.outcome(GREEDY, start_s, end_s).in_time
            bound = GREEDY.rate_per_s * WINDOW_S + GREEDY.burst
            self.assertLessEqual(run.most_in_window(GREEDY, WINDOW_S), bound)
        self.assertGreaterEqual(found[True], found[False])

    def test_most_of_the_rate_is_used(self) -> None:
        for seed in SEEDS:
            run = CallerRun(seed, expects=True)
            run.run()
            start_s, end_s = OVERLOAD
            spent = sum(
                cost
                for name, at_s, cost in run.spent
                if name == GREEDY.name and start_s <= at_s < end_s
            )
            self.assertGreater(spent, 0.85 * GREEDY.rate_per_s * (end_s - start_s))


class ReturnScheduleTests(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = ReturnSchedule(Counter())

    def ask(
        self, member: str, asked: WaitingRequest, level: float, now_s: float
    ) -> WaitingReply:
        bucket = EMPTY._replace(level=level)
        return self.schedule.serve(member, [asked], bucket, now_s)

    def test_each_refused_request_is_told_a_time_behind_those_before(self) -> None:
        waits_s = [
            self.ask("a", request(n, 50.0), 0.0, 0.0).waits_s[n] for n in range(3)
        ]
        for number, wait_s in enumerate(waits_s):
            expected_s = 0.5 * (number + 1) + RETURN_MARGIN_S
            self.assertAlmostEqual(wait_s, expected_s)

    def test_a_return_at_another_vm_comes_before_new_requests(self) -> None:
        wait_s = self.ask("a", request(1, 50.0), 0.0, 0.0).waits_s[1]
        back = request(9, 50.0)._replace(digest="digest-1")
        asked = [request(7, 40.0), back]
        bucket = EMPTY._replace(level=54.0)
        reply = self.schedule.serve("b", asked, bucket, wait_s)
        self.assertEqual(reply.granted, {9: 50.0})
        self.assertEqual(list(reply.waits_s), [7])

    def test_a_return_comes_first_until_it_is_served(self) -> None:
        wait_s = self.ask("a", request(1, 50.0), 0.0, 0.0).waits_s[1]
        back = request(9, 50.0)._replace(digest="digest-1")
        self.assertEqual(self.ask("b", back, 20.0, wait_s), ({}, {}))
        bucket = EMPTY._replace(level=54.0)
        asked = [request(7, 40.0), back]
        reply = self.schedule.serve("b", asked, bucket, wait_s + 0.02)
        self.assertEqual(reply.granted, {9: 50.0})

    def test_new_requests_get_the_tokens_that_are_there(self) -> None:
        # Returns that are not there yet would be late, so nothing is kept for them.
        wait_s = self.ask("a", request(1, 50.0), 0.0, 0.0).waits_s[1]
        self.assertEqual(self.ask("b", request(2, 40.0), 40.0, 0.4).granted, {2: 40.0})
        reply = self.ask("b", request(3, 54.0), 54.0, wait_s)
        self.assertEqual(reply.granted, {3: 54.0})

    def test_a_request_that_is_served_while_it_waits_does_not_return(self) -> None:
        self.ask("a", request(1, 50.0), 0.0, 0.0)
        self.assertEqual(self.ask("a", request(1, 50.0), 50.0, 0.1).granted, {1: 50.0})
        self.assertFalse(self.schedule.expects_returns())

    def test_a_caller_that_is_refused_twice_is_not_expected_again(self) -> None:
        wait_s = self.ask("a", request(1, 50.0), 0.0, 0.0).waits_s[1]
        back = request(9, 50.0)._replace(digest="digest-1")
        self.ask("b", back, 0.0, wait_s)
        self.assertFalse(self.schedule.expects_returns())

    def test_a_request_like_a_refused_one_is_no_early_return(self) -> None:
        self.ask("a", request(1, 50.0), 0.0, 0.0)
        like = request(2, 50.0)._replace(digest="digest-1")
        first_s = 0.5 + RETURN_MARGIN_S
        reply = self.ask("b", like, 10.0, first_s - 2 * EARLY_RETURN_S)
        self.assertGreater(reply.waits_s[2], 0.5)

    def test_a_caller_that_stays_away_is_expected_for_some_time(self) -> None:
        wait_s = self.ask("a", request(1, 50.0), 0.0, 0.0).waits_s[1]
        late_s = wait_s + RETURN_GRACE_S
        behind_s = self.schedule.expected_wait_s(EMPTY, 50.0, late_s)
        self.assertAlmostEqual(behind_s, 1.0 + RETURN_MARGIN_S)
        self.schedule.forget_old(late_s + 0.01)
        alone_s = self.schedule.expected_wait_s(EMPTY, 50.0, late_s + 0.01)
        self.assertAlmostEqual(alone_s, 0.5 + RETURN_MARGIN_S)

    def test_what_has_no_room_in_time_is_told_no_earlier_time(self) -> None:
        reply = self.ask("a", request(1, 150.0, most_s=0.4), 0.0, 0.0)
        self.assertGreaterEqual(reply.waits_s[1], 1.5)
        # Others are not told to wait behind it.
        after_s = self.schedule.expected_wait_s(EMPTY, 50.0, 0.0)
        self.assertAlmostEqual(after_s, 0.5 + RETURN_MARGIN_S)
        huge = self.ask("a", request(2, 1001.0), 0.0, 0.0)
        self.assertEqual(huge.waits_s, {2: MAX_WAIT_S})

    def test_a_request_that_asks_twice_is_granted_and_expected_once(self) -> None:
        self.assertEqual(self.ask("a", request(1, 50.0), 50.0, 0.0).granted, {1: 50.0})
        self.assertEqual(self.ask("a", request(1, 50.0), 50.0, 0.02), ({}, {}))
        first_s = self.ask("a", request(2, 50.0), 0.0, 0.02).waits_s[2]
        again_s = self.ask("a", request(2, 50.0), 0.0, 0.04).waits_s[2]
        self.assertAlmostEqual(first_s - again_s, 0.02)

    def test_a_time_told_during_a_change_of_leader_counts_from_its_end(self) -> None:
        bucket = EMPTY._replace(refills_from_s=1.1)
        reply = self.schedule.serve("a", [request(1, 50.0)], bucket, 0.0)
        self.assertAlmostEqual(reply.waits_s[1], 1.1 + 0.5 + RETURN_MARGIN_S)

    def test_values_that_make_no_sense_get_nothing(self) -> None:
        for cost in (math.nan, math.inf, -5.0):
            self.assertEqual(self.ask("a", request(1, cost), 900.0, 0.0), ({}, {}))
        reply = self.ask("a", request(2, 50.0, most_s=math.nan), 0.0, 0.0)
        self.assertEqual(list(reply.waits_s), [2])
        after_s = self.schedule.expected_wait_s(EMPTY, 50.0, 0.0)
        self.assertAlmostEqual(after_s, 0.5 + RETURN_MARGIN_S)

    def test_the_expected_returns_of_tiny_requests_are_bounded(self) -> None:
        asked = [request(n, 0.01) for n in range(MAX_EXPECTED + 100)]
        self.schedule.serve("a", asked, EMPTY, 0.0)
        self.assertEqual(len(self.schedule._expected), MAX_EXPECTED)


class BalanceTests(unittest.TestCase):
    """The tokens of a VM's balance while its requests wait for more."""

    def setUp(self) -> None:
        self.balances = CustomerBalances()
        self.balances.add(GREEDY.name, 100.0, 0.0)

    def test_a_waiting_request_keeps_what_the_vm_has_for_it(self) -> None:
        number = self.balances.begin_wait(GREEDY.name, "d", 150.0, 3.0, 0.0)
        self.assertFalse(self.balances.try_spend(GREEDY, 50.0, 0.0))
        self.assertEqual(self.balances.waiting(GREEDY.name, 0.0)[0].lacking, 50.0)
        self.balances.add_grants(GREEDY.name, {number: 50.0}, {}, 0.0)
        self.assertTrue(self.balances.try_spend_waiting(GREEDY.name, number))
        self.balances.end_wait(GREEDY.name, number)
        self.assertEqual(self.balances.balance(GREEDY.name), 0.0)

    def test_nothing_is_lost_by_a_request_that_gives_up(self) -> None:
        number = self.balances.begin_wait(GREEDY.name, "d", 150.0, 3.0, 0.0)
        self.assertEqual(self.balances.report_of(GREEDY.name, 0.0).balance, 100.0)
        self.balances.end_wait(GREEDY.name, number)
        self.balances.add_grants(GREEDY.name, {number: 50.0}, {}, 0.0)
        self.assertEqual(self.balances.balance(GREEDY.name), 150.0)

    def test_tokens_without_a_list_of_grants_serve_the_waiting_requests(self) -> None:
        # An older leader allocates for all waiting requests together.
        number = self.balances.begin_wait(GREEDY.name, "d", 150.0, 3.0, 0.0)
        self.assertFalse(self.balances.try_spend_waiting(GREEDY.name, number))
        self.balances.add(GREEDY.name, 60.0, 0.1)
        self.assertTrue(self.balances.try_spend_waiting(GREEDY.name, number))
        self.balances.end_wait(GREEDY.name, number)
        self.assertEqual(self.balances.balance(GREEDY.name), 10.0)


class AllocatorTests(unittest.TestCase):
    def setUp(self) -> None:
        self.allocator = UsageAllocator(0.0)
        short = [request(1, 800.0, most_s=3.0)]
        idle = UsageReport(0.0, 0.0, 0.0)
        reply = self.allocator.serve_waiting("a", GREEDY, idle, short, 0.0)
        self.assertIn(1, reply.waits_s)

    def test_nothing_is_allocated_in_advance_while_returns_are_expected(self) -> None:
        demand = UsageReport(0.0, 1000.0, 0.0)
        self.assertEqual(self.allocator.allocate("b", GREEDY, demand, 0.4), 0.0)
        waits_s = self.allocator.expected_waits_s({GREEDY.name: GREEDY}, 0.4)
        self.assertGreater(waits_s[GREEDY.name], 0.2)

    def test_requests_of_an_older_member_get_the_tokens_that_are_there(self) -> None:
        missing = UsageReport(0.0, 1000.0, 500.0)
        self.assertEqual(self.allocator.allocate("b", GREEDY, missing, 0.4), 500.0)


if __name__ == "__main__":
    unittest.main()
