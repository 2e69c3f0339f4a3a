"""Compares placement policies while the demand for each model varies tenfold.

A fluid model: each second a server divides its capacity among its replicas, and a
model's demand is spread evenly over its replicas. It leaves out queueing, which
``pond-replay`` simulates, and so shows the effect of placement alone.
"""

import math
import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from _pistachiopond.decisions.placement import make_plan
from _pistachiopond.decisions.placement_types import (
    ModelLoad,
    PlacementInput,
    PlacementOptions,
    PlacementPlan,
    PlacementServer,
    replica_memory_mb,
)
from _pistachiopond.replay.placement_fleet import FluidFleet
from _pistachiopond.schema.manifest import Model, Objective

PLAN_PERIOD_S: Final = 5
SMOOTHING_S: Final = 60.0

PlacementPolicy = Callable[[PlacementInput], PlacementPlan]


class PlacementScenario(NamedTuple):
    """The fleet and the demand of one experiment.

    Attributes
    ----------
    demand : callable
        ``demand(model_index, now_s)`` in tokens/s.
    lost_data_centre : str or None
        A data centre that is down for the middle third of the time.
    """

    models: tuple[Model, ...]
    servers: tuple[PlacementServer, ...]
    demand: Callable[[int, float], float]
    duration_s: int
    options: PlacementOptions
    objective: Objective
    lost_data_centre: str | None = None


class PlacementMeasures(NamedTuple):
    """The measures of a policy.

    Attributes
    ----------
    served_share : float
        Tokens served as a share of the tokens demanded.
    worst_model_share : float
        The same for the model with the lowest share.
    unreachable_model_s : int
        Seconds in which a model had demand but no replica, summed over models.
    moves : int
        Loads that were started after the initial placement.
    plan_ms : float
        Mean processor time of one plan, in milliseconds; depends on the machine.
    """

    served_share: float
    worst_model_share: float
    unreachable_model_s: int
    moves: int
    plan_ms: float


def make_static_policy() -> PlacementPolicy:
    """Return the baseline that places models once and only replaces lost replicas."""

    def plan(placement_input: PlacementInput) -> PlacementPlan:
        without_load = placement_input._replace(loads=())
        return make_plan(without_load)

    return plan


def make_greedy_policy() -> PlacementPolicy:
    """Return the baseline that follows the current load without hysteresis.

    The most loaded model always gets a replica on the least loaded server with
    enough memory; a spare replica of the least loaded model is unloaded to free it.
    """

    def plan(placement_input: PlacementInput) -> PlacementPlan:
        greedy_options = placement_input.options._replace(
            high_utilisation=0.01, least_gain=0.0
        )
        return make_plan(placement_input._replace(options=greedy_options))

    return plan


def run_policy(
    scenario: PlacementScenario, policy: PlacementPolicy
) -> PlacementMeasures:
    """Run one policy through the scenario.

    Parameters
    ----------
    scenario : PlacementScenario
        Its demand depends on time only, so that all policies get the same demand.
    policy : callable
        Makes a plan from a `PlacementInput`.

    Returns
    -------
    PlacementMeasures
        Everything except ``plan_ms`` is reproducible.
    """
    run = _Run(scenario, policy)
    warm_up_s = _warm_up_s(scenario)
    for now_s in range(-warm_up_s, 0):
        run.plan(now_s, 0.0)
    run.fleet.moves = 0
    for now_s in range(scenario.duration_s):
        run.apply_outage(now_s)
        run.plan(now_s, float(now_s))
        run.serve_demand(now_s)
    return run.measures()


def _warm_up_s(scenario: PlacementScenario) -> int:
    """Return how long the initial placement takes, with a margin."""
    loads = len(scenario.models) * scenario.options.spare_replicas
    rounds = math.ceil(loads / scenario.options.loads_in_flight)
    return 2 * PLAN_PERIOD_S * (rounds + 5)


