"""The stated outcomes that each replay is checked against.

They come from the users' promises and sizes and were written before the first
run. A miss is listed as missed in ``docs/measurements.md``.
"""

from typing import Final, Literal, NamedTuple

Scope = Literal["calm", "one_fault", "two_faults", "heavy_tenant", "any"]


class Outcome(NamedTuple):
    """A bound on one measure.

    Attributes
    ----------
    measure : str
        A field of `measures.Measures`.
    scope : str
        In which scenarios it is checked.
    at_least, at_most : float or None
        The bound; one of the two is given.
    """

    measure: str
    scope: Scope
    at_least: float | None = None
    at_most: float | None = None


class Miss(NamedTuple):
    """An outcome that a run did not reach."""

    outcome: Outcome
    value: float


OUTCOMES: Final[tuple[Outcome, ...]] = (
    Outcome("first_token_attainment", "calm", at_least=0.95),
    Outcome("token_gap_attainment", "calm", at_least=0.95),
    Outcome("attainment", "calm", at_least=0.95),
    Outcome("worst_customer_attainment", "calm", at_least=0.90),
    Outcome("share_of_upper_bound", "calm", at_least=0.90),
    Outcome("attainment", "one_fault", at_least=0.90),
    Outcome("worst_customer_attainment", "one_fault", at_least=0.85),
    Outcome("attainment", "two_faults", at_least=0.80),
    Outcome("other_customers_attainment", "heavy_tenant", at_least=0.95),
    Outcome("other_customers_p95_ratio", "heavy_tenant", at_most=1.10),
    Outcome("wrongful_refusals", "calm", at_most=0.0),
    Outcome("wrongful_refusals", "heavy_tenant", at_most=0.0),
    Outcome("wrongful_refusal_share", "one_fault", at_most=0.001),
    Outcome("wrongful_refusal_share", "two_faults", at_most=0.01),
    Outcome("cut_off_share", "one_fault", at_most=0.02),
    Outcome("wasted_work_share", "any", at_most=0.02),
    Outcome("unreachable_models", "any", at_most=0.0),
    Outcome("memory_over_mb", "any", at_most=0.0),
    Outcome("enforcement_s", "any", at_most=13.0),
    Outcome("appends_per_s", "any", at_most=300.0),
)


def missed_outcomes(scope: Scope, values: dict[str, float]) -> tuple[Miss, ...]:
    """Return the outcomes of the scope that the values do not reach.

    Parameters
    ----------
    scope : str
        The scenario's scope.
    values : dict
        Measured values by name; an outcome whose measure was not taken is not
        counted, and the report lists it as not measured.
    """
    misses = []
    for outcome in OUTCOMES:
        if outcome.scope not in (scope, "any") or outcome.measure not in values:
            continue
        value = values[outcome.measure]
        if outcome.at_least is not None and value < outcome.at_least:
            misses.append(Miss(outcome, value))
        if outcome.at_most is not None and value > outcome.at_most:
            misses.append(Miss(outcome, value))
    return tuple(misses)


def unmeasured_outcomes(scope: Scope, values: dict[str, float]) -> tuple[Outcome, ...]:
    """Return the outcomes of the scope whose measure was not taken."""
    return tuple(
        outcome
        for outcome in OUTCOMES
        if outcome.scope in (scope, "any") and outcome.measure not in values
    )
