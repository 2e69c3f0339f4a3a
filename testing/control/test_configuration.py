"""Tests of reading the configuration from the log and from peers."""

import itertools
import random
import unittest

import anyio
from result import Err, Ok, Result

from _pistachiopond.clients.log import LogClient, LogFailure, LogPage
from _pistachiopond.control.configuration import ConfigFollower
from _pistachiopond.control.gossip import GOSSIP_TTL_S, GossipState
from _pistachiopond.control.log import MAX_BACKOFF_S, make_log_access
from _pistachiopond.control.relay import (
    make_relay_reply,
    most_advanced_peer,
    parse_relay_reply,
)
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.heartbeat import DrainNotice, LogStatement, OwnerHint
from _pistachiopond.schema.records import SnapshotRecord, WithdrawalRecord
from _pistachiopond.transport.generated.pond_pb2 import RelayConfigRequest
from testing.decisions.test_config import KEYS, fold_all, make_publication, page_of

ME = Identity("127.0.0.1:1", "a", "0-me")
LOG = [
    make_publication("p0", 0),
    make_publication("p1", 1),
    to_json(WithdrawalRecord((KEYS[0],))),
]


def statement(address: str, offset: int, age_s: float = 0.0) -> LogStatement:
    return LogStatement(address, "b", True, 0.0, offset, age_s)


class ConfigFollowerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.timer = VirtualTimer(100.0)
        self.gossip = GossipState()
        self.follower = ConfigFollower(ME, self.timer, self.gossip)

    def apply_log(self, log: list[str], first: int = 0) -> None:
        page = page_of(log, first, self.follower.next_offset(), 100)
        self.follower.apply_page(page, self.timer.now_s())

    def test_keyed_routes_stay_closed_until_the_end_of_the_log_is_read(self) -> None:
        self.assertTrue(self.follower.freshness().keys_closed)
        self.apply_log(LOG)
        self.assertFalse(self.follower.freshness().keys_closed)
        self.assertEqual(self.follower.revision().number, 2)
        self.assertEqual(self.follower.withdrawn_count(), 1)

    def test_page_before_the_end_of_the_log_does_not_open_keyed_routes(self) -> None:
        page = page_of(LOG, 0, 0, 1)
        self.follower.apply_page(page, self.timer.now_s())
        self.assertTrue(self.follower.freshness().keys_closed)

    def test_publications_list_the_result_of_each(self) -> None:
        self.apply_log([*LOG, make_publication("late", 1)])
        results = [item.result for item in self.follower.publications]
        self.assertEqual(results, ["accepted", "accepted", "conflict"])

    def test_snapshot_is_due_once_the_log_has_dropped_records(self) -> None:
        self.apply_log(LOG)
        self.assertIsNone(self.follower.snapshot_due())
        self.apply_log(LOG, first=1)
        record = self.follower.snapshot_due()
        self.assertEqual(record.state, fold_all(LOG)[0])

    def test_no_snapshot_is_due_after_one_from_another_daemon(self) -> None:
        self.apply_log(LOG)
        snapshot = to_json(SnapshotRecord(fold_all(LOG)[0]))
        self.apply_log([*LOG, snapshot], first=1)
        self.assertIsNone(self.follower.snapshot_due())


