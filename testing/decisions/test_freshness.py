"""Tests of the decision whether routes that need a key must close."""

import unittest
from typing import Final, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.decisions.freshness import (
    FRESH_LIMIT_S,
    FreshnessInputs,
    PeerStatement,
    decide_freshness,
)

NEVER: Final = float("inf")
STEP_S: Final = 1.0
STOP_BOUND_S: Final = FRESH_LIMIT_S + 2 * STEP_S


def make_statement(
    address: str, age_s: float = NEVER, offset: int = 4, asked_s: float = 99.0
) -> PeerStatement:
    return PeerStatement(address, address[0], age_s, offset, asked_s)


def decide(
    *statements: PeerStatement,
    tail_read_s: float | None = None,
    live: frozenset[str] = frozenset("ab"),
    offset: int = 4,
) -> tuple[bool, str]:
    inputs = FreshnessInputs(tail_read_s, offset, statements, live)
    decision = decide_freshness(inputs, 100.0)
    return decision.keys_closed, decision.reason


class DecideFreshnessTests(unittest.TestCase):
    def test_a_recent_read_of_the_tail_opens_routes(self) -> None:
        self.assertEqual(decide(tail_read_s=96.0), (False, "own_read"))

    def test_an_old_read_without_peers_closes_routes(self) -> None:
        self.assertEqual(decide(tail_read_s=94.0), (True, "unproved"))

    def test_a_fresh_peer_opens_routes_only_if_it_has_no_newer_records(self) -> None:
        self.assertEqual(decide(make_statement("a1", 1.0)), (False, "peer"))
        self.assertEqual(
            decide(make_statement("a1", 1.0, offset=5)), (True, "behind_peer")
        )

    def test_a_peers_proof_age_and_its_answers_age_add_up(self) -> None:
        self.assertEqual(decide(make_statement("a1", 4.5))[0], True)

    def test_a_log_outage_in_all_data_centres_opens_routes(self) -> None:
        decision = decide(make_statement("a1", 60.0), make_statement("b1"))
        self.assertEqual(decision, (False, "outage_for_all"))

    def test_a_data_centre_without_statements_closes_routes(self) -> None:
        self.assertEqual(decide(make_statement("a1", 60.0)), (True, "unproved"))

    def test_a_peer_that_reaches_the_log_rules_out_an_outage(self) -> None:
        decision = decide(
            make_statement("a1", 60.0),
            make_statement("b1"),
            make_statement("b2", 2.0, offset=5),
        )
        self.assertEqual(decision, (True, "behind_peer"))

    def test_a_peer_that_was_fresh_a_moment_ago_rules_out_an_outage(self) -> None:
        self.assertEqual(
            decide(make_statement("a1", 60.0), make_statement("b1", 4.5)),
            (True, "unproved"),
        )

    def test_routes_stay_closed_on_a_lone_vm_or_without_configuration(self) -> None:
        self.assertEqual(decide(live=frozenset()), (True, "unproved"))
        self.assertTrue(
            decide(make_statement("a1"), make_statement("b1", offset=-1), offset=-1)[0]
        )


class Daemon(NamedTuple):
    address: str
    tail_read_s: float | None
    offset: int
    statements: dict[str, PeerStatement]


Fleet = dict[str, Daemon]
FLEET: Final = ("a1", "a2", "b1", "b2", "c1")


def inputs_of(daemon: Daemon) -> FreshnessInputs:
    live = frozenset(name[0] for name in FLEET if name != daemon.address)
    return FreshnessInputs(
        daemon.tail_read_s, daemon.offset, tuple(daemon.statements.values()), live
    )


def step(fleet: Fleet, side: set[str], at_log: bool, tail: int, now_s: float) -> None:
    for name in side & set(fleet):
        if at_log:
            fleet[name] = fleet[name]._replace(tail_read_s=now_s, offset=tail)
    for name in side:
        for peer in side - {name}:
            age_s = decide_freshness(inputs_of(fleet[peer]), now_s).fresh_age_s
            offset = fleet[peer].offset
            statement = PeerStatement(peer, peer[0], age_s, offset, now_s)
            fleet[name].statements[peer] = statement


class WithdrawalTests(unittest.TestCase):
    """Network cuts between data centres with the log reachable on any of the sides."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        cut=st.sets(st.sampled_from("abc")),
        log_sides=st.sets(st.booleans()),
        cut_at=st.integers(0, 12),
        withdrawn_at=st.integers(0, 12),
    )
    def test_a_withdrawn_key_stops_working_everywhere_within_the_bound(
        self, cut: set[str], log_sides: set[bool], cut_at: int, withdrawn_at: int
    ) -> None:
        fleet = {name: Daemon(name, 0.0, 0, {}) for name in FLEET}
        # A log that no VM reaches is an outage for all, even if others can reach it.
        occupied = {name[0] in cut for name in FLEET}
        readable = bool(log_sides & occupied)
        withdrawn_s: float | None = None
        for tick in range(30):
            now_s = tick * STEP_S
            is_cut = tick >= cut_at
            if tick >= withdrawn_at and (readable or not is_cut):
                withdrawn_s = now_s if withdrawn_s is None else withdrawn_s
            tail = 0 if withdrawn_s is None else 1
            if not is_cut:
                step(fleet, set(FLEET), True, tail, now_s)
            else:
                for side in (False, True):
                    names = {name for name in FLEET if (name[0] in cut) is side}
                    step(fleet, names, side in log_sides, tail, now_s)
            for daemon in fleet.values():
                self.check(daemon, withdrawn_s, now_s)

    def check(self, daemon: Daemon, withdrawn_s: float | None, now_s: float) -> None:
        if withdrawn_s is None or now_s < withdrawn_s + STOP_BOUND_S:
            return
        if daemon.offset < 1:
            decision = decide_freshness(inputs_of(daemon), now_s)
            self.assertTrue(decision.keys_closed, (daemon.address, decision.reason))
