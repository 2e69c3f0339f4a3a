"""The first-token deadline, and answers that are given before it is worth waiting.

A refusal within the customer's rate counts as a failure, so a waiting request is
given up only when its class's patience has ended. `retry_after_s` is the time in
which the queue ahead would drain at the pace seen.
"""

from typing import Final

from _pistachiopond.schema.manifest import Urgency
from _pistachiopond.schema.verdict import Failure, Verdict

FIRST_TOKEN_TARGET_S: Final = 0.46
TOKEN_GAP_TARGET_S: Final = 0.029
PATIENCE_S: Final[dict[Urgency, float]] = {
    "urgent": 120.0,
    "normal": 300.0,
    "batch": 3_600.0,
}
MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0
PACE_SMOOTHING: Final = 0.05


def smooth_pace(pace_s: float, gap_s: float) -> float:
    """Return the smoothed time between dispatches, given the latest gap."""
    return pace_s + PACE_SMOOTHING * (min(gap_s, 1.0) - pace_s)


def retry_after_s(waiting: int, pace_s: float) -> float:
    """Return in how many seconds the queue would have drained."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, waiting * pace_s))


def is_late(urgency: Urgency, waited_s: float) -> bool:
    """Return whether the first token of a waiting request will be late for sure."""
    return urgency != "batch" and waited_s > FIRST_TOKEN_TARGET_S


def is_out_of_patience(urgency: Urgency, waited_s: float) -> bool:
    """Return whether a waiting request has waited for as long as its class does."""
    return waited_s > PATIENCE_S[urgency]


def waited_too_long(verdict: Verdict, retry_s: float) -> Failure:
    """Return the answer to a request that has waited for too long."""
    return Failure(
        verdict,
        "overloaded",
        "no backend server had room in time; send the request again later",
        503,
        retry_s,
    )
