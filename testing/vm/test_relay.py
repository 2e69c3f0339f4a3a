"""Tests of what the leader passes on of the store's records."""

import unittest
from unittest.mock import patch

from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.vm import fleet as fleet_module
from _pistachiopond.vm.fleet import LAPSE_HEARTBEATS, Fleet
from _pistachiopond.vm.relay import TopicShelf, TopicView
from testing.vm.deployment import server_entry

HEARTBEAT_S = 1.0


class RelayTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        clock = patch.object(fleet_module, "boot_s", lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)
        self.fleet = Fleet("here", HEARTBEAT_S, 2.0)
        self.shelf = TopicShelf(TopicView(self.fleet.apply, self.fleet.reached))
        self.relayed: list[KeyedRecord] = []
        self.shelf.on_change = self.relayed.extend
        self.offset = 0

    def write(self, **fields: object) -> int:
        """Apply the next record of one server; return how many were passed on."""
        self.offset += 1
        more = {"sequence": self.offset, **fields}
        entry = server_entry("plain", "10.0.0.1:80", **more)
        value = b"" if fields == {"gone": True} else entry
        self.shelf.apply(KeyedRecord(self.offset, "s1", value))
        count = len(self.relayed)
        self.relayed.clear()
        return count

    def test_heartbeats_are_not_passed_on_and_changes_are(self) -> None:
        self.assertEqual(self.write(), 1)
        self.assertEqual([self.write() for _ in range(5)], [0] * 5)
        self.assertEqual(self.write(state="draining"), 1)
        self.assertEqual(self.write(state="draining"), 0)
        self.assertEqual(self.write(born=2_000), 1)
        self.assertEqual(self.write(gone=True), 1)
        self.assertEqual(self.write(gone=True), 0)
        self.assertEqual(self.write(), 1)

    def test_an_entry_that_is_back_after_a_lapse_is_passed_on(self) -> None:
        self.write()
        self.shelf.reached(self.now_s)
        self.now_s += 2 * LAPSE_HEARTBEATS * HEARTBEAT_S
        self.shelf.reached(self.now_s)
        self.assertEqual(self.write(gone=True), 1)
        self.assertIn("s1", self.fleet.servers)
        self.assertEqual(self.write(), 1)

    def test_a_new_member_hears_of_the_newest_record(self) -> None:
        self.write()
        self.write()
        self.assertEqual([record.offset for record in self.shelf.records()], [2])


if __name__ == "__main__":
    unittest.main()
