"""Tests of evacuated data centres with one VM, and of their records in the store."""

import asyncio
import json
import unittest
from collections.abc import Awaitable
from typing import Any
from unittest.mock import patch

from prometheus_client import generate_latest

from _pistachiopond.http1.messages import CompleteResponse
from _pistachiopond.platform.evacuations import is_evacuation_key
from _pistachiopond.platform.store import KeyedRecord, Snapshot
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm import topic_cache as topic_cache_module
from _pistachiopond.vm.topic_cache import (
    REWRITE_S,
    TopicCache,
    TopicCallbacks,
    from_relayed,
    to_relayed,
)
from testing.virtual_time import VirtualTimeTestCase
from testing.vm.deployment import (
    SingleVmDeployment,
    configuration,
    running_deployment,
    wait_until,
)
from testing.vm.fake_server import FakeServer, respond_ok, stream
from testing.vm.test_cut_from_servers import cut_off, refusing_address, running_cluster
from testing.vm.test_rate_pairs import RATE, call_many, with_rate

# Longer than a VM takes to read a record that was written to the store.
READ_S = 0.1


async def write(
    deployment: SingleVmDeployment, zone: str, value: bytes = b"{}"
) -> None:
    """Write an evacuation to the store, or its end, and let the VM read it."""
    deployment.store.put("keyed.op", f"evacuate/{zone}", value)
    await asyncio.sleep(READ_S)


async def north_and_south(
    deployment: SingleVmDeployment, service: str = "plain"
) -> tuple[FakeServer, FakeServer]:
    """Add a server in each of two data centres: n and s, or ne and se for engines."""
    suffix = "" if service == "plain" else "e"
    north = await deployment.add_server(f"n{suffix}", service, zone="north")
    return north, await deployment.add_server(f"s{suffix}", service, zone="south")


def call_model(deployment: SingleVmDeployment) -> Awaitable[CompleteResponse]:
    """Send a request for a model."""
    return deployment.call("/model/x", X_Model="m1", X_Deadline_Ms="3000")


