"""Runs replays by name and checks their measures against the stated outcomes."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from _pistachiopond.replay.faults import make_scenario
from _pistachiopond.replay.fleets import SIZES, make_fleet
from _pistachiopond.replay.generate import WORKLOADS, generate_trace, heavy_customer
from _pistachiopond.replay.measures import Measures, compute_measures
from _pistachiopond.replay.outcomes import Miss, Scope, missed_outcomes
from _pistachiopond.replay.parameters import NetworkParameters, Parameters
from _pistachiopond.replay.policies import POLICIES
from _pistachiopond.replay.simulator import Simulation
from _pistachiopond.replay.trace import Trace


class Experiment(NamedTuple):
    """The parameters of one replay.

    Attributes
    ----------
    workload, policy, scenario : str
        Names; the faults of a scenario are joined by ``+``.
    seed : int
        Of the trace, the load balancer and the dispatchers.
    length_s, load : float
        Length of the trace, and a factor on its rates.
    heavy : {"no", "limited", "unlimited"}
        Whether one customer sends several times its share, and whether limits
        hold it to its rate.
    """

    workload: str
    policy: str = "ours"
    scenario: str = "calm"
    seed: int = 1
    length_s: float = 240.0
    load: float = 1.0
    heavy: str = "no"


class ExperimentResult(NamedTuple):
    """The measures of one replay, and the stated outcomes that it missed."""

    experiment: Experiment
    measures: Measures
    misses: tuple[Miss, ...]


def make_parameters(workload: str) -> Parameters:
    """Return the parameters, with the weight store limits of the workload's fleet."""
    size = SIZES[WORKLOADS[workload].fleet]
    network = NetworkParameters(
        loads_per_s=size.loads_per_s, full_speed_loads=size.full_speed_loads
    )
    return Parameters(network=network)


def get_scope(experiment: Experiment) -> Scope:
    """Return the scope of the stated outcomes that apply."""
    if experiment.heavy != "no":
        return "heavy_tenant"
    if experiment.scenario == "calm":
        return "calm"
    return "two_faults" if "+" in experiment.scenario else "one_fault"


def run_experiment(
    experiment: Experiment,
    *,
    trace: Trace | None = None,
    on_progress: Callable[[float], None] | None = None,
) -> ExperimentResult:
    """Run one replay.

    Parameters
    ----------
    experiment : Experiment
        Equal experiments give exactly equal measures.
    trace : Trace or None
        A recorded trace; None generates a synthetic one.
    on_progress : callable or None
        Receives the share of the trace that has been replayed.
    """
    is_heavy = experiment.heavy != "no"
    if trace is None:
        trace = generate_trace(
            experiment.workload,
            experiment.length_s,
            experiment.seed,
            load=experiment.load,
            heavy=is_heavy,
        )
    size = SIZES[WORKLOADS[experiment.workload].fleet]
    simulation = Simulation(
        trace,
        make_fleet(size, experiment.seed).daemon_places,
        POLICIES[experiment.policy],
        make_scenario(experiment.scenario, experiment.length_s),
        experiment.seed,
        make_parameters(experiment.workload),
        has_limits=experiment.heavy != "unlimited",
        on_progress=on_progress,
    )
    run = simulation.run()
    heavy = heavy_customer(experiment.workload) if is_heavy else None
    measures = compute_measures(run.request_results, run.counts, heavy)
    return _make_result(experiment, measures)


def add_comparisons(results: Sequence[ExperimentResult]) -> list[ExperimentResult]:
    """Return the results with the measures that compare runs with each other.

    Where there is a run of the policy ``central`` for the same experiment, the share
    of the upper bound is added. Where there is a run of the same experiment without
    the heavy customer, the ratio of the other customers' first-token delays is
    added.
    """
    return [_compare(result, results) for result in results]


def _compare(
    result: ExperimentResult, others: Sequence[ExperimentResult]
) -> ExperimentResult:
    measures = dict(result.measures)
    experiment = result.experiment
    for other in others:
        is_upper_bound = other.experiment == experiment._replace(policy="central")
        if is_upper_bound and other.measures["met_tokens_per_accelerator_s"] > 0:
            measures["share_of_upper_bound"] = (
                measures["met_tokens_per_accelerator_s"]
                / other.measures["met_tokens_per_accelerator_s"]
            )
        if experiment.heavy != "no" and other.experiment == experiment._replace(
            heavy="no"
        ):
            without_heavy_s = other.measures["other_customers_p95_s"]
            measures["other_customers_p95_ratio"] = (
                measures["other_customers_p95_s"] / without_heavy_s
            )
    return _make_result(experiment, measures)


def _make_result(experiment: Experiment, measures: Measures) -> ExperimentResult:
    misses = missed_outcomes(get_scope(experiment), measures)
    return ExperimentResult(experiment, measures, misses)
