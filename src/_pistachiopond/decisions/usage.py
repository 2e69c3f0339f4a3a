"""Keeps each customer within its rate and burst over all VMs.

The VM that leads gives out parts of a token bucket ahead of need, so that a request
is admitted without asking. What was given out counts as spent, so the sum over all
VMs never exceeds the limit, whatever is lost, restarted or cut off. A new leader
starts with a small part of the bucket and counts what members still hold.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple, final

from _pistachiopond.schema.deployment import CustomerSpec

# Part of the bucket that is kept for members that run short between two exchanges.
HELD_BACK_SHARE: Final = 0.25
# Part of the bucket that a new leader starts with. Together with what members without
# a leader may spend, it stays below the tolerance that operators allow in a window.
FIRST_SHARE: Final = 0.2
# Demand seen by a member is smoothed over about this time.
DEMAND_SMOOTHING_S: Final = 1.0
# How far ahead a member's balance should last: some reports, so that most requests
# need not ask. More would leave the bucket in pieces that are too small to use.
COVER_S: Final = 0.5
KEPT_COVERS: Final = 2.0
# A member without a leader may spend this share of the limit over all members, once
# for each isolation; below the tolerance that operators allow.
ISOLATED_SHARE: Final = 0.04
ISOLATED_PERIOD_S: Final = 10.0
MIN_WAIT_S: Final = 0.05
MAX_WAIT_S: Final = 3.0


class UsageReport(NamedTuple):
    """What a member says of one customer.

    Attributes
    ----------
    balance : float
        What it may still spend.
    demand_per_s : float
        What requests have asked for lately, admitted or not.
    missing : float
        What the requests that wait for it now lack.
    returned : float
        What it has given back with this report.
    """

    balance: float
    demand_per_s: float
    missing: float
    returned: float = 0.0


class _Bucket:
    __slots__ = ("at_s", "level")

    def __init__(self, now_s: float, level: float) -> None:
        self.level = level
        self.at_s = now_s


@final
class UsageGiver:
    """The leader's buckets."""

    def __init__(self, now_s: float) -> None:
        self._began_s = now_s
        self._buckets: dict[str, _Bucket] = {}
        self._held: dict[str, dict[str, UsageReport]] = {}

    def forget_member(self, member: str) -> None:
        """Drop a member; what it holds may still be spent and is not given again."""
        for held in self._held.values():
            held.pop(member, None)

    def give(
        self,
        member: str,
        customer: CustomerSpec,
        report: UsageReport,
        now_s: float,
    ) -> float:
        """Return what the member may add to its balance.

        Parameters
        ----------
        member : str
            Who asks.
        customer : CustomerSpec
            Whose limit it is.
        report : UsageReport
            What the member holds and needs.
        now_s : float
            The time.
        """
        held = self._held.setdefault(customer.name, {})
        held[member] = report
        outstanding = sum(item.balance for item in held.values())
        bucket = self._refill(customer, outstanding, now_s)
        bucket.level += report.returned
        demand = sum(item.demand_per_s for item in held.values())
        wanted = self._wanted(customer, report, demand)
        reserve = 0.0 if report.missing > 0 else HELD_BACK_SHARE * customer.burst
        given = min(wanted, bucket.level - reserve)
        if given <= 0:
            return 0.0
        bucket.level -= given
        held[member] = report._replace(balance=report.balance + given)
        return given

    def _refill(
        self, customer: CustomerSpec, outstanding: float, now_s: float
    ) -> _Bucket:
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = _Bucket(self._began_s, FIRST_SHARE * customer.burst)
            self._buckets[customer.name] = bucket
        grown = bucket.level + customer.rate_per_s * max(0.0, now_s - bucket.at_s)
        room = max(0.0, customer.burst - outstanding)
        bucket.level = min(grown, room)
        bucket.at_s = now_s
        return bucket

    def _wanted(
        self, customer: CustomerSpec, report: UsageReport, demand: float
    ) -> float:
        share = report.demand_per_s / demand if demand > 0 else 0.0
        free = customer.burst * (1.0 - HELD_BACK_SHARE)
        cover = min(report.demand_per_s * COVER_S, share * free)
        return max(cover + report.missing - report.balance, 0.0)


@final
class _Balance:
    __slots__ = ("amount", "asked", "demand_per_s", "missing", "since_s")

    def __init__(self, now_s: float) -> None:
        self.amount = 0.0
        self.demand_per_s = 0.0
        self.asked = 0.0
        self.missing = 0.0
        self.since_s = now_s


