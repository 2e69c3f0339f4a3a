"""The service ``orders``: plans model placement and sends orders to the engines.

Only the daemon that holds the backend servers' shard plans and sends orders. Each step
is checked against free memory, the weight store's limits and the shard lease at that
moment; the order tracker announces, sends, confirms and settles each order.
"""

import math
from collections.abc import Iterable
from typing import Any, Final, final

import anyio
import httpx
from anyio.abc import TaskGroup, TaskStatus
from prometheus_client import Counter, Gauge

from _pistachiopond.clients.reply_client import (
    MAX_ENGINE_REPLY_BYTES,
    make_reply_client,
)
from _pistachiopond.control.demand import Demand
from _pistachiopond.control.engine_orders import send_fence, send_order
from _pistachiopond.control.engines import Engines
from _pistachiopond.control.gossip import GossipState
from _pistachiopond.control.ownership import Shard, Shards
from _pistachiopond.control.ports import Configuration, LogAccess, Membership
from _pistachiopond.decisions.drains import DrainList
from _pistachiopond.decisions.earlier_orders import (
    EarlierOrdersInput,
    decide_earlier_orders,
)
from _pistachiopond.decisions.load_limits import (
    count_loads,
    may_start_adapter,
    may_start_model,
)
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.decisions.memory import free_mb
from _pistachiopond.decisions.order_tracker import (
    AppendIntent,
    OrderAction,
    OrderTracker,
    SendOrder,
)
from _pistachiopond.decisions.ownership import ShardLease, server_shard
from _pistachiopond.decisions.placement import make_plan
from _pistachiopond.decisions.placement_types import PlacementPlan
from _pistachiopond.decisions.planning import (
    PlanFacts,
    WantedOrder,
    adapter_orders,
    orders_to_repeat,
    placement_input,
    usable_report,
)
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.heartbeat import DrainedReplica
from _pistachiopond.schema.manifest import Manifest
from _pistachiopond.schema.records import Intent, Order, SettlementRecord

TICK_S: Final = 0.25
PLAN_PERIOD_S: Final = 0.5
FIRST_REPORTS_TIMEOUT_S: Final = 5.0
FENCE_RETRY_S: Final = 2.0
SETTLEMENT_RETRY_S: Final = 3.0
STOP_TIMEOUT_S: Final = 8.0

ORDERS: Final = Counter("pond_orders", "Orders begun", ["verb"])
ORDER_RESULTS: Final = Counter("pond_order_answers", "How exchanges ended", ["kind"])
PLAN_FAILURES: Final = Counter("pond_plan_failures", "Plans that raised an error")
UNPLACED: Final = Gauge("pond_models_unplaced", "Listed models without a place")
UNSETTLED: Final = Gauge("pond_intents_unsettled", "Orders that may be in effect")


