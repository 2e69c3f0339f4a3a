"""Tests of planning and sending orders with an in-memory log and engine."""

import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import anyio
import httpx
from result import Ok, Result

from _pistachiopond.clients.log import LogFailure, LogPage
from _pistachiopond.control.demand import Demand
from _pistachiopond.control.engines import Engines
from _pistachiopond.control.gossip import GossipState
from _pistachiopond.control.orders import Planner
from _pistachiopond.control.ownership import Shard, Shards, ShardSpec
from _pistachiopond.control.ports import Configuration, LogAccess, Membership
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.decisions.ownership import ShardTerms
from _pistachiopond.kernel.service import Kernel, Service, run_services
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.revision import Revision
from testing.control.test_server import static_service
from testing.decisions.control_simulation import FakeLog
from testing.decisions.test_config import make_manifest

ME = Identity("127.0.0.1:1", "a", "0-me")
REVISION = Revision(1, make_manifest(0), frozenset(), 0)


class OrderingFixture:
    """One shard with its log stream, and one engine with its orders."""

    def __init__(self) -> None:
        self.timer = VirtualTimer(100.0)
        self.log = FakeLog()
        self.loaded: list[dict[str, Any]] = []
        self.orders: list[str] = []
        self.log_access = LogAccess(self.append, self.read)
        spec = ShardSpec(ShardTerms("servers-0", 10.0), None)
        self.shard = Shard(spec, ME, self.log_access, self.timer)
        self.gossip = GossipState()
        self.engines = Engines(self.timer, self.gossip)
        self.http = httpx.AsyncClient(transport=httpx.MockTransport(self.engine))

    async def append(self, stream: str, payload: str) -> Result[int, LogFailure]:
        self.log.records.append(payload)
        return Ok(len(self.log.records) - 1)

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> Result[LogPage, LogFailure]:
        return Ok(self.log.page(start))

    def engine(self, request: httpx.Request) -> httpx.Response:
        if request.url.path == "/state":
            state = {
                "incarnation": "i",
                "leaving": False,
                "checks_fencing": True,
                "memory_mb": 250,
                "models": self.loaded,
            }
            return httpx.Response(200, json=state)
        self.orders.append(request.url.path)
        parameters = json.loads(request.content)["parameters"]
        model = {"name": "summary", "state": "ready", "adapters": []}
        model |= {key: parameters[key] for key in ("version", "memory_mb")}
        self.loaded = [model]
        return httpx.Response(202, json={})

    def services(self) -> list[Service]:
        configuration = Configuration(lambda: REVISION, lambda: 0.0, lambda: False)
        return [
            static_service("configuration", configuration),
            static_service(
                "membership", Membership(lambda: (), lambda address, name: None)
            ),
            static_service("engines", self.engines),
            static_service("exchange", self.gossip),
            static_service("demand", Demand(ME, self.timer, self.gossip)),
            static_service("log", self.log_access),
            static_service("shards", Shards((self.shard,), self.gossip)),
        ]

    async def acquire_shard(self) -> None:
        await self.shard.read_once()
        record = self.shard.next_append(0)
        await self.shard.append(record)
        await self.shard.read_once()

    async def run_cycle(self, planner: Planner) -> None:
        """Advance by half a second and run each service's loop once."""
        await self.timer.advance(0.5)
        await self.engines.poll(self.http, REVISION.manifest.backend_servers[0])
        await self.shard.read_once()
        async with anyio.create_task_group() as group:
            planner.on_tick(group, self.timer.now_s())

    def record_kinds(self) -> list[str]:
        return [json.loads(record)["kind"] for record in self.log.records]


def run_scenario(
    scenario: Callable[[OrderingFixture, Planner], Awaitable[None]],
) -> None:
    async def main() -> None:
        fixture = OrderingFixture()
        kernel = Kernel()
        async with anyio.create_task_group() as group:
            group.start_soon(run_services, kernel, fixture.services())
            await anyio.wait_all_tasks_blocked()
            planner = Planner(ME, kernel, fixture.http, fixture.timer)
            await scenario(fixture, planner)
            kernel.request_stop()

    anyio.run(main)


class PlannerTests(unittest.TestCase):
    def test_model_load_is_announced_sent_and_settled(self) -> None:
        async def scenario(fixture: OrderingFixture, planner: Planner) -> None:
            await fixture.acquire_shard()
            for _ in range(6):
                await fixture.run_cycle(planner)
            self.assertEqual(fixture.record_kinds(), ["claim", "intent", "settlement"])
            self.assertEqual(fixture.orders, ["/v2/repository/models/summary/load"])

        run_scenario(scenario)

    def test_no_order_is_sent_without_holding_the_shard(self) -> None:
        async def scenario(fixture: OrderingFixture, planner: Planner) -> None:
            for _ in range(4):
                await fixture.run_cycle(planner)
            self.assertEqual((fixture.record_kinds(), fixture.orders), ([], []))

        run_scenario(scenario)

    def test_order_is_not_sent_after_the_lease_expired(self) -> None:
        async def scenario(fixture: OrderingFixture, planner: Planner) -> None:
            await fixture.acquire_shard()
            await fixture.run_cycle(planner)
            self.assertEqual(fixture.record_kinds(), ["claim", "intent"])
            await fixture.timer.advance(20.0)
            for _ in range(4):
                await fixture.run_cycle(planner)
            self.assertEqual(fixture.orders, [])
            self.assertIn("settlement", fixture.record_kinds())

        run_scenario(scenario)

    def test_planning_resumes_after_an_exception(self) -> None:
        async def scenario(fixture: OrderingFixture, planner: Planner) -> None:
            await fixture.acquire_shard()
            target = "_pistachiopond.control.orders.make_plan"
            with mock.patch(target, side_effect=KeyError("summary")):
                await fixture.run_cycle(planner)
            for _ in range(4):
                await fixture.run_cycle(planner)
            self.assertEqual(fixture.orders, ["/v2/repository/models/summary/load"])

        run_scenario(scenario)
