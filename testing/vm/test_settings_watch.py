"""Tests of settings that change while the process runs."""

import tempfile
import unittest
from pathlib import Path

from _pistachiopond.platform.settings import read_vm_settings
from _pistachiopond.schema.vm_settings import VmBounds
from _pistachiopond.vm.settings_watch import SettingsWatch
from testing.platform_adapter.test_settings import SETTINGS

GRACE = "graceS = 8"


class SettingsWatchTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.toml"
        self.path.write_text(SETTINGS)
        self.taken: list[VmBounds] = []
        settings = read_vm_settings(self.path).unwrap()
        self.watch = SettingsWatch(self.path, settings, self.taken.append)

    def test_changed_bounds_are_taken_once(self) -> None:
        self.assertIn(GRACE, SETTINGS)
        self.path.write_text(SETTINGS.replace(GRACE, "graceS = 5"))
        self.watch.look()
        self.watch.look()
        self.assertEqual([bounds.stop_grace_s for bounds in self.taken], [5.0])

    def test_a_file_that_cannot_be_read_changes_nothing_and_is_logged_once(
        self,
    ) -> None:
        self.path.write_text("graceS = ")
        with self.assertLogs("absl", level="WARNING") as logs:
            self.watch.look()
            self.watch.look()
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.taken, [])

    def test_what_cannot_change_now_is_named(self) -> None:
        changed = SETTINGS.replace("heartbeatMs = 1200", "heartbeatMs = 900")
        self.assertNotEqual(changed, SETTINGS)
        self.path.write_text(changed)
        with self.assertLogs("absl", level="INFO") as logs:
            self.watch.look()
        self.assertEqual(logs.records[0].fields["names"], ["heartbeat_s"])
        self.assertEqual(self.taken, [])


if __name__ == "__main__":
    unittest.main()
