"""Compares ways of placing models over a day in which demand moves tenfold.

A fluid model: each second a server shares its capacity over its replicas, and a
model's demand is spread evenly over its replicas. It leaves out queueing, which
``pond-replay`` adds; it shows what the placement alone is worth.
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
from _pistachiopond.replay.placement_fleet import Fleet
from _pistachiopond.schema.manifest import Model, Objective

PLAN_PERIOD_S: Final = 5
SMOOTHING_S: Final = 60.0

Policy = Callable[[PlacementInput], PlacementPlan]


class Scenario(NamedTuple):
    """The fleet and the day of one experiment.

    Attributes
    ----------
    demand : callable
        ``demand(model_index, now_s)`` in tokens/s.
    lost_centre : str or None
        A data centre that is lost for the middle third of the time.
    """

    models: tuple[Model, ...]
    servers: tuple[PlacementServer, ...]
    demand: Callable[[int, float], float]
    duration_s: int
    options: PlacementOptions
    objective: Objective
    lost_centre: str | None = None


class Outcome(NamedTuple):
    """What a policy achieved.

    Attributes
    ----------
    served_share : float
        Tokens served over tokens asked for.
    worst_model_share : float
        The same for the model that was served worst.
    unreachable_model_s : int
        Seconds in which a model that had demand had no replica, summed.
    moves : int
        Loads that were started after the first placement.
    plan_ms : float
        Mean processor time of one plan, in milliseconds; varies by machine.
    """

    served_share: float
    worst_model_share: float
    unreachable_model_s: int
    moves: int
    plan_ms: float


def make_static_policy() -> Policy:
    """Return the baseline that places once and repairs only what is lost."""

    def plan(source: PlacementInput) -> PlacementPlan:
        idle = source._replace(loads=())
        return make_plan(idle)

    return plan


def make_greedy_policy() -> Policy:
    """Return the baseline that follows the present load without hysteresis.

    The hottest model always gets a replica on the coolest server with room; the
    coldest model's surplus replica goes to make that room.
    """

    def plan(source: PlacementInput) -> PlacementPlan:
        eager = source.options._replace(high_utilisation=0.01, least_gain=0.0)
        return make_plan(source._replace(options=eager))

    return plan


def run_policy(scenario: Scenario, policy: Policy) -> Outcome:
    """Run one policy through the scenario.

    Parameters
    ----------
    scenario : Scenario
        Its demand is a function of time alone, so that policies see the same day.
    policy : callable
        Makes a plan from a `PlacementInput`.

    Returns
    -------
    Outcome
        All but ``plan_ms`` are the same at each run.
    """
    run = _Run(scenario, policy)
    warm_up_s = _warm_up_s(scenario)
    for now_s in range(-warm_up_s, 0):
        run.plan(now_s, 0.0)
    run.fleet.moves = 0
    for now_s in range(scenario.duration_s):
        run.fail(now_s)
        run.plan(now_s, float(now_s))
        run.serve(now_s)
    return run.outcome()


def _warm_up_s(scenario: Scenario) -> int:
    loads = len(scenario.models) * scenario.options.spare_replicas
    rounds = math.ceil(loads / scenario.options.loads_in_flight)
    return 2 * PLAN_PERIOD_S * (rounds + 5)


class _Run:
    def __init__(self, scenario: Scenario, policy: Policy) -> None:
        self.fleet = Fleet(scenario.servers)
        self._scenario = scenario
        self._policy = policy
        self._smooth = [0.0 for _ in scenario.models]
        self._asked = [0.0 for _ in scenario.models]
        self._served = [0.0 for _ in scenario.models]
        self._unreachable_s = 0
        self._plan_s = 0.0
        self._plans = 0

    def fail(self, now_s: int) -> None:
        third_s = self._scenario.duration_s // 3
        if self._scenario.lost_centre is None or now_s not in (third_s, 2 * third_s):
            return
        for server in self._scenario.servers:
            if server.data_centre == self._scenario.lost_centre:
                act = self.fleet.lose if now_s == third_s else self.fleet.restore
                act(server.name)

    def plan(self, now_s: int, demand_s: float) -> None:
        for i in range(len(self._scenario.models)):
            now = self._scenario.demand(i, demand_s)
            self._smooth[i] += (now - self._smooth[i]) / SMOOTHING_S
        if now_s % PLAN_PERIOD_S == 0:
            source = self._input()
            began_s = time.process_time()
            plan = self._policy(source)
            self._plan_s += time.process_time() - began_s
            self._plans += 1
            self.fleet.apply(plan, now_s)
        self.fleet.settle(now_s)

    def _input(self) -> PlacementInput:
        scenario = self._scenario
        loads = tuple(
            ModelLoad(model.name, round(tokens_per_s, 3))
            for model, tokens_per_s in zip(scenario.models, self._smooth, strict=True)
        )
        return PlacementInput(
            scenario.models,
            tuple(self.fleet.servers.values()),
            self.fleet.replicas(),
            loads,
            scenario.objective,
            scenario.options,
        )

    def serve(self, now_s: int) -> None:
        ready = _ready_servers(self.fleet)
        asked = [
            self._scenario.demand(i, float(now_s))
            for i in range(len(self._scenario.models))
        ]
        offered = dict.fromkeys(self.fleet.servers, 0.0)
        for model, tokens in zip(self._scenario.models, asked, strict=True):
            for name in ready.get(model.name, ()):
                offered[name] += tokens / len(ready[model.name])
        for i, model in enumerate(self._scenario.models):
            names = ready.get(model.name, [])
            self._asked[i] += asked[i]
            self._unreachable_s += int(asked[i] > 0 and not names)
            for name in names:
                share = asked[i] / len(names)
                self._served[i] += share * self._served_share(name, offered[name])

    def _served_share(self, server_name: str, offered_tokens_per_s: float) -> float:
        server = self.fleet.servers[server_name]
        capacity = server.accelerators * self._scenario.options.accelerator_tokens_per_s
        return min(1.0, capacity / max(offered_tokens_per_s, 1e-9))

    def outcome(self) -> Outcome:
        shares = [
            served / asked
            for served, asked in zip(self._served, self._asked, strict=True)
            if asked > 0
        ]
        return Outcome(
            sum(self._served) / sum(self._asked),
            min(shares),
            self._unreachable_s,
            self.fleet.moves,
            1000.0 * self._plan_s / self._plans,
        )


def _ready_servers(fleet: Fleet) -> dict[str, list[str]]:
    """Return for each model the servers that answer for it.

    A draining replica takes no new work unless it is the only one.
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
    """Return demand in which each model moves tenfold within an hour.

    Parameters
    ----------
    model_count : int
        How many models share the total.
    total_tokens_per_s : float
        The mean of the sum over all models.
    seed : int
        Gives each model its own phase and period.
    """
    rng = random.Random(seed)
    weights = [1.0 / (1 + rank) for rank in range(model_count)]
    rng.shuffle(weights)
    phases = [rng.random() for _ in range(model_count)]
    periods_s = [rng.uniform(3000.0, 7200.0) for _ in range(model_count)]
    spread = math.log(10.0) / 2.0
    mean = sum(weights) * 1.35

    def demand(index: int, now_s: float) -> float:
        angle = 2 * math.pi * (now_s / periods_s[index] + phases[index])
        swing = math.exp(spread * math.sin(angle))
        return total_tokens_per_s * weights[index] * swing / mean

    return demand


def make_scenario(
    *,
    server_count: int,
    model_count: int,
    load_share: float,
    objective: Objective,
    seed: int,
    duration_s: int = 3600,
    lost_centre: str | None = None,
) -> Scenario:
    """Return a scenario of a given size.

    Parameters
    ----------
    load_share : float
        Mean demand as a share of the fleet's capacity.
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
    return Scenario(
        models, servers, demand, duration_s, options, objective, lost_centre
    )


def memory_share(scenario: Scenario) -> float:
    """Return what one replica of each model takes of all memory."""
    need_mb = sum(replica_memory_mb(model) for model in scenario.models)
    return need_mb / sum(server.memory_mb for server in scenario.servers)