@final
class Planner:
    """Plans placements, and tracks and sends the resulting orders."""

    def __init__(
        self, me: Identity, kernel: Kernel, http: httpx.AsyncClient, timer: Timer
    ) -> None:
        self._me = me
        self._http = http
        self._timer = timer
        self._configuration = kernel.find("configuration", Configuration)
        self._membership = kernel.find("membership", Membership)
        self._engines = kernel.find("engines", Engines)
        self._gossip = kernel.find("exchange", GossipState)
        self._demand = kernel.find("demand", Demand)
        self._log = kernel.find("log", LogAccess)
        shard = kernel.find("shards", Shards).get(server_shard(""))
        assert shard is not None
        self._shard: Shard = shard
        self._tracker = OrderTracker(me.incarnation, me.address)
        self._drains = DrainList()
        self._last_plan_s = float("-inf")
        self._last_load_s = float("-inf")
        self._last_fence_s: dict[str, float] = {}
        self._fence_count = 0
        self._last_settlement_s: dict[tuple[str, int], float] = {}
        self.unplaced: tuple[str, ...] = ()
        self.is_stopping = False
        self._last_plan_failed = False

    # -- main loop --------------------------------------------------------------

    def stream_changed(self) -> anyio.Event:
        """Return the event that is set when the next record of the shard is read."""
        return self._shard.changed

    def on_tick(self, group: TaskGroup, now_s: float) -> None:
        """Apply new records and reports, plan, and start the actions that are due."""
        self._gossip.record_progress("orders", now_s)
        state = self._shard.state()
        if state is None:
            return
        self._tracker.take_state(state, self._engines.reports(), now_s)
        UNSETTLED.set(len(self._tracker.intents()))
        lease = self._shard.held()
        revision = self._configuration.revision()
        if lease is not None and revision is not None and not self.is_stopping:
            self._settle_earlier_holders(group, revision.manifest, lease, now_s)
            if now_s - self._last_plan_s >= PLAN_PERIOD_S:
                self._last_plan_s = now_s
                self._plan_safely(revision.manifest, lease, now_s)
        pending = self._tracker.pending()
        self._engines.set_busy_servers(frozenset(item.order.server for item in pending))
        for action in self._tracker.next_actions(self._shard.held(), now_s):
            group.start_soon(self._execute, action)

    async def _execute(self, action: OrderAction) -> None:
        if isinstance(action, SendOrder):
            await self._send(action)
            return
        if (
            isinstance(action, AppendIntent)
            and self._held_in_epoch(action.record.intent.epoch) is None
        ):
            return
        await self._log.append(self._shard.stream, to_json(action.record))

    def _held_in_epoch(self, epoch: int) -> ShardLease | None:
        lease = self._shard.held()
        return lease if lease is not None and lease.epoch == epoch else None

    async def _send(self, action: SendOrder) -> None:
        order = action.order
        url = self._url(order.server)
        if url is None or self._held_in_epoch(action.epoch) is None:
            self._tracker.record_answer(order.number, "not_sent", self._timer.now_s())
            return
        kind = await send_order(self._http, url, order, action.epoch)
        ORDER_RESULTS.labels(kind).inc()
        self._tracker.record_answer(order.number, kind, self._timer.now_s())

    def _url(self, server: str) -> str | None:
        revision = self._configuration.revision()
        if revision is None:
            return None
        servers = revision.manifest.backend_servers
        return next((item.url for item in servers if item.name == server), None)

    # -- orders from earlier holders of the shard --------------------------------

    def _settle_earlier_holders(
        self, group: TaskGroup, manifest: Manifest, lease: ShardLease, now_s: float
    ) -> None:
        intents = self._tracker.intents()
        if all(item.holder == self._me.incarnation for item in intents):
            return
        decision = decide_earlier_orders(
            intents,
            self._engines.reports(),
            self._earlier_holders_input(intents, manifest, lease),
            now_s,
        )
        for server in decision.to_fence:
            self._send_fence(group, server, lease, now_s)
        self._append_settlements(group, decision.settled, lease, now_s)

    def _earlier_holders_input(
        self, intents: Iterable[Intent], manifest: Manifest, lease: ShardLease
    ) -> EarlierOrdersInput:
        gone_s = {
            item.holder: self._membership.ended_since_s(item.address, item.holder)
            for item in intents
            if item.holder != self._me.incarnation
        }
        return EarlierOrdersInput(
            self._me.incarnation,
            lease.epoch,
            lease.acquired_s,
            frozenset(
                item.name for item in manifest.backend_servers if item.checks_fencing
            ),
            {key: value for key, value in gone_s.items() if value is not None},
        )

    def _send_fence(
        self, group: TaskGroup, server: str, lease: ShardLease, now_s: float
    ) -> None:
        url = self._url(server)
        last_s = self._last_fence_s.get(server, float("-inf"))
        if url is None or now_s - last_s < FENCE_RETRY_S:
            return
        self._last_fence_s[server] = now_s
        self._fence_count += 1
        group.start_soon(send_fence, self._http, url, lease.epoch, self._fence_count)

    def _append_settlements(
        self,
        group: TaskGroup,
        settled: tuple[Intent, ...],
        lease: ShardLease,
        now_s: float,
    ) -> None:
        by_holder: dict[str, list[int]] = {}
        for intent in settled:
            key = (intent.holder, intent.order.number)
            if (
                now_s - self._last_settlement_s.get(key, float("-inf"))
                < SETTLEMENT_RETRY_S
            ):
                continue
            self._last_settlement_s[key] = now_s
            by_holder.setdefault(intent.holder, []).append(intent.order.number)
        for holder, numbers in by_holder.items():
            record = SettlementRecord(
                self._me.incarnation, lease.epoch, holder, tuple(sorted(numbers))
            )
            log_change("orders of an earlier holder settled", holder=holder)
            group.start_soon(self._log.append, self._shard.stream, to_json(record))

    # -- planning ----------------------------------------------------------------

    def _plan_safely(self, manifest: Manifest, lease: ShardLease, now_s: float) -> None:
        # All daemons run the same planning code. Without this handler, a manifest that
        # makes it fail would crash one shard holder after another, and with them the
        # services that send views and grant rate-limit tokens.
        try:
            self._plan(manifest, lease, now_s)
        except Exception as error:
            PLAN_FAILURES.inc()
            if not self._last_plan_failed:
                log_warning("planning failed; engines stay as they are", error=error)
            self._last_plan_failed = True
        else:
            self._last_plan_failed = False

    def _plan(self, manifest: Manifest, lease: ShardLease, now_s: float) -> None:
        facts = self._facts(manifest, lease, now_s)
        if not self._has_first_reports(facts, lease, now_s):
            return
        plan = make_plan(placement_input(facts, now_s))
        self.unplaced = plan.unplaced
        UNPLACED.set(len(plan.unplaced))
        self._publish_drains(plan, lease, now_s)
        for order in adapter_orders(facts, now_s):
            self._start_adapter_order(order, facts, lease)
        for step in plan.unloads:
            self._start_unload(
                WantedOrder(step.server, "unload", step.model, step.version, "", 0),
                lease,
            )
        for order in orders_to_repeat(facts, self._me.incarnation, now_s):
            self._start_order(order, lease)
        self._start_loads(plan, facts, lease, now_s)

    def _facts(self, manifest: Manifest, lease: ShardLease, now_s: float) -> PlanFacts:
        return PlanFacts(
            manifest=manifest,
            reports=self._engines.reports(),
            intents=self._tracker.intents(),
            leaving=frozenset(self._gossip.leaving(now_s)),
            draining_since_s=self._drains.since_s(),
            acquired_s=lease.acquired_s,
            tokens_per_s=self._demand.tokens_per_s(),
        )

    def _has_first_reports(
        self, facts: PlanFacts, lease: ShardLease, now_s: float
    ) -> bool:
        if now_s - lease.acquired_s >= FIRST_REPORTS_TIMEOUT_S:
            return True
        return all(
            usable_report(server.name, facts, now_s) is not None
            for server in facts.manifest.backend_servers
            if server.memory_mb > 0
        )

    def _publish_drains(
        self, plan: PlacementPlan, lease: ShardLease, now_s: float
    ) -> None:
        wanted = [DrainedReplica(*step) for step in plan.drains]
        notice = self._drains.update(wanted, lease.epoch, now_s)
        self._gossip.update_drains(notice)

    def _start_loads(
        self, plan: PlacementPlan, facts: PlanFacts, lease: ShardLease, now_s: float
    ) -> None:
        limits = facts.manifest.weight_store
        models = {model.name: model for model in facts.manifest.models}
        for step in plan.loads:
            loads = count_loads(
                self._tracker.intents(),
                facts.reports,
                self._me.incarnation,
                now_s - lease.acquired_s,
            )
            if not may_start_model(loads, limits, self._last_load_s, now_s):
                return
            if self._free_memory_mb(step.server, facts) < step.memory_mb:
                continue
            wanted = WantedOrder(
                step.server,
                "load",
                step.model,
                step.version,
                "",
                models[step.model].memory_mb,
            )
            if self._start_order(wanted, lease):
                self._last_load_s = now_s

    def _start_adapter_order(
        self, wanted: WantedOrder, facts: PlanFacts, lease: ShardLease
    ) -> None:
        if wanted.verb == "load_adapter":
            loads = count_loads(
                self._tracker.intents(), facts.reports, self._me.incarnation, math.inf
            )
            if not may_start_adapter(loads, facts.manifest.weight_store):
                return
            if self._free_memory_mb(wanted.server, facts) < wanted.memory_mb:
                return
        self._start_order(wanted, lease)

    def _start_unload(self, wanted: WantedOrder, lease: ShardLease) -> None:
        self._start_order(wanted, lease)

    def _free_memory_mb(self, server: str, facts: PlanFacts) -> int:
        """Return the server's free memory after all announced orders.

        Based on the newest report and the current intents; 0 without a usable report.
        """
        report = usable_report(server, facts, self._timer.now_s())
        if report is None:
            return 0
        listed = next(
            item for item in facts.manifest.backend_servers if item.name == server
        )
        memory_mb = min(listed.memory_mb, report.state.memory_mb)
        state = report.state._replace(memory_mb=memory_mb)
        return free_mb(server, state, self._tracker.intents())

    def _start_order(self, wanted: WantedOrder, lease: ShardLease) -> bool:
        if self._tracker.is_open(
            wanted.server, wanted.verb, wanted.model, wanted.adapter
        ):
            return False
        ORDERS.labels(wanted.verb).inc()
        order = Order(0, *wanted)
        self._tracker.add(order, lease.epoch)
        return True

    # -- shutdown ----------------------------------------------------------------

    async def append_last_settlements(self) -> None:
        """Record which of this daemon's orders are certainly not in flight."""
        record = self._tracker.settle_for_shutdown(self._timer.now_s())
        if record is not None:
            await self._log.append(self._shard.stream, to_json(record))


async def _run_planner(planner: Planner, group: TaskGroup, timer: Timer) -> None:
    """Run a planning cycle once a period, and whenever a new record arrives."""
    while True:
        changed = planner.stream_changed()
        planner.on_tick(group, timer.now_s())
        with anyio.move_on_after(TICK_S):
            await changed.wait()


def make_orders_service(me: Identity, timer: Timer) -> Service:
    """Return the service ``orders``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        async with make_reply_client(MAX_ENGINE_REPLY_BYTES) as http:
            planner = Planner(me, kernel, http, timer)
            async with anyio.create_task_group() as group:
                group.start_soon(_run_planner, planner, group, timer)
                task_status.started(planner)
                await kernel.stop_event("orders").wait()
                planner.is_stopping = True
                group.cancel_scope.cancel()
            with anyio.move_on_after(STOP_TIMEOUT_S):
                await planner.append_last_settlements()

    return Service("orders", run)
