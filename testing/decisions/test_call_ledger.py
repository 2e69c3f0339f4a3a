"""Tests of the ledger that lets a call with an idempotency key run at most once.

The model: two processes, the deciders, append to one stream and read it
independently. An append may take effect late or not at all, and its answer may be lost.
"""

import unittest
from typing import Final

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from _pistachiopond.decisions.call_ledger import KEY_WINDOW_S, CallLedger, call_name
from _pistachiopond.schema.calls import CallRecord

CALLS: Final = ("x", "y")
DECIDERS: Final = (0, 1)


def make_claim(claim_id: str, call: str = "x", digest: str = "d") -> CallRecord:
    return CallRecord("claim", call, claim_id, digest)


class LedgerMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.log: list[CallRecord] = []
        self.in_transit: list[CallRecord] = []
        self.ledgers = [CallLedger() for _ in DECIDERS]
        self.read_offsets = [0 for _ in DECIDERS]
        self.waiting: list[tuple[int, CallRecord]] = []
        self.running: list[CallRecord] = []
        self.runs: dict[str, set[str]] = {call: set() for call in CALLS}
        self.count = 0

    @rule(
        decider=st.sampled_from(DECIDERS),
        call=st.sampled_from(CALLS),
        late=st.booleans(),
    )
    def claim(self, decider: int, call: str, late: bool) -> None:
        self.count += 1
        record = make_claim(f"c{self.count}", call)
        self.waiting.append((decider, record))
        (self.in_transit if late else self.log).append(record)

    @precondition(lambda self: self.in_transit)
    @rule(lost=st.booleans(), data=st.data())
    def arrive(self, lost: bool, data: st.DataObject) -> None:
        """Let a delayed append take effect, or lose it."""
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        record = self.in_transit.pop(index)
        if not lost:
            self.log.append(record)

    @rule(decider=st.sampled_from(DECIDERS), count=st.integers(1, 9))
    def read(self, decider: int, count: int) -> None:
        start = self.read_offsets[decider]
        for record in self.log[start : start + count]:
            self.ledgers[decider].apply(record, 0.0)
            self.read_offsets[decider] += 1

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def decide(self, data: st.DataObject) -> None:
        """Run a call if its claim was read back and has won."""
        index = data.draw(st.integers(0, len(self.waiting) - 1))
        decider, record = self.waiting[index]
        ledger = self.ledgers[decider]
        if not ledger.has_seen(record.claim_id):
            return
        self.waiting.pop(index)
        status = ledger.status(record.call, record.claim_id, record.request_digest)
        if status == "mine":
            self.runs[record.call].add(record.claim_id)
            self.running.append(record)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data(), late=st.booleans())
    def abandon(self, data: st.DataObject, late: bool) -> None:
        """Release a claim that was not read back in time."""
        index = data.draw(st.integers(0, len(self.waiting) - 1))
        _, record = self.waiting.pop(index)
        released = record._replace(kind="released")
        (self.in_transit if late else self.log).append(released)

    @precondition(lambda self: self.running)
    @rule(ran=st.booleans())
    def finish(self, ran: bool) -> None:
        record = self.running.pop()
        if not ran:
            self.runs[record.call].discard(record.claim_id)
        self.log.append(record._replace(kind="finished" if ran else "released"))

    @invariant()
    def no_call_runs_twice(self) -> None:
        for call, claims in self.runs.items():
            assert len(claims) <= 1, (call, claims)


LedgerModelTests = LedgerMachine.TestCase
LedgerModelTests.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=30
)


class CallLedgerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = CallLedger()

    def apply(self, *records: CallRecord) -> None:
        for record in records:
            self.ledger.apply(record, 0.0)

    def test_the_first_claim_wins_and_the_others_see_its_progress(self) -> None:
        self.apply(make_claim("a"), make_claim("b"))
        self.assertEqual(self.ledger.status("x", "a", "d"), "mine")
        self.assertEqual(self.ledger.status("x", "b", "d"), "in_progress")
        self.apply(CallRecord("finished", "x", "a", status=201))
        self.assertEqual(self.ledger.status("x", "b", "d"), "finished")
        self.assertEqual(self.ledger.status("x", "b", "other"), "mismatch")

    def test_a_claim_that_arrives_after_its_release_is_ignored(self) -> None:
        self.apply(CallRecord("released", "x", "a"), make_claim("a"))
        self.assertEqual(self.ledger.status("x", "a", "d"), "released")
        self.apply(make_claim("b"))
        self.assertEqual(self.ledger.status("x", "b", "d"), "mine")

    def test_a_finished_call_cannot_be_released(self) -> None:
        finished = CallRecord("finished", "x", "a")
        self.apply(make_claim("a"), finished, CallRecord("released", "x", "a"))
        self.assertEqual(self.ledger.status("x", "b", "d"), "finished")

    def test_only_one_claim_replaces_an_expired_one(self) -> None:
        self.apply(make_claim("a"))
        self.assertEqual(self.ledger.expired_claim("x", KEY_WINDOW_S - 1.0), "")
        self.assertEqual(self.ledger.expired_claim("x", KEY_WINDOW_S), "a")
        self.apply(
            make_claim("b")._replace(replaces="a"),
            make_claim("c")._replace(replaces="a"),
        )
        self.assertEqual(self.ledger.status("x", "b", "d"), "mine")
        self.assertEqual(self.ledger.status("x", "c", "d"), "in_progress")

    def test_calls_of_different_customers_never_collide(self) -> None:
        self.assertNotEqual(call_name("a", "/b", "k"), call_name("a/b", "", "k"))

    def test_old_claims_are_forgotten(self) -> None:
        self.apply(make_claim("a"))
        self.ledger.forget(2 * KEY_WINDOW_S + 1.0)
        self.assertFalse(self.ledger.has_seen("a"))
        self.assertIsNone(self.ledger.state("x"))
