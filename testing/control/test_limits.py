"""Tests of the service ``limits``: shard leases, pool lists and configuration."""

import unittest

import anyio
import anyio.abc

from _pistachiopond.control.limits import make_limits_service, make_view
from _pistachiopond.control.ports import (
    Configuration,
    DrawHandler,
    Holding,
    Ownership,
)
from _pistachiopond.kernel.service import Kernel, Service, run_services
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.manifest import BackendServer, Customer, Manifest
from _pistachiopond.schema.revision import Revision
from _pistachiopond.transport.generated import pond_pb2 as pb

POOL = "customers-0"


def make_manifest() -> Manifest:
    servers = tuple(
        BackendServer(f"s{n}", "http://127.0.0.1:1", name, "r", "k", "v")
        for n, name in enumerate(("a", "b", "c"))
    )
    customer = Customer("kea", 10.0, 100.0)
    return Manifest(0, "d", "worst_served_customer", (), servers, (), (customer,))


class LimitsFixture:
    """The service ``limits`` with ownership and configuration set by the test."""

    def __init__(self) -> None:
        self.timer = VirtualTimer(0.0)
        self.holding: Holding | None = Holding(POOL, 0, 0.0, 1e9)
        self.revision = Revision(1, make_manifest(), frozenset(), 0)

    def services(self) -> list[Service]:
        ownership = Ownership(lambda shard: self.holding, lambda shard: "127.0.0.1:9")
        configuration = Configuration(lambda: self.revision, lambda: 0.0, lambda: False)
        return [
            static_service("ownership", ownership),
            static_service("configuration", configuration),
            make_limits_service(self.timer, "a", 1),
        ]


def static_service(name: str, api: object) -> Service:
    async def run(kernel: Kernel, task_status: anyio.abc.TaskStatus) -> None:
        task_status.started(api)
        await kernel.stop_event(name).wait()

    return Service(name, run)


def draw(grant_id: int, epoch: int = 0) -> pb.DrawRequest:
    item = pb.DrawItem(customer="kea", grant_id=grant_id, hold_tokens=5.0)
    return pb.DrawRequest(
        entry_id="e", sequence=1, items=[item], pool=POOL, epoch=epoch
    )


class LimitsServiceTests(unittest.TestCase):
    def test_only_the_holder_grants_and_a_new_epoch_drops_older_grants(self) -> None:
        async def scenario() -> None:
            fixture = LimitsFixture()
            kernel = Kernel()
            async with anyio.create_task_group() as group:
                group.start_soon(run_services, kernel, fixture.services())
                await fixture.timer.advance(0.0)
                api = kernel.find("limits", DrawHandler)
                await api.handle_draw(draw(1))
                await fixture.timer.advance(60.0)
                reply = await api.handle_draw(draw(1))
                self.assertEqual(reply.grants[0].granted_tokens, 5.0)
                fixture.holding = None
                refused = await api.handle_draw(draw(1, reply.epoch))
                self.assertTrue(refused.not_owner)
                self.assertEqual(refused.owner_address, "127.0.0.1:9")
                fixture.holding = Holding(POOL, 7, 60.0, 1e9)
                newer = await api.handle_draw(draw(1, reply.epoch))
                self.assertEqual((newer.epoch, len(newer.grants)), (8, 0))
                kernel.request_stop()

        anyio.run(scenario)

    def test_local_floor_pool_comes_first(self) -> None:
        view = make_view(make_manifest(), "b", 1, lambda pool: "127.0.0.1:9")
        self.assertEqual(
            [source.pool for source in view.sources],
            ["floor-b-0", "customers-0", "floor-c-0", "floor-a-0"],
        )

    def test_pool_without_a_holder_is_omitted(self) -> None:
        holders = {"floor-a-0": "127.0.0.1:9"}
        view = make_view(make_manifest(), "b", 1, holders.get)
        self.assertEqual([source.pool for source in view.sources], ["floor-a-0"])
