"""Tests of planning and ordering, with a log and an engine in memory."""

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
from _pistachiopond.control.exchange import Exchange
from _pistachiopond.control.orders import Planner
from _pistachiopond.control.ownership import Shard, ShardPlace, Shards
from _pistachiopond.control.ports import Configuration, LogAccess, Membership
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.decisions.ownership import ShardTerms
from _pistachiopond.kernel.service import Kernel, Service, run_services
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.revision import Revision
from testing.control.test_server import provide
from testing.decisions.fleet_world import FakeLog
from testing.decisions.test_config import make_manifest

ME = Identity("127.0.0.1:1", "a", "0-me")
REVISION = Revision(1, make_manifest(0), frozenset(), 0)


class Scene:
    """One holder, its stream and one engine."""

    def __init__(self) -> None:
        self.timer = VirtualTimer(100.0)
        self.log = FakeLog()
        self.loaded: list[dict[str, Any]] = []
        self.orders: list[str] = []
        self.log_access = LogAccess(self.append, self.read)
        place = ShardPlace(ShardTerms("servers-0", 10.0), None)
        self.shard = Shard(place, ME, self.log_access, self.timer)
        self.exchange = Exchange()
        self.engines = Engines(self.timer, self.exchange)
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
            provide("configuration", configuration),
            provide("membership", Membership(lambda: (), lambda address, name: None)),
            provide("engines", self.engines),
            provide("exchange", self.exchange),
            provide("demand", Demand(ME, self.timer, self.exchange)),
            provide("log", self.log_access),
            provide("shards", Shards((self.shard,), self.exchange)),
        ]

    async def hold(self) -> None:
        await self.shard.read_once()
        record = self.shard.next_append(0)
        await self.shard.append(record)
        await self.shard.read_once()

    async def go_round(self, planner: Planner) -> None:
        """Let half a second pass with all loops of the services going round once."""
        await self.timer.advance(0.5)
        await self.engines.poll(self.http, REVISION.manifest.backend_servers[0])
        await self.shard.read_once()
        async with anyio.create_task_group() as group:
            planner.on_tick(group, self.timer.now_s())

    def kinds(self) -> list[str]:
        return [json.loads(record)["kind"] for record in self.log.records]


def run(scenario: Callable[[Scene, Planner], Awaitable[None]]) -> None:
    async def main() -> None:
        scene = Scene()
        kernel = Kernel()
        async with anyio.create_task_group() as group:
            group.start_soon(run_services, kernel, scene.services())
            await anyio.wait_all_tasks_blocked()
            planner = Planner(ME, kernel, scene.http, scene.timer)
            await scenario(scene, planner)
            kernel.request_stop()

    anyio.run(main)


class PlannerTests(unittest.TestCase):
    def test_a_model_is_announced_loaded_and_settled(self) -> None:
        async def scenario(scene: Scene, planner: Planner) -> None:
            await scene.hold()
            for _ in range(6):
                await scene.go_round(planner)
            self.assertEqual(scene.kinds(), ["claim", "intent", "settlement"])
            self.assertEqual(scene.orders, ["/v2/repository/models/summary/load"])

        run(scenario)

    def test_without_the_shard_nothing_is_ordered(self) -> None:
        async def scenario(scene: Scene, planner: Planner) -> None:
            for _ in range(4):
                await scene.go_round(planner)
            self.assertEqual((scene.kinds(), scene.orders), ([], []))

        run(scenario)

    def test_a_lease_that_lapsed_before_the_sending_stops_the_order(self) -> None:
        async def scenario(scene: Scene, planner: Planner) -> None:
            await scene.hold()
            await scene.go_round(planner)
            self.assertEqual(scene.kinds(), ["claim", "intent"])
            await scene.timer.advance(20.0)
            for _ in range(4):
                await scene.go_round(planner)
            self.assertEqual(scene.orders, [])
            self.assertIn("settlement", scene.kinds())

        run(scenario)

    def test_a_plan_that_fails_does_not_end_the_daemon(self) -> None:
        async def scenario(scene: Scene, planner: Planner) -> None:
            await scene.hold()
            target = "_pistachiopond.control.orders.make_plan"
            with mock.patch(target, side_effect=KeyError("summary")):
                await scene.go_round(planner)
            for _ in range(4):
                await scene.go_round(planner)
            self.assertEqual(scene.orders, ["/v2/repository/models/summary/load"])

        run(scenario)
