"""Runs a non-idempotent call with an ``Idempotency-Key`` at most once.

Once dispatched, the call is completed even if its caller disconnects, so that its
outcome is recorded and a caller that repeats the call receives the response.
"""

import hashlib
from typing import NamedTuple

import anyio

from _pistachiopond.entry.admission import AdmittedRequest, PreparedRequest
from _pistachiopond.entry.exchange import DispatchApi, Exchange, ResponseStart
from _pistachiopond.entry.headers import RawHeaders
from _pistachiopond.entry.problems import PROBLEM_TYPE, problem_body
from _pistachiopond.entry.service_interfaces import (
    CallClaim,
    CallOutcome,
    CallsApi,
    StoredResponse,
)
from _pistachiopond.schema.verdict import Failure, Verdict

REPLAY_HEADER = (b"x-idempotent-replay", b"true")
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class CompleteResponse(NamedTuple):
    """A response that has been read to its end."""

    status: int
    headers: RawHeaders
    body: bytes


async def run_call_once(
    calls: CallsApi,
    dispatch: DispatchApi,
    admitted: AdmittedRequest,
    prepared: PreparedRequest,
    exchange: Exchange,
) -> CompleteResponse | Failure:
    """Claim the ``Idempotency-Key``, run the call, and record its outcome.

    If the key was used before, the stored response is returned instead.
    """
    key = admitted.head.idempotency_key or ""
    key_digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    claimed = await calls.claim(
        admitted.customer,
        admitted.route.path_prefix,
        key_digest,
        prepared.request_digest,
    )
    if claimed.is_err():
        return claimed.err()
    claim_or_stored = claimed.ok()
    if isinstance(claim_or_stored, StoredResponse):
        headers = [
            (b"content-type", claim_or_stored.content_type.encode()),
            REPLAY_HEADER,
        ]
        return CompleteResponse(claim_or_stored.status, headers, claim_or_stored.body)
    with anyio.CancelScope(shield=True):
        return await _run_claimed(calls, dispatch, claim_or_stored, exchange)


async def _run_claimed(
    calls: CallsApi, dispatch: DispatchApi, claim: CallClaim, exchange: Exchange
) -> CompleteResponse | Failure:
    dispatch.submit(exchange)
    head = ResponseStart(502, [])
    body: list[bytes] = []
    async for part in exchange.response_parts:
        if isinstance(part, ResponseStart):
            head = part
        else:
            body.append(part.data)
    if exchange.failure is not None:
        await calls.finish(claim, _outcome_of_failure(exchange.failure))
        return exchange.failure
    response = CompleteResponse(
        head.status, _without_length(head.headers), b"".join(body)
    )
    outcome = CallOutcome(True, response.status, response.body, _content_type(response))
    await calls.finish(claim, outcome)
    return response


def _outcome_of_failure(failure: Failure) -> CallOutcome:
    return CallOutcome(
        ran=failure.verdict is not Verdict.NOT_RUN,
        status=failure.http_status,
        body=problem_body(failure),
        content_type=PROBLEM_TYPE.decode(),
    )


def _without_length(headers: RawHeaders) -> RawHeaders:
    return [item for item in headers if item[0] != b"content-length"]


def _content_type(response: CompleteResponse) -> str:
    for name, value in response.headers:
        if name == b"content-type":
            return value.decode("latin-1")
    return DEFAULT_CONTENT_TYPE
