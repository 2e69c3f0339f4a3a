"""Records requests as a trace for ``pond-replay``, without keys or content."""

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
    """One request, as recorded after it has ended.

    Attributes
    ----------
    arrived_s : float
        When it arrived, on the clock of the process.
    route : str
        The path prefix of its route.
    facts : RequestFacts
        What the dispatcher knew about it.
    output_tokens : int
        How many tokens were generated.
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
        Called with each request once it has ended.
    on_fleet_change : callable
        Called when the fleet's state changes; the first configuration is written
        at the start of the trace.
    """

    record: Callable[[Arrival], None]
    on_fleet_change: Callable[[FleetState, frozenset[str]], None]


def make_recorder(path: str | None, timer: Timer) -> ArrivalRecorder:
    """Return a recorder that writes to `path`; one that does nothing if it is None."""
    if path is None:
        return ArrivalRecorder(lambda arrival: None, lambda state, changed: None)
    output = Path(path).open("w", encoding="utf-8")
    started_s = timer.now_s()
    has_manifest = [False]

    def on_fleet_change(state: FleetState, changed: frozenset[str]) -> None:
        if state.revision is not None and not has_manifest[0]:
            has_manifest[0] = True
            _write_header(output, state.revision.manifest)

    def record(arrival: Arrival) -> None:
        if has_manifest[0]:
            output.write(to_json(_to_record(arrival, started_s)) + "\n")
            output.flush()

    return ArrivalRecorder(record, on_fleet_change)


def _write_header(output: TextIO, manifest: Manifest) -> None:
    header = {
        "format": FORMAT_NAME,
        "version": FORMAT_VERSION,
        "is_synthetic": False,
        "source": "pond-entry",
    }
    customers = tuple(item._replace(key_digests=()) for item in manifest.customers)
    output.write(to_json(header) + "\n")
    output.write(to_json(manifest._replace(customers=customers)) + "\n")
    output.flush()


def _to_record(arrival: Arrival, started_s: float) -> dict[str, object]:
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
