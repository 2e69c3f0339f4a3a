"""A VM's process beside entries that other writers have put among the servers' ones."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Final

import anyio

from _pistachiopond.http1.client import connect
from _pistachiopond.http1.messages import HttpAddress, encode_request
from testing.live.vm_processes import (
    CALLER_PORT,
    loopback_ip,
    parse_line,
    start_vm_program,
    wait_until,
)
from testing.odd_values import odd_messages
from testing.vm.deployment import configuration, listen, request_head, server_entry
from testing.vm.fake_server import FakeServer
from testing.vm.fake_store import FakeStore
from tools.processes import Program

CHECKOUT: Final = Path(__file__).resolve().parents[2]
NAME: Final = "vm-a"
CALLS: Final = 20
SERVERS_TOPIC: Final = "keyed.servers"
KEYS: Final = ("s 1", "s\r\nX-Other: b", "\u00e4", "\x00", "k" * 255)


class OddEntriesTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, number: int) -> int:
        """Send a request; return the status of its answer."""
        address = HttpAddress(loopback_ip(NAME), CALLER_PORT)
        connection = await connect(address, 1.0)
        connection.send(encode_request(request_head("/open/x", number), b"body"))
        head = await connection.read_head()
        connection.close()
        return head.status

    async def wait_until_serving(self, program: Program) -> None:
        with anyio.fail_after(60.0):
            while True:
                self.assertTrue(program.is_running(), "the process has ended")
                try:
                    if await self.call(0) == 200:
                        return
                except Exception:
                    # It does not listen yet, or not on a whole configuration.
                    await anyio.sleep(0.1)
                    continue
                await anyio.sleep(0.1)

    async def check_serving(self, program: Program) -> None:
        statuses = [await self.call(number) for number in range(1, CALLS + 1)]
        self.assertEqual(statuses, [200] * CALLS)
        self.assertTrue(program.is_running())

    async def test_entries_of_other_writers_end_no_process(self) -> None:
        # The process ended at an entry with an infinite number, deep nesting or half of
        # a surrogate pair, and again after each start.
        store = FakeStore()
        store_server, store_address = await listen(store.handle)
        sound = FakeServer("sound")
        sound_server, sound_address = await listen(sound.handle)
        entry = server_entry("plain", "{}:{}".format(*sound_address))
        store.put("keyed.op", "config", json.dumps(configuration(1)).encode())
        store.put(SERVERS_TOPIC, "sound", entry)
        odd = [message.text for message in odd_messages(json.loads(entry))]
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            address = "{}:{}".format(*store_address)
            program = start_vm_program(CHECKOUT, NAME, folder, address)
            try:
                await self.wait_until_serving(program)
                for number, value in enumerate(odd):
                    # Entries of a service of its own, since some may be valid.
                    other = value.replace(b'"plain"', b'"other"')
                    store.put(SERVERS_TOPIC, f"odd-{number}", other)
                for key in KEYS:
                    store.put(SERVERS_TOPIC, key, entry.replace(b"plain", b"other"))
                store.put(SERVERS_TOPIC, "last", entry)
                logs = program.out_path
                await wait_until(
                    "the last entry",
                    lambda: '"server": "last"' in logs.read_text("utf-8"),
                )
                await self.check_serving(program)
                program.kill()
                program = start_vm_program(CHECKOUT, NAME, folder, address)
                await self.wait_until_serving(program)
                await self.check_serving(program)
                lines = [
                    parse_line(line)
                    for path in folder.glob("*.out")
                    for line in path.read_text("utf-8").splitlines()
                ]
            finally:
                program.kill()
                store_server.close()
                sound_server.close()
        messages = [line.get("message") for line in lines]
        self.assertIn("server entry cannot be read", messages)
        self.assertNotIn("unexpected exception", messages)


if __name__ == "__main__":
    unittest.main()
