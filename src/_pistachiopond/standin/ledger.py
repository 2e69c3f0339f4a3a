"""The ledger of what a stand-in executed.

Tests compare it with the responses that clients received.
"""

import re
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final, Literal, NamedTuple, TextIO, final

from _pistachiopond.schema.codec import to_json, to_plain

MAX_ENTRIES: Final = 200_000
_TAG: Final = re.compile(rb"\[\[tag=([A-Za-z0-9._-]{1,64})\]\]")

Outcome = Literal["started", "finished", "cancelled", "crashed"]


class RequestEntry(NamedTuple):
    """One execution of a request.

    Attributes
    ----------
    headers : tuple of (str, str)
        All headers as received, so that tests find a key that was forwarded by mistake.
    content_digest : str
        SHA-256 of the body.
    tag : str
        The text between ``[[tag=`` and ``]]`` in the body or the path. It lets a test
        find its request even if headers or body were changed on the way.
    outcome : str
        State of the execution: ``"started"`` until it ends.
    tokens : int
        Number of tokens generated; 0 for a plain service.
    """

    request_id: str
    incarnation: str
    method: str
    path: str
    query: str
    model: str
    content_digest: str
    tag: str
    idempotency_key: str | None
    headers: tuple[tuple[str, str], ...]
    outcome: Outcome
    tokens: int = 0
    kind: Literal["request"] = "request"


class OrderEntry(NamedTuple):
    """One order to an engine, in the form that ``/state`` lists."""

    fencing_number: int
    order_number: int
    action: str
    model: str
    version: str | None
    adapter: str | None
    state: Literal["running", "done", "failed", "refused"]
    detail: str = ""
    kind: Literal["order"] = "order"


class MemoryEntry(NamedTuple):
    """The accelerator memory in use after a change."""

    incarnation: str
    used_mb: int
    memory_mb: int
    overcommit: bool
    kind: Literal["memory"] = "memory"


Entry = RequestEntry | OrderEntry | MemoryEntry


def find_tag(*sources: bytes) -> str:
    """Return the first tag in any of the sources, or the empty string."""
    for source in sources:
        found = _TAG.search(source)
        if found is not None:
            return found.group(1).decode()
    return ""


@final
class Ledger:
    """The executions, orders and memory changes of one stand-in, in order.

    The last `MAX_ENTRIES` are kept in memory. With a path, each entry and each
    replacement is also appended to that file as a line of JSON.
    """

    def __init__(self, path: Path | None = None) -> None:
        self._entries: dict[int, Entry] = {}
        self._next_position = 0
        self._file: TextIO | None = None
        self._executions: Counter[str] = Counter()
        self.peak_used_mb = 0
        self.overcommits = 0
        if path is not None:
            self._file = path.open("a", encoding="utf-8", buffering=1)

    def add(self, entry: Entry) -> int:
        """Append an entry and return its position."""
        position = self._next_position
        self._next_position += 1
        self._entries[position] = entry
        self._entries.pop(position - MAX_ENTRIES, None)
        self._update_totals(entry)
        self._write_line(entry)
        return position

    def replace(self, position: int, entry: Entry) -> None:
        """Replace an entry, such as that of a started request when it has ended."""
        if position in self._entries:
            self._entries[position] = entry
        self._write_line(entry)

    def count_execution(self, key: str) -> int:
        """Count an execution under `key` and return the number so far."""
        self._executions[key] += 1
        return self._executions[key]

    def requests(self) -> Iterable[tuple[int, RequestEntry]]:
        """Return the entries of all requests with their positions."""
        return [
            (position, entry)
            for position, entry in self._entries.items()
            if isinstance(entry, RequestEntry)
        ]

    def to_plain(self) -> dict[str, Any]:
        """Return the ledger as plain data for ``GET /ledger``."""
        return {
            "peak_used_mb": self.peak_used_mb,
            "overcommits": self.overcommits,
            "entries": to_plain(list(self._entries.values())),
        }

    def _update_totals(self, entry: Entry) -> None:
        if isinstance(entry, MemoryEntry):
            self.peak_used_mb = max(self.peak_used_mb, entry.used_mb)
            self.overcommits += entry.overcommit

    def _write_line(self, entry: Entry) -> None:
        if self._file is not None:
            self._file.write(to_json(entry) + "\n")
