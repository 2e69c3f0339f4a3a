"""Splits each customer's rate and burst among disjoint token pools.

The shares of the pools add up to the whole. So the total over all VMs stays within the
customer's limits without any coordination between pools.
"""

import hashlib
from collections.abc import Mapping
from typing import Final, NamedTuple

from _pistachiopond.schema.manifest import Customer, Manifest

OWNER_SHARE: Final = 0.2
GRANT_LIFETIME_S: Final = 10.0
CLOCK_RATE_ERROR: Final = 0.001
MAX_OUTSTANDING_SHARE: Final = 0.8
FLOOR_LEASE_S: Final = 7200.0


class PoolLimit(NamedTuple):
    """What one pool may grant to one customer.

    Attributes
    ----------
    rate_tokens_per_s, burst_tokens : float
        The pool's share of the customer's rate and burst.
    """

    rate_tokens_per_s: float
    burst_tokens: float


PoolLimits = Mapping[str, PoolLimit]


def holder_lifetime_s(lifetime_s: float) -> float:
    """Return the lifetime that a pool's holder must assume for a grant.

    The entry daemon uses the grant for `lifetime_s` by its own clock. That clock may
    run slow and the holder's fast, each by up to `CLOCK_RATE_ERROR`.
    """
    return lifetime_s * (1.0 + CLOCK_RATE_ERROR) / (1.0 - CLOCK_RATE_ERROR)


def largest_request_tokens(burst_tokens: float) -> float:
    """Return the largest reservation that all pools together can grant."""
    return burst_tokens * MAX_OUTSTANDING_SHARE


def customer_shard(customer: str, shard_count: int) -> int:
    """Return the index of the shard that a customer belongs to."""
    digest = hashlib.sha256(customer.encode()).digest()
    return int.from_bytes(digest[:8], "big") % shard_count


def owner_pool(index: int) -> str:
    """Return the name of the owner pool with that index, which is also its shard's."""
    return f"customers-{index}"


def floor_pool(data_centre: str) -> str:
    """Return the name of a data centre's floor pool, which is also its shard's.

    A floor pool keeps a share of every customer's limits available in its data centre,
    also while no owner pool can be reached.
    """
    return f"floor-{data_centre}-0"


def data_centres(manifest: Manifest) -> tuple[str, ...]:
    """Return the data centres that share the floor pools' part, sorted.

    They are taken from the manifest rather than from the current members, so that
    daemons with different views of the membership agree on every share.
    """
    return tuple(sorted({server.data_centre for server in manifest.backend_servers}))


def pool_names(manifest: Manifest, shard_count: int) -> tuple[str, ...]:
    """Return the names of all pools, owner pools first."""
    owners = tuple(owner_pool(index) for index in range(shard_count))
    return owners + tuple(floor_pool(name) for name in data_centres(manifest))


def pool_limits(
    manifest: Manifest, pool: str, shard_count: int, owner_share: float = OWNER_SHARE
) -> dict[str, PoolLimit]:
    """Return a pool's share of each customer's limits.

    Parameters
    ----------
    manifest : Manifest
        The manifest in force.
    pool : str
        A name from `pool_names`; any other pool has no share.
    shard_count : int
        The number of shards over which customers are distributed.
    owner_share : float
        The share of the owner pools; floor pools split the rest evenly.
    """
    floors = data_centres(manifest)
    share = owner_share if floors else 1.0
    if pool in {floor_pool(name) for name in floors}:
        part = (1.0 - share) / len(floors)
        return {item.name: _scaled_limit(item, part) for item in manifest.customers}
    return {
        item.name: _scaled_limit(item, share)
        for item in manifest.customers
        if owner_pool(customer_shard(item.name, shard_count)) == pool
    }


def _scaled_limit(customer: Customer, part: float) -> PoolLimit:
    # The rate is reduced so that a fast clock does not refill above the true rate.
    rate = customer.rate_tokens_per_s * part / (1.0 + CLOCK_RATE_ERROR)
    return PoolLimit(rate, customer.burst_tokens * part)
