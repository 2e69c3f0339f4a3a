"""Callers of customers with limits, several VMs and a leader, on a virtual clock.

``python -m testing.decisions.limit_callers`` prints what callers get with and without
expected returns.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.shared_limits import (
    CALLER_RETRY_SHARE,
    CustomerBalances,
    UsageAllocator,
    retry_delay_s,
)
from _pistachiopond.schema.deployment import CustomerSpec

GREEDY: Final = CustomerSpec("greedy", None, True, 10.0, 1000.0, 1000.0)
MODERATE: Final = CustomerSpec("moderate", None, True, 10.0, 1000.0, 1000.0)
POLLS: Final = 6
POLL_S: Final = 0.02
REPORT_PERIOD_S: Final = 0.2
DEADLINE_S: Final = 6.0
# An answer that begins later is worth a part of one in time only.
OBJECTIVE_S: Final = 1.0
MEAN_COST: Final = 200.0
# The usual demand of both customers, as a share of their rates.
LOAD: Final = 0.6
# Callers return up to this long after the time told.
LATE_S: Final = 0.15
OVERLOAD: Final = (5.0, 11.0)
# A run goes on for this long after it.
AFTER_S: Final = 9.0


class Ask(NamedTuple):
    """One request of a caller."""

    customer: CustomerSpec
    name: str
    cost: float
    deadline_s: float
    is_return: bool


class Outcome(NamedTuple):
    """What became of the requests of one customer that arrived in a time."""

    asked: int
    at_once: int
    on_return: int
    refused_twice: int
    in_time: int

    def served(self) -> int:
        """Return how many were served by their deadline."""
        return self.at_once + self.on_return


@final
class CallerRun:
    """A run with or without expected returns."""

    def __init__(self, seed: int, *, expects: bool, vms: int = 12) -> None:
        # Apart, so that the arrivals are the same with every rule.
        self._arrival_rng = random.Random(seed)
        self._rng = random.Random(seed)
        self._expects = expects
        self._vms = {f"vm-{n}": CustomerBalances() for n in range(vms)}
        self._allocator = UsageAllocator(0.0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.now_s = 0.0
        self.spent: list[tuple[str, float, float]] = []
        self.ends: list[tuple[Ask, str, float]] = []

    def run(self, excess: float = 6.0, overload_end_s: float = OVERLOAD[1]) -> None:
        """Let one customer ask for a multiple of its rate for some seconds."""
        end_s = overload_end_s + AFTER_S
        for name in self._vms:
            self._at(0.0, lambda name=name: self._report(name))
        for customer in (GREEDY, MODERATE):
            self._at(2.0, lambda customer=customer: self._arrive(customer, LOAD, end_s))
        extra = excess - LOAD
        self._at(OVERLOAD[0], lambda: self._arrive(GREEDY, extra, overload_end_s))
        while self._events and self._events[0][0] < end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def outcome(self, customer: CustomerSpec, start_s: float, end_s: float) -> Outcome:
        """Return what became of the requests that first arrived in a time."""
        found = [
            (ask.is_return, end, at_s - ask.deadline_s + DEADLINE_S <= OBJECTIVE_S)
            for ask, end, at_s in self.ends
            if ask.customer is customer
            and start_s <= ask.deadline_s - DEADLINE_S < end_s
        ]
        kinds = Counter((is_return, end) for is_return, end, _ in found)
        return Outcome(
            sum(not is_return for is_return, _, _ in found),
            kinds[False, "served"],
            kinds[True, "served"],
            kinds[True, "refused"],
            sum(end == "served" and is_in_time for _, end, is_in_time in found),
        )

    def most_in_window(self, customer: CustomerSpec, window_s: float) -> float:
        """Return the most tokens admitted in any window of that length."""
        spent = [(t, cost) for name, t, cost in self.spent if name == customer.name]
        return max(
            sum(cost for t, cost in spent if start_s <= t < start_s + window_s)
            for start_s, _ in spent
        )

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, action))

    def _arrive(self, customer: CustomerSpec, load: float, end_s: float) -> None:
        if self.now_s >= end_s:
            return
        cost = self._arrival_rng.uniform(0.25, 1.75) * MEAN_COST
        name = f"request-{self._count}"
        self._begin(Ask(customer, name, cost, self.now_s + DEADLINE_S, False))
        gap_s = self._arrival_rng.expovariate(load * customer.rate_per_s / MEAN_COST)
        self._at(self.now_s + gap_s, lambda: self._arrive(customer, load, end_s))

    def _begin(self, ask: Ask) -> None:
        vm = self._rng.choice(list(self._vms))
        balances = self._vms[vm]
        customer = ask.customer
        balances.record_demand(customer.name, ask.cost, self.now_s)
        if balances.try_spend(customer, ask.cost, self.now_s):
            self._serve(ask)
            return
        number = balances.begin_wait(
            customer.name, ask.name, ask.cost, ask.deadline_s, self.now_s
        )
        self._poll(ask, vm, number, POLLS)

    def _poll(self, ask: Ask, vm: str, number: int, polls: int) -> None:
        balances, name = self._vms[vm], ask.customer.name
        self._ask_leader(vm, ask.customer)
        has_tokens = balances.try_spend_waiting(name, number)
        if not has_tokens and polls > 0:
            at_s = self.now_s + POLL_S
            self._at(at_s, lambda: self._poll(ask, vm, number, polls - 1))
            return
        return_s = balances.return_s(name, number)
        balances.end_wait(name, number)
        if has_tokens:
            self._serve(ask)
            return
        if return_s is None:
            return_s = self.now_s + retry_delay_s(ask.customer, ask.cost)
        self._refuse(ask, return_s - self.now_s)

    def _ask_leader(self, vm: str, customer: CustomerSpec) -> None:
        balances, name = self._vms[vm], customer.name
        report = balances.report_of(name, self.now_s)
        if self._expects:
            reply = self._allocator.serve_waiting(
                vm, customer, report, balances.waiting(name, self.now_s), self.now_s
            )
            balances.add_grants(name, reply.granted, reply.waits_s, self.now_s)
            granted = sum(reply.granted.values())
            report = report._replace(missing=0.0, balance=report.balance + granted)
        amount = self._allocator.allocate(vm, customer, report, self.now_s)
        balances.add(name, amount, self.now_s)

    def _report(self, vm: str) -> None:
        balances = self._vms[vm]
        specs = {GREEDY.name: GREEDY, MODERATE.name: MODERATE}
        for name, found in balances.reports(self.now_s).items():
            report = found._replace(missing=0.0) if self._expects else found
            amount = self._allocator.allocate(vm, specs[name], report, self.now_s)
            balances.add(name, amount, self.now_s)
        if self._expects:
            waits_s = self._allocator.expected_waits_s(specs, self.now_s)
            balances.set_expected_waits(waits_s, self.now_s)
        self._at(self.now_s + REPORT_PERIOD_S, lambda: self._report(vm))

    def _serve(self, ask: Ask) -> None:
        self.spent.append((ask.customer.name, self.now_s, ask.cost))
        self.ends.append((ask, "served", self.now_s))

    def _refuse(self, ask: Ask, retry_after_s: float) -> None:
        self.ends.append((ask, "refused", self.now_s))
        if ask.is_return:
            return
        most_s = (ask.deadline_s - self.now_s) * CALLER_RETRY_SHARE
        wait_s = min(retry_after_s, most_s) + self._rng.uniform(0.0, LATE_S)
        again = ask._replace(is_return=True)
        self._at(self.now_s + wait_s, lambda: self._begin(again))


def main() -> None:
    """Print the outcomes for some seeds."""
    for expects in (False, True):
        for seed in range(1, 4):
            run = CallerRun(seed, expects=expects)
            run.run()
            for customer in (GREEDY, MODERATE):
                print(expects, seed, customer.name, end=" ")
                print(run.outcome(customer, *OVERLOAD), end=" ")
                print(run.outcome(customer, OVERLOAD[1], 14.0), end=" ")
                print(round(run.most_in_window(customer, 8.0)))


if __name__ == "__main__":
    main()
