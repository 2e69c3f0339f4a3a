"""Keeps the software versions in service in the platform's store.

All VMs may be lost at once, and with them what each knows of the versions at which
streams began. So the leader writes which sets of versions were in service lately, each
time that changes, to the topic of its claims, which each VM reads when it starts. The
record names the claim under which it was written: after a claim by a leader that has
written none, such as one of an older build, an earlier record proves nothing.

Streams whose version the sets do not yield are written to a topic of their own, which
only VMs that start after the loss of all others read. Its keys form a ring, so that the
topic stays small. Callers get no event of such a stream before it is written.

A leader first writes all such streams that it knows, and then the sets: an earlier
leader may not have been able to write, or the store may have come back without what was
written. Until then the record of sets names an earlier claim, and so proves nothing.
"""

import asyncio
import itertools
import json
from collections import deque
from collections.abc import Callable
from typing import Annotated, Final, NamedTuple, TypedDict, final

import anyio
from msgspec import Meta
from result import Ok, Result

from _pistachiopond.decisions.leadership import Claim, Leadership
from _pistachiopond.decisions.stream_versions import (
    STREAM_MEMORY_S,
    ServedModel,
    StoredVersions,
)
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.store import (
    OWN_TOPIC,
    STREAMS_TOPIC,
    KeyedRecord,
    StoreClient,
    StoreFailure,
)
from _pistachiopond.schema.json_decoding import Count, Number, make_decoder
from _pistachiopond.schema.peer_messages import StreamOrigin
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.stream_origins import StreamOrigins

VERSIONS_KEY: Final = "versions"
STORE_TIMEOUT_S: Final = 1.0
# For writes of streams, whose callers wait. One without an answer is soon tried again.
STREAMS_TIMEOUT_S: Final = 0.5
# How often the leader looks for changes, and other VMs whether they lead.
CHECK_PERIOD_S: Final = 0.1
LEAD_CHECK_PERIOD_S: Final = 0.25
# How long the leader waits after a failed write, and other VMs after a failed read.
RETRY_PAUSE_S: Final = 0.3
# Sets that have ended are taken out of the record this often.
RENEW_PERIOD_S: Final = 5.0
# The store takes records of 256 KiB. A longer one is not written, and the one of before
# then proves nothing.
MAX_RECORD_BYTES: Final = 200_000
# How often a VM that starts looks whether it can read the streams.
READ_PAUSE_S: Final = 0.05
# A record has at most so many streams, of some 40 bytes each. Ten records a second, the
# most that the leader relays, for as long as streams last and are taken up again.
MAX_STREAMS_PER_RECORD: Final = 1_000
RING_RECORDS: Final = 300
# Leaders that follow each other do not overwrite one another's records.
RING_LEADERS: Final = 4
# Bound on the streams that wait to be written, while the store is away.
MAX_UNWRITTEN_STREAMS: Final = 20_000
# While streams have waited for longer to be written, no others begin that need it.
MAX_STORE_LAG_S: Final = 0.5


CountStreams = Callable[[str, int], None]


class _Snapshot(NamedTuple):
    """The first read of the claims; `stored` is None if its record proves nothing."""

    stored: StoredVersions | None


