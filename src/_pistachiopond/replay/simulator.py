"""Replays a trace through the dispatchers on virtual time.

A load balancer without knowledge of load sends each arrival to a random entry
daemon. Each daemon runs the same dispatcher as a live process; engines are fakes.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.dispatch import make_dispatcher
from _pistachiopond.decisions.dispatch_options import DispatchOptions
from _pistachiopond.decisions.dispatch_types import (
    Action,
    Arrived,
    AttemptFailed,
    AttemptFinished,
    CancelAttempt,
    Event,
    FirstToken,
    ManifestChanged,
    Progress,
    Refuse,
    RequestFacts,
    StartAttempt,
    Tick,
    ViewReceived,
)
from _pistachiopond.decisions.failure_kinds import FailureKind
from _pistachiopond.decisions.routing import Place
from _pistachiopond.replay.central_queue import CentralQueue
from _pistachiopond.replay.engine import NEVER, FakeEngine, Job, JobEvent
from _pistachiopond.replay.event_loop import EventLoop
from _pistachiopond.replay.fake_control import PLAN_PERIOD_S, FakeControl, FakeServer
from _pistachiopond.replay.fault_injection import schedule_faults
from _pistachiopond.replay.faults import Scenario
from _pistachiopond.replay.measures import Counts, RequestResult
from _pistachiopond.replay.parameters import Parameters
from _pistachiopond.replay.policies import Policy
from _pistachiopond.replay.simulation_types import (
    Attempt,
    EntryDaemon,
    EventHandler,
    TokenBucket,
)
from _pistachiopond.replay.trace import Trace, TraceRecord
from _pistachiopond.schema.verdict import Verdict

TICK_PERIOD_S: Final = 0.1
# How long the replay goes on at most after the trace's end, while requests are open.
MAX_DRAIN_S: Final = 120.0
CONNECT_TIMEOUT_S: Final = 1.0
# Share of the trace from which the demand for the initial placement is taken.
INITIAL_DEMAND_SHARE: Final = 0.1


class RunResult(NamedTuple):
    """The outcome of a replay: a result for each request, and totals."""

    request_results: tuple[RequestResult, ...]
    counts: Counts


@final
class Simulation:
    """One run of a trace under a policy and a scenario of faults.

    Parameters
    ----------
    trace : Trace
        The arrivals, and the manifest in force.
    daemon_places : tuple of Place
        One place for each entry daemon.
    policy : Policy
        How requests are dispatched and models placed.
    scenario : Scenario
        The faults to inject.
    seed : int
        Of the load balancer, the lost cache events and the dispatchers.
    parameters : Parameters
        Of engines and network.
    has_limits : bool
        Whether customers are held to their rates.
    on_progress : callable or None
        Receives the share of the trace that has been replayed.
    """

    def __init__(
        self,
        trace: Trace,
        daemon_places: tuple[Place, ...],
        policy: Policy,
        scenario: Scenario,
        seed: int,
        parameters: Parameters,
        *,
        has_limits: bool = True,
        on_progress: Callable[[float], None] | None = None,
    ) -> None:
        self.loop = EventLoop()
        self.trace = trace
        self._policy = policy
        self.is_central = policy.is_central
        self.parameters = parameters
        self._on_progress = on_progress
        self.rng = random.Random(f"balancer/{seed}")
        self._cache_event_rng = random.Random(f"cache/{seed}")
        self._length_s = trace.records[-1].arrival_s if trace.records else 0.0
        self._buckets = {
            customer.name: TokenBucket(
                customer.rate_tokens_per_s, customer.burst_tokens
            )
            for customer in trace.manifest.customers
            if has_limits
        }
        self.results: dict[str, RequestResult] = {}
        self.attempts: dict[str, Attempt] = {}
        # Grows with each change of a server's engine; a call that was scheduled
        # for an older version does nothing.
        self.engine_versions: dict[str, int] = {}
        self.daemon_by_request: dict[str, int] = {}
        self.servers = {
            server.name: self._make_server(server.name)
            for server in trace.manifest.backend_servers
        }
        self.control = FakeControl(self.loop, trace.manifest, self.servers, parameters)
        self.daemons = self._make_daemons(daemon_places, seed)
        self._attempt_count = 0
        self._wasted_tokens = 0.0
        schedule_faults(self, scenario)

    def run(self) -> RunResult:
        """Run to the end of the trace and until all requests have ended.

        Requests still open `MAX_DRAIN_S` after the trace's end stay unfinished.
        """
        self._start()
        end_s = self._length_s + MAX_DRAIN_S
        step_s = max(1.0, self._length_s / 20)
        while self.loop.now_s < end_s:
            before_s = self.loop.now_s
            self.loop.run(min(end_s, before_s + step_s))
            if self._on_progress is not None:
                self._on_progress(min(1.0, self.loop.now_s / self._length_s))
            is_over = self.loop.now_s >= self._length_s and not self._has_unfinished()
            if is_over or self.loop.now_s == before_s:
                break
        return RunResult(tuple(self.results.values()), self._counts())

    def _start(self) -> None:
        self.control.place_initially(self._initial_demand())
        self._send_views()
        for daemon in self._dispatching_daemons():
            daemon.dispatcher.handle(ManifestChanged(self.trace.manifest), 0.0)
        for index, record in enumerate(self.trace.records):
            self.results[str(index)] = RequestResult(record)
        self._schedule_arrival(0)
        until_s = self._length_s + MAX_DRAIN_S
        network = self.parameters.network
        self.loop.call_every(network.view_period_s, until_s, self._send_views)
        self.loop.call_every(TICK_PERIOD_S, until_s, self._tick)
        if self._policy.placement == "planned":
            self.loop.call_every(PLAN_PERIOD_S, until_s, self.control.plan)

    def _initial_demand(self) -> dict[str, float]:
        """Return the demand for each model at the trace's start, in tokens/s."""
        window_s = max(1.0, self._length_s * INITIAL_DEMAND_SHARE)
        demand: dict[str, float] = {}
        for record in self.trace.records:
            if record.arrival_s > window_s:
                break
            if record.model is not None:
                tokens = record.output_tokens + 0.1 * record.prompt_tokens
                demand[record.model] = demand.get(record.model, 0.0) + tokens / window_s
        return demand

    def _make_server(self, name: str) -> FakeServer:
        spec = next(s for s in self.trace.manifest.backend_servers if s.name == name)
        engine = FakeEngine(self.parameters.engine)
        server = FakeServer(spec, engine)

        def on_cached(prefix_id: str) -> None:
            if (
                self._cache_event_rng.random()
                >= self.parameters.network.cache_event_loss
            ):
                server.cache_events.append(prefix_id)

        engine.on_cached = on_cached
        self.engine_versions[name] = 0
        return server

    def _make_daemons(self, places: tuple[Place, ...], seed: int) -> list[EntryDaemon]:
        if self.is_central:
            queue = CentralQueue(
                lambda name: self.servers[name].engine,
                lambda facts: self.control.eligible_servers(facts.service, facts.model),
                self.parameters.engine,
            )
            return [EntryDaemon(place, queue) for place in places]
        return [
            EntryDaemon(place, self.make_dispatcher(index, place, seed))
            for index, place in enumerate(places)
        ]

    def make_dispatcher(
        self, daemon_index: int, place: Place, seed: int
    ) -> EventHandler:
        """Return a new dispatcher for that daemon."""
        options = DispatchOptions(f"daemon-{daemon_index}", place)
        options = options._replace(**self._policy.option_overrides)
        return make_dispatcher(options, seed * 1_000 + daemon_index)

    def _dispatching_daemons(self) -> list[EntryDaemon]:
        """Return one daemon for each dispatcher; the central queue is shared."""
        return self.daemons[:1] if self.is_central else self.daemons

    def _has_unfinished(self) -> bool:
        return any(result.status == "unfinished" for result in self.results.values())

    def _schedule_arrival(self, index: int) -> None:
        """Schedule one arrival, which schedules the next one."""
        if index >= len(self.trace.records):
            return
        record = self.trace.records[index]

        def arrive() -> None:
            self._handle_arrival(str(index), record)
            self._schedule_arrival(index + 1)

        self.loop.call_at(record.arrival_s, arrive)

    def _handle_arrival(self, request_id: str, record: TraceRecord) -> None:
        """Apply the customer's limit and pass the request to a random daemon."""
        result = self.results[request_id]
        if record.model is not None:
            self.control.record_arrival(
                record.model, record.prompt_tokens, record.output_tokens
            )
        bucket = self._buckets.get(record.customer)
        tokens = float(record.prompt_tokens + record.output_tokens)
        if bucket is not None and not bucket.try_take(tokens, self.loop.now_s):
            result.status = "over_rate"
            return
        in_rotation = [
            n for n, daemon in enumerate(self.daemons) if daemon.is_in_rotation
        ]
        daemon_index = self.rng.choice(in_rotation)
        if not self.daemons[daemon_index].is_up:
            result.status = "cut_off"
            return
        self.daemon_by_request[request_id] = daemon_index
        facts = RequestFacts(
            request_id=request_id,
            customer=record.customer,
            service=record.service,
            model=record.model,
            adapter=record.adapter,
            prompt_tokens=record.prompt_tokens,
            max_tokens=record.max_tokens,
            prefix_ids=record.prefix_ids,
            urgency=record.urgency,
            idempotent=record.idempotent,
            fingerprint=request_id,
        )
        self._dispatch(daemon_index, Arrived(facts))

    def _dispatch(self, daemon_index: int, event: Event) -> None:
        """Pass an event to the daemon's dispatcher and execute its actions."""
        daemon = self.daemons[daemon_index]
        if not daemon.is_up:
            return
        for action in daemon.dispatcher.handle(event, self.loop.now_s):
            self._execute(daemon_index, action)

    def _execute(self, daemon_index: int, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._start_attempt(daemon_index, action)
        elif isinstance(action, Refuse):
            result = self.results[action.request_id]
            result.code = action.failure.code
            has_output_begun = result.first_token_s is not None
            is_cut_off = (
                has_output_begun or action.failure.verdict is not Verdict.NOT_RUN
            )
            result.status = "cut_off" if is_cut_off else "refused"
        elif isinstance(action, CancelAttempt):
            attempt = self.attempts.pop(f"{action.request_id}/{action.attempt}", None)
            if attempt is not None:
                self.servers[attempt.server].engine.cancel(attempt.request_id)

    def _start_attempt(self, daemon_index: int, start: StartAttempt) -> None:
        self._attempt_count += 1
        server = self.servers[start.server]
        attempt = Attempt(
            daemon_index,
            start.request_id,
            start.attempt,
            start.server,
            server.incarnation,
        )
        key = f"{start.request_id}/{start.attempt}"
        self.attempts[key] = attempt
        model = self.results[start.request_id].record.model
        if model is not None:
            server.in_flight[model] = server.in_flight.get(model, 0) + 1
        delay_s = self._one_way_delay_s(daemon_index, server)
        self.loop.call_after(delay_s, lambda: self._submit_attempt(key, start.priority))

    def _one_way_delay_s(self, daemon_index: int, server: FakeServer) -> float:
        place = self.daemons[daemon_index].place
        network = self.parameters.network
        if place.data_centre == server.spec.data_centre:
            return network.same_data_centre_s
        if place.region == server.spec.region:
            return network.same_region_s
        return network.other_region_s

    def is_unreachable(self, daemon_index: int, server: FakeServer) -> bool:
        """Return whether a cut between regions separates daemon and server."""
        is_other_region = self.daemons[daemon_index].place.region != server.spec.region
        return self.control.cut_regions and is_other_region

    def _submit_attempt(self, key: str, priority: int) -> None:
        """Submit an attempt to the engine when it reaches the server."""
        attempt = self.attempts.get(key)
        if attempt is None:
            return
        server = self.servers[attempt.server]
        if self.is_unreachable(attempt.daemon_index, server):
            self.fail_attempt(key, "connect", Verdict.NOT_RUN, CONNECT_TIMEOUT_S)
            return
        if not server.is_up:
            delay_s = CONNECT_TIMEOUT_S if server.is_silent else 0.001
            self.fail_attempt(key, "connect", Verdict.NOT_RUN, delay_s)
            return
        if server.is_failing:
            self.fail_attempt(key, "server_error", Verdict.MAY_HAVE_RUN, 0.005)
            return
        record = self.results[attempt.request_id].record
        self.advance_engine(attempt.server)
        server.engine.submit(
            Job(
                key,
                priority,
                record.prompt_tokens,
                record.output_tokens,
                record.prefix_ids,
            )
        )
        self.schedule_next_change(attempt.server)

    def advance_engine(self, server_name: str) -> None:
        """Advance the server's engine to the current time and send its events."""
        server = self.servers[server_name]
        for event in server.engine.advance(self.loop.now_s):
            self._send_job_event(event)

    def schedule_next_change(self, server_name: str) -> None:
        """Schedule the next event of the server's engine."""
        self.engine_versions[server_name] += 1
        version = self.engine_versions[server_name]
        when_s = self.servers[server_name].engine.next_change_s()
        if when_s == NEVER:
            return

        def change() -> None:
            if self.engine_versions[server_name] == version:
                self.advance_engine(server_name)
                self.schedule_next_change(server_name)

        self.loop.call_at(when_s, change)

    def _send_job_event(self, event: JobEvent) -> None:
        """Deliver an engine's event to the daemon after the network delay."""
        attempt = self.attempts.get(event.job_id)
        if attempt is None:
            return
        server = self.servers[attempt.server]
        delay_s = self._one_way_delay_s(attempt.daemon_index, server)
        self.loop.call_after(delay_s, lambda: self._receive_job_event(event))

    def _receive_job_event(self, event: JobEvent) -> None:
        attempt = self.attempts.get(event.job_id)
        if attempt is None or not self.daemons[attempt.daemon_index].is_up:
            return
        if self.is_unreachable(attempt.daemon_index, self.servers[attempt.server]):
            return
        result = self.results[attempt.request_id]
        request_id, number = attempt.request_id, attempt.number
        if event.kind == "first_token":
            result.first_token_s = self.loop.now_s
            self.attempts[event.job_id] = attempt._replace(has_output=True)
            self._dispatch(attempt.daemon_index, FirstToken(request_id, number))
            return
        self._dispatch(attempt.daemon_index, Progress(request_id, number, event.tokens))
        if event.kind == "finished":
            result.finished_s = self.loop.now_s
            result.status = "answered"
            self.remove_attempt(event.job_id)
            self._dispatch(attempt.daemon_index, AttemptFinished(request_id, number))

    def remove_attempt(self, key: str) -> None:
        """Remove an attempt that has ended."""
        attempt = self.attempts.pop(key)
        model = self.results[attempt.request_id].record.model
        if model is not None:
            self.servers[attempt.server].in_flight[model] -= 1

    def fail_attempt(
        self, key: str, kind: FailureKind, verdict: Verdict, delay_s: float
    ) -> None:
        """Report the attempt to its daemon as failed after a delay."""

        def report() -> None:
            attempt = self.attempts.get(key)
            if attempt is None:
                return
            self.remove_attempt(key)
            if verdict is not Verdict.NOT_RUN:
                record = self.results[attempt.request_id].record
                self._wasted_tokens += (
                    record.output_tokens / 2 if attempt.has_output else 0
                )
            event = AttemptFailed(
                attempt.request_id,
                attempt.number,
                verdict,
                kind,
                None,
                attempt.has_output,
            )
            self._dispatch(attempt.daemon_index, event)

        self.loop.call_after(delay_s, report)

    def _tick(self) -> None:
        for index, daemon in enumerate(self._dispatching_daemons()):
            if daemon.is_up or self.is_central:
                self._dispatch(index, Tick())

    def _send_views(self) -> None:
        for name in self.servers:
            self.advance_engine(name)
            self.schedule_next_change(name)
        self.control.collect_reports()
        views = {
            region: self.control.make_view(region)
            for region in {d.place.region for d in self.daemons}
        }
        for index, daemon in enumerate(self._dispatching_daemons()):
            self._dispatch(index, ViewReceived(views[daemon.place.region]))

    def _counts(self) -> Counts:
        control = self.control
        return Counts(
            seconds=max(1.0, self._length_s),
            accelerators=sum(s.spec.accelerators for s in self.servers.values()),
            moves=control.moves,
            generated_tokens=sum(
                s.engine.generated_tokens for s in self.servers.values()
            ),
            wasted_tokens=self._wasted_tokens,
            unreachable_models=len(control.unreachable),
            memory_over_mb=max(0.0, control.memory_over_mb),
            order_appends=control.order_appends,
            attempts=self._attempt_count,
            events=self.loop.event_count,
        )
