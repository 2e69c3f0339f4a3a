"""One attempt to call a plain HTTP service.

A response of up to `MAX_BUFFERED_BYTES` is read completely before any of it is
forwarded. A larger one is forwarded as it arrives, and a stream of events by whole
events. If it breaks off, the caller's connection is aborted, or the stream of events
ends with an error event, so that a truncated response never looks complete.
"""

from typing import Final

import httpx

from _pistachiopond.entry.attempts import (
    CONNECT_TIMEOUT_S,
    REQUEST_ID_HEADER,
    WRITE_TIMEOUT_S,
    Attempt,
    AttemptError,
    AttemptResult,
    accepts_connections,
    attempt_headers,
    check_response,
    classify_http_error,
    declares_not_run,
    excessive_response,
    failed_event,
    finished_event,
    parse_retry_after,
)
from _pistachiopond.entry.exchange import BodyChunk, ResponseStart, ServiceCall
from _pistachiopond.entry.headers import (
    HOP_BY_HOP_HEADERS,
    RESERVED_HEADERS,
    RawHeaders,
)
from _pistachiopond.entry.sse import (
    EVENT_EXCESS,
    EventTooLargeError,
    SseSplitter,
    has_other_lines,
    is_encoded,
    is_event_stream,
)
from _pistachiopond.http1.second_responses import make_second_response_scan
from _pistachiopond.schema.verdict import Verdict

IDEMPOTENT_READ_TIMEOUT_S: Final = 10.0
NON_IDEMPOTENT_READ_TIMEOUT_S: Final = 30.0
MAX_BUFFERED_BYTES: Final = 1024 * 1024
LINE_ENDS: Final = b"\r\n"


async def run_service_attempt(attempt: Attempt, call: ServiceCall) -> AttemptResult:
    """Send the call to the service and forward its response.

    Parameters
    ----------
    attempt : Attempt
        The target server and the attempt's dependencies.
    call : ServiceCall
        The HTTP request to send.

    Returns
    -------
    AttemptFinished or AttemptFailed
        For the dispatcher.
    """
    try:
        await _send_once(attempt, call)
        attempt.exchange.finish()
        return finished_event(attempt)
    except AttemptError as error:
        if error.kind == "reset" and await accepts_connections(attempt.action.url):
            # A lost connection to a server that still accepts connections does not
            # count as a crash.
            error = AttemptError(error.verdict, "server_error")
        return failed_event(attempt, error)


async def _send_once(attempt: Attempt, call: ServiceCall) -> None:
    url = attempt.action.url + call.raw_path
    if call.query:
        url += "?" + call.query
    extra = [
        (name.encode(), value.encode())
        for name, value in attempt_headers(attempt).items()
    ]
    request = attempt.http.build_request(
        call.method,
        url,
        content=call.body or None,
        headers=[*call.headers, *extra],
        timeout=_timeout(call),
    )
    try:
        response = await attempt.http.send(request, stream=True)
        try:
            check_response(attempt, response)
            _raise_if_not_run(response)
            await _forward_response(attempt, response)
        finally:
            await response.aclose()
    except httpx.HTTPError as error:
        raise classify_http_error(error) from error


def _timeout(call: ServiceCall) -> httpx.Timeout:
    read_s = (
        IDEMPOTENT_READ_TIMEOUT_S if call.idempotent else NON_IDEMPOTENT_READ_TIMEOUT_S
    )
    return httpx.Timeout(
        connect=CONNECT_TIMEOUT_S, read=read_s, write=WRITE_TIMEOUT_S, pool=None
    )


def _raise_if_not_run(response: httpx.Response) -> None:
    if response.status_code == 503 and declares_not_run(response):
        raise AttemptError(Verdict.NOT_RUN, "refused", parse_retry_after(response))


async def _forward_response(attempt: Attempt, response: httpx.Response) -> None:
    head = ResponseStart(response.status_code, _response_headers(response))
    buffered: list[bytes] = []
    size = 0
    is_streaming = is_event_stream(head.headers)
    if is_streaming:
        await attempt.exchange.put(head)
    if is_streaming and not is_encoded(head.headers):
        await _forward_events(attempt, response)
        return
    has_second_response = make_second_response_scan(REQUEST_ID_HEADER.encode())
    ends_with_connection = _ends_with_connection(response)
    async for chunk in response.aiter_raw():
        if ends_with_connection and has_second_response(chunk):
            raise AttemptError(Verdict.MAY_HAVE_RUN, "server_error")
        if is_streaming:
            await attempt.exchange.put(BodyChunk(chunk))
            continue
        buffered.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BYTES:
            await attempt.exchange.put(head)
            await attempt.exchange.put(BodyChunk(b"".join(buffered)))
            is_streaming = True
    if not is_streaming:
        await attempt.exchange.put(head)
        await attempt.exchange.put(BodyChunk(b"".join(buffered)))


async def _forward_events(attempt: Attempt, response: httpx.Response) -> None:
    splitter = SseSplitter()
    ends_with_connection = _ends_with_connection(response)
    has_events = False
    async for chunk in response.aiter_raw():
        try:
            events = splitter.feed(chunk)
        except EventTooLargeError as error:
            raise excessive_response(EVENT_EXCESS) from error
        # A body that ends with its connection may have a second response within it.
        if ends_with_connection and has_other_lines(events):
            raise AttemptError(Verdict.MAY_HAVE_RUN, "server_error")
        if events:
            has_events = True
            await attempt.exchange.put(BodyChunk(events))
    is_within_event = bool(splitter.incomplete.strip(LINE_ENDS))
    if ends_with_connection and (is_within_event or not has_events):
        raise AttemptError(Verdict.MAY_HAVE_RUN, "reset")
    if splitter.incomplete:
        await attempt.exchange.put(BodyChunk(bytes(splitter.incomplete)))


def _ends_with_connection(response: httpx.Response) -> bool:
    """Return whether only the end of the connection marks the end of the body."""
    return not {"content-length", "transfer-encoding"} & response.headers.keys()


def _response_headers(response: httpx.Response) -> RawHeaders:
    connection_headers = {
        item.strip().lower().encode()
        for item in response.headers.get("Connection", "").split(",")
    }
    kept = []
    for raw_name, value in response.headers.raw:
        name = raw_name.lower()
        is_length = name == b"content-length"
        if name in HOP_BY_HOP_HEADERS and not is_length:
            continue
        if name not in RESERVED_HEADERS and name not in connection_headers:
            kept.append((name, value))
    return kept
