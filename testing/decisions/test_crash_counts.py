"""Tests of counting the crashes that each request was running in."""

import unittest

from _pistachiopond.decisions.crash_counts import (
    CHECK_S,
    CONFIRMATION_TIMEOUT_S,
    CRASHES_TO_REFUSE,
    ENTRY_LAPSE_S,
    CrashCounts,
    LostConnection,
)
from _pistachiopond.schema.deployment import Incarnation
from _pistachiopond.schema.suspects import RequestRecord


def standing(counts: CrashCounts, now_s: float) -> dict[str, str]:
    return {s.fingerprint: s.standing for s in counts.view(now_s).suspects}


def unheard(incarnation: Incarnation) -> float:
    return float("-inf")


def crash(counts: CrashCounts, fingerprint: str, started_ms: int) -> None:
    now_s = float(started_ms)
    counts.record_lost_connection(LostConnection(fingerprint, "s1", started_ms), now_s)
    counts.count_confirmed({"s1": started_ms}, now_s + 0.5)
    counts.count_confirmed({"s1": started_ms + 1}, now_s + 0.9)


class CrashCountsTests(unittest.TestCase):
    def test_a_request_is_refused_only_after_its_third_crash(self) -> None:
        counts = CrashCounts()
        for number in range(CRASHES_TO_REFUSE - 1):
            crash(counts, "f", number)
        self.assertEqual(standing(counts, 3.0), {"f": "probation"})
        crash(counts, "f", CRASHES_TO_REFUSE - 1)
        self.assertEqual(standing(counts, 4.0), {"f": "refused"})

    def test_a_crash_reported_by_several_vms_counts_once(self) -> None:
        counts = CrashCounts()
        for _ in range(5):
            counts.record_lost_connection(LostConnection("f", "s1", 0), 0.0)
        counts.count_confirmed({}, 1.0)
        counts.record_lost_connection(LostConnection("f", "s1", 0), 1.1)
        counts.count_confirmed({}, 1.2)
        self.assertEqual(standing(counts, 2.0), {"f": "probation"})

    def test_lost_connections_to_running_servers_are_not_counted(self) -> None:
        counts = CrashCounts()
        for number in range(10):
            counts.record_lost_connection(LostConnection("f", f"s{number}", 0), 0.0)
        servers = {f"s{number}": 0 for number in range(10)}
        self.assertFalse(counts.count_confirmed(servers, CONFIRMATION_TIMEOUT_S + 1.0))
        self.assertFalse(counts.count_confirmed({}, CONFIRMATION_TIMEOUT_S + 2.0))
        self.assertEqual(standing(counts, CONFIRMATION_TIMEOUT_S + 3.0), {})

    def test_a_request_is_held_once_unconfirmed_crashes_would_be_enough(self) -> None:
        counts = CrashCounts()
        crash(counts, "f", 0)
        counts.record_lost_connection(LostConnection("f", "s2", 0), 1.0)
        # The same crash, seen by another VM, and another request.
        counts.record_lost_connection(LostConnection("f", "s2", 0), 1.1)
        counts.record_lost_connection(LostConnection("g", "s3", 0), 1.1)
        self.assertEqual(counts.held(2.0, unheard), {})
        counts.record_lost_connection(LostConnection("f", "s3", 0), 2.0)
        self.assertEqual(counts.held(2.0, unheard), {})
        held = counts.held(2.0 + CHECK_S, unheard)
        self.assertEqual(list(held), ["f"])
        self.assertAlmostEqual(held["f"], ENTRY_LAPSE_S - CHECK_S)
        # The servers still have their entries, so they have not crashed.
        self.assertEqual(counts.held(2.0 + ENTRY_LAPSE_S, unheard), {})
        self.assertEqual(standing(counts, 2.0 + ENTRY_LAPSE_S), {"f": "probation"})

    def test_crashes_reported_again_to_a_new_leader_hold_no_request(self) -> None:
        counts = CrashCounts()
        ids = ("s1/0", "s2/0")
        counts.adopt(RequestRecord("f", 0.0, ids), 0.0)
        for number in (1, 2):
            counts.record_lost_connection(LostConnection("f", f"s{number}", 0), 0.0)
        self.assertEqual(counts.held(1.0, unheard), {})

    def test_connections_lost_by_servers_that_are_alive_hold_no_request(self) -> None:
        # Each row: when s1, which ended a connection at 10 s, is heard of, and if it
        # is alive. Bytes may be on their way; later, another process has its address.
        rows = ((9.0, False), (10.02, False), (10.3, True), (13.3, False))
        for at_s, is_alive in rows:
            with self.subTest(at_s):
                counts = CrashCounts()
                for number in range(CRASHES_TO_REFUSE):
                    lost = LostConnection("f", f"s{number}", 0)
                    counts.record_lost_connection(lost, 10.0)
                heard_s = {("s1", 0): at_s}
                held = counts.held(
                    13.4, lambda name, heard_s=heard_s: heard_s.get(name, 0.0)
                )
                self.assertEqual(list(held), [] if is_alive else ["f"])

    def test_a_server_that_was_alive_may_crash_at_the_next_loss(self) -> None:
        counts = CrashCounts()
        for number in range(CRASHES_TO_REFUSE):
            counts.record_lost_connection(LostConnection("f", f"s{number}", 0), 10.0)
        self.assertEqual(counts.held(10.5, lambda _: 10.4), {})
        for number in range(CRASHES_TO_REFUSE):
            counts.record_lost_connection(LostConnection("f", f"s{number}", 0), 11.0)
        self.assertEqual(list(counts.held(11.8, lambda _: 10.4)), ["f"])

    def test_a_completed_run_ends_a_hold(self) -> None:
        counts = CrashCounts()
        for number in range(CRASHES_TO_REFUSE):
            counts.record_lost_connection(LostConnection("f", f"s{number}", 0), 0.0)
        self.assertEqual(list(counts.held(1.0, unheard)), ["f"])
        counts.record_completed("f", 1.1)
        self.assertEqual(counts.held(1.1, unheard), {})

    def test_a_completed_run_clears_a_request(self) -> None:
        counts = CrashCounts()
        for number in range(CRASHES_TO_REFUSE - 1):
            crash(counts, "f", number)
        counts.record_lost_connection(LostConnection("f", "s2", 0), 3.0)
        counts.record_completed("f", 3.1)
        counts.count_confirmed({}, 3.2)
        self.assertEqual(standing(counts, 4.0), {})


if __name__ == "__main__":
    unittest.main()
