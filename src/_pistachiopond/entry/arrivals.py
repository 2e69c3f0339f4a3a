"""Records arrivals as a trace that ``pond-replay`` reads; no key and no content."""

from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple, TextIO

from _pistachiopond.decisions.dispatch_types import RequestFacts
from _pistachiopond.entry.fleet import FleetState
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.manifest import Manifest

FORMAT_NAME: Final = "pistachiopond-trace"
FORMAT_VERSION: Final = 1


class Arrival(NamedTuple):
    """One request that has ended.

    Attributes
    ----------
    arrived_s : float
        When it came, on the process's clock.
    route : str
        The path prefix of its route.
    facts : RequestFacts
        What was decided by.
    output_tokens : int
        What was generated in the end.
    """

    arrived_s: float
    route: str
    facts: RequestFacts
    output_tokens: int


class ArrivalRecorder(NamedTuple):
    """Writes the trace.

    Attributes
    ----------
    record : callable
        Takes each request once it has ended.
    watch_fleet : callable
        Takes the configuration, which the trace begins with.
    """

    record: Callable[[Arrival], None]
    watch_fleet: Callable[[FleetState, frozenset[str]], None]


def make_recorder(path: str | None, timer: Timer) -> ArrivalRecorder:
    """Return a recorder that writes to `path`, or one that writes nothing."""
    if path is None:
        return ArrivalRecorder(lambda arrival: None, lambda state, changed: None)
    lines = Path(path).open("w", encoding="utf-8")
    started_s = timer.now_s()
    has_manifest = [False]

    def watch_fleet(state: FleetState, changed: frozenset[str]) -> None:
        if state.revision is not None and not has_manifest[0]:
            has_manifest[0] = True
            _write_head(lines, state.revision.manifest)

    def record(arrival: Arrival) -> None:
        if has_manifest[0]:
            lines.write(to_json(_plain(arrival, started_s)) + "\n")
            lines.flush()

    return ArrivalRecorder(record, watch_fleet)


def _write_head(lines: TextIO, manifest: Manifest) -> None:
    header = {
        "format": FORMAT_NAME,
        "version": FORMAT_VERSION,
        "is_synthetic": False,
        "source": "pond-entry",
    }
    customers = tuple(item._replace(key_digests=()) for item in manifest.customers)
    lines.write(to_json(header) + "\n")
    lines.write(to_json(manifest._replace(customers=customers)) + "\n")
    lines.flush()


def _plain(arrival: Arrival, started_s: float) -> dict[str, object]:
    facts = arrival.facts
    return {
        "arrival_s": round(arrival.arrived_s - started_s, 6),
        "customer": facts.customer,
        "route": arrival.route,
        "service": facts.service,
        "model": facts.model,
        "adapter": facts.adapter,
        "prefix_ids": facts.prefix_ids,
        "prompt_tokens": facts.prompt_tokens,
        "max_tokens": facts.max_tokens,
        "output_tokens": arrival.output_tokens,
        "urgency": facts.urgency,
        "idempotent": facts.idempotent,
    }
