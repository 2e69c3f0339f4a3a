"""Tests of folding the ``config`` stream, of stream readers and of snapshots."""

import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from _pistachiopond.clients.log import LogPage, LogRecord
from _pistachiopond.decisions.config import (
    CONFIG_FOLD,
    Accepted,
    Passed,
    Refused,
    Withdrawn,
    fold_record,
    revision_of,
)
from _pistachiopond.decisions.config_snapshots import (
    MAX_AGE_S,
    SnapshotInput,
    snapshot_due_in_s,
)
from _pistachiopond.decisions.stream_reader import StreamReader
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.manifest import BackendServer, Manifest, Model
from _pistachiopond.schema.records import (
    ConfigState,
    ManifestRecord,
    SnapshotRecord,
    WithdrawalRecord,
)

KEYS = tuple(character * 64 for character in "abcdef")


def make_manifest(replaces: int, version: str = "1", memory_mb: int = 100) -> Manifest:
    return Manifest(
        replaces_revision=replaces,
        deployment="test",
        objective="worst_served_customer",
        models=(Model("summary", version, memory_mb),),
        backend_servers=(
            BackendServer("one", "http://127.0.0.1:1", "a", "r", "k", "s", 1, 250),
        ),
        routes=(),
        customers=(),
    )


def make_publication(name: str, replaces: int, **fields: Any) -> str:
    return to_json(ManifestRecord(name, make_manifest(replaces, **fields)))


def fold_all(payloads: list[str]) -> tuple[ConfigState, list[Any]]:
    state = ConfigState()
    outcomes = []
    for offset, payload in enumerate(payloads):
        step = fold_record(state, offset, payload)
        state = step.state
        outcomes.append(step.outcome)
    return state, outcomes


class AcceptanceTests(unittest.TestCase):
    def test_the_first_of_two_conflicting_manifests_wins(self) -> None:
        state, outcomes = fold_all(
            [
                make_publication("p0", 0),
                make_publication("p1", 1),
                make_publication("p2", 1),
            ]
        )
        self.assertEqual(outcomes[1], Accepted("p1", 2))
        self.assertEqual(outcomes[2].reason, "conflict")
        self.assertIn("revision 2 is in force", outcomes[2].details[0])
        self.assertEqual(state.publication_id, "p1")

    def test_a_repeated_append_is_a_duplicate_and_no_conflict(self) -> None:
        _, outcomes = fold_all([make_publication("p0", 0), make_publication("p0", 0)])
        self.assertEqual(outcomes[1].reason, "duplicate")

    def test_a_model_that_fits_nowhere_is_refused(self) -> None:
        state, outcomes = fold_all(
            [make_publication("p0", 0), make_publication("p1", 1, memory_mb=300)]
        )
        self.assertEqual(outcomes[1].reason, "unplaceable")
        self.assertEqual(state.number, 1)

    def test_a_version_that_does_not_fit_beside_the_old_one_is_refused(self) -> None:
        _, outcomes = fold_all(
            [
                make_publication("p0", 0, memory_mb=150),
                make_publication("p1", 1, memory_mb=150, version="2"),
            ]
        )
        self.assertEqual(outcomes[1].reason, "unplaceable")
        self.assertIn("beside the old", outcomes[1].details[0])

    def test_an_invalid_manifest_is_refused_with_how_to_correct_it(self) -> None:
        manifest = make_manifest(0)
        doubled = manifest._replace(models=manifest.models * 2)
        _, outcomes = fold_all([to_json(ManifestRecord("p0", doubled))])
        self.assertEqual(outcomes[0].reason, "invalid")
        self.assertIn("list it once", outcomes[0].details[0])

    def test_a_withdrawn_key_stays_withdrawn_after_a_later_manifest(self) -> None:
        state, outcomes = fold_all(
            [
                to_json(WithdrawalRecord((KEYS[0],))),
                make_publication("p0", 0),
                to_json(WithdrawalRecord((KEYS[1],))),
                make_publication("p1", 2),
            ]
        )
        self.assertIsInstance(outcomes[0], Withdrawn)
        self.assertEqual(outcomes[3], Accepted("p1", 4))
        revision = revision_of(state)
        self.assertEqual(revision.withdrawn_digests, frozenset(KEYS[:2]))

    def test_folding_a_record_out_of_order_raises(self) -> None:
        with self.assertRaises(ValueError):
            fold_record(ConfigState(), 1, "{}")

    @given(st.text())
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_an_unreadable_record_has_no_effect(self, text: str) -> None:
        step = fold_record(ConfigState(), 0, text)
        self.assertIsInstance(step.outcome, Passed)
        self.assertEqual(step.state, ConfigState(covers_offset=0))


def page_of(log: list[str], first: int, start: int, limit: int) -> LogPage:
    start = max(start, first)
    records = tuple(
        LogRecord(offset, 0.0, log[offset])
        for offset in range(start, min(len(log), start + limit))
    )
    return LogPage(first, len(log), records)


