"""Tests of which of the store's records the leader relays."""

import unittest
from unittest.mock import patch

from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.server_notice import NO_NOTICE
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm import fleet as fleet_module
from _pistachiopond.vm.fleet import EXPIRY_HEARTBEATS, Fleet
from _pistachiopond.vm.topic_cache import TopicCache, TopicCallbacks
from testing.vm.deployment import server_entry

HEARTBEAT_S = 1.0


class TopicCacheTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        clock = patch.object(fleet_module, "boot_s", lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)
        self.fleet = Fleet("here", HEARTBEAT_S, 2.0)
        self.cache = TopicCache(
            TopicCallbacks(
                self.fleet.apply,
                self.fleet.apply_copied,
                self.fleet.mark_current,
                self.fleet.store_restored,
            ),
            is_versioned=False,
        )
        self.relayed: list[KeyedRecord] = []
        self.cache.on_change = self.relayed.extend
        self.offset = 0

    def write(self, **fields: object) -> int:
        """Apply the next record of one server; return how many records are relayed."""
        self.offset += 1
        more = {"sequence": self.offset, **fields}
        entry = server_entry("plain", "10.0.0.1:80", **more)
        value = b"" if fields == {"gone": True} else entry
        self.cache.apply(KeyedRecord(StorePosition(0, self.offset), "s1", value))
        count = len(self.relayed)
        self.relayed.clear()
        return count

    def test_changes_are_relayed_and_heartbeats_are_not(self) -> None:
        self.assertEqual(self.write(), 1)
        self.assertEqual([self.write() for _ in range(5)], [0] * 5)
        self.assertEqual(self.write(state="draining"), 1)
        self.assertEqual(self.write(state="draining"), 0)
        self.assertEqual(self.write(born=2_000), 1)
        self.assertEqual(self.write(gone=True), 1)
        self.assertEqual(self.write(gone=True), 0)
        self.assertEqual(self.write(), 1)

    def test_an_entry_that_says_what_an_answer_has_said_is_relayed(self) -> None:
        # Other VMs sent a leaving server requests until it ended, since the leader knew
        # from an answer that it left and did not relay the entry.
        self.write()
        server = self.fleet.servers["s1"]
        self.fleet.apply_notice(server, NO_NOTICE._replace(is_leaving=True))
        self.assertTrue(self.fleet.servers["s1"].is_leaving)
        self.assertEqual(self.write(), 0)
        self.assertEqual(self.write(state="draining"), 1)
        self.assertEqual(self.write(state="draining"), 0)
        self.assertEqual(self.write(gone=True), 1)
        self.assertEqual(self.write(gone=True), 0)

    def test_an_entry_rewritten_after_a_store_outage_is_relayed(self) -> None:
        self.write()
        self.cache.mark_current(self.now_s)
        self.now_s += 2 * EXPIRY_HEARTBEATS * HEARTBEAT_S
        self.cache.mark_current(self.now_s)
        self.assertEqual(self.write(gone=True), 1)
        self.assertIn("s1", self.fleet.servers)
        self.assertEqual(self.write(), 1)

    def test_a_new_member_gets_only_the_newest_record_of_a_key(self) -> None:
        self.write()
        self.write()
        offsets = [record.position.offset for record in self.cache.records()]
        self.assertEqual(offsets, [2])


if __name__ == "__main__":
    unittest.main()