@final
class UsageTaker:
    """What one VM may admit for each customer."""

    def __init__(self) -> None:
        self._balances: dict[str, _Balance] = {}
        self._isolated_s: dict[str, float] = {}

    def take(self, customer: CustomerSpec, cost: float, now_s: float) -> bool:
        """Admit a request of that cost, or note that it lacks tokens."""
        if customer.rate_per_s <= 0:
            return True
        balance = self._balance(customer.name, now_s)
        if balance.amount >= cost:
            balance.amount -= cost
            return True
        return False

    def ask(self, customer: str, cost: float, now_s: float) -> None:
        """Count a request's demand, once for each request."""
        self._balance(customer, now_s).asked += cost

    def lack(self, customer: str, cost: float, now_s: float) -> None:
        """Note that a request waits for tokens."""
        self._balance(customer, now_s).missing += cost

    def lack_no_more(self, customer: str, cost: float) -> None:
        """Note that a request has ceased to wait."""
        balance = self._balances.get(customer)
        if balance is not None:
            balance.missing = max(0.0, balance.missing - cost)

    def refund(self, customer: CustomerSpec, cost: float) -> None:
        """Give back what a request took that did not run."""
        balance = self._balances.get(customer.name)
        if balance is not None and customer.rate_per_s > 0:
            balance.amount += cost

    def add(self, customer: str, amount: float, now_s: float) -> None:
        """Add what the leader gave."""
        self._balance(customer, now_s).amount += amount

    def balance(self, customer: str) -> float:
        """Return what may still be spent."""
        balance = self._balances.get(customer)
        return 0.0 if balance is None else balance.amount

    def cap(self, customers: Mapping[str, CustomerSpec]) -> None:
        """Lower balances to the limits in force."""
        for name, balance in list(self._balances.items()):
            spec = customers.get(name)
            if spec is None:
                del self._balances[name]
            else:
                balance.amount = min(balance.amount, spec.burst)

    def reports(self, now_s: float) -> dict[str, UsageReport]:
        """Return what to tell the leader, and give back what is not needed."""
        reports = {}
        for name, balance in self._balances.items():
            self._smooth(balance, now_s)
            kept = KEPT_COVERS * COVER_S * balance.demand_per_s + balance.missing
            returned = max(0.0, balance.amount - kept)
            balance.amount -= returned
            reports[name] = UsageReport(
                balance.amount, balance.demand_per_s, balance.missing, returned
            )
        return reports

    def report_of(self, customer: str, now_s: float) -> UsageReport:
        """Return what to tell the leader of one customer, between the reports."""
        balance = self._balance(customer, now_s)
        return UsageReport(balance.amount, balance.demand_per_s, balance.missing)

    def allow_isolated(
        self, customers: Mapping[str, CustomerSpec], members: int, now_s: float
    ) -> None:
        """Add a small allowance while no leader answers.

        Parameters
        ----------
        customers : mapping of str to CustomerSpec
            With their limits.
        members : int
            How many VMs there are, each of which may do the same.
        now_s : float
            The time.
        """
        for name, balance in self._balances.items():
            spec = customers.get(name)
            last_s = self._isolated_s.get(name)
            if spec is None or (
                last_s is not None and now_s - last_s < ISOLATED_PERIOD_S
            ):
                continue
            self._isolated_s[name] = now_s
            window = spec.rate_per_s * ISOLATED_PERIOD_S + spec.burst
            balance.amount += ISOLATED_SHARE * window / max(1, members)

    def _balance(self, customer: str, now_s: float) -> _Balance:
        balance = self._balances.get(customer)
        if balance is None:
            balance = _Balance(now_s)
            self._balances[customer] = balance
        return balance

    def _smooth(self, balance: _Balance, now_s: float) -> None:
        elapsed_s = now_s - balance.since_s
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
        seen_per_s = balance.asked / elapsed_s
        balance.demand_per_s += weight * (seen_per_s - balance.demand_per_s)
        balance.asked = 0.0
        balance.since_s = now_s


def wait_for_tokens_s(customer: CustomerSpec, cost: float) -> float:
    """Return when a refused request should come back."""
    if customer.rate_per_s <= 0:
        return MIN_WAIT_S
    return min(MAX_WAIT_S, max(MIN_WAIT_S, 2.0 * cost / customer.rate_per_s))