@final
class VersionStore:
    """Reads the record when this VM starts, and writes it while this VM leads."""

    def __init__(
        self,
        store: StoreClient,
        leadership: Leadership,
        origins: StreamOrigins,
        count_streams: CountStreams = lambda outcome, streams: None,
    ) -> None:
        """Start without having read anything.

        Parameters
        ----------
        store : StoreClient
            Client of the store.
        leadership : Leadership
            Whether this VM leads.
        origins : StreamOrigins
            What this VM knows of the versions.
        count_streams : callable
            Called with ``written``, ``failed`` or ``discarded``, and how many streams.
        """
        self._count_streams = count_streams
        self._store = store
        self._leadership = leadership
        self._origins = origins
        self._snapshot: _Snapshot | None = None
        self._written: tuple[int, StoredVersions] | None = None
        self._seen_changes = -1
        self._checked_s = float("-inf")
        self._streams: deque[StreamOrigin] = deque(maxlen=MAX_UNWRITTEN_STREAMS)
        self._has_streams = asyncio.Event()
        self._batch_count = 0
        # Since when streams wait, or since the last ones were written.
        self._waiting_since_s = float("inf")
        self._has_write_failed = False
        # Where the topic of streams ends; None if that is unknown.
        self._streams_end: StorePosition | None = None
        # The claim under which streams are written, and the one under which all that
        # were known at its start have been.
        self._lead_fence = -1
        self._complete_fence = -1
        # Called with streams that the store has.
        self.on_stored: Callable[[list[StreamOrigin]], None] = lambda _: None

    def take_snapshot(
        self, records: tuple[KeyedRecord, ...], claim: Claim | None, era: int
    ) -> None:
        """Take a read of the topic of claims, of which the first one counts.

        If no leader has claimed in the store's era, the store has come back from an
        older copy since the last claim, and the record may be older than the last one.

        Parameters
        ----------
        records : tuple of KeyedRecord
            The topic's newest records.
        claim : Claim or None
            The newest claim among them; None if there is none.
        era : int
            The store's era.
        """
        if self._snapshot is not None:
            return
        if era > 0 and (claim is None or claim.position.era < era):
            log_change(
                "versions in the store are from an older copy",
                era=era,
                claim_era=None if claim is None else claim.position.era,
            )
            self._snapshot = _Snapshot(None)
            self._origins.take_stored(None, ())
            return
        if claim is None:
            # No VM has run before, so no stream has begun.
            self._snapshot = _Snapshot(None)
            self._origins.take_stored(StoredVersions({}), ())
            return
        found = [record for record in records if record.key == VERSIONS_KEY]
        stored = _decode(found[-1], claim.fence) if found else None
        self._snapshot = _Snapshot(stored)
        if stored is None:
            self._origins.take_stored(None, ())

    def add_streams(self, streams: list[StreamOrigin]) -> None:
        """Keep the versions of streams, which the sets of versions do not yield."""
        if not self._streams:
            self._waiting_since_s = boot_s()
        self._streams.extend(streams)
        self._has_streams.set()

    def is_storing(self) -> bool:
        """Return whether streams that are added now will soon be in the store.

        After this VM has handed the lead over, the next leader writes them.
        """
        if self._has_write_failed or not self._leadership.has_store(boot_s()):
            return False
        waiting_s = boot_s() - self._waiting_since_s
        return not self._streams or waiting_s < MAX_STORE_LAG_S

    def _leads(self) -> bool:
        return self._leadership.is_leading(boot_s()) and not self._leadership.is_void()

    def _fence(self) -> int:
        claim = self._leadership.claim
        return -1 if claim is None else claim.fence

    def _is_complete(self) -> bool:
        return self._complete_fence == self._fence()

    def unwritten_count(self) -> int:
        """Return how many streams wait to be written."""
        return len(self._streams)

    async def run(self) -> None:
        """Read what the store keeps, and write while this VM leads; until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_streams())
            group.create_task(self._write_streams())
            group.create_task(self._write_versions())

    async def _read_streams(self) -> None:
        """Read the streams of VMs that have gone, unless an older VM still runs."""
        while self._snapshot is None or self._origins.needs_stored():
            stored = None if self._snapshot is None else self._snapshot.stored
            pause_s = READ_PAUSE_S
            if stored is not None:
                pause_s = RETRY_PAUSE_S
                result = await self._store.read_newest(STREAMS_TOPIC, STORE_TIMEOUT_S)
                if result.is_ok():
                    streams = _decode_streams(result.ok().records)
                    self._origins.take_stored(stored, streams)
                    return
                if result.err().kind == "absent":
                    self._origins.take_stored(stored, ())
                    return
            await anyio.sleep(pause_s)

    async def _write_streams(self) -> None:
        while True:
            await self._has_streams.wait()
            self._has_streams.clear()
            # What the store has of VMs that have gone is written again too.
            if self._leads() and not self._origins.needs_stored():
                await self._write_waiting(self._fence())
            if not self._leads():
                self._discard_streams()

    async def _write_waiting(self, fence: int) -> None:
        """Write the streams that wait, at first all that this VM knows of."""
        if self._lead_fence != fence:
            self._lead_fence = fence
            self._has_write_failed = False
            self._streams_end = None
            self._batch_count = 0
            self._write_again(fence)
        while self._streams and self._leads() and self._fence() == fence:
            self._has_write_failed = not await self._write_batch(fence)
            if self._has_write_failed:
                await anyio.sleep(RETRY_PAUSE_S)
        if not self._streams:
            self._complete_fence = fence

    def _write_again(self, fence: int) -> None:
        """Write all streams that this VM knows of before those that wait."""
        known = self._origins.recent_records(STREAM_MEMORY_S)
        if not known:
            return
        log_change("versions of streams written again", fence=fence, streams=len(known))
        if not self._streams:
            self._waiting_since_s = boot_s()
        self._streams.extendleft(reversed(known))

    def _discard_streams(self) -> None:
        """Drop what this VM can't write; the next leader writes what it was told of."""
        if not self._streams:
            return
        self._count_streams("discarded", len(self._streams))
        log_warning(
            "versions of streams discarded, this VM does not lead",
            streams=len(self._streams),
            first=self._streams[0][0],
            last=self._streams[-1][0],
        )
        self._streams.clear()

    async def _write_batch(self, fence: int) -> bool:
        """Write the first streams; return False if the store has failed.

        The append is conditional, so that one without an answer can't take effect
        after a later one and put a stream's earlier version in place of the last.
        """
        batch = list(itertools.islice(self._streams, MAX_STREAMS_PER_RECORD))
        key = f"{fence % RING_LEADERS}-{self._batch_count % RING_RECORDS}"
        value = json.dumps(batch, separators=(",", ":")).encode()
        result = await self._append_stream_record(key, value)
        if result.is_err():
            failure = result.err()
            if failure.kind == "moved":
                # By another leader's record, or one of this VM's without an answer. The
                # end is read again before the next write.
                self._streams_end = None
                return True
            self._count_streams("failed", len(batch))
            log_warning(
                "versions of streams not written",
                kind=failure.kind,
                detail=failure.detail,
                streams=len(batch),
            )
            return False
        era, offset = result.ok()
        self._streams_end = StorePosition(era, offset + 1)
        self._batch_count += 1
        self._waiting_since_s = boot_s()
        self._count_streams("written", len(batch))
        for _ in range(min(len(batch), len(self._streams))):
            self._streams.popleft()
        self.on_stored(batch)
        return True

    async def _append_stream_record(
        self, key: str, value: bytes
    ) -> Result[StorePosition, StoreFailure]:
        if self._streams_end is None:
            end = await self._read_streams_end()
            if end.is_err():
                return end
            self._streams_end = end.ok()
        return await self._store.append(
            STREAMS_TOPIC, key, value, self._streams_end, STREAMS_TIMEOUT_S
        )

    async def _read_streams_end(self) -> Result[StorePosition, StoreFailure]:
        result = await self._store.read_newest(STREAMS_TOPIC, STORE_TIMEOUT_S)
        if result.is_err() and result.err().kind == "absent":
            return Ok(StorePosition(result.err().era, 0))
        return result.map(lambda snapshot: snapshot.end)

    async def _write_versions(self) -> None:
        while True:
            pause_s = LEAD_CHECK_PERIOD_S
            if self._leads():
                pause_s = CHECK_PERIOD_S
                if not self._is_complete():
                    self._has_streams.set()
                elif self._is_due() and not await self._write():
                    pause_s = RETRY_PAUSE_S
            await anyio.sleep(pause_s)

    def _is_due(self) -> bool:
        self._origins.refresh()
        if self._origins.stored_changes != self._seen_changes:
            return True
        claim = self._leadership.claim
        is_written = self._written is not None and claim is not None
        if is_written and self._written[0] == claim.fence:
            return boot_s() - self._checked_s >= RENEW_PERIOD_S
        return boot_s() - self._checked_s >= RETRY_PAUSE_S

    async def _write(self) -> bool:
        """Write the record unless it is the same; return False if that failed."""
        claim, end = self._leadership.claim, self._leadership.end
        assert claim is not None and end is not None
        changes = self._origins.stored_changes
        stored = self._origins.stored()
        self._checked_s = boot_s()
        if stored is None or self._written == (claim.fence, stored):
            self._seen_changes = changes
            return True
        value = _encode(stored, claim.fence)
        if len(value) > MAX_RECORD_BYTES:
            log_warning("record of versions too long", bytes=len(value))
            value = b""
        result = await self._store.append(
            OWN_TOPIC, VERSIONS_KEY, value, end, STORE_TIMEOUT_S
        )
        if result.is_err():
            failure = result.err()
            log_warning(
                "record of versions not written",
                kind=failure.kind,
                detail=failure.detail,
            )
            return False
        self._written, self._seen_changes = (claim.fence, stored), changes
        log_change(
            "versions recorded in the store",
            fence=claim.fence,
            models=len(stored.models),
            sets=sum(map(len, stored.models.values())),
            bytes=len(value),
        )
        return True


