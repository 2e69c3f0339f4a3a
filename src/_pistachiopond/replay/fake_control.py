"""The simulated control side: routing views with a lag, placement, model loads.

It makes the same placement decision as the control daemons. Loads, unloads and the
detection of a lost server take the time that the parameters and constants state.
While the log is unavailable no order can be given.
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
from _pistachiopond.replay.engine import FakeEngine
from _pistachiopond.replay.event_loop import EventLoop
from _pistachiopond.replay.parameters import Parameters
from _pistachiopond.schema.manifest import BackendServer, Manifest, Model
from _pistachiopond.schema.routing import ResidentModel, RoutingView, ServerView

FAILURE_DETECTION_S: Final = 3.0
PLAN_PERIOD_S: Final = 2.0
# Weight of the latest period in the smoothed demand.
DEMAND_SMOOTHING: Final = 0.15
# Work of a prompt token relative to an output token.
PROMPT_TOKEN_WEIGHT: Final = 0.1
UNLOAD_S: Final = 0.5
# Records that one order appends to the log.
APPENDS_PER_ORDER: Final = 2
MAX_INITIAL_PLANS: Final = 400


@final
class FakeServer:
    """One simulated backend server with its engine and models.

    Attributes
    ----------
    spec : BackendServer
        Its entry in the manifest.
    engine : FakeEngine
        Replaced by a new one when the server crashes.
    is_up : bool
        False while the server is down.
    is_silent : bool
        Whether connection attempts time out while it is down, instead of being
        refused.
    is_failing : bool
        Whether it answers each request with an error.
    down_since_s : float
        When it last went down.
    replicas : dict
        State of each model on the server.
    in_flight : dict
        Attempts in progress by model.
    reports : deque
        The latest load reports: time and queued tokens.
    cache_events : deque
        Identities of the latest prefixes that the engine reported as cached.
    incarnation : int
        Grows by one with each crash.
    """

    def __init__(self, spec: BackendServer, engine: FakeEngine) -> None:
        self.spec = spec
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
    """Places models on the servers and makes the entry daemons' routing views.

    Attributes
    ----------
    is_log_out : bool
        While True, the log is unavailable and no plan is made.
    are_reports_stale : bool
        While True, no load reports are collected, so views contain old ones.
    cut_regions : bool
        While True, regions can't reach each other, and views of the servers in
        other regions aren't updated.
    moves : int
        Model loads started, without those of the initial placement.
    unreachable : set of str
        Models that at some plan had no ready replica on a running server.
    memory_over_mb : float
        Largest memory found in use beyond a server's memory.
    order_appends : int
        Records that orders appended to the log.
    """

    def __init__(
        self,
        loop: EventLoop,
        manifest: Manifest,
        servers: dict[str, FakeServer],
        parameters: Parameters,
    ) -> None:
        self._loop = loop
        self._manifest = manifest
        self._servers = servers
        self._parameters = parameters
        self._models: dict[str, Model] = {m.name: m for m in manifest.models}
        self._smoothed_demand: dict[str, float] = {}
        self._period_demand: dict[str, float] = {}
        self._load_ends_s: list[float] = []
        self._next_load_s = 0.0
        self._sequence = 0
        self.is_log_out = False
        self.are_reports_stale = False
        self.cut_regions: bool = False
        self._latest_views: dict[str, dict[str, ServerView]] = {}
        self.moves = 0
        self.unreachable: set[str] = set()
        self.memory_over_mb = 0.0
        self.order_appends = 0

    def record_arrival(self, model: str, prompt: int, output: int) -> None:
        """Add the work of an arrival to its model's demand."""
        tokens = output + PROMPT_TOKEN_WEIGHT * prompt
        self._period_demand[model] = self._period_demand.get(model, 0.0) + tokens

    def place_initially(self, demand: dict[str, float]) -> None:
        """Place all models before the trace begins, for that demand in tokens/s."""
        self._smoothed_demand = dict(demand)
        for _ in range(MAX_INITIAL_PLANS):
            plan = make_plan(self._placement_input())
            if not plan.loads:
                break
            for step in plan.loads:
                self._servers[step.server].replicas[step.model] = "ready"
        self._check_memory()

    def plan(self) -> None:
        """Make a placement plan and start its steps."""
        self._update_demand()
        self._record_unreachable()
        if self.is_log_out:
            return
        plan = make_plan(self._placement_input())
        for step in plan.loads:
            self._start_load(step)
        drains = {(step.server, step.model) for step in plan.drains}
        for name, server in self._servers.items():
            for model, state in server.replicas.items():
                if state == "ready" and (name, model) in drains:
                    server.replicas[model] = "draining"
                elif state == "draining" and (name, model) not in drains:
                    server.replicas[model] = "ready"
        for step in plan.unloads:
            self._start_unload(step.server, step.model)
        self._check_memory()

    def collect_reports(self) -> None:
        """Collect the load report of each running engine."""
        for server in self._servers.values():
            if server.is_up and not self.are_reports_stale:
                report = (self._loop.now_s, server.engine.queued_tokens())
                server.reports.append(report)

    def make_view(self, region: str) -> RoutingView:
        """Return the routing view that control daemons of that region send.

        While regions are cut off from each other, it contains the last views made
        of servers in other regions before the cut.
        """
        self._sequence += 1
        latest = self._latest_views.setdefault(region, {})
        for name, server in self._servers.items():
            if self.cut_regions and server.spec.region != region and name in latest:
                continue
            latest[name] = self._make_server_view(server)
        return RoutingView(self._sequence, tuple(latest.values()))

    def eligible_servers(self, service: str, model: str | None) -> Sequence[str]:
        """Return the servers that can run the model now, by their true state."""
        return [
            name
            for name, server in self._servers.items()
            if server.is_up
            and server.spec.service == service
            and (model is None or server.replicas.get(model) == "ready")
        ]

    def _make_server_view(self, server: FakeServer) -> ServerView:
        now_s = self._loop.now_s
        is_gone = not server.is_up and now_s - server.down_since_s > FAILURE_DETECTION_S
        lag_s = self._parameters.network.report_lag_s
        # The newest report that is at least `lag_s` old, else the oldest one.
        queued, reported_s = 0.0, now_s
        for at_s, tokens in server.reports:
            if at_s <= now_s - lag_s or reported_s == now_s:
                queued, reported_s = tokens, at_s
        recent = list(server.cache_events)
        return ServerView(
            name=server.spec.name,
            url=server.spec.url,
            data_centre=server.spec.data_centre,
            service=server.spec.service,
            availability="gone" if is_gone else "serving",
            residents=tuple(
                ResidentModel(
                    model,
                    self._models[model].version,
                    tuple(a.name for a in self._models[model].adapters),
                    "ready" if state == "ready" else "draining",
                )
                for model, state in server.replicas.items()
                if state in ("ready", "draining")
            ),
            queued_tokens=queued,
            report_age_s=now_s - reported_s,
            cached_prefixes=tuple(
                recent[-self._parameters.network.cache_events_per_view :]
            ),
        )

    def _update_demand(self) -> None:
        """Smooth the demand with that of the period since the last plan."""
        for name in self._models:
            rate = self._period_demand.get(name, 0.0) / PLAN_PERIOD_S
            old = self._smoothed_demand.get(name, 0.0)
            self._smoothed_demand[name] = old + DEMAND_SMOOTHING * (rate - old)
        self._period_demand.clear()

    def _record_unreachable(self) -> None:
        for name in self._models:
            if not any(
                server.is_up and server.replicas.get(name) == "ready"
                for server in self._servers.values()
            ):
                self.unreachable.add(name)

    def _placement_input(self) -> PlacementInput:
        now_s = self._loop.now_s
        engines = [s for s in self._servers.values() if s.spec.accelerators]
        return PlacementInput(
            models=self._manifest.models,
            servers=tuple(
                PlacementServer(
                    s.spec.name,
                    s.spec.data_centre,
                    s.spec.region,
                    s.spec.rack,
                    s.spec.memory_mb,
                    s.spec.accelerators,
                    is_usable=s.is_up or now_s - s.down_since_s <= FAILURE_DETECTION_S,
                )
                for s in engines
            ),
            replicas=tuple(
                Replica(
                    s.spec.name,
                    model,
                    self._models[model].version,
                    replica_memory_mb(self._models[model]),
                    state,
                    is_drained=state == "draining" and not s.in_flight.get(model, 0),
                )
                for s in engines
                for model, state in s.replicas.items()
            ),
            loads=tuple(
                ModelLoad(m, rate) for m, rate in self._smoothed_demand.items()
            ),
            objective=self._manifest.objective,
            options=PlacementOptions(
                loads_in_flight=self._parameters.network.full_speed_loads
            ),
        )

    def _start_load(self, step: LoadStep) -> None:
        """Load a model at the rate and speed that the weight store allows."""
        server = self._servers[step.server]
        if step.model in server.replicas or not server.is_up:
            return
        network = self._parameters.network
        now_s = self._loop.now_s
        self._load_ends_s = [end_s for end_s in self._load_ends_s if end_s > now_s]
        start_s = max(now_s, self._next_load_s)
        self._next_load_s = start_s + 1.0 / network.loads_per_s
        slowdown = max(1.0, (len(self._load_ends_s) + 1) / network.full_speed_loads)
        end_s = start_s + slowdown * network.load_s_per_gb * step.memory_mb / 1_000
        self._load_ends_s.append(end_s)
        server.replicas[step.model] = "loading"
        self.moves += 1
        self.order_appends += APPENDS_PER_ORDER
        incarnation = server.incarnation

        def finish() -> None:
            if server.is_up and server.incarnation == incarnation:
                server.replicas[step.model] = "ready"

        self._loop.call_at(end_s, finish)

    def _start_unload(self, server_name: str, model: str) -> None:
        server = self._servers[server_name]
        if server.replicas.get(model) != "draining":
            return
        server.replicas[model] = "unloading"
        self.order_appends += APPENDS_PER_ORDER
        incarnation = server.incarnation

        def finish() -> None:
            if server.incarnation == incarnation:
                server.replicas.pop(model, None)

        self._loop.call_after(UNLOAD_S, finish)

    def _check_memory(self) -> None:
        for server in self._servers.values():
            used_mb = sum(replica_memory_mb(self._models[m]) for m in server.replicas)
            excess_mb = used_mb - server.spec.memory_mb
            if server.replicas:
                self.memory_over_mb = max(self.memory_over_mb, float(excess_mb))
