"""Tests of decoding the settings file that the platform writes."""

import tempfile
import unittest
from pathlib import Path

from _pistachiopond.http1.messages import HttpAddress
from _pistachiopond.platform.settings import read_vm_settings

SETTINGS = """
nodeName = "vm-1"
ip = "10.1.0.25"
zone = "here"
internalPortRange = [7600, 7615]
heartbeatMs = 1200
fieldOfALaterRelease = 1
[listen]
front = "10.1.0.25:8221"
ready = "10.1.0.25:8224"
[limits]
cpuShare = 0.5
cpuCores = 2
linkMbps = 100.0
[bounds]
revokeMs = 5000
drainMs = 2000
graceS = 8
budgetRatio = 0.2
budgetSlack = 56
[platform]
address = "10.200.1.7:8225"
"""


class SettingsTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.toml"

    def test_units_and_addresses_are_converted(self) -> None:
        self.path.write_text(SETTINGS)
        settings = read_vm_settings(self.path).unwrap()
        self.assertEqual(settings.bounds.revoke_s, 5.0)
        self.assertEqual(settings.bounds.stop_grace_s, 8.0)
        self.assertEqual(settings.bounds.lease_s, 3.0)
        self.assertEqual(settings.cpu_cores, 1.0)
        self.assertEqual(settings.peer_address, HttpAddress("10.1.0.25", 7600))
        self.assertEqual(settings.store_address, HttpAddress("10.200.1.7", 8225))

    def test_the_lease_may_be_set(self) -> None:
        self.path.write_text(SETTINGS.replace("[bounds]", "[bounds]\nleaseMs = 4500"))
        self.assertEqual(read_vm_settings(self.path).unwrap().bounds.lease_s, 4.5)

    def test_limits_of_the_machine_may_be_missing(self) -> None:
        self.path.write_text(SETTINGS)
        settings = read_vm_settings(self.path).unwrap()
        self.assertIsNone(settings.memory_bytes)
        self.assertIsNone(settings.max_descriptors)
        limits = "linkMbps = 100.0\nmemoryMb = 160\nfileDescriptors = 1638"
        self.path.write_text(SETTINGS.replace("linkMbps = 100.0", limits))
        settings = read_vm_settings(self.path).unwrap()
        self.assertEqual(settings.memory_bytes, 160_000_000)
        self.assertEqual(settings.max_descriptors, 1638)
        self.path.write_text(SETTINGS.replace("[bounds]", "memoryMb = inf\n[bounds]"))
        self.assertIn("memoryMb", read_vm_settings(self.path).unwrap_err())

    def test_errors_name_the_file_and_the_field(self) -> None:
        self.path.write_text(SETTINGS.replace("drainMs = 2000\n", ""))
        reason = read_vm_settings(self.path).unwrap_err()
        self.assertIn("drainMs", reason)
        self.assertIn(str(self.path), reason)

    def test_invalid_values_and_syntax_are_errors(self) -> None:
        for wrong in ('heartbeatMs = "soon"', "heartbeatMs = "):
            self.path.write_text(SETTINGS.replace("heartbeatMs = 1200", wrong))
            self.assertTrue(read_vm_settings(self.path).is_err())


if __name__ == "__main__":
    unittest.main()
