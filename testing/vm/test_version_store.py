"""Tests of what the store keeps of software versions for the loss of all VMs."""

import asyncio
import json

from result import Err, Ok, Result

from _pistachiopond.decisions.leadership import Claim, Leadership
from _pistachiopond.platform.store import (
    KeyedRecord,
    Snapshot,
    StoreClient,
    StoreFailure,
)
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm.fleet import Fleet
from _pistachiopond.vm.stream_origins import StreamOrigins
from _pistachiopond.vm.version_store import VERSIONS_KEY, VersionStore
from testing.virtual_time import VirtualTimeTestCase

CLAIM = Claim(StorePosition(0, 7), "vm-1", "one", "127.0.0.1:1")
VALID = {"fence": 7, "models": [["plain", "\0", [{"v1": 1}]]]}
# Each row: the record's content, and what a VM knows of the past when it has read it.
RECORDS = (
    (json.dumps(VALID).encode(), "known"),
    (json.dumps(VALID | {"more": 1}).encode(), "known"),
    (json.dumps(VALID | {"fence": 6}).encode(), "absent"),
    (json.dumps({"fence": 7}).encode(), "absent"),
    (json.dumps(VALID | {"models": [["plain"]]}).encode(), "absent"),
    (json.dumps(VALID | {"models": 5}).encode(), "absent"),
    (b"[]", "absent"),
    (b"\xff", "absent"),
    (b"", "absent"),
)


class FakeClient:
    """A store whose topic of streams has these records, or fails."""

    def __init__(self) -> None:
        self.records: tuple[KeyedRecord, ...] = ()
        self.failure: StoreFailure | None = None
        self.reads = 0

    async def read_newest(
        self, topic: str, timeout_s: float
    ) -> Result[Snapshot, StoreFailure]:
        """Read the records."""
        self.reads += 1
        if self.failure is not None:
            return Err(self.failure)
        return Ok(Snapshot(self.records, StorePosition(0, len(self.records))))


def make_store() -> tuple[VersionStore, StreamOrigins, FakeClient]:
    """Return a VM's part that has just started."""
    client = FakeClient()
    origins = StreamOrigins(
        Fleet("here", 1.2, 2.0), lambda _: False, lambda: 0.0, lambda: 1
    )

    async def refuse(*_: object) -> Result[StorePosition, StoreFailure]:
        raise AssertionError("a VM that does not lead writes nothing")

    store = StoreClient(refuse, client.read_newest, refuse)
    return VersionStore(store, Leadership("one", 0.0), origins), origins, client


class ReadingTests(VirtualTimeTestCase):
    async def read(
        self,
        store: VersionStore,
        records: tuple[KeyedRecord, ...],
        claim: Claim | None,
        era: int = 0,
    ) -> None:
        store.take_snapshot(records, claim, era)
        running = asyncio.ensure_future(store.run())
        await asyncio.sleep(1.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_each_form_of_a_record_has_a_meaning(self) -> None:
        for value, past in RECORDS:
            with self.subTest(value=value):
                store, origins, _ = make_store()
                record = KeyedRecord(StorePosition(0, 8), VERSIONS_KEY, value)
                await self.read(store, (record,), CLAIM)
                self.assertEqual(origins.contact().past, past)

    async def test_the_first_vm_of_a_platform_knows_that_nothing_was_before(
        self,
    ) -> None:
        store, origins, client = make_store()
        await self.read(store, (), None)
        self.assertEqual(origins.contact().past, "known")
        self.assertEqual(client.reads, 0)

    async def test_a_record_proves_nothing_after_the_store_came_back_older(
        self,
    ) -> None:
        for claim, era, past in (
            (CLAIM, 0, "known"),
            (CLAIM, 1, "absent"),
            (None, 1, "absent"),
            (CLAIM._replace(position=StorePosition(2, 7)), 2, "known"),
            (CLAIM._replace(position=StorePosition(2, 7)), 3, "absent"),
        ):
            with self.subTest(claim=claim, era=era):
                store, origins, _ = make_store()
                fence = 0 if claim is None else claim.fence
                value = json.dumps(VALID | {"fence": fence}).encode()
                record = KeyedRecord(StorePosition(era, 8), VERSIONS_KEY, value)
                await self.read(store, (record,), claim, era)
                self.assertEqual(origins.contact().past, past)

    async def test_a_claim_without_a_record_proves_nothing(self) -> None:
        store, origins, _ = make_store()
        await self.read(store, (), CLAIM)
        self.assertEqual(origins.contact().past, "absent")

    async def test_nothing_is_proved_until_the_streams_have_been_read(self) -> None:
        store, origins, client = make_store()
        client.failure = StoreFailure("unreachable", "away")
        value = json.dumps(VALID).encode()
        record = KeyedRecord(StorePosition(0, 8), VERSIONS_KEY, value)
        await self.read(store, (record,), CLAIM)
        self.assertEqual(origins.contact().past, "unread")
        client.failure = None
        await self.read(store, (record,), CLAIM)
        self.assertEqual(origins.contact().past, "known")

    async def test_the_newest_record_of_a_stream_counts(self) -> None:
        store, origins, client = make_store()
        client.records = (
            KeyedRecord(StorePosition(0, 9), "0-1", b'[["a", "v2", 0.1]]'),
            KeyedRecord(
                StorePosition(0, 4), "0-2", b'[["a", "v1", 0.0], ["b", "v1", 9]]'
            ),
            KeyedRecord(StorePosition(0, 5), "0-3", b"[5]"),
            KeyedRecord(StorePosition(0, 6), "0-4", b""),
        )
        value = json.dumps(VALID).encode()
        record = KeyedRecord(StorePosition(0, 8), VERSIONS_KEY, value)
        await self.read(store, (record,), CLAIM)
        kept = {item[0]: item[1] for item in origins.recent_records(60.0)}
        self.assertEqual(kept, {"a": "v2", "b": "v1"})
