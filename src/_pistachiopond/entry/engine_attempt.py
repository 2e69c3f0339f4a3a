"""An attempt at a model engine: one stream, resumed where its connection breaks.

The engine is always asked for a stream. A caller that wants a plain answer gets it
once it is whole, so that nothing of a broken one has gone out.
"""

import json
from typing import Final, NamedTuple, final

import httpx

from _pistachiopond.decisions.dispatch_types import FirstToken, Progress
from _pistachiopond.entry.answers import (
    DivergedFault,
    EngineAnswer,
    StreamFault,
)
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
)
from _pistachiopond.entry.exchange import EngineCall, Head, Piece
from _pistachiopond.entry.problems import (
    bad_request,
    problem_body,
    problem_headers,
)
from _pistachiopond.entry.sse import EventTooLargeError, SseSplitter
from _pistachiopond.schema.verdict import Verdict

# A stream from which nothing comes for this long has lost its connection.
PROGRESS_TIMEOUT_S: Final = 5.0
PROGRESS_PERIOD_S: Final = 0.2
CANCEL_TIMEOUT_S: Final = 2.0
RESUME_HEADER: Final = "X-Resume-Offset"
FORWARDED_ERRORS: Final = (400, 403, 413, 422)
MAX_ERROR_BYTES: Final = 64 * 1024
STREAM_HEADERS: Final = (
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
)
DONE_EVENT: Final = b"data: [DONE]\n\n"


class ConnectionPlan(NamedTuple):
    """How the next connection of an attempt is used.

    Attributes
    ----------
    delay_s : float
        Waits before it, so that the engine notices that the last one has ended.
    is_resume : bool
        Whether it asks for the rest of the answer or for a run from the start.
    """

    delay_s: float
    is_resume: bool


CONNECTION_PLANS: Final = (
    ConnectionPlan(0.0, False),
    ConnectionPlan(0.02, True),
    ConnectionPlan(0.3, True),
)


