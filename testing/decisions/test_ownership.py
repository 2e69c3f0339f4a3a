"""Tests of claims, leases and orders under delay, loss, pauses, deaths and outages."""

import unittest
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from _pistachiopond.decisions.ownership import (
    CLOCK_RATE_ERROR,
    Claimer,
    ShardClaimant,
    ShardTerms,
    hash_to,
)
from _pistachiopond.schema.codec import to_json
from testing.decisions.fleet_world import MEMORY_MB, FakeLog, World

LEASE_S = 10.0
LAST_DAEMON = 8
RUNS = 40
EVENTS = 40


def holders_of(world: World) -> list[str]:
    """Return all daemons that believe, at this moment, to hold the shard."""
    return [
        daemon.name
        for daemon in world.daemons
        if not daemon.is_dead and daemon.claimant.held(daemon.now_s()) is not None
    ]


class OwnershipMachine(RuleBasedStateMachine):
    """Whatever happens, one holder at a time and memory never over."""

    @initialize(checks_fencing=st.booleans(), seed=st.integers(0, 1_000))
    def begin(self, checks_fencing: bool, seed: int) -> None:
        self.world = World(checks_fencing=checks_fencing, seed=seed)
        self.world.advance(5.0)

    @rule(half_seconds=st.integers(1, 60))
    def advance(self, half_seconds: int) -> None:
        self.world.advance(half_seconds / 2)

    @rule(index=st.integers(0, LAST_DAEMON))
    def pause_or_resume(self, index: int) -> None:
        daemon = self.world.daemons[index % len(self.world.daemons)]
        daemon.is_paused = not daemon.is_paused
        if not daemon.is_paused and not daemon.is_dead:
            daemon.flush()

    @rule(index=st.integers(0, LAST_DAEMON))
    def kill(self, index: int) -> None:
        if len(self.world.daemons) <= LAST_DAEMON:
            self.world.kill(index % len(self.world.daemons))

    @rule()
    def log_fails_or_comes_back(self) -> None:
        self.world.log.is_down = not self.world.log.is_down

    @rule()
    def log_drops_what_is_old(self) -> None:
        log = self.world.log
        log.first = max(log.first, len(log.records) - 12)

    @rule()
    def everything_arrives(self) -> None:
        self.world.land_appends(all_of_them=True)
        self.world.deliver(all_of_them=True)

    @invariant()
    def memory_is_never_over(self) -> None:
        if hasattr(self, "world"):
            assert self.world.engine.most_used_mb <= MEMORY_MB

    @invariant()
    def one_holder_at_a_time(self) -> None:
        if not hasattr(self, "world"):
            return
        holders = holders_of(self.world)
        assert len(holders) <= 1, holders


OwnershipMachineTests = OwnershipMachine.TestCase
OwnershipMachineTests.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)


def run_at_random(seed: int, *, checks_fencing: bool, events: int) -> World:
    """Run a world through seeded events; most of the time passes quietly."""
    world = World(checks_fencing=checks_fencing, seed=seed)
    rng = world.rng
    for _ in range(events):
        daemon = rng.choice(world.daemons)
        chance = rng.random()
        if chance < 0.12:
            daemon.is_paused = not daemon.is_paused
            if not daemon.is_paused and not daemon.is_dead:
                daemon.flush()
        elif chance < 0.15 and len(world.daemons) <= LAST_DAEMON:
            world.kill(rng.randrange(len(world.daemons)))
        elif chance < 0.18:
            world.log.is_down = not world.log.is_down
        elif chance < 0.22:
            world.log.first = max(world.log.first, len(world.log.records) - 12)
        else:
            world.advance(rng.choice((1.0, 3.0, 12.0, 40.0)))
        assert len(holders_of(world)) <= 1, f"seed {seed}"
    return world


