"""Tests of refusals of prompts that can't start before their callers leave."""

import math
import unittest
from collections import Counter

from _pistachiopond.decisions.start_estimate import (
    CERTAIN_SHARE,
    MAX_RETURN_S,
    REFUSED_WAIT_SHARE,
    STARVATION_S,
    YIELD_SHARE,
    Patience,
    QueueView,
    StartEstimates,
)
from testing.decisions.queue_callers import PATIENT, URGENT, QueueRun

SEEDS = range(1, 5)
SLOTS = 4
STEP_S = 0.1
# Ended requests a second in these tests.
RATE_PER_S = 10.0
URGENT_CALLER = Patience(2.0, 0.5, 0, "urgent/a")
PATIENT_CALLER = Patience(6.0, 1.5, 2, "patient/a")


class LoadTests(unittest.TestCase):
    """Two routes at 1.8 times what the servers can start, for 8 s."""

    def ends(self, *, refuses: bool, factor: float = 3.0) -> Counter[tuple[int, str]]:
        ends: Counter[tuple[int, str]] = Counter()
        for seed in SEEDS:
            run = QueueRun(seed, [1.0] * 4, refuses=refuses, factor=factor)
            run.run()
            for (route, end), count in run.ends.items():
                ends[route.rank, end] += count
        return ends

    def test_fewer_requests_are_lost_and_urgent_ones_are_served(self) -> None:
        before, after = self.ends(refuses=False), self.ends(refuses=True)

        def lost(ends: Counter[tuple[int, str]], rank: int) -> int:
            return ends[rank, "left"] + ends[rank, "refused"]

        self.assertLess(lost(after, URGENT.rank), 0.2 * lost(before, URGENT.rank))
        total_before = lost(before, URGENT.rank) + lost(before, PATIENT.rank)
        total_after = lost(after, URGENT.rank) + lost(after, PATIENT.rank)
        self.assertLess(total_after, total_before)

    def test_nothing_changes_while_there_is_room(self) -> None:
        self.assertEqual(
            self.ends(refuses=False, factor=1.2), self.ends(refuses=True, factor=1.2)
        )


class StartEstimateTests(unittest.TestCase):
    def setUp(self) -> None:
        self.estimates = StartEstimates()
        self.now_s = 0.0

    def refuse(
        self, queued: float, patience: Patience, started_ms: int = 1
    ) -> float | None:
        view = QueueView("s", SLOTS + queued, SLOTS, 0.0)
        return self.estimates.refuse([view], patience, {"s": started_ms}, self.now_s)

    def learn(self, seconds: float = 3.0, started_ms: int = 1) -> None:
        """Let the server end requests while it has a short queue."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self.refuse(0.1, Patience(9.0, 9.0, 0, "other"), started_ms)
            self.estimates.record_ended({"s": round(RATE_PER_S * STEP_S)})

    def test_a_prompt_is_refused_that_its_caller_would_not_wait_for(self) -> None:
        self.learn()
        limit = REFUSED_WAIT_SHARE * URGENT_CALLER.give_up_s * RATE_PER_S
        self.assertIsNone(self.refuse(0.8 * limit, URGENT_CALLER))
        return_s = self.refuse(1.2 * limit, URGENT_CALLER)
        assert return_s is not None
        self.assertGreater(return_s, 0.5)
        # The next one is told a later time.
        self.assertGreater(self.refuse(1.2 * limit, URGENT_CALLER) or 0.0, return_s)

    def test_less_urgent_prompts_yield_to_more_urgent_ones(self) -> None:
        self.learn()
        queued = 1.1 * YIELD_SHARE * URGENT_CALLER.give_up_s * RATE_PER_S
        self.assertIsNone(self.refuse(queued, PATIENT_CALLER))
        self.assertIsNone(self.refuse(queued, URGENT_CALLER))
        self.assertIsNotNone(self.refuse(queued, PATIENT_CALLER))

    def test_a_prompt_that_certainly_is_in_time_is_not_refused(self) -> None:
        self.learn()
        hasty = Patience(0.2, 0.1, 0, "hasty/a")
        self.refuse(1.0, hasty)
        queued = 0.9 * CERTAIN_SHARE * PATIENT_CALLER.objective_s * RATE_PER_S
        self.assertIsNone(self.refuse(queued, PATIENT_CALLER))

    def test_a_customer_is_not_refused_for_longer_than_a_bound(self) -> None:
        self.learn()
        answers = []
        for _ in range(round(2.5 * STARVATION_S / STEP_S)):
            self.now_s += STEP_S
            answers.append(self.refuse(100.0, URGENT_CALLER))
            self.estimates.record_ended({"s": round(RATE_PER_S * STEP_S)})
        self.assertEqual(answers.count(None), 2)

    def test_no_later_return_is_told_than_callers_are_told(self) -> None:
        """Guards against returns that pile up, and outlast the shortage."""
        self.learn()
        told_s = [self.refuse(100.0, URGENT_CALLER) or 0.0 for _ in range(2_000)]
        self.assertEqual(max(told_s), MAX_RETURN_S)
        # When the queue is shorter, callers return as soon as the first ones.
        self.now_s += MAX_RETURN_S
        self.learn(1.0)
        queued = 1.5 * URGENT_CALLER.give_up_s * RATE_PER_S
        caller = URGENT_CALLER._replace(origin="urgent/b")
        return_s = self.refuse(queued, caller)
        assert return_s is not None
        self.assertLess(return_s, MAX_RETURN_S)
        self.assertLessEqual(
            len(self.estimates._servers["s"].returns_s), MAX_RETURN_S * RATE_PER_S
        )

    def test_nothing_is_refused_of_which_too_little_is_known(self) -> None:
        self.assertIsNone(self.refuse(1000.0, URGENT_CALLER))
        self.learn()
        # After a restart, and after a gap in the reports.
        self.assertIsNone(self.refuse(1000.0, URGENT_CALLER, started_ms=2))
        self.assertIsNone(self.refuse(1000.0, URGENT_CALLER, started_ms=2))

    def test_counts_that_make_no_sense_are_not_used(self) -> None:
        self.learn()
        for count in (-1_000, 10**9, math.nan):
            self.estimates.record_ended({"s": count, "unknown": 5})
        limit = 1.5 * URGENT_CALLER.give_up_s * RATE_PER_S
        self.now_s += STEP_S
        self.assertIsNotNone(self.refuse(limit, URGENT_CALLER))
        self.assertIsNone(self.refuse(math.nan, URGENT_CALLER))


if __name__ == "__main__":
    unittest.main()
