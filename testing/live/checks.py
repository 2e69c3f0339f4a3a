"""Checks the responses that callers received against the backend servers' ledgers."""

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from testing.live.load import RequestResult


class ResultRow(NamedTuple):
    """One row of the results table, for one live scenario.

    Attributes
    ----------
    scenario : str
        Title of the scenario.
    sent, whole, refused, broken, wrong : int
        Number of requests in total, and by their end (see `RequestResult`).
    not_run, may_have_run, ran : int
        Number of responses with each verdict.
    verdicts_checked : int
        Number of requests whose result was compared with the ledgers.
    breaches : tuple of str
        Violations of the system's guarantees. Any of them fails the scenario.
    notes : str
        Measurements specific to this scenario.
    """

    scenario: str
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


class Ledgers(NamedTuple):
    """Contents of the ledger files of all backend servers.

    A ledger is the log in which a stand-in server records each request that it ran.

    Attributes
    ----------
    runs : Counter
        Number of executions by request tag, on plain services and engines.
    line_count : int
        Number of ledger lines.
    overcommits : tuple of str
        The lines that report memory in use beyond the server's capacity.
    ledger_lines : tuple of str
        All lines, which are searched for leaked API keys.
    """

    runs: Counter[str]
    line_count: int
    overcommits: tuple[str, ...]
    ledger_lines: tuple[str, ...]


def read_ledgers(folder: Path) -> Ledgers:
    """Read all ledger files in a folder."""
    runs: Counter[str] = Counter()
    overcommits: list[str] = []
    ledger_lines: list[str] = []
    for path in sorted(folder.glob("*.ledger")):
        for line in path.read_text(encoding="utf-8").splitlines():
            entry = json.loads(line)
            ledger_lines.append(line)
            runs += _count_executions(entry)
            if entry["kind"] == "memory" and entry["overcommit"]:
                overcommits.append(f"{path.stem}: {line}")
    return Ledgers(runs, len(ledger_lines), tuple(overcommits), tuple(ledger_lines))


def _count_executions(entry: dict[str, Any]) -> Counter[str]:
    """Return the executions that a ledger entry counts for, by request tag.

    Engines record the start and the end of an execution, and the start is counted.
    Plain services record the end only.
    """
    if entry["kind"] != "request" or not entry["tag"]:
        return Counter()
    is_service = not entry["model"]
    if is_service or entry["outcome"] == "started":
        return Counter({entry["tag"]: 1})
    return Counter()


def make_row(
    scenario: str,
    results: Iterable[RequestResult],
    folder: Path,
    keys: Iterable[str],
    notes: str = "",
) -> ResultRow:
    """Count the results of a scenario and check them against the ledgers.

    Parameters
    ----------
    scenario : str
        Title of the scenario.
    results : iterable of RequestResult
        Requests and responses as the callers recorded them.
    folder : Path
        Folder of the ledger files.
    keys : iterable of str
        API keys, none of which may appear in a ledger.
    notes : str
        Measurements specific to this scenario.
    """
    requests = list(results)
    ledgers = read_ledgers(folder)
    ends = Counter(item.end for item in requests)
    verdicts = Counter(item.verdict for item in requests)
    breaches = (
        *_find_false_verdicts(requests, ledgers),
        *_find_repeated_bookings(requests, ledgers),
        *_find_mismatched_responses(requests),
        *_find_leaked_keys(ledgers, keys),
        *ledgers.overcommits[:5],
    )
    return ResultRow(
        scenario,
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


def _find_false_verdicts(requests: list[RequestResult], ledgers: Ledgers) -> list[str]:
    found = []
    for item in requests:
        runs = ledgers.runs[item.tag]
        if item.verdict == "not_run" and runs:
            found.append(f"reported as not_run but ran {runs} times: {item}")
        if item.verdict == "ran" and not runs:
            found.append(f"reported as ran but did not run: {item}")
        if item.end == "whole" and not runs:
            found.append(f"answered but did not run: {item}")
    return found[:5]


def _find_repeated_bookings(
    requests: list[RequestResult], ledgers: Ledgers
) -> list[str]:
    return [
        f"not idempotent but ran {ledgers.runs[item.tag]} times: {item}"
        for item in requests
        if item.kind == "booking" and ledgers.runs[item.tag] > 1
    ][:5]


def _find_mismatched_responses(requests: list[RequestResult]) -> list[str]:
    wrong = [item for item in requests if item.end == "wrong"]
    return [f"response does not match the request: {item}" for item in wrong][:5]


def _find_leaked_keys(ledgers: Ledgers, keys: Iterable[str]) -> list[str]:
    forbidden_keys = tuple(keys)
    for ledger_line in ledgers.ledger_lines:
        for key in forbidden_keys:
            if key in ledger_line:
                return [f"API key found in a ledger: {ledger_line[:200]}"]
    return []


def count_wrongful_refusals(results: Iterable[RequestResult], customer: str) -> int:
    """Count the failed requests of a customer that stayed within its rate limit."""
    return sum(
        item.end in ("refused", "broken") and item.customer == customer
        for item in results
    )


def count_codes(results: Iterable[RequestResult]) -> str:
    """Return the most frequent status and problem codes with their counts, as text."""
    codes = Counter(f"{item.status} {item.code}" for item in results if item.code)
    return ", ".join(f"{count}x {code}" for code, count in codes.most_common(6))
