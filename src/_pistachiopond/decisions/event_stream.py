"""Cuts a server-sent event stream into whole events, so that it can be resumed."""

from typing import Final, final

MAX_EVENT_BYTES: Final = 1024 * 1024


class BrokenStreamError(ValueError):
    """The events are not the ones that follow those before."""


@final
class EventCutter:
    """Holds back the event that has not ended yet, and checks the order."""

    def __init__(self, last_id: int | None = None) -> None:
        self._rest = b""
        self.last_id = last_id

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that end in `chunk`.

        Raises
        ------
        BrokenStreamError
            When an event is too large, or does not come after the one before.
        """
        data = self._rest + chunk
        end = data.rfind(b"\n\n")
        if end < 0:
            self._rest = data
            if len(data) > MAX_EVENT_BYTES:
                raise BrokenStreamError("an event without an end")
            return b""
        whole, self._rest = data[: end + 2], data[end + 2 :]
        for block in whole.split(b"\n\n"):
            self._check(block)
        return whole

    def has_rest(self) -> bool:
        """Return whether the stream ended within an event."""
        return bool(self._rest)

    def restart(self) -> None:
        """Drop the unfinished event; a new run continues after the last whole one."""
        self._rest = b""

    def _check(self, block: bytes) -> None:
        for line in block.split(b"\n"):
            if not line.startswith(b"id:"):
                continue
            text = line[3:].strip()
            if not text.isdigit():
                continue
            event_id = int(text)
            if self.last_id is not None and event_id <= self.last_id:
                raise BrokenStreamError(f"event {event_id} after event {self.last_id}")
            self.last_id = event_id
