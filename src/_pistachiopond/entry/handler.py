"""Handles one request of a caller, from its headers to the end of the response."""

import json
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import anyio
from opentelemetry.trace import Span, Tracer
from result import Ok, Result

from _pistachiopond.decisions.dispatch_types import RequestFacts
from _pistachiopond.entry.admission import (
    AdmittedRequest,
    PreparedRequest,
    admit,
    prepare_request,
)
from _pistachiopond.entry.arrivals import Arrival
from _pistachiopond.entry.caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
    Receive,
    Send,
)
from _pistachiopond.entry.completions import MODELS_PATH
from _pistachiopond.entry.exchange import DispatchApi, Exchange, ResponseStart
from _pistachiopond.entry.fleet import Fleet
from _pistachiopond.entry.headers import CheckedHead, check_head
from _pistachiopond.entry.idempotency_keys import run_call_once
from _pistachiopond.entry.index import ManifestIndex, find_customer
from _pistachiopond.entry.observations import Observations, Timings
from _pistachiopond.entry.open_requests import ActiveRequest, ActiveRequests
from _pistachiopond.entry.service_interfaces import (
    CallsApi,
    CrashesApi,
    LimitsApi,
    Reservation,
)
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.observe.logs import log_warning
from _pistachiopond.observe.tracing import context_from
from _pistachiopond.schema.verdict import Failure, Verdict

JSON_HEADERS: Final = ((b"content-type", b"application/json"),)

RecordArrival = Callable[[Arrival], None]


class HandlerDependencies(NamedTuple):
    """The dependencies of the request handler.

    Attributes
    ----------
    next_id : callable
        Returns a request id that is unique in the fleet.
    is_closing : callable
        Whether connections are closed after the response, as during shutdown.
    max_body_bytes : int
        Requests with a larger body are refused.
    """

    fleet: Fleet
    dispatch: DispatchApi
    limits: LimitsApi
    calls: CallsApi
    crashes: CrashesApi
    active: ActiveRequests
    observations: Observations
    timer: Timer
    tracer: Tracer
    next_id: Callable[[], str]
    is_closing: Callable[[], bool]
    record_arrival: RecordArrival
    max_body_bytes: int


Scope = dict[str, Any]


class _RequestContext(NamedTuple):
    """One request in progress."""

    deps: HandlerDependencies
    caller: CallerConnection
    request_id: str
    span: Span
    arrived_s: float


async def handle_request(
    deps: HandlerDependencies, scope: Scope, receive: Receive, send: Send
) -> None:
    """Respond to one HTTP request.

    Parameters
    ----------
    deps : HandlerDependencies
        The services of the process.
    scope : dict
        The ASGI scope of the request.
    receive, send : callable
        The ASGI callables of the request.
    """
    request_id = deps.next_id()
    caller = CallerConnection(receive, send, deps.timer, request_id, deps.is_closing)
    checked = check_head(scope["raw_path"], scope["query_string"], scope["headers"])
    span = _start_entry_span(deps, checked.ok(), request_id, scope["method"])
    context = _RequestContext(deps, caller, request_id, span, deps.timer.now_s())
    try:
        if checked.is_err():
            await _send_failure(context, checked.err())
            return
        await _serve(context, checked.ok(), scope["method"])
    except CallerDisconnectedError:
        deps.observations.count_caller_disconnect()
        span.set_attribute("outcome", "caller left")
    except Exception as error:
        log_warning("request failed with an internal error", error=repr(error))
        await _send_failure(context, _internal_failure())
    finally:
        span.end()


def _internal_failure() -> Failure:
    return Failure(
        Verdict.MAY_HAVE_RUN,
        "internal_error",
        "This daemon failed while it handled the request; its log says why.",
        500,
    )


async def _serve(context: _RequestContext, head: CheckedHead, method: str) -> None:
    fleet = context.deps.fleet
    admission = admit(fleet.state, fleet.keys_closed(), head, method)
    if admission.is_err():
        await _send_failure(context, admission.err())
        return
    admitted = admission.ok()
    context.span.set_attribute("customer", admitted.customer)
    with anyio.CancelScope() as scope:
        active = ActiveRequest(admitted.digest, scope, context.caller)
        context.deps.active.add(active)
        try:
            await _serve_admitted(context, admitted, active)
        finally:
            context.deps.active.remove(active)
    if scope.cancelled_caught:
        await _handle_cancellation(context, active)


