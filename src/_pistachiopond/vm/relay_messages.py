"""How a VM passes a request on to another VM: the caller's request with one header.

The VM that forwards the request answers with the server's response. Its own refusals
carry a header that says whether the request has not run.
"""

import json
from typing import Annotated, Final, NotRequired, TypedDict

from msgspec import Meta
from result import Err, Ok, Result

from _pistachiopond.http1.messages import Request, RequestHead, ResponseHead
from _pistachiopond.platform.requests import (
    classify_response,
    encode_relayed,
    promises_not_run,
)
from _pistachiopond.schema.caller_request import ResponseKind
from _pistachiopond.schema.json_decoding import Count, Number, make_decoder
from _pistachiopond.schema.relayed_request import RelayedRequest

RELAY_HEADER: Final = b"Pond-Relay"
VERDICT_HEADER: Final = b"Pond-Verdict"
# Far beyond the ranks that operators give.
MAX_RANK: Final = 1_000_000
NOT_RUN: Final = b"not_run"
MAY_HAVE_RUN: Final = b"may_have_run"


class _Header(TypedDict):
    """The fields of `RelayedRequest`; older builds send neither of the last two."""

    route: str
    service: str
    customer: str | None
    rank: Annotated[int, Meta(ge=-MAX_RANK, le=MAX_RANK)]
    left_s: Number
    max_servers: Count
    fingerprint: str
    first_attempt_id: NotRequired[str | None]
    is_trial: NotRequired[bool]


_decode_header: Final = make_decoder(_Header)


def encode_relay(
    request: Request, relayed: RelayedRequest, resume_after: str | None
) -> Request:
    """Return the request in the form that is sent to another VM."""
    plain = encode_relayed(request, resume_after)
    value = json.dumps(relayed._asdict()).encode()
    head = plain.head._replace(headers=[*plain.head.headers, (RELAY_HEADER, value)])
    return Request(head, plain.body)


def decode_relay(request: Request) -> Result[tuple[Request, RelayedRequest], str]:
    """Return the caller's request and the first VM's decisions, or an error text."""
    head = request.head
    values = head.values(RELAY_HEADER.lower())
    if len(values) != 1:
        return Err(f"{len(values)} headers {RELAY_HEADER.decode()} instead of one")
    decoded = _decode_header(values[0])
    if decoded.is_err():
        return Err(decoded.err())
    relayed = RelayedRequest(**decoded.ok())
    headers = [item for item in head.headers if item[0].lower() != RELAY_HEADER.lower()]
    plain_head = RequestHead(head.method, head.target, headers)
    return Ok((Request(plain_head, request.body), relayed))


def verdict_of(status: int) -> bytes:
    """Return the verdict that a refusal with a status of this system's own gives."""
    return NOT_RUN if promises_not_run(status) else MAY_HAVE_RUN


def classify_relayed(head: ResponseHead) -> ResponseKind:
    """Return what became of a request, according to the response of another VM."""
    verdict = head.value(VERDICT_HEADER.lower())
    if verdict is None:
        return classify_response(head)
    return "not_run" if verdict == NOT_RUN else "unclear"
