"""The leader's service that decides what engine servers hold, and orders it."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from _pistachiopond.decisions.leadership import Leadership
from _pistachiopond.decisions.model_board import REPORT_LAG_S, Board, Holding
from _pistachiopond.decisions.model_plan import (
    ADAPTER_USE_S,
    DemandMemory,
    LoadAllowance,
    ModelDemand,
    PlanInputs,
    plan_adapter,
    plan_models,
)
from _pistachiopond.http1.client import ExchangeError
from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.pool import exchange
from _pistachiopond.observe.logs import log_change, log_trouble
from _pistachiopond.platform.servers import (
    decode_order_reply,
    decode_report,
    encode_order,
    encode_report_request,
)
from _pistachiopond.schema.deployment import BackendServer, Deployment, EngineSpec
from _pistachiopond.schema.model_orders import ModelOrder
from _pistachiopond.schema.peer_messages import HeldUpdate
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet, WantedModel
from _pistachiopond.vm.hub import Hub
from _pistachiopond.vm.pools import ServerPools

TICK_S: Final = 0.1
PLAN_PAUSE_S: Final = 0.004
# Members turn to a new leader and report within this time.
FIRST_PLAN_S: Final = 0.5
# Orders are answered within some milliseconds, or not at all.
ORDER_LIMIT_S: Final = 0.3
REPORT_LIMIT_S: Final = 1.0
# From a report that shows an adapter in use to the plan that heeds it.
ADAPTER_MARGIN_S: Final = 0.15
# An accepted adapter takes up to this long until requests may use it.
ADAPTER_LOAD_S: Final = 0.012


class PlacerParts(NamedTuple):
    """What the placer uses.

    Attributes
    ----------
    name : str
        This VM, as servers see the holder of orders.
    leadership : Leadership
        Whether it may act, and its fencing token.
    fleet : Fleet
        The servers.
    pools : ServerPools
        Connections to them.
    deployment : callable
        Returns the configuration in force, or None.
    """

    name: str
    leadership: Leadership
    fleet: Fleet
    pools: ServerPools
    deployment: Callable[[], Deployment | None]


class _Engines:
    """The engine servers of one service."""

    def __init__(self, spec: EngineSpec, now_s: float) -> None:
        self.board = Board(spec)
        self.memory = DemandMemory()
        self.allowance = LoadAllowance(spec.loads_per_s, now_s)
        self.ticked_s = float("-inf")
        # A new leader plans once all members have reported.
        self.plans_from_s = now_s + FIRST_PLAN_S
        self.fleet_change = -1
        self.recent_adapters: dict[str, int] = {}
        self._adapter_seen_s: dict[WantedModel, float] = {}
        self._waiting_since_s: dict[WantedModel, float] = {}

    def note_use(self, demand: Mapping[WantedModel, ModelDemand], now_s: float) -> None:
        """Note which adapters are in use, where, and how many of each model lately."""
        for wanted in demand:
            if wanted.adapter:
                self._adapter_seen_s[wanted] = now_s
        self.recent_adapters = {}
        for wanted, seen_s in list(self._adapter_seen_s.items()):
            if now_s - seen_s > ADAPTER_USE_S:
                del self._adapter_seen_s[wanted]
            else:
                known = self.recent_adapters.get(wanted.model, 0)
                self.recent_adapters[wanted.model] = known + 1
        in_use = {(wanted.model, wanted.adapter) for wanted in demand}
        for holding in self.board.holdings.values():
            for model, adapters in holding.models.items():
                for adapter in adapters:
                    if (model, adapter) in in_use:
                        holding.adapter_used_s[(model, adapter)] = now_s

    def waiting_since_s(
        self, demand: Mapping[WantedModel, ModelDemand], now_s: float
    ) -> dict[WantedModel, float]:
        """Return since when requests have waited for each model or adapter."""
        self._waiting_since_s = {
            wanted: self._waiting_since_s.get(wanted, now_s)
            for wanted, seen in demand.items()
            if seen.waiting > 0
        }
        return self._waiting_since_s


@final
class Placer:
    """The engine services while this VM leads."""

    def __init__(self, parts: PlacerParts) -> None:
        self._parts = parts
        self._engines: dict[str, _Engines] = {}
        self._told: dict[str, HeldUpdate] = {}
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._fence = -1
        self._is_changed = False
        self.hub: Hub | None = None

    def wake(self) -> None:
        """Plan at once."""
        self._wake.set()

    def held(self) -> list[HeldUpdate]:
        """Return what the members have been told of all servers."""
        return list(self._told.values())

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            self._wake.clear()
            if self._parts.leadership.may_act(boot_s()):
                self._step(boot_s())
            elif not self._parts.leadership.is_mine():
                self._forget()
            # Wishes that come together are planned together.
            await asyncio.sleep(PLAN_PAUSE_S)
            try:
                async with asyncio.timeout(TICK_S - PLAN_PAUSE_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _forget(self) -> None:
        self._engines.clear()
        self._told.clear()

    def _step(self, now_s: float) -> None:
        deployment = self._parts.deployment()
        claim = self._parts.leadership.claim
        if deployment is None or claim is None:
            return
        if claim.fence != self._fence:
            self._forget()
            self._fence = claim.fence
        for name, service in deployment.services.items():
            if service.engine is not None:
                self._plan(name, service.engine, now_s)
        if self._is_changed:
            self._is_changed = False
            self._tell()

    def _plan(self, service: str, spec: EngineSpec, now_s: float) -> None:
        engines = self._engines.get(service)
        if engines is None:
            engines = _Engines(spec, now_s)
            self._engines[service] = engines
        board = engines.board
        board.spec = spec
        if engines.fleet_change != self._parts.fleet.change_count:
            engines.fleet_change = self._parts.fleet.change_count
            servers = self._parts.fleet.of_service(service)
            board.set_servers({server.server_id: server for server in servers})
            self._is_changed = True
        assert self.hub is not None
        totals = self.hub.totals()
        demand = totals.demand.get(service, {})
        waiting_since_s = engines.waiting_since_s(demand, now_s)
        is_tick = now_s - engines.ticked_s >= TICK_S
        if is_tick:
            engines.ticked_s = now_s
            for holding in board.holdings.values():
                self._ask_if_unsure(holding, now_s)
            engines.note_use(demand, now_s)
        waiting = [wanted for wanted in waiting_since_s if wanted.adapter]
        if not is_tick and not waiting:
            return
        inputs = PlanInputs(
            board=board,
            replicas=board.replicas(),
            demand=_by_model(demand, waiting_since_s, now_s),
            memory=engines.memory,
            server_load=totals.load,
            runs=totals.runs,
            doubtful=totals.doubtful,
            allowance=engines.allowance,
            adapters=engines.recent_adapters,
            adapter_kept_s=self.hub.report_period_s() + ADAPTER_MARGIN_S,
        )
        if is_tick:
            engines.memory.update(inputs.demand, now_s)
        if is_tick and now_s >= engines.plans_from_s:
            for order in plan_models(inputs, now_s):
                self._send(board, order)
        waiting.sort(key=lambda wanted: waiting_since_s[wanted])
        self._plan_adapters(inputs, waiting, now_s)

    def _plan_adapters(
        self,
        inputs: PlanInputs,
        waiting: list[WantedModel],
        now_s: float,
    ) -> None:
        for wanted in waiting:
            is_held = any(
                wanted.adapter in holding.models.get(wanted.model, ())
                for holding in inputs.board.holdings.values()
                if not holding.server.is_leaving
            )
            if is_held:
                continue
            order = plan_adapter(inputs, wanted.model, wanted.adapter, now_s)
            if order is not None:
                self._send(inputs.board, order)

    def _ask_if_unsure(self, holding: Holding, now_s: float) -> None:
        is_unsure = not holding.is_known or holding.is_overdue(now_s)
        if not is_unsure or holding.is_ordering or holding.server.is_leaving:
            return
        if now_s - max(holding.asked_s, holding.ordered_s) < REPORT_LAG_S:
            return
        holding.asked_s = now_s
        self._start(self._ask(holding))

    def _send(self, board: Board, order: ModelOrder) -> None:
        holding = board.holdings[order.server_id]
        holding.is_ordering = True
        self._start(self._order(board, holding, order, self._fence))

    def _start(self, work: "asyncio.coroutines.Coroutine[None, None, None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, holding: Holding) -> None:
        server = holding.server
        asked_s = boot_s()
        head = encode_report_request(server.server_id)
        answer = await self._call(server, Request(head, b""), REPORT_LIMIT_S)
        report = answer.and_then(
            lambda found: (
                decode_report(found[1])
                if found[0] == 200
                else Err(f"status {found[0]}")
            )
        )
        if report.is_err():
            log_trouble(
                "server gave no report", server=server.server_id, reason=report.err()
            )
            return
        holding.take_report(report.ok(), asked_s)
        self._is_changed = True
        self.wake()

    async def _order(
        self, board: Board, holding: Holding, order: ModelOrder, fence: int
    ) -> None:
        server = holding.server
        request = encode_order(order, self._parts.name, fence)
        answer = await self._call(server, request, ORDER_LIMIT_S)
        outcome = "unanswered"
        if answer.is_ok():
            outcome = decode_order_reply(answer.ok()[0])
        log_change(
            "order given",
            server=server.server_id,
            action=order.action,
            model=order.model,
            adapter=order.adapter,
            order_count=order.order_count,
            fence=fence,
            outcome=outcome,
            detail=answer.err() if answer.is_err() else "",
        )
        if outcome in ("accepted", "holds_already"):
            await self._accepted(board, holding, order, outcome)
        elif outcome == "fenced":
            self._parts.leadership.resign()
        elif outcome != "unanswered":
            holding.is_known = False
        # After a lost answer the next order names the same count: the server refuses
        # it if it has carried the lost one out, and never carries out both.
        holding.ordered_s = boot_s()
        holding.is_ordering = False
        self._is_changed = True
        self.wake()

    async def _accepted(
        self, board: Board, holding: Holding, order: ModelOrder, outcome: str
    ) -> None:
        duration_s = 0.0
        if order.model in board.spec.models:
            duration_s = board.load_duration_s(holding, order.model)
        if order.adapter and order.action == "load":
            await asyncio.sleep(ADAPTER_LOAD_S)
        holding.accepted(order, boot_s(), duration_s)
        if outcome == "holds_already":
            # Whether it counted as an order is not said.
            holding.is_known = order.action == "unload" and bool(order.adapter)

    async def _call(
        self, server: BackendServer, request: Request, limit_s: float
    ) -> Result[tuple[int, bytes], str]:
        pool = self._parts.pools.of(server)
        try:
            answer = await exchange(pool, request, limit_s)
        except ExchangeError as error:
            return Err(str(error))
        return Ok((answer.head.status, answer.body))

    def _tell(self) -> None:
        updates: list[HeldUpdate] = []
        present: dict[str, HeldUpdate] = {}
        for engines in self._engines.values():
            for name, holding in engines.board.holdings.items():
                update: HeldUpdate = {
                    "server": name,
                    "started_ms": holding.server.started_ms,
                    "models": {
                        model: sorted(adapters)
                        for model, adapters in holding.models.items()
                        if holding.serves(model)
                    },
                }
                present[name] = update
                if self._told.get(name) != update:
                    updates.append(update)
        self._told = present
        if self.hub is not None:
            self.hub.push_held(updates)


def _by_model(
    demand: dict[WantedModel, ModelDemand],
    since_s: dict[WantedModel, float],
    now_s: float,
) -> dict[str, ModelDemand]:
    by_model: dict[str, ModelDemand] = {}
    for wanted, seen in demand.items():
        known = by_model.get(wanted.model, ModelDemand(0.0, 0.0))
        waited_s = now_s - since_s.get(wanted, now_s)
        # A request that lacks only its adapter still counts for its model.
        by_model[wanted.model] = ModelDemand(
            known.running + seen.running,
            known.waiting + seen.waiting,
            max(known.waiting_s, waited_s),
        )
    return by_model
