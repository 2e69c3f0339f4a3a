"""The service ``shards``: follows the shards' streams, claims, renews, releases.

One task follows each stream. Only the holder and the first few candidates read it.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from prometheus_client import Counter, Gauge

from _pistachiopond.control.exchange import Exchange
from _pistachiopond.control.ports import Holding, LogAccess, Membership, Ownership
from _pistachiopond.decisions.limits import FLOOR_LEASE_S
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.decisions.ownership import (
    CANDIDATES,
    SERVER_SHARDS,
    Claimer,
    Held,
    ShardClaimant,
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
READ_WAIT_S: Final = 4.0
READ_LIMIT: Final = 500
RETRY_S: Final = 0.25
RANK_PERIOD_S: Final = 2.0
RELEASE_TIMEOUT_S: Final = 3.0

FLOORS_PER_DATA_CENTRE: Final = 1

CLAIMS: Final = Counter("pond_shard_claims", "Claims appended", ["shard"])
RENEWALS: Final = Counter("pond_shard_renewals", "Renewals appended", ["shard"])
HELD: Final = Gauge("pond_shards_held", "Shards that this daemon holds")


class ShardPlace(NamedTuple):
    """A shard and who may hold it.

    Attributes
    ----------
    terms : ShardTerms
        Its name and lease.
    data_centre : str or None
        Only daemons of this data centre; None for any.
    """

    terms: ShardTerms
    data_centre: str | None


def shard_places(settings: ControlSettings) -> tuple[ShardPlace, ...]:
    """Return every shard that a daemon with these settings may hold."""
    places = [
        ShardPlace(ShardTerms(f"servers-{index}", settings.lease_s), None)
        for index in range(SERVER_SHARDS)
    ]
    places += [
        ShardPlace(ShardTerms(f"customers-{index}", settings.lease_s), None)
        for index in range(settings.shard_count)
    ]
    centre = settings.data_centre
    places += [
        ShardPlace(ShardTerms(f"floor-{centre}-{index}", FLOOR_LEASE_S), centre)
        for index in range(FLOORS_PER_DATA_CENTRE)
    ]
    return tuple(places)


@final
class Shard:
    """One shard, with the task that follows its stream."""

    def __init__(
        self, place: ShardPlace, me: Identity, log: LogAccess, timer: Timer
    ) -> None:
        self.place = place
        self.name = place.terms.shard
        self.stream = stream_of(self.name)
        self.claimant = ShardClaimant(place.terms, Claimer(me.incarnation, me.address))
        self.changed = anyio.Event()
        self.is_appending = False
        self._me = me
        self._log = log
        self._timer = timer
        self._last_epoch = -1
        self._rank = CANDIDATES
        self._rank_s = float("-inf")

    def held(self) -> Held | None:
        """Return this daemon's authority at this moment."""
        return self.claimant.held(self._timer.now_s())

    def state(self) -> ShardState | None:
        """Return what the stream says."""
        return self.claimant.state

    def rank(self, membership: Membership) -> int:
        """Return this daemon's place among the candidates, as of a moment ago.

        A wrong place only makes two claim at once, and the log decides then.
        """
        now_s = self._timer.now_s()
        if now_s - self._rank_s >= RANK_PERIOD_S:
            self._rank = self._work_out_rank(membership)
            self._rank_s = now_s
        return self._rank

    def _work_out_rank(self, membership: Membership) -> int:
        addresses = [
            member.address
            for member in membership.members()
            if self.place.data_centre in (None, member.data_centre)
        ]
        return rank_of(self.name, self._me.address, addresses)

    async def read_once(self) -> None:
        """Read what is new, waiting a little for it."""
        asked_s = self._timer.now_s()
        answer = await self._log.read(
            self.stream, self.claimant.next_offset(), READ_LIMIT, READ_WAIT_S
        )
        if answer.is_err():
            await self._timer.sleep_until(self._timer.now_s() + RETRY_S)
            return
        if self.claimant.take_page(answer.unwrap(), asked_s, self._timer.now_s()):
            self._tell_change()

    def _tell_change(self) -> None:
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
        """Return the claim or renewal that is due; it must be appended at once."""
        if self.is_appending:
            return None
        return self.claimant.next_append(self._timer.now_s(), rank)

    async def append(self, record: ClaimRecord | RenewalRecord) -> None:
        """Append a claim or renewal; one at a time."""
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

    def __init__(self, shards: tuple[Shard, ...], exchange: Exchange) -> None:
        self._shards = {shard.name: shard for shard in shards}
        self._exchange = exchange
        self.before_release: list[Callable[[], Any]] = []

    def all(self) -> tuple[Shard, ...]:
        """Return the shards."""
        return tuple(self._shards.values())

    def get(self, name: str) -> Shard | None:
        """Return the shard of that name, if this daemon may hold it."""
        return self._shards.get(name)

    def holding(self, name: str) -> Holding | None:
        """Return this daemon's holding if it is valid at this moment."""
        shard = self._shards.get(name)
        held = None if shard is None else shard.held()
        return None if held is None else Holding(name, *held)

    def holder_address(self, name: str) -> str | None:
        """Return who holds the shard as far as the log or peers tell."""
        hint = self._exchange.owner(name)
        shard = self._shards.get(name)
        state = None if shard is None else shard.state()
        if state is not None and (hint is None or state.epoch >= hint.epoch):
            return shard.claimant.holder_address() if shard is not None else None
        return None if hint is None or not hint.address else hint.address

    def status(self) -> tuple[ShardStatus, ...]:
        """Return what operators see."""
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

    def tell_owners(self) -> None:
        """Put the holders that the streams show into the exchange."""
        for shard in self.all():
            state = shard.state()
            if state is not None and state.epoch >= 0:
                address = "" if state.is_released else state.address
                self._exchange.take_owner(OwnerHint(shard.name, state.epoch, address))
        HELD.set(sum(1 for shard in self.all() if shard.held() is not None))


