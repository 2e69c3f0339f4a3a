"""Decides when a snapshot of the configuration is appended to its stream.

Any daemon may write a snapshot at any time and any number of times: readers use a
snapshot according to the offsets that it covers. The delay by rank only reduces
duplicate snapshots.
"""

from typing import Final, NamedTuple

MAX_AGE_S: Final = 900.0
MAX_RECORDS_BEHIND: Final = 50
WRITER_STAGGER_S: Final = 3.0


class SnapshotInput(NamedTuple):
    """The inputs of the decision.

    Attributes
    ----------
    covers_offset : int
        The last offset in this daemon's state, which is at the stream's tail.
    first_offset, next_offset : int
        The bounds of the stream's retained part.
    last_snapshot_offset : int
        The newest retained snapshot that a new reader could start from; -1 for none.
    last_snapshot_age_s : float
        The age of that snapshot; infinite for none.
    oldest_record_age_s : float
        The age of the oldest retained record.
    rank : int
        This daemon's rank among the members as a snapshot writer; 0 writes first.
    """

    covers_offset: int
    first_offset: int
    next_offset: int
    last_snapshot_offset: int
    last_snapshot_age_s: float
    oldest_record_age_s: float
    rank: int


def snapshot_due_in_s(facts: SnapshotInput) -> float | None:
    """Return after how many seconds to append a snapshot; None if none is needed.

    Parameters
    ----------
    facts : SnapshotInput
        The present facts.
    """
    if facts.covers_offset < 0:
        return None
    if not _is_needed(facts):
        return None
    return facts.rank * WRITER_STAGGER_S


def _is_needed(facts: SnapshotInput) -> bool:
    if facts.last_snapshot_offset < 0:
        return facts.first_offset > 0 or facts.covers_offset >= MAX_RECORDS_BEHIND
    behind = facts.covers_offset - facts.last_snapshot_offset
    if behind >= MAX_RECORDS_BEHIND or facts.last_snapshot_age_s >= MAX_AGE_S:
        return True
    return facts.first_offset > 0 and _is_in_older_half(facts, behind)


def _is_in_older_half(facts: SnapshotInput, behind: int) -> bool:
    retained = facts.next_offset - facts.first_offset
    # Age counts too: a log that drops records by age drops them without new appends.
    is_old = facts.last_snapshot_age_s * 2 > facts.oldest_record_age_s
    return behind * 2 >= retained or is_old
