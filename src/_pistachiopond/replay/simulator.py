"""Replays a trace through the dispatchers on the virtual clock.

A balancer that knows nothing sends each arrival to a random entry daemon. Each
daemon runs the same dispatcher as a live process; engines are fakes.
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
    FailureKind,
    FirstToken,
    ManifestChanged,
    Progress,
    Refuse,
    RequestFacts,
    StartAttempt,
    Tick,
    ViewReceived,
)
from _pistachiopond.decisions.routing import Place
from _pistachiopond.replay.central import CentralQueue
from _pistachiopond.replay.clock import EventLoop
from _pistachiopond.replay.engine import NEVER, FakeEngine, Job, Notice
from _pistachiopond.replay.fake_control import PLAN_PERIOD_S, FakeControl, Holder
from _pistachiopond.replay.fault_injection import schedule_faults
from _pistachiopond.replay.faults import Scenario
from _pistachiopond.replay.measures import Counts, Fate
from _pistachiopond.replay.parameters import Parameters
from _pistachiopond.replay.parts import Attempt, Bucket, Daemon, Decider
from _pistachiopond.replay.policies import Policy
from _pistachiopond.replay.trace import Trace, TraceRecord
from _pistachiopond.schema.verdict import Verdict

TICK_S: Final = 0.1
DRAIN_S: Final = 120.0
CONNECT_TIMEOUT_S: Final = 1.0
FIRST_DEMAND_PART: Final = 0.1


class RunResult(NamedTuple):
    """What a replay gives."""

    fates: tuple[Fate, ...]
    counts: Counts


@final
class Simulation:
    """One run of a trace under a policy and a fault script."""

    def __init__(
        self,
        trace: Trace,
        daemons: tuple[Place, ...],
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
        self._loss = random.Random(f"cache/{seed}")
        self._length_s = trace.records[-1].arrival_s if trace.records else 0.0
        self._buckets = {
            customer.name: Bucket(customer.rate_tokens_per_s, customer.burst_tokens)
            for customer in trace.manifest.customers
            if has_limits
        }
        self.fates: dict[str, Fate] = {}
        self.attempts: dict[str, Attempt] = {}
        self.versions: dict[str, int] = {}
        self.owner: dict[str, int] = {}
        self.holders = {
            server.name: self._make_holder(server.name)
            for server in trace.manifest.backend_servers
        }
        self.control = FakeControl(self.loop, trace.manifest, self.holders, parameters)
        self.daemons = self._make_daemons(daemons, seed)
        self._attempt_count = 0
        self._wasted = 0.0
        schedule_faults(self, scenario)

    def run(self) -> RunResult:
        """Run to the end of the trace and until the last answer."""
        self._start()
        end_s = self._length_s + DRAIN_S
        step_s = max(1.0, self._length_s / 20)
        while self.loop.now_s < end_s:
            before_s = self.loop.now_s
            self.loop.run(min(end_s, before_s + step_s))
            if self._on_progress is not None:
                self._on_progress(min(1.0, self.loop.now_s / self._length_s))
            is_over = self.loop.now_s >= self._length_s and not self._open()
            if is_over or self.loop.now_s == before_s:
                break
        return RunResult(tuple(self.fates.values()), self._counts())

    def _start(self) -> None:
        self.control.place_first(self._first_demand())
        self._send_views()
        for daemon in self._deciders():
            daemon.decider.handle(ManifestChanged(self.trace.manifest), 0.0)
        for number, record in enumerate(self.trace.records):
            self.fates[str(number)] = Fate(record)
        self._next_arrival(0)
        until_s = self._length_s + DRAIN_S
        network = self.parameters.network
        self.loop.every(network.view_period_s, until_s, self._send_views)
        self.loop.every(TICK_S, until_s, self._tick)
        if self._policy.placement == "planned":
            self.loop.every(PLAN_PERIOD_S, until_s, self.control.plan)

    def _first_demand(self) -> dict[str, float]:
        first_s = max(1.0, self._length_s * FIRST_DEMAND_PART)
        demand: dict[str, float] = {}
        for record in self.trace.records:
            if record.arrival_s > first_s:
                break
            if record.model is not None:
                tokens = record.output_tokens + 0.1 * record.prompt_tokens
                demand[record.model] = demand.get(record.model, 0.0) + tokens / first_s
        return demand

    def _make_holder(self, name: str) -> Holder:
        facts = next(s for s in self.trace.manifest.backend_servers if s.name == name)
        engine = FakeEngine(self.parameters.engine)
        holder = Holder(facts, engine)

        def on_cached(prefix_id: str) -> None:
            if self._loss.random() >= self.parameters.network.cache_event_loss:
                holder.cache_events.append(prefix_id)

        engine.on_cached = on_cached
        self.versions[name] = 0
        return holder

    def _make_daemons(self, places: tuple[Place, ...], seed: int) -> list[Daemon]:
        if self.is_central:
            queue = CentralQueue(
                lambda name: self.holders[name].engine,
                lambda facts: self.control.eligible(facts.service, facts.model),
                self.parameters.engine,
            )
            return [Daemon(place, queue) for place in places]
        return [
            Daemon(place, self.make_dispatcher(number, place, seed))
            for number, place in enumerate(places)
        ]

    def make_dispatcher(self, number: int, place: Place, seed: int) -> Decider:
        """Return a new dispatcher for that daemon."""
        options = DispatchOptions(f"daemon-{number}", place)
        options = options._replace(**self._policy.changes)
        return make_dispatcher(options, seed * 1_000 + number)

    def _deciders(self) -> list[Daemon]:
        return self.daemons[:1] if self.is_central else self.daemons

    def _open(self) -> bool:
        return any(fate.ending == "unfinished" for fate in self.fates.values())

    def _next_arrival(self, number: int) -> None:
        if number >= len(self.trace.records):
            return
        record = self.trace.records[number]

        def arrive() -> None:
            self._arrive(str(number), record)
            self._next_arrival(number + 1)

        self.loop.at(record.arrival_s, arrive)

    def _arrive(self, request_id: str, record: TraceRecord) -> None:
        fate = self.fates[request_id]
        if record.model is not None:
            self.control.note_arrival(
                record.model, record.prompt_tokens, record.output_tokens
            )
        bucket = self._buckets.get(record.customer)
        tokens = float(record.prompt_tokens + record.output_tokens)
        if bucket is not None and not bucket.take(tokens, self.loop.now_s):
            fate.ending = "over_rate"
            return
        listed = [n for n, daemon in enumerate(self.daemons) if daemon.listed]
        number = self.rng.choice(listed)
        if not self.daemons[number].is_up:
            fate.ending = "cut_off"
            return
        self.owner[request_id] = number
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
        self._handle(number, Arrived(facts))

    def _handle(self, number: int, event: Event) -> None:
        daemon = self.daemons[number]
        if not daemon.is_up:
            return
        for action in daemon.decider.handle(event, self.loop.now_s):
            self._act(number, action)

    def _act(self, number: int, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._begin_attempt(number, action)
        elif isinstance(action, Refuse):
            fate = self.fates[action.request_id]
            fate.code = action.failure.code
            began = fate.first_token_s is not None
            is_cut = began or action.failure.verdict is not Verdict.NOT_RUN
            fate.ending = "cut_off" if is_cut else "refused"
        elif isinstance(action, CancelAttempt):
            attempt = self.attempts.pop(f"{action.request_id}/{action.attempt}", None)
            if attempt is not None:
                self.holders[attempt.server].engine.cancel(attempt.request_id)

    def _begin_attempt(self, number: int, start: StartAttempt) -> None:
        self._attempt_count += 1
        holder = self.holders[start.server]
        attempt = Attempt(
            number, start.request_id, start.attempt, start.server, holder.incarnation
        )
        key = f"{start.request_id}/{start.attempt}"
        self.attempts[key] = attempt
        model = self.fates[start.request_id].record.model
        if model is not None:
            holder.in_flight[model] = holder.in_flight.get(model, 0) + 1
        delay_s = self._one_way_s(number, holder)
        self.loop.after(delay_s, lambda: self._reach(key, start.priority))

    def _one_way_s(self, number: int, holder: Holder) -> float:
        place = self.daemons[number].place
        network = self.parameters.network
        if place.data_centre == holder.facts.data_centre:
            return network.same_data_centre_s
        if place.region == holder.facts.region:
            return network.same_region_s
        return network.other_region_s

    def is_cut(self, number: int, holder: Holder) -> bool:
        """Return whether the daemon cannot reach the server."""
        is_far = self.daemons[number].place.region != holder.facts.region
        return self.control.cut_regions and is_far

    def _reach(self, key: str, priority: int) -> None:
        attempt = self.attempts.get(key)
        if attempt is None:
            return
        holder = self.holders[attempt.server]
        if self.is_cut(attempt.daemon, holder):
            self.fail(key, "connect", Verdict.NOT_RUN, CONNECT_TIMEOUT_S)
            return
        if not holder.is_up:
            delay_s = CONNECT_TIMEOUT_S if holder.is_silent else 0.001
            self.fail(key, "connect", Verdict.NOT_RUN, delay_s)
            return
        if holder.is_failing:
            self.fail(key, "server_error", Verdict.MAY_HAVE_RUN, 0.005)
            return
        record = self.fates[attempt.request_id].record
        self.advance(attempt.server)
        holder.engine.submit(
            Job(
                key,
                priority,
                record.prompt_tokens,
                record.output_tokens,
                record.prefix_ids,
            )
        )
        self.reschedule(attempt.server)

    def advance(self, server: str) -> None:
        """Move the server's engine to the present time."""
        holder = self.holders[server]
        for notice in holder.engine.advance(self.loop.now_s):
            self._notice(notice)

    def reschedule(self, server: str) -> None:
        """Plan the next change of the server's engine."""
        self.versions[server] += 1
        version = self.versions[server]
        when_s = self.holders[server].engine.next_change_s()
        if when_s == NEVER:
            return

        def change() -> None:
            if self.versions[server] == version:
                self.advance(server)
                self.reschedule(server)

        self.loop.at(when_s, change)

    def _notice(self, notice: Notice) -> None:
        attempt = self.attempts.get(notice.job_id)
        if attempt is None:
            return
        holder = self.holders[attempt.server]
        delay_s = self._one_way_s(attempt.daemon, holder)
        self.loop.after(delay_s, lambda: self._see(notice))

    def _see(self, notice: Notice) -> None:
        attempt = self.attempts.get(notice.job_id)
        if attempt is None or not self.daemons[attempt.daemon].is_up:
            return
        if self.is_cut(attempt.daemon, self.holders[attempt.server]):
            return
        fate = self.fates[attempt.request_id]
        request_id, number = attempt.request_id, attempt.number
        if notice.kind == "first_token":
            fate.first_token_s = self.loop.now_s
            self.attempts[notice.job_id] = attempt._replace(has_output=True)
            self._handle(attempt.daemon, FirstToken(request_id, number))
            return
        self._handle(attempt.daemon, Progress(request_id, number, notice.tokens))
        if notice.kind == "finished":
            fate.finished_s = self.loop.now_s
            fate.ending = "answered"
            self.forget(notice.job_id)
            self._handle(attempt.daemon, AttemptFinished(request_id, number))

    def forget(self, key: str) -> None:
        """Drop an attempt that is over."""
        attempt = self.attempts.pop(key)
        model = self.fates[attempt.request_id].record.model
        if model is not None:
            self.holders[attempt.server].in_flight[model] -= 1

    def fail(
        self, key: str, kind: FailureKind, verdict: Verdict, delay_s: float
    ) -> None:
        """Tell the daemon after a delay that the attempt has failed."""

        def tell() -> None:
            attempt = self.attempts.get(key)
            if attempt is None:
                return
            self.forget(key)
            if verdict is not Verdict.NOT_RUN:
                record = self.fates[attempt.request_id].record
                self._wasted += record.output_tokens / 2 if attempt.has_output else 0
            event = AttemptFailed(
                attempt.request_id,
                attempt.number,
                verdict,
                kind,
                None,
                attempt.has_output,
            )
            self._handle(attempt.daemon, event)

        self.loop.after(delay_s, tell)

    def _tick(self) -> None:
        for number, daemon in enumerate(self._deciders()):
            if daemon.is_up or self.is_central:
                self._handle(number, Tick())

    def _send_views(self) -> None:
        for name in self.holders:
            self.advance(name)
            self.reschedule(name)
        self.control.take_reports()
        views = {
            p: self.control.view(p) for p in {d.place.region for d in self.daemons}
        }
        for number, daemon in enumerate(self._deciders()):
            self._handle(number, ViewReceived(views[daemon.place.region]))

    def _counts(self) -> Counts:
        control = self.control
        return Counts(
            seconds=max(1.0, self._length_s),
            accelerators=sum(h.facts.accelerators for h in self.holders.values()),
            moves=control.moves,
            generated_tokens=sum(
                h.engine.generated_tokens for h in self.holders.values()
            ),
            wasted_tokens=self._wasted,
            unreachable_models=len(control.unreachable),
            memory_over_mb=max(0.0, control.memory_over_mb),
            order_appends=control.order_appends,
            attempts=self._attempt_count,
            events=self.loop.events,
        )
