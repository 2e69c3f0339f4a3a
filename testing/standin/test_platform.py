"""Tests of the platform's stand-ins, called through the clients of the platform."""

import unittest

import anyio
import httpx

from _pistachiopond.clients.log import make_log_client
from _pistachiopond.clients.vm_list import ListedVm, make_vm_list_client
from _pistachiopond.clients.weight_store import (
    LoadsInProgress,
    WeightLoad,
    make_weight_store_client,
)
from _pistachiopond.kernel.timer import RealTimer, VirtualTimer
from _pistachiopond.schema.codec import to_json
from _pistachiopond.standin.host import StandinDefinition
from _pistachiopond.standin.log import LogOptions, StandinLog, Stream
from _pistachiopond.standin.vm_list import StandinVmList, VmList
from _pistachiopond.standin.weight_store import StandinWeightStore, StoreOptions
from testing.standin.running_standin import serve, set_fault


def log_definition(options: LogOptions) -> StandinDefinition:
    return StandinDefinition("log", "log", StandinLog(options, RealTimer()).routes())


class StreamTests(unittest.TestCase):
    def test_records_expire_by_count_and_by_age(self) -> None:
        stream = Stream(LogOptions(retention_records=2, retention_s=10.0))
        for number in range(4):
            stream.append(str(number), float(number))
        page = stream.read_page(0, 100, 4.0)
        self.assertEqual([record.offset for record in page.records], [2, 3])
        self.assertEqual((page.first, page.next), (2, 4))
        later = stream.read_page(0, 100, 12.5)
        self.assertEqual([record.offset for record in later.records], [3])
        empty = stream.read_page(0, 100, 99.0)
        self.assertEqual((empty.first, empty.next, empty.records), (4, 4, ()))


class LogTests(unittest.IsolatedAsyncioTestCase):
    async def test_waiting_read_returns_when_a_record_is_appended(self) -> None:
        async with serve(log_definition(LogOptions())) as (address, http):
            client = make_log_client(http, f"http://{address}")
            async with anyio.create_task_group() as group:

                async def write() -> None:
                    await anyio.sleep(0.1)
                    await client.append("s", "hello")

                group.start_soon(write)
                page = (await client.read("s", 0, 10, 20.0)).unwrap()
        self.assertEqual(page.records[0].payload, "hello")

    async def test_append_with_a_lost_response_is_stored(self) -> None:
        async with serve(log_definition(LogOptions())) as (address, http):
            client = make_log_client(http, f"http://{address}")
            await set_fault(http, kind="drop_after", method="POST")
            lost = await client.append("s", "hello")
            page = (await client.read("s", 0, 10, 0.0)).unwrap()
        self.assertTrue(lost.unwrap_err().may_have_taken_effect)
        self.assertEqual(len(page.records), 1)


class VmListTests(unittest.IsolatedAsyncioTestCase):
    async def test_change_becomes_visible_after_the_lag(self) -> None:
        timer = VirtualTimer()
        definition = StandinDefinition("vms", "vms", StandinVmList(5.0, timer).routes())
        vm = ListedVm("127.0.0.1:1", "entry", "a", "live")
        async with serve(definition) as (address, http):
            list_vms = make_vm_list_client(http, f"http://{address}")
            await http.post("/vms", content=to_json(VmList((vm,))))
            before = (await list_vms()).unwrap()
            await timer.advance(5.0)
            after = (await list_vms()).unwrap()
        self.assertEqual((before, after), ((), (vm,)))


class WeightStoreTests(unittest.IsolatedAsyncioTestCase):
    async def test_loads_start_at_the_configured_rate_and_slow_each_other_down(
        self,
    ) -> None:
        timer = VirtualTimer()
        options = StoreOptions(loads_per_s=2.0, model_load_s=10.0, full_speed_loads=1)
        definition = StandinDefinition(
            "store", "store", StandinWeightStore(options, timer).routes()
        )
        took: list[float] = []
        async with serve(definition) as (address, http):
            store = make_weight_store_client(http, f"http://{address}", 30.0)

            async def load() -> None:
                took.append((await store.load(WeightLoad("model", "m", 1))).unwrap())

            async with anyio.create_task_group() as group:
                group.start_soon(load)
                await self._wait_for(store, LoadsInProgress(1, 0))
                group.start_soon(load)
                await anyio.sleep(0.1)
                await timer.advance(0.5)
                await self._wait_for(store, LoadsInProgress(2, 0))
                await timer.advance(30.0)
        # The second load waits 0.5 s for its start, then runs at half speed because
        # two loads share the bandwidth for one.
        self.assertEqual(sorted(took), [10.0, 20.5])

    async def _wait_for(self, store: object, expected: LoadsInProgress) -> None:
        with anyio.fail_after(30.0):
            while (await store.in_flight()).unwrap() != expected:
                await anyio.sleep(0.01)

    async def test_refused_connection_means_that_no_load_was_started(self) -> None:
        async with httpx.AsyncClient() as http:
            store = make_weight_store_client(http, "http://127.0.0.1:9", 1.0)
            result = await store.load(WeightLoad("adapter", "a", 1))
        self.assertFalse(result.unwrap_err().may_be_loading)
