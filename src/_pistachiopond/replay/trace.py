"""Traces of arrivals as JSON lines; ``docs/traces.md`` documents the format."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from _pistachiopond.schema.codec import from_plain, to_json
from _pistachiopond.schema.manifest import Manifest, Urgency

FORMAT_NAME: Final = "pistachiopond-trace"
FORMAT_VERSION: Final = 1


class TraceHeader(NamedTuple):
    """The first line of a trace.

    Attributes
    ----------
    format, version : str, int
        ``pistachiopond-trace`` and 1.
    is_synthetic : bool
        True when a generator made it.
    source : str
        Which generator with which seed, or which daemon recorded it.
    """

    format: str
    version: int
    is_synthetic: bool
    source: str


class TraceRecord(NamedTuple):
    """One arrival; no key and no content.

    Attributes
    ----------
    arrival_s : float
        Seconds since the start of the trace.
    customer : str
        Empty on an open route.
    route : str
        The path prefix of the route.
    service : str
        The service that answers it.
    model, adapter : str or None
        What the caller named.
    prefix_ids : tuple of str
        Chained digests of the prompt's blocks.
    prompt_tokens, max_tokens, output_tokens : int
        At arrival, the limit, and what was generated in the end.
    urgency : {"urgent", "normal", "batch"}
        From the manifest's rules.
    idempotent : bool
        Whether it may run more than once.
    """

    arrival_s: float
    customer: str
    route: str
    service: str
    model: str | None
    adapter: str | None
    prefix_ids: tuple[str, ...]
    prompt_tokens: int
    max_tokens: int
    output_tokens: int
    urgency: Urgency
    idempotent: bool


class Trace(NamedTuple):
    """A trace with the manifest it ran under."""

    header: TraceHeader
    manifest: Manifest
    records: tuple[TraceRecord, ...]


def write_trace(trace: Trace, path: Path) -> None:
    """Write a trace: the header, the manifest, then one record a line."""
    with path.open("w", encoding="utf-8") as lines:
        lines.write(to_json(trace.header) + "\n")
        lines.write(to_json(trace.manifest) + "\n")
        for record in trace.records:
            lines.write(to_json(record) + "\n")


def read_trace(path: Path) -> Result[Trace, str]:
    """Read and check a trace.

    Parameters
    ----------
    path : Path
        A file of JSON lines.

    Returns
    -------
    Result
        The trace with its records in the order of arrival, or what is wrong
        with the first faulty line.
    """
    try:
        lines = iter(path.read_text(encoding="utf-8").splitlines())
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"{path}: {error}; name a readable trace file")
    try:
        header = _take(lines, TraceHeader, 1)
        manifest = _take(lines, Manifest, 2)
        records = list(_records(lines))
    except ValueError as error:
        return Err(f"{path}: {error}; see docs/traces.md for the format")
    if header.format != FORMAT_NAME or header.version != FORMAT_VERSION:
        return Err(f"{path}: not a {FORMAT_NAME} of version {FORMAT_VERSION}")
    records.sort(key=lambda record: record.arrival_s)
    return Ok(Trace(header, manifest, tuple(records)))


def _records(lines: Iterable[str]) -> Iterator[TraceRecord]:
    for number, line in enumerate(lines, start=3):
        yield _check(line, TraceRecord, number)


def _take(lines: Iterator[str], kind: type[Any], number: int) -> Any:
    line = next(lines, None)
    if line is None:
        raise ValueError(f"line {number} is missing")
    return _check(line, kind, number)


def _check(line: str, kind: type[Any], number: int) -> Any:
    try:
        plain = json.loads(line)
    except ValueError as error:
        raise ValueError(f"line {number}: {error}") from error
    checked = from_plain(kind, plain)
    if isinstance(checked, Err):
        raise ValueError(f"line {number}: {checked.err_value[0]}")
    return checked.ok_value
