"""Tests of rate limits that all VMs share."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.decisions.shared_limits import (
    INITIAL_SHARE,
    RESERVE_LIMIT_SHARE,
    RESERVE_WINDOW_S,
    CustomerBalances,
    UsageAllocator,
    UsageReport,
)
from _pistachiopond.schema.deployment import CustomerSpec

CUSTOMER = CustomerSpec("office", None, True, 10.0, 1000.0, 2000.0)
PERIOD_S = 0.2


class SimulatedVms:
    """Several VMs and the leader, on a simulated clock."""

    def __init__(self, count: int) -> None:
        self.balances_of = {f"vm-{n}": CustomerBalances() for n in range(count)}
        self.allocator = UsageAllocator(0.0)
        self.now_s = 0.0
        self.spent: list[tuple[float, float]] = []

    def admit(self, name: str, cost: float) -> bool:
        """Let one VM admit or refuse a request; return whether it admits it."""
        balances = self.balances_of[name]
        balances.record_demand(CUSTOMER.name, cost, self.now_s)
        if not balances.try_spend(CUSTOMER, cost, self.now_s):
            balances.add_shortfall(CUSTOMER.name, cost, self.now_s)
            self.report(name)
            balances.remove_shortfall(CUSTOMER.name, cost)
            if not balances.try_spend(CUSTOMER, cost, self.now_s):
                return False
        self.spent.append((self.now_s, cost))
        return True

    def report(self, name: str) -> None:
        """Report one VM's usage to the leader and add the tokens that it allocates."""
        balances = self.balances_of[name]
        for customer, report in balances.reports(self.now_s).items():
            allocated = self.allocator.allocate(name, CUSTOMER, report, self.now_s)
            balances.add(customer, allocated, self.now_s)

    def report_all(self) -> None:
        """Report the usage of all VMs."""
        for name in self.balances_of:
            self.report(name)

    def max_in_window(self, window_s: float) -> float:
        """Return the maximum spent in any window of that length."""
        most = 0.0
        for start_s, _ in self.spent:
            inside = [c for t, c in self.spent if start_s <= t < start_s + window_s]
            most = max(most, sum(inside))
        return most


