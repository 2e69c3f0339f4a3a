"""The service ``config-follower``: follows the ``config`` stream of the log.

It folds each record, keeps the proof that there is no newer one, and writes a
snapshot when one is due. What peers relay goes through the same fold.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskStatus
from prometheus_client import Counter, Gauge

from _pistachiopond.clients.log import LogPage, LogRecord
from _pistachiopond.control.exchange import UNKNOWN_AGE_S, Exchange
from _pistachiopond.control.ports import Configuration, LogAccess
from _pistachiopond.decisions.config import (
    CONFIG_FOLD,
    Accepted,
    Passed,
    Refused,
    revision_of,
)
from _pistachiopond.decisions.config_snapshots import SnapshotInput, snapshot_due_in_s
from _pistachiopond.decisions.freshness import (
    Freshness,
    FreshnessInputs,
    PeerStatement,
    decide_freshness,
)
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.decisions.rendezvous import rank_of
from _pistachiopond.decisions.stream_reader import Step, StreamReader
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.heartbeat import LogStatement
from _pistachiopond.schema.records import CONFIG_STREAM, ConfigState, SnapshotRecord
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.status import PublicationStatus

READ_WAIT_S: Final = 1.5
READ_LIMIT: Final = 200
RETRY_S: Final = 0.25
SNAPSHOT_CHECK_PERIOD_S: Final = 0.5
KEPT_PUBLICATIONS: Final = 50
KEPT_RECORDS: Final = 500

REVISION: Final = Gauge("pond_config_revision", "The revision in force")
FRESH_AGE: Final = Gauge("pond_config_fresh_age_seconds", "Age of the newest proof")
CLOSED: Final = Gauge("pond_keys_closed", "1 while keyed routes refuse")
GONE_BACK: Final = Counter(
    "pond_config_log_gone_back", "Reads in which the log ended before what was read"
)
OUTCOMES: Final = Counter("pond_config_records", "Records folded", ["outcome"])


class RelayedPage(NamedTuple):
    """Records that a peer relayed.

    Attributes
    ----------
    first_offset, next_offset : int
        As the peer's own state stands; `next_offset` is 1 above what it covers.
    payloads : tuple of str
        Consecutive, from the offset that was asked for.
    state : ConfigState or None
        Instead, where the peer does not keep the records any more.
    """

    from_offset: int
    first_offset: int
    next_offset: int
    payloads: tuple[str, ...]
    state: ConfigState | None


class _Kept(NamedTuple):
    payload: str
    appended_s: float


@final
class ConfigFollower:
    """The configuration as this daemon knows it."""

    def __init__(self, me: Identity, timer: Timer, exchange: Exchange) -> None:
        self._me = me
        self._timer = timer
        self._exchange = exchange
        self._reader = StreamReader(CONFIG_FOLD)
        self._records: dict[int, _Kept] = {}
        self._tail_read_s: float | None = None
        self._last_page: LogPage | None = None
        self._page_s = 0.0
        self._snapshot_offset = -1
        self._snapshot_s = float("-inf")
        self._revision: Revision | None = None
        self._snapshot_wanted_s: float | None = None
        self.publications: list[PublicationStatus] = []
        self.changed = anyio.Event()
        self.members: Callable[[], tuple[str, ...]] = lambda: (me.address,)
        self.data_centres: Callable[[], frozenset[str]] = lambda: frozenset()

    # -- reading -----------------------------------------------------------------

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._reader.next_offset()

    def covers_offset(self) -> int:
        """Return the last offset that has been taken into account."""
        return -1 if self._reader.state is None else self._reader.state.covers_offset

    def take_page(self, page: LogPage, asked_s: float) -> None:
        """Take what the log answered to a read that was sent at `asked_s`."""
        self._last_page = page
        self._page_s = self._timer.now_s()
        self._keep(page)
        first = self.covers_offset() + 1
        advance = self._reader.take_page(page)
        for index, step in enumerate(advance.steps):
            self._note_step(step, first + index)
        if self._reader.is_at_tail(page) and not self._reader.has_gone_back:
            self._tail_read_s = asked_s
        if self._reader.has_gone_back:
            GONE_BACK.inc()
        self._update()

    def _keep(self, page: LogPage) -> None:
        now_s = self._timer.now_s()
        for record in page.records:
            kept = _Kept(record.payload, now_s - record.age_s)
            self._records[record.offset] = kept
            snapshot = CONFIG_FOLD.snapshot_in(record.payload)
            if snapshot is not None and record.offset > self._snapshot_offset:
                self._snapshot_offset = record.offset
                self._snapshot_s = now_s - record.age_s
        for offset in sorted(self._records)[:-KEPT_RECORDS]:
            del self._records[offset]

    def _note_step(self, step: Step[ConfigState], offset: int) -> None:
        outcome = step.outcome
        OUTCOMES.labels(type(outcome).__name__.lower()).inc()
        if isinstance(outcome, Accepted):
            log_change("revision in force", revision=outcome.number)
            self._remember(
                PublicationStatus(outcome.publication_id, offset, "accepted")
            )
        elif isinstance(outcome, Refused):
            log_change(
                "publication refused",
                publication_id=outcome.publication_id,
                reason=outcome.reason,
            )
            self._remember(
                PublicationStatus(
                    outcome.publication_id, offset, outcome.reason, outcome.details
                )
            )
        elif not isinstance(outcome, Passed):
            log_change("keys withdrawn", count=len(outcome.digests))

    def _remember(self, publication: PublicationStatus) -> None:
        self.publications.append(publication)
        del self.publications[:-KEPT_PUBLICATIONS]

    def _update(self) -> None:
        state = self._reader.state
        revision = None if state is None else revision_of(state)
        if revision != self._revision:
            self._revision = revision
            self.changed.set()
            self.changed = anyio.Event()
        REVISION.set(0 if revision is None else revision.number)

    # -- relays ------------------------------------------------------------------

    def relay(self, from_offset: int) -> RelayedPage:
        """Return what a peer needs that has read up to below `from_offset`."""
        covers = self.covers_offset()
        wanted = range(from_offset, covers + 1)
        first = min(self._records, default=covers + 1)
        if from_offset >= 0 and all(offset in self._records for offset in wanted):
            payloads = tuple(self._records[offset].payload for offset in wanted)
            return RelayedPage(from_offset, first, covers + 1, payloads, None)
        return RelayedPage(from_offset, first, covers + 1, (), self._reader.state)

    def take_relay(self, relayed: RelayedPage) -> None:
        """Take what a peer relayed; an older state changes nothing."""
        if relayed.state is not None:
            self._reader.take_state(relayed.state)
        elif relayed.from_offset == self.next_offset():
            records = tuple(
                LogRecord(relayed.from_offset + index, 0.0, payload)
                for index, payload in enumerate(relayed.payloads)
            )
            first = 0 if relayed.from_offset == 0 else relayed.first_offset
            page = LogPage(first, relayed.next_offset, records)
            self._keep(page)
            at = self.covers_offset() + 1
            for index, step in enumerate(self._reader.take_page(page).steps):
                self._note_step(step, at + index)
        self._update()

    # -- answers -----------------------------------------------------------------

    def revision(self) -> Revision | None:
        """Return the revision in force."""
        return self._revision

    def withdrawn_count(self) -> int:
        """Return how many key digests are withdrawn."""
        state = self._reader.state
        return 0 if state is None else len(state.withdrawn_digests)

    def freshness(self) -> Freshness:
        """Return how fresh the configuration is, and whether keyed routes close."""
        now_s = self._timer.now_s()
        statements = tuple(
            PeerStatement(
                item.statement.address,
                item.statement.data_centre,
                item.statement.fresh_age_s,
                item.statement.config_offset,
                item.asked_s,
            )
            for item in self._exchange.statements(now_s)
        )
        inputs = FreshnessInputs(
            self._tail_read_s, self.covers_offset(), statements, self.data_centres()
        )
        return decide_freshness(inputs, now_s)

    def statement(self, *, reaches_log: bool) -> LogStatement:
        """Return what this daemon says of itself in heartbeats."""
        freshness = self.freshness()
        FRESH_AGE.set(min(freshness.fresh_age_s, UNKNOWN_AGE_S))
        CLOSED.set(int(freshness.keys_closed))
        return LogStatement(
            self._me.address,
            self._me.data_centre,
            reaches_log,
            min(freshness.fresh_age_s, UNKNOWN_AGE_S),
            self.covers_offset(),
            0.0,
        )

    def snapshot_due(self) -> SnapshotRecord | None:
        """Return the snapshot that this daemon should append now, if any."""
        page = self._last_page
        state = self._reader.state
        now_s = self._timer.now_s()
        if page is None or state is None or not self._reader.is_at_tail(page):
            return None
        retained_s = (
            kept.appended_s
            for offset, kept in self._records.items()
            if offset >= page.first_offset
        )
        oldest_s = min(retained_s, default=now_s)
        has_snapshot = self._snapshot_offset >= page.first_offset
        due_in_s = snapshot_due_in_s(
            SnapshotInput(
                covers_offset=state.covers_offset,
                first_offset=page.first_offset,
                next_offset=page.next_offset,
                last_snapshot_offset=self._snapshot_offset if has_snapshot else -1,
                last_snapshot_age_s=now_s - self._snapshot_s,
                oldest_record_age_s=now_s - oldest_s,
                rank=rank_of(
                    f"snapshot-{state.covers_offset}",
                    self._me.address,
                    self.members(),
                ),
            )
        )
        if due_in_s is None:
            self._snapshot_wanted_s = None
            return None
        if self._snapshot_wanted_s is None:
            self._snapshot_wanted_s = now_s
        if now_s - self._snapshot_wanted_s < due_in_s:
            return None
        self._snapshot_wanted_s = None
        return SnapshotRecord(state)


def make_follower_service(me: Identity, timer: Timer) -> Service:
    """Return the service ``config-follower``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        log = kernel.find("log", LogAccess)
        exchange = kernel.find("exchange", Exchange)
        exchange.note_progress("configuration", timer.now_s())
        follower = ConfigFollower(me, timer, exchange)
        async with anyio.create_task_group() as group:
            group.start_soon(_follow, follower, log, exchange, timer)
            group.start_soon(_write_snapshots, follower, log, timer)
            task_status.started(follower)
            await kernel.stop_event("config-follower").wait()
            group.cancel_scope.cancel()

    return Service("config-follower", run)


async def _follow(
    follower: ConfigFollower, log: LogAccess, exchange: Exchange, timer: Timer
) -> None:
    while True:
        asked_s = timer.now_s()
        answer = await log.read(
            CONFIG_STREAM, follower.next_offset(), READ_LIMIT, READ_WAIT_S
        )
        exchange.note_progress("configuration", timer.now_s())
        if answer.is_ok():
            follower.take_page(answer.unwrap(), asked_s)
        else:
            await timer.sleep_until(timer.now_s() + RETRY_S)


async def _write_snapshots(
    follower: ConfigFollower, log: LogAccess, timer: Timer
) -> None:
    async def on_tick(now_s: float) -> None:
        record = follower.snapshot_due()
        if record is not None:
            await log.append(CONFIG_STREAM, to_json(record))

    await every(timer, SNAPSHOT_CHECK_PERIOD_S, on_tick)


def as_configuration(follower: ConfigFollower) -> Configuration:
    """Return the port that other services use."""
    return Configuration(
        follower.revision,
        lambda: follower.freshness().fresh_age_s,
        lambda: follower.freshness().keys_closed,
    )
