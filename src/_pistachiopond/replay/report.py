"""Tables and plots of replay outcomes."""

from collections.abc import Sequence
from pathlib import Path
from typing import Final

from _pistachiopond.replay.experiment import Outcome, scope_of
from _pistachiopond.replay.outcomes import unmeasured_outcomes

COLUMNS: Final = (
    "attainment",
    "worst_customer_attainment",
    "first_token_attainment",
    "token_gap_attainment",
    "first_token_p95_s",
    "met_tokens_per_accelerator_s",
    "share_of_upper_bound",
    "other_customers_attainment",
    "other_customers_p95_ratio",
    "wrongful_refusals",
    "cut_off_share",
    "wasted_work_share",
    "model_moves",
    "unreachable_models",
    "memory_over_mb",
    "order_appends_per_s",
)
PLOTTED: Final = (
    "attainment",
    "worst_customer_attainment",
    "met_tokens_per_accelerator_s",
)


def outcome_name(outcome: Outcome) -> str:
    """Return a short name of what was run."""
    own = outcome.experiment
    heavy = "" if own.heavy == "no" else f" heavy {own.heavy}"
    return f"{own.workload} {own.policy} {own.scenario} load {own.load:g}{heavy}"


def make_table(outcomes: Sequence[Outcome]) -> str:
    """Return a Markdown table with one row for each run."""
    lines = [
        "| run | " + " | ".join(COLUMNS) + " | missed |",
        "|---" * (len(COLUMNS) + 2) + "|",
    ]
    for outcome in outcomes:
        cells = [_cell(outcome, column) for column in COLUMNS]
        missed = ", ".join(miss.outcome.measure for miss in outcome.misses) or "none"
        lines.append(
            f"| {outcome_name(outcome)} | " + " | ".join(cells) + f" | {missed} |"
        )
    return "\n".join(lines) + "\n"


def make_unmeasured_lines(outcomes: Sequence[Outcome]) -> str:
    """Return one line naming the outcomes that these runs did not measure."""
    names = {
        missing.measure
        for outcome in outcomes
        for missing in unmeasured_outcomes(
            scope_of(outcome.experiment), outcome.measures
        )
    }
    return "not measured: " + (", ".join(sorted(names)) or "none") + "\n"


def write_plot(outcomes: Sequence[Outcome], path: Path) -> None:
    """Write a bar chart of the main measures, in the format of the file's suffix."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [outcome_name(outcome) for outcome in outcomes]
    height = 1.0 + 0.3 * len(names)
    figure, axes = pyplot.subplots(1, len(PLOTTED), figsize=(14, height), sharey=True)
    for axis, measure in zip(axes, PLOTTED, strict=True):
        axis.barh(names, [outcome.measures[measure] for outcome in outcomes])
        axis.set_title(measure)
        axis.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _cell(outcome: Outcome, column: str) -> str:
    value = outcome.measures.get(column)
    return "-" if value is None else f"{value:.4f}"
