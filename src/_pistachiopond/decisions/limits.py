"""How a customer's rate and burst are split over disjoint pools.

The pools' shares add up to the whole, so that no pool needs to know of another
for the sum over all VMs to keep within the customer's limits.
"""

import hashlib
from collections.abc import Mapping
from typing import Final, NamedTuple

from _pistachiopond.schema.manifest import Customer, Manifest

OWNER_SHARE: Final = 0.2
GRANT_LIFETIME_S: Final = 10.0
CLOCK_RATE_ERROR: Final = 0.001
OUTSTANDING_SHARE: Final = 0.8
FLOOR_LEASE_S: Final = 7200.0


class PoolLimit(NamedTuple):
    """What one pool may give to one customer.

    Attributes
    ----------
    rate_tokens_per_s, burst_tokens : float
        The pool's part of the customer's rate and burst.
    """

    rate_tokens_per_s: float
    burst_tokens: float


PoolLimits = Mapping[str, PoolLimit]


def lapse_delay_s(lifetime_s: float) -> float:
    """Return how long a giver counts a grant that its user counts as `lifetime_s`.

    The user's clock may run slow and the giver's fast, each by the bound.
    """
    return lifetime_s * (1.0 + CLOCK_RATE_ERROR) / (1.0 - CLOCK_RATE_ERROR)


def largest_request_tokens(burst_tokens: float) -> float:
    """Return the largest reservation that the pools together can ever grant."""
    return burst_tokens * OUTSTANDING_SHARE


def customer_shard(customer: str, shard_count: int) -> int:
    """Return the number of the shard that a customer belongs to."""
    digest = hashlib.sha256(customer.encode()).digest()
    return int.from_bytes(digest[:8], "big") % shard_count


def owner_pool(index: int) -> str:
    """Return the name of the owner pool, and shard, of that number."""
    return f"customers-{index}"


def floor_pool(data_centre: str) -> str:
    """Return the name of a data centre's floor pool, which is also its shard's."""
    return f"floor-{data_centre}-0"


def data_centres(manifest: Manifest) -> tuple[str, ...]:
    """Return the data centres among which the floor share is split, sorted.

    The manifest decides and not the members, so that daemons that see different
    members still agree on every share.
    """
    return tuple(sorted({server.data_centre for server in manifest.backend_servers}))


def pool_names(manifest: Manifest, shard_count: int) -> tuple[str, ...]:
    """Return all pools, owner pools first."""
    owners = tuple(owner_pool(index) for index in range(shard_count))
    return owners + tuple(floor_pool(name) for name in data_centres(manifest))


def pool_limits(
    manifest: Manifest, pool: str, shard_count: int, owner_share: float = OWNER_SHARE
) -> dict[str, PoolLimit]:
    """Return the part of each customer's limits that a pool holds.

    Parameters
    ----------
    manifest : Manifest
        The manifest in force.
    pool : str
        A name from `pool_names`; another one holds nothing.
    shard_count : int
        Into how many shards customers are split.
    owner_share : float
        The owner pools' part; floor pools share the rest evenly.
    """
    floors = data_centres(manifest)
    share = owner_share if floors else 1.0
    if pool in {floor_pool(name) for name in floors}:
        part = (1.0 - share) / len(floors)
        return {item.name: _part_of(item, part) for item in manifest.customers}
    return {
        item.name: _part_of(item, share)
        for item in manifest.customers
        if owner_pool(customer_shard(item.name, shard_count)) == pool
    }


def _part_of(customer: Customer, part: float) -> PoolLimit:
    # A fast clock must not refill faster than the true rate.
    rate = customer.rate_tokens_per_s * part / (1.0 + CLOCK_RATE_ERROR)
    return PoolLimit(rate, customer.burst_tokens * part)
