"""Model placement: plans what engine servers load and sends them the orders.

Only the leader plans.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from _pistachiopond.decisions.engine_fleet import (
    REPORT_LAG_S,
    EngineFleet,
    ServerInventory,
)
from _pistachiopond.decisions.evacuation import mark_evacuated
from _pistachiopond.decisions.leadership import Leadership
from _pistachiopond.decisions.model_plan import (
    ADAPTER_DEMAND_WINDOW_S,
    DemandHistory,
    LoadRateLimit,
    ModelDemand,
    PlanInputs,
    VersionWait,
    plan_adapter,
    plan_models,
    sum_demand,
)
from _pistachiopond.http1.client import ExchangeError
from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.pool import send_request
from _pistachiopond.observe.containment import start_contained
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.requests import is_response_to_call
from _pistachiopond.platform.servers import (
    decode_notice,
    decode_order_reply,
    decode_report,
    encode_order,
    encode_report_request,
)
from _pistachiopond.schema.deployment import (
    BackendServer,
    Deployment,
    EngineSpec,
    Incarnation,
)
from _pistachiopond.schema.model_orders import ModelOrder
from _pistachiopond.schema.peer_messages import LoadedModelsUpdate
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet, ModelRef
from _pistachiopond.vm.leader_server import LeaderServer
from _pistachiopond.vm.server_pools import ServerPools

TICK_PERIOD_S: Final = 0.1
PLAN_PAUSE_S: Final = 0.004
# All members connect to a new leader and report within this time.
FIRST_PLAN_DELAY_S: Final = 0.5
# Servers answer orders within some milliseconds or not at all.
ORDER_TIMEOUT_S: Final = 0.3
REPORT_TIMEOUT_S: Final = 1.0
# A report lists the models, adapters and requests of one server.
MAX_ANSWER_BYTES: Final = 1024 * 1024
# Time from a report that shows an adapter in use to the plan that takes it into
# account.
ADAPTER_USE_MARGIN_S: Final = 0.15
# Time from a server's acceptance of an adapter until requests may use it, at most.
ADAPTER_LOAD_S: Final = 0.012


class PlacerDependencies(NamedTuple):
    """Dependencies of the placer.

    Attributes
    ----------
    name : str
        The name of this VM, sent with orders as their holder.
    leadership : Leadership
        Whether this VM may act as leader, and its fencing token.
    fleet : Fleet
        The backend servers.
    pools : ServerPools
        Connections to them.
    deployment : callable
        Returns the configuration in force, or None.
    crashed : callable
        Returns the servers that count as crashed, whatever their entries say.
    charge : callable
        Counts an order or a request for a report towards the rate of its server.
    """

    name: str
    leadership: Leadership
    fleet: Fleet
    pools: ServerPools
    deployment: Callable[[], Deployment | None]
    crashed: Callable[[], frozenset[Incarnation]] = frozenset
    charge: Callable[[BackendServer], None] = lambda _: None


class _Wait(NamedTuple):
    """A model or adapter that requests wait for.

    `software_version` is the only version at which they may run; None for any.
    """

    model_ref: ModelRef
    software_version: str | None


class _EngineService:
    """Planning state of one engine service."""

    def __init__(self, spec: EngineSpec, now_s: float) -> None:
        self.fleet = EngineFleet(spec)
        self.demand_history = DemandHistory()
        self.load_rate_limit = LoadRateLimit(spec.loads_per_s, now_s)
        self.last_tick_s = float("-inf")
        # A new leader plans only after all members have had time to report.
        self.plans_from_s = now_s + FIRST_PLAN_DELAY_S
        self.fleet_change_count = -1
        self.crashed: frozenset[Incarnation] = frozenset()
        self.recent_adapters: dict[str, int] = {}
        self._adapter_seen_s: dict[ModelRef, float] = {}
        self._waiting_since_s: dict[_Wait, float] = {}

    def record_use(self, demand: Mapping[ModelRef, ModelDemand], now_s: float) -> None:
        """Record which adapters are in use.

        Updates the number of recently used adapters of each model, and the time of
        the last use on each server that has the adapter.
        """
        for model_ref in demand:
            if model_ref.adapter:
                self._adapter_seen_s[model_ref] = now_s
        self.recent_adapters = {}
        for model_ref, seen_s in list(self._adapter_seen_s.items()):
            if now_s - seen_s > ADAPTER_DEMAND_WINDOW_S:
                del self._adapter_seen_s[model_ref]
            else:
                known = self.recent_adapters.get(model_ref.model, 0)
                self.recent_adapters[model_ref.model] = known + 1
        in_use = {(model_ref.model, model_ref.adapter) for model_ref in demand}
        for inventory in self.fleet.servers.values():
            for model, adapters in inventory.models.items():
                for adapter in adapters:
                    if (model, adapter) in in_use:
                        inventory.adapter_used_s[(model, adapter)] = now_s

    def waiting_since_s(
        self, demand: Mapping[ModelRef, ModelDemand], now_s: float
    ) -> dict[_Wait, float]:
        """Return when requests began to wait for each model or adapter."""
        waits = [
            _Wait(model_ref, None)
            for model_ref, seen in demand.items()
            if seen.waiting_at_any() > 0
        ]
        waits += [
            _Wait(model_ref, version)
            for model_ref, seen in demand.items()
            for version in seen.waiting_at
        ]
        self._waiting_since_s = {
            wait: self._waiting_since_s.get(wait, now_s) for wait in waits
        }
        return self._waiting_since_s


@final
class Placer:
    """Plans and orders the models of all engine services while this VM leads."""

    def __init__(self, deps: PlacerDependencies) -> None:
        self._deps = deps
        self._engines: dict[str, _EngineService] = {}
        self._announced: dict[str, LoadedModelsUpdate] = {}
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._fence = -1
        self._has_changes = False
        self._is_paused = False
        self.leader_server: LeaderServer | None = None

    def wake(self) -> None:
        """Run the next planning step without awaiting the period."""
        self._wake.set()

    def loaded_models(self) -> list[LoadedModelsUpdate]:
        """Return the loaded models of all servers as last announced to members."""
        return list(self._announced.values())

    async def run(self) -> None:
        """Plan in a loop until cancelled."""
        while True:
            self._wake.clear()
            if self._deps.leadership.may_act(boot_s()):
                self._plan_all(boot_s())
            elif not self._deps.leadership.is_mine():
                self._clear()
            # A short pause, so that requests that arrive together are planned together.
            await asyncio.sleep(PLAN_PAUSE_S)
            try:
                async with asyncio.timeout(TICK_PERIOD_S - PLAN_PAUSE_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _clear(self) -> None:
        self._engines.clear()
        self._announced.clear()

    def _plan_all(self, now_s: float) -> None:
        deployment = self._deps.deployment()
        claim = self._deps.leadership.claim
        if deployment is None or claim is None:
            return
        if claim.fence != self._fence:
            self._clear()
            self._fence = claim.fence
        self._note_pause(now_s)
        assert self.leader_server is not None
        self.leader_server.watch_crashes()
        for name, service in deployment.services.items():
            if service.engine is not None:
                self._plan_service(name, service.engine, now_s)
        if self._has_changes:
            self._has_changes = False
            self._announce_changes()

    def _note_pause(self, now_s: float) -> None:
        """Note whether orders are paused since other VMs led in between."""
        pause_s = self._deps.leadership.turns.pause_s(now_s)
        if self._is_paused != (pause_s > 0.0):
            self._is_paused = pause_s > 0.0
            log_change(
                "orders paused, another VM led shortly before"
                if self._is_paused
                else "orders go on",
                fence=self._fence,
                for_s=round(pause_s, 3),
            )

    def _plan_service(self, service: str, spec: EngineSpec, now_s: float) -> None:
        engines = self._engines.get(service)
        if engines is None:
            engines = _EngineService(spec, now_s)
            self._engines[service] = engines
        fleet = engines.fleet
        fleet.spec = spec
        crashed = self._deps.crashed()
        change_count = self._deps.fleet.change_count
        if (engines.fleet_change_count, engines.crashed) != (change_count, crashed):
            engines.fleet_change_count, engines.crashed = change_count, crashed
            fleet.set_servers(
                {
                    server.server_id: server
                    for server in mark_evacuated(
                        self._deps.fleet.servers_of(service),
                        self._deps.fleet.evacuated,
                    )
                    if server.incarnation() not in crashed
                }
            )
            self._has_changes = True
        assert self.leader_server is not None
        totals = self.leader_server.totals()
        demand = totals.demand.get(service, {})
        waiting_since_s = engines.waiting_since_s(demand, now_s)
        is_tick = now_s - engines.last_tick_s >= TICK_PERIOD_S
        if is_tick:
            engines.last_tick_s = now_s
            fleet.forget_late_orders(now_s)
            for inventory in fleet.servers.values():
                self._request_report_if_unsure(inventory, now_s)
            engines.record_use(demand, now_s)
        waiting = [wait for wait in waiting_since_s if wait.model_ref.adapter]
        if not is_tick and not waiting:
            return
        inputs = PlanInputs(
            fleet=fleet,
            replicas=fleet.replicas(),
            demand=_demand_by_model(demand, waiting_since_s, now_s),
            demand_history=engines.demand_history,
            server_load=totals.load,
            running_requests=totals.running_requests,
            unhealthy_servers=totals.unhealthy_servers | self._deps.fleet.paused(),
            rate_limited_servers=self._deps.fleet.rate_limited(),
            load_rate_limit=engines.load_rate_limit,
            adapters=engines.recent_adapters,
            adapter_idle_s=self.leader_server.report_period_s() + ADAPTER_USE_MARGIN_S,
        )
        if is_tick:
            engines.demand_history.update(inputs.demand, now_s)
        if self._is_paused:
            # Requests for reports go on, so that members know the loaded models.
            return
        if is_tick and now_s >= engines.plans_from_s:
            for order in plan_models(inputs, now_s):
                self._start_order(fleet, order)
        waiting.sort(key=lambda wait: waiting_since_s[wait])
        self._plan_adapters(inputs, waiting, now_s)

    def _plan_adapters(
        self,
        inputs: PlanInputs,
        waiting: list[_Wait],
        now_s: float,
    ) -> None:
        for model_ref, version in waiting:
            is_held = any(
                model_ref.adapter in inventory.ready_adapters(model_ref.model)
                for inventory in inputs.fleet.servers.values()
                if not inventory.server.is_leaving
                and version in (None, inventory.server.software_version)
            )
            if is_held:
                continue
            order = plan_adapter(
                inputs, model_ref.model, model_ref.adapter, now_s, version
            )
            if order is not None:
                self._start_order(inputs.fleet, order)

    def _request_report_if_unsure(
        self, inventory: ServerInventory, now_s: float
    ) -> None:
        is_unsure = not inventory.is_known or inventory.is_overdue(now_s)
        server = inventory.server
        if not is_unsure or inventory.is_ordering or server.is_leaving:
            return
        if not self._deps.fleet.is_open(server):
            return
        if now_s - max(inventory.asked_s, inventory.ordered_s) < REPORT_LAG_S:
            return
        inventory.asked_s = now_s
        self._start_task(self._request_report(inventory))

    def _start_order(self, fleet: EngineFleet, order: ModelOrder) -> None:
        inventory = fleet.servers[order.server_id]
        inventory.is_ordering = True
        self._start_task(self._send_order(fleet, inventory, order, self._fence))

    def _start_task(
        self, work: "asyncio.coroutines.Coroutine[None, None, None]"
    ) -> None:
        start_contained("call to a server", work, self._tasks)

    async def _request_report(self, inventory: ServerInventory) -> None:
        server = inventory.server
        asked_s = boot_s()
        head = encode_report_request(server.server_id)
        response = await self._call(server, Request(head, b""), REPORT_TIMEOUT_S)
        report = response.map_err(str).and_then(
            lambda found: (
                decode_report(found[1])
                if found[0] == 200
                else Err(f"status {found[0]}")
            )
        )
        if report.is_err():
            log_warning(
                "server report failed", server=server.server_id, reason=report.err()
            )
            return
        inventory.take_report(report.ok(), asked_s)
        self._has_changes = True
        self.wake()

    async def _send_order(
        self,
        fleet: EngineFleet,
        inventory: ServerInventory,
        order: ModelOrder,
        fence: int,
    ) -> None:
        server = inventory.server
        response = await self._call_with_order(server, order, fence)
        if response.is_ok():
            outcome = decode_order_reply(response.ok()[0])
        else:
            outcome = "unsent" if response.err().kind == "connect" else "unanswered"
        log_change(
            "order given",
            server=server.server_id,
            action=order.action,
            model=order.model,
            adapter=order.adapter,
            software_version=server.software_version,
            required_version=order.required_version,
            order_count=order.order_count,
            fence=fence,
            outcome=outcome,
            detail=str(response.err()) if response.is_err() else "",
        )
        if outcome == "fenced":
            self._deps.leadership.resign()
        is_done = outcome in ("accepted", "holds_already")
        if is_done and order.adapter and order.action == "load":
            await asyncio.sleep(ADAPTER_LOAD_S)
        fleet.record_outcome(inventory, order, outcome, boot_s())
        self._has_changes = True
        self.wake()

    async def _call_with_order(
        self, server: BackendServer, order: ModelOrder, fence: int
    ) -> Result[tuple[int, bytes], ExchangeError]:
        # The process may have stood still since the order was planned.
        leadership = self._deps.leadership
        is_same_claim = leadership.claim is not None and leadership.claim.fence == fence
        if not is_same_claim or not leadership.may_order(boot_s()):
            return Err(ExchangeError("connect", "this VM no longer leads"))
        request = encode_order(order, self._deps.name, fence)
        leadership.turns.order_sent(boot_s())
        try:
            return await self._call(server, request, ORDER_TIMEOUT_S)
        finally:
            leadership.turns.order_ended(boot_s())

    async def _call(
        self, server: BackendServer, request: Request, timeout_s: float
    ) -> Result[tuple[int, bytes], ExchangeError]:
        pool = self._deps.pools.pool_of(server)
        self._deps.charge(server)
        try:
            response = await send_request(
                pool, request, timeout_s, MAX_ANSWER_BYTES, is_response_to_call
            )
        except ExchangeError as error:
            return Err(error)
        self._deps.fleet.apply_notice(server, decode_notice(response.head))
        return Ok((response.head.status, response.body))

    def _announce_changes(self) -> None:
        updates: list[LoadedModelsUpdate] = []
        present: dict[str, LoadedModelsUpdate] = {}
        for engines in self._engines.values():
            for name, inventory in engines.fleet.servers.items():
                update: LoadedModelsUpdate = {
                    "server": name,
                    "started_ms": inventory.server.started_ms,
                    "models": {
                        model: sorted(inventory.ready_adapters(model))
                        for model in inventory.models
                        if inventory.serves(model)
                    },
                }
                present[name] = update
                if self._announced.get(name) != update:
                    updates.append(update)
        for name, started_ms in self._deps.crashed():
            # Members stop sending requests there, and other VMs' resumptions with them.
            update = {"server": name, "started_ms": started_ms, "models": {}}
            present[name] = update
            if self._announced.get(name) != update:
                updates.append(update)
        self._announced = present
        if self.leader_server is not None:
            self.leader_server.push_loaded_models(updates)


def _demand_by_model(
    demand: dict[ModelRef, ModelDemand],
    since_s: dict[_Wait, float],
    now_s: float,
) -> dict[str, ModelDemand]:
    by_model: dict[str, ModelDemand] = {}
    for model_ref, seen in demand.items():
        waiting_at = {
            version: VersionWait(
                wait.waiting, now_s - since_s[_Wait(model_ref, version)]
            )
            for version, wait in seen.waiting_at.items()
        }
        any_s = now_s - since_s.get(_Wait(model_ref, None), now_s)
        waited_s = max([any_s, *(wait.waiting_s for wait in waiting_at.values())])
        timed = ModelDemand(seen.running, seen.waiting, waited_s, waiting_at)
        # A request that waits only for its adapter counts as demand for the model too.
        known = by_model.get(model_ref.model)
        by_model[model_ref.model] = timed if known is None else sum_demand(known, timed)
    return by_model