class RandomRunTests(unittest.TestCase):
    def run_many(self, runs: int, *, checks_fencing: bool) -> None:
        loads = 0
        for seed in range(runs):
            world = run_at_random(seed, checks_fencing=checks_fencing, events=EVENTS)
            self.assertLessEqual(world.engine.most_used_mb, MEMORY_MB, f"seed {seed}")
            loads += len(world.engine.done)
        self.assertGreater(loads, runs)

    def test_no_overcommit_where_fencing_is_ignored(self) -> None:
        self.run_many(RUNS, checks_fencing=False)

    def test_no_overcommit_where_fencing_is_checked(self) -> None:
        self.run_many(RUNS // 4, checks_fencing=True)


def make_claimant(name: str) -> ShardClaimant:
    return ShardClaimant(ShardTerms("servers-0", LEASE_S), Claimer(name, "127.0.0.1:1"))


def read(claimant: ShardClaimant, log: FakeLog, now_s: float) -> None:
    claimant.take_page(log.page(claimant.next_offset()), now_s, now_s)


def append(log: FakeLog, record: Any) -> None:
    log.records.append(to_json(record))


class ClaimTests(unittest.TestCase):
    def setUp(self) -> None:
        self.log = FakeLog()
        self.one = make_claimant("one")
        self.two = make_claimant("two")
        for claimant in (self.one, self.two):
            read(claimant, self.log, 0.0)

    def claim(self, claimant: ShardClaimant, now_s: float) -> None:
        record = claimant.next_append(now_s, 0)
        self.assertIsNotNone(record)
        append(self.log, record)

    def test_the_first_of_two_crossing_claims_wins(self) -> None:
        first = self.one.next_append(1.0, 0)
        second = self.two.next_append(1.0, 0)
        append(self.log, second)
        append(self.log, first)
        for claimant in (self.one, self.two):
            read(claimant, self.log, 1.5)
        self.assertIsNone(self.one.held(1.5))
        self.assertEqual(self.two.held(1.5).epoch, 0)

    def test_the_lease_counts_from_before_the_claim_was_sent(self) -> None:
        self.claim(self.one, 1.0)
        read(self.one, self.log, 6.0)
        until_s = 1.0 + LEASE_S * (1 - CLOCK_RATE_ERROR)
        self.assertIsNotNone(self.one.held(until_s - 0.01))
        self.assertIsNone(self.one.held(until_s))

    def test_others_wait_the_whole_lease_from_when_they_read(self) -> None:
        self.claim(self.one, 1.0)
        read(self.two, self.log, 4.0)
        lapse_s = 4.0 + LEASE_S * (1 + CLOCK_RATE_ERROR)
        read(self.two, self.log, lapse_s - 0.01)
        self.assertIsNone(self.two.next_append(lapse_s - 0.01, 0))
        read(self.two, self.log, lapse_s)
        self.assertIsNotNone(self.two.next_append(lapse_s, 0))

    def test_a_claim_loses_against_a_renewal_that_it_had_not_read(self) -> None:
        self.claim(self.one, 1.0)
        for claimant in (self.one, self.two):
            read(claimant, self.log, 1.0)
        renewal = self.one.next_append(8.0, 0)
        read(self.two, self.log, 11.5)
        claim = self.two.next_append(11.5, 0)
        self.assertEqual(claim.kind, "claim")
        append(self.log, renewal)
        append(self.log, claim)
        for claimant in (self.one, self.two):
            read(claimant, self.log, 11.6)
        self.assertIsNotNone(self.one.held(11.6))
        self.assertIsNone(self.two.held(11.6))

    def test_a_repeated_renewal_does_not_extend_the_lease(self) -> None:
        self.claim(self.one, 1.0)
        read(self.one, self.log, 1.0)
        renewal = self.one.next_append(6.0, 0)
        append(self.log, renewal)
        read(self.one, self.log, 6.1)
        until_s = self.one.held(6.1).valid_until_s
        append(self.log, renewal)
        read(self.one, self.log, 9.0)
        self.assertEqual(self.one.held(9.0).valid_until_s, until_s)

    def test_a_released_shard_is_free_at_once(self) -> None:
        self.claim(self.one, 1.0)
        read(self.one, self.log, 1.0)
        append(self.log, self.one.give_up(2.0))
        self.assertIsNone(self.one.held(2.0))
        read(self.two, self.log, 2.0)
        self.assertIsNotNone(self.two.next_append(2.0, 0))

    def test_nothing_is_claimed_while_the_log_does_not_answer(self) -> None:
        self.assertIsNone(self.one.next_append(60.0, 0))

    def test_only_the_first_candidates_claim(self) -> None:
        self.assertIsNone(self.one.next_append(1.0, 3))

    def test_a_reader_after_retention_starts_from_a_renewal(self) -> None:
        self.claim(self.one, 1.0)
        read(self.one, self.log, 1.0)
        append(self.log, self.one.next_append(6.0, 0))
        self.log.first = 1
        late = make_claimant("late")
        read(late, self.log, 7.0)
        self.assertEqual(late.state.epoch, 0)
        self.assertEqual(late.state.authority_offset, 1)

    def test_the_time_of_the_holder_before_is_known_from_its_renewal(self) -> None:
        self.claim(self.one, 1.0)
        for claimant in (self.one, self.two):
            read(claimant, self.log, 1.0)
        self.assertEqual(self.one.held(1.0).predecessor_acquired_s, float("-inf"))
        append(self.log, self.one.next_append(6.0, 0))
        read(self.two, self.log, 7.0)
        read(self.two, self.log, 20.0)
        self.claim(self.two, 20.0)
        read(self.two, self.log, 20.1)
        self.assertEqual(self.two.held(20.1).predecessor_acquired_s, 7.0)


class HashTests(unittest.TestCase):
    def test_names_spread_over_all_shards(self) -> None:
        numbers = {hash_to(f"customer-{index}", 4) for index in range(50)}
        self.assertEqual(numbers, {0, 1, 2, 3})