async def call_refused(
    test: unittest.TestCase, deployment: SingleVmDeployment, path: str, **headers: str
) -> None:
    """Check that a request is refused at once."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    refused = await deployment.call(path, **headers)
    test.assertEqual(refused.head.status, 503)
    test.assertIsNotNone(refused.head.value(b"retry-after"))
    test.assertLess(loop.time() - began_s, 0.1)


class EvacuationTests(VirtualTimeTestCase):
    async def test_nothing_is_sent_there_until_the_evacuation_ends(self) -> None:
        async with running_deployment() as deployment:
            north, south = await north_and_south(deployment)
            await write(deployment, "north")
            for _ in range(20):
                self.assertEqual((await deployment.call("/open/x")).head.status, 200)
            self.assertEqual((len(north.requests), len(south.requests)), (0, 20))
            await write(deployment, "north", b"")
            await call_many(deployment, 20)
            self.assertGreater(len(north.requests), 0)

    async def test_requests_are_refused_at_once_if_all_servers_are_evacuated(
        self,
    ) -> None:
        """Guards against waits in vain: two data centres, and one whose other failed.

        A request for a model waits for a load only if a server may get one.
        """
        async with running_deployment() as deployment:
            await north_and_south(deployment)
            await north_and_south(deployment, "engines")
            await write(deployment, "north")
            await write(deployment, "south")
            for path in ("/open/x", "/stream/x"):
                await call_refused(self, deployment, path)
            await call_refused(self, deployment, "/model/x", X_Model="m1")
            await write(deployment, "south", b"")
            self.assertEqual((await deployment.call("/open/x")).head.status, 200)
            deployment.store.put("keyed.servers", "s", b"")
            await asyncio.sleep(1.0)
            await call_refused(self, deployment, "/open/x")

    async def test_a_request_that_waits_for_its_model_is_refused_then(self) -> None:
        async with running_deployment() as deployment:
            await north_and_south(deployment, "engines")
            for server in deployment.servers.values():
                server.order_status = 503
            call = asyncio.ensure_future(call_model(deployment))
            await asyncio.sleep(0.3)
            self.assertFalse(call.done())
            await write(deployment, "north")
            self.assertFalse(call.done())
            await write(deployment, "south")
            self.assertTrue(call.done())
            self.assertEqual(call.result().head.status, 503)

    async def test_a_server_that_replaces_one_there_gets_nothing(self) -> None:
        async with running_deployment() as deployment:
            north, south = await north_and_south(deployment)
            await write(deployment, "north")
            address = deployment.vm.fleet.servers["n"].address
            deployment.write_entry("n", "plain", address, zone="north", born=2_000)
            await deployment.add_server("n2", "plain", zone="north")
            await call_many(deployment, 10)
            self.assertEqual(len(south.requests), 10)
            # The entry says where the server is, so one that moves is used.
            deployment.write_entry("n", "plain", address, zone="west", born=3_000)
            await asyncio.sleep(1.0)
            await call_many(deployment, 20)
            self.assertGreater(len(north.requests), 0)
            self.assertEqual(len(deployment.servers["n2"].requests), 0)

    async def test_a_request_whose_connection_opens_late_is_not_sent_there(
        self,
    ) -> None:
        """Guards against a request that was under way to the server by then."""
        async with running_deployment() as deployment:
            north, south = await north_and_south(deployment)
            await write(deployment, "south")
            pool = deployment.vm.pools.pool_of(deployment.vm.fleet.servers["n"])
            acquire, may_open = pool.acquire, asyncio.Event()

            async def acquire_late(*arguments: Any) -> Any:
                await may_open.wait()
                return await acquire(*arguments)

            pool.acquire = acquire_late
            call = asyncio.ensure_future(deployment.call("/once/x"))
            await asyncio.sleep(0.05)
            await write(deployment, "south", b"")
            await write(deployment, "north")
            may_open.set()
            self.assertEqual((await call).head.status, 200)
            self.assertEqual((len(north.requests), len(south.requests)), (0, 1))

    async def test_running_requests_continue_and_are_counted_until_they_end(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            north, _ = await north_and_south(deployment)
            may_end = asyncio.Event()

            async def respond_late(request: Any, responder: Any) -> None:
                await may_end.wait()
                await stream(1, 3)(request, responder)

            north.steps = [respond_late]
            await write(deployment, "south")
            call = asyncio.ensure_future(deployment.call("/stream/x"))
            await asyncio.sleep(0.05)
            await write(deployment, "south", b"")
            await write(deployment, "north")
            vm = deployment.vm
            text = generate_latest(vm.metrics.registry).decode()
            self.assertIn('pond_evacuated_running{data_centre="north"} 1.0', text)
            self.assertRegex(text, r'pond_evacuated_s{data_centre="north"} 0\.\d+')
            vm.evacuations.log_progress()
            may_end.set()
            self.assertEqual((await call).head.status, 200)
            with self.assertLogs("absl", "INFO") as logs:
                vm.evacuations.log_progress()
            vm.evacuations.log_progress()
            lines = [item.fields for item in logs.records if hasattr(item, "fields")]
            self.assertEqual([item["running"] for item in lines], [0])

    async def test_what_cannot_be_read_costs_nothing_but_a_log_line(self) -> None:
        """Guards against an evacuation that a typing error begins or ends."""
        async with running_deployment() as deployment:
            _, south = await north_and_south(deployment)
            await write(deployment, "north")
            for zone, value in (
                ("north", b"no JSON"),
                ("south", b"[]"),
                ("south", b"\xff"),
                ("", b"{}"),
                ("nowhere", b"{}"),
            ):
                with self.subTest(zone=zone, value=value):
                    before = len(south.requests)
                    with self.assertLogs("absl", "INFO"):
                        await write(deployment, zone, value)
                    await call_many(deployment, 5)
                    self.assertEqual(len(south.requests), before + 5)
            deployment.write_configuration(configuration(7))
            await wait_until(lambda: deployment.vm.state.table.deployment.version == 7)

    async def test_a_model_that_is_only_there_is_loaded_elsewhere(self) -> None:
        async with running_deployment() as deployment:
            north, south = await north_and_south(deployment, "engines")
            model = [{"name": "m1", "adapters": []}]
            north.models = model
            address = deployment.vm.fleet.servers["ne"].address
            deployment.write_entry("ne", "engines", address, zone="north", models=model)
            await asyncio.sleep(1.0)
            self.assertEqual((await call_model(deployment)).head.status, 200)
            await write(deployment, "north")
            call = asyncio.ensure_future(call_model(deployment))
            await asyncio.sleep(0.5)
            self.assertEqual([order["model"] for order in south.orders], ["m1"])
            south.models = model
            address = deployment.vm.fleet.servers["se"].address
            deployment.write_entry("se", "engines", address, zone="south", models=model)
            self.assertEqual((await call).head.status, 200)
            self.assertEqual((len(north.requests), len(south.requests)), (1, 1))
            self.assertEqual(north.orders, [])

    async def test_a_server_with_a_rate_gets_nothing_and_then_its_rate(self) -> None:
        async with running_deployment() as deployment:
            north, south = await north_and_south(deployment)
            north.steps = [with_rate()] * 1_000
            south.steps = [respond_ok] * 1_000
            await call_many(deployment, 20)
            await asyncio.sleep(1.0)
            await write(deployment, "north")
            before = len(north.requests)
            await call_many(deployment, 20)
            self.assertEqual(len(north.requests), before)
            await write(deployment, "north", b"")
            await write(deployment, "south")
            await call_many(deployment, 40)
            self.assertLessEqual(len(north.requests) - before, RATE + 2)

    async def test_another_vm_checks_a_request_that_is_passed_on(self) -> None:
        """Guards against a VM cut off from the servers that does not know as much."""
        async with running_cluster(servers=1) as (deployment, cluster):
            await write(deployment, "here")
            # The leader lists the other VMs once they have reported to it.
            relays = deployment.vm.relays
            await wait_until(lambda: relays.choose("plain", ()) is not None)
            with refusing_address() as address:
                cut_off(deployment.vm, address)
                deployment.vm.fleet.set_evacuated(())
                responses = [await deployment.call("/open/x") for _ in range(8)]
            registries = [vm.metrics.registry for vm in cluster.vms.values()]
            name = "pond_requests_taken_over_total"
            taken = sum(item.get_sample_value(name) or 0.0 for item in registries)
            self.assertGreater(taken, 0.0)
            self.assertEqual({item.head.status for item in responses}, {503})
            self.assertEqual(deployment.servers["s0"].requests, [])

    async def test_a_leader_whose_only_servers_are_evacuated_keeps_the_lead(
        self,
    ) -> None:
        """Guards against an end of the lead, and requests passed on, for no reason."""
        async with running_deployment() as deployment:
            await north_and_south(deployment)
            await write(deployment, "north")
            await write(deployment, "south")
            vm = deployment.vm
            for name in ("n", "s") * 3:
                vm.reach.record_connect(vm.fleet.servers[name], "failed")
            self.assertFalse(vm.reach.is_unreachable("plain"))


KEY = "evacuate/north"
NEW = StorePosition(1, 30)


class RecordTests(unittest.TestCase):
    """Tests of the cache of the operators' topic."""

    def setUp(self) -> None:
        self.now_s = 100.0
        clock = patch.object(topic_cache_module, "boot_s", lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)
        self.cache, self.values, self.relayed = self.make_cache()

    def make_cache(self) -> tuple[TopicCache, dict[str, bytes], list[KeyedRecord]]:
        """Return a cache, what its receiver was told last, and what it relays."""
        values: dict[str, bytes] = {}

        def apply(record: KeyedRecord) -> bool:
            if record.key == "config":
                is_newer = record.value > values.get("config", b"")
                if is_newer:
                    values["config"] = record.value
                return is_newer
            is_other = values.get(record.key, b"") != record.value
            values[record.key] = record.value
            return is_other

        callbacks = TopicCallbacks(apply, apply, lambda at_s: None, lambda: None)
        cache = TopicCache(
            callbacks, is_versioned=True, is_unversioned_key=is_evacuation_key
        )
        relayed: list[KeyedRecord] = []
        cache.on_change = relayed.extend
        return cache, values, relayed

    def write(self, era: int, offset: int, value: bytes, key: str = KEY) -> None:
        self.cache.apply(KeyedRecord(StorePosition(era, offset), key, value))

    def is_set(self) -> bool:
        return bool(self.values.get(KEY))

    def read_snapshot(self, end: StorePosition, **records: tuple[int, bytes]) -> None:
        """Read a snapshot; the records are named `config` and `evacuate`."""
        found = [
            KeyedRecord(
                StorePosition(end.era, offset),
                "config" if name == "config" else KEY,
                value,
            )
            for name, (offset, value) in records.items()
        ]
        self.cache.replace(Snapshot(tuple(found), end))
        self.cache.mark_current(self.now_s)

    def test_the_latest_of_several_records_counts(self) -> None:
        """Guards against a relayed record that is older than a deletion."""
        self.write(0, 5, b"{}")
        self.write(0, 7, b"")
        self.write(0, 5, b"{}")
        self.assertFalse(self.is_set())
        self.write(0, 9, b"{}")
        self.assertTrue(self.is_set())
        self.assertEqual([item.position.offset for item in self.relayed], [5, 7, 9])
        held = {item.key: item.value for item in self.cache.records()}
        self.assertEqual(held, {KEY: b"{}"})

    def test_a_deletion_is_found_in_a_snapshot(self) -> None:
        """Guards against a late snapshot, too: it does not delete a newer record."""
        self.write(0, 5, b"{}")
        self.read_snapshot(StorePosition(0, 5), config=(1, b"1"))
        self.assertTrue(self.is_set())
        self.read_snapshot(StorePosition(0, 20), config=(1, b"1"))
        self.assertFalse(self.is_set())
        self.assertEqual(self.relayed[-1].value, b"")
        # A leader of an older build, which keeps deleted records, connects.
        self.write(0, 5, b"{}")
        self.assertFalse(self.is_set())

    def test_a_record_that_the_own_snapshot_lacks_is_not_taken_from_a_leader(
        self,
    ) -> None:
        """Guards against an evacuation that has ended, from a leader that missed it."""
        self.read_snapshot(StorePosition(0, 20), config=(1, b"1"))
        self.write(0, 5, b"{}")
        self.assertFalse(self.is_set())
        self.write(0, 20, b"{}")
        self.assertTrue(self.is_set())

    def test_a_record_that_an_older_copy_lacks_is_kept_until_it_is_written_again(
        self,
    ) -> None:
        """Guards against requests to a data centre before the operators can write."""
        self.write(0, 25, b"{}")
        self.write(0, 26, b"7", "config")
        self.read_snapshot(StorePosition(1, 20), config=(3, b"5"))
        self.now_s += REWRITE_S - 0.1
        self.cache.mark_current(self.now_s)
        self.assertTrue(self.is_set())
        # A member that connects gets it, and keeps it for as long.
        cache, values, _ = self.make_cache()
        self.cache.next_position, leader = StorePosition(1, 20), self.cache
        for record in leader.records():
            cache.apply(from_relayed(to_relayed("keyed.op", record)))
        self.assertTrue(values[KEY])
        self.now_s += 0.2
        self.cache.mark_current(self.now_s)
        self.assertFalse(self.is_set())
        self.assertEqual((self.relayed[-1].key, self.relayed[-1].value), (KEY, b""))
        cache.apply(from_relayed(to_relayed("keyed.op", self.relayed[-1])))
        self.assertFalse(values[KEY])
        # The configuration stays, although the store has lost its version.
        self.assertEqual(self.values["config"], b"7")
        self.write(1, 20, b"{}")
        self.assertTrue(self.is_set())

    def test_a_record_that_is_written_again_stays(self) -> None:
        """Guards against a gap, and members that are not told of the new record."""
        self.write(0, 25, b"{}")
        member, member_values, _ = self.make_cache()
        member.apply(self.cache.records()[0])
        member.mark_current(self.now_s)
        self.read_snapshot(StorePosition(1, 20), config=(3, b"5"))
        self.write(1, 21, b"{}")
        for record in self.relayed:
            member.apply(from_relayed(to_relayed("keyed.op", record)))
        self.now_s += REWRITE_S + 0.1
        for cache, values in ((self.cache, self.values), (member, member_values)):
            cache.mark_current(self.now_s)
            self.assertTrue(values[KEY])

    def test_a_member_whose_leader_is_lost_meanwhile_keeps_no_lost_record(
        self,
    ) -> None:
        """Guards against an evacuation that no VM ends.

        The member knows the new era from a proof and reads on from there, so it reads
        no snapshot that lacks the record.
        """
        self.write(0, 25, b"{}")
        proof = {"age_s": 0.0, "next_offset": 20, "era": 1, "relays_deletions": True}
        self.assertTrue(self.cache.take_proof(proof, self.now_s))
        self.assertTrue(self.is_set())
        self.now_s += REWRITE_S + 0.1
        self.assertTrue(self.is_set())
        self.cache.mark_current(self.now_s)
        self.assertFalse(self.is_set())

    def test_what_is_known_holds_while_the_store_is_away(self) -> None:
        self.write(0, 25, b"{}")
        self.write(1, 3, b"5", "config")
        self.now_s += 60.0
        self.cache.mark_current(self.now_s - 59.0)
        self.assertTrue(self.is_set())

    def test_the_copy_of_an_earlier_deletion_does_not_end_an_evacuation(self) -> None:
        """Guards against a store whose snapshots list deleted keys."""
        self.write(0, 25, b"{}")
        self.read_snapshot(StorePosition(1, 20), evacuate=(19, b""))
        self.assertTrue(self.is_set())
        # One that is written after the return does.
        self.write(1, 20, b"")
        self.assertFalse(self.is_set())

    def test_a_copy_with_an_evacuation_that_has_ended_begins_it_again(self) -> None:
        """The copy may also be of a store that got the evacuation just now."""
        self.write(0, 5, b"{}")
        self.write(0, 25, b"")
        self.read_snapshot(StorePosition(1, 20), evacuate=(5, b"{}"))
        self.assertTrue(self.is_set())
        self.write(1, 20, b"")
        self.assertFalse(self.is_set())

    def test_a_leader_of_an_older_build_proves_nothing_about_evacuations(self) -> None:
        """Guards against members that wait for records which it does not relay."""
        self.write(0, 5, b"5", "config")
        proof = json.loads('{"age_s": 0.0, "next_offset": 20, "era": 0}')
        self.assertFalse(self.cache.take_proof(proof, self.now_s))
        self.assertTrue(self.cache.take_proof(self.cache.proof() | proof, self.now_s))


if __name__ == "__main__":
    unittest.main()
