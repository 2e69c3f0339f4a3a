"""Tests of second attempts beside a first one that takes long."""

import asyncio
import os
import unittest
from collections.abc import AsyncIterator
from contextlib import AbstractContextManager, asynccontextmanager, nullcontext
from unittest.mock import patch

from _pistachiopond.decisions.hedging import MIN_SAMPLES, RequestClass
from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from _pistachiopond.platform.settings import HEDGE_SHARE_VARIABLE, read_hedge_share
from _pistachiopond.schema.server_notice import NO_NOTICE
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import ModelRef
from _pistachiopond.vm.hedging import Hedging
from _pistachiopond.vm.program import Vm
from testing.virtual_time import VirtualTimeLoop, VirtualTimeTestCase
from testing.vm.cluster import Cluster
from testing.vm.deployment import (
    SingleVmDeployment,
    configuration,
    listen,
    route,
    running_deployment,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import (
    FakeServer,
    Step,
    attempt_of,
    break_connection,
    hang,
    respond_error,
    respond_not_run,
    respond_ok,
    stream,
)

PLAIN = ModelRef("plain", "", "")
# Less than the route's latency objective, after twice which a silent first attempt is
# given up without any second one.
SOON_S = 0.2


def hedging_of(vm: Vm) -> Hedging:
    """Return the VM's second attempts."""
    return vm.request_handler._deps.hedging


def count(vm: Vm, name: str, **labels: str) -> float:
    """Return the value of a counter of the VM."""
    return vm.metrics.registry.get_sample_value(f"{name}_total", labels) or 0.0


def outcomes(vm: Vm) -> dict[str, float]:
    """Return how many second attempts ended in each way."""
    counts = {
        name: count(vm, "pond_hedges", reason="head_late", outcome=name)
        for name in ("won", "lost", "failed")
    }
    return {name: number for name, number in counts.items() if number}


def answer_after(delay_s: float, step: Step = respond_ok) -> Step:
    """Return a step that takes some time."""

    async def run(request: Request, responder: Responder) -> None:
        await asyncio.sleep(delay_s)
        await step(request, responder)

    return run


async def respond_in_pieces(request: Request, responder: Responder) -> None:
    """Answer with a head, and a body some time later."""
    headers = [(b"X-Attempt-Id", attempt_of(request)), (b"X-Server-Seal", b"seal")]
    await responder.start_response(200, headers, 8)
    await responder.send(b"whole")
    await asyncio.sleep(0.3)
    await responder.send(b"-ok")
    await responder.end()


def learn_times(vm: Vm, seconds: float = 0.01) -> None:
    """Let the VM know how long requests take, and let it have second attempts."""
    hedging = hedging_of(vm)
    for kind in ("safe", "unsafe", "stream"):
        for _ in range(MIN_SAMPLES):
            hedging._times.record(RequestClass("plain", kind, "", 0), seconds, boot_s())
    for _ in range(MIN_SAMPLES):
        hedging.shares.record_request("plain", 0.2)


@asynccontextmanager
async def hedged(
    server_count: int = 3, share: object = 0.2, **route_fields: object
) -> AsyncIterator[tuple[SingleVmDeployment, list[FakeServer]]]:
    """Run a VM that may hedge, with servers, and times that are known to it."""
    async with running_deployment() as deployment:
        plain = configuration(2)
        plain["services"][0]["hedgeShare"] = share
        plain["routes"][0] = route("safe", "safe", "plain", **route_fields)
        deployment.write_configuration(plain)
        state = deployment.vm.state
        await wait_until(lambda: state.deployment().version == 2)
        servers = [
            await deployment.add_server(f"s{number}", "plain")
            for number in range(1, server_count + 1)
        ]
        learn_times(deployment.vm)
        yield deployment, servers


@asynccontextmanager
async def hedged_cluster() -> AsyncIterator[tuple[Cluster, list[FakeServer]]]:
    """Run two VMs that may hedge, and two servers."""
    services = configuration(1)["services"]
    services[0]["hedgeShare"] = 0.2
    cluster = Cluster()
    listening = []
    try:
        await cluster.start(2, services=services)
        await cluster.accept_callers("plain")
        servers = [FakeServer("s1"), FakeServer("s2")]
        for server in servers:
            started, address = await listen(server.handle)
            listening.append(started)
            entry = server_entry("plain", f"{address.ip}:{address.port}", sequence=2)
            cluster.store.put("keyed.servers", server.server_id, entry)
        for vm in cluster.vms.values():
            await wait_until(lambda vm=vm: "s2" in vm.fleet.servers)
            learn_times(vm)
        yield cluster, servers
    finally:
        for started in listening:
            started.close()
        await cluster.close()


def first_step(servers: list[FakeServer], first: Step, second: Step) -> list[str]:
    """Let the first attempt of all take one step and others another.

    Returns the list to which the servers that get an attempt are added.
    """
    sent_to: list[str] = []
    for server in servers:

        def make(server_id: str) -> Step:
            async def step(request: Request, responder: Responder) -> None:
                sent_to.append(server_id)
                await (first if len(sent_to) == 1 else second)(request, responder)

            return step

        server.steps = [make(server.server_id)]
    return sent_to


def fill(vm: Vm, sent_to: list[str]) -> AbstractContextManager[object]:
    """Let other VMs use all slots of the servers."""
    return patch.dict(vm.fleet.peer_load, dict.fromkeys(("s1", "s2", "s3"), 4))


def spend_retries(vm: Vm, sent_to: list[str]) -> AbstractContextManager[object]:
    """Use half of the retry budget."""
    while vm.retries.has_retry_to_spare("plain"):
        vm.retries.spend("plain")
    return nullcontext()


def spend_share(vm: Vm, sent_to: list[str]) -> AbstractContextManager[object]:
    """Use the share of second attempts."""
    shares = hedging_of(vm).shares
    while shares.has_hedge("plain"):
        shares.spend("plain")
    # Less than the next request would complete to a second attempt.
    shares._tokens["plain"] = 0.0
    return nullcontext()


def let_wait(vm: Vm, sent_to: list[str]) -> AbstractContextManager[object]:
    """Let a request wait for a server of the service."""
    return vm.leader_client.model_usage.count_waiting(PLAIN)


def suspect(vm: Vm, sent_to: list[str]) -> AbstractContextManager[object]:
    """Suspect all requests of crashing servers."""
    return patch.object(vm.suspects, "is_suspected", lambda name: True)


def lose_reach(vm: Vm, sent_to: list[str]) -> AbstractContextManager[object]:
    """Let the VM lose the service once a server has got a request."""
    return patch.object(vm.reach, "is_unreachable", lambda service: bool(sent_to))


OBSTACLES = (
    ("full", fill),
    ("retry_budget", spend_retries),
    ("share", spend_share),
    ("waiting", let_wait),
    ("suspected", suspect),
    ("unreachable", lose_reach),
)


class HedgingTests(VirtualTimeTestCase):
    async def call_timed(
        self, deployment: SingleVmDeployment, path: str = "/safe/x", **headers: str
    ) -> tuple[int, bytes, float]:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        response = await deployment.call(path, **headers)
        return response.head.status, response.body, loop.time() - began_s

    def assert_nothing_runs(self, vm: Vm) -> None:
        self.assertEqual({n: c for n, c in vm.fleet.own_load.items() if c}, {})

    async def test_a_slow_answer_is_replaced_by_that_of_another_server(self) -> None:
        """Guards against a loser that keeps its server busy or breaks the answer."""
        async with hedged() as (deployment, servers):
            retries = deployment.vm.retries
            before = retries._available("plain")
            sent_to = first_step(servers, hang, respond_in_pieces)
            usage = deployment.vm.usage
            with patch.object(usage, "try_spend", wraps=usage.try_spend) as charge:
                status, body, seconds = await self.call_timed(deployment)
            self.assertEqual(charge.call_count, 1)
            self.assertEqual((status, body), (200, b"whole-ok"))
            self.assertLess(seconds, 0.5)
            self.assertEqual(len(set(sent_to)), 2)
            slow = deployment.servers[sent_to[0]]
            await wait_until(lambda: slow.cancelled == 1, 0.1)
            await wait_until(lambda: outcomes(deployment.vm) == {"won": 1.0}, 0.1)
            self.assertAlmostEqual(retries._available("plain"), before - 1.0)
            self.assert_nothing_runs(deployment.vm)

    async def test_the_first_attempt_wins_if_it_is_answered_first(self) -> None:
        async with hedged() as (deployment, servers):
            sent_to = first_step(servers, answer_after(0.05), hang)
            status, body, seconds = await self.call_timed(deployment)
            self.assertEqual((status, body), (200, b"done"))
            self.assertLess(seconds, SOON_S)
            self.assertEqual(len(sent_to), 2)
            loser = deployment.servers[sent_to[1]]
            await wait_until(lambda: loser.cancelled == 1, 0.1)
            await wait_until(lambda: outcomes(deployment.vm) == {"lost": 1.0}, 0.1)
            self.assert_nothing_runs(deployment.vm)

    async def test_a_failed_attempt_does_not_end_the_other(self) -> None:
        """Guards against requests that fail because of their second attempt."""
        failures = (respond_error, respond_not_run, break_connection)
        for failure in failures:
            for first, second in (
                (answer_after(0.1), failure),
                (answer_after(0.03, failure), answer_after(0.1)),
            ):
                with self.subTest(f"{failure.__name__} {first.__qualname__}"):
                    async with hedged() as (deployment, servers):
                        sent_to = first_step(servers, first, second)
                        status, body, _ = await self.call_timed(deployment)
                        self.assertEqual((status, body), (200, b"done"))
                        self.assertEqual(len(sent_to), 2)
                        self.assert_nothing_runs(deployment.vm)

    async def test_a_request_whose_attempts_fail_is_answered_by_what_may_have_run(
        self,
    ) -> None:
        """Guards against a promise that a request has not run when it may have."""
        for first, second, status, sent in (
            (break_connection, break_connection, 502, 2),
            (respond_error, respond_error, 500, 2),
            # A refusal is not counted as a run, so a third server is tried.
            (break_connection, respond_not_run, 502, 3),
            (respond_not_run, break_connection, 502, 3),
        ):
            with self.subTest(f"{first.__name__}, {second.__name__}"):
                async with hedged() as (deployment, servers):
                    late = answer_after(0.05, first)
                    sent_to = first_step(servers, late, second)
                    got, _, _ = await self.call_timed(deployment)
                    self.assertEqual((got, len(sent_to)), (status, sent))
                    self.assert_nothing_runs(deployment.vm)

    async def test_both_attempts_end_when_the_caller_leaves(self) -> None:
        """Guards against servers that work on for callers who have gone."""
        async with hedged() as (deployment, servers):
            sent_to = first_step(servers, hang, hang)
            connection = await deployment.send("/safe/x")
            await wait_until(lambda: len(sent_to) == 2, SOON_S)
            connection.close()
            await wait_until(lambda: sum(s.cancelled for s in servers) == 2, 0.1)
            await wait_until(lambda: not any(deployment.vm.fleet.own_load.values()))

    async def test_a_request_without_an_answer_ends_at_its_deadline(self) -> None:
        async with hedged() as (deployment, servers):
            sent_to = first_step(servers, hang, hang)
            status, _, seconds = await self.call_timed(deployment)
            self.assertEqual(status, 504)
            self.assertAlmostEqual(seconds, 1.0, 1)
            self.assertEqual(len(sent_to), 2)
            await wait_until(lambda: outcomes(deployment.vm) == {"failed": 1.0}, 0.1)
            self.assert_nothing_runs(deployment.vm)

    async def test_if_all_servers_are_slow_the_delay_grows(self) -> None:
        """Guards against second attempts that add to an overload."""
        async with hedged() as (deployment, servers):
            calls = 300
            for server in servers:
                server.steps = [
                    answer_after(0.06 + number % 20 / 500) for number in range(calls)
                ]
            for _ in range(calls):
                status, _, _ = await self.call_timed(deployment)
                self.assertEqual(status, 200)
            early = sum(outcomes(deployment.vm).values())
            self.assertLessEqual(early, 4 + 0.2 * calls)
            estimate = hedging_of(deployment.vm)._times.estimate(
                RequestClass("plain", "safe", "", 0), boot_s()
            )
            assert estimate is not None
            self.assertGreaterEqual(estimate.delay_s, 0.08)

    async def test_hedging_needs_no_leader(self) -> None:
        async with hedged_cluster() as (cluster, servers):
            leader = cluster.leader()
            (other,) = set(cluster.vms) - {leader}
            await cluster.kill(leader)
            sent_to = first_step(servers, hang, respond_ok)
            began_s = asyncio.get_running_loop().time()
            # Requests of this route are charged to no customer, whose limit would
            # depend on the leader.
            self.assertEqual(await cluster.call(other, "/open/x"), 200)
            taken_s = asyncio.get_running_loop().time() - began_s
            self.assertLess(taken_s, SOON_S)
            self.assertEqual(len(sent_to), 2)

    async def test_requests_passed_on_are_not_hedged(self) -> None:
        """Guards against two VMs that each start a second attempt of a request."""
        async with hedged_cluster() as (cluster, servers):
            vm = cluster.vms["vm-0"]
            sent_to = first_step(servers, answer_after(0.15), respond_ok)
            with patch.object(vm.reach, "is_unreachable", lambda service: True):
                self.assertEqual(await cluster.call("vm-0", "/safe/x"), 200)
            passed_on = count(vm, "pond_requests_passed_on", outcome="answered")
            self.assertEqual((passed_on, len(sent_to)), (1.0, 1))

    async def test_a_standstill_of_the_process_starts_no_second_attempts(self) -> None:
        """Guards against second attempts of all requests at once after it."""
        async with hedged() as (deployment, servers):
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualTimeLoop)

            async def stop_and_answer(request: Request, responder: Responder) -> None:
                loop.stand_still(0.3)
                await asyncio.sleep(0.05)
                await respond_ok(request, responder)

            sent_to = first_step(servers, stop_and_answer, respond_ok)
            status, _, _ = await self.call_timed(deployment)
            self.assertEqual((status, len(sent_to)), (200, 1))
            withheld = count(deployment.vm, "pond_hedges_withheld", reason="standstill")
            self.assertEqual(withheld, 1.0)

    async def test_without_a_share_requests_are_sent_as_before(self) -> None:
        """Guards against new behaviour in deployments that did not ask for it."""
        for share in (None, 0, "often", 0.5):
            with self.subTest(share=share):
                async with hedged(share=share) as (deployment, servers):
                    sent_to = first_step(servers, hang, respond_ok)
                    status, _, seconds = await self.call_timed(deployment)
                    self.assertEqual((status, len(sent_to)), (200, 2))
                    # The silent attempt was given up after twice the objective.
                    self.assertGreaterEqual(seconds, 0.4)
                    self.assertEqual(outcomes(deployment.vm), {})

    async def test_the_environment_sets_the_share_of_other_services(self) -> None:
        for value, share in ((None, 0.0), ("0.02", 0.02), ("2", 0.0), ("x", 0.0)):
            environment = {} if value is None else {HEDGE_SHARE_VARIABLE: value}
            with patch.dict(os.environ, environment):
                self.assertEqual(read_hedge_share(), share)
        with patch.dict(os.environ, {HEDGE_SHARE_VARIABLE: "0.05"}):
            async with hedged(share=0.1) as (deployment, _):
                hedging = hedging_of(deployment.vm)
                self.assertEqual(hedging.share("plain"), 0.1)
                self.assertEqual(hedging.share("engines"), 0.05)

    async def test_what_forbids_a_second_attempt(self) -> None:
        """Guards against second attempts that the specification excludes."""
        for reason, prepare in OBSTACLES:
            with self.subTest(reason):
                async with hedged() as (deployment, servers):
                    vm = deployment.vm
                    sent_to = first_step(servers, answer_after(0.15), respond_ok)
                    with prepare(vm, sent_to):
                        status, _, _ = await self.call_timed(deployment)
                    self.assertEqual((status, len(sent_to)), (200, 1))
                    withheld = count(vm, "pond_hedges_withheld", reason=reason)
                    self.assertEqual(withheld, 1.0)

    async def test_requests_that_may_run_once_and_streams_are_not_hedged(self) -> None:
        """Guards against a request that runs twice though it must not."""
        for path in ("/once/x", "/stream/x", "/resume/x", "/safe/x"):
            with self.subTest(path):
                async with hedged(maxAttempts=1) as (deployment, servers):
                    step = (
                        respond_ok if path in ("/once/x", "/safe/x") else stream(0, 3)
                    )
                    sent_to = first_step(servers, answer_after(0.15, step), step)
                    status, _, _ = await self.call_timed(deployment, path)
                    self.assertEqual(status, 200)
                    self.assertEqual(len(sent_to), 1)

    async def test_a_second_server_must_be_in_good_health(self) -> None:
        """Guards against second attempts at servers that are short of capacity."""
        for name, notice, kept in (
            ("none", NO_NOTICE, True),
            ("leaving", NO_NOTICE._replace(is_leaving=True), False),
            ("paused", NO_NOTICE._replace(pause_s=5.0), False),
            ("rate-limited", NO_NOTICE._replace(rate_per_s=3.0), False),
            ("brittle", NO_NOTICE._replace(crash_limit=2), False),
        ):
            with self.subTest(name):
                async with hedged(2) as (deployment, _):
                    fleet = deployment.vm.fleet
                    fleet.apply_notice(fleet.servers["s2"], notice)
                    server = fleet.second_server(PLAIN, frozenset({"s1"}), None)
                    self.assertEqual(server is not None, kept)

        def cool(vm: Vm) -> None:
            incarnation = vm.fleet.servers["s2"].incarnation()
            vm.fleet.record_cold(incarnation, "plain", 10.0, "entry")

        def eject(vm: Vm) -> None:
            for _ in range(5):
                vm.fleet.ejector.failed("s2", "reset", boot_s())

        def evacuate(vm: Vm) -> None:
            vm.fleet.evacuated = frozenset({"here"})

        def fill(vm: Vm) -> None:
            vm.fleet.peer_load["s2"] = 4

        for change in (cool, eject, evacuate, fill):
            with self.subTest(change.__name__):
                async with hedged(2) as (deployment, _):
                    vm = deployment.vm
                    plain = configuration(3)
                    plain["services"][0] |= {"coldPerS": 5.0, "coldStartS": 10.0}
                    deployment.write_configuration(plain)
                    await wait_until(lambda vm=vm: vm.state.deployment().version == 3)
                    change(vm)
                    server = vm.fleet.second_server(PLAIN, frozenset({"s1"}), None)
                    self.assertIsNone(server)


if __name__ == "__main__":
    unittest.main()
