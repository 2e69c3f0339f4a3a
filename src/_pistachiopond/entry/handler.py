"""Takes one caller's request from its head to the end of its answer."""

import json
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import anyio
from opentelemetry.trace import Span, Tracer
from result import Ok, Result

from _pistachiopond.decisions.dispatch_types import RequestFacts
from _pistachiopond.entry.active import ActiveRequest, ActiveRequests
from _pistachiopond.entry.admission import Admitted, Work, admit, make_work
from _pistachiopond.entry.arrivals import Arrival
from _pistachiopond.entry.caller import CallerGoneError, CallerLink, Receive, Send
from _pistachiopond.entry.completions import MODELS_PATH
from _pistachiopond.entry.exchange import DispatchPort, Exchange, Head
from _pistachiopond.entry.fleet import Fleet
from _pistachiopond.entry.headers import CheckedTarget, check_target
from _pistachiopond.entry.index import ManifestIndex, find_customer
from _pistachiopond.entry.keyed_calls import run_keyed_call
from _pistachiopond.entry.observations import Observations, Timings
from _pistachiopond.entry.ports import Calls, Crashes, Limits, Reservation
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.observe.logs import log_trouble
from _pistachiopond.observe.tracing import context_from
from _pistachiopond.schema.verdict import Failure, Verdict

JSON_HEADERS: Final = ((b"content-type", b"application/json"),)

RecordArrival = Callable[[Arrival], None]


class HandlerParts(NamedTuple):
    """What handling a request needs.

    Attributes
    ----------
    next_id : callable
        Gives ids that no other request of the fleet has.
    is_closing : callable
        Whether connections are to be closed after their answer.
    max_body_bytes : int
        Larger requests are refused.
    """

    fleet: Fleet
    dispatch: DispatchPort
    limits: Limits
    calls: Calls
    crashes: Crashes
    active: ActiveRequests
    observations: Observations
    timer: Timer
    tracer: Tracer
    next_id: Callable[[], str]
    is_closing: Callable[[], bool]
    record_arrival: RecordArrival
    max_body_bytes: int


Scope = dict[str, Any]


class _Call(NamedTuple):
    """One request under way."""

    parts: HandlerParts
    link: CallerLink
    request_id: str
    span: Span
    arrived_s: float


async def handle_request(
    parts: HandlerParts, scope: Scope, receive: Receive, send: Send
) -> None:
    """Answer one HTTP request.

    Parameters
    ----------
    parts : HandlerParts
        The services of the process.
    scope : dict
        ASGI's description of the request.
    receive, send : callable
        ASGI's streams to and from the caller.
    """
    request_id = parts.next_id()
    link = CallerLink(receive, send, parts.timer, request_id, parts.is_closing)
    checked = check_target(scope["raw_path"], scope["query_string"], scope["headers"])
    span = _start_entry_span(parts, checked.ok(), request_id, scope["method"])
    call = _Call(parts, link, request_id, span, parts.timer.now_s())
    try:
        if checked.is_err():
            await _fail(call, checked.err())
            return
        await _serve(call, checked.ok(), scope["method"])
    except CallerGoneError:
        parts.observations.caller_left()
        span.set_attribute("outcome", "caller left")
    except Exception as error:
        log_trouble("request failed inside", error=repr(error))
        await _fail(call, _internal_failure())
    finally:
        span.end()


def _internal_failure() -> Failure:
    return Failure(
        Verdict.MAY_HAVE_RUN,
        "internal_error",
        "This daemon failed while it handled the request; its log says why.",
        500,
    )


async def _serve(call: _Call, target: CheckedTarget, method: str) -> None:
    fleet = call.parts.fleet
    admission = admit(fleet.state, fleet.keys_closed(), target, method)
    if admission.is_err():
        await _fail(call, admission.err())
        return
    admitted = admission.ok()
    call.span.set_attribute("customer", admitted.customer)
    with anyio.CancelScope() as scope:
        active = ActiveRequest(admitted.digest, scope, call.link)
        call.parts.active.add(active)
        try:
            await _serve_admitted(call, admitted, active)
        finally:
            call.parts.active.remove(active)
    if scope.cancelled_caught:
        await _after_cancel(call, active)


async def _after_cancel(call: _Call, active: ActiveRequest) -> None:
    if active.stopped_by is None:
        # The caller did not read its answer in time; ending without an end mark
        # closes its connection.
        call.parts.observations.caller_left()
        return
    await _fail(call, active.stopped_by)


async def _serve_admitted(
    call: _Call, admitted: Admitted, active: ActiveRequest
) -> None:
    if admitted.route.kind == "engine" and _is_models_path(admitted):
        await _list_models(call, admitted)
        return
    body = await call.link.read_body(
        call.parts.max_body_bytes, admitted.target.content_length
    )
    if body.is_err():
        _note_failure(call, body.err())
        await call.link.fail_early(body.err())
        return
    work = make_work(admitted, body.ok(), call.request_id)
    if work.is_err():
        await _fail(call, work.err())
        return
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_caller, call, group.cancel_scope)
        await _reserve_and_run(call, admitted, work.ok(), active)
        group.cancel_scope.cancel()


async def _watch_caller(call: _Call, scope: anyio.CancelScope) -> None:
    await call.link.wait_until_gone()
    if call.link.has_ended:
        # The server reports the end of each request like this as well.
        return
    call.parts.observations.caller_left()
    call.span.set_attribute("outcome", "caller left")
    scope.cancel()


