"""Compares what callers were told with what the backend servers really did."""

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from testing.live.load import Sent


class Row(NamedTuple):
    """One line of the table of live proofs.

    Attributes
    ----------
    sent, whole, refused, broken, wrong : int
        Requests by their end.
    not_run, may_have_run, ran : int
        Verdicts that callers were given.
    verdicts_checked : int
        How many of them were compared with the ledgers.
    breaches : tuple of str
        What must never happen, and did.
    notes : str
        Figures of this proof.
    """

    proof: str
    sent: int = 0
    whole: int = 0
    refused: int = 0
    broken: int = 0
    wrong: int = 0
    not_run: int = 0
    may_have_run: int = 0
    ran: int = 0
    verdicts_checked: int = 0
    breaches: tuple[str, ...] = ()
    notes: str = ""


class Record(NamedTuple):
    """The ledgers of all backend servers, out of their files.

    Attributes
    ----------
    runs : Counter
        Executions by tag, on plain services and engines.
    lines : int
        How many lines there were.
    overcommits : tuple of str
        One line for each.
    texts : tuple of str
        Every line, to search for keys.
    """

    runs: Counter[str]
    lines: int
    overcommits: tuple[str, ...]
    texts: tuple[str, ...]


def read_ledgers(folder: Path) -> Record:
    """Read every ledger file in a folder."""
    runs: Counter[str] = Counter()
    overcommits: list[str] = []
    texts: list[str] = []
    for path in sorted(folder.glob("*.ledger")):
        for line in path.read_text(encoding="utf-8").splitlines():
            entry = json.loads(line)
            texts.append(line)
            runs += _runs_in(entry)
            if entry["kind"] == "memory" and entry["overcommit"]:
                overcommits.append(f"{path.stem}: {line}")
    return Record(runs, len(texts), tuple(overcommits), tuple(texts))


def _runs_in(entry: dict[str, Any]) -> Counter[str]:
    """Count an execution once: at its start on engines, at its end on services."""
    if entry["kind"] != "request" or not entry["tag"]:
        return Counter()
    is_service = not entry["model"]
    if is_service or entry["outcome"] == "started":
        return Counter({entry["tag"]: 1})
    return Counter()


def make_row(
    proof: str,
    sent: Iterable[Sent],
    folder: Path,
    keys: Iterable[str],
    notes: str = "",
) -> Row:
    """Count what callers saw, and collect every breach.

    Parameters
    ----------
    proof : str
        Its name.
    sent : iterable of Sent
        What callers saw.
    folder : Path
        Holds the ledger files.
    keys : iterable of str
        Keys that no backend server may have seen.
    notes : str
        Figures of this proof.
    """
    requests = list(sent)
    record = read_ledgers(folder)
    ends = Counter(item.end for item in requests)
    verdicts = Counter(item.verdict for item in requests)
    breaches = (
        *_untrue_verdicts(requests, record),
        *_repeated_bookings(requests, record),
        *_answers_of_others(requests),
        *_leaked_keys(record, keys),
        *record.overcommits[:5],
    )
    return Row(
        proof,
        len(requests),
        ends["whole"],
        ends["refused"],
        ends["broken"],
        ends["wrong"],
        verdicts["not_run"],
        verdicts["may_have_run"],
        verdicts["ran"],
        sum(1 for item in requests if item.verdict or item.end == "whole"),
        breaches,
        notes,
    )


def _untrue_verdicts(requests: list[Sent], record: Record) -> list[str]:
    found = []
    for item in requests:
        runs = record.runs[item.tag]
        if item.verdict == "not_run" and runs:
            found.append(f"told not_run, but ran {runs} times: {item}")
        if item.verdict == "ran" and not runs:
            found.append(f"told ran, but did not run: {item}")
        if item.end == "whole" and not runs:
            found.append(f"answered, but did not run: {item}")
    return found[:5]


def _repeated_bookings(requests: list[Sent], record: Record) -> list[str]:
    return [
        f"not idempotent, but ran {record.runs[item.tag]} times: {item}"
        for item in requests
        if item.kind == "booking" and record.runs[item.tag] > 1
    ][:5]


def _answers_of_others(requests: list[Sent]) -> list[str]:
    wrong = [item for item in requests if item.end == "wrong"]
    return [f"not the answer to this request: {item}" for item in wrong][:5]


def _leaked_keys(record: Record, keys: Iterable[str]) -> list[str]:
    wanted = tuple(keys)
    for text in record.texts:
        for key in wanted:
            if key in text:
                return [f"a key reached a backend server: {text[:200]}"]
    return []


def wrongful_refusals(sent: Iterable[Sent], customer: str) -> int:
    """Count refusals of a customer that stayed within its rate."""
    return sum(
        item.end in ("refused", "broken") and item.customer == customer for item in sent
    )


def count_codes(sent: Iterable[Sent]) -> str:
    """Return how often each problem code came, as one short text."""
    codes = Counter(f"{item.status} {item.code}" for item in sent if item.code)
    return ", ".join(f"{count}x {code}" for code, count in codes.most_common(6))
