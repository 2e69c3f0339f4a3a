"""Enforces each customer's rate and burst over all VMs.

The leader VM allocates parts of a token bucket to the members in advance, so that a
member admits most requests without a round trip. Allocated tokens count as spent, so
the total over all VMs never exceeds the limit, whatever messages or VMs are lost,
restarted or partitioned. A new leader starts with a small part of the bucket and
fills it only up to the burst less the balances that members report.

What a customer's callers ask for beyond its rate is refused with the time at which
there is room for it again (`expected_returns`), since the sum of their demand, not the
cost of one request, decides when that is.

While no leader allocates, each VM may spend a small reserve by itself, so that a
customer far below its limit is not refused. All reserves together are less than
operators tolerate above the limit.
"""

import random
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.expected_returns import (
    MAX_WAIT_S,
    MIN_WAIT_S,
    Bucket,
    ReturnSchedule,
    WaitingReply,
    WaitingRequest,
)
from _pistachiopond.schema.deployment import CustomerSpec

# Part of the bucket reserved for members that run short between two reports.
RESERVE_SHARE: Final = 0.25
# Part of the bucket that a new leader starts with. Together with what members without
# a leader may spend, it is less than operators tolerate above the limit in a window.
INITIAL_SHARE: Final = 0.2
# Time constant of the moving average of a member's demand.
DEMAND_SMOOTHING_S: Final = 1.0
# How long a member's balance should last: several report periods, so that most requests
# are admitted locally. A longer time would split the bucket into balances that are too
# small for a request.
BALANCE_HORIZON_S: Final = 0.5
KEPT_HORIZONS: Final = 2.0
# While no leader allocates, all members together may spend this share of the limit in
# any window of that length; it is less than operators tolerate above the limit.
RESERVE_LIMIT_SHARE: Final = 0.04
RESERVE_WINDOW_S: Final = 10.0
# Spending from a reserve is summed over slots of this length.
RESERVE_SLOT_S: Final = 0.5
# Callers honour a Retry-After up to this share of the time that they have left.
CALLER_RETRY_SHARE: Final = 1.0 / 3.0
# Time for a refusal to reach its caller, which counts what it has left from then.
ANSWER_TRANSIT_S: Final = 0.03


class UsageReport(NamedTuple):
    """A member's report on one customer.

    Attributes
    ----------
    balance : float
        The tokens that the member may still spend.
    demand_per_s : float
        The recent rate of tokens requested, whether or not they were admitted.
    missing : float
        The tokens that requests are now waiting for.
    returned : float
        The tokens that the member returns with this report.
    """

    balance: float
    demand_per_s: float
    missing: float
    returned: float = 0.0


class _Bucket:
    __slots__ = ("level", "updated_s")

    def __init__(self, now_s: float, level: float) -> None:
        self.level = level
        self.updated_s = now_s


