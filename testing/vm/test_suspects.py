"""Tests of requests that crash the servers that run them."""

import unittest
from unittest.mock import patch

from _pistachiopond.decisions.crash_counts import CRASHES_TO_REFUSE
from _pistachiopond.http1.messages import HttpAddress
from _pistachiopond.platform.servers import decode_server
from _pistachiopond.vm import suspects as suspects_module
from _pistachiopond.vm.suspects import MOST_REMEMBERED, REMEMBERED_S, Suspects
from testing.vm.deployment import World, running_world, server_entry, until
from testing.vm.fake_server import FakeServer, break_connection


async def crash(world: World, server: FakeServer, path: str, started_ms: int) -> int:
    """Let the request at `path` crash the server; return the caller's answer."""
    server.steps = [break_connection]
    address = world.vm.fleet.servers[server.server_id].address
    answer = await world.call(path)
    await restart(world, server, address, started_ms)
    return answer.head.status


async def restart(
    world: World, server: FakeServer, address: HttpAddress, started_ms: int
) -> None:
    """Register the server's next start, as after a crash."""
    world.describe(server.server_id, "plain", address, born=started_ms)
    fleet = world.vm.fleet
    await until(lambda: fleet.incarnations()[server.server_id] == started_ms)


class SuspectTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_crashes_its_servers_is_refused(
        self,
    ) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            for number in range(CRASHES_TO_REFUSE):
                status = await crash(world, server, "/once/x", 2_000 + number)
                self.assertEqual(status, 502)
                await until(lambda: not world.vm.suspects.is_empty())
            await until(world.vm.suspects.has_refused)
            ran = len(server.requests)
            refused = await world.call("/once/x")
            self.assertEqual(refused.head.status, 503)
            self.assertGreater(float(refused.head.value(b"retry-after") or 0), 1.0)
            self.assertEqual(len(server.requests), ran)
            # Other requests of the same caller run as before.
            other = await world.call("/once/y")
            self.assertEqual(other.head.status, 200)

    async def test_a_request_that_ran_well_in_between_is_not_refused(self) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            for number in range(CRASHES_TO_REFUSE + 1):
                await crash(world, server, "/once/x", 2_000 + number)
                await until(lambda: not world.vm.suspects.is_empty())
                answer = await world.call("/once/x")
                self.assertEqual(answer.head.status, 200)
                await until(world.vm.suspects.is_empty)

    async def test_a_new_leader_hears_of_the_crashes_again(self) -> None:
        async with running_world() as world:
            server = await world.add_server("s1", "plain")
            await crash(world, server, "/once/x", 2_000)
            await until(lambda: not world.vm.suspects.is_empty())
            world.vm.suspects.leader_changed()
            cutoffs, _ = world.vm.suspects.take_news()
            self.assertEqual([c.server_id for c in cutoffs], ["s1"])


class RememberedTests(unittest.TestCase):
    def test_old_ones_make_room_for_new_ones(self) -> None:
        server = decode_server("s1", server_entry("plain", "10.0.0.1:80")).unwrap()
        now_s = [0.0]
        with patch.object(suspects_module, "boot_s", lambda: now_s[0]):
            suspects = Suspects()
            for number in range(MOST_REMEMBERED + 5):
                suspects.cut_off(f"f{number}", server)
            self.assertEqual(len(suspects.take_news()[0]), MOST_REMEMBERED)
            now_s[0] = REMEMBERED_S + 1.0
            suspects.cut_off("new", server)
            self.assertEqual([c.fingerprint for c in suspects.take_news()[0]], ["new"])


if __name__ == "__main__":
    unittest.main()
