"""Error responses that this system itself gives to callers, each of them logged."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from _pistachiopond.http1.server import Responder
from _pistachiopond.observe.logs import log_change
from _pistachiopond.platform.requests import refusal_headers
from _pistachiopond.vm.relay_messages import VERDICT_HEADER, verdict_of

RETRY_SOON_S: Final = 0.2


class Refusal(NamedTuple):
    """An error response to a request that gets no backend server's response.

    Attributes
    ----------
    status : int
        The HTTP status; 429 and 503 promise that the request has not run and never
        will.
    code : str
        A machine-readable reason.
    retry_after_s : float or None
        When the caller should retry; None where a retry makes no sense.
    log_fields : mapping
        The facts behind the decision, for the log.
    """

    status: int
    code: str
    retry_after_s: float | None = None
    log_fields: Mapping[str, object] = MappingProxyType({})


async def send_refusal(responder: Responder, attempt_id: str, refusal: Refusal) -> None:
    """Send a refusal to the caller and log it."""
    log_change(
        "request refused",
        request=attempt_id,
        status=refusal.status,
        code=refusal.code,
        retry_after_s=refusal.retry_after_s,
        **refusal.log_fields,
    )
    headers = refusal_headers(attempt_id, refusal.retry_after_s)
    headers.append((b"Content-Type", b"application/json"))
    headers.append((VERDICT_HEADER, verdict_of(refusal.status)))
    body = json.dumps({"code": refusal.code}).encode()
    await responder.respond(refusal.status, headers, body)
