"""The users' measures, taken from what happened to each request of a replay."""

from collections.abc import Callable, Iterable
from typing import Literal, NamedTuple, final

from _pistachiopond.decisions.deadlines import (
    FIRST_TOKEN_TARGET_S,
    TOKEN_GAP_TARGET_S,
)
from _pistachiopond.replay.trace import TraceRecord

Ending = Literal["answered", "over_rate", "refused", "cut_off", "unfinished"]


@final
class Fate:
    """What happened to one request."""

    def __init__(self, record: TraceRecord) -> None:
        self.record = record
        self.ending: Ending = "unfinished"
        self.code = ""
        self.first_token_s: float | None = None
        self.finished_s: float | None = None

    def delay_s(self) -> float:
        """Return the first-token delay; a very long one if there was none."""
        if self.first_token_s is None:
            return 1e9
        return self.first_token_s - self.record.arrival_s

    def gap_s(self) -> float:
        """Return the mean time between tokens."""
        if self.first_token_s is None or self.finished_s is None:
            return 1e9
        return (self.finished_s - self.first_token_s) / max(
            1, self.record.output_tokens
        )

    def meets_target(self) -> bool:
        """Return whether it was answered whole and within its targets."""
        if self.ending != "answered":
            return False
        if self.record.urgency == "batch":
            return True
        is_first_in_time = self.delay_s() <= FIRST_TOKEN_TARGET_S
        return is_first_in_time and self.gap_s() <= TOKEN_GAP_TARGET_S


class Counts(NamedTuple):
    """What the simulator counted beside the requests."""

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


def take_measures(fates: Iterable[Fate], counts: Counts, heavy: str | None) -> Measures:
    """Return the measures of a run by name.

    Parameters
    ----------
    fates : iterable of Fate
        One for each request of the trace.
    counts : Counts
        From the simulator.
    heavy : str or None
        The customer that sends several times its rate, if any.
    """
    entitled = [fate for fate in fates if fate.ending != "over_rate"]
    prompt = [fate for fate in entitled if fate.record.urgency != "batch"]
    batch = [fate for fate in entitled if fate.record.urgency == "batch"]
    others = [fate for fate in prompt if fate.record.customer != heavy]
    refused = sum(1 for fate in entitled if fate.ending == "refused")
    cut_off = sum(1 for fate in entitled if fate.ending in ("cut_off", "unfinished"))
    met_tokens = sum(f.record.output_tokens for f in entitled if f.meets_target())
    delays = [fate.delay_s() for fate in prompt]
    return {
        "requests": float(len(entitled)),
        "first_token_attainment": _share(
            prompt, lambda fate: fate.delay_s() <= FIRST_TOKEN_TARGET_S
        ),
        "token_gap_attainment": _share(
            prompt, lambda fate: fate.gap_s() <= TOKEN_GAP_TARGET_S
        ),
        "attainment": _share(prompt, Fate.meets_target),
        "worst_customer_attainment": _worst(prompt),
        "other_customers_attainment": _share(others, Fate.meets_target),
        "other_customers_p95_s": quantile([fate.delay_s() for fate in others], 0.95),
        "first_token_p50_s": quantile(delays, 0.50),
        "first_token_p95_s": quantile(delays, 0.95),
        "batch_answered": _share(batch, Fate.meets_target),
        "met_tokens_per_accelerator_s": met_tokens
        / (counts.seconds * max(1, counts.accelerators)),
        "wrongful_refusals": float(refused),
        "wrongful_refusal_share": refused / max(1, len(entitled)),
        "cut_off_share": cut_off / max(1, len(entitled)),
        "model_moves": float(counts.moves),
        "wasted_work_share": counts.wasted_tokens / max(1.0, counts.generated_tokens),
        "unreachable_models": float(counts.unreachable_models),
        "memory_over_mb": counts.memory_over_mb,
        "order_appends_per_s": counts.order_appends / counts.seconds,
        "attempts_per_request": counts.attempts / max(1, len(entitled)),
    }


def quantile(values: list[float], share: float) -> float:
    """Return the smallest value that `share` of the values do not exceed."""
    if not values:
        return 0.0
    place = min(len(values) - 1, int(share * len(values)))
    return sorted(values)[place]


def _share(fates: list[Fate], is_met: Callable[[Fate], bool]) -> float:
    if not fates:
        return 1.0
    return sum(1 for fate in fates if is_met(fate)) / len(fates)


def _worst(fates: list[Fate]) -> float:
    customers: dict[str, list[Fate]] = {}
    for fate in fates:
        customers.setdefault(fate.record.customer, []).append(fate)
    return min(
        (_share(own, Fate.meets_target) for own in customers.values()), default=1.0
    )
