"""The stated outcomes: bounds on measures that each replay is checked against.

They are derived from the promises and the sizes that the users stated, and were
written before the first run. A missed one is listed as missed in
``docs/measurements.md``.
"""

from typing import Final, Literal, NamedTuple

Scope = Literal["calm", "one_fault", "two_faults", "heavy_tenant", "any"]


class StatedOutcome(NamedTuple):
    """A bound on one measure.

    Attributes
    ----------
    measure : str
        Name of the measure, as in `measures.Measures`. A replay does not take all of
        them; see `unmeasured_outcomes`.
    scope : str
        The scenarios in which it is checked.
    at_least, at_most : float or None
        The bound; one of the two is given.
    """

    measure: str
    scope: Scope
    at_least: float | None = None
    at_most: float | None = None


class Miss(NamedTuple):
    """A stated outcome that a run missed, and the value measured."""

    outcome: StatedOutcome
    value: float


STATED_OUTCOMES: Final[tuple[StatedOutcome, ...]] = (
    StatedOutcome("first_token_attainment", "calm", at_least=0.95),
    StatedOutcome("token_gap_attainment", "calm", at_least=0.95),
    StatedOutcome("attainment", "calm", at_least=0.95),
    StatedOutcome("worst_customer_attainment", "calm", at_least=0.90),
    StatedOutcome("share_of_upper_bound", "calm", at_least=0.90),
    StatedOutcome("attainment", "one_fault", at_least=0.90),
    StatedOutcome("worst_customer_attainment", "one_fault", at_least=0.85),
    StatedOutcome("attainment", "two_faults", at_least=0.80),
    StatedOutcome("other_customers_attainment", "heavy_tenant", at_least=0.95),
    StatedOutcome("other_customers_p95_ratio", "heavy_tenant", at_most=1.10),
    StatedOutcome("wrongful_refusals", "calm", at_most=0.0),
    StatedOutcome("wrongful_refusals", "heavy_tenant", at_most=0.0),
    StatedOutcome("wrongful_refusal_share", "one_fault", at_most=0.001),
    StatedOutcome("wrongful_refusal_share", "two_faults", at_most=0.01),
    StatedOutcome("cut_off_share", "one_fault", at_most=0.02),
    StatedOutcome("wasted_work_share", "any", at_most=0.02),
    StatedOutcome("unreachable_models", "any", at_most=0.0),
    StatedOutcome("memory_over_mb", "any", at_most=0.0),
    StatedOutcome("enforcement_s", "any", at_most=13.0),
    StatedOutcome("appends_per_s", "any", at_most=300.0),
)


def missed_outcomes(scope: Scope, values: dict[str, float]) -> tuple[Miss, ...]:
    """Return the stated outcomes of the scope that the values miss.

    Parameters
    ----------
    scope : str
        The scenario's scope.
    values : dict
        Measured values by name. An outcome whose measure was not taken is not
        counted as missed; the report lists it as not measured.
    """
    misses = []
    for outcome in STATED_OUTCOMES:
        if outcome.scope not in (scope, "any") or outcome.measure not in values:
            continue
        value = values[outcome.measure]
        if outcome.at_least is not None and value < outcome.at_least:
            misses.append(Miss(outcome, value))
        if outcome.at_most is not None and value > outcome.at_most:
            misses.append(Miss(outcome, value))
    return tuple(misses)


def unmeasured_outcomes(
    scope: Scope, values: dict[str, float]
) -> tuple[StatedOutcome, ...]:
    """Return the stated outcomes of the scope whose measure was not taken."""
    return tuple(
        outcome
        for outcome in STATED_OUTCOMES
        if outcome.scope in (scope, "any") and outcome.measure not in values
    )
