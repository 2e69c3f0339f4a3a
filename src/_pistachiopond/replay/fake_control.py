"""The control side of a replay: views with a lag, placement, the weight store.

It uses the same placement decision as the control daemons. Orders and detection
take the time that the parameters state; while the log is out no order is given.
"""

import math
from collections import deque
from collections.abc import Sequence
from typing import Final, final

from _pistachiopond.decisions.placement import make_plan
from _pistachiopond.decisions.placement_types import (
    LoadStep,
    ModelLoad,
    PlacementInput,
    PlacementOptions,
    PlacementServer,
    Replica,
    ReplicaState,
    replica_memory_mb,
)
from _pistachiopond.replay.clock import EventLoop
from _pistachiopond.replay.engine import FakeEngine
from _pistachiopond.replay.parameters import Parameters
from _pistachiopond.schema.manifest import BackendServer, Manifest, Model
from _pistachiopond.schema.routing import ResidentModel, RoutingView, ServerView

DETECTION_S: Final = 3.0
PLAN_PERIOD_S: Final = 2.0
DEMAND_SMOOTHING: Final = 0.15
PROMPT_WEIGHT: Final = 0.1
UNLOAD_S: Final = 0.5
ORDER_APPENDS: Final = 2
MAX_FIRST_ROUNDS: Final = 400


@final
class Holder:
    """One backend server with its engine and what it holds."""

    def __init__(self, facts: BackendServer, engine: FakeEngine) -> None:
        self.facts = facts
        self.engine = engine
        self.is_up = True
        self.is_silent = False
        self.is_failing = False
        self.down_since_s = -math.inf
        self.replicas: dict[str, ReplicaState] = {}
        self.in_flight: dict[str, int] = {}
        self.reports: deque[tuple[float, float]] = deque(maxlen=8)
        self.cache_events: deque[str] = deque(maxlen=400)
        self.incarnation = 0


