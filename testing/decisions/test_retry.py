"""Tests of the rule and the budgets of retries."""

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
    def test_not_idempotent_work_never_runs_after_it_may_have_run(
        self, verdicts: list[Verdict]
    ) -> None:
        budgets = RetryBudgets()
        for verdict in verdicts:
            answer = decide_retry(
                budgets,
                make_event(verdict),
                customer="c",
                idempotent=False,
                verdict=verdict,
            )
            self.assertEqual(answer.is_allowed, verdict is Verdict.NOT_RUN)

    def test_one_customer_cannot_use_the_whole_budget(self) -> None:
        budgets = RetryBudgets()
        for _ in range(100):
            budgets.spend("storm", 1.0)
        self.assertTrue(budgets.spend("calm", 1.0))
        self.assertFalse(budgets.spend("storm", 1.0))

    def test_first_attempts_earn_retries_back(self) -> None:
        budgets = RetryBudgets()
        while budgets.spend("c", 1.0):
            pass
        for _ in range(11):
            budgets.first_attempt("c")
        self.assertTrue(budgets.spend("c", 1.0))

    def test_attempts_end_and_more_are_made_while_none_ran(self) -> None:
        allowed = {}
        for verdict in (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN):
            budgets = RetryBudgets()
            answers = [
                decide_retry(
                    budgets,
                    make_event(verdict, attempt=attempt),
                    customer="c",
                    idempotent=True,
                    verdict=verdict,
                )
                for attempt in range(1, 12)
            ]
            allowed[verdict] = sum(answer.is_allowed for answer in answers)
        self.assertEqual(allowed[Verdict.NOT_RUN], 7)
        self.assertEqual(allowed[Verdict.MAY_HAVE_RUN], 3)