@final
class UsageAllocator:
    """The leader's token buckets, from which it allocates tokens to members."""

    def __init__(self, now_s: float, counts: Counter[str] | None = None) -> None:
        """Start with a small part of each bucket.

        Parameters
        ----------
        now_s : float
            The time in seconds.
        counts : Counter of str or None
            Counts expected returns, as in `ReturnSchedule`.
        """
        self._counts: Counter[str] = Counter() if counts is None else counts
        self._started_s = now_s
        self._suspended_until_s = float("-inf")
        self._buckets: dict[str, _Bucket] = {}
        self._reports: dict[str, dict[str, UsageReport]] = {}
        self._schedules: dict[str, ReturnSchedule] = {}

    def forget_member(self, member: str) -> None:
        """Remove a member; its balance may still be spent, so it is not reallocated."""
        for reports in self._reports.values():
            reports.pop(member, None)

    def allocate(
        self,
        member: str,
        customer: CustomerSpec,
        report: UsageReport,
        now_s: float,
    ) -> float:
        """Allocate tokens; return what the member may add to its balance.

        Parameters
        ----------
        member : str
            The member that requests tokens.
        customer : CustomerSpec
            The customer and its limits.
        report : UsageReport
            The member's balance and demand.
        now_s : float
            The time in seconds.
        """
        bucket = self._take_report(member, customer, report, now_s)
        reports = self._reports[customer.name]
        demand = sum(item.demand_per_s for item in reports.values())
        wanted = self._wanted_tokens(customer, report, demand)
        schedule = self._schedules.get(customer.name)
        if schedule is not None and schedule.expects_returns():
            # Parts of a short bucket, each too small for a request, would serve nobody.
            wanted = max(report.missing - report.balance, 0.0)
        reserve = 0.0 if report.missing > 0 else RESERVE_SHARE * customer.burst
        allocated = min(wanted, bucket.level - reserve)
        if allocated <= 0:
            return 0.0
        bucket.level -= allocated
        reports[member] = report._replace(balance=report.balance + allocated)
        return allocated

    def serve_waiting(
        self,
        member: str,
        customer: CustomerSpec,
        report: UsageReport,
        waiting: Sequence[WaitingRequest],
        now_s: float,
        refills_from_s: float = float("-inf"),
    ) -> WaitingReply:
        """Grant tokens to a member's waiting requests or say when they should return.

        Parameters
        ----------
        member : str
            The member whose requests these are.
        customer : CustomerSpec
            The customer and its limits.
        report : UsageReport
            The member's balance and demand.
        waiting : sequence of WaitingRequest
            Its requests that have no tokens, in the order of their arrival.
        now_s : float
            The time in seconds.
        refills_from_s : float
            When the bucket begins to fill, if that is in the future.
        """
        filling = customer
        if refills_from_s > now_s:
            filling = customer._replace(rate_per_s=0.0)
        bucket = self._take_report(member, filling, report, now_s)
        schedule = self._schedules.get(customer.name)
        if schedule is None:
            schedule = self._schedules[customer.name] = ReturnSchedule(self._counts)
        seen = _as_seen(bucket, customer, refills_from_s)
        reply = schedule.serve(member, waiting, seen, now_s)
        spent = sum(reply.granted.values())
        bucket.level -= spent
        reports = self._reports[customer.name]
        reports[member] = report._replace(balance=report.balance + spent)
        return reply

    def expected_waits_s(
        self, customers: Mapping[str, CustomerSpec], now_s: float
    ) -> dict[str, float]:
        """Return how long each customer's next refused request should stay away.

        Only customers with expected returns are listed; for the others the cost of the
        request decides.
        """
        waits_s = {}
        for name, schedule in list(self._schedules.items()):
            schedule.forget_old(now_s)
            customer = customers.get(name)
            if schedule.is_idle():
                del self._schedules[name]
            if customer is None or not schedule.expects_returns():
                continue
            if customer.rate_per_s <= 0:
                continue
            seen = _as_seen(self._buckets[name], customer, now_s)
            waits_s[name] = schedule.expected_wait_s(seen, 0.0, now_s)
        return waits_s

    def _take_report(
        self, member: str, customer: CustomerSpec, report: UsageReport, now_s: float
    ) -> _Bucket:
        """Process a member's report; return the customer's bucket as it is now."""
        reports = self._reports.setdefault(customer.name, {})
        reports[member] = report
        outstanding = sum(item.balance for item in reports.values())
        bucket = self._refill(customer, outstanding, now_s)
        bucket.level += report.returned
        return bucket

    def suspend(
        self, member: str, customer: CustomerSpec, report: UsageReport, now_s: float
    ) -> None:
        """Process a report without allocating, since another VM may lead.

        No bucket fills until then. A bucket that is used again has at most what a new
        leader starts with, since the other one may have allocated the rest.
        """
        self._suspended_until_s = max(self._suspended_until_s, now_s)
        self._reports.setdefault(customer.name, {})[member] = report
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            bucket.level += report.returned

    def _refill(
        self, customer: CustomerSpec, outstanding: float, now_s: float
    ) -> _Bucket:
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = _Bucket(self._started_s, INITIAL_SHARE * customer.burst)
            self._buckets[customer.name] = bucket
        if bucket.updated_s < self._suspended_until_s:
            bucket.level = min(bucket.level, INITIAL_SHARE * customer.burst)
            bucket.updated_s = self._suspended_until_s
        refilled = bucket.level + customer.rate_per_s * max(
            0.0, now_s - bucket.updated_s
        )
        room = max(0.0, customer.burst - outstanding)
        bucket.level = min(refilled, room)
        bucket.updated_s = now_s
        return bucket

    def _wanted_tokens(
        self, customer: CustomerSpec, report: UsageReport, demand: float
    ) -> float:
        share = report.demand_per_s / demand if demand > 0 else 0.0
        free = customer.burst * (1.0 - RESERVE_SHARE)
        expected_use = min(report.demand_per_s * BALANCE_HORIZON_S, share * free)
        return max(expected_use + report.missing - report.balance, 0.0)


def _as_seen(bucket: _Bucket, customer: CustomerSpec, refills_from_s: float) -> Bucket:
    return Bucket(bucket.level, customer.rate_per_s, customer.burst, refills_from_s)


@final
class _Balance:
    __slots__ = (
        "amount",
        "demand_per_s",
        "expected_return_s",
        "missing",
        "requested",
        "waiting",
        "window_start_s",
    )

    def __init__(self, now_s: float) -> None:
        self.expected_return_s = float("-inf")
        self.waiting: dict[int, _Wait] = {}
        self.amount = 0.0
        self.demand_per_s = 0.0
        self.requested = 0.0
        self.missing = 0.0
        self.window_start_s = now_s


