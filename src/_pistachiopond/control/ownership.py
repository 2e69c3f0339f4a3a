"""The service ``shards``: claims, renews and releases leases on shards.

One task reads the log stream of each shard. Only the holder and the first few
candidates read it.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from prometheus_client import Counter, Gauge

from _pistachiopond.control.gossip import GossipState
from _pistachiopond.control.ports import Holding, LogAccess, Membership, Ownership
from _pistachiopond.decisions.limits import FLOOR_LEASE_S
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.decisions.ownership import (
    MAX_CANDIDATES,
    SERVER_SHARDS,
    ClaimantIdentity,
    ShardClaimant,
    ShardLease,
    ShardTerms,
    stream_of,
)
from _pistachiopond.decisions.rendezvous import rank_of
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.heartbeat import OwnerHint
from _pistachiopond.schema.records import ClaimRecord, RenewalRecord, ShardState
from _pistachiopond.schema.settings import ControlSettings
from _pistachiopond.schema.status import ShardStatus

TICK_S: Final = 0.25
LONG_POLL_S: Final = 4.0
PAGE_RECORDS: Final = 500
RETRY_S: Final = 0.25
RANK_PERIOD_S: Final = 2.0
RELEASE_TIMEOUT_S: Final = 3.0

FLOOR_SHARDS_PER_DATA_CENTRE: Final = 1

CLAIMS: Final = Counter("pond_shard_claims", "Claims appended", ["shard"])
RENEWALS: Final = Counter("pond_shard_renewals", "Renewals appended", ["shard"])
HELD: Final = Gauge("pond_shards_held", "Shards that this daemon holds")


class ShardSpec(NamedTuple):
    """A shard and the daemons that may hold it.

    Attributes
    ----------
    terms : ShardTerms
        Its name and lease.
    data_centre : str or None
        Only daemons of this data centre; None for any.
    """

    terms: ShardTerms
    data_centre: str | None


def shard_specs(settings: ControlSettings) -> tuple[ShardSpec, ...]:
    """Return the shards that a daemon with these settings may hold."""
    specs = [
        ShardSpec(ShardTerms(f"servers-{index}", settings.lease_s), None)
        for index in range(SERVER_SHARDS)
    ]
    specs += [
        ShardSpec(ShardTerms(f"customers-{index}", settings.lease_s), None)
        for index in range(settings.shard_count)
    ]
    centre = settings.data_centre
    specs += [
        ShardSpec(ShardTerms(f"floor-{centre}-{index}", FLOOR_LEASE_S), centre)
        for index in range(FLOOR_SHARDS_PER_DATA_CENTRE)
    ]
    return tuple(specs)


@final
class Shard:
    """One shard: the records read from its stream and this daemon's lease on it."""

    def __init__(
        self, spec: ShardSpec, me: Identity, log: LogAccess, timer: Timer
    ) -> None:
        self.spec = spec
        self.name = spec.terms.shard
        self.stream = stream_of(self.name)
        self.claimant = ShardClaimant(
            spec.terms, ClaimantIdentity(me.incarnation, me.address)
        )
        self.changed = anyio.Event()
        self.is_appending = False
        self._me = me
        self._log = log
        self._timer = timer
        self._last_epoch = -1
        self._rank = MAX_CANDIDATES
        self._ranked_at_s = float("-inf")

    def held(self) -> ShardLease | None:
        """Return this daemon's lease if it is valid now."""
        return self.claimant.held(self._timer.now_s())

    def state(self) -> ShardState | None:
        """Return the state folded from the stream; None before the first read."""
        return self.claimant.state

    def rank(self, membership: Membership) -> int:
        """Return this daemon's rank among the candidates; cached for `RANK_PERIOD_S`.

        An outdated rank can only make two daemons claim at once; the order of their
        records in the log then decides.
        """
        now_s = self._timer.now_s()
        if now_s - self._ranked_at_s >= RANK_PERIOD_S:
            self._rank = self._compute_rank(membership)
            self._ranked_at_s = now_s
        return self._rank

    def _compute_rank(self, membership: Membership) -> int:
        addresses = [
            member.address
            for member in membership.members()
            if self.spec.data_centre in (None, member.data_centre)
        ]
        return rank_of(self.name, self._me.address, addresses)

    async def read_once(self) -> None:
        """Read new records with a long poll; wait before a retry if it fails."""
        sent_s = self._timer.now_s()
        result = await self._log.read(
            self.stream, self.claimant.next_offset(), PAGE_RECORDS, LONG_POLL_S
        )
        if result.is_err():
            await self._timer.sleep_until(self._timer.now_s() + RETRY_S)
            return
        if self.claimant.take_page(result.unwrap(), sent_s, self._timer.now_s()):
            self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
        state = self.state()
        if state is None or state.epoch == self._last_epoch:
            return
        self._last_epoch = state.epoch
        log_change(
            "shard claimed", shard=self.name, epoch=state.epoch, holder=state.address
        )

    def next_append(self, rank: int) -> ClaimRecord | RenewalRecord | None:
        """Return the claim or renewal that is due and must be appended at once."""
        if self.is_appending:
            return None
        return self.claimant.next_append(self._timer.now_s(), rank)

    async def append(self, record: ClaimRecord | RenewalRecord) -> None:
        """Append a claim or renewal; `next_append` returns None until this ends."""
        counter = CLAIMS if record.kind == "claim" else RENEWALS
        counter.labels(self.name).inc()
        self.is_appending = True
        try:
            await self._log.append(self.stream, to_json(record))
        finally:
            self.is_appending = False


