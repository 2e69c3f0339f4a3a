"""Says, for every failed attempt, whether the request may have run.

Each hop reports a verdict and the caller sees it, so that a retry is made only
where it can do no harm.
"""

from enum import Enum
from typing import Final, NamedTuple, final


@final
class Verdict(Enum):
    """What is known about the execution of a request that got no whole answer."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Failure(NamedTuple):
    """Why a request got no whole answer, as every hop reports it.

    Attributes
    ----------
    verdict : Verdict
        Whether the request may have run.
    code : str
        A short machine-readable reason, such as ``rate_exceeded``.
    detail : str
        A sentence for the caller that says what to do next.
    http_status : int
        The status that the caller is given.
    retry_after_s : float or None
        When coming back makes sense; None when it does not.
    """

    verdict: Verdict
    code: str
    detail: str
    http_status: int
    retry_after_s: float | None = None


_CERTAINTY: Final = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Return the verdict on a request that was attempted twice.

    Parameters
    ----------
    first, second : Verdict
        What is known of each attempt.

    Returns
    -------
    Verdict
        The stronger claim: a request ran if either attempt ran.
    """
    return max(first, second, key=_CERTAINTY.__getitem__)


def may_retry(verdict: Verdict, *, idempotent: bool) -> bool:
    """Return whether another attempt can do no harm.

    Parameters
    ----------
    verdict : Verdict
        The verdict on all attempts so far.
    idempotent : bool
        Whether running the request again has no further effect.
    """
    return idempotent or verdict is Verdict.NOT_RUN
