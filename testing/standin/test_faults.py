"""Tests of the faults that stand-ins commit."""

import unittest

import anyio
import httpx

from _pistachiopond.standin.faults import Fault, FaultBook, RequestShape
from _pistachiopond.standin.ledger import Ledger
from _pistachiopond.standin.parts import make_service_part
from _pistachiopond.standin.service import StandinService
from testing.standin.serving import serve, set_fault

CALL = RequestShape("POST", "/book", b"a body with a marker")


def service_part() -> object:
    return make_service_part(StandinService("s", "one", Ledger()))


async def runs_of(http: httpx.AsyncClient) -> int:
    return len((await http.get("/ledger")).json()["entries"])


class FaultBookTests(unittest.TestCase):
    def test_a_fault_strikes_as_often_as_it_says(self) -> None:
        book = FaultBook()
        book.add(Fault("status", count=2), 0.0)
        struck = [bool(book.strike(CALL, 0.0)) for _ in range(3)]
        self.assertEqual(struck, [True, True, False])
        self.assertEqual(book.listed()[0].hits, 2)

    def test_a_fault_strikes_only_what_it_names(self) -> None:
        book = FaultBook()
        book.add(Fault("status", path_prefix="/other", count=None), 0.0)
        book.add(Fault("drop_before", method="GET", count=None), 0.0)
        book.add(Fault("cut", marker="absent", count=None), 0.0)
        book.add(Fault("crash", marker="marker", count=None), 0.0)
        self.assertEqual(set(book.strike(CALL, 0.0)), {"crash"})

    def test_a_fault_lapses(self) -> None:
        book = FaultBook()
        book.add(Fault("status", count=None, lapses_after_s=5.0), 10.0)
        self.assertTrue(book.strike(CALL, 14.9))
        self.assertFalse(book.strike(CALL, 15.0))

    def test_the_same_seed_strikes_the_same_requests(self) -> None:
        def run() -> list[bool]:
            book = FaultBook()
            book.add(Fault("status", count=None, probability=0.5, seed=7), 0.0)
            return [bool(book.strike(CALL, 0.0)) for _ in range(50)]

        first = run()
        self.assertEqual(first, run())
        self.assertEqual({True, False}, set(first))


class FaultyServerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_lost_answer_leaves_its_effect(self) -> None:
        async with serve(service_part()) as (_, http):
            await set_fault(http, kind="drop_after")
            with self.assertRaises(httpx.HTTPError):
                await http.post("/book")
            self.assertEqual(await runs_of(http), 1)

    async def test_a_dropped_request_has_no_effect(self) -> None:
        async with serve(service_part()) as (_, http):
            await set_fault(http, kind="drop_before")
            with self.assertRaises(httpx.HTTPError):
                await http.post("/book")
            self.assertEqual(await runs_of(http), 0)

    async def test_a_duplicate_runs_twice(self) -> None:
        async with serve(service_part()) as (_, http):
            await set_fault(http, kind="duplicate")
            answer = await http.post("/book", headers={"idempotency-key": "k"})
            self.assertEqual(answer.json()["run"], 2)
            self.assertEqual(await runs_of(http), 2)

    async def test_a_crossed_answer_belongs_to_another_request(self) -> None:
        async with serve(service_part()) as (_, http):
            await http.post("/book", headers={"x-request-id": "first"})
            await set_fault(http, kind="crossed")
            answer = await http.post("/book", headers={"x-request-id": "second"})
        self.assertEqual(answer.headers["x-request-id"], "first")
        self.assertEqual(answer.json()["request_id"], "first")

    async def test_silence_concerns_only_connections_that_are_open(self) -> None:
        async with serve(service_part()) as (address, http):
            await http.get("/before")
            async with httpx.AsyncClient(base_url=f"http://{address}") as other:
                await set_fault(other, kind="silent")
            with self.assertRaises(httpx.ReadTimeout):
                await http.get("/over-silent", timeout=0.3)
            async with httpx.AsyncClient(base_url=f"http://{address}") as fresh:
                answer = await fresh.get("/over-new")
        self.assertEqual(answer.status_code, 200)

    async def test_a_status_has_no_effect(self) -> None:
        async with serve(service_part()) as (_, http):
            await set_fault(http, kind="status", status=502)
            answer = await http.post("/book")
            self.assertEqual(answer.status_code, 502)
            self.assertEqual(await runs_of(http), 0)

    async def test_a_delayed_request_takes_effect_after_its_caller_left(self) -> None:
        async with serve(service_part()) as (_, http):
            await set_fault(http, kind="delay_before", delay_s=0.4)
            with self.assertRaises(httpx.ReadTimeout):
                await http.post("/book", timeout=0.1)
            self.assertEqual(await runs_of(http), 0)
            with anyio.fail_after(30.0):
                while await runs_of(http) == 0:
                    await anyio.sleep(0.02)

    async def test_two_crashes_at_once_are_one_restart(self) -> None:
        async with serve(service_part()) as (_, http):
            slow = {"kind": "delay_before", "count": 2, "delay_s": 0.2}
            await set_fault(http, **slow)
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

    async def test_one_caller_alone_can_be_cut_off(self) -> None:
        async with serve(service_part()) as (_, http):
            await set_fault(http, kind="status", path_prefix="/via/a", count=None)
            cut = await http.get("/via/a/x")
            other = await http.get("/via/b/x")
        self.assertEqual((cut.status_code, other.status_code), (503, 200))
        self.assertEqual(other.json()["path"], "/x")

    async def test_an_unknown_fault_is_refused(self) -> None:
        async with serve(service_part()) as (_, http):
            answer = await http.post("/faults", json={"faults": [{"kind": "odd"}]})
        self.assertEqual(answer.status_code, 400)

    async def test_a_restarted_stand_in_is_away_and_comes_back(self) -> None:
        service = StandinService("s", "one", Ledger())
        async with serve(make_service_part(service)) as (_, http):
            await set_fault(http, kind="crash", restart_s=0.05)
            with self.assertRaises(httpx.HTTPError):
                await http.post("/book")
            await self.wait_until_back(http)
        self.assertNotEqual(service.incarnation, "one")
