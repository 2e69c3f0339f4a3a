"""The service ``limits``: grants tokens from the token pools that it owns."""

from collections.abc import Callable
from typing import Any, Final, final

from anyio.abc import TaskStatus
from prometheus_client import Counter

from _pistachiopond.control.ports import (
    Configuration,
    DrawHandler,
    Holding,
    Ownership,
)
from _pistachiopond.decisions.limits import (
    data_centres,
    floor_pool,
    pool_limits,
    pool_names,
)
from _pistachiopond.decisions.pools import TokenPool
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.limits import LimitsView, PoolSource
from _pistachiopond.schema.manifest import Manifest
from _pistachiopond.transport.draws import draw_from_message, reply_to_message
from _pistachiopond.transport.generated import pond_pb2

DRAWS: Final = Counter(
    "pond_control_draws", "Draws of tokens by how they ended.", ["outcome"]
)


@final
class _OwnedPool:
    """A token pool that this daemon owns, and the revision that configured it."""

    def __init__(self, holding: Holding) -> None:
        # The first epoch is 0, but 0 on the wire means that no epoch is known; so
        # epochs are sent increased by 1.
        self.pool = TokenPool(
            holding.epoch + 1, holding.acquired_s, holding.predecessor_acquired_s
        )
        self.epoch = holding.epoch
        self.revision = 0


def make_limits_service(timer: Timer, data_centre: str, shard_count: int) -> Service:
    """Return the service ``limits``; it uses ``ownership`` and ``configuration``.

    Parameters
    ----------
    timer : Timer
        The timer service.
    data_centre : str
        This daemon's data centre, whose floor pool comes first among floor pools.
    shard_count : int
        The number of shards that customers are split into.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        ownership = kernel.find("ownership", Ownership)
        configuration = kernel.find("configuration", Configuration)
        owned_pools: dict[str, _OwnedPool] = {}

        async def handle_draw(request: pond_pb2.DrawRequest) -> pond_pb2.DrawReply:
            # There is no await between the lease check and the reply. A pause of the
            # process in between only delays the grants, whose lifetime counts from
            # before the request was sent.
            now_s = timer.now_s()
            holding = ownership.holding(request.pool)
            revision = configuration.revision()
            if holding is None or revision is None:
                owned_pools.pop(request.pool, None)
                DRAWS.labels("not_owner").inc()
                address = ownership.holder_address(request.pool) or ""
                return pond_pb2.DrawReply(not_owner=True, owner_address=address)
            owned = owned_pools.get(request.pool)
            if owned is None or owned.epoch != holding.epoch:
                owned = owned_pools[request.pool] = _OwnedPool(holding)
            if owned.revision != revision.number:
                limits = pool_limits(revision.manifest, request.pool, shard_count)
                owned.pool.configure(limits, now_s)
                owned.revision = revision.number
            DRAWS.labels("answered").inc()
            reply = owned.pool.draw(draw_from_message(request), now_s)
            return reply_to_message(reply)

        def view() -> LimitsView:
            revision = configuration.revision()
            if revision is None:
                return LimitsView()
            return make_view(
                revision.manifest, data_centre, shard_count, ownership.holder_address
            )

        task_status.started(DrawHandler(handle_draw, view))
        await kernel.stop_event("limits").wait()

    return Service("limits", run)


def make_view(
    manifest: Manifest,
    data_centre: str,
    shard_count: int,
    holder_address: Callable[[str], str | None],
) -> LimitsView:
    """Return all pools with a known holder, in the order in which to try them.

    This data centre's floor pool comes first, because it is near and fewer daemons draw
    from it than from an owner pool. Owner pools follow, then the other floor pools, in
    a different order for each data centre.
    """
    centres = data_centres(manifest)
    start = centres.index(data_centre) if data_centre in centres else 0
    floors = [floor_pool(name) for name in centres[start:] + centres[:start]]
    owners = [name for name in pool_names(manifest, shard_count) if name not in floors]
    sources = []
    for pool in (*floors[:1], *owners, *floors[1:]):
        address = holder_address(pool)
        customers = tuple(pool_limits(manifest, pool, shard_count))
        if address and customers:
            sources.append(PoolSource(pool, address, customers, pool in floors))
    return LimitsView(tuple(sources))