async def _reserve_and_run(
    call: _Call, admitted: Admitted, work: Work, active: ActiveRequest
) -> None:
    facts = work.facts
    call.parts.observations.arrived(facts)
    exchange = Exchange(facts, work.call, call.span)
    try:
        reserved = await _reserve(call, facts)
        if reserved.is_err():
            await _fail(call, reserved.err())
            return
        active.exchange = exchange
        try:
            if _is_keyed(admitted, work):
                await _run_keyed(call, admitted, work, exchange)
            else:
                await _run(call, exchange, reserved.ok())
        finally:
            _leave(call, exchange, reserved.ok())
    finally:
        _record_arrival(call, admitted, exchange)


async def _reserve(
    call: _Call, facts: RequestFacts
) -> Result[Reservation | None, Failure]:
    """Ask whether the request may run now; nothing is held after a refusal."""
    suspected = await call.parts.crashes.admit(facts.fingerprint)
    if suspected.is_err():
        return suspected
    wanted_tokens = facts.prompt_tokens + facts.max_tokens
    if not facts.customer or not wanted_tokens:
        return Ok(None)
    return await call.parts.limits.reserve(facts.customer, float(wanted_tokens))


def _leave(call: _Call, exchange: Exchange, reservation: Reservation | None) -> None:
    call.parts.dispatch.leave(exchange)
    if exchange.is_whole:
        call.parts.crashes.finished(exchange.facts.fingerprint)
    if reservation is not None:
        call.parts.limits.settle(reservation, used_tokens(exchange))


def _record_arrival(call: _Call, admitted: Admitted, exchange: Exchange) -> None:
    arrival = Arrival(
        call.arrived_s,
        admitted.route.path_prefix,
        exchange.facts,
        exchange.generated_tokens,
    )
    call.parts.record_arrival(arrival)


async def _run(
    call: _Call, exchange: Exchange, reservation: Reservation | None
) -> None:
    call.parts.dispatch.submit(exchange)
    first_output_s: float | None = None
    async for part in exchange.parts:
        if isinstance(part, Head):
            await call.link.start(part.status, part.headers)
            continue
        before_s = call.link.written_s
        await call.link.write(part.data)
        if reservation is not None:
            used = exchange.facts.prompt_tokens + exchange.generated_tokens
            call.parts.limits.note_used(reservation, used)
        now_s = call.link.written_s or 0.0
        if first_output_s is None:
            first_output_s = now_s - call.arrived_s
        elif before_s is not None:
            call.parts.observations.between_outputs.record_s(now_s - before_s)
    if exchange.failure is not None:
        await _fail(call, exchange.failure)
        return
    await call.link.end()
    _note_whole(call, exchange, first_output_s)


async def _run_keyed(
    call: _Call, admitted: Admitted, work: Work, exchange: Exchange
) -> None:
    ended = await run_keyed_call(
        call.parts.calls, call.parts.dispatch, admitted, work, exchange
    )
    if isinstance(ended, Failure):
        await _fail(call, ended)
        return
    await call.link.respond(ended.status, list(ended.headers), ended.body)
    _note_whole(call, exchange, None)


def _note_whole(call: _Call, exchange: Exchange, first_output_s: float | None) -> None:
    total_s = call.parts.timer.now_s() - call.arrived_s
    timings = Timings(first_output_s, total_s)
    call.parts.observations.answered(timings, exchange.generated_tokens)
    call.span.set_attribute("outcome", "whole")


async def _fail(call: _Call, failure: Failure) -> None:
    _note_failure(call, failure)
    await call.link.fail(failure)


def _note_failure(call: _Call, failure: Failure) -> None:
    call.parts.observations.refused(failure)
    call.span.set_attribute("outcome", f"{failure.code}, {failure.verdict.value}")


async def _list_models(call: _Call, admitted: Admitted) -> None:
    listed = [_model_entry(name) for name in sorted(admitted.index.models)]
    wanted = admitted.engine_path.removeprefix(MODELS_PATH).strip("/")
    if not wanted:
        answer: dict[str, Any] = {"object": "list", "data": listed}
    elif wanted in admitted.index.models:
        answer = _model_entry(wanted)
    else:
        await _fail(
            call,
            Failure(Verdict.NOT_RUN, "model_not_found", "No such model.", 404),
        )
        return
    await call.link.respond(200, list(JSON_HEADERS), json.dumps(answer).encode())


def _model_entry(name: str) -> dict[str, Any]:
    return {"id": name, "object": "model", "created": 0, "owned_by": "pistachiopond"}


def _is_models_path(admitted: Admitted) -> bool:
    path = admitted.engine_path
    is_listing = path == MODELS_PATH or path.startswith(MODELS_PATH + "/")
    return is_listing and admitted.method == "GET"


def _is_keyed(admitted: Admitted, work: Work) -> bool:
    has_key = admitted.target.idempotency_key is not None
    return has_key and not work.facts.idempotent


def used_tokens(exchange: Exchange) -> float:
    """Return what a request took: the engine's usage, else what was counted."""
    if exchange.usage is not None:
        usage = exchange.usage
        return float(usage.prompt_tokens + usage.completion_tokens)
    if not exchange.was_dispatched or _certainly_not_run(exchange):
        return 0.0
    return float(exchange.facts.prompt_tokens + exchange.generated_tokens)


def _certainly_not_run(exchange: Exchange) -> bool:
    failure = exchange.failure
    return failure is not None and failure.verdict is Verdict.NOT_RUN


def is_in_force(index: ManifestIndex | None, digest: str) -> bool:
    """Return whether a key's digest belongs to a customer now."""
    return index is not None and find_customer(index, digest) is not None


def _start_entry_span(
    parts: HandlerParts, target: CheckedTarget | None, request_id: str, method: str
) -> Span:
    headers = {}
    if target is not None and target.traceparent is not None:
        headers["traceparent"] = target.traceparent
    return parts.tracer.start_span(
        "entry",
        context=context_from(headers),
        attributes={"request_id": request_id, "method": method},
    )