def make_shards_service(
    me: Identity, settings: ControlSettings, timer: Timer
) -> Service:
    """Return the service ``shards``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        log = kernel.find("log", LogAccess)
        exchange = kernel.find("exchange", Exchange)
        membership = kernel.find("membership", Membership)
        places = shard_places(settings)
        shards = Shards(
            tuple(Shard(place, me, log, timer) for place in places), exchange
        )
        async with anyio.create_task_group() as group:
            for shard in shards.all():
                group.start_soon(_follow, shard, membership, timer)
            group.start_soon(_keep, shards, membership, exchange, timer, group)
            task_status.started(shards)
            await kernel.stop_event("shards").wait()
            group.cancel_scope.cancel()
        await _release_all(shards, log, timer)

    return Service("shards", run)


async def _follow(shard: Shard, membership: Membership, timer: Timer) -> None:
    while True:
        if shard.held() is None and shard.rank(membership) >= CANDIDATES:
            await timer.sleep_until(timer.now_s() + RANK_PERIOD_S)
            continue
        await shard.read_once()


async def _keep(
    shards: Shards,
    membership: Membership,
    exchange: Exchange,
    timer: Timer,
    group: TaskGroup,
) -> None:
    async def on_tick(now_s: float) -> None:
        exchange.note_progress("shards", now_s)
        shards.tell_owners()
        for shard in shards.all():
            record = shard.next_append(shard.rank(membership))
            if record is not None:
                group.start_soon(shard.append, record)

    await every(timer, TICK_S, on_tick)


async def _release_all(shards: Shards, log: LogAccess, timer: Timer) -> None:
    async with anyio.create_task_group() as group:
        for shard in shards.all():
            release = shard.claimant.give_up(timer.now_s())
            if release is not None:
                group.start_soon(_release, log, shard.stream, to_json(release))


async def _release(log: LogAccess, stream: str, payload: str) -> None:
    with anyio.move_on_after(RELEASE_TIMEOUT_S):
        await log.append(stream, payload)


def as_ownership(shards: Shards) -> Ownership:
    """Return the port that other services use."""
    return Ownership(shards.holding, shards.holder_address)
