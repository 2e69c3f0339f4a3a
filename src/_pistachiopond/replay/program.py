"""The command line of ``pond-replay``."""

import json
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Annotated, Any, Final

import anyio
from cyclopts import App, Parameter
from result import Err

from _pistachiopond.kernel.timer import RealTimer
from _pistachiopond.replay.experiment import (
    Experiment,
    ExperimentResult,
    add_comparisons,
    run_experiment,
)
from _pistachiopond.replay.generate import generate_trace
from _pistachiopond.replay.load_driver import drive_load
from _pistachiopond.replay.policies import ABLATIONS, BASELINES, OURS, UPPER_BOUND
from _pistachiopond.replay.report import (
    make_table,
    make_unmeasured_line,
    run_name,
    write_plot,
)
from _pistachiopond.replay.trace import Trace, read_trace, write_trace
from _pistachiopond.schema.codec import from_plain, to_plain

MAX_RUNS: Final = 400

app: Final = App(
    name="pond-replay",
    help="Replays traces in a simulation, compares policies, and sends live load.",
)


@app.command
def generate(
    workload: str,
    path: Path,
    *,
    seed: int = 1,
    length_s: float = 240.0,
    load: float = 1.0,
    heavy: bool = False,
) -> None:
    """Generate a synthetic trace and write it to a file."""
    trace = generate_trace(workload, length_s, seed, load=load, heavy=heavy)
    write_trace(trace, path)
    print(f"{len(trace.records)} arrivals written to {path}")


@app.command
def run(
    workload: str,
    *,
    policy: str = "ours",
    scenario: str = "calm",
    seed: int = 1,
    length_s: float = 240.0,
    load: float = 1.0,
    heavy: str = "no",
    trace_path: Path | None = None,
    check: bool = False,
) -> None:
    """Replay one trace and print its measures as JSON.

    Parameters
    ----------
    workload : str
        Names the fleet and the generator; with a trace file only the fleet is used.
    policy, scenario : str
        Names; the faults of a scenario are joined by ``+``.
    heavy : str
        ``no``, ``limited`` or ``unlimited``.
    trace_path : Path, optional
        A recorded trace, used in place of a generated one.
    check : bool
        Exit with status 1 if a stated outcome is missed.
    """
    experiment = Experiment(workload, policy, scenario, seed, length_s, load, heavy)
    trace = _read_or_exit(trace_path) if trace_path else None
    result = run_experiment(
        experiment, trace=trace, on_progress=_progress(experiment_label(experiment))
    )
    print(json.dumps(_to_dict(result), indent=1, sort_keys=True))
    if check and result.misses:
        raise SystemExit(1)


@app.command
def compare(
    workload: str,
    *,
    policies: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = (),
    scenarios: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = ("calm",),
    loads: Annotated[tuple[float, ...], Parameter(consume_multiple=True)] = (1.0,),
    heavy: str = "no",
    seed: int = 1,
    length_s: float = 240.0,
    save: Path | None = None,
) -> None:
    """Replay several policies on the same traces and print a table.

    Parameters
    ----------
    policies : tuple of str
        By default the baselines, ``ours`` and the upper bound; ``ablations``
        stands for ``ours`` and the same without each of its features.
    heavy : str
        Unless ``no``, each run is also made without the heavy customer.
    save : Path, optional
        Write the results to this file as JSON lines for ``report``.
    """
    names = policies or tuple(p.name for p in (*BASELINES, OURS, UPPER_BOUND))
    if names == ("ablations",):
        names = (OURS.name, *(policy.name for policy in ABLATIONS))
    heavy_modes = ("no",) if heavy == "no" else ("no", heavy)
    experiments = [
        Experiment(workload, name, scenario, seed, length_s, load, heavy_mode)
        for load in loads
        for scenario in scenarios
        for heavy_mode in heavy_modes
        for name in names
    ]
    if len(experiments) > MAX_RUNS:
        raise SystemExit(f"{len(experiments)} runs requested; the limit is {MAX_RUNS}")
    results = add_comparisons(list(_run_all(experiments)))
    print(make_table(results) + make_unmeasured_line(results), end="")
    if save is not None:
        lines = (json.dumps(_to_dict(result)) + "\n" for result in results)
        save.write_text("".join(lines), encoding="utf-8")


@app.command
def report(saved: Path, table: Path, plot: Path) -> None:
    """Write a table and a plot of the results that ``compare`` saved."""
    results = [
        _parse_result(json.loads(line))
        for line in saved.read_text(encoding="utf-8").splitlines()
    ]
    table.write_text(make_table(results), encoding="utf-8")
    write_plot(results, plot)
    print(f"{len(results)} runs written to {table} and {plot}")


@app.command
def live(
    trace_path: Path,
    *,
    urls: Annotated[tuple[str, ...], Parameter(consume_multiple=True)],
    key_file: Path,
) -> None:
    """Send a trace to running entry daemons and print a summary of the responses."""
    trace = _read_or_exit(trace_path)
    key = key_file.read_text(encoding="utf-8").strip()
    summary = anyio.run(drive_load, trace.records, urls, key, RealTimer())
    print(json.dumps(summary._asdict(), indent=1))


def experiment_label(experiment: Experiment) -> str:
    """Return the name shown with the progress."""
    return run_name(ExperimentResult(experiment, {}, ()))


def _run_all(experiments: list[Experiment]) -> Iterable[ExperimentResult]:
    for number, experiment in enumerate(experiments, start=1):
        label = f"[{number}/{len(experiments)}] {experiment_label(experiment)}"
        yield run_experiment(experiment, on_progress=_progress(label))


def _progress(label: str) -> Callable[[float], None]:
    is_terminal = sys.stderr.isatty()

    def show(share: float) -> None:
        if is_terminal:
            end = "\n" if share >= 1.0 else "\r"
            print(f"{label}: {share:4.0%}", end=end, file=sys.stderr, flush=True)

    return show


def _read_or_exit(path: Path) -> Trace:
    trace = read_trace(path)
    if isinstance(trace, Err):
        raise SystemExit(trace.err_value)
    return trace.ok_value


def _to_dict(result: ExperimentResult) -> dict[str, Any]:
    return {
        "experiment": to_plain(result.experiment),
        "measures": result.measures,
        "misses": [to_plain(miss) for miss in result.misses],
    }


def _parse_result(data: dict[str, Any]) -> ExperimentResult:
    checked = from_plain(ExperimentResult, data)
    if isinstance(checked, Err):
        raise SystemExit(f"not a saved result: {checked.err_value[0]}")
    return checked.ok_value


def main() -> None:
    """Run the command line."""
    app()
