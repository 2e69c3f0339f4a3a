"""Decides whether to retry a failed attempt.

An attempt is retried only if that is safe, and only within retry budgets for the
customer and for the process. Each first attempt adds a fraction of a retry to the
budgets, so that retries amplify the load on overloaded servers by no more than that
fraction. An attempt that certainly did not run costs the servers little, and retrying
it is charged less.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.decisions.dispatch_types import AttemptFailed
from _pistachiopond.schema.verdict import Verdict, may_retry

MAX_ATTEMPTS: Final = 4
RETRY_WINDOW_S: Final = 10.0
RETRIES_PER_REQUEST: Final = 0.1
MAX_CUSTOMER_RETRIES: Final = 10.0
MAX_PROCESS_RETRIES: Final = 30.0
NOT_RUN_COST: Final = 0.25
BACKOFF_BASE_S: Final = 0.02
BACKOFF_MAX_S: Final = 1.0


class RetryDecision(NamedTuple):
    """Whether to retry, after which delay, or for which reason not."""

    is_allowed: bool
    delay_s: float = 0.0
    reason: str = ""


@final
class RetryBudgets:
    """Retry budgets of the process and of each customer."""

    def __init__(self) -> None:
        self._process = MAX_PROCESS_RETRIES
        self._customers: dict[str, float] = {}

    def add_first_attempt(self, customer: str) -> None:
        """Add the fraction of a retry that each first attempt earns."""
        self._process = min(MAX_PROCESS_RETRIES, self._process + RETRIES_PER_REQUEST)
        if customer in self._customers:
            left = self._customers[customer] + RETRIES_PER_REQUEST
            self._customers[customer] = min(MAX_CUSTOMER_RETRIES, left)

    def spend(self, customer: str, cost: float) -> bool:
        """Deduct the cost of a retry from both budgets, or from neither."""
        left = self._customers.get(customer, MAX_CUSTOMER_RETRIES)
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
    waited_s: float,
) -> RetryDecision:
    """Return whether to retry the request.

    Parameters
    ----------
    budgets : RetryBudgets
        The budgets, charged if the request is retried.
    event : AttemptFailed
        The attempt that has just failed.
    customer : str
        The customer whose budget is charged.
    idempotent : bool
        Whether the request may run more than once.
    verdict : Verdict
        The combined verdict on all attempts so far.
    waited_s : float
        The time since the request arrived. It is bounded because each failure of a
        service's only server ejects that server for longer, so that a caller could
        otherwise wait for very long.
    """
    if event.output_began:
        return RetryDecision(False, reason="output_began")
    if not may_retry(verdict, idempotent=idempotent):
        return RetryDecision(False, reason="may_have_run")
    if waited_s >= RETRY_WINDOW_S:
        return RetryDecision(False, reason="time_used")
    if event.attempt >= MAX_ATTEMPTS:
        return RetryDecision(False, reason="attempts_used")
    cost = NOT_RUN_COST if event.verdict is Verdict.NOT_RUN else 1.0
    if not budgets.spend(customer, cost):
        return RetryDecision(False, reason="budget_used")
    if event.attempt == 1:
        return RetryDecision(True)
    return RetryDecision(True, min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0**event.attempt))