@final
class FakeControl:
    """Places models on the holders and tells entry daemons of them."""

    def __init__(
        self,
        loop: EventLoop,
        manifest: Manifest,
        holders: dict[str, Holder],
        parameters: Parameters,
    ) -> None:
        self._loop = loop
        self._manifest = manifest
        self._holders = holders
        self._parameters = parameters
        self._models: dict[str, Model] = {m.name: m for m in manifest.models}
        self._demand: dict[str, float] = {}
        self._fresh_demand: dict[str, float] = {}
        self._load_slots: list[float] = []
        self._next_load_s = 0.0
        self._sequence = 0
        self.is_log_out = False
        self.are_reports_stale = False
        self.cut_regions: bool = False
        self._kept_views: dict[str, dict[str, ServerView]] = {}
        self.moves = 0
        self.unreachable: set[str] = set()
        self.memory_over_mb = 0.0
        self.order_appends = 0

    def note_arrival(self, model: str, prompt: int, output: int) -> None:
        """Count the work of an arrival towards its model's demand."""
        tokens = output + PROMPT_WEIGHT * prompt
        self._fresh_demand[model] = self._fresh_demand.get(model, 0.0) + tokens

    def place_first(self, demand: dict[str, float]) -> None:
        """Place all models before the trace begins, by that demand in tokens/s."""
        self._demand = dict(demand)
        for _ in range(MAX_FIRST_ROUNDS):
            plan = make_plan(self._source())
            if not plan.loads:
                break
            for step in plan.loads:
                self._holders[step.server].replicas[step.model] = "ready"
        self._check_memory()

    def plan(self) -> None:
        """Make a plan and begin its steps."""
        self._smooth_demand()
        self._note_unreachable()
        if self.is_log_out:
            return
        plan = make_plan(self._source())
        for step in plan.loads:
            self._begin_load(step)
        drains = {(step.server, step.model) for step in plan.drains}
        for name, holder in self._holders.items():
            for model, state in holder.replicas.items():
                if state == "ready" and (name, model) in drains:
                    holder.replicas[model] = "draining"
                elif state == "draining" and (name, model) not in drains:
                    holder.replicas[model] = "ready"
        for step in plan.unloads:
            self._begin_unload(step.server, step.model)
        self._check_memory()

    def take_reports(self) -> None:
        """Take each engine's load report."""
        for holder in self._holders.values():
            if holder.is_up and not self.are_reports_stale:
                report = (self._loop.now_s, holder.engine.queued_tokens())
                holder.reports.append(report)

    def view(self, region: str) -> RoutingView:
        """Return the view of the control daemons in that region."""
        self._sequence += 1
        kept = self._kept_views.setdefault(region, {})
        for name, holder in self._holders.items():
            if self.cut_regions and holder.facts.region != region and name in kept:
                continue
            kept[name] = self._server_view(holder)
        return RoutingView(self._sequence, tuple(kept.values()))

    def eligible(self, service: str, model: str | None) -> Sequence[str]:
        """Return the servers that truly can run the model now."""
        return [
            name
            for name, holder in self._holders.items()
            if holder.is_up
            and holder.facts.service == service
            and (model is None or holder.replicas.get(model) == "ready")
        ]

    def _server_view(self, holder: Holder) -> ServerView:
        now_s = self._loop.now_s
        is_gone = not holder.is_up and now_s - holder.down_since_s > DETECTION_S
        lag_s = self._parameters.network.report_lag_s
        queued, reported_s = 0.0, now_s
        for at_s, tokens in holder.reports:
            if at_s <= now_s - lag_s or reported_s == now_s:
                queued, reported_s = tokens, at_s
        recent = list(holder.cache_events)
        return ServerView(
            name=holder.facts.name,
            url=holder.facts.url,
            data_centre=holder.facts.data_centre,
            service=holder.facts.service,
            availability="gone" if is_gone else "serving",
            residents=tuple(
                ResidentModel(
                    model,
                    self._models[model].version,
                    tuple(a.name for a in self._models[model].adapters),
                    "ready" if state == "ready" else "draining",
                )
                for model, state in holder.replicas.items()
                if state in ("ready", "draining")
            ),
            queued_tokens=queued,
            report_age_s=now_s - reported_s,
            cached_prefixes=tuple(
                recent[-self._parameters.network.cache_events_per_view :]
            ),
        )

    def _smooth_demand(self) -> None:
        for name in self._models:
            rate = self._fresh_demand.get(name, 0.0) / PLAN_PERIOD_S
            old = self._demand.get(name, 0.0)
            self._demand[name] = old + DEMAND_SMOOTHING * (rate - old)
        self._fresh_demand.clear()

    def _note_unreachable(self) -> None:
        for name in self._models:
            if not any(
                holder.is_up and holder.replicas.get(name) == "ready"
                for holder in self._holders.values()
            ):
                self.unreachable.add(name)

    def _source(self) -> PlacementInput:
        now_s = self._loop.now_s
        engines = [h for h in self._holders.values() if h.facts.accelerators]
        return PlacementInput(
            models=self._manifest.models,
            servers=tuple(
                PlacementServer(
                    h.facts.name,
                    h.facts.data_centre,
                    h.facts.region,
                    h.facts.rack,
                    h.facts.memory_mb,
                    h.facts.accelerators,
                    is_usable=h.is_up or now_s - h.down_since_s <= DETECTION_S,
                )
                for h in engines
            ),
            replicas=tuple(
                Replica(
                    h.facts.name,
                    model,
                    self._models[model].version,
                    replica_memory_mb(self._models[model]),
                    state,
                    is_drained=state == "draining" and not h.in_flight.get(model, 0),
                )
                for h in engines
                for model, state in h.replicas.items()
            ),
            loads=tuple(ModelLoad(m, rate) for m, rate in self._demand.items()),
            objective=self._manifest.objective,
            options=PlacementOptions(
                loads_in_flight=self._parameters.network.full_speed_loads
            ),
        )

    def _begin_load(self, step: LoadStep) -> None:
        holder = self._holders[step.server]
        if step.model in holder.replicas or not holder.is_up:
            return
        network = self._parameters.network
        now_s = self._loop.now_s
        self._load_slots = [end_s for end_s in self._load_slots if end_s > now_s]
        start_s = max(now_s, self._next_load_s)
        self._next_load_s = start_s + 1.0 / network.loads_per_s
        crowd = max(1.0, (len(self._load_slots) + 1) / network.full_speed_loads)
        end_s = start_s + crowd * network.load_s_per_gb * step.memory_mb / 1_000
        self._load_slots.append(end_s)
        holder.replicas[step.model] = "loading"
        self.moves += 1
        self.order_appends += ORDER_APPENDS
        incarnation = holder.incarnation

        def ready() -> None:
            if holder.is_up and holder.incarnation == incarnation:
                holder.replicas[step.model] = "ready"

        self._loop.at(end_s, ready)

    def _begin_unload(self, server: str, model: str) -> None:
        holder = self._holders[server]
        if holder.replicas.get(model) != "draining":
            return
        holder.replicas[model] = "unloading"
        self.order_appends += ORDER_APPENDS
        incarnation = holder.incarnation

        def gone() -> None:
            if holder.incarnation == incarnation:
                holder.replicas.pop(model, None)

        self._loop.after(UNLOAD_S, gone)

    def _check_memory(self) -> None:
        for holder in self._holders.values():
            used = sum(replica_memory_mb(self._models[m]) for m in holder.replicas)
            over = used - holder.facts.memory_mb
            if holder.replicas:
                self.memory_over_mb = max(self.memory_over_mb, float(over))
