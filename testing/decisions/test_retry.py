"""Tests of the retry rule and of the retry budgets."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.decisions.dispatch_types import AttemptFailed
from _pistachiopond.decisions.retry import RetryBudgets, decide_retry
from _pistachiopond.schema.verdict import Verdict

VERDICTS = st.sampled_from(list(Verdict))


def make_event(verdict: Verdict, *, attempt: int = 1) -> AttemptFailed:
    return AttemptFailed("1", attempt, verdict, "reset", None, False)


class RetryRuleTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(VERDICTS, min_size=1, max_size=8))
    def test_a_non_idempotent_request_is_not_retried_if_it_may_have_run(
        self, verdicts: list[Verdict]
    ) -> None:
        budgets = RetryBudgets()
        for verdict in verdicts:
            decision = decide_retry(
                budgets,
                make_event(verdict),
                customer="c",
                idempotent=False,
                verdict=verdict,
                waited_s=0.0,
            )
            self.assertEqual(decision.is_allowed, verdict is Verdict.NOT_RUN)

    def test_one_customer_cannot_use_the_whole_budget(self) -> None:
        budgets = RetryBudgets()
        for _ in range(100):
            budgets.spend("storm", 1.0)
        self.assertTrue(budgets.spend("calm", 1.0))
        self.assertFalse(budgets.spend("storm", 1.0))

    def test_first_attempts_refill_the_budget(self) -> None:
        budgets = RetryBudgets()
        while budgets.spend("c", 1.0):
            pass
        for _ in range(11):
            budgets.add_first_attempt("c")
        self.assertTrue(budgets.spend("c", 1.0))

    def test_the_number_of_attempts_is_bounded(self) -> None:
        for verdict in (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN):
            budgets = RetryBudgets()
            decisions = [
                decide_retry(
                    budgets,
                    make_event(verdict, attempt=attempt),
                    customer="c",
                    idempotent=True,
                    verdict=verdict,
                    waited_s=0.0,
                )
                for attempt in range(1, 12)
            ]
            self.assertEqual(sum(decision.is_allowed for decision in decisions), 3)

    def test_the_time_for_retries_is_bounded(self) -> None:
        decisions = [
            decide_retry(
                RetryBudgets(),
                make_event(Verdict.NOT_RUN, attempt=2),
                customer="c",
                idempotent=True,
                verdict=Verdict.NOT_RUN,
                waited_s=waited_s,
            )
            for waited_s in (9.9, 10.0)
        ]
        self.assertEqual([item.is_allowed for item in decisions], [True, False])