class _Run:
    """One run of a policy; time advances in steps of one second."""

    def __init__(self, scenario: PlacementScenario, policy: PlacementPolicy) -> None:
        self.fleet = FluidFleet(scenario.servers)
        self._scenario = scenario
        self._policy = policy
        self._smoothed_demand = [0.0 for _ in scenario.models]
        self._demanded_tokens = [0.0 for _ in scenario.models]
        self._served_tokens = [0.0 for _ in scenario.models]
        self._unreachable_s = 0
        self._plan_s = 0.0
        self._plans = 0

    def apply_outage(self, now_s: int) -> None:
        """Lose the scenario's data centre for the middle third of the time."""
        third_s = self._scenario.duration_s // 3
        if self._scenario.lost_data_centre is None or now_s not in (
            third_s,
            2 * third_s,
        ):
            return
        for server in self._scenario.servers:
            if server.data_centre == self._scenario.lost_data_centre:
                change_server = (
                    self.fleet.crash if now_s == third_s else self.fleet.restore
                )
                change_server(server.name)

    def plan(self, now_s: int, demand_s: float) -> None:
        """Update the smoothed demand and, once per period, the placement."""
        for i in range(len(self._scenario.models)):
            current = self._scenario.demand(i, demand_s)
            self._smoothed_demand[i] += (
                current - self._smoothed_demand[i]
            ) / SMOOTHING_S
        if now_s % PLAN_PERIOD_S == 0:
            placement_input = self._placement_input()
            start_s = time.process_time()
            plan = self._policy(placement_input)
            self._plan_s += time.process_time() - start_s
            self._plans += 1
            self.fleet.apply(plan, now_s)
        self.fleet.complete_due_changes(now_s)

    def _placement_input(self) -> PlacementInput:
        scenario = self._scenario
        loads = tuple(
            ModelLoad(model.name, round(tokens_per_s, 3))
            for model, tokens_per_s in zip(
                scenario.models, self._smoothed_demand, strict=True
            )
        )
        return PlacementInput(
            scenario.models,
            tuple(self.fleet.servers.values()),
            self.fleet.replicas(),
            loads,
            scenario.objective,
            scenario.options,
        )

    def serve_demand(self, now_s: int) -> None:
        """Account for the demand of one second and the part that is served."""
        ready = _ready_servers(self.fleet)
        demanded = [
            self._scenario.demand(i, float(now_s))
            for i in range(len(self._scenario.models))
        ]
        offered = dict.fromkeys(self.fleet.servers, 0.0)
        for model, tokens in zip(self._scenario.models, demanded, strict=True):
            for name in ready.get(model.name, ()):
                offered[name] += tokens / len(ready[model.name])
        for i, model in enumerate(self._scenario.models):
            names = ready.get(model.name, [])
            self._demanded_tokens[i] += demanded[i]
            self._unreachable_s += int(demanded[i] > 0 and not names)
            for name in names:
                share = demanded[i] / len(names)
                self._served_tokens[i] += share * self._served_share(
                    name, offered[name]
                )

    def _served_share(self, server_name: str, offered_tokens_per_s: float) -> float:
        server = self.fleet.servers[server_name]
        capacity = server.accelerators * self._scenario.options.accelerator_tokens_per_s
        return min(1.0, capacity / max(offered_tokens_per_s, 1e-9))

    def measures(self) -> PlacementMeasures:
        shares = [
            served / demanded
            for served, demanded in zip(
                self._served_tokens, self._demanded_tokens, strict=True
            )
            if demanded > 0
        ]
        return PlacementMeasures(
            sum(self._served_tokens) / sum(self._demanded_tokens),
            min(shares),
            self._unreachable_s,
            self.fleet.moves,
            1000.0 * self._plan_s / self._plans,
        )


def _ready_servers(fleet: FluidFleet) -> dict[str, list[str]]:
    """Return for each model the servers that serve it.

    A draining replica takes no new work unless the model has no ready one.
    """
    ready: dict[str, list[str]] = {}
    draining: dict[str, list[str]] = {}
    for replica in fleet.replicas():
        if not fleet.servers[replica.server].is_usable:
            continue
        if replica.state == "ready":
            ready.setdefault(replica.model, []).append(replica.server)
        elif replica.state == "draining":
            draining.setdefault(replica.model, []).append(replica.server)
    for model, names in draining.items():
        ready.setdefault(model, names)
    return ready


def make_shifting_demand(
    model_count: int, total_tokens_per_s: float, seed: int
) -> Callable[[int, float], float]:
    """Return a function of demand that varies tenfold for each model.

    The period of each model is between 50 minutes and two hours.

    Parameters
    ----------
    model_count : int
        Number of models.
    total_tokens_per_s : float
        Mean demand, summed over all models.
    seed : int
        Determines each model's weight, phase and period.
    """
    rng = random.Random(seed)
    weights = [1.0 / (1 + rank) for rank in range(model_count)]
    rng.shuffle(weights)
    phases = [rng.random() for _ in range(model_count)]
    periods_s = [rng.uniform(3000.0, 7200.0) for _ in range(model_count)]
    log_amplitude = math.log(10.0) / 2.0
    # 1.35 approximates the mean of `factor` over one period.
    mean = sum(weights) * 1.35

    def demand(index: int, now_s: float) -> float:
        angle = 2 * math.pi * (now_s / periods_s[index] + phases[index])
        factor = math.exp(log_amplitude * math.sin(angle))
        return total_tokens_per_s * weights[index] * factor / mean

    return demand


def make_scenario(
    *,
    server_count: int,
    model_count: int,
    load_share: float,
    objective: Objective,
    seed: int,
    duration_s: int = 3600,
    lost_data_centre: str | None = None,
) -> PlacementScenario:
    """Return a scenario of a given size.

    Parameters
    ----------
    load_share : float
        Mean demand as a share of the fleet's capacity.
    lost_data_centre : str or None
        A data centre that is down for the middle third of the time.
    """
    options = PlacementOptions(loads_in_flight=max(2, server_count // 40))
    servers = tuple(
        PlacementServer(
            name=f"worker-{i}",
            data_centre=f"dc-{i % 5}",
            region=f"region-{i % 5 // 3}",
            rack=f"rack-{i // 5 % 27}-{i % 5}",
            memory_mb=320_000,
            accelerators=4,
        )
        for i in range(server_count)
    )
    rng = random.Random(seed)
    models = tuple(
        Model(f"model-{i}", "1", rng.randrange(20_000, 90_000))
        for i in range(model_count)
    )
    capacity = server_count * 4 * options.accelerator_tokens_per_s
    demand = make_shifting_demand(model_count, capacity * load_share, seed)
    return PlacementScenario(
        models, servers, demand, duration_s, options, objective, lost_data_centre
    )


def memory_share(scenario: PlacementScenario) -> float:
    """Return the share of all memory that one replica of each model takes."""
    need_mb = sum(replica_memory_mb(model) for model in scenario.models)
    return need_mb / sum(server.memory_mb for server in scenario.servers)
