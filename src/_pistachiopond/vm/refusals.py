"""The system's own answers to callers, each with a log line."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from _pistachiopond.http1.server import Responder
from _pistachiopond.observe.logs import log_change
from _pistachiopond.platform.requests import refusal_headers

RETRY_SOON_S: Final = 0.2


class Refusal(NamedTuple):
    """Why a request gets no answer of a backend server.

    Attributes
    ----------
    status : int
        429 and 503 say that the request has not run and never will.
    code : str
        A short reason for machines.
    retry_after_s : float or None
        When coming back makes sense.
    facts : mapping
        What decided it, for the log.
    """

    status: int
    code: str
    retry_after_s: float | None = None
    facts: Mapping[str, object] = MappingProxyType({})


async def answer_refusal(
    responder: Responder, attempt_id: str, refusal: Refusal
) -> None:
    """Write the answer and its log line."""
    log_change(
        "request refused",
        request=attempt_id,
        status=refusal.status,
        code=refusal.code,
        retry_after_s=refusal.retry_after_s,
        **refusal.facts,
    )
    headers = refusal_headers(attempt_id, refusal.retry_after_s)
    headers.append((b"Content-Type", b"application/json"))
    body = json.dumps({"code": refusal.code}).encode()
    await responder.answer(refusal.status, headers, body)
