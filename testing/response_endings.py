"""Responses whose body ends with the connection, and the ways in which they end.

For the tests of `pond-vm` and of the entry daemon.
"""

import re
from collections.abc import Iterable, Iterator
from itertools import product
from typing import Final, Literal, NamedTuple

LAST_EVENT: Final = 3
LINE_ENDS: Final = (b"\n", b"\r\n")

Ending = Literal["fin", "reset", "open"]


class Head(NamedTuple):
    """How a server writes the head of a response without framing."""

    version: bytes
    extra: bytes

    def encode(self, status: bytes, headers: bytes) -> bytes:
        """Return the head; each of the headers ends with its line end."""
        return b"HTTP/%b %b\r\n%b%b\r\n" % (self.version, status, headers, self.extra)


HEADS: Final = tuple(
    Head(*parts)
    for parts in product(
        (b"1.1", b"1.0"), (b"", b"Connection: close\r\n", b"Connection: keep-alive\r\n")
    )
)


class StreamEnd(NamedTuple):
    """A stream of events that a server ends too early or at its end.

    Attributes
    ----------
    name : str
        Where it ends.
    line_end : bytes
        What ends each line of an event.
    body : bytes
        What the server sends behind the head.
    ending : str
        How the server closes the connection.
    """

    name: str
    line_end: bytes
    body: bytes
    ending: Ending

    def is_whole(self) -> bool:
        """Return whether this is a complete stream, as far as one can tell."""
        is_between_events = self.body.endswith(2 * self.line_end)
        return self.ending == "fin" and is_between_events


def encode_events(first: int, last: int, line_end: bytes = b"\n") -> bytes:
    """Return events with these ids, the last one included."""
    numbers = range(first, last + 1)
    return b"".join(
        line_end.join((b"id: %d" % number, "data: å".encode(), b"", b""))
        for number in numbers
    )


def stream_ends(line_ends: Iterable[bytes] = LINE_ENDS) -> Iterator[StreamEnd]:
    """Return the ways in which a stream can end."""
    for line_end, ending in product(line_ends, ("fin", "reset")):
        whole = encode_events(0, LAST_EVENT, line_end)
        half = encode_events(0, 1, line_end)
        places = {
            "before the first event": b"",
            "within the first event": b"id: 0" + line_end + b"da",
            "within a field": half + b"id: 2" + line_end + b"da",
            "within a character": half + b"id: 2" + line_end + b"data: \xc3",
            "before the blank line": half[: -len(line_end)],
            "within the last line end": half[:-1],
            "between events": half,
            "before the last blank line": whole[: -len(line_end)],
            "behind the last event": whole,
        }
        for name, body in places.items():
            yield StreamEnd(name, line_end, body, ending)


def last_event_id(head: bytes) -> int | None:
    """Return the event after which a request takes a stream up again."""
    found = re.search(rb"\r\nLast-Event-Id: (\d+)", head, re.I)
    return int(found[1]) if found else None
