"""Splits a server-sent event stream into complete events, so that it can resume."""

from typing import Final, final

MAX_EVENT_BYTES: Final = 1024 * 1024


class BrokenStreamError(ValueError):
    """An incomplete event is too large, or an event id is not above the last one."""


@final
class EventSplitter:
    """Buffers the incomplete event, and checks that event ids increase."""

    def __init__(self, last_id: int | None = None) -> None:
        self._incomplete = b""
        self.last_id = last_id

    def feed(self, chunk: bytes) -> bytes:
        """Return the events completed by `chunk`.

        Raises
        ------
        BrokenStreamError
            When an event has not ended within `MAX_EVENT_BYTES`, or its id is not
            above the one before.
        """
        data = self._incomplete + chunk
        end = data.rfind(b"\n\n")
        if end < 0:
            self._incomplete = data
            if len(data) > MAX_EVENT_BYTES:
                raise BrokenStreamError(
                    f"event has not ended after {len(data)} bytes; "
                    f"at most {MAX_EVENT_BYTES} bytes are allowed"
                )
            return b""
        whole, self._incomplete = data[: end + 2], data[end + 2 :]
        for block in whole.split(b"\n\n"):
            self._check(block)
        return whole

    def has_incomplete_event(self) -> bool:
        """Return whether the buffer contains an incomplete event."""
        return bool(self._incomplete)

    def restart(self) -> None:
        """Drop the incomplete event, which belongs to the attempt that has ended."""
        self._incomplete = b""

    def _check(self, block: bytes) -> None:
        for line in block.split(b"\n"):
            if not line.startswith(b"id:"):
                continue
            text = line[3:].strip()
            if not text.isdigit():
                continue
            event_id = int(text)
            if self.last_id is not None and event_id <= self.last_id:
                raise BrokenStreamError(
                    f"event id {event_id} is not above the last id {self.last_id}"
                )
            self.last_id = event_id
