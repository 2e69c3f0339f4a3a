"""The ring by which each control daemon selects the peers it sends heartbeats to."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from _pistachiopond.decisions.rendezvous import ranked, score

RING_PEERS: Final = 2
CENTRE_PEERS: Final = 4


class Ring(NamedTuple):
    """The other daemons that are not dead, ordered relative to this one.

    Attributes
    ----------
    order : tuple of str
        The addresses of all of them, in ring order.
    following : tuple of str
        This daemon's next `RING_PEERS` successors on the ring.
    centres : tuple of tuple of str
        For each data centre, the peers chosen to receive heartbeats.
    names : frozenset of str
        The names of the data centres.
    """

    order: tuple[str, ...]
    following: tuple[str, ...]
    centres: tuple[tuple[str, ...], ...]
    names: frozenset[str]


def make_ring(me: str, centre_of: Mapping[str, str]) -> Ring:
    """Return the ring of the daemons that are not dead.

    Parameters
    ----------
    me : str
        This daemon's address.
    centre_of : mapping of str to str
        The data centre of each other daemon, by address; empty when unknown.
    """
    ring = sorted((score("ring", item), item) for item in centre_of)
    own_position = (score("ring", me), me)
    successors = [item for key, item in ring if (key, item) > own_position]
    predecessors = [item for key, item in ring if (key, item) <= own_position]
    centres: dict[str, list[str]] = {}
    for _, address in ring:
        centres.setdefault(centre_of[address], []).append(address)
    return Ring(
        tuple(item for _, item in ring),
        tuple((successors + predecessors)[:RING_PEERS]),
        tuple(
            tuple(ranked(me, centres[name])[:CENTRE_PEERS]) for name in sorted(centres)
        ),
        frozenset(centres) - {""},
    )
