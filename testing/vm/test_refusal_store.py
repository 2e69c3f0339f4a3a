"""Tests of what the store keeps of requests that crash servers."""

import asyncio
import json

from result import Err, Ok, Result

from _pistachiopond.platform.store import (
    REFUSALS_TOPIC,
    KeyedRecord,
    Snapshot,
    StoreClient,
    StoreFailure,
)
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.schema.suspects import RequestRecord
from _pistachiopond.vm.refusal_store import (
    RECORDS_KEY,
    RENEW_PERIOD_S,
    SETTLE_S,
    RefusalStore,
)
from _pistachiopond.vm.suspects import Suspects
from testing.virtual_time import VirtualTimeTestCase

BAD = ("bad", 800.0, ["s1/1", "s2/1", "s3/1"])
STORED = json.dumps({RECORDS_KEY: [BAD]}).encode()
# Each row: the record's content, and the requests that a VM refuses after reading it.
RECORDS = (
    (STORED, 1),
    (json.dumps({RECORDS_KEY: [BAD], "more": 1}).encode(), 1),
    (json.dumps({RECORDS_KEY: []}).encode(), 0),
    (json.dumps({RECORDS_KEY: [["bad"]]}).encode(), 0),
    (json.dumps({RECORDS_KEY: 5}).encode(), 0),
    (json.dumps({RECORDS_KEY: [["bad", "x", []]]}).encode(), 0),
    (b"{}", 0),
    (b"[]", 0),
    (b"\xff", 0),
    (b"", 0),
)


class FakeLeadership:
    """Says whether this VM leads."""

    def __init__(self) -> None:
        self.leads = False

    def is_leading(self, now_s: float) -> bool:
        """Return whether this VM leads."""
        return self.leads

    def is_void(self) -> bool:
        """Return whether the claim has been lost."""
        return False


class FakeClient:
    """A store that keeps one record, or fails."""

    def __init__(self, value: bytes | None = None) -> None:
        self.value = value
        self.failure: StoreFailure | None = None
        self.writes: list[list[str]] = []

    async def read_newest(
        self, topic: str, timeout_s: float
    ) -> Result[Snapshot, StoreFailure]:
        """Read the record."""
        if self.failure is not None:
            return Err(self.failure)
        if self.value is None:
            return Err(StoreFailure("absent", "no such topic"))
        record = KeyedRecord(
            key=RECORDS_KEY, value=self.value, position=StorePosition(0, 0)
        )
        return Ok(Snapshot((record,), StorePosition(0, 1)))

    async def append(
        self, topic: str, key: str, value: bytes, *_: object
    ) -> Result[StorePosition, StoreFailure]:
        """Write the record."""
        assert topic == REFUSALS_TOPIC
        if self.failure is not None:
            return Err(self.failure)
        self.value = value
        self.writes.append([item[0] for item in json.loads(value)[key]])
        return Ok(StorePosition(0, 1))


class RefusalStoreTests(VirtualTimeTestCase):
    def start(self, client: FakeClient) -> None:
        self.leadership = FakeLeadership()
        self.suspects = Suspects()
        self.records: list[RequestRecord] = []
        store = StoreClient(client.append, client.read_newest, client.append)
        part = RefusalStore(store, self.leadership, self.suspects, lambda: self.records)
        self.task = asyncio.ensure_future(part.run())
        self.addCleanup(self.task.cancel)

    async def test_each_form_of_a_record_has_a_meaning(self) -> None:
        for value, count in RECORDS:
            with self.subTest(value):
                self.start(FakeClient(value))
                await asyncio.sleep(0.1)
                self.assertEqual(self.suspects.refused_count(), count)
                self.assertFalse(self.task.done())

    async def test_a_record_is_read_once_the_store_is_back(self) -> None:
        client = FakeClient(STORED)
        client.failure = StoreFailure("lost", "no answer")
        self.start(client)
        await asyncio.sleep(5.0)
        self.assertEqual(self.suspects.refused_count(), 0)
        self.suspects.take_records()
        client.failure = None
        await asyncio.sleep(1.0)
        self.assertEqual(self.suspects.refused_count(), 1)
        # The present leader may not know of it.
        told = self.suspects.take_records()
        self.assertEqual([record.fingerprint for record in told], ["bad"])

    async def test_a_new_leader_does_not_replace_the_record_by_less(self) -> None:
        client = FakeClient(STORED)
        self.start(client)
        self.leadership.leads = True
        await asyncio.sleep(SETTLE_S - 0.5)
        self.assertEqual(client.writes, [])
        self.records = [
            RequestRecord("bad", 790.0, tuple(BAD[2])),
            RequestRecord("new", 900.0, ("s1/2", "s2/2", "s3/2")),
        ]
        await asyncio.sleep(0.5)
        self.assertEqual(client.writes, [["bad", "new"]])
        await asyncio.sleep(SETTLE_S)
        self.records = []
        await asyncio.sleep(0.5)
        self.assertEqual(client.writes, [["bad", "new"], []])

    async def test_a_record_that_a_restored_store_lost_is_written_again(self) -> None:
        client = FakeClient()
        self.start(client)
        self.leadership.leads = True
        self.records = [RequestRecord("bad", 900.0, tuple(BAD[2]))]
        await asyncio.sleep(1.0)
        client.value = None
        await asyncio.sleep(RENEW_PERIOD_S)
        self.assertEqual(client.writes, [["bad"], ["bad"]])

    async def test_a_failed_write_is_tried_again(self) -> None:
        client = FakeClient()
        self.start(client)
        await asyncio.sleep(0.5)
        client.failure = StoreFailure("refused", "status 503")
        self.leadership.leads = True
        self.records = [RequestRecord("bad", 900.0, tuple(BAD[2]))]
        await asyncio.sleep(2.0)
        self.assertEqual(client.writes, [])
        client.failure = None
        await asyncio.sleep(1.0)
        self.assertEqual(client.writes, [["bad"]])
