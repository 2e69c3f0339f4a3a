"""Replays a trace through the dispatchers on the virtual clock.

A balancer that knows nothing sends each arrival to a random entry daemon. Each
daemon runs the same dispatcher as a live process; engines are fakes.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol, final

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
from _pistachiopond.replay.faults import Fault, Scenario
from _pistachiopond.replay.measures import Counts, Fate
from _pistachiopond.replay.parameters import Parameters
from _pistachiopond.replay.policies import Policy
from _pistachiopond.replay.trace import Trace, TraceRecord
from _pistachiopond.schema.verdict import Verdict

TICK_S: Final = 0.1
DRAIN_S: Final = 120.0
CONNECT_TIMEOUT_S: Final = 1.0
SILENCE_S: Final = 3.0
BALANCER_LAG_S: Final = 1.0
FIRST_DEMAND_PART: Final = 0.1


class Decider(Protocol):
    """A dispatcher, or what stands in for it."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take an event and return actions."""
        ...


class Attempt(NamedTuple):
    """An attempt that is on its way or runs."""

    daemon: int
    request_id: str
    number: int
    server: str
    incarnation: int
    has_output: bool = False


class RunResult(NamedTuple):
    """What a replay gives."""

    fates: tuple[Fate, ...]
    counts: Counts


@final
class Daemon:
    """One entry daemon of the replay."""

    def __init__(self, place: Place, decider: Decider) -> None:
        self.place = place
        self.decider = decider
        self.is_up = True
        self.listed = True


