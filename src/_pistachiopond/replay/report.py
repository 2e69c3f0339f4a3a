"""Tables and plots of replay results."""

from collections.abc import Sequence
from pathlib import Path
from typing import Final

from _pistachiopond.replay.experiment import ExperimentResult, get_scope
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
PLOTTED_MEASURES: Final = (
    "attainment",
    "worst_customer_attainment",
    "met_tokens_per_accelerator_s",
)


def run_name(result: ExperimentResult) -> str:
    """Return a short name of the run."""
    experiment = result.experiment
    heavy = "" if experiment.heavy == "no" else f" heavy {experiment.heavy}"
    return (
        f"{experiment.workload} {experiment.policy} {experiment.scenario} "
        f"load {experiment.load:g}{heavy}"
    )


def make_table(results: Sequence[ExperimentResult]) -> str:
    """Return a Markdown table with one row for each run."""
    lines = [
        "| run | " + " | ".join(COLUMNS) + " | missed |",
        "|---" * (len(COLUMNS) + 2) + "|",
    ]
    for result in results:
        cells = [_cell(result, column) for column in COLUMNS]
        missed = ", ".join(miss.outcome.measure for miss in result.misses) or "none"
        lines.append(f"| {run_name(result)} | " + " | ".join(cells) + f" | {missed} |")
    return "\n".join(lines) + "\n"


def make_unmeasured_line(results: Sequence[ExperimentResult]) -> str:
    """Return a line that names the stated outcomes which were not measured."""
    names = {
        outcome.measure
        for result in results
        for outcome in unmeasured_outcomes(
            get_scope(result.experiment), result.measures
        )
    }
    return "not measured: " + (", ".join(sorted(names)) or "none") + "\n"


def write_plot(results: Sequence[ExperimentResult], path: Path) -> None:
    """Write a bar chart of the main measures; the file's suffix sets the format."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [run_name(result) for result in results]
    height = 1.0 + 0.3 * len(names)
    figure, axes = pyplot.subplots(
        1, len(PLOTTED_MEASURES), figsize=(14, height), sharey=True
    )
    for axis, measure in zip(axes, PLOTTED_MEASURES, strict=True):
        axis.barh(names, [result.measures[measure] for result in results])
        axis.set_title(measure)
        axis.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _cell(result: ExperimentResult, column: str) -> str:
    value = result.measures.get(column)
    return "-" if value is None else f"{value:.4f}"
