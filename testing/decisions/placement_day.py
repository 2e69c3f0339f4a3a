"""Plays requests for models against the model plan on a virtual clock.

Each server runs requests for the models that it has loaded and carries out one order
for a model at a time. A request for a model that no server has waits, is refused after
a while and comes back once, as callers do.
"""

import random
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.engine_fleet import EngineFleet
from _pistachiopond.decisions.model_plan import (
    DemandHistory,
    LoadRateLimit,
    ModelDemand,
    PlanInputs,
    plan_models,
)
from _pistachiopond.http1.messages import HttpAddress
from _pistachiopond.schema.deployment import BackendServer, EngineSpec, ModelSpec

STEP_S: Final = 0.1
# How long a request runs, and how long it waits for its model.
SERVICE_S: Final = 1.5
WAIT_S: Final = 1.2
# How long a refused caller stays away.
RETRY_AFTER_S: Final = 3.0
ADDRESS: Final = HttpAddress("127.0.0.1", 1)


class _Waiting(NamedTuple):
    model: str
    from_s: float
    has_returned: bool


class _Running(NamedTuple):
    end_s: float
    server: str
    model: str


class _Order(NamedTuple):
    end_s: float
    action: str
    model: str


def make_model(name: str, memory_mb: float, load_s: float) -> ModelSpec:
    """Return a model whose load from a server's own disk takes a fifth of the time."""
    return ModelSpec(name, memory_mb, load_s, load_s / 5, load_s / 10, 0, 0.0)


def make_engines(models: Mapping[str, ModelSpec], memory_mb: float) -> EngineSpec:
    """Return an engine configuration without a limit on the weight store's rate."""
    return EngineSpec(64, memory_mb, 0, 100.0, dict(models))


@final
class PlacementDay:
    """Callers, servers and the plan.

    Attributes
    ----------
    asked, served : dict of str to int
        First attempts and successes by model.
    """

    def __init__(
        self,
        spec: EngineSpec,
        rate_per_s: Callable[[str, float], float],
        seed: int,
    ) -> None:
        """Start without servers.

        Parameters
        ----------
        spec : EngineSpec
            The models, and the memory of each server.
        rate_per_s : callable
            Returns the arrival rate of requests for a model at a time.
        seed : int
            Of the arrivals.
        """
        self.spec = spec
        self.now_s = 0.0
        self.asked: dict[str, int] = {}
        self.served: dict[str, int] = {}
        self._rate_per_s = rate_per_s
        self._rng = random.Random(seed)
        self._fleet = EngineFleet(spec)
        self._history = DemandHistory()
        self._load_rate_limit = LoadRateLimit(spec.loads_per_s, 0.0)
        self._servers: dict[str, BackendServer] = {}
        self._orders: dict[str, _Order] = {}
        self._waiting: list[_Waiting] = []
        self._running: list[_Running] = []
        self._returning: list[_Waiting] = []

    def add_server(self, name: str, *models: str) -> None:
        """Add a server that has these models loaded and on its disk."""
        held = {model: () for model in models}
        self._servers[name] = BackendServer(
            name, 1, "engines", ADDRESS, "here", 64, False, held, (), tuple(models)
        )
        self._fleet.set_servers(dict(self._servers))
        self._fleet.servers[name].is_known = True

    def remove_server(self, name: str) -> None:
        """Remove a server; its requests and orders are lost."""
        del self._servers[name]
        self._orders.pop(name, None)
        self._fleet.set_servers(dict(self._servers))
        self._running = [item for item in self._running if item.server != name]

    def ready_replicas(self, model: str) -> int:
        """Return how many servers can run requests for the model."""
        return sum(item.serves(model) for item in self._fleet.servers.values())

    def play(self, until_s: float) -> None:
        """Play until a time."""
        while self.now_s < until_s:
            self.now_s += STEP_S
            self._end_orders()
            self._arrive()
            self._dispatch()
            self._plan()

    def _end_orders(self) -> None:
        for name, order in list(self._orders.items()):
            if self.now_s < order.end_s:
                continue
            del self._orders[name]
            server = self._servers[name]
            models = dict(server.models)
            if order.action == "load":
                models[order.model] = ()
            else:
                models.pop(order.model, None)
            on_disk = {*server.models_on_disk, order.model}
            self._servers[name] = server._replace(
                models=models, models_on_disk=tuple(sorted(on_disk))
            )
        self._fleet.set_servers(dict(self._servers))

    def _arrive(self) -> None:
        arrived: list[_Waiting] = []
        for model in self.spec.models:
            rate = self._rate_per_s(model, self.now_s) * STEP_S
            count = int(rate) + (self._rng.random() < rate - int(rate))
            self.asked[model] = self.asked.get(model, 0) + count
            arrived += [_Waiting(model, self.now_s, False)] * count
        arrived += [item for item in self._returning if item.from_s <= self.now_s]
        self._returning = [i for i in self._returning if i.from_s > self.now_s]
        self._waiting += arrived

    def _dispatch(self) -> None:
        self._running = [item for item in self._running if item.end_s > self.now_s]
        load: dict[str, int] = {name: 0 for name in self._servers}
        for item in self._running:
            load[item.server] += 1
        left: list[_Waiting] = []
        for request in self._waiting:
            able = [
                name
                for name, inventory in self._fleet.servers.items()
                if inventory.serves(request.model) and load[name] < self.spec.slots
            ]
            if able:
                name = min(able, key=lambda item: load[item])
                load[name] += 1
                end_s = self.now_s + SERVICE_S
                self._running.append(_Running(end_s, name, request.model))
                known = self.served.get(request.model, 0)
                self.served[request.model] = known + 1
            elif self.now_s - request.from_s < WAIT_S:
                left.append(request)
            elif not request.has_returned:
                back_s = self.now_s + RETRY_AFTER_S
                back = request._replace(from_s=back_s, has_returned=True)
                self._returning.append(back)
        self._waiting = left

    def _plan(self) -> None:
        waiting: dict[str, int] = {}
        waiting_from_s: dict[str, float] = {}
        running: dict[str, int] = {}
        for request in self._waiting:
            waiting[request.model] = waiting.get(request.model, 0) + 1
            first_s = waiting_from_s.get(request.model, self.now_s)
            waiting_from_s[request.model] = min(first_s, request.from_s)
        running_requests: dict[tuple[str, str], int] = {}
        server_load: dict[str, float] = {}
        for item in self._running:
            running[item.model] = running.get(item.model, 0) + 1
            key = (item.server, item.model)
            running_requests[key] = running_requests.get(key, 0) + 1
            server_load[item.server] = server_load.get(item.server, 0.0) + 1
        demand = {
            model: ModelDemand(
                running.get(model, 0),
                waiting.get(model, 0),
                self.now_s - waiting_from_s.get(model, self.now_s),
            )
            for model in running.keys() | waiting.keys()
        }
        self._history.update(demand, self.now_s)
        inputs = PlanInputs(
            fleet=self._fleet,
            replicas=self._fleet.replicas(),
            demand=demand,
            demand_history=self._history,
            server_load=server_load,
            running_requests=running_requests,
            unhealthy_servers=frozenset(),
            load_rate_limit=self._load_rate_limit,
            adapters={},
            adapter_idle_s=0.35,
        )
        for order in plan_models(inputs, self.now_s):
            inventory = self._fleet.servers[order.server_id]
            duration_s = STEP_S
            if order.action == "load":
                duration_s = self._fleet.load_duration_s(inventory, order.model)
            end_s = self.now_s + duration_s
            self._orders[order.server_id] = _Order(end_s, order.action, order.model)
            inventory.accepted(order, self.now_s, duration_s)
