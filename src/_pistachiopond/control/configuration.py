"""The service ``config-follower``: reads the ``config`` stream of the log.

It folds each record into the configuration state, tracks when the state was last known
to be complete, and appends a snapshot when one is due. Records relayed by peers go
through the same fold.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskStatus
from prometheus_client import Counter, Gauge

from _pistachiopond.clients.log import LogPage, LogRecord
from _pistachiopond.control.gossip import UNKNOWN_AGE_S, GossipState
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

LONG_POLL_S: Final = 1.5
PAGE_RECORDS: Final = 200
RETRY_S: Final = 0.25
SNAPSHOT_CHECK_PERIOD_S: Final = 0.5
MAX_PUBLICATIONS: Final = 50
MAX_STORED_RECORDS: Final = 500

REVISION: Final = Gauge("pond_config_revision", "The revision in force")
FRESH_AGE: Final = Gauge("pond_config_fresh_age_seconds", "Age of the newest proof")
KEYS_CLOSED: Final = Gauge("pond_keys_closed", "1 while keyed routes refuse")
LOG_REWINDS: Final = Counter(
    "pond_config_log_gone_back", "Reads in which the log ended before what was read"
)
OUTCOMES: Final = Counter("pond_config_records", "Records folded", ["outcome"])


class RelayedPage(NamedTuple):
    """Records that a peer relayed.

    Attributes
    ----------
    first_offset, next_offset : int
        The peer's oldest stored offset, and 1 more than the last offset that it has
        applied.
    payloads : tuple of str
        Consecutive records from `from_offset` on.
    state : ConfigState or None
        The peer's whole state, in place of records that it no longer stores.
    """

    from_offset: int
    first_offset: int
    next_offset: int
    payloads: tuple[str, ...]
    state: ConfigState | None


class _StoredRecord(NamedTuple):
    payload: str
    appended_s: float


@final
class ConfigFollower:
    """The configuration that this daemon has read so far."""

    def __init__(self, me: Identity, timer: Timer, gossip: GossipState) -> None:
        self._me = me
        self._timer = timer
        self._gossip = gossip
        self._reader = StreamReader(CONFIG_FOLD)
        self._records: dict[int, _StoredRecord] = {}
        self._tail_read_s: float | None = None
        self._last_page: LogPage | None = None
        self._page_s = 0.0
        self._snapshot_offset = -1
        self._snapshot_s = float("-inf")
        self._revision: Revision | None = None
        self._snapshot_due_since_s: float | None = None
        self.publications: list[PublicationStatus] = []
        self.changed = anyio.Event()
        self.members: Callable[[], tuple[str, ...]] = lambda: (me.address,)
        self.data_centres: Callable[[], frozenset[str]] = lambda: frozenset()

    # -- reading -----------------------------------------------------------------

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._reader.next_offset()

    def covers_offset(self) -> int:
        """Return the last offset that has been applied; -1 for none."""
        return -1 if self._reader.state is None else self._reader.state.covers_offset

    def apply_page(self, page: LogPage, sent_s: float) -> None:
        """Apply the log's reply to a read request that was sent at `sent_s`."""
        self._last_page = page
        self._page_s = self._timer.now_s()
        self._store_records(page)
        first = self.covers_offset() + 1
        advance = self._reader.take_page(page)
        for index, step in enumerate(advance.steps):
            self._record_outcome(step, first + index)
        if self._reader.is_at_tail(page) and not self._reader.has_lost_records:
            self._tail_read_s = sent_s
        if self._reader.has_lost_records:
            LOG_REWINDS.inc()
        self._update()

    def _store_records(self, page: LogPage) -> None:
        now_s = self._timer.now_s()
        for record in page.records:
            stored = _StoredRecord(record.payload, now_s - record.age_s)
            self._records[record.offset] = stored
            snapshot = CONFIG_FOLD.snapshot_in(record.payload)
            if snapshot is not None and record.offset > self._snapshot_offset:
                self._snapshot_offset = record.offset
                self._snapshot_s = now_s - record.age_s
        for offset in sorted(self._records)[:-MAX_STORED_RECORDS]:
            del self._records[offset]

    def _record_outcome(self, step: Step[ConfigState], offset: int) -> None:
        outcome = step.outcome
        OUTCOMES.labels(type(outcome).__name__.lower()).inc()
        if isinstance(outcome, Accepted):
            log_change("revision in force", revision=outcome.number)
            self._add_publication(
                PublicationStatus(outcome.publication_id, offset, "accepted")
            )
        elif isinstance(outcome, Refused):
            log_change(
                "publication refused",
                publication_id=outcome.publication_id,
                reason=outcome.reason,
            )
            self._add_publication(
                PublicationStatus(
                    outcome.publication_id, offset, outcome.reason, outcome.details
                )
            )
        elif not isinstance(outcome, Passed):
            log_change("keys withdrawn", count=len(outcome.digests))

    def _add_publication(self, publication: PublicationStatus) -> None:
        self.publications.append(publication)
        del self.publications[:-MAX_PUBLICATIONS]

    def _update(self) -> None:
        state = self._reader.state
        revision = None if state is None else revision_of(state)
        if revision != self._revision:
            self._revision = revision
            self.changed.set()
            self.changed = anyio.Event()
        REVISION.set(0 if revision is None else revision.number)

    # -- relay to and from peers --------------------------------------------------

    def relay_page(self, from_offset: int) -> RelayedPage:
        """Return the records from `from_offset` on, or the state if some are gone."""
        last_offset = self.covers_offset()
        missing_offsets = range(from_offset, last_offset + 1)
        first = min(self._records, default=last_offset + 1)
        if from_offset >= 0 and all(
            offset in self._records for offset in missing_offsets
        ):
            payloads = tuple(
                self._records[offset].payload for offset in missing_offsets
            )
            return RelayedPage(from_offset, first, last_offset + 1, payloads, None)
        return RelayedPage(from_offset, first, last_offset + 1, (), self._reader.state)

    def apply_relay(self, relayed: RelayedPage) -> None:
        """Apply what a peer relayed; a state older than this daemon's has no effect."""
        if relayed.state is not None:
            self._reader.take_state(relayed.state)
        elif relayed.from_offset == self.next_offset():
            records = tuple(
                LogRecord(relayed.from_offset + index, 0.0, payload)
                for index, payload in enumerate(relayed.payloads)
            )
            first = 0 if relayed.from_offset == 0 else relayed.first_offset
            page = LogPage(first, relayed.next_offset, records)
            self._store_records(page)
            step_offset = self.covers_offset() + 1
            for index, step in enumerate(self._reader.take_page(page).steps):
                self._record_outcome(step, step_offset + index)
        self._update()

    # -- queries -----------------------------------------------------------------

    def revision(self) -> Revision | None:
        """Return the revision in force."""
        return self._revision

    def withdrawn_count(self) -> int:
        """Return how many key digests are withdrawn."""
        state = self._reader.state
        return 0 if state is None else len(state.withdrawn_digests)

    def freshness(self) -> Freshness:
        """Return the configuration's freshness, and whether routes with a key close."""
        now_s = self._timer.now_s()
        statements = tuple(
            PeerStatement(
                item.statement.address,
                item.statement.data_centre,
                item.statement.fresh_age_s,
                item.statement.config_offset,
                item.sent_s,
            )
            for item in self._gossip.statements(now_s)
        )
        inputs = FreshnessInputs(
            self._tail_read_s, self.covers_offset(), statements, self.data_centres()
        )
        return decide_freshness(inputs, now_s)

    def statement(self, *, reaches_log: bool) -> LogStatement:
        """Return this daemon's own statement about the log, for heartbeats."""
        freshness = self.freshness()
        FRESH_AGE.set(min(freshness.fresh_age_s, UNKNOWN_AGE_S))
        KEYS_CLOSED.set(int(freshness.keys_closed))
        return LogStatement(
            self._me.address,
            self._me.data_centre,
            reaches_log,
            min(freshness.fresh_age_s, UNKNOWN_AGE_S),
            self.covers_offset(),
            0.0,
        )

    def snapshot_due(self) -> SnapshotRecord | None:
        """Return the snapshot that this daemon must append now, or None."""
        page = self._last_page
        state = self._reader.state
        now_s = self._timer.now_s()
        if page is None or state is None or not self._reader.is_at_tail(page):
            return None
        retained_s = (
            stored.appended_s
            for offset, stored in self._records.items()
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
            self._snapshot_due_since_s = None
            return None
        if self._snapshot_due_since_s is None:
            self._snapshot_due_since_s = now_s
        if now_s - self._snapshot_due_since_s < due_in_s:
            return None
        self._snapshot_due_since_s = None
        return SnapshotRecord(state)


def make_follower_service(me: Identity, timer: Timer) -> Service:
    """Return the service ``config-follower``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        log = kernel.find("log", LogAccess)
        gossip = kernel.find("exchange", GossipState)
        gossip.record_progress("configuration", timer.now_s())
        follower = ConfigFollower(me, timer, gossip)
        async with anyio.create_task_group() as group:
            group.start_soon(_read_stream, follower, log, gossip, timer)
            group.start_soon(_write_snapshots, follower, log, timer)
            task_status.started(follower)
            await kernel.stop_event("config-follower").wait()
            group.cancel_scope.cancel()

    return Service("config-follower", run)


async def _read_stream(
    follower: ConfigFollower, log: LogAccess, gossip: GossipState, timer: Timer
) -> None:
    while True:
        sent_s = timer.now_s()
        result = await log.read(
            CONFIG_STREAM, follower.next_offset(), PAGE_RECORDS, LONG_POLL_S
        )
        gossip.record_progress("configuration", timer.now_s())
        if result.is_ok():
            follower.apply_page(result.unwrap(), sent_s)
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
    """Return the API of the service ``configuration`` for other services."""
    return Configuration(
        follower.revision,
        lambda: follower.freshness().fresh_age_s,
        lambda: follower.freshness().keys_closed,
    )
