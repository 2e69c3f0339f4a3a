"""Bounds what callers make a process hold: memory and connections.

Load that this answers: callers that operators do not control send many large bodies at
once, whole, in pieces or in chunks, and most stop just short of their end and stay
open; others open many connections and send nothing. Each request is within the limits,
but their sum ends the process. So room for a body is reserved before the body is read.
A connection whose body has no room is not read for a while; meanwhile senders that have
stopped give way. Requests that may be running are never cut.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final, Literal, NamedTuple, final

MIB: Final = 1024 * 1024

# What a process needs for itself: 41 MiB after the start of a small deployment, and
# room for the state of a large one.
OWN_BYTES: Final = 64 * MIB
# Of the machine's memory, left for what the allocator keeps and for estimates that are
# too low. Resident memory beyond the rest lowers the budget.
SPARE_SHARE: Final = 1 / 8
# The budget where the memory of the machine is unknown.
UNKNOWN_MEMORY_BUDGET_BYTES: Final = 256 * MIB
# The budget is not below this, so that a process that itself grows still serves.
MIN_BUDGET_BYTES: Final = 16 * MIB
# A body is held twice while its request is sent to a server that reads slowly.
BODY_COPIES: Final = 2
# A silent connection takes 5.5 KiB.
CONNECTION_BYTES: Final = 8 * 1024
# A request at a server took 14 to 18 KiB, with its connection to the server.
REQUEST_BYTES: Final = 24 * 1024
# While a caller does not read, as much of its response waits behind what is written:
# the bound of what a connection to a server buffers.
UNRELAYED_BYTES: Final = 256 * 1024
# Headers are kept as objects, which take up to as much again as their bytes.
HEADER_COPIES: Final = 2
# Requests up to this size are ordinary, and large bodies leave a share of the budget to
# them.
SMALL_BODY_BYTES: Final = 64 * 1024
SMALL_BODY_SHARE: Final = 1 / 8
# A body of unknown size first reserves this much, and then as much as it has again.
MIN_RESERVED_BYTES: Final = 8 * 1024
# A sender that takes longer than this for so many bytes has stopped, or sends more
# slowly than any link of a VM (5 Mbit/s is 150 times as fast). A lost packet is sent
# again within the time.
STOPPED_S: Final = 1.0
PROGRESS_BYTES: Final = 4 * 1024
# How long a body waits for room. Callers have deadlines of about a second and more.
MAX_WAIT_S: Final = 0.5
# Retry-After of a body that found no room: by then, senders that stopped gave way.
RETRY_AFTER_S: Final = 1.0
# Descriptors that a process needs for files, out of those that it may have.
FILE_DESCRIPTORS: Final = 200
# Callers' share of the others. Each request in progress takes another connection to a
# server.
CALLER_SHARE: Final = 0.5
# A connection that has sent or read nothing for this long may give way: a request may
# be on its way on one that was opened, or a response to one that was answered.
MIN_SILENT_S: Final = 0.25

Phase = Literal["idle", "receiving", "waiting", "running", "unread"]


class Holding(NamedTuple):
    """What a process holds for one connection.

    Attributes
    ----------
    source : str
        The customer or the address that it is of; others may be of the same.
    phase : str
        ``idle`` without a request; ``receiving`` while a request comes in; ``waiting``
        while its body waits for room; ``running`` from the end of a request to the end
        of its response; ``unread`` while the caller has not read a complete response.
    held_bytes : int
        What is held and reserved for it.
    wanted_bytes : int
        What it waits for; 0 if it does not.
    since_s : float
        The last progress; of one that waits, the start of the wait.
    """

    source: str
    phase: Phase
    held_bytes: int
    wanted_bytes: int
    since_s: float


class Room(NamedTuple):
    """What is left of a budget.

    Attributes
    ----------
    large_bytes : float
        For large bodies, which leave a share to small ones.
    all_bytes : float
        In all; negative if the budget is exceeded.
    """

    large_bytes: float
    all_bytes: float


class Relief(NamedTuple):
    """Which connections give way, by their positions in the list of holdings.

    Attributes
    ----------
    closed : list of int
        Closed without an answer, since their callers make no progress.
    refused : list of int
        Refused with 503; their requests have not run.
    """

    closed: list[int]
    refused: list[int]


def budget_bytes(memory_bytes: int | None) -> int:
    """Return the budget for what callers make a process hold.

    Parameters
    ----------
    memory_bytes : int or None
        The memory of the machine; None if it is unknown.
    """
    if memory_bytes is None:
        return UNKNOWN_MEMORY_BUDGET_BYTES
    return max(MIN_BUDGET_BYTES, usable_bytes(memory_bytes) - OWN_BYTES)


def usable_bytes(memory_bytes: int) -> int:
    """Return the memory of a machine without the spare share."""
    return int(memory_bytes * (1 - SPARE_SHARE))


def max_caller_connections(max_descriptors: int | None) -> int | None:
    """Return how many connections callers may have; None for no bound."""
    if max_descriptors is None:
        return None
    return max(1, int((max_descriptors - FILE_DESCRIPTORS) * CALLER_SHARE))


@final
class MemoryAccount:
    """Counts the bytes that a process holds for its connections.

    Attributes
    ----------
    reserved_bytes : int
        For bodies, whether received or expected.
    other_bytes : int
        For connections, heads, unparsed bytes, requests in progress and unread
        responses.
    """

    def __init__(self, budget: float, memory_bytes: int | None = None) -> None:
        self._full_budget = budget
        self._budget = budget
        self._memory_bytes = memory_bytes
        self.reserved_bytes = 0
        self.other_bytes = 0

    def count(self, change_bytes: int) -> None:
        """Change what is held beside bodies."""
        self.other_bytes += change_bytes

    def try_reserve(self, size: int, own_bytes: int) -> bool:
        """Reserve room for the bytes of a body; return whether there is any.

        Parameters
        ----------
        size : int
            The number of bytes that the body needs further.
        own_bytes : int
            What its connection has reserved. If no other has reserved anything, there
            is room for any body, so that one request alone is always served.
        """
        reserved_bytes = self.reserved_bytes + size * BODY_COPIES
        is_short = reserved_bytes + self.other_bytes > (
            self._budget if size <= SMALL_BODY_BYTES else self._large_budget()
        )
        if is_short and self.reserved_bytes > own_bytes:
            return False
        self.reserved_bytes = reserved_bytes
        return True

    def is_exceeded(self) -> bool:
        """Return whether more is held than the budget allows."""
        return self.reserved_bytes + self.other_bytes > self._budget

    def force_reserve(self, size: int) -> None:
        """Count the bytes of a body that has come already."""
        self.reserved_bytes += size * BODY_COPIES

    def release(self, reserved_bytes: int) -> None:
        """Give back what was reserved."""
        self.reserved_bytes -= reserved_bytes

    def room(self) -> Room:
        """Return what is left."""
        held_bytes = self.reserved_bytes + self.other_bytes
        return Room(self._large_budget() - held_bytes, self._budget - held_bytes)

    def _large_budget(self) -> float:
        return self._budget * (1 - SMALL_BODY_SHARE)

    def record_resident(self, resident_bytes: int) -> None:
        """Lower the budget while the process takes more memory than estimated."""
        if self._memory_bytes is None:
            return
        excess = resident_bytes - usable_bytes(self._memory_bytes)
        self._budget = self._full_budget
        if excess > 0:
            held = self.reserved_bytes + self.other_bytes
            self._budget = min(self._full_budget, max(MIN_BUDGET_BYTES, held - excess))


def choose_relief(holdings: Sequence[Holding], room: Room, now_s: float) -> Relief:
    """Return which connections give way to those that wait.

    Senders that have stopped are closed first. What waits too long, or is beyond the
    budget, is refused then, the newest first. Responses that callers do not read and
    idle connections are closed if the budget is exceeded all the same.

    Parameters
    ----------
    holdings : sequence of Holding
        All connections.
    room : Room
        What is left of the budget.
    now_s : float
        The time in seconds.
    """
    waiting = [x for x, held in enumerate(holdings) if held.phase == "waiting"]
    wanted_bytes = sum(holdings[x].wanted_bytes for x in waiting)
    short_bytes = max(-room.all_bytes, wanted_bytes - room.large_bytes)
    if short_bytes <= 0:
        return Relief([], [])
    stopped = [x for x, held in enumerate(holdings) if _has_stopped(held, now_s)]
    ordered = order_by_source(holdings, stopped)
    closed = _first_holding(holdings, ordered, short_bytes)
    freed_bytes = sum(holdings[x].held_bytes for x in closed)
    room = Room(room.large_bytes + freed_bytes, room.all_bytes + freed_bytes)
    refused = _choose_refused(holdings, waiting, room, now_s)
    over_bytes = -room.all_bytes - sum(holdings[x].held_bytes for x in refused)
    for phase in ("unread", "idle"):
        others = [
            x
            for x, held in enumerate(holdings)
            if held.phase == phase and now_s - held.since_s > MIN_SILENT_S
        ]
        ordered = order_by_source(holdings, others)
        chosen = _first_holding(holdings, ordered, over_bytes)
        over_bytes -= sum(holdings[x].held_bytes for x in chosen)
        closed += chosen
    return Relief(closed, refused)


def _has_stopped(held: Holding, now_s: float) -> bool:
    return held.phase == "receiving" and now_s - held.since_s > STOPPED_S


def _first_holding(
    holdings: Sequence[Holding], ordered: Iterable[int], size: float
) -> list[int]:
    """Return as many of the first ones as are needed to hold a size together."""
    chosen = []
    for x in ordered:
        if size <= 0:
            break
        chosen.append(x)
        size -= holdings[x].held_bytes
    return chosen


def _choose_refused(
    holdings: Sequence[Holding], waiting: Sequence[int], room: Room, now_s: float
) -> list[int]:
    """Return which of those that wait are refused, the newest first."""
    refused = []
    short_bytes = sum(holdings[x].wanted_bytes for x in waiting) - room.large_bytes
    over_bytes = -room.all_bytes
    for x in sorted(waiting, key=lambda x: -holdings[x].since_s):
        held = holdings[x]
        is_late = short_bytes > 0 and now_s - held.since_s > MAX_WAIT_S
        if over_bytes > 0 or is_late:
            refused.append(x)
            short_bytes -= held.wanted_bytes + held.held_bytes
            over_bytes -= held.held_bytes
    return refused


def choose_silent(holdings: Sequence[Holding], count: int, now_s: float) -> list[int]:
    """Return which connections that send nothing are closed for new ones.

    Parameters
    ----------
    holdings : sequence of Holding
        All connections.
    count : int
        How many are to be closed at most.
    now_s : float
        The time in seconds.
    """
    idle = [
        x
        for x, held in enumerate(holdings)
        if held.phase == "idle" and now_s - held.since_s > MIN_SILENT_S
    ]
    stopped = [x for x, held in enumerate(holdings) if _has_stopped(held, now_s)]
    ordered = [*order_by_source(holdings, idle), *order_by_source(holdings, stopped)]
    return ordered[:count]


def order_by_source(holdings: Sequence[Holding], chosen: Iterable[int]) -> list[int]:
    """Return the chosen ones, those of the source with the most of them first.

    Of a source, and of sources that have as many, the one without progress for longest
    comes first.
    """
    positions = sorted(chosen, key=lambda x: holdings[x].since_s)
    counts = Counter(holdings[x].source for x in positions)
    # A source that has given way several times counts as many fewer.
    ranked = []
    for x in positions:
        source = holdings[x].source
        ranked.append((-counts[source], holdings[x].since_s, x))
        counts[source] -= 1
    return [x for _, _, x in sorted(ranked)]