class ReaderMachine(RuleBasedStateMachine):
    """Stateful test: states never revert, with any order of reads and retention."""

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.log: list[str] = []
        self.expected_states = [ConfigState()]
        self.first = 0
        self.readers = [StreamReader(CONFIG_FOLD) for _ in range(3)]
        self.prepared_snapshots: list[str] = []

    def add(self, payload: str) -> None:
        offset = len(self.log)
        self.log.append(payload)
        self.expected_states.append(
            fold_record(self.expected_states[-1], offset, payload).state
        )

    @rule(name=st.integers(0, 9), behind=st.integers(0, 2))
    def publish(self, name: int, behind: int) -> None:
        replaces = max(0, self.expected_states[-1].number - behind)
        self.add(make_publication(f"p{name}", replaces, version=str(name % 2)))

    @rule(key=st.sampled_from(KEYS))
    def withdraw(self, key: str) -> None:
        self.add(to_json(WithdrawalRecord((key,))))

    @rule()
    def append_garbage(self) -> None:
        self.add(self.rng.choice(["", "{}", "[1]", '{"kind":"snapshot","state":{}}']))

    @rule(index=st.integers(0, 2))
    def prepare_a_snapshot(self, index: int) -> None:
        state = self.readers[index].state
        if state is not None:
            self.prepared_snapshots.append(to_json(SnapshotRecord(state)))

    @rule()
    def append_a_prepared_snapshot(self) -> None:
        if self.prepared_snapshots:
            self.add(self.rng.choice(self.prepared_snapshots))

    @rule(index=st.integers(0, 2), limit=st.integers(1, 4))
    def read(self, index: int, limit: int) -> None:
        reader = self.readers[index]
        before = -1 if reader.state is None else reader.state.covers_offset
        start = max(0, reader.next_offset() - self.rng.randrange(2))
        reader.take_page(page_of(self.log, self.first, start, limit))
        after = -1 if reader.state is None else reader.state.covers_offset
        assert after >= before

    @rule(index=st.integers(0, 2), other=st.integers(0, 2))
    def relay(self, index: int, other: int) -> None:
        state = self.readers[other].state
        if state is not None:
            self.readers[index].take_state(state)

    @rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        self.readers[index] = StreamReader(CONFIG_FOLD)

    @rule(kept=st.integers(0, 6))
    def retention(self, kept: int) -> None:
        self.first = max(self.first, len(self.log) - kept)

    @invariant()
    def every_state_is_the_fold_of_all_records(self) -> None:
        for reader in getattr(self, "readers", ()):
            if reader.state is not None:
                assert (
                    reader.state == self.expected_states[reader.state.covers_offset + 1]
                )


ReaderMachineTests = ReaderMachine.TestCase
ReaderMachineTests.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)


class ReaderTests(unittest.TestCase):
    def test_a_new_reader_starts_from_a_snapshot_and_folds_the_rest(self) -> None:
        log = [make_publication("p0", 0), make_publication("p1", 1)]
        state, _ = fold_all(log)
        log += [to_json(SnapshotRecord(state)), to_json(WithdrawalRecord((KEYS[0],)))]
        reader = StreamReader(CONFIG_FOLD)
        reader.take_page(page_of(log, 2, 0, 10))
        self.assertTrue(reader.is_complete)
        self.assertEqual(reader.state, fold_all(log)[0])

    def test_a_snapshot_followed_by_missing_records_is_not_used(self) -> None:
        log = [make_publication("p0", 0)]
        old, _ = fold_all(log)
        log += [make_publication("p1", 1), to_json(SnapshotRecord(old))]
        reader = StreamReader(CONFIG_FOLD)
        reader.take_page(page_of(log, 2, 0, 10))
        self.assertIsNone(reader.state)

    def test_a_log_that_lost_its_last_records_does_not_revert_the_state(self) -> None:
        log = [make_publication("p0", 0), make_publication("p1", 1)]
        reader = StreamReader(CONFIG_FOLD)
        reader.take_page(page_of(log, 0, 0, 10))
        page = page_of(log[:1], 0, reader.next_offset(), 10)
        reader.take_page(page)
        self.assertEqual(reader.state.number, 2)
        self.assertTrue(reader.has_lost_records)
        self.assertFalse(reader.is_at_tail(page))


def snapshot_input(**fields: Any) -> SnapshotInput:
    base = SnapshotInput(
        covers_offset=9,
        first_offset=5,
        next_offset=10,
        last_snapshot_offset=9,
        last_snapshot_age_s=1.0,
        oldest_record_age_s=100.0,
        rank=0,
    )
    return base._replace(**fields)


class SnapshotTests(unittest.TestCase):
    def test_no_snapshot_is_due_after_a_recent_one(self) -> None:
        self.assertIsNone(snapshot_due_in_s(snapshot_input()))

    def test_a_snapshot_is_due_when_the_last_is_in_the_older_half(self) -> None:
        self.assertEqual(snapshot_due_in_s(snapshot_input(last_snapshot_offset=6)), 0.0)
        self.assertEqual(snapshot_due_in_s(snapshot_input(last_snapshot_age_s=60)), 0.0)

    def test_a_snapshot_is_due_by_age_without_new_records(self) -> None:
        facts = snapshot_input(first_offset=0, last_snapshot_age_s=MAX_AGE_S)
        self.assertEqual(snapshot_due_in_s(facts), 0.0)

    def test_lower_ranked_writers_wait(self) -> None:
        facts = snapshot_input(last_snapshot_offset=-1, rank=2)
        self.assertEqual(snapshot_due_in_s(facts), 6.0)


class RefusedTests(unittest.TestCase):
    def test_every_refusal_has_details(self) -> None:
        _, outcomes = fold_all([make_publication("p0", 5)])
        self.assertIsInstance(outcomes[0], Refused)
        self.assertTrue(outcomes[0].details)
