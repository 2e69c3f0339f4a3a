"""Tests of evacuated data centres with several VMs whose leader or store is in trouble.

Each run sends requests to all VMs all the time, and looks at when they reach a data
centre.
"""

import asyncio
import random
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, Final, final

from _pistachiopond.http1.client import ExchangeError, connect
from _pistachiopond.http1.messages import HttpAddress, Request, encode_request
from _pistachiopond.http1.server import Responder
from _pistachiopond.vm.topic_cache import REWRITE_S
from testing.virtual_time import VirtualTimeTestCase
from testing.vm.cluster import Cluster
from testing.vm.deployment import (
    MAX_BODY_BYTES,
    listen,
    request_head,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import FakeServer, respond_ok

# The operators' bound on the time from the store's acknowledgement of an evacuation
# until the last request reaches the data centre, and its extension by an unstable
# store.
EVACUATION_S: Final = 5.0
UNSTABLE_STORE_S: Final = 6.0
# With a leader that relays, an evacuation is known sooner.
RELAYED_S: Final = 0.5
ZONES: Final = ("north", "south")
CALLS_PER_S: Final = 40
KEY: Final = "evacuate/north"


@final
class EvacuatedCluster:
    """Three VMs, two servers in each of two data centres, and callers.

    Each VM has its own way to the store. Answers to VMs in `cut_from_store` are lost.
    """

    def __init__(self) -> None:
        self.cluster = Cluster()
        self.cut_from_store: set[str] = set()
        self.arrived_s: dict[str, list[float]] = {zone: [] for zone in ZONES}
        self.statuses: list[int] = []
        self._rng = random.Random(7)
        self._addresses: dict[str, HttpAddress] = {}
        self._listening: list[asyncio.Server] = []
        self._calls: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all and wait until every VM knows the servers and a leader."""
        await self.cluster.start(0)
        for number in range(3):
            await self.launch(f"vm-{number}")
        for zone in ZONES:
            for number in range(2):
                server = FakeServer(f"{zone}-{number}")
                server.steps = [self._note_arrival(zone)] * 100_000
                entry = server_entry("plain", await self._listen(server), zone=zone)
                self.cluster.store.put("keyed.servers", server.server_id, entry)
        for name in list(self.cluster.vms):
            await self.accept_callers(name)
        await wait_until(lambda: self.cluster.all_have_replies(list(self._addresses)))

    def _note_arrival(self, zone: str) -> Callable[..., Awaitable[None]]:
        async def step(request: Request, responder: Responder) -> None:
            self.arrived_s[zone].append(asyncio.get_running_loop().time())
            await respond_ok(request, responder)

        return step

    async def _listen(self, server: FakeServer) -> str:
        listening, address = await listen(server.handle)
        self._listening.append(listening)
        return f"{address.ip}:{address.port}"

    async def launch(self, name: str) -> None:
        """Start a VM."""

        async def pass_on(request: Request, responder: Responder) -> None:
            respond = responder.respond

            async def respond_unless_cut(*answer: Any) -> None:
                if name in self.cut_from_store:
                    responder.abort()
                else:
                    await respond(*answer)

            responder.respond = respond_unless_cut
            await self.cluster.store.handle(request, responder)

        listening, address = await listen(pass_on)
        self._listening.append(listening)
        self.cluster.launch(name, address)

    async def accept_callers(self, name: str) -> None:
        """Send a VM callers, once it knows the servers."""
        vm = self.cluster.vms[name]
        await wait_until(lambda: len(vm.fleet.servers) == 4 and vm.state.is_fresh(), 9)
        listening, address = await listen(vm.request_handler.handle)
        self._listening.append(listening)
        self._addresses[name] = address

    async def kill(self, *names: str) -> None:
        """Kill VMs; their callers go to the others."""
        for name in names:
            self._addresses.pop(name, None)
            await self.cluster.kill(name)

    async def restart(self, *names: str) -> None:
        """Start VMs that were killed."""
        for name in names:
            await self.launch(name)
        for name in names:
            await self.accept_callers(name)

    def write(self, value: bytes) -> float:
        """Write the evacuation of north, or its end; return the time."""
        self.cluster.store.put("keyed.op", KEY, value)
        return asyncio.get_running_loop().time()

    def known(self) -> set[bool]:
        """Return whether the running VMs know north as evacuated."""
        vms = [self.cluster.vms[name] for name in self.cluster.tasks]
        return {"north" in vm.fleet.evacuated for vm in vms}

    async def run_calls(self) -> None:
        """Send requests at random until cancelled, to VMs that say they are ready.

        While none does, they go to all, as a balancer would send them.
        """
        while True:
            names = sorted(self._addresses)
            vms = self.cluster.vms
            names = [name for name in names if vms[name].state.is_fresh()] or names
            if names:
                address = self._addresses[self._rng.choice(names)]
                call = asyncio.ensure_future(self._call(address))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            await asyncio.sleep(1.0 / CALLS_PER_S)

    async def _call(self, address: HttpAddress) -> None:
        try:
            connection = await connect(address, 1.0)
            head = request_head("/open/x", len(self.statuses))
            connection.send(encode_request(head, b"body"))
            response = await connection.read_head()
            await connection.read_body(MAX_BODY_BYTES)
        except ExchangeError:
            return
        connection.close()
        self.statuses.append(response.status)

    def count(self, zone: str, from_s: float, until_s: float = float("inf")) -> int:
        """Return how many requests have reached a data centre in a time."""
        return sum(from_s <= at_s < until_s for at_s in self.arrived_s[zone])

    async def close(self) -> None:
        """End all."""
        for call in list(self._calls):
            call.cancel()
        for listening in self._listening:
            listening.close()
        await self.cluster.close()


@asynccontextmanager
async def running_evacuated_cluster() -> AsyncIterator[EvacuatedCluster]:
    """Run a cluster with callers that reaches both data centres."""
    world = EvacuatedCluster()
    await world.start()
    calls = asyncio.ensure_future(world.run_calls())
    try:
        await wait_until(lambda: all(world.arrived_s.values()))
        yield world
    finally:
        calls.cancel()
        await world.close()


def now_s() -> float:
    """Return the event loop's time."""
    return asyncio.get_running_loop().time()


class EvacuatedClusterTests(VirtualTimeTestCase):
    async def test_all_vms_follow_the_record_also_new_ones_and_the_next_leader(
        self,
    ) -> None:
        async with running_evacuated_cluster() as world:
            written_s = world.write(b"{}")
            await asyncio.sleep(RELAYED_S)
            self.assertEqual(world.known(), {True})
            leader = world.cluster.leader()
            await world.kill(leader)
            await asyncio.sleep(3.0)
            await world.restart(leader)
            await asyncio.sleep(2.0)
            self.assertEqual(world.count("north", written_s + RELAYED_S), 0)
            self.assertGreater(world.count("south", written_s + RELAYED_S), 0)
            ended_s = world.write(b"")
            await asyncio.sleep(1.0)
            self.assertEqual(world.known(), {False})
            self.assertGreater(world.count("north", ended_s), 0)

    async def test_all_vms_killed_while_a_data_centre_is_evacuated(self) -> None:
        """Guards against processes that take callers before they know of it.

        Their tail of the store begins after the record, so a snapshot must show it.
        """
        async with running_evacuated_cluster() as world:
            written_s = world.write(b"{}")
            names = list(world.cluster.tasks)
            await world.kill(*names)
            await asyncio.sleep(0.5)
            await world.restart(*names)
            await asyncio.sleep(3.0)
            self.assertEqual(world.count("north", written_s + RELAYED_S), 0)
            self.assertGreater(world.count("south", written_s + RELAYED_S), 0)

    async def test_the_leader_is_killed_just_before_an_evacuation(self) -> None:
        async with running_evacuated_cluster() as world:
            await world.kill(world.cluster.leader())
            written_s = world.write(b"{}")
            await asyncio.sleep(EVACUATION_S + 1.0)
            self.assertEqual(world.known(), {True})
            self.assertEqual(world.count("north", written_s + EVACUATION_S), 0)

    async def test_the_leader_is_cut_off_from_the_store_before_an_evacuation(
        self,
    ) -> None:
        """Guards against members that go on waiting for its relay.

        The leader itself is not in touch. It cannot know, and gets no callers since it
        is not ready, until it reaches the store again.
        """
        async with running_evacuated_cluster() as world:
            leader = world.cluster.leader()
            world.cut_from_store.add(leader)
            await asyncio.sleep(0.2)
            written_s = world.write(b"{}")
            await asyncio.sleep(EVACUATION_S + 2.0)
            self.assertFalse(world.cluster.vms[leader].fleet.evacuated)
            self.assertEqual(world.count("north", written_s + EVACUATION_S), 0)
            self.assertGreater(world.count("south", written_s + EVACUATION_S), 0)
            world.cut_from_store.clear()
            healed_s = now_s()
            await asyncio.sleep(5.0)
            self.assertEqual(world.known(), {True})
            self.assertEqual(world.count("north", healed_s), 0)

    async def test_the_store_is_away_and_what_is_known_holds(self) -> None:
        async with running_evacuated_cluster() as world:
            written_s = world.write(b"{}")
            await asyncio.sleep(RELAYED_S)
            world.cluster.store.refuses = lambda path: True
            await asyncio.sleep(4.0)
            world.cluster.store.refuses = lambda path: False
            await asyncio.sleep(2.0)
            self.assertEqual(world.known(), {True})
            self.assertEqual(world.count("north", written_s + RELAYED_S), 0)

    async def test_an_older_copy_without_the_evacuation_that_is_written_again(
        self,
    ) -> None:
        """Guards against a gap, also if the leader dies and VMs start meanwhile."""
        for is_leader_killed in (False, True):
            with self.subTest(is_leader_killed=is_leader_killed):
                async with running_evacuated_cluster() as world:
                    copy = world.cluster.store.copy()
                    written_s = world.write(b"{}")
                    await asyncio.sleep(RELAYED_S)
                    world.cluster.store.restore(copy)
                    await asyncio.sleep(0.5)
                    if is_leader_killed:
                        await world.kill(world.cluster.leader())
                    await asyncio.sleep(1.4)
                    world.write(b"{}")
                    await asyncio.sleep(UNSTABLE_STORE_S)
                    self.assertEqual(world.known(), {True})
                    self.assertEqual(world.count("north", written_s + RELAYED_S), 0)

    async def test_an_older_copy_without_an_evacuation_that_is_given_up(self) -> None:
        """Guards against VMs that never learn that nobody wants it any more."""
        for is_leader_killed in (False, True):
            with self.subTest(is_leader_killed=is_leader_killed):
                async with running_evacuated_cluster() as world:
                    copy = world.cluster.store.copy()
                    world.write(b"{}")
                    await asyncio.sleep(RELAYED_S)
                    restored_s = now_s()
                    world.cluster.store.restore(copy)
                    await asyncio.sleep(0.5)
                    if is_leader_killed:
                        await world.kill(world.cluster.leader())
                    await asyncio.sleep(REWRITE_S - 0.6)
                    self.assertEqual(world.count("north", restored_s), 0)
                    await asyncio.sleep(4.0)
                    self.assertEqual(world.known(), {False})
                    self.assertGreater(world.count("north", restored_s + REWRITE_S), 0)

    async def test_an_older_copy_and_the_loss_of_all_vms(self) -> None:
        """Nobody knows what was lost; what is written again is followed."""
        async with running_evacuated_cluster() as world:
            copy = world.cluster.store.copy()
            world.write(b"{}")
            await asyncio.sleep(RELAYED_S)
            names = list(world.cluster.tasks)
            await world.kill(*names)
            world.cluster.store.restore(copy)
            starts = asyncio.ensure_future(world.restart(*names))
            await asyncio.sleep(2.0)
            written_s = world.write(b"{}")
            await starts
            await asyncio.sleep(2.0)
            self.assertEqual(world.known(), {True})
            self.assertEqual(world.count("north", written_s + RELAYED_S), 0)

    async def test_a_leader_of_an_older_build_relays_no_evacuations(self) -> None:
        """Guards against members that know of an evacuation late, or never of its end.

        Such a leader sends the record when a member connects, also when it has ended.
        """
        async with running_evacuated_cluster() as world:
            leader = world.cluster.vms[world.cluster.leader()]
            cache = leader.topic_caches["keyed.op"]
            proof = cache.proof

            def old_proof() -> object:
                known = dict(proof())
                del known["relays_deletions"]
                return known

            cache.proof = old_proof
            cache.on_change = lambda records: None
            await asyncio.sleep(1.0)
            for value in (b"{}", b""):
                world.write(value)
                await asyncio.sleep(2.5)
                self.assertEqual(world.known(), {bool(value)})


if __name__ == "__main__":
    unittest.main()