class SharedLimitTests(unittest.TestCase):
    def simulate(
        self, seed: int, *, demand_per_s: float, seconds: float
    ) -> SimulatedVms:
        rng = random.Random(seed)
        members = SimulatedVms(8)
        names = list(members.balances_of)
        next_report_s = 0.0
        while members.now_s < seconds:
            members.now_s += rng.expovariate(demand_per_s / 200.0)
            while members.now_s >= next_report_s:
                members.report_all()
                next_report_s += PERIOD_S
            members.admit(rng.choice(names), rng.uniform(50.0, 350.0))
        return members

    @settings(derandomize=True, deadline=None, max_examples=10)
    @given(st.integers(0, 1_000))
    def test_no_window_exceeds_rate_and_burst(self, seed: int) -> None:
        members = self.simulate(seed, demand_per_s=4000.0, seconds=12.0)
        bound = CUSTOMER.rate_per_s * 8.0 + CUSTOMER.burst
        self.assertLessEqual(members.max_in_window(8.0), bound)

    def test_a_customer_above_its_rate_gets_at_least_most_of_it(self) -> None:
        members = self.simulate(1, demand_per_s=4000.0, seconds=12.0)
        spent = sum(cost for _, cost in members.spent)
        self.assertGreater(spent, 0.9 * CUSTOMER.rate_per_s * 12.0)

    def test_a_customer_within_its_rate_is_not_refused(self) -> None:
        rng = random.Random(3)
        members = SimulatedVms(8)
        members.now_s = 2.0
        members.report_all()
        refused = 0
        for step in range(200):
            members.now_s = 2.0 + step * 0.4
            members.report_all()
            refused += not members.admit(rng.choice(list(members.balances_of)), 200.0)
        self.assertEqual(refused, 0)

    def test_a_small_burst_is_not_fragmented_over_many_vms(self) -> None:
        members = SimulatedVms(40)
        members.now_s = 5.0
        admitted = 0
        for step in range(60):
            members.now_s = 5.0 + step * 0.6
            members.report_all()
            name = f"vm-{step % 40}"
            admitted += members.admit(name, 550.0)
        self.assertGreaterEqual(admitted, 55)

    def test_tokens_of_a_lost_member_are_not_allocated_again(self) -> None:
        allocator = UsageAllocator(0.0)
        first = allocator.allocate("a", CUSTOMER, UsageReport(0.0, 1000.0, 600.0), 0.0)
        allocator.forget_member("a")
        second = allocator.allocate("b", CUSTOMER, UsageReport(0.0, 1000.0, 600.0), 0.0)
        self.assertLessEqual(first + second, INITIAL_SHARE * CUSTOMER.burst)

    def test_reserves_together_stay_within_a_small_share_in_any_window(self) -> None:
        window = CUSTOMER.rate_per_s * RESERVE_WINDOW_S + CUSTOMER.burst
        for count in (2, 6, 79, 195):
            balances = CustomerBalances()
            spent: list[tuple[float, float]] = []
            for step in range(3000):
                now_s = step * 0.01
                # Nothing at first, so that an unused reserve could accumulate.
                if step > 1100 and balances.try_spend_reserve(
                    CUSTOMER, 0.5, count, now_s
                ):
                    spent.append((now_s, 0.5 * count))
            for start_s, _ in spent:
                end_s = start_s + RESERVE_WINDOW_S
                inside = sum(cost for at_s, cost in spent if start_s <= at_s < end_s)
                self.assertLessEqual(inside, RESERVE_LIMIT_SHARE * window)
            self.assertGreater(len(spent), 0)

    def test_a_vm_that_does_not_know_the_number_of_vms_has_no_reserve(self) -> None:
        balances = CustomerBalances()
        self.assertFalse(balances.try_spend_reserve(CUSTOMER, 1.0, 0, 0.0))

    def test_a_reserve_is_neither_reported_nor_returned(self) -> None:
        balances = CustomerBalances()
        balances.record_demand(CUSTOMER.name, 1.0, 0.0)
        self.assertEqual(balances.reports(1.0)[CUSTOMER.name].returned, 0.0)
        self.assertTrue(balances.try_spend_reserve(CUSTOMER, 1.0, 8, 1.0))

    def test_a_suspended_bucket_goes_on_with_a_successors_share(self) -> None:
        allocator = UsageAllocator(0.0)
        idle = UsageReport(0.0, 0.0, 0.0)
        allocator.allocate("a", CUSTOMER, idle, 2.0)
        for step in range(30):
            allocator.suspend("a", CUSTOMER, idle, 2.0 + step * 0.1)
        short = UsageReport(0.0, 0.0, 10_000.0)
        still = CUSTOMER._replace(rate_per_s=0.0)
        amount = allocator.allocate("a", still, short, 5.0)
        self.assertEqual(amount, INITIAL_SHARE * CUSTOMER.burst)

    def test_no_bucket_fills_during_a_suspension(self) -> None:
        allocator = UsageAllocator(0.0)
        other = CUSTOMER._replace(name="other")
        short = UsageReport(0.0, 0.0, 10_000.0)
        for customer in (CUSTOMER, other):
            allocator.allocate("a", customer, short, 0.0)
        # Only one of the customers is in the reports.
        allocator.suspend("a", CUSTOMER, short, 10.0)
        for customer in (CUSTOMER, other):
            self.assertEqual(allocator.allocate("a", customer, short, 10.0), 0.0)

    def test_balances_follow_lowered_limits(self) -> None:
        balances = CustomerBalances()
        balances.add(CUSTOMER.name, 2000.0, 0.0)
        balances.cap({CUSTOMER.name: CUSTOMER._replace(burst=100.0)})
        self.assertEqual(balances.balance(CUSTOMER.name), 100.0)


if __name__ == "__main__":
    unittest.main()
