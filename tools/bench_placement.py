"""Compares placement policies, or measures the cost of one plan by fleet size.

Usage: ``python tools/bench_placement.py [policies|sizes]``.
"""

import sys

from _pistachiopond.decisions.placement import make_plan
from _pistachiopond.replay.placement_experiment import (
    make_greedy_policy,
    make_scenario,
    make_static_policy,
    memory_share,
    run_policy,
)

SEED = 7


def compare_policies() -> None:
    """Compare the planner with two baselines, with and without a lost data centre."""
    policies = {
        "static": make_static_policy(),
        "greedy": make_greedy_policy(),
        "ours": make_plan,
    }
    for objective in ("worst_served_customer", "attainment_per_accelerator"):
        for load_share in (0.3, 0.6):
            for lost in (None, "dc-1"):
                scenario = make_scenario(
                    server_count=20,
                    model_count=17,
                    load_share=load_share,
                    objective=objective,
                    seed=SEED,
                    lost_data_centre=lost,
                )
                for name, policy in policies.items():
                    outcome = run_policy(scenario, policy)
                    print(
                        f"{objective:27} load {load_share:.1f} lost {lost!s:5} "
                        f"{name:7} served {outcome.served_share:.4f} "
                        f"worst {outcome.worst_model_share:.4f} "
                        f"unreachable {outcome.unreachable_model_s:4d} s "
                        f"moves {outcome.moves:4d}"
                    )


def measure_sizes() -> None:
    """Print the processor time of one plan at several fleet sizes."""
    for servers, models in ((9, 17), (50, 40), (200, 100), (810, 230)):
        scenario = make_scenario(
            server_count=servers,
            model_count=models,
            load_share=0.5,
            objective="worst_served_customer",
            seed=SEED,
            duration_s=120,
        )
        outcome = run_policy(scenario, make_plan)
        print(
            f"servers {servers:4d} models {models:4d} "
            f"memory of one replica each {memory_share(scenario):.3f} "
            f"plan {outcome.plan_ms:.2f} ms moves {outcome.moves}"
        )


if __name__ == "__main__":
    if sys.argv[1:] == ["sizes"]:
        measure_sizes()
    else:
        compare_policies()
