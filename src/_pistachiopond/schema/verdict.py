"""Verdicts on whether the request of a failed attempt may have run.

Each hop reports a verdict, up to the caller, so that a request is retried only where a
second run does no harm.
"""

from enum import Enum
from typing import Final, NamedTuple, final


@final
class Verdict(Enum):
    """Whether a request without a complete response was executed."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Failure(NamedTuple):
    """Why a request got no complete response, as reported by each hop.

    Attributes
    ----------
    verdict : Verdict
        Whether the request may have run.
    code : str
        A short machine-readable reason, such as ``rate_exceeded``.
    detail : str
        A message that tells the caller what to do next.
    http_status : int
        The HTTP status returned to the caller.
    retry_after_s : float or None
        The delay before a retry; None if a retry is not useful.
    """

    verdict: Verdict
    code: str
    detail: str
    http_status: int
    retry_after_s: float | None = None


_CERTAINTY: Final = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Return the combined verdict on two attempts of a request.

    Parameters
    ----------
    first, second : Verdict
        The verdict on each attempt.

    Returns
    -------
    Verdict
        The stronger claim: a request ran if either attempt ran.
    """
    return max(first, second, key=_CERTAINTY.__getitem__)


def may_retry(verdict: Verdict, *, idempotent: bool) -> bool:
    """Return whether another attempt is safe.

    Parameters
    ----------
    verdict : Verdict
        The verdict on all attempts so far.
    idempotent : bool
        Whether running the request again has no further effect.
    """
    return idempotent or verdict is Verdict.NOT_RUN