class RelayTests(unittest.TestCase):
    def setUp(self) -> None:
        timer = VirtualTimer(100.0)
        self.gossip = GossipState()
        self.ahead = ConfigFollower(ME, timer, GossipState())
        self.ahead.apply_page(page_of(LOG, 0, 0, 100), 100.0)
        self.behind = ConfigFollower(ME, timer, self.gossip)

    def relay(self) -> None:
        start = self.behind.next_offset()
        reply = make_relay_reply(self.ahead, RelayConfigRequest(from_offset=start))
        self.behind.apply_relay(parse_relay_reply(start, reply))

    def test_daemon_without_the_log_gets_the_records_from_a_peer(self) -> None:
        self.relay()
        self.assertEqual(self.behind.revision(), self.ahead.revision())

    def test_peer_relays_its_state_for_records_that_it_dropped(self) -> None:
        late = ConfigFollower(ME, VirtualTimer(100.0), GossipState())
        log = [*LOG, to_json(SnapshotRecord(fold_all(LOG)[0]))]
        late.apply_page(page_of(log, 3, 0, 100), 100.0)
        self.ahead = late
        self.relay()
        self.assertEqual(self.behind.revision(), late.revision())

    def test_relay_from_a_peer_that_is_behind_does_not_revert_the_revision(
        self,
    ) -> None:
        self.relay()
        stale = ConfigFollower(ME, VirtualTimer(100.0), GossipState())
        stale.apply_page(page_of(LOG[:1], 0, 0, 100), 100.0)
        self.ahead = stale
        self.relay()
        self.assertEqual(self.behind.revision().number, 2)

    def test_only_the_peer_that_has_read_furthest_is_chosen(self) -> None:
        rng = random.Random(1)
        self.gossip.add_statement(statement("x", -1), 100.0)
        self.assertIsNone(most_advanced_peer(self.behind, self.gossip, 100.0, rng))
        self.gossip.add_statement(statement("y", 2), 100.0)
        self.gossip.add_statement(statement("z", 1), 100.0)
        self.assertEqual(most_advanced_peer(self.behind, self.gossip, 100.0, rng), "y")


class GossipStateTests(unittest.TestCase):
    def setUp(self) -> None:
        self.gossip = GossipState()

    def test_older_statement_does_not_replace_a_newer_one(self) -> None:
        self.gossip.add_statement(statement("x", 5), 10.0)
        self.gossip.add_statement(statement("x", 4, age_s=3.0), 12.0)
        (received,) = self.gossip.statements(12.0)
        self.assertEqual(received.statement.config_offset, 5)

    def test_forwarded_statement_carries_its_age(self) -> None:
        self.gossip.add_statement(statement("x", 5), 10.0)
        (forwarded,) = self.gossip.statements_to_forward(13.0)
        self.assertEqual(forwarded.age_s, 3.0)

    def test_lower_epoch_does_not_replace_an_owner_or_drain_list(self) -> None:
        self.gossip.update_owner(OwnerHint("s", 7, "new"))
        self.gossip.update_owner(OwnerHint("s", 3, "old"))
        self.assertEqual(self.gossip.owner("s").address, "new")
        self.gossip.update_drains(DrainNotice(7, 1))
        self.gossip.update_drains(DrainNotice(3, 9))
        self.assertEqual(self.gossip.drains.epoch, 7)

    def test_leaving_sign_expires_and_only_first_hand_signs_are_forwarded(self) -> None:
        self.gossip.record_leaving("s", 0.0, is_first_hand=True)
        self.gossip.record_leaving("t", 0.0, is_first_hand=False)
        self.assertEqual(self.gossip.leaving(1.0), ("s", "t"))
        self.assertEqual(self.gossip.leaving_to_forward(1.0), ("s",))
        self.assertEqual(self.gossip.leaving(GOSSIP_TTL_S + 1), ())

    def test_one_stalled_service_means_no_progress(self) -> None:
        self.gossip.record_progress("shards", 0.0)
        self.gossip.record_progress("views", 20.0)
        self.assertFalse(self.gossip.makes_progress(21.0))


class BackoffTests(unittest.TestCase):
    def test_failing_log_is_retried_with_back_off_until_it_recovers(self) -> None:
        attempts: list[float] = []
        timer = VirtualTimer()
        is_up = False

        async def append(stream: str, payload: str) -> Result[int, LogFailure]:
            attempts.append(timer.now_s())
            return Ok(0) if is_up else Err(LogFailure(True, "down"))

        async def read(
            stream: str, start: int, limit: int, wait_s: float
        ) -> Result[LogPage, LogFailure]:
            return Err(LogFailure(False, "not used"))

        async def scenario() -> None:
            nonlocal is_up
            log = make_log_access(LogClient(append, read), timer, random.Random(1))
            for _ in range(600):
                await log.append("config", "{}")
                await timer.advance(0.1)
            self.assertLess(len(attempts), 30)
            gaps = [b - a for a, b in itertools.pairwise(attempts)]
            self.assertLessEqual(max(gaps), MAX_BACKOFF_S + 0.2)
            self.assertGreater(log.down_for_s(), 59.0)
            is_up = True
            await timer.advance(MAX_BACKOFF_S)
            await log.append("config", "{}")
            self.assertEqual(log.down_for_s(), 0.0)

        anyio.run(scenario)
