"""Reads one stream of the log across restarts, retention and gaps.

A state is the fold of all records up to the offset that it covers. A reader with a
state continues with the next record. A reader without one, or whose next record is no
longer retained, starts from a snapshot in the retained part: one that covers every
record before that part. It then folds the records after the covered offset. So it does
not matter who wrote a snapshot, when, or how late it was appended: a state is never
replaced by an older one.
"""

from collections.abc import Callable, Sequence
from typing import Any, Generic, NamedTuple, Protocol, TypeVar, final


class Record(Protocol):
    """One record of a stream, as returned by the log's client."""

    @property
    def offset(self) -> int:
        """Return the record's offset in the stream."""
        ...

    @property
    def payload(self) -> str:
        """Return the record's text."""
        ...


class Page(Protocol):
    """Part of a stream, as returned by the log's client."""

    @property
    def first_offset(self) -> int:
        """Return the oldest offset that is still retained."""
        ...

    @property
    def next_offset(self) -> int:
        """Return the offset that the next append will get."""
        ...

    @property
    def records(self) -> Sequence[Record]:
        """Return consecutive records."""
        ...


class FoldedState(Protocol):
    """A state that knows the last offset folded into it."""

    @property
    def covers_offset(self) -> int:
        """Return the last offset folded into the state."""
        ...


S = TypeVar("S", bound=FoldedState)


def check_follows(state: FoldedState, offset: int) -> None:
    """Raise if the record at `offset` is not the next one after the state.

    Raises
    ------
    ValueError
        When records before it were skipped or it was folded already.
    """
    if offset != state.covers_offset + 1:
        raise ValueError(
            f"record {offset} does not follow {state.covers_offset}; "
            "read the stream without gaps or start from a snapshot"
        )


class Step(NamedTuple, Generic[S]):
    """The state after one record, and the outcome for the record."""

    state: S
    outcome: Any


class StreamFold(NamedTuple, Generic[S]):
    """How one kind of stream is folded.

    Attributes
    ----------
    empty : state
        The state before the first record.
    fold : callable
        ``fold(state, offset, payload)`` returns the next step.
    snapshot_in : callable
        ``snapshot_in(payload)`` returns the state that the record carries, or None.
    """

    empty: S
    fold: Callable[[S, int, str], Step[S]]
    snapshot_in: Callable[[str], S | None]


class Advance(NamedTuple, Generic[S]):
    """The result of processing one page.

    Attributes
    ----------
    steps : tuple of Step
        One for each folded record, in order.
    from_snapshot : bool
        Whether the state was restored from a snapshot.
    """

    steps: tuple[Step[S], ...]
    from_snapshot: bool


@final
class StreamReader(Generic[S]):
    """One reader's position and state in one stream.

    Attributes
    ----------
    state : state or None
        The newest complete state; None before the first one.
    is_complete : bool
        Whether the next record can be folded; False while the reader needs a
        snapshot.
    has_lost_records : bool
        Whether the log's end is before the reader's position, so that the log must
        have lost records.
    """

    def __init__(self, stream: StreamFold[S]) -> None:
        self._stream = stream
        self.state: S | None = None
        self.is_complete = False
        self.has_lost_records = False
        self._buffer_start = 0
        self._buffer: list[str] = []

    def next_offset(self) -> int:
        """Return the offset to read from."""
        if self.is_complete and self.state is not None:
            return self.state.covers_offset + 1
        return self._buffer_start + len(self._buffer)

    def take_page(self, page: Page) -> Advance[S]:
        """Process the log's answer to a read from `next_offset` or an earlier offset.

        Parameters
        ----------
        page : Page
            May overlap records that were read before, or start after a gap.
        """
        self._note_retention(page)
        self.has_lost_records = page.next_offset < self.next_offset()
        steps: list[Step[S]] = []
        from_snapshot = False
        for record in page.records:
            if record.offset != self.next_offset():
                continue
            if self.is_complete:
                steps.append(self._fold(record.offset, record.payload))
                continue
            self._buffer.append(record.payload)
            if self._restore_from(self._stream.snapshot_in(record.payload)):
                from_snapshot = True
        return Advance(tuple(steps), from_snapshot)

    def take_state(self, state: S) -> bool:
        """Adopt a peer's complete state if it covers more records.

        Parameters
        ----------
        state : state
            The peer's fold of the same stream.

        Returns
        -------
        bool
            Whether the state was newer and has been adopted.
        """
        if self.state is not None and state.covers_offset <= self.state.covers_offset:
            return False
        self.state = state
        self.is_complete = True
        self._buffer.clear()
        return True

    def is_at_tail(self, page: Page) -> bool:
        """Return whether every record up to this page's end has been folded."""
        return self.is_complete and page.next_offset == self.next_offset()

    def _note_retention(self, page: Page) -> None:
        if self.state is None and not self._buffer and page.first_offset == 0:
            self.state = self._stream.empty
            self.is_complete = True
        if page.first_offset <= self.next_offset():
            return
        self.is_complete = False
        self._buffer_start = page.first_offset
        self._buffer.clear()

    def _fold(self, offset: int, payload: str) -> Step[S]:
        assert self.state is not None
        step = self._stream.fold(self.state, offset, payload)
        self.state = step.state
        return step

    def _restore_from(self, snapshot: S | None) -> bool:
        if snapshot is None:
            return False
        end = self._buffer_start + len(self._buffer)
        if not self._buffer_start - 1 <= snapshot.covers_offset < end - 1:
            return False
        known = -1 if self.state is None else self.state.covers_offset
        if snapshot.covers_offset < known:
            return False
        self.state = snapshot
        first = snapshot.covers_offset + 1
        for offset in range(first, end):
            self._fold(offset, self._buffer[offset - self._buffer_start])
        self.is_complete = True
        self._buffer.clear()
        return True
