"""Tests of following the configuration, through the log and through peers."""

import itertools
import random
import unittest

import anyio
from result import Err, Ok, Result

from _pistachiopond.clients.log import LogClient, LogFailure, LogPage
from _pistachiopond.control.configuration import ConfigFollower
from _pistachiopond.control.exchange import LEAVING_HEARD_S, Exchange
from _pistachiopond.control.log import LONGEST_BACKOFF_S, make_log_access
from _pistachiopond.control.relay import answer_relay, best_peer, read_relay
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.heartbeat import DrainNotice, LogStatement, OwnerHint
from _pistachiopond.schema.records import SnapshotRecord, WithdrawalRecord
from _pistachiopond.transport.generated.pond_pb2 import RelayConfigRequest
from testing.decisions.test_config import KEYS, fold_all, page_of, published

ME = Identity("127.0.0.1:1", "a", "0-me")
LOG = [published("p0", 0), published("p1", 1), to_json(WithdrawalRecord((KEYS[0],)))]


def statement(address: str, offset: int, age_s: float = 0.0) -> LogStatement:
    return LogStatement(address, "b", True, 0.0, offset, age_s)


class FollowerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.timer = VirtualTimer(100.0)
        self.exchange = Exchange()
        self.follower = ConfigFollower(ME, self.timer, self.exchange)

    def take(self, log: list[str], first: int = 0) -> None:
        page = page_of(log, first, self.follower.next_offset(), 100)
        self.follower.take_page(page, self.timer.now_s())

    def test_a_new_daemon_keeps_keys_closed_until_it_read_the_tail(self) -> None:
        self.assertTrue(self.follower.freshness().keys_closed)
        self.take(LOG)
        self.assertFalse(self.follower.freshness().keys_closed)
        self.assertEqual(self.follower.revision().number, 2)
        self.assertEqual(self.follower.withdrawn_count(), 1)

    def test_a_page_that_is_not_the_tail_proves_no_freshness(self) -> None:
        page = page_of(LOG, 0, 0, 1)
        self.follower.take_page(page, self.timer.now_s())
        self.assertTrue(self.follower.freshness().keys_closed)

    def test_publications_keep_their_outcomes(self) -> None:
        self.take([*LOG, published("late", 1)])
        results = [item.result for item in self.follower.publications]
        self.assertEqual(results, ["accepted", "accepted", "conflict"])

    def test_a_snapshot_is_written_once_the_log_drops_records(self) -> None:
        self.take(LOG)
        self.assertIsNone(self.follower.snapshot_due())
        self.take(LOG, first=1)
        record = self.follower.snapshot_due()
        self.assertEqual(record.state, fold_all(LOG)[0])

    def test_the_snapshot_of_another_daemon_is_enough(self) -> None:
        self.take(LOG)
        snapshot = to_json(SnapshotRecord(fold_all(LOG)[0]))
        self.take([*LOG, snapshot], first=1)
        self.assertIsNone(self.follower.snapshot_due())


class RelayTests(unittest.TestCase):
    def setUp(self) -> None:
        timer = VirtualTimer(100.0)
        self.exchange = Exchange()
        self.ahead = ConfigFollower(ME, timer, Exchange())
        self.ahead.take_page(page_of(LOG, 0, 0, 100), 100.0)
        self.behind = ConfigFollower(ME, timer, self.exchange)

    def relay(self) -> None:
        start = self.behind.next_offset()
        reply = answer_relay(self.ahead, RelayConfigRequest(from_offset=start))
        self.behind.take_relay(read_relay(start, reply))

    def test_a_daemon_without_the_log_takes_the_records_from_a_peer(self) -> None:
        self.relay()
        self.assertEqual(self.behind.revision(), self.ahead.revision())

    def test_what_the_peer_does_not_keep_comes_as_a_state(self) -> None:
        late = ConfigFollower(ME, VirtualTimer(100.0), Exchange())
        log = [*LOG, to_json(SnapshotRecord(fold_all(LOG)[0]))]
        late.take_page(page_of(log, 3, 0, 100), 100.0)
        self.ahead = late
        self.relay()
        self.assertEqual(self.behind.revision(), late.revision())

    def test_a_peer_that_is_behind_reverts_nothing(self) -> None:
        self.relay()
        stale = ConfigFollower(ME, VirtualTimer(100.0), Exchange())
        stale.take_page(page_of(LOG[:1], 0, 0, 100), 100.0)
        self.ahead = stale
        self.relay()
        self.assertEqual(self.behind.revision().number, 2)

    def test_only_peers_that_read_further_are_asked(self) -> None:
        rng = random.Random(1)
        self.exchange.take_statement(statement("x", -1), 100.0)
        self.assertIsNone(best_peer(self.behind, self.exchange, 100.0, rng))
        self.exchange.take_statement(statement("y", 2), 100.0)
        self.exchange.take_statement(statement("z", 1), 100.0)
        self.assertEqual(best_peer(self.behind, self.exchange, 100.0, rng), "y")


class ExchangeTests(unittest.TestCase):
    def setUp(self) -> None:
        self.exchange = Exchange()

    def test_an_older_statement_that_comes_later_changes_nothing(self) -> None:
        self.exchange.take_statement(statement("x", 5), 10.0)
        self.exchange.take_statement(statement("x", 4, age_s=3.0), 12.0)
        (heard,) = self.exchange.statements(12.0)
        self.assertEqual(heard.statement.config_offset, 5)

    def test_a_passed_statement_carries_its_age(self) -> None:
        self.exchange.take_statement(statement("x", 5), 10.0)
        (passed,) = self.exchange.statements_to_pass(13.0)
        self.assertEqual(passed.age_s, 3.0)

    def test_the_highest_epoch_and_sequence_win(self) -> None:
        self.exchange.take_owner(OwnerHint("s", 7, "new"))
        self.exchange.take_owner(OwnerHint("s", 3, "old"))
        self.assertEqual(self.exchange.owner("s").address, "new")
        self.exchange.take_drains(DrainNotice(7, 1))
        self.exchange.take_drains(DrainNotice(3, 9))
        self.assertEqual(self.exchange.drains.epoch, 7)

    def test_a_sign_of_leaving_lapses_and_is_passed_on_once(self) -> None:
        self.exchange.note_leaving("s", 0.0, seen_here=True)
        self.exchange.note_leaving("t", 0.0, seen_here=False)
        self.assertEqual(self.exchange.leaving(1.0), ("s", "t"))
        self.assertEqual(self.exchange.leaving_to_pass(1.0), ("s",))
        self.assertEqual(self.exchange.leaving(LEAVING_HEARD_S + 1), ())

    def test_a_service_that_stalls_stops_the_beat(self) -> None:
        self.exchange.note_progress("shards", 0.0)
        self.exchange.note_progress("views", 20.0)
        self.assertFalse(self.exchange.makes_progress(21.0))


class BackoffTests(unittest.TestCase):
    def test_the_log_is_left_alone_between_attempts_and_returns(self) -> None:
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
            self.assertLessEqual(max(gaps), LONGEST_BACKOFF_S + 0.2)
            self.assertGreater(log.down_for_s(), 59.0)
            is_up = True
            await timer.advance(LONGEST_BACKOFF_S)
            await log.append("config", "{}")
            self.assertEqual(log.down_for_s(), 0.0)

        anyio.run(scenario)
