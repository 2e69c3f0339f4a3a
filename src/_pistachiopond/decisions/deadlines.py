"""The first-token target, the maximum queueing time and the retry delay.

Refusing a request that is within its customer's rate limit counts as a failure, so a
queued request is refused only after the maximum queueing time of its class, and not
when it misses its target. `retry_after_s` estimates how long the queue takes to drain
at the observed dispatch rate.
"""

from typing import Final

from _pistachiopond.schema.manifest import Urgency
from _pistachiopond.schema.verdict import Failure, Verdict

FIRST_TOKEN_TARGET_S: Final = 0.46
TOKEN_GAP_TARGET_S: Final = 0.029
MAX_WAIT_S: Final[dict[Urgency, float]] = {
    "urgent": 120.0,
    "normal": 300.0,
    "batch": 3_600.0,
}
MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0
INTERVAL_SMOOTHING: Final = 0.05


def smooth_interval(interval_s: float, gap_s: float) -> float:
    """Return the moving average of the dispatch interval, given the latest one."""
    return interval_s + INTERVAL_SMOOTHING * (min(gap_s, 1.0) - interval_s)


def retry_after_s(waiting: int, interval_s: float) -> float:
    """Return the estimated time until the queue has drained, within bounds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, waiting * interval_s))


def is_late(urgency: Urgency, waited_s: float) -> bool:
    """Return whether a queued request has already missed its first-token target."""
    return urgency != "batch" and waited_s > FIRST_TOKEN_TARGET_S


def has_exceeded_max_wait(urgency: Urgency, waited_s: float) -> bool:
    """Return whether a request has been queued longer than its class allows."""
    return waited_s > MAX_WAIT_S[urgency]


def overloaded(verdict: Verdict, retry_s: float) -> Failure:
    """Return the failure of a request that waited too long or met a full queue."""
    return Failure(
        verdict,
        "overloaded",
        "no backend server had room in time; send the request again later",
        503,
        retry_s,
    )
