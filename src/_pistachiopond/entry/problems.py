"""Formats failures as RFC 9457 problem details that OpenAI clients also understand."""

import json
import math
from typing import Any, Final

from _pistachiopond.schema.verdict import Failure, Verdict

PROBLEM_TYPE: Final = b"application/problem+json"
TYPE_PREFIX: Final = "urn:pistachiopond:problem:"

_TITLES: Final = {
    400: "Bad request",
    401: "Key missing or unknown",
    403: "Not allowed",
    404: "Not found",
    405: "Method not allowed",
    408: "Request too slow",
    409: "Conflict",
    413: "Body too large",
    415: "Unsupported content",
    422: "Not consistent",
    429: "Too many tokens",
    500: "Internal error",
    502: "Backend server failed",
    503: "Not available now",
    504: "Too late",
}
_OPENAI_TYPES: Final = {
    401: "authentication_error",
    403: "permission_error",
    429: "rate_limit_error",
}


def bad_request(code: str, detail: str, status: int = 400) -> Failure:
    """Return the refusal of an invalid request."""
    return Failure(Verdict.NOT_RUN, code, detail, status)


def unavailable(code: str, detail: str, retry_after_s: float | None) -> Failure:
    """Return the refusal of a request that may be sent again later."""
    return Failure(Verdict.NOT_RUN, code, detail, 503, retry_after_s)


def problem_details(failure: Failure) -> dict[str, Any]:
    """Return the problem details of a failure, as data for JSON."""
    status = failure.http_status
    kind = _OPENAI_TYPES.get(status)
    if kind is None:
        kind = "invalid_request_error" if status < 500 else "server_error"
    problem: dict[str, Any] = {
        "type": TYPE_PREFIX + failure.code,
        "title": _TITLES.get(status, "Request failed"),
        "status": status,
        "detail": failure.detail,
        "verdict": failure.verdict.value,
        "error": {
            "message": failure.detail,
            "type": kind,
            "param": None,
            "code": failure.code,
        },
    }
    if failure.retry_after_s is not None:
        problem["retry_after_s"] = failure.retry_after_s
    return problem


def problem_body(failure: Failure) -> bytes:
    """Return the problem details as JSON."""
    return json.dumps(problem_details(failure)).encode()


def problem_headers(failure: Failure) -> list[tuple[bytes, bytes]]:
    """Return the headers of a response with these problem details."""
    headers = [
        (b"content-type", PROBLEM_TYPE),
        (b"x-verdict", failure.verdict.value.encode()),
    ]
    if failure.retry_after_s is not None:
        seconds = max(1, math.ceil(failure.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    if not _client_may_resend(failure):
        headers.append((b"x-should-retry", b"false"))
    if failure.http_status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    return headers


def problem_event(failure: Failure) -> bytes:
    """Return the problem details as the final event of a failed stream."""
    return b"event: error\ndata: " + problem_body(failure) + b"\n\n"


def _client_may_resend(failure: Failure) -> bool:
    if failure.verdict is not Verdict.NOT_RUN:
        return False
    return failure.retry_after_s is not None
