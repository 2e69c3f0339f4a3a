"""Connects the dispatcher to the network: feeds it events and performs its actions.

A single task owns the dispatcher. All events reach it through one queue, in the order
in which they occurred.
"""

import math
from collections.abc import Callable
from typing import Any, Final, NamedTuple, Protocol, final

import anyio
import httpx
from anyio.abc import TaskGroup, TaskStatus
from opentelemetry.trace import Span, Tracer

from _pistachiopond.decisions.dispatch_types import (
    Action,
    Arrived,
    AttemptFailed,
    AttemptFinished,
    CallerLeft,
    CancelAttempt,
    Event,
    ManifestChanged,
    Refuse,
    ReportCrash,
    StartAttempt,
    StopDispatching,
    SuspectsReceived,
    Tick,
    ViewReceived,
)
from _pistachiopond.entry.attempts import Attempt, AttemptResult
from _pistachiopond.entry.connections import make_http_client
from _pistachiopond.entry.engine_attempt import (
    cancel_at_engine,
    run_engine_attempt,
)
from _pistachiopond.entry.exchange import (
    DispatchApi,
    EngineCall,
    Exchange,
    ResponseAbandonedError,
    ServiceCall,
)
from _pistachiopond.entry.fleet import Fleet, FleetState
from _pistachiopond.entry.observations import Observations
from _pistachiopond.entry.service_attempt import run_service_attempt
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.observe.logs import log_warning
from _pistachiopond.observe.tracing import start_span
from _pistachiopond.schema.verdict import Verdict
from _pistachiopond.transport.excess_records import RecordExcess

TICK_PERIOD_S: Final = 0.05
MAX_CANCELS_IN_FLIGHT: Final = 32


class DispatcherProtocol(Protocol):
    """The interface of the dispatcher that is used here."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Return the actions to take in response to an event."""
        ...


class DispatchDependencies(NamedTuple):
    """The dependencies of the dispatch service."""

    dispatcher: DispatcherProtocol
    timer: Timer
    tracer: Tracer
    observations: Observations
    record_excess: RecordExcess