@final
class Bucket:
    """A customer's rate and burst as one perfect bucket."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate, self._burst, self._level, self._at_s = rate, burst, burst, 0.0

    def take(self, tokens: float, now_s: float) -> bool:
        """Take the tokens if they are there."""
        grown = self._level + self._rate * (now_s - self._at_s)
        self._level, self._at_s = min(self._burst, grown), now_s
        if self._level < tokens:
            return False
        self._level -= tokens
        return True


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
        self._trace = trace
        self._policy = policy
        self._parameters = parameters
        self._on_progress = on_progress
        self._rng = random.Random(f"balancer/{seed}")
        self._loss = random.Random(f"cache/{seed}")
        self._length_s = trace.records[-1].arrival_s if trace.records else 0.0
        self._buckets = {
            customer.name: Bucket(customer.rate_tokens_per_s, customer.burst_tokens)
            for customer in trace.manifest.customers
            if has_limits
        }
        self.fates: dict[str, Fate] = {}
        self._attempts: dict[str, Attempt] = {}
        self._versions: dict[str, int] = {}
        self._owner: dict[str, int] = {}
        self.holders = {
            server.name: self._make_holder(server.name)
            for server in trace.manifest.backend_servers
        }
        self.control = FakeControl(self.loop, trace.manifest, self.holders, parameters)
        self.daemons = self._make_daemons(daemons, seed)
        self._attempt_count = 0
        self._wasted = 0.0
        for fault in scenario:
            self.loop.at(fault.at_s, self._begin(fault))

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
            daemon.decider.handle(ManifestChanged(self._trace.manifest), 0.0)
        for number, record in enumerate(self._trace.records):
            self.fates[str(number)] = Fate(record)
        self._next_arrival(0)
        until_s = self._length_s + DRAIN_S
        network = self._parameters.network
        self.loop.every(network.view_period_s, until_s, self._send_views)
        self.loop.every(TICK_S, until_s, self._tick)
        if self._policy.placement == "planned":
            self.loop.every(PLAN_PERIOD_S, until_s, self.control.plan)

    def _first_demand(self) -> dict[str, float]:
        first_s = max(1.0, self._length_s * FIRST_DEMAND_PART)
        demand: dict[str, float] = {}
        for record in self._trace.records:
            if record.arrival_s > first_s:
                break
            if record.model is not None:
                tokens = record.output_tokens + 0.1 * record.prompt_tokens
                demand[record.model] = demand.get(record.model, 0.0) + tokens / first_s
        return demand

    def _make_holder(self, name: str) -> Holder:
        facts = next(s for s in self._trace.manifest.backend_servers if s.name == name)
        engine = FakeEngine(self._parameters.engine)
        holder = Holder(facts, engine)

        def on_cached(prefix_id: str) -> None:
            if self._loss.random() >= self._parameters.network.cache_event_loss:
                holder.cache_events.append(prefix_id)

        engine.on_cached = on_cached
        self._versions[name] = 0
        return holder

    def _make_daemons(self, places: tuple[Place, ...], seed: int) -> list[Daemon]:
        if self._policy.is_central:
            queue = CentralQueue(
                lambda name: self.holders[name].engine,
                lambda facts: self.control.eligible(facts.service, facts.model),
                self._parameters.engine,
            )
            return [Daemon(place, queue) for place in places]
        return [
            Daemon(place, self._make_dispatcher(number, place, seed))
            for number, place in enumerate(places)
        ]

    def _make_dispatcher(self, number: int, place: Place, seed: int) -> Decider:
        options = DispatchOptions(f"daemon-{number}", place)
        options = options._replace(**self._policy.changes)
        return make_dispatcher(options, seed * 1_000 + number)

    def _deciders(self) -> list[Daemon]:
        return self.daemons[:1] if self._policy.is_central else self.daemons

    def _open(self) -> bool:
        return any(fate.ending == "unfinished" for fate in self.fates.values())

    def _next_arrival(self, number: int) -> None:
        if number >= len(self._trace.records):
            return
        record = self._trace.records[number]

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
        number = self._rng.choice(listed)
        if not self.daemons[number].is_up:
            fate.ending = "cut_off"
            return
        self._owner[request_id] = number
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
            attempt = self._attempts.pop(f"{action.request_id}/{action.attempt}", None)
            if attempt is not None:
                self.holders[attempt.server].engine.cancel(attempt.request_id)

    def _begin_attempt(self, number: int, start: StartAttempt) -> None:
        self._attempt_count += 1
        holder = self.holders[start.server]
        attempt = Attempt(
            number, start.request_id, start.attempt, start.server, holder.incarnation
        )
        key = f"{start.request_id}/{start.attempt}"
        self._attempts[key] = attempt
        model = self.fates[start.request_id].record.model
        if model is not None:
            holder.in_flight[model] = holder.in_flight.get(model, 0) + 1
        delay_s = self._one_way_s(number, holder)
        self.loop.after(delay_s, lambda: self._reach(key, start.priority))

    def _one_way_s(self, number: int, holder: Holder) -> float:
        place = self.daemons[number].place
        network = self._parameters.network
        if place.data_centre == holder.facts.data_centre:
            return network.same_data_centre_s
        if place.region == holder.facts.region:
            return network.same_region_s
        return network.other_region_s

    def _is_cut(self, number: int, holder: Holder) -> bool:
        is_far = self.daemons[number].place.region != holder.facts.region
        return self.control.cut_regions and is_far

    def _reach(self, key: str, priority: int) -> None:
        attempt = self._attempts.get(key)
        if attempt is None:
            return
        holder = self.holders[attempt.server]
        if self._is_cut(attempt.daemon, holder):
            self._fail(key, "connect", Verdict.NOT_RUN, CONNECT_TIMEOUT_S)
            return
        if not holder.is_up:
            delay_s = CONNECT_TIMEOUT_S if holder.is_silent else 0.001
            self._fail(key, "connect", Verdict.NOT_RUN, delay_s)
            return
        record = self.fates[attempt.request_id].record
        self._advance(attempt.server)
        holder.engine.submit(
            Job(
                key,
                priority,
                record.prompt_tokens,
                record.output_tokens,
                record.prefix_ids,
            )
        )
        self._reschedule(attempt.server)

    def _advance(self, server: str) -> None:
        holder = self.holders[server]
        for notice in holder.engine.advance(self.loop.now_s):
            self._notice(notice)

    def _reschedule(self, server: str) -> None:
        self._versions[server] += 1
        version = self._versions[server]
        when_s = self.holders[server].engine.next_change_s()
        if when_s == NEVER:
            return

        def change() -> None:
            if self._versions[server] == version:
                self._advance(server)
                self._reschedule(server)

        self.loop.at(when_s, change)

    def _notice(self, notice: Notice) -> None:
        attempt = self._attempts.get(notice.job_id)
        if attempt is None:
            return
        holder = self.holders[attempt.server]
        delay_s = self._one_way_s(attempt.daemon, holder)
        self.loop.after(delay_s, lambda: self._see(notice))

    def _see(self, notice: Notice) -> None:
        attempt = self._attempts.get(notice.job_id)
        if attempt is None or not self.daemons[attempt.daemon].is_up:
            return
        if self._is_cut(attempt.daemon, self.holders[attempt.server]):
            return
        fate = self.fates[attempt.request_id]
        request_id, number = attempt.request_id, attempt.number
        if notice.kind == "first_token":
            fate.first_token_s = self.loop.now_s
            self._attempts[notice.job_id] = attempt._replace(has_output=True)
            self._handle(attempt.daemon, FirstToken(request_id, number))
            return
        self._handle(attempt.daemon, Progress(request_id, number, notice.tokens))
        if notice.kind == "finished":
            fate.finished_s = self.loop.now_s
            fate.ending = "answered"
            self._forget(notice.job_id)
            self._handle(attempt.daemon, AttemptFinished(request_id, number))

    def _forget(self, key: str) -> None:
        attempt = self._attempts.pop(key)
        model = self.fates[attempt.request_id].record.model
        if model is not None:
            self.holders[attempt.server].in_flight[model] -= 1

    def _fail(
        self, key: str, kind: FailureKind, verdict: Verdict, delay_s: float
    ) -> None:
        def tell() -> None:
            attempt = self._attempts.get(key)
            if attempt is None:
                return
            self._forget(key)
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
            if daemon.is_up or self._policy.is_central:
                self._handle(number, Tick())

    def _send_views(self) -> None:
        for name in self.holders:
            self._advance(name)
            self._reschedule(name)
        self.control.take_reports()
        views = {
            p: self.control.view(p) for p in {d.place.region for d in self.daemons}
        }
        for number, daemon in enumerate(self._deciders()):
            self._handle(number, ViewReceived(views[daemon.place.region]))

    def _begin(self, fault: Fault) -> Callable[[], None]:
        def begin() -> None:
            end = self._apply(fault)
            self.loop.after(fault.duration_s, end)

        return begin

    def _apply(self, fault: Fault) -> Callable[[], None]:
        """Begin the fault and return what ends it."""
        control = self.control
        if fault.kind == "log_outage":
            control.is_log_out = True
            return lambda: setattr(control, "is_log_out", False)
        if fault.kind == "stale_reports":
            control.are_reports_stale = True
            return lambda: setattr(control, "are_reports_stale", False)
        if fault.kind == "region_cut":
            return self._cut_regions()
        if fault.kind == "vm_loss":
            return self._lose_daemons(self._share(len(self.daemons), fault.share))
        if fault.kind == "server_loss":
            names = sorted(n for n, h in self.holders.items() if h.facts.accelerators)
            lost = self._rng.sample(names, self._share(len(names), fault.share))
            return self._lose_servers(lost, "reset", 0.01)
        return self._lose_data_centre()

    def _share(self, count: int, share: float) -> int:
        return max(1, int(count * share))

    def _cut_regions(self) -> Callable[[], None]:
        self.control.cut_regions = True
        for key, attempt in list(self._attempts.items()):
            if self._is_cut(attempt.daemon, self.holders[attempt.server]):
                self._fail(key, "silent", Verdict.MAY_HAVE_RUN, SILENCE_S)
        return lambda: setattr(self.control, "cut_regions", False)

    def _lose_data_centre(self) -> Callable[[], None]:
        data_centre = self.daemons[0].place.data_centre
        numbers = [
            n for n, d in enumerate(self.daemons) if d.place.data_centre == data_centre
        ]
        names = [
            n for n, h in self.holders.items() if h.facts.data_centre == data_centre
        ]
        restore_daemons = self._stop_daemons(numbers)
        restore_servers = self._lose_servers(names, "silent", SILENCE_S)

        def restore() -> None:
            restore_daemons()
            restore_servers()

        return restore

    def _lose_daemons(self, count: int) -> Callable[[], None]:
        return self._stop_daemons(self._rng.sample(range(len(self.daemons)), count))

    def _stop_daemons(self, numbers: list[int]) -> Callable[[], None]:
        for number in numbers:
            self.daemons[number].is_up = False
        for key, attempt in list(self._attempts.items()):
            if attempt.daemon in numbers:
                self.holders[attempt.server].engine.cancel(key)
                self._forget(key)
        for fate_id, fate in self.fates.items():
            if fate.ending == "unfinished" and self._owner.get(fate_id) in numbers:
                fate.ending = "cut_off"

        def unlist() -> None:
            for number in numbers:
                self.daemons[number].listed = False

        self.loop.after(BALANCER_LAG_S, unlist)
        return lambda: self._restart_daemons(numbers)

    def _restart_daemons(self, numbers: list[int]) -> None:
        for number in numbers:
            daemon = self.daemons[number]
            if not self._policy.is_central:
                seed = number + 7
                daemon.decider = self._make_dispatcher(number, daemon.place, seed)
                daemon.decider.handle(
                    ManifestChanged(self._trace.manifest), self.loop.now_s
                )
                view = self.control.view(daemon.place.region)
                daemon.decider.handle(ViewReceived(view), self.loop.now_s)
            daemon.is_up = daemon.listed = True

    def _lose_servers(
        self, names: list[str], kind: FailureKind, after_s: float
    ) -> Callable[[], None]:
        for name in names:
            holder = self.holders[name]
            self._advance(name)
            self._versions[name] += 1
            holder.is_up = False
            holder.is_silent = kind == "silent"
            holder.down_since_s = self.loop.now_s
            holder.incarnation += 1
            holder.replicas.clear()
            self._lost_work(holder)
        lost = set(names)
        for key, attempt in list(self._attempts.items()):
            if attempt.server in lost:
                self._fail(key, kind, Verdict.MAY_HAVE_RUN, after_s)

        def restore() -> None:
            for name in names:
                self.holders[name].is_up = True

        return restore

    def _lost_work(self, holder: Holder) -> None:
        old = holder.engine
        fresh = FakeEngine(self._parameters.engine)
        fresh.advance(self.loop.now_s)
        fresh.on_cached = old.on_cached
        fresh.generated_tokens = old.generated_tokens
        fresh.prefilled_tokens = old.prefilled_tokens
        holder.engine = fresh
        holder.cache_events.clear()

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
