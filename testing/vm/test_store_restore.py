"""Tests of a store that comes back from a copy some seconds old."""

import asyncio
import json
import unittest
from collections.abc import Callable
from unittest.mock import patch

from _pistachiopond.platform.store import KeyedRecord, Snapshot
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm import configuration_state
from _pistachiopond.vm.leader_election import LEADER_KEY
from _pistachiopond.vm.program import Vm
from _pistachiopond.vm.topic_cache import REWRITE_S, TopicCache, TopicCallbacks
from testing.virtual_time import VirtualTimeTestCase
from testing.vm.cluster import Cluster
from testing.vm.deployment import configuration, running_deployment, wait_until

# How long the VMs may take to have an acting leader again.
LEADER_BACK_S = 4.0


def version_of(vm: Vm) -> int:
    return 0 if vm.state.table is None else vm.state.table.deployment.version


class LeaderTests(VirtualTimeTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        await self.cluster.start(4)
        await wait_until(lambda: bool(self.acting()), LEADER_BACK_S)
        self.fences = [self.acting()[0].placer._deps.leadership.claim.fence]

    async def asyncTearDown(self) -> None:
        await self.cluster.close()

    def acting(self) -> list[Vm]:
        now_s = configuration_state.boot_s()
        return [
            vm
            for name, vm in self.cluster.vms.items()
            if name in self.cluster.tasks and vm.placer._deps.leadership.may_act(now_s)
        ]

    async def assert_leader_returns(self) -> None:
        """Wait for an acting leader with a token higher than those before."""

        def has_new_leader() -> bool:
            acting = self.acting()
            self.assertLessEqual(len(acting), 1)
            fences = [vm.placer._deps.leadership.claim.fence for vm in acting]
            return bool(fences) and fences[0] > max(self.fences)

        await wait_until(has_new_leader, LEADER_BACK_S)
        self.fences.append(self.acting()[0].placer._deps.leadership.claim.fence)
        names = list(self.cluster.tasks)
        await wait_until(lambda: self.cluster.all_have_replies(names), 3.0)

    def write_version(self, version: int) -> None:
        value = json.dumps(configuration(version)).encode()
        self.cluster.store.put("keyed.op", "config", value)

    def all_vms(self, condition: Callable[[Vm], bool]) -> bool:
        return all(condition(self.cluster.vms[name]) for name in self.cluster.tasks)

    async def test_a_leader_whose_claim_was_lost_leads_again(self) -> None:
        copy = self.cluster.store.copy()
        copy["keyed.pond"] = []
        self.cluster.store.restore(copy)
        await self.assert_leader_returns()

    async def test_a_leader_whose_claim_is_in_the_copy_claims_again(self) -> None:
        self.cluster.store.restore(self.cluster.store.copy())
        await self.assert_leader_returns()

    async def test_a_second_restore_during_the_first_recovery(self) -> None:
        copy = self.cluster.store.copy()
        copy["keyed.pond"] = []
        self.cluster.store.restore(copy)
        await asyncio.sleep(0.7)
        self.cluster.store.restore(copy)
        await self.assert_leader_returns()

    async def test_the_leader_is_killed_while_the_store_is_away(self) -> None:
        copy = self.cluster.store.copy()
        self.cluster.store.refuses = lambda path: True
        await self.cluster.kill(self.cluster.leader())
        await asyncio.sleep(0.5)
        self.cluster.store.refuses = lambda path: False
        self.cluster.store.restore(copy)
        await self.assert_leader_returns()

    async def test_all_processes_are_killed_while_the_store_is_away(self) -> None:
        store = self.cluster.store
        copy = store.copy()
        address = next(iter(self.cluster.vms.values())).settings.store_address
        for name in list(self.cluster.vms):
            await self.cluster.kill(name)
        store.restore(copy)
        for name in list(self.cluster.vms):
            self.cluster.launch(name, address)
        await self.assert_leader_returns()

    async def test_a_process_that_starts_on_a_copy_accepts_no_withdrawn_key(
        self,
    ) -> None:
        # The copy still had a key that had been withdrawn, and all VMs were new.
        store = self.cluster.store
        copy = store.copy()
        plain = configuration(2)
        plain["tenants"][0]["apiKeys"] = ["other-key"]
        withdrawn = json.dumps(plain).encode()
        store.put("keyed.op", "config", withdrawn)
        await wait_until(lambda: self.all_vms(lambda vm: version_of(vm) == 2))
        address = next(iter(self.cluster.vms.values())).settings.store_address
        for name in list(self.cluster.vms):
            await self.cluster.kill(name)
        store.restore(copy)
        loop = asyncio.get_running_loop()
        returned_s = loop.time()
        for name in list(self.cluster.vms):
            self.cluster.launch(name, address)
        # What was lost is written again within about two seconds.
        while loop.time() < returned_s + 2.0:
            for vm in self.cluster.vms.values():
                may_use = vm.state.may_use_keys() and vm.state.table is not None
                self.assertFalse(may_use and version_of(vm) == 1)
                self.assertFalse(vm.state.is_fresh())
            await asyncio.sleep(0.05)
        store.put("keyed.op", "config", withdrawn)
        await wait_until(
            lambda: self.all_vms(
                lambda vm: version_of(vm) == 2 and vm.state.may_use_keys()
            ),
            2.0,
        )
        # One that starts beside a leader that knows need not wait.
        name = next(n for n in self.cluster.tasks if n != self.cluster.leader())
        await self.cluster.kill(name)
        self.cluster.launch(name, address)
        state = self.cluster.vms[name].state
        await wait_until(lambda: state.is_fresh() and state.may_use_keys(), 1.0)

    async def test_a_claim_appended_after_the_return_is_not_taken_for_valid(
        self,
    ) -> None:
        store = self.cluster.store
        copy = store.copy()
        store.hangs = lambda path: path == "/log-append"
        await self.cluster.kill(self.cluster.leader())
        await wait_until(lambda: "/log-append" in store.calls[-20:], 3.0)
        store.restore(copy)
        store.hangs = lambda path: False
        await self.assert_leader_returns()
        claims = [
            json.loads(value)
            for key, value in store.topics["keyed.pond"]
            if key == LEADER_KEY
        ]
        self.assertEqual(claims[-1]["era"], 1)

    async def test_a_configuration_written_at_a_repeated_offset_comes_into_force(
        self,
    ) -> None:
        for version in (2, 3, 4):
            self.write_version(version)
        copy = self.cluster.store.copy()
        for version in (5, 6, 7):
            self.write_version(version)
        await wait_until(lambda: self.all_vms(lambda vm: version_of(vm) == 7))
        self.cluster.store.restore(copy)
        for version in (8, 9, 10):
            self.write_version(version)
        await wait_until(lambda: self.all_vms(lambda vm: version_of(vm) == 10), 2.0)

    async def test_a_configuration_in_force_outlives_the_loss_of_its_record(
        self,
    ) -> None:
        copy = self.cluster.store.copy()
        self.write_version(7)
        await wait_until(lambda: self.all_vms(lambda vm: version_of(vm) == 7))
        self.cluster.store.restore(copy)
        await self.assert_leader_returns()
        self.assertTrue(self.all_vms(lambda vm: version_of(vm) == 7))
        # A VM that has read only the copy gets the newer version from the leader.
        address = next(iter(self.cluster.vms.values())).settings.store_address
        self.cluster.launch("vm-new", address)
        await wait_until(lambda: version_of(self.cluster.vms["vm-new"]) == 7)

    async def test_only_the_leader_reads_the_store_again(self) -> None:
        store = self.cluster.store
        store.restore(store.copy())
        store.calls.clear()
        await self.assert_leader_returns()
        snapshots = [path for path in store.calls if path == "/log-newest"]
        # Both topics, and the claims before and after the leader's new claim.
        self.assertLessEqual(len(snapshots), 6)


class CustomerTests(VirtualTimeTestCase):
    async def test_a_customer_far_below_its_limit_is_not_refused(self) -> None:
        """Two VMs, 10 requests a second of 1,000, and a store away for 3 s."""
        cluster = Cluster()
        customer = configuration(1)["tenants"][0] | {"plainTokens": 1}
        await cluster.start(2, tenants=[customer])
        self.addAsyncCleanup(cluster.close)
        await cluster.accept_callers("plain")
        store = cluster.store
        calls: list[asyncio.Task[int]] = []

        async def send_for(seconds: float) -> None:
            for _ in range(round(seconds * 10)):
                name = list(cluster.vms)[len(calls) % 2]
                calls.append(asyncio.ensure_future(cluster.call(name, "/once/x")))
                await asyncio.sleep(0.1)

        await send_for(2.5)
        copy = store.copy()
        store.refuses = lambda path: True
        await send_for(3.0)
        store.restore(copy)
        store.refuses = lambda path: False
        # Until the proof that no key was withdrawn is too old.
        await send_for(1.5)
        statuses = await asyncio.gather(*calls)
        self.assertEqual(
            [at for at, status in enumerate(statuses) if status == 429], []
        )
        self.assertIn(200, statuses[-15:])


class ServerTests(VirtualTimeTestCase):
    async def test_a_draining_server_is_not_taken_for_ready_again(self) -> None:
        async with running_deployment() as deployment:
            await deployment.add_server("s1", "plain")
            fleet = deployment.vm.fleet
            copy = deployment.store.copy()
            address = fleet.servers["s1"].address
            deployment.write_entry("s1", "plain", address, state="draining")
            await wait_until(lambda: fleet.servers["s1"].is_leaving)
            deployment.store.restore(copy)
            await asyncio.sleep(1.0)
            self.assertTrue(fleet.servers["s1"].is_leaving)

    async def test_a_removed_server_is_not_used_again_until_it_writes_its_entry(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            await deployment.add_server("s1", "plain")
            fleet = deployment.vm.fleet
            address = fleet.servers["s1"].address
            copy = deployment.store.copy()
            deployment.store.put("keyed.servers", "s1", b"")
            await wait_until(lambda: "s1" not in fleet.servers)
            deployment.store.restore(copy)
            await asyncio.sleep(1.0)
            self.assertNotIn("s1", fleet.servers)
            deployment.write_entry("s1", "plain", address, sequence=2)
            await wait_until(lambda: "s1" in fleet.servers)

    async def test_a_server_that_the_copy_lacks_is_kept_until_it_writes_again(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            await deployment.add_server("s1", "plain")
            fleet = deployment.vm.fleet
            copy = deployment.store.copy()
            for name in ("s2", "s3"):
                await deployment.add_server(name, "plain")
            address = fleet.servers["s2"].address
            deployment.store.restore(copy)
            for _ in range(10):
                await asyncio.sleep(0.1)
                fleet.remove_expired()
                self.assertIn("s2", fleet.servers)
            deployment.write_entry("s2", "plain", address, sequence=2)
            await asyncio.sleep(REWRITE_S)
            fleet.remove_expired()
            self.assertEqual(set(fleet.servers), {"s1", "s2"})


class KeyTests(VirtualTimeTestCase):
    async def test_a_copy_does_not_prove_that_no_key_was_withdrawn(self) -> None:
        async with running_deployment() as deployment:
            await deployment.add_server("s1", "plain")
            state = deployment.vm.state
            revoke_s = deployment.vm.settings.bounds.revoke_s
            # A VM that missed what was written in the last seconds.
            state._complete_as_of_s -= revoke_s
            deployment.store.hangs = lambda path: True
            deployment.store.restore(deployment.store.copy())
            deployment.store.hangs = lambda path: False
            await wait_until(lambda: state._complete_from_s > 0, 4.0)
            refused = await deployment.call("/once/x")
            self.assertEqual(refused.head.status, 503)
            await wait_until(state.may_use_keys, REWRITE_S + 1.5)
            served = await deployment.call("/once/x")
            self.assertEqual(served.head.status, 200)


class TopicCacheTests(unittest.TestCase):
    def setUp(self) -> None:
        self.seen: list[tuple[str, bytes]] = []
        self.restores = 0
        self.cache = self.make_cache(is_versioned=False)

    def make_cache(self, *, is_versioned: bool) -> TopicCache:
        def apply(record: KeyedRecord) -> bool:
            self.seen.append((record.key, record.value))
            return True

        def store_restored() -> None:
            self.restores += 1

        callbacks = TopicCallbacks(apply, apply, lambda at_s: None, store_restored)
        return TopicCache(callbacks, is_versioned=is_versioned)

    def test_an_offset_that_is_given_out_again_is_another_record(self) -> None:
        self.cache.apply(KeyedRecord(StorePosition(0, 5), "k", b"lost"))
        self.cache.apply(KeyedRecord(StorePosition(1, 3), "k", b"new"))
        self.assertEqual(self.seen, [("k", b"lost"), ("k", b"new")])
        self.assertEqual(self.restores, 1)

    def test_a_late_snapshot_of_an_earlier_era_changes_nothing(self) -> None:
        self.cache.apply(KeyedRecord(StorePosition(2, 1), "k", b"new"))
        record = KeyedRecord(StorePosition(1, 9), "k", b"old")
        is_applied = self.cache.replace(Snapshot((record,), StorePosition(1, 10)))
        self.assertFalse(is_applied)
        self.assertEqual(self.seen, [("k", b"new")])

    def test_a_late_proof_of_an_earlier_era_is_refused(self) -> None:
        self.cache.apply(KeyedRecord(StorePosition(1, 1), "k", b"new"))
        late = {"age_s": 0.0, "next_offset": 40, "era": 0}
        self.assertFalse(self.cache.take_proof(late, 0.0))
        self.assertIsNone(self.cache.next_position)

    def test_a_proof_does_not_stand_in_for_a_first_read(self) -> None:
        proof = {"age_s": 0.0, "next_offset": 40, "era": 0}
        self.assertFalse(self.cache.take_proof(proof, 0.0))
        self.assertIsNone(self.cache.next_position)
        self.cache.apply(KeyedRecord(StorePosition(0, 39), "k", b"relayed"))
        self.assertTrue(self.cache.take_proof(proof, 0.0))

    def test_a_copy_read_after_a_relayed_record_still_counts_as_a_copy(self) -> None:
        copied: list[str] = []

        def apply_copied(record: KeyedRecord) -> bool:
            copied.append(record.key)
            return False

        callbacks = self.cache._callbacks._replace(apply_copied=apply_copied)
        cache = TopicCache(callbacks, is_versioned=False)
        first = KeyedRecord(StorePosition(0, 5), "k", b"before")
        cache.replace(Snapshot((first,), StorePosition(0, 6)))
        cache.apply(KeyedRecord(StorePosition(1, 4), "other", b"relayed"))
        old = KeyedRecord(StorePosition(1, 2), "k", b"older")
        cache.replace(Snapshot((old,), StorePosition(1, 3)))
        self.assertIn("k", copied)
        copied.clear()
        newer = KeyedRecord(StorePosition(1, 9), "k", b"written again")
        cache.replace(Snapshot((newer,), StorePosition(1, 10)))
        self.assertEqual(copied, [])

    def test_an_emptied_store_deletes_and_takes_the_first_offset_again(self) -> None:
        self.cache.apply(KeyedRecord(StorePosition(0, 5), "k", b"lost"))
        self.cache.replace(Snapshot((), StorePosition(1, 0)))
        self.cache.apply(KeyedRecord(StorePosition(1, 0), "k", b"new"))
        self.assertEqual(self.seen, [("k", b"lost"), ("k", b""), ("k", b"new")])

    def test_a_versioned_record_that_the_store_lost_is_still_relayed(self) -> None:
        cache = self.make_cache(is_versioned=True)
        with patch.object(
            cache, "_callbacks", cache._callbacks._replace(apply_copied=lambda _: False)
        ):
            cache.apply(KeyedRecord(StorePosition(0, 5), "config", b"newest"))
            older = KeyedRecord(StorePosition(1, 3), "config", b"older")
            cache.replace(Snapshot((older,), StorePosition(1, 4)))
        self.assertEqual([record.value for record in cache.records()], [b"newest"])


if __name__ == "__main__":
    unittest.main()