@final
class DispatchLoop:
    """The event loop of the dispatcher, with the requests and attempts in progress."""

    def __init__(
        self, deps: DispatchDependencies, http: httpx.AsyncClient, group: TaskGroup
    ) -> None:
        self._deps = deps
        self._http = http
        self._group = group
        self._exchanges: dict[str, Exchange] = {}
        self._cancels_in_flight = 0
        streams = anyio.create_memory_object_stream[Event](math.inf)
        self._send, self._receive = streams

    def notify(self, event: Event) -> None:
        """Queue an event for the dispatcher."""
        self._send.send_nowait(event)

    def submit(self, exchange: Exchange) -> None:
        """Queue a request for dispatch."""
        self._exchanges[exchange.facts.request_id] = exchange
        tracer = self._deps.tracer
        exchange.dispatch_span = start_span(tracer, "dispatch", exchange.span, {})
        exchange.queue_span = start_span(tracer, "queue", exchange.dispatch_span, {})
        self.notify(Arrived(exchange.facts))

    def release(self, exchange: Exchange) -> None:
        """Drop a request and cancel its attempts."""
        self._exchanges.pop(exchange.facts.request_id, None)
        _end_queue_span(exchange)
        if exchange.dispatch_span is not None:
            exchange.dispatch_span.end()
        exchange.response_parts.close()
        exchange.cancel_attempts()
        if not exchange.is_complete:
            self.notify(CallerLeft(exchange.facts.request_id))

    async def run(self) -> None:
        """Handle events until the task is cancelled."""
        handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start,
            CancelAttempt: self._cancel,
            Refuse: self._refuse,
            ReportCrash: lambda action: self._deps.observations.record_crash(
                action.report
            ),
        }
        async for event in self._receive:
            self._record_outcome(event)
            now_s = self._deps.timer.now_s()
            for action in self._deps.dispatcher.handle(event, now_s):
                handlers[type(action)](action)

    async def tick(self, now_s: float) -> None:
        """Make the dispatcher check its deadlines."""
        self.notify(Tick())

    def on_fleet_change(self, state: FleetState, changed: frozenset[str]) -> None:
        """Notify the dispatcher of changes in the control daemon's view."""
        if "revision" in changed and state.revision is not None:
            self.notify(ManifestChanged(state.revision.manifest))
        if "routing" in changed and state.routing is not None:
            self.notify(ViewReceived(state.routing))
        if "suspects" in changed:
            self.notify(SuspectsReceived(state.suspects))

    def count_requests(self) -> int:
        """Return the number of requests in progress."""
        return len(self._exchanges)

    def waiting(self) -> dict[str, int]:
        """Return the number of requests waiting for a server, by model or adapter."""
        tally: dict[str, int] = {}
        for exchange in self._exchanges.values():
            name = exchange.facts.adapter or exchange.facts.model
            if name is not None and exchange.queue_span is not None:
                tally[name] = tally.get(name, 0) + 1
        return tally

    def count_attempts(self) -> int:
        """Return the number of attempts in progress."""
        return sum(len(item.attempt_scopes) for item in self._exchanges.values())

    def _record_outcome(self, event: Event) -> None:
        if isinstance(event, (AttemptFinished, AttemptFailed)):
            self._deps.observations.record_attempt_end(event)

    def _start(self, action: StartAttempt) -> None:
        exchange = self._exchanges.get(action.request_id)
        if exchange is None or exchange.is_over:
            return
        _end_queue_span(exchange)
        exchange.was_dispatched = True
        scope = anyio.CancelScope()
        exchange.attempt_scopes[action.attempt] = scope
        self._deps.observations.record_attempt_start(action)
        self._group.start_soon(self._attempt, exchange, action, scope)

    def _cancel(self, action: CancelAttempt) -> None:
        exchange = self._exchanges.get(action.request_id)
        if exchange is not None and action.attempt in exchange.attempt_scopes:
            exchange.attempt_scopes[action.attempt].cancel()

    def _refuse(self, action: Refuse) -> None:
        exchange = self._exchanges.get(action.request_id)
        if exchange is not None:
            exchange.cancel_attempts()
            exchange.fail(action.failure)

    async def _attempt(
        self, exchange: Exchange, action: StartAttempt, scope: anyio.CancelScope
    ) -> None:
        span = start_span(
            self._deps.tracer,
            "attempt",
            exchange.dispatch_span,
            {"server": action.server, "attempt": action.attempt},
        )
        attempt = Attempt(
            http=self._http,
            timer=self._deps.timer,
            action=action,
            exchange=exchange,
            notify=self.notify,
            record_leaving=self._deps.observations.record_leaving_server,
            record_excess=self._deps.record_excess,
            span=span,
        )
        observations = self._deps.observations
        result: AttemptResult | None = None
        try:
            with scope:
                result = await _run_attempt(attempt)
        except ResponseAbandonedError:
            # The caller's task has ended; `release` has notified the dispatcher.
            pass
        except Exception as error:
            # An unexpected response must fail this attempt only, not the daemon.
            log_warning("attempt failed with an internal error", error=repr(error))
            result = _unexpected_failure(exchange, action)
        finally:
            exchange.attempt_scopes.pop(action.attempt, None)
            span.set_attribute("outcome", _outcome_of(result))
            span.end()
        if result is None:
            observations.record_attempt_cancelled(action.request_id, action.attempt)
        else:
            self.notify(result)
        if not isinstance(result, AttemptFinished):
            self._schedule_engine_cancel(attempt)

    def _schedule_engine_cancel(self, attempt: Attempt) -> None:
        is_engine = isinstance(attempt.exchange.call, EngineCall)
        if not is_engine or self._cancels_in_flight >= MAX_CANCELS_IN_FLIGHT:
            return
        self._cancels_in_flight += 1
        self._group.start_soon(self._cancel_at_engine, attempt)

    async def _cancel_at_engine(self, attempt: Attempt) -> None:
        try:
            await cancel_at_engine(attempt)
        finally:
            self._cancels_in_flight -= 1


async def _run_attempt(attempt: Attempt) -> AttemptResult:
    call = attempt.exchange.call
    engine_response = attempt.exchange.engine_response
    if isinstance(call, EngineCall) and engine_response is not None:
        return await run_engine_attempt(attempt, call, engine_response)
    assert isinstance(call, ServiceCall)
    return await run_service_attempt(attempt, call)


def _unexpected_failure(exchange: Exchange, action: StartAttempt) -> AttemptFailed:
    return AttemptFailed(
        request_id=action.request_id,
        attempt=action.attempt,
        verdict=Verdict.MAY_HAVE_RUN,
        kind="server_error",
        server_retry_after_s=None,
        output_began=exchange.output_began,
    )


def _outcome_of(result: AttemptResult | None) -> str:
    if result is None:
        return "cancelled"
    if isinstance(result, AttemptFinished):
        return "finished"
    return f"{result.kind}, {result.verdict.value}"


def _end_queue_span(exchange: Exchange) -> None:
    span: Span | None = exchange.queue_span
    if span is not None:
        span.end()
        exchange.queue_span = None


def make_dispatch_service(deps: DispatchDependencies) -> Service:
    """Return the service ``dispatch``, which needs ``fleet``."""

    async def run(kernel: Kernel, task_status: TaskStatus[DispatchApi]) -> None:
        fleet = kernel.find("fleet", Fleet)
        async with make_http_client() as http, anyio.create_task_group() as group:
            task = DispatchLoop(deps, http, group)
            deps.observations.register_load_gauges(
                task.count_requests, task.count_attempts
            )
            fleet.subscribe(task.on_fleet_change)
            group.start_soon(task.run)
            group.start_soon(every, deps.timer, TICK_PERIOD_S, task.tick)
            task_status.started(DispatchApi(task.submit, task.release, task.waiting))
            await kernel.stop_event("dispatch").wait()
            task.notify(StopDispatching())
            group.cancel_scope.cancel()

    return Service("dispatch", run)
