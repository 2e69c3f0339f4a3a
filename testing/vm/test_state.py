"""Tests of the configuration in force, keys, limits and what is refused."""

import asyncio
import json
import unittest
from unittest.mock import patch

from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from _pistachiopond.vm import state as state_module
from testing.vm.deployment import configuration, route, running_world, until
from testing.vm.fake_server import answer_not_run, answer_ok


class ConfigurationTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_withdrawn_key_stops_and_a_new_route_works(self) -> None:
        async with running_world() as world:
            await world.add_server("s1", "plain")
            self.assertEqual((await world.call("/safe/x")).head.status, 200)
            self.assertEqual((await world.call("/new/x")).head.status, 404)
            plain = configuration(2)
            plain["routes"].append(route("new", "safe", "plain", anonymous=True))
            plain["tenants"][0]["apiKeys"] = ["other-key"]
            world.configure(plain)
            await until(lambda: world.vm.state.table.deployment.version == 2)
            self.assertEqual((await world.call("/safe/x")).head.status, 401)
            self.assertEqual((await world.call("/new/x")).head.status, 200)

    async def test_a_version_never_goes_back(self) -> None:
        async with running_world() as world:
            world.configure(configuration(5))
            await until(lambda: world.vm.state.table.deployment.version == 5)
            world.configure(configuration(4))
            world.store.put("keyed.op", "config", b"not a configuration")
            world.configure(configuration(6))
            seen = set()
            for _ in range(30):
                seen.add(world.vm.state.table.deployment.version)
                await asyncio.sleep(0.01)
            self.assertLessEqual(seen, {5, 6})
            self.assertEqual(world.vm.state.table.deployment.version, 6)

    async def test_history_that_is_gone_loses_nothing(self) -> None:
        async with running_world() as world:
            await world.add_server("s1", "plain")
            for topic in ("keyed.op", "keyed.servers"):
                world.store.forget_history(topic)
            world.configure(configuration(9))
            await until(lambda: world.vm.state.table.deployment.version == 9, 5.0)
            self.assertIn("s1", world.vm.fleet.servers)

    async def test_the_store_is_seen_again_soon_after_its_return(self) -> None:
        async with running_world() as world:
            world.store.hangs = lambda path: True
            await asyncio.sleep(3.2)
            world.store.hangs = lambda path: False
            returned_s = asyncio.get_running_loop().time()
            await until(lambda: world.vm.state.age_s() < 0.8, 5.0)
            waited_s = asyncio.get_running_loop().time() - returned_s
            self.assertLess(waited_s, 2.0)

    async def test_keys_are_refused_when_a_withdrawal_could_be_unknown(self) -> None:
        async with running_world() as world:
            await world.add_server("s1", "plain")
            limit_s = world.vm.settings.bounds.revoke_s
            later_s = state_module.boot_s() + limit_s
            with patch.object(state_module, "boot_s", lambda: later_s):
                refused = await world.call("/once/x")
                unknown = await world.call("/nowhere/x")
                opened = await world.call("/open/x")
            self.assertEqual(refused.head.status, 503)
            self.assertEqual(unknown.head.status, 503)
            self.assertEqual(opened.head.status, 200)

    async def test_before_any_configuration_nothing_is_said_to_be_missing(self) -> None:
        async with running_world() as world:
            world.vm.state.table = None
            answer = await world.call("/safe/x")
            self.assertEqual(answer.head.status, 503)
            self.assertIsNotNone(answer.head.value(b"retry-after"))


class ServersTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_leaving_server_gets_no_new_work(self) -> None:
        async with running_world() as world:
            first = await world.add_server("s1", "plain")
            second = await world.add_server("s2", "plain")
            address = world.vm.fleet.servers["s1"].address
            world.describe("s1", "plain", address, state="draining")
            await until(lambda: world.vm.fleet.servers["s1"].is_leaving)
            for _ in range(6):
                await world.call("/safe/x")
            self.assertEqual((len(first.requests), len(second.requests)), (0, 6))

    async def test_an_entry_of_another_writer_names_no_server(self) -> None:
        async with running_world() as world:
            await world.add_server("s1", "plain")
            world.store.put("keyed.servers", "s9", b"{")
            world.store.put("keyed.servers", "s8", json.dumps({"service": 3}).encode())
            answer = await world.call("/safe/x")
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(set(world.vm.fleet.servers), {"s1"})

    async def test_a_servers_new_start_replaces_the_old_one(self) -> None:
        async with running_world() as world:
            await world.add_server("s1", "plain")
            server = world.vm.fleet.servers["s1"]
            world.describe("s1", "plain", server.address, born=9_000)
            await until(lambda: world.vm.fleet.servers["s1"].started_ms == 9_000)
            world.describe("s1", "plain", server.address, born=1_000)
            await asyncio.sleep(0.3)
            self.assertEqual(world.vm.fleet.servers["s1"].started_ms, 9_000)


class LimitTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_customer_gets_no_more_than_its_limit(self) -> None:
        async with running_world() as world:
            await world.add_server("s1", "plain")
            await asyncio.sleep(0.5)
            statuses = [
                (await world.call("/safe/x", X_Token_Counts="250,50")).head.status
                for _ in range(12)
            ]
            self.assertIn(429, statuses)
            self.assertLessEqual(statuses.count(200) * 300, 1000 + 1000 * 3)

    async def test_a_request_that_has_not_run_costs_nothing(self) -> None:
        async with running_world() as world:
            await asyncio.sleep(1.0)
            for _ in range(12):
                answer = await world.call("/safe/x", X_Token_Counts="250,50")
                self.assertEqual(answer.head.status, 503)


class ModelTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_waits_for_its_model_to_be_loaded(self) -> None:
        async with running_world() as world:
            server = await world.add_server("e1", "engines")
            address = world.vm.fleet.servers["e1"].address
            caller = asyncio.ensure_future(
                world.call("/model/x", X_Model="m1", X_Deadline_Ms="3000")
            )
            await until(lambda: bool(server.orders), 4.0)
            self.assertEqual(server.orders[0]["operation"], "load")
            models = [{"name": "m1", "version": 1, "adapters": []}]
            world.describe("e1", "engines", address, models=models)
            self.assertEqual((await caller).head.status, 200)

    async def test_after_a_refusal_by_fence_no_more_orders_are_given(self) -> None:
        async with running_world() as world:
            server = await world.add_server("e1", "engines")
            server.order_status = 412
            caller = asyncio.ensure_future(
                world.call("/model/x", X_Model="m1", X_Deadline_Ms="2500")
            )
            await until(lambda: bool(server.orders), 4.0)
            await caller
            await asyncio.sleep(1.0)
            fences = [order["fence"] for order in server.orders]
            self.assertEqual(len(set(fences)), len(fences))

    async def test_a_server_that_is_busy_with_an_order_is_tried_again_later(
        self,
    ) -> None:
        async with running_world() as world:
            server = await world.add_server("e1", "engines")
            server.models = [{"name": "m1", "version": 1, "adapters": []}]
            address = world.vm.fleet.servers["e1"].address
            world.describe("e1", "engines", address, models=server.models)
            await until(lambda: "m1" in world.vm.fleet.servers["e1"].models)
            until_s = asyncio.get_running_loop().time() + 0.25

            async def busy(request: Request, responder: Responder) -> None:
                is_busy = asyncio.get_running_loop().time() < until_s
                await (answer_not_run if is_busy else answer_ok)(request, responder)

            server.steps = [busy] * 9
            answer = await world.call("/model/x", X_Model="m1", X_Deadline_Ms="3000")
            self.assertEqual(answer.head.status, 200)


if __name__ == "__main__":
    unittest.main()
