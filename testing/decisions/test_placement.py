"""Tests of placement with a small simulated fleet."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.decisions.placement import make_plan
from _pistachiopond.decisions.placement_types import (
    ModelLoad,
    PlacementInput,
    PlacementOptions,
    PlacementServer,
    Replica,
)
from _pistachiopond.replay.placement_fleet import FluidFleet
from _pistachiopond.schema.manifest import Adapter, Model

SETTLING_STEPS = 60


def make_servers(count: int, memory_mb: int, centres: int = 2) -> list[PlacementServer]:
    return [
        PlacementServer(
            f"worker-{i}", f"dc-{i % centres}", "region", f"rack-{i}", memory_mb, 1
        )
        for i in range(count)
    ]


def placement_input(
    fleet: FluidFleet, models: list[Model], loads: dict[str, float], objective: str
) -> PlacementInput:
    return PlacementInput(
        tuple(models),
        tuple(fleet.servers.values()),
        fleet.replicas(),
        tuple(ModelLoad(*item) for item in sorted(loads.items())),
        objective,
    )


class FleetRun:
    """Steps a simulated fleet and checks the invariants after each step."""

    def __init__(
        self,
        case: unittest.TestCase,
        fleet: FluidFleet,
        models: list[Model],
        loads: dict[str, float] | None = None,
        objective: str = "worst_served_customer",
    ) -> None:
        self.case = case
        self.fleet = fleet
        self.models = models
        self.loads = loads or {}
        self.objective = objective
        self.now_s = 0.0

    def step(self, count: int = 1) -> None:
        for _ in range(count):
            source = placement_input(
                self.fleet, self.models, self.loads, self.objective
            )
            reachable = {
                m.name for m in self.models if self.fleet.serving_replicas(m.name)
            }
            plan = make_plan(source)
            self.fleet.apply(plan, self.now_s)
            self.now_s += 1.0
            self.fleet.complete_due_changes(self.now_s)
            self.check(reachable)

    def check(self, reachable_before: set[str]) -> None:
        for name, server in self.fleet.servers.items():
            self.case.assertLessEqual(self.fleet.used_mb(name), server.memory_mb)
        for name in reachable_before:
            self.case.assertTrue(
                self.fleet.serving_replicas(name), f"{name} lost its replicas"
            )

    def check_all_reachable(self) -> None:
        for model in self.models:
            self.case.assertTrue(self.fleet.serving_replicas(model.name), model.name)

    def check_settled(self) -> None:
        moves = self.fleet.moves
        self.step(10)
        self.case.assertEqual(self.fleet.moves, moves, "a settled fleet still moves")


class PlacementTests(unittest.TestCase):
    def test_all_models_are_placed_and_then_no_replica_moves(self) -> None:
        models = [Model(f"m{i}", "1", 20 + i) for i in range(12)]
        run = FleetRun(self, FluidFleet(tuple(make_servers(4, 120))), models)
        run.step(SETTLING_STEPS)
        run.check_all_reachable()
        run.check_settled()

    def test_each_model_has_replicas_in_two_data_centres(self) -> None:
        models = [Model(f"m{i}", "1", 20) for i in range(6)]
        run = FleetRun(self, FluidFleet(tuple(make_servers(4, 100))), models)
        run.step(SETTLING_STEPS)
        for model in models:
            servers = [r.server for r in run.fleet.serving_replicas(model.name)]
            centres = {run.fleet.servers[name].data_centre for name in servers}
            self.assertEqual(len(centres), 2, model.name)

    def test_models_of_a_lost_server_are_loaded_elsewhere(self) -> None:
        models = [Model(f"m{i}", "1", 30) for i in range(8)]
        run = FleetRun(self, FluidFleet(tuple(make_servers(4, 120))), models)
        run.step(SETTLING_STEPS)
        run.fleet.crash("worker-1")
        run.step(SETTLING_STEPS)
        run.check_all_reachable()

    def test_a_leaving_server_is_emptied_with_every_model_reachable(self) -> None:
        models = [Model(f"m{i}", "1", 30) for i in range(9)]
        run = FleetRun(self, FluidFleet(tuple(make_servers(4, 100))), models)
        run.step(SETTLING_STEPS)
        run.fleet.mark_leaving("worker-2")
        run.step(SETTLING_STEPS)
        self.assertEqual(run.fleet.used_mb("worker-2"), 0)
        run.check_all_reachable()

    def test_versions_are_rolled_out_with_memory_for_one_extra_replica(self) -> None:
        old = [Model(f"m{i}", "1", 30) for i in range(5)]
        run = FleetRun(self, FluidFleet(tuple(make_servers(2, 90))), old)
        run.step(SETTLING_STEPS)
        run.models = [model._replace(version="2") for model in old]
        run.step(3 * SETTLING_STEPS)
        versions = {replica.version for replica in run.fleet.replicas()}
        self.assertEqual(versions, {"2"})

    def test_memory_is_freed_by_moving_a_replica(self) -> None:
        small = [Model(f"s{i}", "1", 40) for i in range(2)]
        run = FleetRun(self, FluidFleet(tuple(make_servers(2, 100))), small)
        run.step(SETTLING_STEPS)
        run.models = [*small, Model("large", "1", 100)]
        run.step(SETTLING_STEPS)
        run.check_all_reachable()

    def test_busy_servers_drain_spares_for_a_model_without_a_replica(self) -> None:
        models = [Model(f"m{i}", "1", 50, min_replicas=2) for i in range(4)]
        run = FleetRun(self, FluidFleet(tuple(make_servers(4, 100))), models)
        run.step(SETTLING_STEPS)
        run.loads = {model.name: 2000.0 for model in models}
        run.step(SETTLING_STEPS)
        run.models = [*models, Model("new", "1", 50)]
        run.step(SETTLING_STEPS)
        run.check_all_reachable()

    def test_spares_are_placed_before_extra_replicas_of_busy_models(self) -> None:
        models = [Model(f"m{i}", "1", 50) for i in range(4)]
        run = FleetRun(
            self,
            FluidFleet(tuple(make_servers(4, 100))),
            models,
            loads={"m0": 1500.0},
        )
        run.step(SETTLING_STEPS)
        counts = {
            model.name: len(run.fleet.serving_replicas(model.name)) for model in models
        }
        self.assertEqual(counts, {model.name: 2 for model in models})

    def test_a_busy_model_gets_the_memory_of_idle_surplus_replicas(self) -> None:
        models = [Model(f"m{i}", "1", 50) for i in range(4)]
        run = FleetRun(
            self,
            FluidFleet(tuple(make_servers(4, 100))),
            models,
            objective="attainment_per_accelerator",
        )
        run.step(SETTLING_STEPS)
        run.loads = {"m0": 900.0}
        run.step(2 * SETTLING_STEPS)
        self.assertGreaterEqual(len(run.fleet.serving_replicas("m0")), 3)
        run.check_all_reachable()
        run.check_settled()

    def test_adapters_count_towards_a_replicas_memory(self) -> None:
        adapters = tuple(Adapter(f"a{i}", 10) for i in range(3))
        model = Model("m", "1", 80, adapters)
        run = FleetRun(self, FluidFleet(tuple(make_servers(1, 100))), [model])
        run.step(SETTLING_STEPS)
        self.assertEqual(run.fleet.serving_replicas("m"), [])

    def test_concurrent_loads_stay_within_the_weight_stores_limit(self) -> None:
        fleet = FluidFleet(tuple(make_servers(4, 200)))
        models = [Model(f"m{i}", "1", 10) for i in range(30)]
        run = FleetRun(self, fleet, models)
        for _ in range(SETTLING_STEPS):
            run.step()
            loading = [r for r in fleet.replicas() if r.state == "loading"]
            self.assertLessEqual(len(loading), PlacementOptions().loads_in_flight)

    def test_an_unsettled_intent_counts_as_used_memory(self) -> None:
        servers = tuple(make_servers(1, 100))
        intent = Replica("worker-0", "gone", "1", 60, "loading")
        source = PlacementInput(
            (Model("m", "1", 50),), servers, (intent,), (), "worst_served_customer"
        )
        plan = make_plan(source)
        self.assertEqual(plan.loads, ())
        self.assertEqual(plan.unplaced, ("m",))

    @given(st.integers(0, 2**32))
    @settings(max_examples=25, derandomize=True, deadline=None)
    def test_random_events_never_overcommit_or_lose_a_model(self, seed: int) -> None:
        rng = random.Random(seed)
        models = [Model(f"m{i}", "1", rng.randint(5, 40)) for i in range(12)]
        run = FleetRun(
            self,
            FluidFleet(tuple(make_servers(5, 150, centres=3))),
            models,
            objective=rng.choice(
                ["worst_served_customer", "attainment_per_accelerator"]
            ),
        )
        run.step(SETTLING_STEPS)
        for _ in range(12):
            apply_random_event(run, rng)
            run.step(rng.randint(1, 20))
        for name in run.fleet.servers:
            run.fleet.restore(name)
        run.step(4 * SETTLING_STEPS)
        run.check_all_reachable()
        run.check_settled()


def apply_random_event(run: FleetRun, rng: random.Random) -> None:
    """Apply a random event; lose only servers without a model's last replica."""
    kind = rng.choice(["load", "lose", "leave", "restore", "version", "swap"])
    name = rng.choice(sorted(run.fleet.servers))
    usable = [s for s in run.fleet.servers.values() if s.is_usable and not s.is_leaving]
    if kind == "load":
        model = rng.choice(run.models)
        run.loads[model.name] = rng.choice([0.0, 50.0, 500.0, 1500.0])
    elif kind == "lose" and len(usable) > 3 and not holds_a_last_replica(run, name):
        run.fleet.crash(name)
    elif kind == "leave" and len(usable) > 3:
        run.fleet.mark_leaving(name)
    elif kind == "restore":
        run.fleet.restore(name)
    elif kind == "version":
        at = rng.randrange(len(run.models))
        bumped = str(int(run.models[at].version) + 1)
        run.models[at] = run.models[at]._replace(version=bumped)
    elif kind == "swap":
        at = rng.randrange(len(run.models))
        fresh = Model(f"n{rng.randrange(10**9)}", "1", rng.randint(5, 40))
        run.models[at] = fresh


def holds_a_last_replica(run: FleetRun, server_name: str) -> bool:
    return any(
        all(
            replica.server == server_name
            for replica in run.fleet.serving_replicas(model.name)
        )
        for model in run.models
    )
