"""Splits a server-sent event stream into complete events, so that it can resume."""

import re
from collections.abc import Collection
from typing import Final, final

MAX_EVENT_BYTES: Final = 1024 * 1024
LF: Final = b"\n"
CRLF: Final = b"\r\n"
_BLANK_LINES: Final = {LF: re.compile(rb"\n*"), CRLF: re.compile(rb"(?:\r\n)*")}
# Enough for every 64-bit integer.
MAX_NUMBER_DIGITS: Final = 20
# The field with the empty name is a comment.
TEXT_FIELDS: Final = frozenset({b"data", b"event", b""})
NUMBER_FIELDS: Final = frozenset({b"id", b"retry"})


class BrokenStreamError(ValueError):
    """An attempt's stream cannot go on; the message says why."""


class _InvalidEventError(ValueError):
    """An event of the stream is invalid; the message says why."""


@final
class EventSplitter:
    """Buffers the incomplete event, and checks each event before it is returned.

    A server that breaks off may go on with a second response on the same connection.
    Where the framing does not separate the two, the second one begins within a line of
    an event, so an event with a line that is no field is invalid. For the same reason
    all lines of a response must end as its first one does, since the lines of a second
    response's head end with CRLF.

    Attributes
    ----------
    last_id : int or None
        The id of the last event returned; None before the first one.
    problem : str or None
        Why the attempt's stream cannot go on after the events returned so far.
    has_passed_last_id : bool
        Whether events without an id were returned after the last one with an id, so
        that a stream resumed at `last_id` might repeat them.
    """

    def __init__(
        self,
        last_id: int | None = None,
        extra_number_fields: Collection[bytes] = (),
        *,
        is_resumable: bool = False,
    ) -> None:
        """Start at the beginning of a stream.

        Parameters
        ----------
        last_id : int or None
            The id of the event that the stream goes on after.
        extra_number_fields : collection of bytes
            Names of fields that events may have besides the standard ones.
        is_resumable : bool
            Whether every id must be a number, so that the stream can be resumed.
        """
        self._number_fields = NUMBER_FIELDS.union(extra_number_fields)
        self._is_resumable = is_resumable
        self._incomplete = bytearray()
        self._line_end: bytes | None = None
        self.last_id = last_id
        self.problem: str | None = None
        self.has_passed_last_id = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the events completed by `chunk`, up to the first invalid one.

        An invalid event sets `problem`, and nothing after it is returned.

        Raises
        ------
        BrokenStreamError
            When an event has not ended within `MAX_EVENT_BYTES`.
        """
        buffer = self._incomplete
        searched = len(buffer)
        buffer += chunk
        size = self._find_end(searched)
        if not size:
            if len(buffer) > MAX_EVENT_BYTES:
                raise BrokenStreamError(
                    f"event has not ended after {len(buffer)} bytes; "
                    f"at most {MAX_EVENT_BYTES} bytes are allowed"
                )
            return b""
        whole = bytes(buffer[:size])
        size = self._accept_events(whole)
        del buffer[:size]
        return whole[:size]

    def has_incomplete_event(self) -> bool:
        """Return whether the buffer contains an incomplete or invalid event."""
        return bool(self._incomplete)

    def incomplete_bytes(self) -> int:
        """Return the size of the incomplete or invalid event and what follows it."""
        return len(self._incomplete)

    def restart(self) -> None:
        """Drop what is left of the attempt that has ended."""
        self._incomplete.clear()
        self._line_end = None
        self.problem = None

    def _find_end(self, searched: int) -> int:
        """Return the size of the whole events and blank lines in the buffer.

        Parameters
        ----------
        searched : int
            How much of the buffer was searched before.
        """
        buffer = self._incomplete
        if self._line_end is None:
            end = buffer.find(LF, searched)
            if end < 0:
                return 0
            self._line_end = CRLF if buffer[:end].endswith(b"\r") else LF
        event_end = 2 * self._line_end
        # An event end may begin in the bytes that were searched before.
        searched = max(0, searched + 1 - len(event_end))
        end = buffer.rfind(event_end, searched)
        size = 0 if end < 0 else end + len(event_end)
        # Between lines that end with CRLF, this is the end of an invalid event.
        other_end = buffer.rfind(2 * LF, max(searched, size))
        if other_end >= 0:
            size = other_end + len(2 * LF)
        # Blank lines behind an event end are not the beginning of an event.
        return size or self._skip_blank_lines(buffer, 0)

    def _skip_blank_lines(self, data: bytes | bytearray, start: int) -> int:
        assert self._line_end is not None
        blank_lines = _BLANK_LINES[self._line_end].match(data, start)
        return start if blank_lines is None else blank_lines.end()

    def _accept_events(self, whole: bytes) -> int:
        """Check whole events; return the size of those before an invalid one."""
        assert self._line_end is not None
        event_end = 2 * self._line_end
        self.problem = None
        start = self._skip_blank_lines(whole, 0)
        while start < len(whole):
            end = whole.find(event_end, start)
            event = whole[start:] if end < 0 else whole[start:end]
            try:
                self._accept(event.split(self._line_end))
            except _InvalidEventError as error:
                self.problem = str(error)
                break
            start = self._skip_blank_lines(whole, end + len(event_end))
        return start

    def _accept(self, lines: list[bytes]) -> None:
        """Check an event, and record its id if it is valid.

        Raises
        ------
        _InvalidEventError
            When it is not.
        """
        event_id: int | None = None
        has_data = False
        seen: set[bytes] = set()
        for line in lines:
            if self._line_end == CRLF and (LF in line or b"\r" in line):
                raise _InvalidEventError("the lines of an event end differently")
            name, _, value = line.partition(b":")
            if name in TEXT_FIELDS:
                has_data = has_data or name == b"data"
                continue
            self._check_name(name, seen)
            seen.add(name)
            # Where lines end with LF, a CR is no part of a number.
            number = self._parse_number(name, value.strip(b" "))
            if name == b"id" and number is not None:
                self._check_id(number)
                event_id = number
        if event_id is not None:
            self.last_id = event_id
            self.has_passed_last_id = False
        elif has_data:
            self.has_passed_last_id = True

    def _check_name(self, name: bytes, seen: Collection[bytes]) -> None:
        if name not in self._number_fields:
            raise _InvalidEventError(
                "a line of an event is not a field of event streams"
            )
        if name in seen:
            raise _InvalidEventError(f"an event has the field {name.decode()} twice")

    def _parse_number(self, name: bytes, text: bytes) -> int | None:
        """Return the number, or None for a text where one is allowed."""
        if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS:
            return int(text)
        if text and not self._may_be_text(name):
            raise _InvalidEventError(
                f"the field {name.decode()} of an event is not a number"
            )
        return None

    def _check_id(self, event_id: int) -> None:
        if self.last_id is not None and event_id <= self.last_id:
            raise _InvalidEventError(
                f"event id {event_id} is not above the last id {self.last_id}"
            )

    def _may_be_text(self, name: bytes) -> bool:
        return name == b"id" and not self._is_resumable and self.last_id is None
