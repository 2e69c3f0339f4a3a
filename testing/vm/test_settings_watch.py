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
        self.applied: list[VmBounds] = []
        settings = read_vm_settings(self.path).unwrap()
        self.watch = SettingsWatch(self.path, settings, self.applied.append)

    def test_changed_bounds_are_applied_once(self) -> None:
        self.assertIn(GRACE, SETTINGS)
        self.path.write_text(SETTINGS.replace(GRACE, "graceS = 5"))
        self.watch.check()
        self.watch.check()
        self.assertEqual([bounds.stop_grace_s for bounds in self.applied], [5.0])

    def test_an_unreadable_file_changes_nothing_and_is_logged_once(
        self,
    ) -> None:
        self.path.write_text("graceS = ")
        with self.assertLogs("absl", level="WARNING") as logs:
            self.watch.check()
            self.watch.check()
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.applied, [])

    def test_settings_that_need_a_restart_are_logged(self) -> None:
        changed = SETTINGS.replace("heartbeatMs = 1200", "heartbeatMs = 900")
        self.assertNotEqual(changed, SETTINGS)
        self.path.write_text(changed)
        with self.assertLogs("absl", level="INFO") as logs:
            self.watch.check()
        self.assertEqual(logs.records[0].fields["names"], ["heartbeat_s"])
        self.assertEqual(self.applied, [])


if __name__ == "__main__":
    unittest.main()
