"""Engine servers, and the leaders that order models and adapters from them.

Servers answer, report and register as the platform's page says: answers are lost,
orders are carried out late and only at their expected count, reports and entries lag,
unloads wait for requests in progress, adapters are in transit for a while, and a
restart clears the count and the fence. Leaders follow one another; an order of an
earlier one may still arrive. The leaders' decisions are the real ones.
"""

from typing import Final, Literal, NamedTuple, final

from _pistachiopond.decisions.engine_fleet import (
    REPORT_LAG_S,
    EngineFleet,
    ServerInventory,
)
from _pistachiopond.decisions.model_plan import (
    DemandHistory,
    LoadRateLimit,
    ModelDemand,
    PlanInputs,
    plan_adapter,
    plan_models,
)
from _pistachiopond.http1.messages import HttpAddress
from _pistachiopond.schema.deployment import BackendServer, EngineSpec
from _pistachiopond.schema.model_orders import ModelOrder, OrderOutcome, ServerReport

# What happens to an order and to its answer.
Delivery = Literal["answered", "answer_lost", "late", "unsent"]

LOAD_S: Final = 1.2
UNLOAD_S: Final = 0.05
ADDRESS: Final = HttpAddress("127.0.0.1", 1)


class _State(NamedTuple):
    at_s: float
    models: dict[str, tuple[str, ...]]
    in_transit: dict[tuple[str, str], float]
    is_busy: bool
    order_count: int


class _Progress(NamedTuple):
    order: ModelOrder
    end_s: float


class LateOrder(NamedTuple):
    """An order that may still arrive at the server of that name."""

    order: ModelOrder
    fence: int


@final
class EngineServer:
    """One server.

    Attributes
    ----------
    overcommits : list of ModelOrder
        Orders to load more than there was room for when they took effect.
    hides_transit : bool
        Whether its reports leave out adapters in transit.
    """

    def __init__(self, spec: EngineSpec, name: str, models: tuple[str, ...]) -> None:
        self.spec = spec
        self.name = name
        self.started_ms = 1
        self.models: dict[str, set[str]] = {model: set() for model in models}
        self.overcommits: list[ModelOrder] = []
        self.hides_transit = False
        self.down_until_s = float("-inf")
        self._restart(0.0)

    def crash(self, now_s: float, down_s: float, *, is_restart_shown: bool) -> None:
        """Lose everything; a restart may keep the time of the start that it states."""
        self.down_until_s = now_s + down_s
        self.started_ms += is_restart_shown
        self.models = {}
        self._restart(now_s + down_s)

    def _restart(self, now_s: float) -> None:
        self.order_count = 0
        self._fence = -1
        self._in_transit: dict[tuple[str, str], float] = {}
        self._leaving: dict[tuple[str, str], float] = {}
        self._in_use_until_s: dict[tuple[str, str], float] = {}
        self._progress: _Progress | None = None
        self._history: list[_State] = []
        self._record(now_s)

    def _record(self, now_s: float) -> None:
        models = {model: tuple(sorted(held)) for model, held in self.models.items()}
        is_busy = self._progress is not None
        self._history.append(
            _State(now_s, models, dict(self._in_transit), is_busy, self.order_count)
        )
        del self._history[:-50]

    def is_up(self, now_s: float) -> bool:
        """Return whether the server answers."""
        return now_s >= self.down_until_s

    def use_all(self, until_s: float) -> None:
        """Run a request for each adapter that the server has."""
        for model, adapters in self.models.items():
            for adapter in adapters:
                self._in_use_until_s[(model, adapter)] = until_s

    def advance(self, now_s: float) -> None:
        """End what has ended by now."""
        for (model, adapter), end_s in list(self._in_transit.items()):
            if now_s >= end_s:
                del self._in_transit[(model, adapter)]
                if model in self.models:
                    self.models[model].add(adapter)
        for (model, adapter), end_s in list(self._leaving.items()):
            if now_s >= end_s:
                del self._leaving[(model, adapter)]
                self.models.get(model, set()).discard(adapter)
        if self._progress is not None and now_s >= self._progress.end_s:
            order = self._progress.order
            if order.action == "load":
                self.models[order.model] = set()
            else:
                del self.models[order.model]
                for held in (self._in_transit, self._leaving):
                    for key in [key for key in held if key[0] == order.model]:
                        del held[key]
            self._progress = None
        self._record(now_s)

    def take(
        self, order: ModelOrder, fence: int, now_s: float, transit_s: float
    ) -> OrderOutcome:
        """Carry out an order if it fits the count, and return the answer."""
        if fence < self._fence:
            return "fenced"
        self._fence = fence
        held = self.models.get(order.model)
        key = (order.model, order.adapter)
        is_held = held is not None and (not order.adapter or order.adapter in held)
        if is_held == (order.action == "load"):
            return "holds_already"
        if order.order_count != self.order_count or self._progress is not None:
            return "conflict"
        if key in self._in_transit or (order.adapter and held is None):
            return "refused"
        self.order_count += 1
        outcome: OrderOutcome = "accepted"
        if order.action == "load":
            self._check_room(order)
            if order.adapter:
                self._in_transit[key] = now_s + transit_s
            else:
                self._progress = _Progress(order, now_s + LOAD_S)
        elif order.adapter:
            end_s = self._in_use_until_s.get(key, now_s)
            if end_s > now_s:
                self._leaving[key] = end_s
            else:
                self.models[order.model].discard(order.adapter)
                outcome = "holds_already"
        else:
            in_use_s = [
                end_s
                for (model, _), end_s in self._in_use_until_s.items()
                if model == order.model
            ]
            end_s = max([now_s + UNLOAD_S, *in_use_s])
            self._progress = _Progress(order, end_s)
        self._record(now_s)
        return outcome

    def _check_room(self, order: ModelOrder) -> None:
        spec = self.spec
        adapters = [(m, a) for m, held in self.models.items() for a in held]
        adapters += self._in_transit
        models = list(self.models)
        if order.adapter:
            adapters.append((order.model, order.adapter))
        else:
            models.append(order.model)
        used_mb = sum(spec.models[model].memory_mb for model in models)
        used_mb += sum(spec.models[model].adapter_mb for model, _ in adapters)
        if used_mb > spec.memory_mb or len(adapters) > spec.adapter_slots:
            self.overcommits.append(order)

    def report(self, now_s: float, lag_s: float) -> ServerReport:
        """Return the state of some time ago, as the platform's decoder gives it."""
        past = [state for state in self._history if state.at_s <= now_s - lag_s]
        state = past[-1] if past else self._history[0]
        models = dict(state.models)
        if not self.hides_transit:
            for model, adapter in state.in_transit:
                models[model] += (adapter,)
        return ServerReport(models, state.is_busy, state.order_count)

    def entry(self) -> BackendServer:
        """Return what the server registers; it does not write for adapters."""
        held: dict[str, tuple[str, ...]] = {model: () for model in self.models}
        return BackendServer(
            self.name, self.started_ms, "e", ADDRESS, "here", 16, False, held, (), ()
        )


