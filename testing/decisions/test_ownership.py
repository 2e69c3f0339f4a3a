"""Tests of claims, leases and orders with delays, losses, pauses, crashes, outages."""

import unittest
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from _pistachiopond.decisions.ownership import (
    CLOCK_RATE_ERROR,
    ClaimantIdentity,
    ShardClaimant,
    ShardTerms,
    shard_number,
)
from _pistachiopond.schema.codec import to_json
from testing.decisions.control_simulation import MEMORY_MB, FakeLog, Simulation

LEASE_S = 10.0
LAST_DAEMON = 8
RUNS = 40
EVENTS = 40


def holders_of(simulation: Simulation) -> list[str]:
    """Return all daemons that presently consider themselves holder of the shard."""
    return [
        daemon.name
        for daemon in simulation.daemons
        if not daemon.is_dead and daemon.claimant.held(daemon.now_s()) is not None
    ]


class OwnershipMachine(RuleBasedStateMachine):
    """Stateful test: at most one holder at a time, and memory never overcommitted."""

    @initialize(checks_fencing=st.booleans(), seed=st.integers(0, 1_000))
    def begin(self, checks_fencing: bool, seed: int) -> None:
        self.simulation = Simulation(checks_fencing=checks_fencing, seed=seed)
        self.simulation.advance(5.0)

    @rule(half_seconds=st.integers(1, 60))
    def advance(self, half_seconds: int) -> None:
        self.simulation.advance(half_seconds / 2)

    @rule(index=st.integers(0, LAST_DAEMON))
    def pause_or_resume(self, index: int) -> None:
        daemon = self.simulation.daemons[index % len(self.simulation.daemons)]
        daemon.is_paused = not daemon.is_paused
        if not daemon.is_paused and not daemon.is_dead:
            daemon.flush()

    @rule(index=st.integers(0, LAST_DAEMON))
    def kill(self, index: int) -> None:
        if len(self.simulation.daemons) <= LAST_DAEMON:
            self.simulation.kill(index % len(self.simulation.daemons))

    @rule()
    def log_fails_or_comes_back(self) -> None:
        self.simulation.log.is_down = not self.simulation.log.is_down

    @rule()
    def log_drops_what_is_old(self) -> None:
        log = self.simulation.log
        log.first = max(log.first, len(log.records) - 12)

    @rule()
    def everything_arrives(self) -> None:
        self.simulation.apply_pending_appends(all_of_them=True)
        self.simulation.deliver(all_of_them=True)

    @invariant()
    def memory_is_never_over(self) -> None:
        if hasattr(self, "simulation"):
            assert self.simulation.engine.most_used_mb <= MEMORY_MB

    @invariant()
    def one_holder_at_a_time(self) -> None:
        if not hasattr(self, "simulation"):
            return
        holders = holders_of(self.simulation)
        assert len(holders) <= 1, holders


OwnershipMachineTests = OwnershipMachine.TestCase
OwnershipMachineTests.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)


def run_random_events(seed: int, *, checks_fencing: bool, events: int) -> Simulation:
    """Run a simulation with seeded random events, mostly just passing time."""
    simulation = Simulation(checks_fencing=checks_fencing, seed=seed)
    rng = simulation.rng
    for _ in range(events):
        daemon = rng.choice(simulation.daemons)
        chance = rng.random()
        if chance < 0.12:
            daemon.is_paused = not daemon.is_paused
            if not daemon.is_paused and not daemon.is_dead:
                daemon.flush()
        elif chance < 0.15 and len(simulation.daemons) <= LAST_DAEMON:
            simulation.kill(rng.randrange(len(simulation.daemons)))
        elif chance < 0.18:
            simulation.log.is_down = not simulation.log.is_down
        elif chance < 0.22:
            simulation.log.first = max(
                simulation.log.first, len(simulation.log.records) - 12
            )
        else:
            simulation.advance(rng.choice((1.0, 3.0, 12.0, 40.0)))
        assert len(holders_of(simulation)) <= 1, f"seed {seed}"
    return simulation


