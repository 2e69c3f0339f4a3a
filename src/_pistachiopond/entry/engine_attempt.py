"""One attempt to run a request on a model engine, resumed after connection loss.

The engine always streams. A caller that did not ask for a stream gets its response
only when the stream is complete, so it never receives part of a broken one.
"""

import json
from typing import Final, NamedTuple, final

import httpx

from _pistachiopond.decisions.dispatch_types import FirstToken, Progress
from _pistachiopond.entry.attempts import (
    CONNECT_TIMEOUT_S,
    WRITE_TIMEOUT_S,
    Attempt,
    AttemptError,
    AttemptResult,
    attempt_headers,
    check_response,
    classify_http_error,
    declares_not_run,
    excessive_response,
    failed_event,
    finished_event,
    parse_retry_after,
)
from _pistachiopond.entry.engine_stream import (
    DivergedStreamError,
    EngineResponse,
    InvalidStreamError,
)
from _pistachiopond.entry.exchange import BodyChunk, EngineCall, ResponseStart
from _pistachiopond.entry.problems import (
    bad_request,
    problem_body,
    problem_headers,
)
from _pistachiopond.entry.sse import (
    EVENT_EXCESS,
    MAX_EVENT_BYTES,
    EventTooLargeError,
    SseParser,
)
from _pistachiopond.http1.message_bounds import Excess
from _pistachiopond.schema.verdict import Verdict

# A stream that delivers no bytes for this long is treated as a lost connection.
STREAM_READ_TIMEOUT_S: Final = 5.0
PROGRESS_PERIOD_S: Final = 0.2
CANCEL_TIMEOUT_S: Final = 2.0
RESUME_HEADER: Final = "X-Resume-Offset"
# With the verdict "not run", these statuses mean that the request itself is invalid.
FORWARDED_STATUSES: Final = (400, 403, 413, 422)
MAX_ERROR_BYTES: Final = 64 * 1024
# Of one connection, since its last new token.
MAX_BYTES_WITHOUT_TOKEN: Final = MAX_EVENT_BYTES
NO_TOKENS_EXCESS: Final = Excess(
    "no_tokens", f"more than {MAX_BYTES_WITHOUT_TOKEN} bytes without a token"
)
STREAM_HEADERS: Final = (
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
)
DONE_EVENT: Final = b"data: [DONE]\n\n"


class ConnectionPlan(NamedTuple):
    """How one connection of an attempt is opened.

    Attributes
    ----------
    delay_s : float
        Pause before connecting, which gives the engine time to notice that the
        previous connection has ended.
    is_resume : bool
        Whether to request the rest of the response, or a run from the start.
    """

    delay_s: float
    is_resume: bool


CONNECTION_PLANS: Final = (
    ConnectionPlan(0.0, False),
    ConnectionPlan(0.02, True),
    ConnectionPlan(0.3, True),
)


