"""Tests of servers that name a rate beside other reasons to send them less."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from _pistachiopond.decisions.server_rates import PLACE_VALID_S
from _pistachiopond.decisions.stream_versions import ServedModel
from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from testing.virtual_time import VirtualTimeLoop, VirtualTimeTestCase
from testing.vm.deployment import (
    SingleVmDeployment,
    refusing_address,
    running_deployment,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import FakeServer, Step, attempt_of, respond_not_run, stream
from testing.vm.test_cut_from_servers import cut_off, running_cluster

MODEL_ENTRY = {"models": [{"name": "m1", "version": 1, "adapters": []}]}
RATE = 2.0
STREAM_HEADERS = {"X_Model": "m1", "X_Deadline_Ms": "3000"}


def with_rate(rate: str = f"{RATE}", status: int = 200, **headers: str) -> Step:
    """Return a step that answers and names a rate."""

    async def step(request: Request, responder: Responder) -> None:
        named = [
            (b"X-Attempt-Id", attempt_of(request)),
            (b"X-Server-Seal", b"seal"),
            (b"Server-Limit", rate.encode()),
        ]
        named += [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in headers.items()
        ]
        await responder.respond(status, named, b"done")

    return step


async def call_many(
    deployment: SingleVmDeployment, count: int, path: str = "/open/x", **headers: str
) -> list[int]:
    """Send requests at once; return the statuses."""
    calls = [deployment.call(path, **headers) for _ in range(count)]
    return [response.head.status for response in await asyncio.gather(*calls)]


@asynccontextmanager
async def one_rated_server(
    step: Step, **more: object
) -> AsyncIterator[tuple[SingleVmDeployment, FakeServer]]:
    """Run a VM whose only server of the plain service has named its rate."""
    async with running_deployment() as deployment:
        server = await deployment.add_server("s1", "plain", **more)
        server.steps = [step] * 10_000
        await deployment.call("/open/x")
        await wait_until(lambda: deployment.vm.leader_client.member_count() == 1)
        yield deployment, server


class RatePairTests(VirtualTimeTestCase):
    async def test_what_finds_no_place_is_refused_at_once_with_a_time(self) -> None:
        async with one_rated_server(with_rate()) as (deployment, _):
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            ended_s: list[float] = []

            async def call() -> tuple[int, bytes | None]:
                response = await deployment.call("/open/x")
                if response.head.status != 200:
                    ended_s.append(loop.time() - began_s)
                return response.head.status, response.head.value(b"retry-after")

            answers = await asyncio.gather(*(call() for _ in range(20)))
        refused = [retry_after for status, retry_after in answers if status == 503]
        self.assertGreaterEqual(len(refused), 15)
        self.assertLess(max(ended_s), 0.1)
        for retry_after in refused:
            self.assertGreater(float(retry_after or 0.0), 0.0)

    async def test_a_rated_server_with_a_crash_limit_keeps_to_both(self) -> None:
        step = with_rate(Server_Brittle="1")
        async with one_rated_server(step, slots=1) as (deployment, server):
            before = len(server.requests)
            for _ in range(4):
                await call_many(deployment, 10)
                await asyncio.sleep(0.8)
            self.assertLessEqual(len(server.requests) - before, RATE * 5.0 + 2)
            self.assertGreater(len(server.requests), before)

    async def test_a_pause_holds_although_there_is_a_place(self) -> None:
        async with one_rated_server(with_rate()) as (deployment, server):
            server.steps = [
                with_rate(status=503, X_Not_Executed="1", Retry_After="5")
            ] * 100
            await asyncio.sleep(2.0)
            await call_many(deployment, 3)
            self.assertEqual(deployment.vm.fleet.paused(), {"s1"})
            before = len(server.requests)
            await asyncio.sleep(2.0)
            self.assertEqual(await call_many(deployment, 3), [503] * 3)
            self.assertEqual(len(server.requests), before)

    async def test_a_leaving_server_with_a_rate_gets_nothing_beside_another(
        self,
    ) -> None:
        step = with_rate(Server_Leaving="1")
        async with one_rated_server(step) as (deployment, server):
            await deployment.add_server("s2", "plain")
            before = len(server.requests)
            self.assertEqual(await call_many(deployment, 20), [200] * 20)
            self.assertEqual(len(server.requests), before)

    async def test_a_request_that_a_rated_server_refuses_takes_another_place(
        self,
    ) -> None:
        async with one_rated_server(with_rate()) as (deployment, server):
            await asyncio.sleep(3.0)
            server.steps = [respond_not_run, respond_not_run, *[with_rate()] * 9]
            before = len(server.requests)
            for _ in range(4):
                await call_many(deployment, 1)
                await asyncio.sleep(0.5)
            self.assertGreaterEqual(len(server.requests) - before, 3)
            self.assertLessEqual(len(server.requests) - before, RATE * 3.0 + 2)

    async def test_a_stream_goes_on_at_a_rated_server_of_its_version(self) -> None:
        async with running_deployment() as deployment:
            old = await deployment.add_server("s1", "plain", version="v1")
            new = await deployment.add_server("s2", "plain", version="v2")
            old.steps = [with_rate()] * 20
            while not old.requests:
                await deployment.call("/open/x")
            await asyncio.sleep(3.0)
            fleet = deployment.vm.fleet
            self.assertEqual(fleet.rate_limited(), {"s1"})
            # Both versions have served, so the stream goes on where it began.
            served = deployment.vm.leader_client.origins
            served.started("request-0", _served_model(), "v1")
            old.steps = [stream(3, 4)]
            count = len(new.requests)
            response = await deployment.call(
                "/resume/x", Last_Event_Id="2", Resumes="request-0"
            )
            self.assertEqual(response.head.status, 200)
            self.assertEqual(len(new.requests), count)

    async def test_a_model_on_a_rated_server_only_gets_its_rate(self) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "engines", **MODEL_ENTRY)
            server.models = MODEL_ENTRY["models"]
            server.steps = [with_rate()] * 1_000
            await deployment.call("/model/x", **STREAM_HEADERS)
            await asyncio.sleep(2.0)
            before = len(server.requests)
            statuses: list[int] = []
            for _ in range(10):
                statuses += await call_many(deployment, 4, "/model/x", **STREAM_HEADERS)
                await asyncio.sleep(0.2)
            elapsed_s = asyncio.get_running_loop().time()
            served = len(server.requests) - before
            self.assertEqual(statuses.count(200), served)
            self.assertGreaterEqual(served, 3)
            self.assertLessEqual(served, RATE * elapsed_s + 2)

    async def test_the_end_of_a_rate_is_found_out_and_brings_no_burst(self) -> None:
        async with one_rated_server(with_rate()) as (deployment, server):
            other = await deployment.add_server("s2", "plain")
            server.steps = []
            for _ in range(60):
                self.assertEqual(await call_many(deployment, 1), [200])
                await asyncio.sleep(0.1)
            self.assertEqual(deployment.vm.fleet.rate_limited(), frozenset())
            self.assertGreater(len(server.requests), 5)
            self.assertGreater(len(other.requests), 5)

    async def test_an_unreadable_rate_does_not_end_the_rate_of_before(self) -> None:
        async with one_rated_server(with_rate()) as (deployment, server):
            server.steps = [with_rate("nan")] * 100
            await call_many(deployment, 1)
            self.assertEqual(deployment.vm.fleet.rate_limited(), {"s1"})

    async def test_a_server_with_a_rate_beyond_all_use_counts_as_without(self) -> None:
        async with one_rated_server(with_rate("1e9")) as (deployment, _):
            self.assertEqual(await call_many(deployment, 10), [200] * 10)
            self.assertEqual(deployment.vm.fleet.rate_limited(), frozenset())

    async def test_a_server_that_starts_again_has_no_rate(self) -> None:
        async with one_rated_server(with_rate()) as (deployment, server):
            server.steps = []
            known = deployment.vm.fleet.servers["s1"]
            address = "{}:{}".format(*known.address)
            entry = server_entry("plain", address, born=2_000)
            deployment.store.put("keyed.servers", "s1", entry)
            await wait_until(
                lambda: deployment.vm.fleet.servers["s1"].started_ms == 2_000
            )
            self.assertEqual(await call_many(deployment, 4), [200] * 4)

    async def test_a_place_is_not_used_after_a_standstill(self) -> None:
        async with one_rated_server(with_rate("4")) as (deployment, server):
            await asyncio.sleep(3.0)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualTimeLoop)
            arrived_s: list[float] = []

            async def note_arrival(request: Request, responder: Responder) -> None:
                arrived_s.append(loop.time())
                await with_rate("4")(request, responder)

            server.steps = [note_arrival] * 10
            self.assertEqual(await call_many(deployment, 2), [200] * 2)
            counts = deployment.vm.leader_client.places.counts
            taken = counts["leader", "taken"]
            call = asyncio.ensure_future(deployment.call("/open/x"))
            await wait_until(lambda: counts["leader", "taken"] == taken + 1)
            self.assertEqual(len(arrived_s), 2)
            loop.stand_still(PLACE_VALID_S + 0.26)
            await call
            # What the place was for is over; the request has asked for another one.
            self.assertEqual(counts["leader", "taken"], taken + 2)
            self.assertEqual(len(arrived_s), 3)

    async def test_a_leader_of_an_older_build_is_asked_for_nothing(self) -> None:
        async with one_rated_server(with_rate()) as (deployment, server):
            leader_server = deployment.vm.leader_server
            leader_server._deps = leader_server._deps._replace(places=None)
            client = deployment.vm.leader_client
            await wait_until(lambda: not client._deals_places)
            before = len(server.requests)
            for _ in range(20):
                await call_many(deployment, 2)
                await asyncio.sleep(0.5)
            # Times of its own: 0.15 of the rate.
            self.assertLessEqual(len(server.requests) - before, 0.15 * RATE * 12.0 + 1)
            self.assertGreaterEqual(len(server.requests) - before, 2)

    async def test_a_vm_cut_from_the_servers_passes_requests_on_within_the_rate(
        self,
    ) -> None:
        async with running_cluster(servers=1) as (deployment, _):
            server = deployment.servers["s0"]
            server.steps = [with_rate()] * 1_000
            await deployment.call("/open/x")
            await asyncio.sleep(3.0)
            with refusing_address() as address:
                heal = cut_off(deployment.vm, address)
                await call_many(deployment, 2)
                before = len(server.requests)
                began_s = asyncio.get_running_loop().time()
                statuses: list[int] = []
                for _ in range(12):
                    statuses += await call_many(deployment, 3)
                    await asyncio.sleep(0.3)
                elapsed_s = asyncio.get_running_loop().time() - began_s
                heal()
            served = len(server.requests) - before
            self.assertLessEqual(served, RATE * elapsed_s + 2)
            self.assertGreaterEqual(statuses.count(200), 3)

    async def test_messages_of_rates_from_another_build_end_no_connection(self) -> None:
        async with running_deployment() as deployment:
            leader_server = deployment.vm.leader_server
            rates = json.loads(json.dumps({"rates": [["s9", 5, 2.5], ["s8", 5, None]]}))
            self.assertEqual(leader_server._handle_message(rates), {})
            request = {"number": 3, "servers": [["s9", 5, 2.5]], "most_s": 9, "rank": 0}
            reply = leader_server._handle_message({"place": request})
            self.assertEqual(reply["placed"]["number"], 3)
            self.assertEqual(reply["placed"]["index"], 0)


def _served_model() -> ServedModel:
    return ServedModel("plain", "")
