"""Decides whether a failed attempt may be followed by another.

Another attempt is made only where it can do no harm, and only within budgets for
the customer and for the process: each first attempt adds a fraction of a retry,
so that a brown-out of the backend servers is never amplified by more than that
fraction. An attempt that certainly did not run costs the servers little, and is
charged less.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.decisions.dispatch_types import AttemptFailed
from _pistachiopond.schema.verdict import Verdict, may_retry

MAX_ATTEMPTS: Final = 4
MAX_ATTEMPTS_NOT_RUN: Final = 8
RETRY_RATIO: Final = 0.1
CUSTOMER_RESERVE: Final = 10.0
PROCESS_RESERVE: Final = 30.0
NOT_RUN_COST: Final = 0.25
BACKOFF_BASE_S: Final = 0.02
BACKOFF_MAX_S: Final = 1.0


class RetryAnswer(NamedTuple):
    """Whether to try again, and after how long."""

    is_allowed: bool
    delay_s: float = 0.0
    reason: str = ""


@final
class RetryBudgets:
    """The retries that may still be made."""

    def __init__(self) -> None:
        self._process = PROCESS_RESERVE
        self._customers: dict[str, float] = {}

    def first_attempt(self, customer: str) -> None:
        """Add the part of a retry that each first attempt earns."""
        self._process = min(PROCESS_RESERVE, self._process + RETRY_RATIO)
        if customer in self._customers:
            left = self._customers[customer] + RETRY_RATIO
            self._customers[customer] = min(CUSTOMER_RESERVE, left)

    def spend(self, customer: str, cost: float) -> bool:
        """Take the cost of a retry from both budgets, or from neither."""
        left = self._customers.get(customer, CUSTOMER_RESERVE)
        if left < cost or self._process < cost:
            return False
        self._customers[customer] = left - cost
        self._process -= cost
        return True


def decide_retry(
    budgets: RetryBudgets,
    event: AttemptFailed,
    *,
    customer: str,
    idempotent: bool,
    verdict: Verdict,
) -> RetryAnswer:
    """Return whether the request may be attempted again.

    Parameters
    ----------
    budgets : RetryBudgets
        Charged when the answer is yes.
    event : AttemptFailed
        The attempt that has just failed.
    customer : str
        Whose budget it is.
    idempotent : bool
        Whether the request may run more than once.
    verdict : Verdict
        The combination over all attempts so far.
    """
    if event.output_began:
        return RetryAnswer(False, reason="output_began")
    if not may_retry(verdict, idempotent=idempotent):
        return RetryAnswer(False, reason="may_have_run")
    most = MAX_ATTEMPTS_NOT_RUN if verdict is Verdict.NOT_RUN else MAX_ATTEMPTS
    if event.attempt >= most:
        return RetryAnswer(False, reason="attempts_used")
    cost = NOT_RUN_COST if event.verdict is Verdict.NOT_RUN else 1.0
    if not budgets.spend(customer, cost):
        return RetryAnswer(False, reason="budget_used")
    if event.attempt == 1:
        return RetryAnswer(True)
    return RetryAnswer(True, min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0**event.attempt))