class RequestRejectedError(Exception):
    """The engine rejected the request as invalid; so would any other engine."""

    def __init__(self, status: int, detail: str, code: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.code = code


@final
class _AttemptState:
    """The state of one attempt, kept across its connections."""

    def __init__(
        self, attempt: Attempt, call: EngineCall, engine_response: EngineResponse
    ) -> None:
        self.attempt = attempt
        self.call = call
        self.reader = engine_response.reader
        self.builder = engine_response.builder
        self.first_error: AttemptError | None = None
        self.saw_token = False
        self.unreported_tokens = 0
        self.reported_s = attempt.timer.now_s()


class _ParsedChunk(NamedTuple):
    """The result of parsing the bytes of one read.

    Attributes
    ----------
    output : bytes
        Events to forward to a streaming caller.
    tokens : int
        How many tokens were new.
    error : Exception or None
        Raised once `output` has been forwarded.
    """

    output: bytes
    tokens: int
    error: Exception | None


async def run_engine_attempt(
    attempt: Attempt, call: EngineCall, engine_response: EngineResponse
) -> AttemptResult:
    """Send the request to the engine and forward its response.

    If a connection is lost, the next one resumes at the next token. If the engine
    no longer holds the request, the attempt fails; a later attempt forwards nothing
    that contradicts the tokens forwarded so far.

    Parameters
    ----------
    attempt : Attempt
        The target server and the attempt's dependencies.
    call : EngineCall
        The request.
    engine_response : EngineResponse
        What earlier attempts received of the response.

    Returns
    -------
    AttemptFinished or AttemptFailed
        For the dispatcher. Only ``AttemptFinished`` means a complete response.
    """
    state = _AttemptState(attempt, call, engine_response)
    for plan in CONNECTION_PLANS:
        await attempt.timer.sleep_until(attempt.timer.now_s() + plan.delay_s)
        try:
            await _stream_once(state, is_resume=plan.is_resume)
            await _complete_response(state)
            return finished_event(attempt)
        except RequestRejectedError as rejection:
            await _forward_rejection(attempt, rejection)
            return finished_event(attempt)
        except DivergedStreamError:
            failure = AttemptError(Verdict.MAY_HAVE_RUN, "mismatch")
            return failed_event(attempt, failure)._replace(output_began=True)
        except AttemptError as error:
            connection_error = error
            failure = _reclassify_after_first_send(state, connection_error)
        if not failure.can_resume:
            break
    if failure is connection_error and failure.kind == "reset":
        # The last connection was dropped as well, although the server accepts new
        # ones, so this is reported as a server error and not as a crash.
        failure = AttemptError(Verdict.MAY_HAVE_RUN, "server_error")
    # Tokens that were already forwarded do not rule out a retry on another engine:
    # the retry's tokens are compared with them and only new ones are forwarded.
    return failed_event(attempt, failure)._replace(
        output_began=state.reader.has_diverged
    )


def _reclassify_after_first_send(
    state: _AttemptState, error: AttemptError
) -> AttemptError:
    """Return what an error means, given the errors of earlier connections.

    Once the request has been sent, a later refusal cannot turn the verdict back to
    "not run". A server that refuses connections or no longer has the model counts
    as crashed (``reset``); a server that has merely dropped the request does not.
    """
    if state.first_error is None:
        state.first_error = error
        return error
    if error.verdict is not Verdict.NOT_RUN:
        return error
    kind = (
        state.first_error.kind if state.first_error.kind == "silent" else "server_error"
    )
    if error.kind == "connect" or error.is_model_missing:
        kind = "reset"
    return AttemptError(
        Verdict.MAY_HAVE_RUN,
        kind,
        error.retry_after_s,
        can_resume=error.kind == "refused",
    )


async def _stream_once(state: _AttemptState, *, is_resume: bool) -> None:
    attempt = state.attempt
    body = {**state.call.request.body, "priority": attempt.action.priority}
    headers = {"Content-Type": "application/json", **attempt_headers(attempt)}
    if is_resume:
        state.reader.resume()
        headers[RESUME_HEADER] = str(state.reader.next_offset)
    else:
        state.reader.restart()
    timeout = httpx.Timeout(
        connect=CONNECT_TIMEOUT_S,
        read=STREAM_READ_TIMEOUT_S,
        write=WRITE_TIMEOUT_S,
        pool=None,
    )
    request = attempt.http.build_request(
        "POST",
        attempt.action.url + state.call.path,
        content=json.dumps(body).encode(),
        headers=headers,
        timeout=timeout,
    )
    try:
        response = await attempt.http.send(request, stream=True)
        try:
            await _read_response(state, response)
        finally:
            await response.aclose()
    except httpx.HTTPError as error:
        raise classify_http_error(error) from error


async def _read_response(state: _AttemptState, response: httpx.Response) -> None:
    check_response(state.attempt, response)
    if response.status_code != 200:
        await _raise_for_status(response)
    parser, bytes_without_token = SseParser(), 0
    async for chunk in response.aiter_raw():
        offset = state.reader.next_offset
        parsed = _parse_chunk(state, parser, chunk)
        if parsed.tokens:
            _report_progress(state, parsed.tokens)
        # Tokens that precede an error are forwarded first, since a resumed stream
        # starts after them.
        if parsed.output and state.call.request.is_stream:
            await _forward_output(state, parsed.output)
        if parsed.error is not None:
            raise parsed.error
        if state.reader.is_complete:
            return
        bytes_without_token += len(chunk)
        if state.reader.next_offset > offset:
            bytes_without_token = 0
        if bytes_without_token > MAX_BYTES_WITHOUT_TOKEN:
            raise excessive_response(NO_TOKENS_EXCESS)
    raise AttemptError(Verdict.MAY_HAVE_RUN, "reset", can_resume=True)


def _parse_chunk(state: _AttemptState, parser: SseParser, chunk: bytes) -> _ParsedChunk:
    before = state.reader.received_tokens
    output: list[str] = []
    error: Exception | None = None
    try:
        for event in parser.feed(chunk):
            text = state.reader.accept(event)
            if text is not None:
                _add_output(state, output, text)
    except DivergedStreamError as divergence:
        error = divergence
    except EventTooLargeError:
        error = excessive_response(EVENT_EXCESS)
    except (InvalidStreamError, LookupError, TypeError, AttributeError, ValueError):
        error = AttemptError(Verdict.MAY_HAVE_RUN, "server_error", can_resume=True)
    tokens = state.reader.received_tokens - before
    return _ParsedChunk("".join(output).encode(), tokens, error)


def _add_output(state: _AttemptState, output: list[str], text: str) -> None:
    if state.call.request.is_stream:
        output.append(f"data: {text}\n\n")
    else:
        state.builder.add(text)


async def _forward_output(state: _AttemptState, output: bytes) -> None:
    exchange = state.attempt.exchange
    if not exchange.output_began:
        await exchange.put(ResponseStart(200, list(STREAM_HEADERS)))
    await exchange.put(BodyChunk(output))


def _report_progress(state: _AttemptState, tokens: int) -> None:
    attempt = state.attempt
    action = attempt.action
    attempt.exchange.generated_tokens += tokens
    if not state.saw_token:
        state.saw_token = True
        attempt.notify(FirstToken(action.request_id, action.attempt))
    state.unreported_tokens += tokens
    now_s = attempt.timer.now_s()
    if now_s - state.reported_s >= PROGRESS_PERIOD_S or state.reader.is_complete:
        attempt.notify(
            Progress(action.request_id, action.attempt, state.unreported_tokens)
        )
        state.unreported_tokens = 0
        state.reported_s = now_s


async def _complete_response(state: _AttemptState) -> None:
    exchange = state.attempt.exchange
    exchange.usage = state.reader.usage
    if state.call.request.is_stream:
        await _forward_output(state, DONE_EVENT)
    else:
        body = state.builder.build(state.reader.usage)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        await exchange.put(ResponseStart(200, headers))
        await exchange.put(BodyChunk(body))
    exchange.finish()


async def _forward_rejection(attempt: Attempt, rejection: RequestRejectedError) -> None:
    failure = bad_request(rejection.code, rejection.detail, rejection.status)
    await attempt.exchange.put(
        ResponseStart(rejection.status, problem_headers(failure))
    )
    await attempt.exchange.put(BodyChunk(problem_body(failure)))
    attempt.exchange.finish()


async def _raise_for_status(response: httpx.Response) -> None:
    body = await _read_error(response)
    not_run = declares_not_run(response)
    status = response.status_code
    if not_run and status in FORWARDED_STATUSES:
        raise RequestRejectedError(status, *_parse_error_body(body))
    retry_after_s = parse_retry_after(response)
    if not_run:
        raise AttemptError(
            Verdict.NOT_RUN, "refused", retry_after_s, is_model_missing=status == 404
        )
    raise AttemptError(Verdict.MAY_HAVE_RUN, "server_error", retry_after_s)


async def _read_error(response: httpx.Response) -> bytes:
    body = b""
    async for chunk in response.aiter_raw():
        body += chunk
        if len(body) > MAX_ERROR_BYTES:
            break
    return body


def _parse_error_body(body: bytes) -> tuple[str, str]:
    try:
        error = json.loads(body)["error"]
        return str(error["message"]), str(error.get("code") or "bad_request")
    except (ValueError, LookupError, TypeError, AttributeError):
        return "The engine refused the request; check its fields.", "bad_request"


async def cancel_at_engine(attempt: Attempt) -> None:
    """Ask the engine to drop a request whose response is no longer needed.

    Closing the connection stops the generation. The cancel call also frees the state
    kept for resuming, and works if the engine has not noticed the closed connection.
    """
    try:
        # The reply's body has no use, and may never end.
        async with attempt.http.stream(
            "POST",
            attempt.action.url + "/v1/cancel",
            json={"request_id": attempt.backend_request_id},
            headers={"X-Request-Id": f"{attempt.backend_request_id}-cancel"},
            timeout=CANCEL_TIMEOUT_S,
        ):
            pass
    except httpx.HTTPError:
        # The engine frees the request by itself after its resume window.
        return
