"""Simulation for the control decisions: a log, one engine and a few control daemons.

The daemons run the shard claimant and the order tracking as the service does. The
test controls time, pauses and crashes, and when or whether messages arrive.
"""

import random
from typing import Final, NamedTuple, final

from _pistachiopond.clients.log import LogPage, LogRecord
from _pistachiopond.decisions.earlier_orders import (
    IN_FLIGHT_LIMIT_S,
    EarlierOrdersInput,
    decide_earlier_orders,
)
from _pistachiopond.decisions.memory import LOADING_VERBS, EngineReport, free_mb
from _pistachiopond.decisions.order_tracker import AppendIntent, OrderTracker, SendOrder
from _pistachiopond.decisions.ownership import (
    CLOCK_RATE_ERROR,
    ClaimantIdentity,
    ShardClaimant,
    ShardTerms,
)
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.engine import EngineModel, EngineOrder, EngineState
from _pistachiopond.schema.records import Order, SettlementRecord

SERVER: Final = "s"
MEMORY_MB: Final = 100
LEASE_S: Final = 10.0
ANSWER_LIMIT_S: Final = 5.0
MODELS: Final = {"a": 60, "b": 50, "c": 40}


class InFlightOrder(NamedTuple):
    """An order in flight to the engine."""

    order: Order
    epoch: int
    sender: str
    sent_s: float


@final
class FakeLog:
    """A log with one stream; the test decides when pending appends take effect."""

    def __init__(self) -> None:
        self.records: list[str] = []
        self.first = 0
        self.is_down = False
        self.pending_appends: list[str] = []

    def page(self, from_offset: int) -> LogPage:
        start = max(from_offset, self.first)
        records = tuple(
            LogRecord(offset, 0.0, self.records[offset])
            for offset in range(start, len(self.records))
        )
        return LogPage(self.first, len(self.records), records)


