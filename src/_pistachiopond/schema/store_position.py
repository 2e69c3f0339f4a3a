"""Positions in the logs of the platform's store."""

from typing import Final, NamedTuple

# The fencing token has the era above this many bits of the offset. Only claims of the
# lead are written to their log, so its offsets stay far below 2**32, and tokens stay
# below 2**53 (exact in every JSON parser) for the first two million eras.
FENCE_OFFSET_BITS: Final = 32


class StorePosition(NamedTuple):
    """A place in a log of the store.

    The store may come back from a copy that is some seconds old. The records written
    since that copy are lost and their offsets are given out again, so an offset alone
    does not identify a record. Positions compare by era first.

    Attributes
    ----------
    era : int
        How often the store has come back from an older copy.
    offset : int
        The number of the record within its log.
    """

    era: int
    offset: int


def fencing_token(position: StorePosition) -> int:
    """Return a number that orders positions in the same way as they compare.

    In era 0 it is the offset, as in builds that do not know eras.
    """
    return (position.era << FENCE_OFFSET_BITS) | position.offset
