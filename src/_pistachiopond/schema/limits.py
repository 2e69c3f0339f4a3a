"""The token pools from which entry daemons draw rate-limit tokens."""

from typing import NamedTuple


class PoolSource(NamedTuple):
    """A control daemon that grants tokens of one pool.

    Attributes
    ----------
    pool : str
        The pool's name; each customer's rate is split over disjoint pools.
    address : str
        The control daemon that holds the pool, ``IP:port``.
    customers : tuple of str
        The customers whose tokens it grants.
    is_floor : bool
        True for a floor pool, which still grants tokens when no owner pool can be
        reached.
    """

    pool: str
    address: str
    customers: tuple[str, ...]
    is_floor: bool


class LimitsView(NamedTuple):
    """All pools that an entry daemon may draw from, in order of preference."""

    sources: tuple[PoolSource, ...] = ()
