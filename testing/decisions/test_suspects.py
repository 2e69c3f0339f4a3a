"""Tests of telling requests that crash servers from innocent ones."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.decisions.suspects import (
    PERMIT_LIFETIME_S,
    PROBATION_S,
    REFUSAL_S,
    SUSPECTED_S,
    Permits,
    SuspectTable,
)
from _pistachiopond.schema.suspects import CrashRecord, RequestRecord


def confirmed(
    crash_id: str, *names: str, on_probation: tuple[str, ...] = ()
) -> CrashRecord:
    return CrashRecord("confirmed", crash_id, names, on_probation)


def standings(table: SuspectTable, now_s: float) -> dict[str, str]:
    return {item.fingerprint: item.standing for item in table.view(now_s).suspects}


class SuspectTableTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = SuspectTable()

    def test_a_crash_puts_all_requests_of_the_server_on_probation(self) -> None:
        self.table.apply(CrashRecord("suspected", "r1", ("bad", "good")), 0.0)
        self.assertEqual(
            standings(self.table, 1.0), {"bad": "probation", "good": "probation"}
        )
        self.assertEqual(standings(self.table, SUSPECTED_S), {})

    def test_a_crash_on_probation_refuses_for_a_time(self) -> None:
        self.table.apply(confirmed("c1", "bad", "good"), 0.0)
        self.table.apply(confirmed("c2", "bad", on_probation=("bad",)), 5.0)
        self.assertEqual(standings(self.table, 6.0)["bad"], "refused")
        self.assertEqual(standings(self.table, 6.0)["good"], "probation")
        self.assertFalse(self.table.is_refused("bad", 5.0 + REFUSAL_S))

    def test_two_crashes_refuse_a_request_that_ran_in_both(self) -> None:
        self.table.apply(confirmed("c1", "bad", "good"), 0.0)
        self.table.apply(confirmed("c2", "bad", "other"), 0.1)
        self.assertEqual(
            standings(self.table, 1.0),
            {"bad": "refused", "good": "probation", "other": "probation"},
        )

    def test_a_crash_in_several_records_counts_once(self) -> None:
        self.table.apply(confirmed("c1", "good"), 0.0)
        self.table.apply(confirmed("c1", "good"), 0.2)
        self.assertFalse(self.table.is_refused("good", 1.0))

    def test_unconfirmed_crashes_never_refuse(self) -> None:
        for number in range(9):
            record = CrashRecord("suspected", f"r{number}", ("good",), ("good",))
            self.table.apply(record, float(number))
        self.assertFalse(self.table.is_refused("good", 9.0))

    def test_a_completed_request_is_cleared(self) -> None:
        self.table.apply(confirmed("c1", "good"), 0.0)
        self.table.apply(CrashRecord("cleared", "", ("good",)), 1.0)
        self.assertEqual(standings(self.table, 2.0), {})
        self.table.apply(confirmed("c2", "good"), 3.0)
        self.assertFalse(self.table.is_refused("good", 4.0))

    def test_completion_does_not_clear_a_refused_request(self) -> None:
        self.table.apply(confirmed("c1", "bad", on_probation=("bad",)), 0.0)
        self.table.apply(CrashRecord("cleared", "", ("bad",)), 1.0)
        self.assertTrue(self.table.is_refused("bad", 2.0))

    def test_old_crashes_are_forgotten(self) -> None:
        self.table.apply(confirmed("c1", "good"), 0.0)
        self.table.apply(confirmed("c2", "good"), PROBATION_S + 1.0)
        self.assertFalse(self.table.is_refused("good", PROBATION_S + 2.0))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(repeats=st.lists(st.integers(0, 3), max_size=20))
    def test_repeated_records_change_no_standing(self, repeats: list[int]) -> None:
        records = (
            CrashRecord("suspected", "r", ("a", "b", "c")),
            confirmed("c1", "a", "b"),
            confirmed("c2", "b", "c", on_probation=("b",)),
            CrashRecord("suspected", "r2", ("c",)),
        )
        for record in records:
            self.table.apply(record, 0.0)
        before = standings(self.table, 1.0)
        for index in repeats:
            self.table.apply(records[index], 0.0)
        self.assertEqual(standings(self.table, 1.0), before)


class AdoptedRecordTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = SuspectTable(3)
        for number in range(3):
            self.table.apply(confirmed(f"c{number}", "bad"), float(number))
        self.table.apply(confirmed("c0", "once"), 0.0)
        for number in range(2):
            self.table.apply(confirmed(f"c{number}", "twice"), 0.0)

    def test_the_next_table_refuses_for_the_rest_of_the_time_only(self) -> None:
        records = self.table.records(100.0)
        self.assertEqual({r.fingerprint for r in records}, {"bad", "twice"})
        new = SuspectTable(3)
        self.assertEqual([new.adopt(r, 100.0) for r in records], [True, True])
        self.assertEqual([new.adopt(r, 101.0) for r in records], [False, False])
        self.assertEqual(
            standings(new, 101.0), {"bad": "refused", "twice": "probation"}
        )
        self.assertAlmostEqual(new.refused_for_s("bad", 101.0), 801.0)
        refused = [s for s in new.view(101.0).suspects if s.standing == "refused"]
        self.assertAlmostEqual(refused[0].expires_in_s, 801.0)

    def test_crashes_known_to_different_members_add_up(self) -> None:
        new = SuspectTable(3)
        new.adopt(RequestRecord("f", 0.0, ("c1", "c2")), 0.0)
        new.adopt(RequestRecord("f", 0.0, ("c2", "c3")), 0.0)
        self.assertTrue(new.is_refused("f", 1.0))
        # What is adopted again does not refuse for longer.
        for at_s in range(100, 800, 100):
            new.adopt(RequestRecord("f", 900.0 - at_s, ("c1", "c2", "c3")), at_s)
        self.assertFalse(new.is_refused("f", REFUSAL_S + 1.0))


class PermitsTests(unittest.TestCase):
    def test_only_one_run_of_a_suspect_is_permitted_at_a_time(self) -> None:
        permits = Permits()
        self.assertEqual(permits.ask("bad", 0.0), 0.0)
        self.assertEqual(permits.ask("bad", 20.0), PERMIT_LIFETIME_S - 20.0)
        self.assertEqual(permits.ask("other", 20.0), 0.0)
        permits.end("bad")
        self.assertEqual(permits.ask("bad", 21.0), 0.0)
        self.assertEqual(permits.ask("bad", 22.0 + PERMIT_LIFETIME_S), 0.0)