class RandomRunTests(unittest.TestCase):
    def run_many(self, runs: int, *, checks_fencing: bool) -> None:
        loads = 0
        for seed in range(runs):
            simulation = run_random_events(
                seed, checks_fencing=checks_fencing, events=EVENTS
            )
            self.assertLessEqual(
                simulation.engine.most_used_mb, MEMORY_MB, f"seed {seed}"
            )
            loads += len(simulation.engine.done)
        self.assertGreater(loads, runs)

    def test_no_overcommit_with_engines_that_ignore_fencing(self) -> None:
        self.run_many(RUNS, checks_fencing=False)

    def test_no_overcommit_with_engines_that_check_fencing(self) -> None:
        self.run_many(RUNS // 4, checks_fencing=True)


def make_claimant(name: str) -> ShardClaimant:
    return ShardClaimant(
        ShardTerms("servers-0", LEASE_S), ClaimantIdentity(name, "127.0.0.1:1")
    )


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

    def test_the_first_of_two_concurrent_claims_wins(self) -> None:
        first = self.one.next_append(1.0, 0)
        second = self.two.next_append(1.0, 0)
        append(self.log, second)
        append(self.log, first)
        for claimant in (self.one, self.two):
            read(claimant, self.log, 1.5)
        self.assertIsNone(self.one.held(1.5))
        self.assertEqual(self.two.held(1.5).epoch, 0)

    def test_the_holder_counts_its_lease_from_sending_the_claim(self) -> None:
        self.claim(self.one, 1.0)
        read(self.one, self.log, 6.0)
        until_s = 1.0 + LEASE_S * (1 - CLOCK_RATE_ERROR)
        self.assertIsNotNone(self.one.held(until_s - 0.01))
        self.assertIsNone(self.one.held(until_s))

    def test_others_count_the_lease_from_reading_the_claim(self) -> None:
        self.claim(self.one, 1.0)
        read(self.two, self.log, 4.0)
        expiry_s = 4.0 + LEASE_S * (1 + CLOCK_RATE_ERROR)
        read(self.two, self.log, expiry_s - 0.01)
        self.assertIsNone(self.two.next_append(expiry_s - 0.01, 0))
        read(self.two, self.log, expiry_s)
        self.assertIsNotNone(self.two.next_append(expiry_s, 0))

    def test_a_claim_loses_to_a_renewal_that_its_claimant_had_not_read(self) -> None:
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

    def test_a_released_shard_may_be_claimed_immediately(self) -> None:
        self.claim(self.one, 1.0)
        read(self.one, self.log, 1.0)
        append(self.log, self.one.release(2.0))
        self.assertIsNone(self.one.held(2.0))
        read(self.two, self.log, 2.0)
        self.assertIsNotNone(self.two.next_append(2.0, 0))

    def test_no_claim_is_sent_while_the_log_does_not_answer(self) -> None:
        self.assertIsNone(self.one.next_append(60.0, 0))

    def test_a_daemon_beyond_the_candidate_limit_does_not_claim(self) -> None:
        self.assertIsNone(self.one.next_append(1.0, 3))

    def test_a_late_reader_starts_from_the_snapshot_in_a_renewal(self) -> None:
        self.claim(self.one, 1.0)
        read(self.one, self.log, 1.0)
        append(self.log, self.one.next_append(6.0, 0))
        self.log.first = 1
        late = make_claimant("late")
        read(late, self.log, 7.0)
        self.assertEqual(late.state.epoch, 0)
        self.assertEqual(late.state.authority_offset, 1)

    def test_the_predecessors_acquisition_time_comes_from_its_renewal(self) -> None:
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
    def test_names_are_distributed_over_all_shards(self) -> None:
        numbers = {shard_number(f"customer-{index}", 4) for index in range(50)}
        self.assertEqual(numbers, {0, 1, 2, 3})