async def _handle_cancellation(context: _RequestContext, active: ActiveRequest) -> None:
    if active.stopped_by is None:
        # The caller did not read its response in time. Returning before the response
        # is complete makes the server close the connection.
        context.deps.observations.count_caller_disconnect()
        return
    await _send_failure(context, active.stopped_by)


async def _serve_admitted(
    context: _RequestContext, admitted: AdmittedRequest, active: ActiveRequest
) -> None:
    if admitted.route.kind == "engine" and _is_models_path(admitted):
        await _list_models(context, admitted)
        return
    body = await context.caller.read_body(
        context.deps.max_body_bytes, admitted.head.content_length
    )
    if body.is_err():
        _record_failure(context, body.err())
        await context.caller.send_failure_during_upload(body.err())
        return
    prepared = prepare_request(admitted, body.ok(), context.request_id)
    if prepared.is_err():
        await _send_failure(context, prepared.err())
        return
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_on_disconnect, context, group.cancel_scope)
        await _reserve_and_run(context, admitted, prepared.ok(), active)
        group.cancel_scope.cancel()


async def _cancel_on_disconnect(
    context: _RequestContext, scope: anyio.CancelScope
) -> None:
    await context.caller.wait_for_disconnect()
    if context.caller.has_ended:
        # The ASGI server also sends a disconnect after each complete response.
        return
    context.deps.observations.count_caller_disconnect()
    context.span.set_attribute("outcome", "caller left")
    scope.cancel()


async def _reserve_and_run(
    context: _RequestContext,
    admitted: AdmittedRequest,
    prepared: PreparedRequest,
    active: ActiveRequest,
) -> None:
    facts = prepared.facts
    context.deps.observations.count_request(facts)
    exchange = Exchange(facts, prepared.call, context.span)
    try:
        reservation = await _reserve(context, facts)
        if reservation.is_err():
            await _send_failure(context, reservation.err())
            return
        active.exchange = exchange
        try:
            if _needs_deduplication(admitted, prepared):
                await _run_with_idempotency_key(context, admitted, prepared, exchange)
            else:
                await _dispatch_and_stream(context, exchange, reservation.ok())
        finally:
            _release(context, exchange, reservation.ok())
    finally:
        _record_arrival(context, admitted, exchange)


async def _reserve(
    context: _RequestContext, facts: RequestFacts
) -> Result[Reservation | None, Failure]:
    """Check for a crash suspicion and reserve tokens; a refusal reserves none."""
    crash_check = await context.deps.crashes.admit(facts.fingerprint)
    if crash_check.is_err():
        return crash_check
    max_total_tokens = facts.prompt_tokens + facts.max_tokens
    if not facts.customer or not max_total_tokens:
        return Ok(None)
    return await context.deps.limits.reserve(facts.customer, float(max_total_tokens))


def _release(
    context: _RequestContext, exchange: Exchange, reservation: Reservation | None
) -> None:
    context.deps.dispatch.release(exchange)
    if exchange.is_complete:
        context.deps.crashes.finished(exchange.facts.fingerprint)
    if reservation is not None:
        context.deps.limits.settle(reservation, used_tokens(exchange))


def _record_arrival(
    context: _RequestContext, admitted: AdmittedRequest, exchange: Exchange
) -> None:
    arrival = Arrival(
        context.arrived_s,
        admitted.route.path_prefix,
        exchange.facts,
        exchange.generated_tokens,
    )
    context.deps.record_arrival(arrival)


