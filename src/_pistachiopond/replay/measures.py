"""The measures of a replay, computed from the results of its requests."""

from collections.abc import Callable, Iterable
from typing import Literal, NamedTuple, final

from _pistachiopond.decisions.deadlines import (
    FIRST_TOKEN_TARGET_S,
    TOKEN_GAP_TARGET_S,
)
from _pistachiopond.replay.trace import TraceRecord

RequestStatus = Literal["answered", "over_rate", "refused", "cut_off", "unfinished"]


@final
class RequestResult:
    """What happened to one request.

    Attributes
    ----------
    record : TraceRecord
        The request.
    status : str
        ``over_rate`` when the customer exceeded its rate, ``refused`` when the
        request was refused without having run, ``cut_off`` when its daemon was or
        went down, or it failed after output had begun or after it may have run,
        ``unfinished`` until it ends.
    code : str
        The failure's code, if it failed.
    first_token_s, finished_s : float or None
        When the first and the last token reached the entry daemon.
    """

    def __init__(self, record: TraceRecord) -> None:
        self.record = record
        self.status: RequestStatus = "unfinished"
        self.code = ""
        self.first_token_s: float | None = None
        self.finished_s: float | None = None

    def first_token_delay_s(self) -> float:
        """Return the first-token delay; a very long one if there was none."""
        if self.first_token_s is None:
            return 1e9
        return self.first_token_s - self.record.arrival_s

    def mean_token_gap_s(self) -> float:
        """Return the mean time between tokens; a very long one if unfinished."""
        if self.first_token_s is None or self.finished_s is None:
            return 1e9
        return (self.finished_s - self.first_token_s) / max(
            1, self.record.output_tokens
        )

    def meets_target(self) -> bool:
        """Return whether it was answered completely and within its targets."""
        if self.status != "answered":
            return False
        if self.record.urgency == "batch":
            return True
        is_first_in_time = self.first_token_delay_s() <= FIRST_TOKEN_TARGET_S
        return is_first_in_time and self.mean_token_gap_s() <= TOKEN_GAP_TARGET_S


class Counts(NamedTuple):
    """Totals of a replay that don't belong to single requests."""

    seconds: float
    accelerators: int
    moves: int
    generated_tokens: float
    wasted_tokens: float
    unreachable_models: int
    memory_over_mb: float
    order_appends: int
    attempts: int
    events: int


Measures = dict[str, float]


def compute_measures(
    results: Iterable[RequestResult], counts: Counts, heavy: str | None
) -> Measures:
    """Return the measures of a replay by name.

    Requests over their customer's rate count in none of them.

    Parameters
    ----------
    results : iterable of RequestResult
        One for each request of the trace.
    counts : Counts
        From the simulator.
    heavy : str or None
        The customer that sends several times its rate, if any.
    """
    within_rate = [result for result in results if result.status != "over_rate"]
    interactive = [result for result in within_rate if result.record.urgency != "batch"]
    batch = [result for result in within_rate if result.record.urgency == "batch"]
    others = [result for result in interactive if result.record.customer != heavy]
    refused = sum(1 for result in within_rate if result.status == "refused")
    cut_off = sum(
        1 for result in within_rate if result.status in ("cut_off", "unfinished")
    )
    met_tokens = sum(r.record.output_tokens for r in within_rate if r.meets_target())
    delays = [result.first_token_delay_s() for result in interactive]
    return {
        "requests": float(len(within_rate)),
        "first_token_attainment": _share(
            interactive,
            lambda result: result.first_token_delay_s() <= FIRST_TOKEN_TARGET_S,
        ),
        "token_gap_attainment": _share(
            interactive, lambda result: result.mean_token_gap_s() <= TOKEN_GAP_TARGET_S
        ),
        "attainment": _share(interactive, RequestResult.meets_target),
        "worst_customer_attainment": _worst_customer_share(interactive),
        "other_customers_attainment": _share(others, RequestResult.meets_target),
        "other_customers_p95_s": quantile(
            [result.first_token_delay_s() for result in others], 0.95
        ),
        "first_token_p50_s": quantile(delays, 0.50),
        "first_token_p95_s": quantile(delays, 0.95),
        "batch_answered": _share(batch, RequestResult.meets_target),
        "met_tokens_per_accelerator_s": met_tokens
        / (counts.seconds * max(1, counts.accelerators)),
        "wrongful_refusals": float(refused),
        "wrongful_refusal_share": refused / max(1, len(within_rate)),
        "cut_off_share": cut_off / max(1, len(within_rate)),
        "model_moves": float(counts.moves),
        "wasted_work_share": counts.wasted_tokens / max(1.0, counts.generated_tokens),
        "unreachable_models": float(counts.unreachable_models),
        "memory_over_mb": counts.memory_over_mb,
        "order_appends_per_s": counts.order_appends / counts.seconds,
        "attempts_per_request": counts.attempts / max(1, len(within_rate)),
    }


def quantile(values: list[float], share: float) -> float:
    """Return the value at that share of the sorted values; 0 if there are none."""
    if not values:
        return 0.0
    index = min(len(values) - 1, int(share * len(values)))
    return sorted(values)[index]


def _share(
    results: list[RequestResult], is_met: Callable[[RequestResult], bool]
) -> float:
    """Return the share of results that satisfy the predicate; 1 for no results."""
    if not results:
        return 1.0
    return sum(1 for result in results if is_met(result)) / len(results)


def _worst_customer_share(results: list[RequestResult]) -> float:
    """Return the share of met targets of the customer that was served worst."""
    by_customer: dict[str, list[RequestResult]] = {}
    for result in results:
        by_customer.setdefault(result.record.customer, []).append(result)
    return min(
        (_share(group, RequestResult.meets_target) for group in by_customer.values()),
        default=1.0,
    )