@final
class Shards:
    """All shards that this daemon may hold."""

    def __init__(self, shards: tuple[Shard, ...], gossip: GossipState) -> None:
        self._shards = {shard.name: shard for shard in shards}
        self._gossip = gossip
        self.before_release: list[Callable[[], Any]] = []

    def all(self) -> tuple[Shard, ...]:
        """Return the shards."""
        return tuple(self._shards.values())

    def get(self, name: str) -> Shard | None:
        """Return the shard with this name; None if this daemon may not hold it."""
        return self._shards.get(name)

    def holding(self, name: str) -> Holding | None:
        """Return this daemon's lease on the shard if it is valid now."""
        shard = self._shards.get(name)
        held = None if shard is None else shard.held()
        return None if held is None else Holding(name, *held)

    def holder_address(self, name: str) -> str | None:
        """Return the holder's address as last known from the log or from peers."""
        hint = self._gossip.owner(name)
        shard = self._shards.get(name)
        state = None if shard is None else shard.state()
        if state is not None and (hint is None or state.epoch >= hint.epoch):
            return shard.claimant.holder_address() if shard is not None else None
        return None if hint is None or not hint.address else hint.address

    def status(self) -> tuple[ShardStatus, ...]:
        """Return one status row for each shard that has been read."""
        rows = []
        for shard in self.all():
            state = shard.state()
            if state is None:
                continue
            rows.append(
                ShardStatus(
                    shard.name,
                    state.epoch,
                    shard.claimant.holder_address() or "",
                    shard.held() is not None,
                    len(state.intents),
                )
            )
        return tuple(rows)

    def publish_owners(self) -> None:
        """Add the holders read from the log to the state that heartbeats carry."""
        for shard in self.all():
            state = shard.state()
            if state is not None and state.epoch >= 0:
                address = "" if state.is_released else state.address
                self._gossip.update_owner(OwnerHint(shard.name, state.epoch, address))
        HELD.set(sum(1 for shard in self.all() if shard.held() is not None))


def make_shards_service(
    me: Identity, settings: ControlSettings, timer: Timer
) -> Service:
    """Return the service ``shards``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        log = kernel.find("log", LogAccess)
        gossip = kernel.find("exchange", GossipState)
        membership = kernel.find("membership", Membership)
        specs = shard_specs(settings)
        shards = Shards(tuple(Shard(spec, me, log, timer) for spec in specs), gossip)
        async with anyio.create_task_group() as group:
            for shard in shards.all():
                group.start_soon(_read_stream, shard, membership, timer)
            group.start_soon(_maintain_leases, shards, membership, gossip, timer, group)
            task_status.started(shards)
            await kernel.stop_event("shards").wait()
            group.cancel_scope.cancel()
        await _release_all(shards, log, timer)

    return Service("shards", run)


async def _read_stream(shard: Shard, membership: Membership, timer: Timer) -> None:
    while True:
        if shard.held() is None and shard.rank(membership) >= MAX_CANDIDATES:
            await timer.sleep_until(timer.now_s() + RANK_PERIOD_S)
            continue
        await shard.read_once()


async def _maintain_leases(
    shards: Shards,
    membership: Membership,
    gossip: GossipState,
    timer: Timer,
    group: TaskGroup,
) -> None:
    async def on_tick(now_s: float) -> None:
        gossip.record_progress("shards", now_s)
        shards.publish_owners()
        for shard in shards.all():
            record = shard.next_append(shard.rank(membership))
            if record is not None:
                group.start_soon(shard.append, record)

    await every(timer, TICK_S, on_tick)


async def _release_all(shards: Shards, log: LogAccess, timer: Timer) -> None:
    async with anyio.create_task_group() as group:
        for shard in shards.all():
            release = shard.claimant.release(timer.now_s())
            if release is not None:
                group.start_soon(_release, log, shard.stream, to_json(release))


async def _release(log: LogAccess, stream: str, payload: str) -> None:
    with anyio.move_on_after(RELEASE_TIMEOUT_S):
        await log.append(stream, payload)


def as_ownership(shards: Shards) -> Ownership:
    """Return the API of the service ``ownership`` for other services."""
    return Ownership(shards.holding, shards.holder_address)