@final
class EngineWorld:
    """Servers, their entries as the leader knows them, and the present leader."""

    def __init__(self, spec: EngineSpec, servers: dict[str, tuple[str, ...]]) -> None:
        self.spec = spec
        self.now_s = 100.0
        self.servers = {
            name: EngineServer(spec, name, models) for name, models in servers.items()
        }
        self.late: list[LateOrder] = []
        self._entries = {name: item.entry() for name, item in self.servers.items()}
        self._fence = 0
        self._history = DemandHistory()
        self._loads = LoadRateLimit(1000.0, 0.0)
        self.change_leader()

    def change_leader(self) -> None:
        """Let another VM lead, which knows only the entries."""
        self._fence += 1
        self.fleet = EngineFleet(self.spec)
        self.fleet.set_servers(dict(self._entries))

    def configure(self, spec: EngineSpec) -> None:
        """Put another configuration in force at the leader."""
        self.fleet.spec = spec

    def advance(self, duration_s: float, lag_s: float) -> None:
        """Let time pass, in which the leader queries what it is not sure of."""
        self.now_s += duration_s
        for name, server in self.servers.items():
            if not server.is_up(self.now_s):
                continue
            server.advance(self.now_s)
            inventory = self.fleet.servers[name]
            is_unsure = not inventory.is_known or inventory.is_overdue(self.now_s)
            since_s = max(inventory.asked_s, inventory.ordered_s)
            if is_unsure and self.now_s - since_s >= REPORT_LAG_S:
                inventory.asked_s = self.now_s
                inventory.take_report(server.report(self.now_s, lag_s), self.now_s)

    def read_entry(self, name: str) -> None:
        """Let the leader read the entry that it last saw written, and write another."""
        server = self.servers[name]
        self.fleet.set_servers(dict(self._entries))
        if server.is_up(self.now_s):
            self._entries[name] = server.entry()

    def order_model(self, model: str, delivery: Delivery) -> None:
        """Order what the plan says when many requests wait for a model."""
        inputs = self._inputs({model: ModelDemand(0, 50, 5.0)})
        for order in plan_models(inputs, self.now_s):
            self._send(order, delivery, 0.0)

    def order_adapter(
        self, model: str, adapter: str, delivery: Delivery, transit_s: float
    ) -> None:
        """Order what the plan says when a request waits for an adapter."""
        order = plan_adapter(self._inputs({}), model, adapter, self.now_s)
        if order is not None:
            self._send(order, delivery, transit_s)

    def _inputs(self, demand: dict[str, ModelDemand]) -> PlanInputs:
        self._history.update(demand, self.now_s)
        return PlanInputs(
            fleet=self.fleet,
            replicas=self.fleet.replicas(),
            demand=demand,
            demand_history=self._history,
            server_load={},
            running_requests={},
            unhealthy_servers=frozenset(),
            load_rate_limit=self._loads,
            adapters={},
            adapter_idle_s=0.35,
        )

    def _send(self, order: ModelOrder, delivery: Delivery, transit_s: float) -> None:
        server = self.servers[order.server_id]
        inventory: ServerInventory = self.fleet.servers[order.server_id]
        outcome: OrderOutcome = "unanswered"
        if delivery == "unsent" or not server.is_up(self.now_s):
            outcome = "unsent"
        elif delivery == "late":
            self.late.append(LateOrder(order, self._fence))
        else:
            answer = server.take(order, self._fence, self.now_s, transit_s)
            outcome = answer if delivery == "answered" else "unanswered"
        self.fleet.record_outcome(inventory, order, outcome, self.now_s)

    def deliver_late(self, index: int, transit_s: float) -> None:
        """Let an order arrive that its sender got no answer to."""
        if not self.late:
            return
        order, fence = self.late.pop(index % len(self.late))
        server = self.servers[order.server_id]
        if server.is_up(self.now_s):
            server.take(order, fence, self.now_s, transit_s)

    def crash(self, name: str, down_s: float, *, is_restart_shown: bool) -> None:
        """Crash a server; of its late orders, one may reach it after its restart.

        Two of them could follow one another before any order that the sender plans for
        the restarted server, so the sender could not prevent what they add up to.
        """
        crossing = [item for item in self.late if item.order.server_id == name]
        self.late = [i for i in self.late if i not in crossing] + crossing[-1:]
        self.servers[name].crash(self.now_s, down_s, is_restart_shown=is_restart_shown)