class CallerFault(Exception):
    """The engine refused the request itself; another engine would as well."""

    def __init__(self, status: int, detail: str, code: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.code = code


@final
class _Run:
    """The state of one attempt, over its connections."""

    def __init__(
        self, attempt: Attempt, call: EngineCall, answer: EngineAnswer
    ) -> None:
        self.attempt = attempt
        self.call = call
        self.reader = answer.reader
        self.builder = answer.builder
        self.first_fault: AnswerFault | None = None
        self.saw_token = False
        self.unreported_tokens = 0
        self.reported_s = attempt.timer.now_s()


class _Read(NamedTuple):
    """What one read from the connection brought."""

    output: bytes
    tokens: int
    fault: Exception | None


async def run_engine_attempt(
    attempt: Attempt, call: EngineCall, answer: EngineAnswer
) -> AttemptResult:
    """Send the request to the engine and hand its answer on.

    A connection that breaks is followed by one that resumes at the next token.
    Where the engine no longer holds the request, the attempt fails, and of the next
    attempt nothing is handed on that contradicts what went before.

    Parameters
    ----------
    attempt : Attempt
        Where to and with what.
    call : EngineCall
        The request.
    answer : EngineAnswer
        What came of it in earlier attempts.

    Returns
    -------
    AttemptFinished or AttemptFailed
        For the dispatcher. Only after ``AttemptFinished`` is the answer whole.
    """
    run = _Run(attempt, call, answer)
    for plan in CONNECTION_PLANS:
        await attempt.timer.sleep_until(attempt.timer.now_s() + plan.delay_s)
        try:
            await _use_connection(run, is_resume=plan.is_resume)
            await _hand_over_end(run)
            return finished(attempt)
        except CallerFault as refusal:
            await _hand_over_refusal(attempt, refusal)
            return finished(attempt)
        except DivergedFault:
            fault = AnswerFault(Verdict.MAY_HAVE_RUN, "mismatch")
            return failed(attempt, fault)._replace(output_began=True)
        except AnswerFault as error:
            met = error
            fault = _with_history(run, met)
        if not fault.can_resume:
            break
    if fault is met and fault.kind == "reset":
        # It broke again and again, but the server accepts connections.
        fault = AnswerFault(Verdict.MAY_HAVE_RUN, "server_error")
    # What was handed on does not stand in the way of another run: its tokens are
    # compared, and only those that are new are handed on.
    return failed(attempt, fault)._replace(output_began=run.reader.has_diverged)


def _with_history(run: _Run, fault: AnswerFault) -> AnswerFault:
    """Return what a fault means for a request that has been sent before.

    No later refusal makes it unsent. A server that is gone, or has lost its model,
    has crashed; one that only holds the request no more has not.
    """
    if run.first_fault is None:
        run.first_fault = fault
        return fault
    if fault.verdict is not Verdict.NOT_RUN:
        return fault
    kind = run.first_fault.kind if run.first_fault.kind == "silent" else "server_error"
    if fault.kind == "connect" or fault.has_lost_model:
        kind = "reset"
    return AnswerFault(
        Verdict.MAY_HAVE_RUN,
        kind,
        fault.retry_after_s,
        can_resume=fault.kind == "refused",
    )


async def _use_connection(run: _Run, *, is_resume: bool) -> None:
    attempt = run.attempt
    body = {**run.call.request.body, "priority": attempt.start.priority}
    headers = {"Content-Type": "application/json", **own_headers(attempt)}
    if is_resume:
        run.reader.resume()
        headers[RESUME_HEADER] = str(run.reader.next_offset)
    else:
        run.reader.restart()
    timeout = httpx.Timeout(
        connect=CONNECT_TIMEOUT_S,
        read=PROGRESS_TIMEOUT_S,
        write=WRITE_TIMEOUT_S,
        pool=None,
    )
    request = attempt.http.build_request(
        "POST",
        attempt.start.url + run.call.path,
        content=json.dumps(body).encode(),
        headers=headers,
        timeout=timeout,
    )
    try:
        response = await attempt.http.send(request, stream=True)
        try:
            await _read_answer(run, response)
        finally:
            await response.aclose()
    except httpx.HTTPError as error:
        raise fault_of(error) from error


async def _read_answer(run: _Run, response: httpx.Response) -> None:
    check_answer(run.attempt, response)
    if response.status_code != 200:
        await _raise_refusal(response)
    splitter = SseSplitter()
    async for chunk in response.aiter_raw():
        read = _accept(run, splitter, chunk)
        if read.tokens:
            _report(run, read.tokens)
        # What was taken before a fault goes out, since it is not asked for again.
        if read.output and run.call.request.is_stream:
            await _put_output(run, read.output)
        if read.fault is not None:
            raise read.fault
        if run.reader.is_whole:
            return
    raise AnswerFault(Verdict.MAY_HAVE_RUN, "reset", can_resume=True)


def _accept(run: _Run, splitter: SseSplitter, chunk: bytes) -> _Read:
    before = run.reader.taken_tokens
    output: list[str] = []
    fault: Exception | None = None
    try:
        for event in splitter.feed(chunk):
            text = run.reader.accept(event)
            if text is not None:
                _keep(run, output, text)
    except DivergedFault as diverged:
        fault = diverged
    except EventTooLargeError:
        fault = AnswerFault(Verdict.MAY_HAVE_RUN, "server_error")
    except (StreamFault, LookupError, TypeError, AttributeError, ValueError):
        fault = AnswerFault(Verdict.MAY_HAVE_RUN, "server_error", can_resume=True)
    tokens = run.reader.taken_tokens - before
    return _Read("".join(output).encode(), tokens, fault)


def _keep(run: _Run, output: list[str], text: str) -> None:
    if run.call.request.is_stream:
        output.append(f"data: {text}\n\n")
    else:
        run.builder.add(text)


async def _put_output(run: _Run, output: bytes) -> None:
    exchange = run.attempt.exchange
    if not exchange.output_began:
        await exchange.put(Head(200, list(STREAM_HEADERS)))
    await exchange.put(Piece(output))


def _report(run: _Run, tokens: int) -> None:
    attempt = run.attempt
    start = attempt.start
    attempt.exchange.generated_tokens += tokens
    if not run.saw_token:
        run.saw_token = True
        attempt.notify(FirstToken(start.request_id, start.attempt))
    run.unreported_tokens += tokens
    now_s = attempt.timer.now_s()
    if now_s - run.reported_s >= PROGRESS_PERIOD_S or run.reader.is_whole:
        attempt.notify(Progress(start.request_id, start.attempt, run.unreported_tokens))
        run.unreported_tokens = 0
        run.reported_s = now_s


async def _hand_over_end(run: _Run) -> None:
    exchange = run.attempt.exchange
    exchange.usage = run.reader.usage
    if run.call.request.is_stream:
        await _put_output(run, DONE_EVENT)
    else:
        body = run.builder.build(run.reader.usage)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        await exchange.put(Head(200, headers))
        await exchange.put(Piece(body))
    exchange.finish()


async def _hand_over_refusal(attempt: Attempt, refusal: CallerFault) -> None:
    failure = bad_request(refusal.code, refusal.detail, refusal.status)
    await attempt.exchange.put(Head(refusal.status, problem_headers(failure)))
    await attempt.exchange.put(Piece(problem_body(failure)))
    attempt.exchange.finish()


async def _raise_refusal(response: httpx.Response) -> None:
    body = await _read_error(response)
    not_run = says_not_run(response)
    status = response.status_code
    if not_run and status in FORWARDED_ERRORS:
        raise CallerFault(status, *_describe(body))
    retry_after_s = retry_after_of(response)
    if not_run:
        raise AnswerFault(
            Verdict.NOT_RUN, "refused", retry_after_s, has_lost_model=status == 404
        )
    raise AnswerFault(Verdict.MAY_HAVE_RUN, "server_error", retry_after_s)


async def _read_error(response: httpx.Response) -> bytes:
    body = b""
    async for chunk in response.aiter_raw():
        body += chunk
        if len(body) > MAX_ERROR_BYTES:
            break
    return body


def _describe(body: bytes) -> tuple[str, str]:
    try:
        error = json.loads(body)["error"]
        return str(error["message"]), str(error.get("code") or "bad_request")
    except (ValueError, LookupError, TypeError, AttributeError):
        return "The engine refused the request; check its fields.", "bad_request"


async def cancel_at_engine(attempt: Attempt) -> None:
    """Free what the engine holds of a request that nobody waits for any more.

    Closing the connection stops the generation; this also frees what is kept for
    a resumption, and works where the engine has not noticed the closing.
    """
    try:
        await attempt.http.post(
            attempt.start.url + "/v1/cancel",
            json={"request_id": attempt.backend_id},
            headers={"X-Request-Id": f"{attempt.backend_id}-cancel"},
            timeout=CANCEL_TIMEOUT_S,
        )
    except httpx.HTTPError:
        # Nothing to do: the engine frees it after its resume window.
        return
