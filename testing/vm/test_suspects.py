"""Tests of requests that crash the servers that run them."""

import unittest

from _pistachiopond.decisions.crash_counts import CRASHES_TO_REFUSE
from _pistachiopond.http1.messages import HttpAddress
from testing.vm.deployment import World, running_world, until
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


if __name__ == "__main__":
    unittest.main()
