"""Incremental parsing and splitting of streams of server-sent events."""

import re
from typing import Final, NamedTuple, final

from _pistachiopond.entry.headers import RawHeaders
from _pistachiopond.http1.message_bounds import Excess

EVENT_STREAM: Final = b"text/event-stream"
MAX_EVENT_BYTES: Final = 4 * 1024 * 1024
EVENT_EXCESS: Final = Excess("event", f"an event of more than {MAX_EVENT_BYTES} bytes")
# Two line ends. The possessive `?+` keeps CRLF from counting as two. Alternatives that
# begin with a literal are searched several times as fast as a group.
_EVENT_END: Final = re.compile(rb"\n(?:\n|\r\n?+)|\r\n?+(?:\n|\r\n?+)")
# The field with the empty name is a comment.
FIELDS: Final = frozenset({b"data", b"event", b"id", b"retry", b""})
# The length of CRLF, the longest line end.
MAX_LINE_END_BYTES: Final = 2


class SseEvent(NamedTuple):
    """One event.

    Attributes
    ----------
    event_id : str
        The event's id; empty if it has none.
    name : str
        The event's type; empty if it has none.
    data : str
        The lines of its data, joined by newlines.
    """

    event_id: str
    name: str
    data: str


class EventTooLargeError(ValueError):
    """An event is still incomplete after `MAX_EVENT_BYTES`."""


class UnknownFieldError(ValueError):
    """A line of an event is not a field of event streams."""


@final
class SseSplitter:
    """Splits a stream between events, holding back the one that is incomplete.

    Attributes
    ----------
    incomplete : bytearray
        What has been received of the event that is still incomplete.
    """

    def __init__(self) -> None:
        self.incomplete = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes, unchanged, of the events that `chunk` completes.

        Raises
        ------
        EventTooLargeError
            When an event is still incomplete after `MAX_EVENT_BYTES`.
        """
        buffer = self.incomplete
        # Only a line end that closes the held bytes can be part of an event's end.
        searched_from = max(0, len(buffer) - MAX_LINE_END_BYTES)
        buffer += chunk
        end = 0
        for match in _EVENT_END.finditer(buffer, searched_from):
            end = match.end()
        events = bytes(buffer[:end])
        del buffer[:end]
        _check_event_size(len(buffer))
        return events


@final
class SseParser:
    """Parses events from bytes, buffering the event that is still incomplete."""

    def __init__(self) -> None:
        self._splitter = SseSplitter()

    def feed(self, chunk: bytes) -> list[SseEvent]:
        """Return the events that `chunk` completes.

        Raises
        ------
        EventTooLargeError
            When an event is still incomplete after `MAX_EVENT_BYTES`.
        UnknownFieldError
            When a line is not a field, such as the head of a second response.
        """
        text = self._splitter.feed(chunk)
        if b"\r" in text:
            text = text.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *blocks, _ = text.split(b"\n\n")
        events = (_parse(block) for block in blocks)
        return [event for event in events if event is not None]


def has_other_lines(events: bytes) -> bool:
    """Return whether a line of whole events is no field of event streams."""
    lines = events.splitlines()
    return any(line.partition(b":")[0] not in FIELDS for line in lines)


def is_event_stream(headers: RawHeaders) -> bool:
    """Return whether a response with these headers is a stream of events.

    The names of the headers must be in lower case.
    """
    return any(
        name == b"content-type" and value.startswith(EVENT_STREAM)
        for name, value in headers
    )


def is_encoded(headers: RawHeaders) -> bool:
    """Return whether a body with these headers is compressed or otherwise encoded.

    Events cannot be told apart in such a body, nor added to it. The names of the
    headers must be in lower case.
    """
    return any(
        name == b"content-encoding" and value.strip().lower() not in (b"", b"identity")
        for name, value in headers
    )


def _check_event_size(size: int) -> None:
    if size > MAX_EVENT_BYTES:
        raise EventTooLargeError(
            f"a server-sent event is still incomplete after {size} bytes; "
            f"the limit is {MAX_EVENT_BYTES}"
        )


def _parse(block: bytes) -> SseEvent | None:
    event_id, name = "", ""
    data: list[str] = []
    for line in block.decode("utf-8", "replace").split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "data":
            data.append(value)
        elif field == "id":
            event_id = value
        elif field == "event":
            name = value
        elif field not in ("", "retry"):
            raise UnknownFieldError(f"{field[:20]!r} is not a field of event streams")
    if not data and not event_id and not name:
        return None
    return SseEvent(event_id, name, "\n".join(data))
