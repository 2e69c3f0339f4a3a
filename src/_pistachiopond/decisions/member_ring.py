"""The ring by which each control daemon chooses the few that it watches."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from _pistachiopond.decisions.rendezvous import ranked, score

RING_PEERS: Final = 2
CENTRE_PEERS: Final = 4


class Ring(NamedTuple):
    """The daemons that are not dead, as they stand to this one.

    Attributes
    ----------
    order : tuple of str
        All of them, in the ring's order.
    following : tuple of str
        The first few after this one.
    centres : tuple of tuple of str
        By data centre.
    names : frozenset of str
        The data centres.
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
        The data centre of each of the others, by address; empty when unknown.
    """
    ring = sorted((score("ring", item), item) for item in centre_of)
    own = (score("ring", me), me)
    after = [item for key, item in ring if (key, item) > own]
    before = [item for key, item in ring if (key, item) <= own]
    centres: dict[str, list[str]] = {}
    for _, address in ring:
        centres.setdefault(centre_of[address], []).append(address)
    return Ring(
        tuple(item for _, item in ring),
        tuple((after + before)[:RING_PEERS]),
        tuple(
            tuple(ranked(me, centres[name])[:CENTRE_PEERS]) for name in sorted(centres)
        ),
        frozenset(centres) - {""},
    )
