"""Tests of what the store keeps of software versions for the loss of all VMs."""

import asyncio
import json
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

from result import Err, Ok, Result

from _pistachiopond.decisions.leadership import GIVE_UP_S, Claim, Leadership
from _pistachiopond.platform.store import (
    OWN_TOPIC,
    STREAMS_TOPIC,
    KeyedRecord,
    Snapshot,
    StoreClient,
    StoreFailure,
)
from _pistachiopond.schema.peer_messages import StreamOrigin
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm.clock import boot_s
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


class FakeTopics:
    """A store that appends on condition, and may refuse or lose its answers."""

    def __init__(self) -> None:
        self.topics: dict[str, list[KeyedRecord]] = {OWN_TOPIC: [], STREAMS_TOPIC: []}
        self.failures: dict[str, StoreFailure] = {}
        self.loses_answers = False

    async def read_newest(
        self, topic: str, timeout_s: float
    ) -> Result[Snapshot, StoreFailure]:
        """Read all records."""
        records = self.topics[topic]
        return Ok(Snapshot(tuple(records), StorePosition(0, len(records))))

    async def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        at: StorePosition | None,
        timeout_s: float,
    ) -> Result[StorePosition, StoreFailure]:
        """Append a record."""
        if topic in self.failures:
            return Err(self.failures[topic])
        records = self.topics[topic]
        position = StorePosition(0, len(records))
        if at is not None and at != position:
            return Err(StoreFailure("moved", "the topic has grown"))
        records.append(KeyedRecord(position, key, value))
        if self.loses_answers:
            return Err(StoreFailure("lost", "no answer"))
        return Ok(position)

    def streams(self) -> dict[str, str]:
        """Return the version of each stream, by its newest record."""
        batches = [json.loads(record.value) for record in self.topics[STREAMS_TOPIC]]
        return {name: version for batch in batches for name, version, _ in batch}


class WritingTests(VirtualTimeTestCase):
    @asynccontextmanager
    async def leading(
        self, topics: FakeTopics, known: Iterable[StreamOrigin] = ()
    ) -> AsyncIterator[VersionStore]:
        """Run the part of a VM that leads and has been told of streams."""
        fleet = Fleet("here", 1.2, 2.0)
        origins = StreamOrigins(fleet, lambda _: False, lambda: 0.0, lambda: 1)
        client = StoreClient(topics.read_newest, topics.read_newest, topics.append)
        leadership = Leadership("one", 0.0)
        store = VersionStore(client, leadership, origins)
        store.take_snapshot((), None, 0)
        origins.apply(known)
        leadership.claimed(CLAIM, boot_s(), has_resigned=True)
        running = asyncio.ensure_future(store.run())
        try:
            yield store
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    async def test_a_new_leader_writes_the_streams_that_it_knows_before_the_versions(
        self,
    ) -> None:
        # The versions would vouch for a topic without them.
        topics = FakeTopics()
        topics.topics[OWN_TOPIC] = [
            KeyedRecord(StorePosition(0, number), "leader", b"") for number in range(8)
        ]
        topics.failures[STREAMS_TOPIC] = StoreFailure("refused", "away")
        async with self.leading(topics, [("a", "v2", 3.0)]):
            await asyncio.sleep(0.6)
            self.assertEqual(len(topics.topics[OWN_TOPIC]), 8)
            del topics.failures[STREAMS_TOPIC]
            await asyncio.sleep(0.6)
        self.assertEqual(topics.streams(), {"a": "v2"})
        self.assertEqual(topics.topics[OWN_TOPIC][-1].key, VERSIONS_KEY)

    async def test_streams_count_as_stored_once_the_store_has_said_so(self) -> None:
        topics, stored = FakeTopics(), []
        async with self.leading(topics) as store:
            store.on_stored = stored.extend
            await asyncio.sleep(0.2)
            self.assertTrue(store.is_storing())
            topics.failures[STREAMS_TOPIC] = StoreFailure("refused", "away")
            store.add_streams([("a", "v2", 0.0)])
            await asyncio.sleep(0.2)
            self.assertEqual((stored, store.is_storing()), ([], False))
            del topics.failures[STREAMS_TOPIC]
            await asyncio.sleep(0.4)
            self.assertEqual(stored, [("a", "v2", 0.0)])
            self.assertTrue(store.is_storing())

    async def test_a_write_without_an_answer_does_not_undo_a_later_one(self) -> None:
        topics, stored = FakeTopics(), []
        async with self.leading(topics) as store:
            store.on_stored = stored.extend
            topics.loses_answers = True
            store.add_streams([("a", "v2", 0.0)])
            await asyncio.sleep(0.2)
            end = len(topics.topics[STREAMS_TOPIC])
            self.assertEqual((stored, end), ([], 1))
            topics.loses_answers = False
            store.add_streams([("a", "v1", 0.0)])
            await asyncio.sleep(0.7)
            self.assertEqual([version for _, version, _ in stored], ["v2", "v1"])
        self.assertEqual(topics.streams(), {"a": "v1"})
        # Executed late, it finds a topic that has grown.
        late = await topics.append(
            STREAMS_TOPIC, "3-0", b"[]", StorePosition(0, end - 1), 1.0
        )
        self.assertEqual(late.err().kind, "moved")

    async def test_a_leader_that_has_given_up_says_that_it_stores_nothing(self) -> None:
        async with self.leading(FakeTopics()) as store:
            await asyncio.sleep(GIVE_UP_S + 0.2)
            store.add_streams([("a", "v2", 0.0)])
            await asyncio.sleep(0.2)
            self.assertFalse(store.is_storing())
            self.assertEqual(store.unwritten_count(), 0)


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