async def _dispatch_and_stream(
    context: _RequestContext, exchange: Exchange, reservation: Reservation | None
) -> None:
    context.deps.dispatch.submit(exchange)
    first_output_s: float | None = None
    async for part in exchange.response_parts:
        if isinstance(part, ResponseStart):
            await context.caller.start(part.status, part.headers)
            continue
        before_s = context.caller.last_write_s
        await context.caller.write(part.data)
        if reservation is not None:
            used = exchange.facts.prompt_tokens + exchange.generated_tokens
            context.deps.limits.record_usage(reservation, used)
        now_s = context.caller.last_write_s or 0.0
        if first_output_s is None:
            first_output_s = now_s - context.arrived_s
        elif before_s is not None:
            context.deps.observations.between_outputs.record_s(now_s - before_s)
    if exchange.failure is not None:
        await _send_failure(context, exchange.failure)
        return
    await context.caller.end()
    _record_success(context, exchange, first_output_s)


async def _run_with_idempotency_key(
    context: _RequestContext,
    admitted: AdmittedRequest,
    prepared: PreparedRequest,
    exchange: Exchange,
) -> None:
    result = await run_call_once(
        context.deps.calls, context.deps.dispatch, admitted, prepared, exchange
    )
    if isinstance(result, Failure):
        await _send_failure(context, result)
        return
    await context.caller.respond(result.status, list(result.headers), result.body)
    _record_success(context, exchange, None)


def _record_success(
    context: _RequestContext, exchange: Exchange, first_output_s: float | None
) -> None:
    total_s = context.deps.timer.now_s() - context.arrived_s
    timings = Timings(first_output_s, total_s)
    context.deps.observations.count_complete_response(
        timings, exchange.generated_tokens
    )
    context.span.set_attribute("outcome", "whole")


async def _send_failure(context: _RequestContext, failure: Failure) -> None:
    _record_failure(context, failure)
    await context.caller.send_failure(failure)


def _record_failure(context: _RequestContext, failure: Failure) -> None:
    context.deps.observations.count_failure(failure)
    context.span.set_attribute("outcome", f"{failure.code}, {failure.verdict.value}")


async def _list_models(context: _RequestContext, admitted: AdmittedRequest) -> None:
    listed = [_model_entry(name) for name in sorted(admitted.index.models)]
    model_name = admitted.engine_path.removeprefix(MODELS_PATH).strip("/")
    if not model_name:
        answer: dict[str, Any] = {"object": "list", "data": listed}
    elif model_name in admitted.index.models:
        answer = _model_entry(model_name)
    else:
        await _send_failure(
            context,
            Failure(Verdict.NOT_RUN, "model_not_found", "No such model.", 404),
        )
        return
    await context.caller.respond(200, list(JSON_HEADERS), json.dumps(answer).encode())


def _model_entry(name: str) -> dict[str, Any]:
    return {"id": name, "object": "model", "created": 0, "owned_by": "pistachiopond"}


def _is_models_path(admitted: AdmittedRequest) -> bool:
    path = admitted.engine_path
    is_listing = path == MODELS_PATH or path.startswith(MODELS_PATH + "/")
    return is_listing and admitted.method == "GET"


def _needs_deduplication(admitted: AdmittedRequest, prepared: PreparedRequest) -> bool:
    has_key = admitted.head.idempotency_key is not None
    return has_key and not prepared.facts.idempotent


def used_tokens(exchange: Exchange) -> float:
    """Return the tokens that a request used.

    Without the engine's usage, this is the prompt's estimate plus the tokens received,
    or 0 if the request certainly did not run.
    """
    if exchange.usage is not None:
        usage = exchange.usage
        return float(usage.prompt_tokens + usage.completion_tokens)
    if not exchange.was_dispatched or _certainly_not_run(exchange):
        return 0.0
    return float(exchange.facts.prompt_tokens + exchange.generated_tokens)


def _certainly_not_run(exchange: Exchange) -> bool:
    failure = exchange.failure
    return failure is not None and failure.verdict is Verdict.NOT_RUN


def is_key_active(index: ManifestIndex | None, digest: str) -> bool:
    """Return whether a key's digest currently belongs to a customer."""
    return index is not None and find_customer(index, digest) is not None


def _start_entry_span(
    deps: HandlerDependencies, head: CheckedHead | None, request_id: str, method: str
) -> Span:
    headers = {}
    if head is not None and head.traceparent is not None:
        headers["traceparent"] = head.traceparent
    return deps.tracer.start_span(
        "entry",
        context=context_from(headers),
        attributes={"request_id": request_id, "method": method},
    )
