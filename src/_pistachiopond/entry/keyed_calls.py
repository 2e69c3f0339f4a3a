"""Runs a call that must not run twice and carries an ``Idempotency-Key``.

Once it is dispatched it goes on to its end although its caller leaves, so that the
outcome is recorded and a caller that comes back is told of it.
"""

import hashlib
from typing import NamedTuple

import anyio

from _pistachiopond.entry.admission import Admitted, Work
from _pistachiopond.entry.exchange import DispatchPort, Exchange, Head
from _pistachiopond.entry.headers import RawHeaders
from _pistachiopond.entry.ports import CallClaim, CallOutcome, Calls, KeptAnswer
from _pistachiopond.entry.problems import PROBLEM_TYPE, problem_body
from _pistachiopond.schema.verdict import Failure, Verdict

REPLAY_HEADER = (b"x-idempotent-replay", b"true")
TEXT_TYPE = "application/octet-stream"


class WholeAnswer(NamedTuple):
    """An answer that has been read to its end."""

    status: int
    headers: RawHeaders
    body: bytes


async def run_keyed_call(
    calls: Calls,
    dispatch: DispatchPort,
    admitted: Admitted,
    work: Work,
    exchange: Exchange,
) -> WholeAnswer | Failure:
    """Claim the key, run the call once, and record how it ended."""
    key = admitted.target.idempotency_key or ""
    key_digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    claimed = await calls.claim(
        admitted.customer, admitted.route.path_prefix, key_digest, work.request_digest
    )
    if claimed.is_err():
        return claimed.err()
    kept = claimed.ok()
    if isinstance(kept, KeptAnswer):
        headers = [(b"content-type", kept.content_type.encode()), REPLAY_HEADER]
        return WholeAnswer(kept.status, headers, kept.body)
    with anyio.CancelScope(shield=True):
        return await _run_claimed(calls, dispatch, kept, exchange)


async def _run_claimed(
    calls: Calls, dispatch: DispatchPort, claim: CallClaim, exchange: Exchange
) -> WholeAnswer | Failure:
    dispatch.submit(exchange)
    head = Head(502, [])
    body: list[bytes] = []
    async for part in exchange.parts:
        if isinstance(part, Head):
            head = part
        else:
            body.append(part.data)
    if exchange.failure is not None:
        await calls.finish(claim, _outcome_of_failure(exchange.failure))
        return exchange.failure
    whole = WholeAnswer(head.status, _without_length(head.headers), b"".join(body))
    outcome = CallOutcome(True, whole.status, whole.body, _content_type(whole))
    await calls.finish(claim, outcome)
    return whole


def _outcome_of_failure(failure: Failure) -> CallOutcome:
    return CallOutcome(
        ran=failure.verdict is not Verdict.NOT_RUN,
        status=failure.http_status,
        body=problem_body(failure),
        content_type=PROBLEM_TYPE.decode(),
    )


def _without_length(headers: RawHeaders) -> RawHeaders:
    return [item for item in headers if item[0] != b"content-length"]


def _content_type(whole: WholeAnswer) -> str:
    for name, value in whole.headers:
        if name == b"content-type":
            return value.decode("latin-1")
    return TEXT_TYPE
