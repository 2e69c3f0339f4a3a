"""Model test: no customer exceeds its rate and burst, whatever faults occur.

The model has two entry daemons and one pool with successive holders. One pool is
enough, since the shares of all pools add up to the whole, as `test_grants` shows.
Messages are lost, repeated, delayed and reordered, processes are paused and replaced,
and each holder applies manifest changes at its own time. Clocks run at the bounds of
their error.
"""

import unittest
from typing import Final, NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from _pistachiopond.decisions.grants import GrantClient, PlannedDraw
from _pistachiopond.decisions.limits import (
    CLOCK_RATE_ERROR,
    GRANT_LIFETIME_S,
    owner_pool,
    pool_limits,
)
from _pistachiopond.decisions.pools import DrawReply, TokenPool
from _pistachiopond.schema.limits import LimitsView, PoolSource
from _pistachiopond.schema.manifest import Customer, Manifest

CUSTOMER: Final = "kea"
POOLS: Final = (owner_pool(0),)
LEASE_S: Final = 4.0
GRANT_EXPIRY_S: Final = 1.01 * GRANT_LIFETIME_S
FAST: Final = 1.0 + CLOCK_RATE_ERROR
SLOW: Final = 1.0 - CLOCK_RATE_ERROR
TOLERANCE_TOKENS: Final = 1e-6


def make_manifest(rate: float, burst: float) -> Manifest:
    customer = Customer(CUSTOMER, rate, burst)
    return Manifest(0, "d", "worst_served_customer", (), (), (), (customer,))


class Holder:
    """One holder of a pool, with a fast clock."""

    def __init__(
        self, pool: str, epoch: int, now_s: float, predecessor_acquired_s: float | None
    ) -> None:
        self.name = pool
        earlier = (
            None if predecessor_acquired_s is None else predecessor_acquired_s * FAST
        )
        self.tokens = TokenPool(epoch, now_s * FAST, earlier)
        self.acquired_s = now_s
        self.valid_until_s = now_s + LEASE_S


class Admission(NamedTuple):
    """Admitted tokens: the maximum that the usage may still turn out to be."""

    admitted_s: float
    tokens: float


class AppliedLimits(NamedTuple):
    """Limits that a pool's holder has applied."""

    since_s: float
    rate: float
    burst: float


class PendingDraw(NamedTuple):
    entry: int
    planned: PlannedDraw


class AuthorisedDraw(NamedTuple):
    """A draw whose holder checked its authority and was then paused."""

    request: PendingDraw
    holder: Holder
    checked_s: float


class PendingReply(NamedTuple):
    request: PendingDraw
    reply: DrawReply


class LimitsMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.manifest = make_manifest(10.0, 100.0)
        self.epoch = 0
        self.applied_limits: dict[str, list[AppliedLimits]] = {
            pool: [] for pool in POOLS
        }
        self.holders: dict[str, list[Holder]] = {pool: [] for pool in POOLS}
        self.clients: list[GrantClient] = []
        self.start_count = 0
        self.requests: list[PendingDraw] = []
        self.checked: list[AuthorisedDraw] = []
        self.replies: list[PendingReply] = []
        self.reservations: list[tuple[int, int, int, float]] = []
        self.admissions: list[Admission] = []

    @initialize()
    def start(self) -> None:
        self.clients = [self.make_client(), self.make_client()]
        for pool in POOLS:
            self.take_over(pool)
        self.now_s += 60.0
        for pool in POOLS:
            self.take_over(pool)
        self.now_s += 30.0
        for pool in POOLS:
            self.holders[pool][-1].valid_until_s = self.now_s + LEASE_S

    @rule(
        entry=st.integers(0, 1),
        share=st.sampled_from([0.0, 0.5, 1.0]),
        used=st.sampled_from([None, 0.0, 1.0]),
    )
    def exchange(self, entry: int, share: float, used: float | None) -> None:
        """Draw all available tokens without a fault; admit and settle a share."""
        for pool in POOLS:
            if self.holders[pool][-1].valid_until_s <= self.now_s:
                self.take_over(pool)
        self.deliver_new(entry, 200.0)
        self.admit(entry, share)
        if used is not None:
            while self.reservations:
                self.settle_one(len(self.reservations) - 1, used)

    @rule()
    def drain(self) -> None:
        """Use up all available tokens, waiting out the pauses after a shortage."""
        for _ in range(3):
            for entry in (0, 1):
                self.now_s += 0.3
                self.admit(entry, 1.0)
                self.exchange(entry, 1.0, 1.0)

    @rule()
    def settle_all_unused(self) -> None:
        """Free every reservation, as if no request had run."""
        while self.reservations:
            self.settle_one(len(self.reservations) - 1, 0.0)

    @rule(seconds=st.sampled_from([3, 12]), entry=st.integers(0, 1))
    def hold_for(self, seconds: int, entry: int) -> None:
        """Renew the leases and an entry daemon's grants for some seconds."""
        for _ in range(seconds):
            self.now_s += 1.0
            for pool in POOLS:
                self.renew_or_release(pool, True)
            self.deliver_new(entry, 0.0)

    def deliver_new(self, entry: int, tokens: float) -> None:
        """Draw without a fault, while older messages are still in transit."""
        older = (self.requests, self.replies)
        self.requests, self.replies = [], []
        self.draw(entry, tokens)
        self.arrive_all()
        self.reply_all()
        self.requests, self.replies = older

    @rule(entry=st.integers(0, 1), late_s=st.sampled_from([0.6, 1.5]))
    def late_draw(self, entry: int, late_s: float) -> None:
        """Delay a draw in transit."""
        self.draw(entry, 200.0)
        self.now_s += late_s
        self.arrive_all()
        self.reply_all()

    @rule(
        times=st.integers(1, 2),
        is_predecessor_known=st.booleans(),
        after_s=st.sampled_from([0.0, 2.5, 6.0]),
    )
    def switch_holders(
        self, times: int, is_predecessor_known: bool, after_s: float
    ) -> None:
        """Replace holders one after the other, after each has made grants."""
        for _ in range(times):
            for pool in POOLS:
                self.renew_or_release(pool, False)
                self.take_over(pool, is_predecessor_known)
            self.now_s += after_s
            self.deliver_new(1, 200.0)

    def make_client(self) -> GrantClient:
        self.start_count += 1
        client = GrantClient(f"e{self.start_count}")
        sources = (PoolSource(pool, pool, (CUSTOMER,), False) for pool in POOLS)
        client.set_sources(LimitsView(tuple(sources)))
        return client

    def entry_clock_s(self) -> float:
        return self.now_s * SLOW

    @rule(duration_s=st.sampled_from([0.05, 1.5, 4.0, 9.5, 10.5]))
    def pass_time(self, duration_s: float) -> None:
        self.now_s += duration_s

    @rule(pool=st.sampled_from(POOLS), is_predecessor_known=st.booleans())
    def take_over(self, pool: str, is_predecessor_known: bool = True) -> None:
        """Let a successor acquire the pool once its holder has lost authority."""
        chain = self.holders[pool]
        if chain and chain[-1].valid_until_s > self.now_s:
            return
        self.epoch += 1
        predecessor_acquired_s = (
            chain[-1].acquired_s if chain and is_predecessor_known else None
        )
        holder = Holder(pool, self.epoch, self.now_s, predecessor_acquired_s)
        chain.append(holder)
        self.configure(holder)

    @rule(pool=st.sampled_from(POOLS), lasts=st.booleans())
    def renew_or_release(self, pool: str, lasts: bool) -> None:
        holder = self.holders[pool][-1]
        if holder.valid_until_s > self.now_s:
            holder.valid_until_s = self.now_s + (LEASE_S if lasts else 0.0)

    @rule(
        rate=st.sampled_from([4.0, 10.0, 20.0]),
        burst=st.sampled_from([40.0, 100.0, 150.0]),
    )
    def publish(self, rate: float, burst: float) -> None:
        self.manifest = make_manifest(rate, burst)
        for pool in POOLS:
            self.apply_manifest(pool)

    def apply_manifest(self, pool: str) -> None:
        self.configure(self.holders[pool][-1])

    def configure(self, holder: Holder) -> None:
        customer = self.manifest.customers[0]
        change = AppliedLimits(
            self.now_s, customer.rate_tokens_per_s, customer.burst_tokens
        )
        self.applied_limits[holder.name].append(change)
        limits = pool_limits(self.manifest, holder.name, 1)
        holder.tokens.configure(limits, self.now_s * FAST)

    @rule(entry=st.integers(0, 1))
    def restart_entry(self, entry: int) -> None:
        self.clients[entry] = self.make_client()
        self.reservations = [item for item in self.reservations if item[0] != entry]

    @rule(entry=st.integers(0, 1), tokens=st.sampled_from([0.0, 30.0, 200.0]))
    def draw(self, entry: int, tokens: float) -> None:
        client = self.clients[entry]
        client.set_waiting(CUSTOMER, tokens)
        for planned in client.plan_draws(self.entry_clock_s()):
            self.requests.append(PendingDraw(entry, planned))

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), late=st.booleans(), is_repeated=st.booleans())
    def arrive(self, data: st.DataObject, late: bool, is_repeated: bool) -> None:
        """Deliver a draw to the current or the previous holder.

        It may be delivered again later, and the holder may be paused between the
        check of its authority and its reply.
        """
        index = data.draw(st.integers(0, len(self.requests) - 1))
        request = self.requests[index]
        holders = self.holders[request.planned.pool]
        holder = data.draw(st.sampled_from(holders[-2:]))
        if not is_repeated:
            self.requests.pop(index)
        if self.now_s >= holder.valid_until_s:
            return
        checked = AuthorisedDraw(request, holder, self.now_s)
        if late:
            self.checked.append(checked)
        else:
            self.process_draw(checked)

    @precondition(lambda self: self.checked)
    @rule()
    def wake_paused_holder(self) -> None:
        """Let a paused holder reply, by the time at which it was paused."""
        self.process_draw(self.checked.pop())

    def process_draw(self, checked: AuthorisedDraw) -> None:
        draw = checked.request.planned.draw
        reply = checked.holder.tokens.draw(draw, checked.checked_s * FAST)
        self.replies.append(PendingReply(checked.request, reply))

    @precondition(lambda self: self.replies)
    @rule(data=st.data(), is_repeated=st.booleans())
    def reply(self, data: st.DataObject, is_repeated: bool) -> None:
        """Deliver any of the pending replies; it may be delivered again later."""
        index = data.draw(st.integers(0, len(self.replies) - 1))
        (entry, planned), reply = self.replies[index]
        if not is_repeated:
            self.replies.pop(index)
        self.clients[entry].on_reply(planned, reply, self.entry_clock_s())

    @precondition(lambda self: self.replies)
    @rule()
    def reply_all(self) -> None:
        for (entry, planned), reply in self.replies:
            self.clients[entry].on_reply(planned, reply, self.entry_clock_s())
        self.replies = []

    @precondition(lambda self: self.requests)
    @rule()
    def arrive_all(self) -> None:
        for request in self.requests:
            holder = self.holders[request.planned.pool][-1]
            if self.now_s < holder.valid_until_s:
                self.process_draw(AuthorisedDraw(request, holder, self.now_s))
        self.requests = []

    @rule(entry=st.integers(0, 1), share=st.sampled_from([0.3, 1.0]))
    def admit(self, entry: int, share: float) -> None:
        client = self.clients[entry]
        tokens = client.held_tokens(CUSTOMER, self.entry_clock_s()) * share
        if tokens < 1.0:
            return
        outcome = client.reserve(CUSTOMER, tokens, self.entry_clock_s())
        if isinstance(outcome, int):
            self.reservations.append((entry, outcome, len(self.admissions), tokens))
            self.admissions.append(Admission(self.now_s, tokens))

    @precondition(lambda self: self.reservations)
    @rule(share=st.sampled_from([0.0, 0.5, 1.0]), data=st.data())
    def settle(self, share: float, data: st.DataObject) -> None:
        self.settle_one(data.draw(st.integers(0, len(self.reservations) - 1)), share)

    @precondition(lambda self: self.reservations)
    @rule(data=st.data())
    def note_half_used(self, data: st.DataObject) -> None:
        """Charge half of a reservation early; it cannot settle for less afterwards."""
        index = data.draw(st.integers(0, len(self.reservations) - 1))
        entry, number, _, tokens = self.reservations[index]
        self.clients[entry].note_used(number, tokens / 2.0)

    def settle_one(self, index: int, share: float) -> None:
        entry, number, admission_index, tokens = self.reservations.pop(index)
        self.clients[entry].settle(number, tokens * share, self.entry_clock_s())
        admission = self.admissions[admission_index]
        self.admissions[admission_index] = admission._replace(tokens=tokens * share)

    def allowed(self, start_s: float, end_s: float) -> float:
        """Return the maximum that the pools may grant by the limits applied."""
        return sum(self.allowed_by(pool, start_s, end_s) for pool in POOLS)

    def allowed_by(self, pool: str, start_s: float, end_s: float) -> float:
        # Tokens granted before a change may be used until their grant expires.
        since_s = start_s - GRANT_EXPIRY_S
        changes = [item for item in self.applied_limits[pool] if item.since_s <= end_s]
        older = [item for item in changes if item.since_s <= since_s]
        counted = older[-1:] + [item for item in changes if item.since_s > since_s]
        burst = max(item.burst for item in counted)
        rate = max(item.rate for item in counted)
        return burst + rate * (end_s - start_s)

    @invariant()
    def no_window_exceeds_the_limits(self) -> None:
        if not self.admissions:
            return
        end_s = self.admissions[-1].admitted_s
        total = 0.0
        for admission in reversed(self.admissions):
            total += admission.tokens
            allowed = self.allowed(admission.admitted_s, end_s)
            assert total <= allowed + TOLERANCE_TOKENS, (total, allowed)


