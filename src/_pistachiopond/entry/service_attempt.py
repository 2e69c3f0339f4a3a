"""An attempt at a plain service: its whole answer, or a verdict.

Answers are read to their end before any of it is forwarded, as far as they fit into
`BUFFER_BYTES`. A larger one is forwarded as it comes, and its caller's connection is
aborted when it breaks, so that a part never looks like the whole.
"""

from typing import Final

import httpx

from _pistachiopond.entry.attempts import (
    CONNECT_TIMEOUT_S,
    WRITE_TIMEOUT_S,
    AnswerFault,
    Attempt,
    AttemptResult,
    check_answer,
    failed,
    fault_of,
    finished,
    own_headers,
    retry_after_of,
    says_not_run,
    still_accepts,
)
from _pistachiopond.entry.exchange import Head, Piece, ServiceCall
from _pistachiopond.entry.headers import HOP_HEADERS, OWN_HEADERS, RawHeaders
from _pistachiopond.schema.verdict import Verdict

IDEMPOTENT_TIMEOUT_S: Final = 10.0
ONCE_TIMEOUT_S: Final = 30.0
BUFFER_BYTES: Final = 1024 * 1024
EVENT_STREAM: Final = "text/event-stream"


async def run_service_attempt(attempt: Attempt, call: ServiceCall) -> AttemptResult:
    """Send the call to the service and hand its answer on.

    Parameters
    ----------
    attempt : Attempt
        Where to and with what.
    call : ServiceCall
        The call.

    Returns
    -------
    AttemptFinished or AttemptFailed
        For the dispatcher.
    """
    try:
        await _use_connection(attempt, call)
        attempt.exchange.finish()
        return finished(attempt)
    except AnswerFault as fault:
        if fault.kind == "reset" and await still_accepts(attempt.start.url):
            # A broken connection alone is no sign that the server has crashed.
            fault = AnswerFault(fault.verdict, "server_error")
        return failed(attempt, fault)


async def _use_connection(attempt: Attempt, call: ServiceCall) -> None:
    url = attempt.start.url + call.raw_path
    if call.query:
        url += "?" + call.query
    own = [
        (name.encode(), value.encode()) for name, value in own_headers(attempt).items()
    ]
    request = attempt.http.build_request(
        call.method,
        url,
        content=call.body or None,
        headers=[*call.headers, *own],
        timeout=_timeout(call),
    )
    try:
        response = await attempt.http.send(request, stream=True)
        try:
            check_answer(attempt, response)
            _refuse_not_run(response)
            await _hand_over(attempt, response)
        finally:
            await response.aclose()
    except httpx.HTTPError as error:
        raise fault_of(error) from error


def _timeout(call: ServiceCall) -> httpx.Timeout:
    read_s = IDEMPOTENT_TIMEOUT_S if call.idempotent else ONCE_TIMEOUT_S
    return httpx.Timeout(
        connect=CONNECT_TIMEOUT_S, read=read_s, write=WRITE_TIMEOUT_S, pool=None
    )


def _refuse_not_run(response: httpx.Response) -> None:
    if response.status_code == 503 and says_not_run(response):
        raise AnswerFault(Verdict.NOT_RUN, "refused", retry_after_of(response))


async def _hand_over(attempt: Attempt, response: httpx.Response) -> None:
    head = Head(response.status_code, _answer_headers(response))
    buffered: list[bytes] = []
    size = 0
    is_streaming = response.headers.get("Content-Type", "").startswith(EVENT_STREAM)
    if is_streaming:
        await attempt.exchange.put(head)
    async for chunk in response.aiter_raw():
        if is_streaming:
            await attempt.exchange.put(Piece(chunk))
            continue
        buffered.append(chunk)
        size += len(chunk)
        if size > BUFFER_BYTES:
            await attempt.exchange.put(head)
            await attempt.exchange.put(Piece(b"".join(buffered)))
            is_streaming = True
    if not is_streaming:
        await attempt.exchange.put(head)
        await attempt.exchange.put(Piece(b"".join(buffered)))


def _answer_headers(response: httpx.Response) -> RawHeaders:
    named = {
        item.strip().lower().encode()
        for item in response.headers.get("Connection", "").split(",")
    }
    kept = []
    for raw_name, value in response.headers.raw:
        name = raw_name.lower()
        is_length = name == b"content-length"
        if name in HOP_HEADERS and not is_length:
            continue
        if name not in OWN_HEADERS and name not in named:
            kept.append((name, value))
    return kept