@final
class FakeEngine:
    """An engine that carries out every order that reaches it, unless fenced off."""

    def __init__(self, *, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.loaded: dict[str, int] = {}
        self.highest_fence = -1
        self.done: list[tuple[int, int]] = []
        self.most_used_mb = 0

    def take(self, order: Order, epoch: int) -> bool:
        if self.checks_fencing:
            if epoch < self.highest_fence:
                return False
            self.highest_fence = epoch
            if (epoch, order.number) in self.done:
                return True
        self.done.append((epoch, order.number))
        if order.verb in LOADING_VERBS:
            self.loaded[order.model] = order.memory_mb
        else:
            self.loaded.pop(order.model, None)
        self.most_used_mb = max(self.most_used_mb, sum(self.loaded.values()))
        return True

    def state(self) -> EngineState:
        return EngineState(
            incarnation="i",
            leaving=False,
            checks_fencing=self.checks_fencing,
            memory_mb=MEMORY_MB,
            models=tuple(
                EngineModel(name, "1", memory_mb, "ready")
                for name, memory_mb in sorted(self.loaded.items())
            ),
            highest_fencing_number=self.highest_fence,
            orders=tuple(
                EngineOrder(epoch, number, "done") for epoch, number in self.done
            ),
        )


@final
class FakeDaemon:
    """A control daemon that loads and unloads random models."""

    def __init__(self, simulation: "Simulation", name: str, rate: float) -> None:
        self.simulation = simulation
        self.name = name
        self.rate = rate
        self.is_paused = False
        self.is_dead = False
        identity = ClaimantIdentity(name, f"127.0.0.1:{len(simulation.daemons) + 1}")
        self.claimant = ShardClaimant(ShardTerms("servers-0", LEASE_S), identity)
        self.tracker = OrderTracker(name, identity.address)
        self.outbox: list[SendOrder] = []
        self.reports: dict[str, EngineReport] = {}
        self._asked: tuple[float, EngineState] | None = None
        self._open: dict[int, float] = {}

    def now_s(self) -> float:
        return self.simulation.now_s * self.rate

    def run(self, rng: random.Random) -> None:
        """Run each service loop once."""
        now_s = self.now_s()
        self._read_log(now_s)
        self._take_report(now_s)
        self._time_out(now_s)
        self._claim(now_s)
        state = self.claimant.state
        if state is None:
            return
        self.tracker.take_state(state, self.reports, now_s)
        lease = self.claimant.held(now_s)
        if lease is not None:
            self._plan(rng, now_s)
            self._settle_earlier_orders(now_s)
        for action in self.tracker.next_actions(lease, now_s):
            if isinstance(action, SendOrder):
                self.outbox.append(action)
            elif not isinstance(action, AppendIntent) or lease is not None:
                self.simulation.append(to_json(action.record))

    def _read_log(self, now_s: float) -> None:
        if not self.simulation.log.is_down:
            page = self.simulation.log.page(self.claimant.next_offset())
            self.claimant.take_page(page, now_s, now_s)

    def _take_report(self, now_s: float) -> None:
        if self._asked is not None:
            self.reports[SERVER] = EngineReport(self._asked[1], self._asked[0])
        self._asked = (now_s, self.simulation.engine.state())

    def _time_out(self, now_s: float) -> None:
        for number, sent_s in list(self._open.items()):
            if now_s - sent_s >= ANSWER_LIMIT_S:
                del self._open[number]
                self.tracker.record_answer(number, "unknown", now_s)

    def _claim(self, now_s: float) -> None:
        record = self.claimant.next_append(now_s, self.simulation.rank(self))
        if record is not None:
            self.simulation.append(to_json(record))

    def _plan(self, rng: random.Random, now_s: float) -> None:
        lease = self.claimant.held(now_s)
        report = self.reports.get(SERVER)
        if lease is None or report is None or report.asked_s <= lease.acquired_s:
            return
        model = rng.choice(sorted(MODELS))
        is_loaded = any(item.name == model for item in report.state.models)
        if self.tracker.is_open(SERVER, "load", model, ""):
            return
        if self.tracker.is_open(SERVER, "unload", model, ""):
            return
        if is_loaded:
            order = Order(0, SERVER, "unload", model, "1", "", 0)
            self.tracker.add(order, lease.epoch)
        elif free_mb(SERVER, report.state, self.tracker.intents()) >= MODELS[model]:
            order = Order(0, SERVER, "load", model, "1", "", MODELS[model])
            self.tracker.add(order, lease.epoch)

    def _settle_earlier_orders(self, now_s: float) -> None:
        lease = self.claimant.held(now_s)
        if lease is None:
            return
        engine = self.simulation.engine
        fenced = frozenset({SERVER} if engine.checks_fencing else ())
        facts = EarlierOrdersInput(
            self.name, lease.epoch, lease.acquired_s, fenced, self._gone(now_s)
        )
        decision = decide_earlier_orders(
            self.tracker.intents(), self.reports, facts, now_s
        )
        if decision.to_fence:
            engine.highest_fence = max(engine.highest_fence, lease.epoch)
        for intent in decision.settled:
            record = SettlementRecord(
                self.name, lease.epoch, intent.holder, (intent.order.number,)
            )
            self.simulation.append(to_json(record))

    def _gone(self, now_s: float) -> dict[str, float]:
        simulation_now_s = self.simulation.now_s
        return {
            name: now_s - (simulation_now_s - died_s) * self.rate
            for name, died_s in self.simulation.died_s.items()
        }

    def flush(self) -> None:
        """Send the orders decided on, no matter how long ago."""
        for action in self.outbox:
            self._open[action.order.number] = self.now_s()
            in_flight = InFlightOrder(
                action.order, action.epoch, self.name, self.simulation.now_s
            )
            self.simulation.in_flight.append(in_flight)
        self.outbox = []

    def take_answer(self, number: int, *, taken: bool) -> None:
        """Process the engine's answer unless it has timed out."""
        if self.is_dead or self._open.pop(number, None) is None:
            return
        kind = "answered" if taken else "stale"
        self.tracker.record_answer(number, kind, self.now_s())


@final
class Simulation:
    """The state of the simulation, and the events that the test may cause."""

    def __init__(self, *, checks_fencing: bool, seed: int) -> None:
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.log = FakeLog()
        self.engine = FakeEngine(checks_fencing=checks_fencing)
        self.in_flight: list[InFlightOrder] = []
        self.daemons: list[FakeDaemon] = []
        self.died_s: dict[str, float] = {}
        for _ in range(3):
            self.start_daemon()

    def start_daemon(self) -> None:
        rate = 1 + self.rng.uniform(-CLOCK_RATE_ERROR, CLOCK_RATE_ERROR) / 2
        name = f"d{len(self.daemons)}"
        self.daemons.append(FakeDaemon(self, name, rate))

    def rank(self, daemon: FakeDaemon) -> int:
        living = [item.name for item in self.daemons if not item.is_dead]
        return living.index(daemon.name)

    def append(self, payload: str) -> None:
        if not self.log.is_down:
            self.log.pending_appends.append(payload)

    def apply_pending_appends(self, *, all_of_them: bool) -> None:
        """Let pending appends take effect: now, later, twice or never."""
        left: list[str] = []
        for payload in self.log.pending_appends:
            chance = 0.0 if all_of_them else self.rng.random()
            if chance < 0.75:
                self.log.records.append(payload)
            elif chance < 0.85:
                left.append(payload)
            elif chance < 0.9:
                self.log.records.append(payload)
                left.append(payload)
        self.log.pending_appends = left

    def deliver(self, *, all_of_them: bool) -> None:
        """Let orders in flight reach the engine: now, later, twice or never."""
        left: list[InFlightOrder] = []
        for item in self.in_flight:
            if self.now_s - item.sent_s > IN_FLIGHT_LIMIT_S * (1 - CLOCK_RATE_ERROR):
                continue
            chance = 0.0 if all_of_them else self.rng.random()
            if chance < 0.4:
                self._reach(item)
            elif chance < 0.55:
                self._reach(item)
                left.append(item)
            elif chance < 0.95:
                left.append(item)
        self.in_flight = left

    def _reach(self, item: InFlightOrder) -> None:
        taken = self.engine.take(item.order, item.epoch)
        sender = next(one for one in self.daemons if one.name == item.sender)
        if not sender.is_paused and self.rng.random() < 0.8:
            sender.take_answer(item.order.number, taken=taken)

    def advance(self, duration_s: float) -> None:
        """Advance time in steps; in each, every running daemon runs its loops once."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += 0.5
            self.apply_pending_appends(all_of_them=False)
            self.deliver(all_of_them=False)
            for daemon in self.daemons:
                if daemon.is_paused or daemon.is_dead:
                    continue
                daemon.run(self.rng)
                # The daemon may be paused between deciding on an order and sending it.
                if self.rng.random() < 0.9:
                    daemon.flush()

    def kill(self, index: int) -> None:
        """Crash a daemon, which loses its unsent orders, and start a new one."""
        daemon = self.daemons[index]
        if not daemon.is_dead:
            daemon.is_dead = True
            daemon.outbox = []
            self.died_s[daemon.name] = self.now_s
            self.start_daemon()
