"""The failures with which a dispatcher answers requests."""

from typing import Final

from _pistachiopond.decisions.dispatch_types import AttemptFailed
from _pistachiopond.schema.verdict import Failure, Verdict

UNREACHABLE_RETRY_S: Final = 5.0
STOPPING_RETRY_S: Final = 1.0

_DETAILS: Final = {
    "output_began": "the answer broke off after it began; send the request again",
    "may_have_run": "the request may have run and must not run twice; check its effect",
    "attempts_used": "several backend servers failed; send the request again later",
    "time_used": "no backend server answered in time; send the request again later",
    "budget_used": "too many retries are being made now; send the request again later",
    "stopping": "this process is stopping; send the request again",
}


def unknown_model(model: str | None) -> Failure:
    """Return the failure of a request for a model that is not in the manifest."""
    return Failure(
        Verdict.NOT_RUN,
        "unknown_model",
        f"no model {model!r} is served here; choose one that /v1/models lists",
        404,
    )


def unreachable(verdict: Verdict) -> Failure:
    """Return the failure when no suitable server was reachable for the hold time."""
    return Failure(
        verdict,
        "unreachable",
        "no backend server that can run this is reachable; send it again later",
        503,
        UNREACHABLE_RETRY_S,
    )


def crashing(verdict: Verdict) -> Failure:
    """Return the failure of a request that crashed backend servers."""
    return Failure(
        verdict,
        "crashing_request",
        "backend servers crashed while running this request; change it or wait",
        422,
    )


def stopping(verdict: Verdict) -> Failure:
    """Return the failure of a request to a process that is shutting down."""
    return Failure(verdict, "stopping", _DETAILS["stopping"], 503, STOPPING_RETRY_S)


def attempts_failed(
    verdict: Verdict, event: AttemptFailed, reason: str, retry_s: float
) -> Failure:
    """Return the failure of a request whose last attempt failed.

    Parameters
    ----------
    verdict : Verdict
        The combined verdict on all attempts.
    event : AttemptFailed
        The failure of the last attempt.
    reason : str
        Why the request is not retried; a key of `_DETAILS`.
    retry_s : float
        The delay after which the caller should retry if the request did not run.
    """
    status = 504 if event.kind in ("timeout", "silent") else 502
    if verdict is Verdict.NOT_RUN:
        wait_s = max(retry_s, event.server_retry_after_s or 0.0)
        return Failure(verdict, event.kind, _DETAILS[reason], 503, wait_s)
    return Failure(verdict, event.kind, _DETAILS[reason], status)
