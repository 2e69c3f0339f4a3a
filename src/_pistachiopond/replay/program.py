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
    Outcome,
    relate,
    run_experiment,
)
from _pistachiopond.replay.generate import generate_trace
from _pistachiopond.replay.load_driver import drive_load
from _pistachiopond.replay.policies import ABLATIONS, BASELINES, OURS, UPPER_BOUND
from _pistachiopond.replay.report import (
    make_table,
    make_unmeasured_lines,
    outcome_name,
    write_plot,
)
from _pistachiopond.replay.trace import Trace, read_trace, write_trace
from _pistachiopond.schema.codec import from_plain, to_plain

MAX_RUNS: Final = 400

app: Final = App(
    name="pond-replay",
    help="Replays traces through the decisions, compares policies, drives live load.",
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
    """Write a synthetic trace to a file."""
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
        Its fleet and generator; with a trace file only the fleet is used.
    policy, scenario : str
        By name; faults are joined by ``+``.
    heavy : str
        ``no``, ``limited`` or ``unlimited``.
    trace_path : Path, optional
        A recorded trace.
    check : bool
        Exit with status 1 when a stated outcome is missed.
    """
    experiment = Experiment(workload, policy, scenario, seed, length_s, load, heavy)
    trace = _read_or_exit(trace_path) if trace_path else None
    outcome = run_experiment(
        experiment, trace=trace, on_progress=_progress(outcome_label(experiment))
    )
    print(json.dumps(_plain(outcome), indent=1, sort_keys=True))
    if check and outcome.misses:
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
    """Replay several policies on equal traces and print a table.

    Parameters
    ----------
    policies : tuple of str
        Empty for the baselines, ours and the upper bound; ``ablations`` for
        ours without each part.
    heavy : str
        When not ``no``, each run is also made without the heavy customer.
    save : Path, optional
        Writes the outcomes as JSON lines for ``report``.
    """
    names = policies or tuple(p.name for p in (*BASELINES, OURS, UPPER_BOUND))
    if names == ("ablations",):
        names = (OURS.name, *(policy.name for policy in ABLATIONS))
    heavies = ("no",) if heavy == "no" else ("no", heavy)
    experiments = [
        Experiment(workload, name, scenario, seed, length_s, load, each)
        for load in loads
        for scenario in scenarios
        for each in heavies
        for name in names
    ]
    if len(experiments) > MAX_RUNS:
        raise SystemExit(f"{len(experiments)} runs; ask for at most {MAX_RUNS}")
    outcomes = relate(list(_run_all(experiments)))
    print(make_table(outcomes) + make_unmeasured_lines(outcomes), end="")
    if save is not None:
        lines = (json.dumps(_plain(outcome)) + "\n" for outcome in outcomes)
        save.write_text("".join(lines), encoding="utf-8")


@app.command
def report(saved: Path, table: Path, plot: Path) -> None:
    """Write the table and the plot of outcomes that ``compare`` saved."""
    outcomes = [
        _outcome(json.loads(line))
        for line in saved.read_text(encoding="utf-8").splitlines()
    ]
    table.write_text(make_table(outcomes), encoding="utf-8")
    write_plot(outcomes, plot)
    print(f"{len(outcomes)} runs written to {table} and {plot}")


@app.command
def live(
    trace_path: Path,
    *,
    urls: Annotated[tuple[str, ...], Parameter(consume_multiple=True)],
    key_file: Path,
) -> None:
    """Send a trace to running entry daemons and print what callers saw."""
    trace = _read_or_exit(trace_path)
    key = key_file.read_text(encoding="utf-8").strip()
    summary = anyio.run(drive_load, trace.records, urls, key, RealTimer())
    print(json.dumps(summary._asdict(), indent=1))


def outcome_label(experiment: Experiment) -> str:
    """Return the name under which progress is shown."""
    return outcome_name(Outcome(experiment, {}, ()))


def _run_all(experiments: list[Experiment]) -> Iterable[Outcome]:
    for number, experiment in enumerate(experiments, start=1):
        label = f"[{number}/{len(experiments)}] {outcome_label(experiment)}"
        yield run_experiment(experiment, on_progress=_progress(label))


def _progress(label: str) -> Callable[[float], None]:
    is_shown = sys.stderr.isatty()

    def show(share: float) -> None:
        if is_shown:
            end = "\n" if share >= 1.0 else "\r"
            print(f"{label}: {share:4.0%}", end=end, file=sys.stderr, flush=True)

    return show


def _read_or_exit(path: Path) -> Trace:
    trace = read_trace(path)
    if isinstance(trace, Err):
        raise SystemExit(trace.err_value)
    return trace.ok_value


def _plain(outcome: Outcome) -> dict[str, Any]:
    return {
        "experiment": to_plain(outcome.experiment),
        "measures": outcome.measures,
        "misses": [to_plain(miss) for miss in outcome.misses],
    }


def _outcome(plain: dict[str, Any]) -> Outcome:
    checked = from_plain(Outcome, plain)
    if isinstance(checked, Err):
        raise SystemExit(f"not an outcome: {checked.err_value[0]}")
    return checked.ok_value


def main() -> None:
    """Run the command line."""
    app()
