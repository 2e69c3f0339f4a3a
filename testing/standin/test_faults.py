"""Tests of fault matching and of each fault's effect on a stand-in service."""

import unittest

import anyio
import httpx

from _pistachiopond.standin.definitions import define_service
from _pistachiopond.standin.faults import Fault, FaultRegistry, RequestAttributes
from _pistachiopond.standin.ledger import Ledger
from _pistachiopond.standin.service import StandinService
from testing.standin.running_standin import serve, set_fault

REQUEST = RequestAttributes("POST", "/book", b"a body with a marker")


def service_definition() -> object:
    return define_service(StandinService("s", "one", Ledger()))


async def count_executions(http: httpx.AsyncClient) -> int:
    return len((await http.get("/ledger")).json()["entries"])


class FaultRegistryTests(unittest.TestCase):
    def test_fault_is_triggered_at_most_count_times(self) -> None:
        registry = FaultRegistry()
        registry.add(Fault("status", count=2), 0.0)
        triggered = [bool(registry.trigger(REQUEST, 0.0)) for _ in range(3)]
        self.assertEqual(triggered, [True, True, False])
        self.assertEqual(registry.list_faults()[0].hits, 2)

    def test_fault_is_triggered_only_by_matching_requests(self) -> None:
        registry = FaultRegistry()
        registry.add(Fault("status", path_prefix="/other", count=None), 0.0)
        registry.add(Fault("drop_before", method="GET", count=None), 0.0)
        registry.add(Fault("cut", marker="absent", count=None), 0.0)
        registry.add(Fault("crash", marker="marker", count=None), 0.0)
        self.assertEqual(set(registry.trigger(REQUEST, 0.0)), {"crash"})

    def test_fault_expires(self) -> None:
        registry = FaultRegistry()
        registry.add(Fault("status", count=None, lapses_after_s=5.0), 10.0)
        self.assertTrue(registry.trigger(REQUEST, 14.9))
        self.assertFalse(registry.trigger(REQUEST, 15.0))

    def test_same_seed_triggers_on_the_same_requests(self) -> None:
        def run() -> list[bool]:
            registry = FaultRegistry()
            registry.add(Fault("status", count=None, probability=0.5, seed=7), 0.0)
            return [bool(registry.trigger(REQUEST, 0.0)) for _ in range(50)]

        first = run()
        self.assertEqual(first, run())
        self.assertEqual({True, False}, set(first))


class FaultInjectionTests(unittest.IsolatedAsyncioTestCase):
    async def test_drop_after_executes_the_request(self) -> None:
        async with serve(service_definition()) as (_, http):
            await set_fault(http, kind="drop_after")
            with self.assertRaises(httpx.HTTPError):
                await http.post("/book")
            self.assertEqual(await count_executions(http), 1)

    async def test_drop_before_does_not_execute_the_request(self) -> None:
        async with serve(service_definition()) as (_, http):
            await set_fault(http, kind="drop_before")
            with self.assertRaises(httpx.HTTPError):
                await http.post("/book")
            self.assertEqual(await count_executions(http), 0)

    async def test_duplicate_executes_the_request_twice(self) -> None:
        async with serve(service_definition()) as (_, http):
            await set_fault(http, kind="duplicate")
            response = await http.post("/book", headers={"idempotency-key": "k"})
            self.assertEqual(response.json()["run"], 2)
            self.assertEqual(await count_executions(http), 2)

    async def test_crossed_returns_the_response_to_an_earlier_request(self) -> None:
        async with serve(service_definition()) as (_, http):
            await http.post("/book", headers={"x-request-id": "first"})
            await set_fault(http, kind="crossed")
            response = await http.post("/book", headers={"x-request-id": "second"})
        self.assertEqual(response.headers["x-request-id"], "first")
        self.assertEqual(response.json()["request_id"], "first")

    async def test_silent_affects_only_connections_that_are_already_open(self) -> None:
        async with serve(service_definition()) as (address, http):
            await http.get("/before")
            async with httpx.AsyncClient(base_url=f"http://{address}") as other:
                await set_fault(other, kind="silent")
            with self.assertRaises(httpx.ReadTimeout):
                await http.get("/over-silent", timeout=0.3)
            async with httpx.AsyncClient(base_url=f"http://{address}") as fresh:
                response = await fresh.get("/over-new")
        self.assertEqual(response.status_code, 200)

    async def test_status_does_not_execute_the_request(self) -> None:
        async with serve(service_definition()) as (_, http):
            await set_fault(http, kind="status", status=502)
            response = await http.post("/book")
            self.assertEqual(response.status_code, 502)
            self.assertEqual(await count_executions(http), 0)

    async def test_delay_before_executes_the_request_after_the_client_timed_out(
        self,
    ) -> None:
        async with serve(service_definition()) as (_, http):
            await set_fault(http, kind="delay_before", delay_s=0.4)
            with self.assertRaises(httpx.ReadTimeout):
                await http.post("/book", timeout=0.1)
            self.assertEqual(await count_executions(http), 0)
            with anyio.fail_after(30.0):
                while await count_executions(http) == 0:
                    await anyio.sleep(0.02)

    # The second restart must not bind the port again while the first is under way.
    async def test_server_comes_back_after_two_concurrent_crashes(self) -> None:
        async with serve(service_definition()) as (_, http):
            delay = {"kind": "delay_before", "count": 2, "delay_s": 0.2}
            await set_fault(http, **delay)
            await set_fault(http, kind="crash", count=2, restart_s=0.2)

            async def crash() -> None:
                with self.assertRaises(httpx.HTTPError):
                    await http.post("/book")

            async with anyio.create_task_group() as group:
                group.start_soon(crash)
                group.start_soon(crash)
            await self.wait_until_back(http)

    async def wait_until_back(self, http: httpx.AsyncClient) -> None:
        with anyio.fail_after(30.0):
            while True:
                try:
                    await http.get("/healthz")
                    return
                except httpx.HTTPError:
                    await anyio.sleep(0.01)

    async def test_fault_on_a_via_prefix_affects_only_that_client(self) -> None:
        async with serve(service_definition()) as (_, http):
            await set_fault(http, kind="status", path_prefix="/via/a", count=None)
            cut = await http.get("/via/a/x")
            other = await http.get("/via/b/x")
        self.assertEqual((cut.status_code, other.status_code), (503, 200))
        self.assertEqual(other.json()["path"], "/x")

    async def test_unknown_fault_kind_is_rejected(self) -> None:
        async with serve(service_definition()) as (_, http):
            response = await http.post("/faults", json={"faults": [{"kind": "odd"}]})
        self.assertEqual(response.status_code, 400)

    async def test_crash_with_restart_discards_state_and_serves_again(self) -> None:
        service = StandinService("s", "one", Ledger())
        async with serve(define_service(service)) as (_, http):
            await set_fault(http, kind="crash", restart_s=0.05)
            with self.assertRaises(httpx.HTTPError):
                await http.post("/book")
            await self.wait_until_back(http)
        self.assertNotEqual(service.incarnation, "one")