LimitsModelTests = LimitsMachine.TestCase
LimitsModelTests.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=25
)


class FaultSequenceTests(unittest.TestCase):
    """Sequences that exceed the limits if one part of the mechanism is missing."""

    def setUp(self) -> None:
        self.model = LimitsMachine()
        self.model.start()

    def keep_lease(self) -> None:
        self.model.holders[POOLS[0]][-1].valid_until_s += 100.0

    def drain(self) -> None:
        self.model.drain()
        self.model.no_window_exceeds_the_limits()

    def test_tokens_of_running_requests_are_not_refilled(self) -> None:
        self.model.exchange(0, 1.0, None)
        self.model.hold_for(12, 0)
        self.model.settle_all_unused()
        self.drain()

    def test_a_new_holder_waits_for_its_predecessors_grants(self) -> None:
        self.model.exchange(0, 0.0, None)
        self.model.switch_holders(1, True, 6.0)
        self.drain()

    def test_two_new_holders_in_a_row_do_not_both_grant(self) -> None:
        self.model.exchange(0, 0.0, None)
        self.model.switch_holders(2, True, 2.5)
        self.model.switch_holders(1, True, 2.5)
        self.drain()

    def test_a_holder_keeps_part_of_the_burst_for_its_successor(self) -> None:
        for _ in range(2):
            self.model.exchange(0, 0.0, None)
        self.model.switch_holders(1, True, 2.5)
        self.drain()

    def test_a_lowered_burst_takes_effect_though_grants_are_renewed(self) -> None:
        self.model.exchange(0, 1.0, None)
        self.model.publish(4.0, 40.0)
        self.model.hold_for(12, 0)
        self.model.settle_all_unused()
        self.drain()

    def test_tokens_of_an_expired_grant_cannot_be_returned(self) -> None:
        self.keep_lease()
        self.model.exchange(0, 0.0, None)
        self.model.now_s += 1.5
        self.model.draw(0, 0.0)
        self.model.now_s += 10.5
        self.drain()
        self.model.arrive_all()
        self.drain()

    def test_a_late_reply_does_not_revive_an_expired_grant(self) -> None:
        self.keep_lease()
        self.model.exchange(0, 0.0, None)
        self.model.now_s += 9.5
        self.model.draw(0, 200.0)
        self.model.now_s += 1.5
        late, self.model.requests = self.model.requests, []
        for _ in range(3):
            self.model.exchange(1, 1.0, 1.0)
            self.model.now_s += 0.6
        self.model.requests = late
        self.model.arrive_all()
        self.model.reply_all()
        self.drain()

    def test_an_expired_grant_is_not_used(self) -> None:
        self.keep_lease()
        self.model.exchange(0, 0.0, None)
        self.model.now_s += 12.0
        self.drain()
