"""Enforces each customer's rate and burst over all VMs.

The leader VM allocates parts of a token bucket to the members in advance, so that a
member admits most requests without a round trip. Allocated tokens count as spent, so
the total over all VMs never exceeds the limit, whatever messages or VMs are lost,
restarted or partitioned. A new leader starts with a small part of the bucket and
fills it only up to the burst less the balances that members report.

While no leader allocates, each VM may spend a small reserve by itself, so that a
customer far below its limit is not refused. All reserves together are less than
operators tolerate above the limit.
"""

from collections import deque
from collections.abc import Mapping
from typing import Final, NamedTuple, final

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
MIN_WAIT_S: Final = 0.05
MAX_WAIT_S: Final = 3.0


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

    def __init__(self, now_s: float) -> None:
        self._started_s = now_s
        self._suspended_until_s = float("-inf")
        self._buckets: dict[str, _Bucket] = {}
        self._reports: dict[str, dict[str, UsageReport]] = {}

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
        reports = self._reports.setdefault(customer.name, {})
        reports[member] = report
        outstanding = sum(item.balance for item in reports.values())
        bucket = self._refill(customer, outstanding, now_s)
        bucket.level += report.returned
        demand = sum(item.demand_per_s for item in reports.values())
        wanted = self._wanted_tokens(customer, report, demand)
        reserve = 0.0 if report.missing > 0 else RESERVE_SHARE * customer.burst
        allocated = min(wanted, bucket.level - reserve)
        if allocated <= 0:
            return 0.0
        bucket.level -= allocated
        reports[member] = report._replace(balance=report.balance + allocated)
        return allocated

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


@final
class _Balance:
    __slots__ = ("amount", "demand_per_s", "missing", "requested", "window_start_s")

    def __init__(self, now_s: float) -> None:
        self.amount = 0.0
        self.demand_per_s = 0.0
        self.requested = 0.0
        self.missing = 0.0
        self.window_start_s = now_s


class _SpentSlot(NamedTuple):
    started_s: float
    cost: float


@final
class CustomerBalances:
    """The balances from which one VM admits requests, by customer."""

    def __init__(self) -> None:
        self._balances: dict[str, _Balance] = {}
        self._reserve_spent: dict[str, deque[_SpentSlot]] = {}

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
        return 0.0 if balance is None else balance.amount

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
            returned = max(0.0, balance.amount - needed)
            balance.amount -= returned
            reports[name] = UsageReport(
                balance.amount, balance.demand_per_s, balance.missing, returned
            )
        return reports

    def report_of(self, customer: str, now_s: float) -> UsageReport:
        """Return the report on one customer, for a request between two reports."""
        balance = self._balance(customer, now_s)
        return UsageReport(balance.amount, balance.demand_per_s, balance.missing)

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


def retry_delay_s(customer: CustomerSpec, cost: float) -> float:
    """Return the delay after which a refused request should be retried."""
    if customer.rate_per_s <= 0:
        return MIN_WAIT_S
    return min(MAX_WAIT_S, max(MIN_WAIT_S, 2.0 * cost / customer.rate_per_s))
