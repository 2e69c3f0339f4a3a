"""Callers' requests and servers' answers: the platform's headers."""

from typing import Final

from result import Err, Ok, Result

from _pistachiopond.http1.messages import (
    RawHeaders,
    Request,
    RequestHead,
    ResponseHead,
    end_to_end_headers,
)
from _pistachiopond.platform.settings import MS_PER_S
from _pistachiopond.schema.caller_request import (
    AnswerKind,
    CallerRequest,
    ForwardTerms,
    PromptPart,
)

ATTEMPT_ID: Final = b"x-attempt-id"
RETRY_AFTER: Final = b"Retry-After"
# Set by the system for the server, whatever the caller sent.
_OWN_HEADERS: Final = frozenset(
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
_SINGLE_HEADERS: Final = (
    ATTEMPT_ID,
    b"host",
    b"x-key",
    b"x-deadline-ms",
    b"x-model",
    b"x-token-counts",
    b"x-prompt-prefix",
)
MAX_RANK: Final = 9


def decode_request(head: RequestHead) -> Result[CallerRequest, str]:
    """Return what a request's headers say, or what is wrong with them."""
    single: dict[bytes, str] = {}
    for name, value in head.headers:
        lower = name.lower()
        if lower in _SINGLE_HEADERS:
            if lower in single:
                return Err(f"the header {lower.decode()} stands twice")
            single[lower] = value.decode("latin-1").strip()
    if not single.get(ATTEMPT_ID):
        return Err("the header x-attempt-id is missing")
    try:
        return Ok(_decode(head, single))
    except ValueError as error:
        return Err(str(error))


def _decode(head: RequestHead, single: dict[bytes, str]) -> CallerRequest:
    model, _, adapter = single.get(b"x-model", "").partition("/")
    counts = single.get(b"x-token-counts")
    tokens = [int(part) for part in counts.split(",")] if counts else None
    if tokens is not None and (len(tokens) != 2 or min(tokens) < 0):
        raise ValueError(f"{counts!r} is not a pair of token counts")
    deadline_ms = single.get(b"x-deadline-ms")
    return CallerRequest(
        attempt_id=single[ATTEMPT_ID],
        host=single.get(b"host", "").lower(),
        path=head.target.partition(b"?")[0].decode("latin-1"),
        key=single.get(b"x-key"),
        deadline_s=float(deadline_ms) / MS_PER_S if deadline_ms else None,
        model=model,
        adapter=adapter,
        prompt_tokens=tokens[0] if tokens else None,
        max_output_tokens=tokens[1] if tokens else None,
        prompt=_prompt(single.get(b"x-prompt-prefix", "")),
    )


def _prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else ():
        part_id, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def encode_forwarded(request: Request, terms: ForwardTerms) -> Request:
    """Return the request as a server gets it."""
    headers = [
        (name, value)
        for name, value in end_to_end_headers(request.head.headers)
        if name.lower() not in _OWN_HEADERS
    ]
    if terms.resume_after is not None:
        headers = [item for item in headers if item[0].lower() != b"last-event-id"]
        headers.append((b"Last-Event-Id", terms.resume_after.encode()))
    headers.append((b"X-Expect-Instance", terms.server_id.encode()))
    headers.append((b"X-Deadline-Ms", b"%d" % max(1, terms.deadline_s * MS_PER_S)))
    rank = min(MAX_RANK, max(0, terms.urgency_rank))
    headers.append((b"X-Request-Priority", b"%d" % rank))
    if terms.customer is not None:
        headers.append((b"X-Tenant", terms.customer.encode()))
    head = RequestHead(request.head.method, request.head.target, headers)
    return Request(head, request.body)


def is_answer_to(attempt_id: str, head: ResponseHead) -> bool:
    """Return whether a response belongs to the request of that id."""
    value = head.value(ATTEMPT_ID)
    return value is not None and value.decode("latin-1").strip() == attempt_id


def classify_answer(head: ResponseHead) -> AnswerKind:
    """Return what a server's answer says about the request."""
    if head.status == 421:
        return "not_here"
    if head.value(b"x-not-executed") is not None:
        return "not_run"
    # Towards callers these codes say that the request has not run; a server that
    # sends one without the header above does not say so.
    if head.status in (408, 429, 503):
        return "unclear"
    return "success" if 200 <= head.status < 300 else "failure"


def answer_headers(head: ResponseHead) -> RawHeaders:
    """Return the headers of a server's answer that go on to the caller."""
    return [
        item
        for item in end_to_end_headers(head.headers)
        if item[0].lower() != b"content-length"
    ]


def refusal_headers(attempt_id: str, retry_after_s: float | None) -> RawHeaders:
    """Return the headers of the system's own answers."""
    headers: RawHeaders = [(b"X-Attempt-Id", attempt_id.encode("latin-1"))]
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
    return headers
