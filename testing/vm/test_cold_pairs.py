"""Tests of cold servers beside other limits, and of what VMs know of them."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from unittest.mock import patch

from _pistachiopond.decisions.shared_limits import CustomerBalances
from _pistachiopond.decisions.stream_versions import ServedModel
from _pistachiopond.http1.messages import HttpAddress, ResponseHead
from _pistachiopond.platform.servers import decode_notice
from _pistachiopond.vm.fleet import RankedServer
from testing.virtual_time import VirtualTimeTestCase
from testing.vm.cluster import Cluster
from testing.vm.cold_servers import COLD_PER_S, COLD_START_S, cold_services
from testing.vm.deployment import (
    SingleVmDeployment,
    configuration,
    running_deployment,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import FakeServer, stream
from testing.vm.test_brittle_servers import SLOTS, SlottedServer
from testing.vm.test_rate_pairs import call_many, with_rate
from testing.vm.test_server_notices import respond

UNUSED = "127.0.0.1:1"


@asynccontextmanager
async def cold_deployment(**more: Any) -> AsyncIterator[SingleVmDeployment]:
    """Run a VM whose configuration has a cold rate; `more` is of the service."""
    async with running_deployment() as deployment:
        plain = configuration(2, services=cold_services(**more))
        deployment.write_configuration(plain)
        vm = deployment.vm
        await wait_until(lambda: vm.state.table.deployment.version == 2)
        await wait_until(lambda: vm.leader_client.member_count() == 1)
        yield deployment


async def add_cold(
    deployment: SingleVmDeployment, name: str, **more: Any
) -> FakeServer:
    """Add a server whose entry says that it is cold."""
    cold_ms = COLD_START_S * 1000.0
    return await deployment.add_server(name, "plain", coldRemainingMs=cold_ms, **more)


async def call_for(deployment: SingleVmDeployment, seconds: float) -> list[int]:
    """Send 40 requests a second; return the statuses."""
    statuses: list[int] = []
    calls = []
    for _ in range(round(seconds / 0.25)):
        calls.append(asyncio.ensure_future(call_many(deployment, 10)))
        await asyncio.sleep(0.25)
    for statuses_of_one in await asyncio.gather(*calls):
        statuses += statuses_of_one
    return statuses


class ColdPairTests(VirtualTimeTestCase):
    async def test_a_cold_server_that_names_a_rate_gets_the_lower_one(self) -> None:
        async with cold_deployment() as deployment:
            server = await add_cold(deployment, "s1")
            server.steps = [with_rate("4")] * 1_000
            await call_many(deployment, 1)
            before = len(server.requests)
            await call_for(deployment, 2.0)
            self.assertLessEqual(len(server.requests) - before, 4.0 * 2.5 + 2)
            await asyncio.sleep(COLD_START_S)
            fleet = deployment.vm.fleet
            self.assertEqual(fleet.rates.cold(asyncio.get_running_loop().time()), {})
            self.assertEqual(fleet.rate_limited(), {"s1"})

    async def test_a_cold_server_with_a_crash_limit_keeps_to_both(self) -> None:
        async with cold_deployment() as deployment:
            server = await add_cold(deployment, "s1", slots=1)
            server.steps = [respond(200, Server_Brittle="1")] * 1_000
            await call_for(deployment, 2.0)
            self.assertLessEqual(len(server.requests), COLD_PER_S * 2.5 + 2)
            self.assertGreater(len(server.requests), 0)

    async def test_requests_with_a_place_keep_to_the_share_of_a_brittle_server(
        self,
    ) -> None:
        """Guards against refusals there of requests that got their places at once."""
        async with cold_deployment() as deployment:
            server = await add_cold(deployment, "s1")
            behaviour = SlottedServer(0.3)
            server.steps = [behaviour.step] * 1_000
            await call_many(deployment, 1)
            await call_many(deployment, 20)
            self.assertEqual(len(behaviour.refused_s), 0)
            self.assertGreater(behaviour.served, SLOTS)

    async def test_a_request_without_a_place_does_not_wait_for_a_share(self) -> None:
        """Guards against places of a brittle server that are asked for in a loop."""
        async with cold_deployment() as deployment:
            server = await add_cold(deployment, "s1")
            server.steps = [SlottedServer(0.02).step] * 1_000
            await call_many(deployment, 1)
            statuses = await call_for(deployment, 2.0)
            counts = deployment.vm.leader_client.places.counts
            self.assertLessEqual(counts["leader", "lacking"], 1.5 * len(statuses))
            self.assertGreater(statuses.count(200), COLD_PER_S * 1.5)

    async def test_a_server_that_restarts_cold_has_no_known_speed(self) -> None:
        """Guards against a choice by the speed of an earlier start, or by none."""
        async with cold_deployment() as deployment:
            vm = deployment.vm
            for name in ("s1", "s2"):
                await deployment.add_server(name, "plain")
            await asyncio.sleep(COLD_START_S)
            told = {("s1", 1_000): 3.0, ("s2", 1_000): 0.4}
            vm.leader_server._speeds.adopt(told)
            vm.fleet.set_speeds(told)
            s1, s2 = (RankedServer(vm.fleet.servers[n], 0.0) for n in ("s1", "s2"))
            vm.fleet.own_load |= {"s1": 2, "s2": 2}
            self.assertAlmostEqual(vm.fleet.cost(s1), 2 / 4 / 3.0)
            self.assertAlmostEqual(vm.fleet.cost(s2), 2 / 4 / 0.4)
            pace = {
                "number": 1,
                "places": [["s1", 0.0, 4, 0.1], ["s2", 0.0, 4, 0.0]],
                "gap_aim_s": 0.15,
                "most_s": 0.1,
            }
            handle = vm.leader_server._handle_message
            self.assertEqual(handle({"pace": pace})["paced"]["place"], 0)
            entry = server_entry("plain", UNUSED, born=2_000, coldRemainingMs=3000)
            deployment.store.put("keyed.servers", "s1", entry)
            await wait_until(lambda: vm.fleet.servers["s1"].started_ms == 2_000)
            s1 = RankedServer(vm.fleet.servers["s1"], 0.0)
            self.assertAlmostEqual(vm.fleet.cost(s1), 2 / 4)
            vm.leader_server._speeds.adopt(told | {("s2", 1_000): 1.0})
            self.assertEqual(handle({"pace": pace})["paced"]["place"], 1)

    async def test_a_prompt_that_pacing_refuses_has_not_run(self) -> None:
        """Guards against a lost Retry-After or charge beside servers that are cold.

        While all of a model's servers are cold, places decide and pacing is not asked.
        """
        models = [{"name": "m1", "version": 1, "adapters": []}]
        headers = {"X_Model": "m1", "X_Token_Counts": "5,5"}
        plain, engines = cold_services()
        engines |= {"coldPerS": COLD_PER_S, "coldStartS": COLD_START_S}
        async with running_deployment() as deployment:
            services = [plain, engines]
            deployment.write_configuration(configuration(2, services=services))
            vm = deployment.vm
            await wait_until(lambda: vm.state.table.deployment.version == 2)
            server = await deployment.add_server("s1", "engines", models=models)
            server.models = models
            await asyncio.sleep(COLD_START_S)
            starts = vm.leader_server.starts
            with (
                patch.object(starts, "refuse", return_value=1.25) as refuse,
                patch.object(CustomerBalances, "refund") as refund,
            ):
                answer = await deployment.call("/model/x", **headers)
                self.assertEqual(answer.head.status, 503)
                self.assertEqual(answer.head.value(b"retry-after"), b"1.250")
                self.assertEqual(refuse.call_count, 1)
                self.assertEqual(server.requests, [])
                cold_ms = COLD_START_S * 1000.0
                address = vm.fleet.servers["s1"].address
                deployment.write_entry(
                    "s1", "engines", address, models=models, coldRemainingMs=cold_ms
                )
                await wait_until(lambda: bool(vm.fleet.rates.cold(now_s())))
                calls = (deployment.call("/model/x", **headers) for _ in range(40))
                answers = await asyncio.gather(*calls)
            statuses = Counter(answer.head.status for answer in answers)
            self.assertEqual(set(statuses), {200, 503})
            self.assertEqual(refund.call_count, 1 + statuses[503])
            self.assertEqual(statuses[200], len(server.requests))
            for answer in answers:
                if answer.head.status == 503:
                    self.assertIsNotNone(answer.head.value(b"retry-after"))
            self.assertEqual(refuse.call_count, 1)

    async def test_a_stream_goes_on_at_the_cold_server_of_its_version(self) -> None:
        async with cold_deployment() as deployment:
            new = await deployment.add_server("s2", "plain", version="v2")
            await asyncio.sleep(COLD_START_S)
            old = await add_cold(deployment, "s1", version="v1")
            old.steps = [stream(3, 4)]
            origins = deployment.vm.leader_client.origins
            origins.started("request-0", ServedModel("plain", ""), "v1")
            response = await deployment.call(
                "/resume/x", Last_Event_Id="2", Resumes="request-0"
            )
            self.assertEqual(response.head.status, 200)
            self.assertEqual(len(old.requests), 1)
            self.assertEqual(len(new.requests), 0)

    async def test_requests_that_wait_go_on_when_the_cold_phase_ends(self) -> None:
        async with cold_deployment(coldPerS=1.0) as deployment:
            server = await add_cold(deployment, "s1")
            loop = asyncio.get_running_loop()
            await asyncio.sleep(COLD_START_S - 0.5)
            began_s = loop.time()
            self.assertEqual(await call_many(deployment, 8), [200] * 8)
            self.assertLess(loop.time() - began_s, 1.0)
            self.assertEqual(len(server.requests), 8)

    async def test_without_a_cold_rate_nothing_changes(self) -> None:
        for stated in ({"coldPerS": 0}, {"coldPerS": None}):
            async with cold_deployment(**stated) as deployment:
                server = await add_cold(deployment, "s1")
                server.steps = [respond(200, X_Cold_Ms="9000")] * 100
                self.assertEqual(await call_many(deployment, 40), [200] * 40)
                counts = deployment.vm.leader_client.places.counts
                self.assertEqual(counts.total(), 0)

    async def test_entries_that_count_down_are_not_relayed(self) -> None:
        async with cold_deployment() as deployment:
            relayed: list[str] = []
            cache = deployment.vm.topic_caches["keyed.servers"]
            cache.on_change = lambda records: relayed.extend(r.key for r in records)
            for left_ms in (3000, 1800, 600, 0):
                entry = server_entry("plain", UNUSED, coldRemainingMs=left_ms)
                deployment.store.put("keyed.servers", "s1", entry)
                await asyncio.sleep(1.2)
            self.assertEqual(relayed, ["s1"])
            # It becomes cold again.
            entry = server_entry("plain", UNUSED, coldRemainingMs=3000)
            deployment.store.put("keyed.servers", "s1", entry)
            await asyncio.sleep(1.2)
            self.assertEqual(relayed, ["s1"] * 2)

    async def test_an_odd_cold_time_does_not_cost_the_server(self) -> None:
        async with cold_deployment() as deployment:
            for odd in ("soon", None, -5, 1e300, [3000], True):
                await deployment.add_server(f"s-{odd}", "plain", coldRemainingMs=odd)
            server = deployment.servers["s-soon"]
            server.steps = [respond(200, X_Cold_Ms="-nan")] * 100
            await asyncio.sleep(COLD_START_S + 0.1)
            self.assertEqual(await call_many(deployment, 20), [200] * 20)

    async def test_a_place_for_a_member_of_another_build_is_dealt(self) -> None:
        async with cold_deployment() as deployment:
            await add_cold(deployment, "s1")
            known = [["s1", 1_000, COLD_PER_S]]
            request = {"number": 3, "servers": known, "most_s": 1.0, "rank": 0}
            handle = deployment.vm.leader_server._handle_message
            reply = handle(json.loads(json.dumps({"place": request})))
            self.assertEqual(reply["placed"]["index"], 0)
            self.assertEqual(handle({"rates": []}), {})
            odd = {"rates": [], "cold": [["s9", 1, 2.0], ["s1", 1_000, 9.0]]}
            self.assertEqual(handle(odd), {})
            now_s = asyncio.get_running_loop().time()
            left_s = deployment.vm.fleet.rates.cold(now_s)[("s1", 1_000)]
            self.assertAlmostEqual(left_s, 9.0, 1)


class ColdKnowledgeTests(VirtualTimeTestCase):
    async def test_all_vms_know_what_an_answer_says_and_a_new_one_what_is_cold(
        self,
    ) -> None:
        cluster = Cluster()
        await cluster.start(3, services=cold_services())
        loop = asyncio.get_running_loop()
        try:
            entry = server_entry("plain", UNUSED, coldRemainingMs=0)
            cluster.store.put("keyed.servers", "s1", entry)
            vms = list(cluster.vms.values())
            await wait_until(lambda: all("s1" in vm.fleet.servers for vm in vms))
            self.assertEqual([vm.fleet.rates.cold(loop.time()) for vm in vms], [{}] * 3)
            follower = next(
                vm for name, vm in cluster.vms.items() if name != cluster.leader()
            )
            notice = respond_head_notice(2500)
            follower.fleet.apply_notice(follower.fleet.servers["s1"], notice)
            await asyncio.sleep(0.1)
            for vm in vms:
                self.assertIn(("s1", 1_000), vm.fleet.rates.cold(loop.time()))
            # An entry without the field, and a VM that starts now: it is warm for it.
            cluster.store.put("keyed.servers", "s2", server_entry("plain", UNUSED))
            await asyncio.sleep(0.5)
            self.assertIn(("s2", 1_000), vms[0].fleet.rates.cold(loop.time()))
            store = HttpAddress(*cluster.server.sockets[0].getsockname())
            await asyncio.sleep(COLD_START_S)
            cluster.launch("vm-9", store)
            started = cluster.vms["vm-9"].fleet
            await wait_until(lambda: started.is_loaded and "s2" in started.servers)
            self.assertEqual(started.rates.cold(loop.time()), {})
        finally:
            await cluster.close()


def now_s() -> float:
    """Return the event loop's time."""
    return asyncio.get_running_loop().time()


def respond_head_notice(cold_ms: int) -> Any:
    """Return what an answer with the header says."""
    return decode_notice(ResponseHead(200, [(b"X-Cold-Ms", b"%d" % cold_ms)]))
