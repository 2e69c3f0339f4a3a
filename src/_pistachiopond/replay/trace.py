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
        True when a generator made the trace.
    source : str
        The generator and its seed, or the daemon that recorded the trace.
    """

    format: str
    version: int
    is_synthetic: bool
    source: str


class TraceRecord(NamedTuple):
    """One arrival, without the caller's key and the request's content.

    Attributes
    ----------
    arrival_s : float
        Seconds since the start of the trace.
    customer : str
        Empty on an open route.
    route : str
        The path prefix of the route.
    service : str
        The service that the route leads to.
    model, adapter : str or None
        The base model and its adapter, as named by the caller.
    prefix_ids : tuple of str
        Chained digests of the prompt's blocks.
    prompt_tokens : int
        Length of the prompt, as known at arrival.
    max_tokens : int
        The caller's limit on generated tokens.
    output_tokens : int
        Tokens that were generated.
    urgency : {"urgent", "normal", "batch"}
        By the manifest's rules.
    idempotent : bool
        Whether the request may run more than once.
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
    """A trace with the manifest that was in force."""

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
        The trace with its records in the order of arrival, or a message on the
        first malformed line.
    """
    try:
        lines = iter(path.read_text(encoding="utf-8").splitlines())
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"{path}: {error}; name a readable trace file")
    try:
        header = _parse_next(lines, TraceHeader, 1)
        manifest = _parse_next(lines, Manifest, 2)
        records = list(_parse_records(lines))
    except ValueError as error:
        return Err(f"{path}: {error}; see docs/traces.md for the format")
    if header.format != FORMAT_NAME or header.version != FORMAT_VERSION:
        return Err(
            f"{path}: not a {FORMAT_NAME} of version {FORMAT_VERSION} but "
            f"{header.format!r} of version {header.version}"
        )
    records.sort(key=lambda record: record.arrival_s)
    return Ok(Trace(header, manifest, tuple(records)))


def _parse_records(lines: Iterable[str]) -> Iterator[TraceRecord]:
    for line_number, line in enumerate(lines, start=3):
        yield _parse_line(line, TraceRecord, line_number)


def _parse_next(lines: Iterator[str], record_type: type[Any], line_number: int) -> Any:
    line = next(lines, None)
    if line is None:
        raise ValueError(f"line {line_number} is missing")
    return _parse_line(line, record_type, line_number)


def _parse_line(line: str, record_type: type[Any], line_number: int) -> Any:
    try:
        data = json.loads(line)
    except ValueError as error:
        raise ValueError(f"line {line_number}: {error}") from error
    converted = from_plain(record_type, data)
    if isinstance(converted, Err):
        raise ValueError(f"line {line_number}: {converted.err_value[0]}")
    return converted.ok_value
