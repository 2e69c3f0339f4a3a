"""Runs replays with named parts and checks them against the stated outcomes."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from _pistachiopond.replay.faults import make_scenario
from _pistachiopond.replay.fleets import SIZES, make_fleet
from _pistachiopond.replay.generate import WORKLOADS, generate_trace, heavy_customer
from _pistachiopond.replay.measures import Measures, take_measures
from _pistachiopond.replay.outcomes import Miss, Scope, missed_outcomes
from _pistachiopond.replay.parameters import NetworkParameters, Parameters
from _pistachiopond.replay.policies import POLICIES
from _pistachiopond.replay.simulator import Simulation
from _pistachiopond.replay.trace import Trace


class Experiment(NamedTuple):
    """What one replay runs.

    Attributes
    ----------
    workload, policy, scenario : str
        By name; a scenario may join faults by ``+``.
    seed : int
        Of the trace, the balancer and the dispatchers.
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


class Outcome(NamedTuple):
    """The measures of one replay, and the outcomes that it missed."""

    experiment: Experiment
    measures: Measures
    misses: tuple[Miss, ...]


def make_parameters(workload: str) -> Parameters:
    """Return the parameters with the weight store of the workload's fleet."""
    size = SIZES[WORKLOADS[workload].fleet]
    network = NetworkParameters(
        loads_per_s=size.loads_per_s, full_speed_loads=size.full_speed_loads
    )
    return Parameters(network=network)


def scope_of(experiment: Experiment) -> Scope:
    """Return which stated outcomes apply."""
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
) -> Outcome:
    """Run one replay.

    Parameters
    ----------
    experiment : Experiment
        Equal ones give equal measures to the last digit.
    trace : Trace or None
        A recorded trace; None generates the synthetic one.
    on_progress : callable or None
        Receives the share that is done.
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
        make_fleet(size, experiment.seed).daemons,
        POLICIES[experiment.policy],
        make_scenario(experiment.scenario, experiment.length_s),
        experiment.seed,
        make_parameters(experiment.workload),
        has_limits=experiment.heavy != "unlimited",
        on_progress=on_progress,
    )
    result = simulation.run()
    heavy = heavy_customer(experiment.workload) if is_heavy else None
    measures = take_measures(result.fates, result.counts, heavy)
    return _checked(experiment, measures)


def relate(outcomes: Sequence[Outcome]) -> list[Outcome]:
    """Add the measures that compare runs with each other.

    A run of ``central`` for the same workload gives the others their share of
    the upper bound; a run without the heavy customer gives the ratio of the
    other customers' first-token delay.
    """
    return [_related(outcome, outcomes) for outcome in outcomes]


def _related(outcome: Outcome, others: Sequence[Outcome]) -> Outcome:
    measures = dict(outcome.measures)
    own = outcome.experiment
    for other in others:
        is_bound = other.experiment == own._replace(policy="central")
        if is_bound and other.measures["met_tokens_per_accelerator_s"] > 0:
            measures["share_of_upper_bound"] = (
                measures["met_tokens_per_accelerator_s"]
                / other.measures["met_tokens_per_accelerator_s"]
            )
        if own.heavy != "no" and other.experiment == own._replace(heavy="no"):
            calm_s = other.measures["other_customers_p95_s"]
            measures["other_customers_p95_ratio"] = (
                measures["other_customers_p95_s"] / calm_s
            )
    return _checked(own, measures)


def _checked(experiment: Experiment, measures: Measures) -> Outcome:
    misses = missed_outcomes(scope_of(experiment), measures)
    return Outcome(experiment, measures, misses)
