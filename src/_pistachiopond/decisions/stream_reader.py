"""Follows one stream of the log through restarts, retention and gaps.

A state is a fold over all records up to the offset that it covers. A reader that
has one continues with the next record. A reader without one, or whose next record
is gone, starts from a snapshot in the retained part whose cover leaves no gap
before it, and folds the records after the cover again. So it does not matter who
wrote a snapshot, when, or how late it was appended: nothing can go back.
"""

from collections.abc import Callable, Sequence
from typing import Any, Generic, NamedTuple, Protocol, TypeVar, final


class Record(Protocol):
    """One record of a stream, as the log's client gives it."""

    @property
    def offset(self) -> int:
        """Return its place in the stream."""
        ...

    @property
    def payload(self) -> str:
        """Return its text."""
        ...


class Page(Protocol):
    """Part of a stream, as the log's client gives it."""

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


class Covering(Protocol):
    """A state that knows the last offset it has taken into account."""

    @property
    def covers_offset(self) -> int:
        """Return the last offset that has been taken into account."""
        ...


S = TypeVar("S", bound=Covering)


def check_follows(state: Covering, offset: int) -> None:
    """Raise when the record at `offset` is not the next one after the state.

    Raises
    ------
    ValueError
        When records before it have been left out.
    """
    if offset != state.covers_offset + 1:
        raise ValueError(
            f"record {offset} does not follow {state.covers_offset}; "
            "read the stream without gaps or start from a snapshot"
        )


class Step(NamedTuple, Generic[S]):
    """The state after one record, and what became of the record."""

    state: S
    outcome: Any


class StreamFold(NamedTuple, Generic[S]):
    """How one kind of stream is read.

    Attributes
    ----------
    empty : state
        The state before the first record.
    fold : callable
        ``fold(state, offset, payload)`` gives the next step.
    snapshot_in : callable
        ``snapshot_in(payload)`` gives the state that the record carries, or None.
    """

    empty: S
    fold: Callable[[S, int, str], Step[S]]
    snapshot_in: Callable[[str], S | None]


class Advance(NamedTuple, Generic[S]):
    """What a page brought.

    Attributes
    ----------
    steps : tuple of Step
        One for each record that was folded, in order.
    jumped : bool
        Whether the state was taken from a snapshot.
    """

    steps: tuple[Step[S], ...]
    jumped: bool


@final
class StreamReader(Generic[S]):
    """One reader's place in one stream.

    Attributes
    ----------
    state : state or None
        The newest that has been proved; None before that.
    is_complete : bool
        Whether the next record can be folded; False while a snapshot is sought.
    has_gone_back : bool
        The log's end lies before what has been read: the log has lost records.
    """

    def __init__(self, stream: StreamFold[S]) -> None:
        self._stream = stream
        self.state: S | None = None
        self.is_complete = False
        self.has_gone_back = False
        self._held_from = 0
        self._held: list[str] = []

    def next_offset(self) -> int:
        """Return the offset to read from."""
        if self.is_complete and self.state is not None:
            return self.state.covers_offset + 1
        return self._held_from + len(self._held)

    def take_page(self, page: Page) -> Advance[S]:
        """Take what the log answered to a read from `next_offset` or before.

        Parameters
        ----------
        page : Page
            May overlap what was read before, or start after it.
        """
        self._note_retention(page)
        self.has_gone_back = page.next_offset < self.next_offset()
        steps: list[Step[S]] = []
        jumped = False
        for record in page.records:
            if record.offset != self.next_offset():
                continue
            if self.is_complete:
                steps.append(self._fold(record.offset, record.payload))
                continue
            self._held.append(record.payload)
            if self._start_from(self._stream.snapshot_in(record.payload)):
                jumped = True
        return Advance(tuple(steps), jumped)

    def take_state(self, state: S) -> bool:
        """Take a state that a peer has proved; only a later one counts.

        Parameters
        ----------
        state : state
            The peer's fold of the same stream.

        Returns
        -------
        bool
            Whether it was newer and has been taken.
        """
        if self.state is not None and state.covers_offset <= self.state.covers_offset:
            return False
        self.state = state
        self.is_complete = True
        self._held.clear()
        return True

    def is_at_tail(self, page: Page) -> bool:
        """Return whether, with this page, every record has been folded."""
        return self.is_complete and page.next_offset == self.next_offset()

    def _note_retention(self, page: Page) -> None:
        if self.state is None and not self._held and page.first_offset == 0:
            self.state = self._stream.empty
            self.is_complete = True
        if page.first_offset <= self.next_offset():
            return
        self.is_complete = False
        self._held_from = page.first_offset
        self._held.clear()

    def _fold(self, offset: int, payload: str) -> Step[S]:
        assert self.state is not None
        step = self._stream.fold(self.state, offset, payload)
        self.state = step.state
        return step

    def _start_from(self, snapshot: S | None) -> bool:
        if snapshot is None:
            return False
        end = self._held_from + len(self._held)
        if not self._held_from - 1 <= snapshot.covers_offset < end - 1:
            return False
        known = -1 if self.state is None else self.state.covers_offset
        if snapshot.covers_offset < known:
            return False
        self.state = snapshot
        first = snapshot.covers_offset + 1
        for offset in range(first, end):
            self._fold(offset, self._held[offset - self._held_from])
        self.is_complete = True
        self._held.clear()
        return True
