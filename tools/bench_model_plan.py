"""Measures one plan of the models on engine servers, as `pond-vm` makes ten a second.

Run as ``python -m tools.bench_model_plan``; prints the processor time of a plan by the
numbers of models and servers.
"""

import random
import time
from typing import Final

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

# Models, servers, and models on each server.
SIZES: Final = ((17, 9, 3), (74, 30, 2), (145, 78, 3), (191, 56, 2), (230, 810, 3))
SLOTS: Final = 12
MEMORY_MB: Final = 200_000.0
MODEL_SIZES_MB: Final = (42_700.0, 65_100.0, 72_700.0)
PLANS: Final = 20
# Plans are made after the history has settled, 0.1 s apart.
FIRST_PLAN_S: Final = 8.0
PLAN_PERIOD_S: Final = 0.1


def make_inputs(rng: random.Random, models: int, servers: int, held: int) -> PlanInputs:
    """Return servers with drawn models, of which a fifth is in demand."""
    specs = {
        f"m{n}": ModelSpec(
            f"m{n}",
            rng.choice(MODEL_SIZES_MB),
            5.8,
            1.2,
            0.6,
            10 if n < 20 else 0,
            66.0,
        )
        for n in range(models)
    }
    fleet = EngineFleet(EngineSpec(SLOTS, MEMORY_MB, 8, 16.0, specs))
    address = HttpAddress("127.0.0.1", 1)
    described = {}
    for n in range(servers):
        loaded = dict.fromkeys(rng.sample(list(specs), held), ())
        described[f"s{n}"] = BackendServer(
            f"s{n}", 1, "engines", address, "here", SLOTS, False, loaded, (), ()
        )
    fleet.set_servers(described)
    for inventory in fleet.servers.values():
        inventory.is_known = True
    demand = {
        name: ModelDemand(8.0 * rng.random(), 0.0)
        for name in list(specs)[: models // 5]
    }
    history = DemandHistory()
    for now_s in (0.0, FIRST_PLAN_S - 1.0):
        history.update(demand, now_s)
    return PlanInputs(
        fleet=fleet,
        replicas=fleet.replicas(),
        demand=demand,
        demand_history=history,
        server_load={name: float(rng.randrange(SLOTS)) for name in described},
        running_requests={},
        unhealthy_servers=frozenset(),
        load_rate_limit=LoadRateLimit(16.0, 0.0),
        adapters=dict.fromkeys(list(specs)[:10], 2),
        adapter_idle_s=1.0,
    )


def main() -> None:
    """Print a line for each size."""
    for models, servers, held in SIZES:
        inputs = make_inputs(random.Random(1), models, servers, held)
        started_s = time.process_time()
        for number in range(PLANS):
            plan_models(inputs, FIRST_PLAN_S + number * PLAN_PERIOD_S)
        plan_ms = 1000.0 * (time.process_time() - started_s) / PLANS
        print(f"{models} models, {servers} servers: {plan_ms:.1f} ms a plan")


if __name__ == "__main__":
    main()
