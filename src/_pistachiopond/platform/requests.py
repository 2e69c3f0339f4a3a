"""The platform's HTTP headers in callers' requests and servers' responses."""

from typing import Final

from result import Err, Ok, Result

from _pistachiopond.http1.messages import (
    RawHeaders,
    Request,
    RequestHead,
    ResponseHead,
    remove_hop_by_hop_headers,
)
from _pistachiopond.platform.settings import MS_PER_S
from _pistachiopond.schema.caller_request import (
    CallerRequest,
    ForwardContext,
    PromptPart,
    ResponseKind,
    ResumedStream,
)

ATTEMPT_ID: Final = b"x-attempt-id"
_LAST_EVENT_ID: Final = b"last-event-id"
_RESUMES: Final = b"resumes"
# Fields of stream events besides those of the format, all with numbers.
EVENT_NUMBER_FIELDS: Final = frozenset({b"x-weight-versions"})
# Attempt ids are short; a longer value is not one.
_MAX_ATTEMPT_ID_BYTES: Final = 256
# Of one request or of a part of its prompt; far more than a server's memory holds.
MAX_TOKENS: Final = 1_000_000_000
RETRY_AFTER: Final = b"Retry-After"
# Removed from callers' requests, since only this system may send them to servers.
_SYSTEM_HEADERS: Final = frozenset(
    {
        b"x-key",
        b"x-tenant",
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"content-length",
    }
)
_UNREPEATABLE_HEADERS: Final = (
    ATTEMPT_ID,
    b"host",
    b"x-key",
    b"x-deadline-ms",
    b"x-model",
    b"x-token-counts",
    b"x-prompt-prefix",
)
# What decides how a request runs; a caller can't have these removed on the way.
_END_TO_END_HEADERS: Final = frozenset(
    {*_UNREPEATABLE_HEADERS, _LAST_EVENT_ID, _RESUMES, b"x-length-hint"}
)
MAX_PRIORITY: Final = 9
# In responses to callers these codes promise that the request has not run.
_NOT_RUN_STATUSES: Final = (408, 429, 503)


def decode_request(head: RequestHead) -> Result[CallerRequest, str]:
    """Return what a request's headers contain, or the reason why they are invalid."""
    values: dict[bytes, str] = {}
    for name, value in head.headers:
        lower = name.lower()
        if lower in _UNREPEATABLE_HEADERS:
            if lower in values:
                return Err(f"the header {lower.decode()} is duplicated")
            values[lower] = value.decode("latin-1").strip()
    if not values.get(ATTEMPT_ID):
        return Err("the header x-attempt-id is missing")
    try:
        return Ok(_decode(head, values))
    except ValueError as error:
        return Err(str(error))


def _decode(head: RequestHead, values: dict[bytes, str]) -> CallerRequest:
    model, _, adapter = values.get(b"x-model", "").partition("/")
    counts = values.get(b"x-token-counts")
    tokens = [_decode_tokens(part) for part in counts.split(",")] if counts else None
    if tokens is not None and len(tokens) != 2:
        raise ValueError(f"{counts[:100]!r} is not a pair of token counts")
    deadline_ms = values.get(b"x-deadline-ms")
    return CallerRequest(
        attempt_id=values[ATTEMPT_ID],
        host=values.get(b"host", "").lower(),
        path=head.target.partition(b"?")[0].decode("latin-1"),
        key=values.get(b"x-key"),
        deadline_s=float(deadline_ms) / MS_PER_S if deadline_ms else None,
        model=model,
        adapter=adapter,
        prompt_tokens=tokens[0] if tokens else None,
        max_output_tokens=tokens[1] if tokens else None,
        prompt=_decode_prompt(values.get(b"x-prompt-prefix", "")),
        resumed=_decode_resumed(head),
    )


