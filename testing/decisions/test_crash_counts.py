"""Tests of which requests are held to crash their servers."""

import unittest

from _pistachiopond.decisions.crash_counts import (
    CRASHES_TO_REFUSE,
    UNSETTLED_S,
    CrashCounts,
    Cutoff,
)


def standing(counts: CrashCounts, now_s: float) -> dict[str, str]:
    return {s.fingerprint: s.standing for s in counts.view(now_s).suspects}


def crash(counts: CrashCounts, fingerprint: str, started_ms: int) -> None:
    now_s = float(started_ms)
    counts.cut_off(Cutoff(fingerprint, "s1", started_ms), now_s)
    counts.settle({"s1": started_ms}, now_s + 0.5)
    counts.settle({"s1": started_ms + 1}, now_s + 0.9)


class CrashCountsTests(unittest.TestCase):
    def test_a_request_is_refused_after_its_third_crash_and_not_before(self) -> None:
        counts = CrashCounts()
        for number in range(CRASHES_TO_REFUSE - 1):
            crash(counts, "f", number)
        self.assertEqual(standing(counts, 3.0), {"f": "probation"})
        crash(counts, "f", CRASHES_TO_REFUSE - 1)
        self.assertEqual(standing(counts, 4.0), {"f": "refused"})

    def test_one_crash_seen_by_several_vms_counts_once(self) -> None:
        counts = CrashCounts()
        for _ in range(5):
            counts.cut_off(Cutoff("f", "s1", 0), 0.0)
        counts.settle({}, 1.0)
        counts.cut_off(Cutoff("f", "s1", 0), 1.1)
        counts.settle({}, 1.2)
        self.assertEqual(standing(counts, 2.0), {"f": "probation"})

    def test_broken_connections_to_servers_that_live_accuse_nobody(self) -> None:
        counts = CrashCounts()
        for number in range(10):
            counts.cut_off(Cutoff("f", f"s{number}", 0), 0.0)
        servers = {f"s{number}": 0 for number in range(10)}
        self.assertFalse(counts.settle(servers, UNSETTLED_S + 1.0))
        self.assertFalse(counts.settle({}, UNSETTLED_S + 2.0))
        self.assertEqual(standing(counts, UNSETTLED_S + 3.0), {})

    def test_a_run_to_the_end_clears_a_request(self) -> None:
        counts = CrashCounts()
        for number in range(CRASHES_TO_REFUSE - 1):
            crash(counts, "f", number)
        counts.cut_off(Cutoff("f", "s2", 0), 3.0)
        counts.cleared("f", 3.1)
        counts.settle({}, 3.2)
        self.assertEqual(standing(counts, 4.0), {})


if __name__ == "__main__":
    unittest.main()