class _Wait(NamedTuple):
    """A request that lacks tokens, and what the leader has said of it.

    `held` are the tokens of the balance that it would use, which no other request gets
    meanwhile.
    """

    digest: str
    cost: float
    held: float
    end_s: float
    return_s: float | None = None
    is_granted: bool = False


class _SpentSlot(NamedTuple):
    started_s: float
    cost: float


@final
class CustomerBalances:
    """The balances from which one VM admits requests, by customer."""

    def __init__(self) -> None:
        self._balances: dict[str, _Balance] = {}
        self._reserve_spent: dict[str, deque[_SpentSlot]] = {}
        # The leader may still know the numbers of an earlier run of this VM.
        self._number = random.getrandbits(31)

    def try_spend(self, customer: CustomerSpec, cost: float, now_s: float) -> bool:
        """Deduct the cost of a request; return whether the balance sufficed."""
        if customer.rate_per_s <= 0:
            return True
        balance = self._balance(customer.name, now_s)
        if balance.amount >= cost:
            balance.amount -= cost
            return True
        return False

    def record_demand(self, customer: str, cost: float, now_s: float) -> None:
        """Add the cost of a request to the demand, once for each request."""
        self._balance(customer, now_s).requested += cost

    def add_shortfall(self, customer: str, cost: float, now_s: float) -> None:
        """Record that a request waits for tokens."""
        self._balance(customer, now_s).missing += cost

    def remove_shortfall(self, customer: str, cost: float) -> None:
        """Record that a request no longer waits for tokens."""
        balance = self._balances.get(customer)
        if balance is not None:
            balance.missing = max(0.0, balance.missing - cost)

    def begin_wait(
        self, customer: str, digest: str, cost: float, end_s: float, now_s: float
    ) -> int:
        """Record that a request waits for tokens; return its number.

        Parameters
        ----------
        customer : str
            Whose request it is.
        digest : str
            The same for a refused request and its return.
        cost : float
            The tokens that it needs.
        end_s : float
            Its deadline.
        now_s : float
            The time in seconds.
        """
        self._number += 1
        balance = self._balance(customer, now_s)
        balance.missing += cost
        held = min(balance.amount, cost)
        balance.amount -= held
        balance.waiting[self._number] = _Wait(digest, cost, held, end_s)
        return self._number

    def end_wait(self, customer: str, number: int) -> None:
        """Record that a request no longer waits; keep the tokens that it holds."""
        balance = self._balances.get(customer)
        wait = None if balance is None else balance.waiting.pop(number, None)
        if balance is not None and wait is not None:
            balance.missing = max(0.0, balance.missing - wait.cost)
            balance.amount += wait.cost if wait.is_granted else wait.held

    def waiting(self, customer: str, now_s: float) -> list[WaitingRequest]:
        """Return the requests that wait for tokens, for the leader."""
        balance = self._balances.get(customer)
        return [
            WaitingRequest(
                number,
                wait.digest,
                wait.cost,
                wait.cost - wait.held,
                _most_s(wait.end_s, now_s),
            )
            for number, wait in (balance.waiting if balance else {}).items()
            if not wait.is_granted
        ]

    def try_spend_waiting(self, customer: str, number: int) -> bool:
        """Spend the tokens of a waiting request; return whether it has enough."""
        balance = self._balances.get(customer)
        wait = None if balance is None else balance.waiting.get(number)
        if balance is None or wait is None:
            return False
        lacking = 0.0 if wait.is_granted else wait.cost - wait.held
        if lacking > balance.amount:
            return False
        balance.amount -= lacking
        balance.waiting[number] = wait._replace(held=0.0, is_granted=False)
        return True

    def add_grants(
        self,
        customer: str,
        granted: Mapping[int, float],
        waits_s: Mapping[int, float],
        now_s: float,
    ) -> None:
        """Process the leader's reply on waiting requests, as in `WaitingReply`."""
        balance = self._balance(customer, now_s)
        for number, cost in granted.items():
            wait = balance.waiting.get(number)
            if wait is None:
                balance.amount += cost
            else:
                balance.waiting[number] = wait._replace(is_granted=True)
        for number, wait_s in waits_s.items():
            wait = balance.waiting.get(number)
            if wait is not None:
                balance.waiting[number] = wait._replace(return_s=now_s + wait_s)

    def return_s(self, customer: str, number: int) -> float | None:
        """Return when the leader expects a request's tokens; None if it said nothing.

        Parameters
        ----------
        customer : str
            Whose request it is.
        number : int
            Its number, while it waits.
        """
        balance = self._balances.get(customer)
        wait = None if balance is None else balance.waiting.get(number)
        return None if wait is None else wait.return_s

    def set_expected_waits(self, waits_s: Mapping[str, float], now_s: float) -> None:
        """Store the leader's statement of when each customer's next tokens are free."""
        for name, balance in self._balances.items():
            balance.expected_return_s = now_s + waits_s.get(name, 0.0)

    def expected_return_s(self, customer: str) -> float:
        """Return when the customer's next tokens are free, from the last statement."""
        balance = self._balances.get(customer)
        return float("-inf") if balance is None else balance.expected_return_s

    def refund(self, customer: CustomerSpec, cost: float) -> None:
        """Refund the cost of a request that did not run."""
        balance = self._balances.get(customer.name)
        if balance is not None and customer.rate_per_s > 0:
            balance.amount += cost

    def add(self, customer: str, amount: float, now_s: float) -> None:
        """Add the tokens that the leader allocated."""
        self._balance(customer, now_s).amount += amount

    def balance(self, customer: str) -> float:
        """Return the tokens that may still be spent."""
        balance = self._balances.get(customer)
        return 0.0 if balance is None else _unspent(balance)

    def cap(self, customers: Mapping[str, CustomerSpec]) -> None:
        """Lower balances to the current limits; drop those of removed customers."""
        for name, balance in list(self._balances.items()):
            spec = customers.get(name)
            if spec is None:
                del self._balances[name]
                self._reserve_spent.pop(name, None)
            else:
                balance.amount = min(balance.amount, spec.burst)

    def reports(self, now_s: float) -> dict[str, UsageReport]:
        """Return the reports for the leader, and return tokens that are not needed."""
        reports = {}
        for name, balance in self._balances.items():
            self._smooth(balance, now_s)
            needed = (
                KEPT_HORIZONS * BALANCE_HORIZON_S * balance.demand_per_s
                + balance.missing
            )
            if balance.expected_return_s > now_s:
                # The leader grants whole requests only, and fills the bucket only up to
                # what balances leave.
                needed = 0.0
            returned = max(0.0, balance.amount - needed)
            balance.amount -= returned
            reports[name] = UsageReport(
                _unspent(balance), balance.demand_per_s, balance.missing, returned
            )
        return reports

    def report_of(self, customer: str, now_s: float) -> UsageReport:
        """Return the report on one customer, for a request between two reports."""
        balance = self._balance(customer, now_s)
        return UsageReport(_unspent(balance), balance.demand_per_s, balance.missing)

    def try_spend_reserve(
        self, customer: CustomerSpec, cost: float, members: int, now_s: float
    ) -> bool:
        """Deduct a request's cost from this VM's reserve, while no leader allocates.

        Parameters
        ----------
        customer : CustomerSpec
            The customer and its limits.
        cost : float
            The tokens of the request.
        members : int
            The number of VMs, each of which has the same reserve; 0 if unknown, which
            leaves none.
        now_s : float
            The time in seconds.

        Returns
        -------
        bool
            Whether the reserve sufficed.
        """
        if members <= 0:
            return False
        spent = self._reserve_spent.setdefault(customer.name, deque())
        while spent and now_s - spent[0].started_s > RESERVE_WINDOW_S + RESERVE_SLOT_S:
            spent.popleft()
        window = customer.rate_per_s * RESERVE_WINDOW_S + customer.burst
        reserve = RESERVE_LIMIT_SHARE * window / members
        if sum(slot.cost for slot in spent) + cost > reserve:
            return False
        if spent and now_s - spent[-1].started_s < RESERVE_SLOT_S:
            last = spent.pop()
            spent.append(last._replace(cost=last.cost + cost))
        else:
            spent.append(_SpentSlot(now_s, cost))
        return True

    def _balance(self, customer: str, now_s: float) -> _Balance:
        balance = self._balances.get(customer)
        if balance is None:
            balance = _Balance(now_s)
            self._balances[customer] = balance
        return balance

    def _smooth(self, balance: _Balance, now_s: float) -> None:
        elapsed_s = now_s - balance.window_start_s
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
        observed_per_s = balance.requested / elapsed_s
        balance.demand_per_s += weight * (observed_per_s - balance.demand_per_s)
        balance.requested = 0.0
        balance.window_start_s = now_s


def _unspent(balance: _Balance) -> float:
    held = sum(
        wait.cost if wait.is_granted else wait.held for wait in balance.waiting.values()
    )
    return balance.amount + held


def _most_s(end_s: float, now_s: float) -> float:
    left_s = end_s - now_s - ANSWER_TRANSIT_S
    return min(MAX_WAIT_S, max(0.0, left_s * CALLER_RETRY_SHARE))


def retry_delay_s(customer: CustomerSpec, cost: float) -> float:
    """Return the delay after which a refused request should be retried."""
    if customer.rate_per_s <= 0:
        return MIN_WAIT_S
    return min(MAX_WAIT_S, max(MIN_WAIT_S, 2.0 * cost / customer.rate_per_s))
