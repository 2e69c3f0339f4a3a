"""Decides when a snapshot of the configuration is to be appended.

Any daemon may write one, at any time and as often as it likes: readers judge a
snapshot by what it covers. The delay by rank only keeps the number of writers low.
"""

from typing import Final, NamedTuple

MAX_AGE_S: Final = 900.0
MAX_RECORDS_BEHIND: Final = 50
WRITER_STAGGER_S: Final = 3.0


class SnapshotInput(NamedTuple):
    """What the decision depends on.

    Attributes
    ----------
    covers_offset : int
        What this daemon's state covers; it is at the stream's tail.
    first_offset, next_offset : int
        The stream's retained part.
    last_snapshot_offset : int
        The newest snapshot in it that a new reader could start from; -1 for none.
    last_snapshot_age_s : float
        How old that one is; infinite for none.
    oldest_record_age_s : float
        How old the oldest retained record is.
    rank : int
        This daemon's place among the members for writing it; 0 goes first.
    """

    covers_offset: int
    first_offset: int
    next_offset: int
    last_snapshot_offset: int
    last_snapshot_age_s: float
    oldest_record_age_s: float
    rank: int


def snapshot_due_in_s(facts: SnapshotInput) -> float | None:
    """Return in how many seconds this daemon should append one; None for not now.

    Parameters
    ----------
    facts : SnapshotInput
        As of now.
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
    # Age decides too: a log that drops records by time drops quiet ones as well.
    is_old = facts.last_snapshot_age_s * 2 > facts.oldest_record_age_s
    return behind * 2 >= retained or is_old
