"""What a stand-in really did, for tests to compare with what callers were told."""

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
        Everything that came, so that a leaked key is found.
    content_digest : str
        SHA-256 of the body.
    tag : str
        What stands between ``[[tag=`` and ``]]`` in the body or the path, so that
        a test finds its request again whatever has been done to it on its way.
    outcome : str
        How far it got.
    tokens : int
        Generated so far; 0 for a plain service.
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
    """One order, as in ``/state``."""

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
    """One change of the memory in use."""

    incarnation: str
    used_mb: int
    memory_mb: int
    overcommit: bool
    kind: Literal["memory"] = "memory"


Entry = RequestEntry | OrderEntry | MemoryEntry


def find_tag(*places: bytes) -> str:
    """Return the first tag in any of the places, or the empty text."""
    for place in places:
        found = _TAG.search(place)
        if found is not None:
            return found.group(1).decode()
    return ""


@final
class Ledger:
    """Everything that one stand-in did, in order."""

    def __init__(self, path: Path | None = None) -> None:
        self._entries: dict[int, Entry] = {}
        self._next = 0
        self._file: TextIO | None = None
        self._runs: Counter[str] = Counter()
        self.peak_used_mb = 0
        self.overcommits = 0
        if path is not None:
            self._file = path.open("a", encoding="utf-8", buffering=1)

    def add(self, entry: Entry) -> int:
        """Append an entry and return its place."""
        place = self._next
        self._next += 1
        self._entries[place] = entry
        self._entries.pop(place - MAX_ENTRIES, None)
        self._count(entry)
        self._write(entry)
        return place

    def replace(self, place: int, entry: Entry) -> None:
        """Put the end of something in the place of its beginning."""
        if place in self._entries:
            self._entries[place] = entry
        self._write(entry)

    def count_run(self, key: str) -> int:
        """Count one more execution under `key` and return how many there were."""
        self._runs[key] += 1
        return self._runs[key]

    def requests(self) -> Iterable[tuple[int, RequestEntry]]:
        """Return every execution with its place."""
        return [
            (place, entry)
            for place, entry in self._entries.items()
            if isinstance(entry, RequestEntry)
        ]

    def to_plain(self) -> dict[str, Any]:
        """Return everything as plain data for ``GET /ledger``."""
        return {
            "peak_used_mb": self.peak_used_mb,
            "overcommits": self.overcommits,
            "entries": to_plain(list(self._entries.values())),
        }

    def _count(self, entry: Entry) -> None:
        if isinstance(entry, MemoryEntry):
            self.peak_used_mb = max(self.peak_used_mb, entry.used_mb)
            self.overcommits += entry.overcommit

    def _write(self, entry: Entry) -> None:
        if self._file is not None:
            self._file.write(to_json(entry) + "\n")