def _decode_resumed(head: RequestHead) -> ResumedStream | None:
    event_ids = [value.strip() for value in head.values(_LAST_EVENT_ID)]
    if not any(event_ids):
        return None
    is_number = len(event_ids) == 1 and event_ids[0].isdigit()
    last_event_id = int(event_ids[0]) if is_number else None
    names = [value.strip() for value in head.values(_RESUMES)]
    if not names:
        return ResumedStream(None, "no first attempt named", last_event_id)
    if len(set(names)) > 1:
        return ResumedStream(None, "several first attempts named", last_event_id)
    name = names[0]
    is_legible = name.isascii() and name.decode("latin-1").isprintable()
    if not name or len(name) > _MAX_ATTEMPT_ID_BYTES or not is_legible:
        return ResumedStream(None, "first attempt not legible", last_event_id)
    return ResumedStream(name.decode("ascii"), "", last_event_id)


def _decode_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else ():
        part_id, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(part_id, _decode_tokens(tokens)))
    return tuple(parts)


def _decode_tokens(text: str) -> int:
    tokens = int(text)
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError(f"a number of tokens is not from 0 to {MAX_TOKENS}")
    return tokens


def encode_forwarded(request: Request, context: ForwardContext) -> Request:
    """Return the request in the form that is sent to a server."""
    headers = _forwarded_headers(request.head, context.resume_after)
    headers.append((b"X-Expect-Instance", context.server_id.encode()))
    headers.append((b"X-Deadline-Ms", b"%d" % max(1, context.deadline_s * MS_PER_S)))
    rank = min(MAX_PRIORITY, max(0, context.urgency_rank))
    headers.append((b"X-Request-Priority", b"%d" % rank))
    if context.customer is not None:
        headers.append((b"X-Tenant", context.customer.encode()))
    head = RequestHead(request.head.method, request.head.target, headers)
    return Request(head, request.body)


def encode_relayed(request: Request, resume_after: str | None) -> Request:
    """Return the request in the form that another VM forwards, without a key.

    Parameters
    ----------
    request : Request
        The caller's request.
    resume_after : str or None
        The last stream event that the caller has received.
    """
    headers = _forwarded_headers(request.head, resume_after)
    head = RequestHead(request.head.method, request.head.target, headers)
    return Request(head, request.body)


def _forwarded_headers(head: RequestHead, resume_after: str | None) -> RawHeaders:
    headers = [
        (name, value)
        for name, value in remove_hop_by_hop_headers(head.headers, _END_TO_END_HEADERS)
        if name.lower() not in _SYSTEM_HEADERS
    ]
    if resume_after is not None:
        headers = [item for item in headers if item[0].lower() != _LAST_EVENT_ID]
        headers.append((b"Last-Event-Id", resume_after.encode()))
    return headers


def is_response_to(attempt_id: str, head: ResponseHead) -> bool:
    """Return whether a response carries the id of the request, and no other id.

    The head of a response that is cut off goes on with that of the next response on the
    connection, so it has the ids of both.
    """
    values = [value for name, value in head.headers if name.lower() == ATTEMPT_ID]
    return len(values) == 1 and values[0].decode("latin-1").strip() == attempt_id


def is_response_to_call(head: ResponseHead) -> bool:
    """Return whether a response can be one to a call of this system itself.

    Such calls have no id, so a response with an id is one to a caller's request.
    """
    return head.value(ATTEMPT_ID) is None


def classify_response(head: ResponseHead) -> ResponseKind:
    """Return what became of the request, according to a server's response."""
    if head.status == 421:
        return "not_here"
    if head.value(b"x-not-executed") is not None:
        return "not_run"
    # A server that sends one of these codes without the header above gives no such
    # promise, so the code must not be relayed.
    if head.status in _NOT_RUN_STATUSES:
        return "unclear"
    return "success" if 200 <= head.status < 300 else "failure"


def promises_not_run(status: int) -> bool:
    """Return whether a refusal with this status promises that nothing has run."""
    return status in _NOT_RUN_STATUSES or 400 <= status < 500


def response_headers(head: ResponseHead) -> RawHeaders:
    """Return the headers of a server's response that are relayed to the caller."""
    return [
        item
        for item in remove_hop_by_hop_headers(head.headers)
        if item[0].lower() != b"content-length"
    ]


def refusal_headers(attempt_id: str, retry_after_s: float | None) -> RawHeaders:
    """Return the headers of an error response that this system itself gives."""
    headers: RawHeaders = [(b"X-Attempt-Id", attempt_id.encode("latin-1"))]
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
    return headers