class _Versions(TypedDict):
    fence: Count
    models: list[tuple[str, str, list[dict[str, Count]]]]


_decode_versions: Final = make_decoder(_Versions)
# A stream and its version.
_decode_batch: Final = make_decoder(
    list[Annotated[list[str | Number], Meta(min_length=2)]]
)


def _encode(stored: StoredVersions, fence: int) -> bytes:
    plain = {
        "fence": fence,
        "models": [
            (*served_model, [dict(weights) for weights in sets])
            for served_model, sets in stored.models.items()
        ],
    }
    return json.dumps(plain, separators=(",", ":")).encode()


def _decode(record: KeyedRecord, fence: int) -> StoredVersions | None:
    """Return the content of a record, or None if it proves nothing."""
    if not record.value:
        return None
    decoded = _decode_versions(record.value)
    if decoded.is_err():
        log_warning("record of versions cannot be read", reason=decoded.err())
        return None
    plain = decoded.ok()
    if plain["fence"] != fence:
        log_change(
            "record of versions is of another claim",
            fence=fence,
            record_fence=plain["fence"],
        )
        return None
    return StoredVersions(
        {ServedModel(service, model): sets for service, model, sets in plain["models"]}
    )


def _decode_streams(records: tuple[KeyedRecord, ...]) -> list[StreamOrigin]:
    """Return the streams in the order in which they were written."""
    streams: list[StreamOrigin] = []
    for record in sorted(records, key=lambda item: item.position):
        if not record.value:
            continue
        decoded = _decode_batch(record.value)
        if decoded.is_err():
            log_warning(
                "versions of streams cannot be read",
                key=record.key,
                reason=decoded.err(),
            )
            continue
        streams += [(str(item[0]), str(item[1]), 0.0) for item in decoded.ok()]
    return streams
