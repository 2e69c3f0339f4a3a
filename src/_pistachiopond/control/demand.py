"""The service ``demand``: what entry daemons report, summed for placement.

Each entry daemon reports to one control daemon; that one passes the sums on to the
holder of the backend servers' shard, which plans.
"""

from collections import defaultdict
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskStatus

from _pistachiopond.control.exchange import Exchange
from _pistachiopond.control.ports import Ownership
from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.decisions.ownership import server_shard
from _pistachiopond.kernel.service import Kernel, Service, UnknownServiceError
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.reports import EntryReport, ModelDemand
from _pistachiopond.transport.channels import Channels, call
from _pistachiopond.transport.generated.pond_pb2 import ReportReply, ReportRequest
from _pistachiopond.transport.generated.pond_pb2_grpc import ControlStub

PASS_ON_PERIOD_S: Final = 2.0
PASS_ON_TIMEOUT_S: Final = 2.0
SMOOTHING_S: Final = 15.0


class Smoothed(NamedTuple):
    """A rate that forgets with a time constant of `SMOOTHING_S`."""

    tokens_per_s: float = 0.0
    at_s: float = 0.0


@final
class Demand:
    """Demand for each model, as reported."""

    def __init__(self, me: Identity, timer: Timer, exchange: Exchange) -> None:
        self._me = me
        self._timer = timer
        self._exchange = exchange
        self._started_s = timer.now_s()
        self._rates: dict[str, Smoothed] = {}
        self._to_pass: dict[str, ModelDemand] = {}

    def take(self, entry_id: str, report: EntryReport) -> None:
        """Take one report of an entry daemon, or of a control daemon."""
        now_s = self._timer.now_s()
        for server in report.servers:
            if server.says_leaving:
                self._exchange.note_leaving(server.server, now_s, seen_here=True)
        is_passed_on = entry_id.startswith("control:")
        for item in report.demand:
            self._add(item, now_s)
            if not is_passed_on:
                self._keep_to_pass(item)

    def _add(self, item: ModelDemand, now_s: float) -> None:
        rate = decayed(self._rates.get(item.model, Smoothed(0.0, now_s)), now_s)
        self._rates[item.model] = Smoothed(rate + item.tokens / SMOOTHING_S, now_s)

    def _keep_to_pass(self, item: ModelDemand) -> None:
        before = self._to_pass.get(item.model, ModelDemand(item.model, 0, 0.0, 0))
        self._to_pass[item.model] = ModelDemand(
            item.model,
            before.requests + item.requests,
            before.tokens + item.tokens,
            item.waiting,
        )

    def take_to_pass(self) -> EntryReport:
        """Return what was reported since the last call, and start anew."""
        report = EntryReport(demand=tuple(self._to_pass.values()))
        self._to_pass = {}
        return report

    def tokens_per_s(self) -> dict[str, float]:
        """Return the smoothed demand by the name that callers used."""
        now_s = self._timer.now_s()
        rates: dict[str, float] = defaultdict(float)
        for model, smoothed in self._rates.items():
            rates[model] = decayed(smoothed, now_s)
        return dict(rates)


def decayed(smoothed: Smoothed, now_s: float) -> float:
    """Return the rate as of now."""
    return smoothed.tokens_per_s * 2.718281828 ** (
        -(now_s - smoothed.at_s) / SMOOTHING_S
    )


def make_demand_service(me: Identity, timer: Timer) -> Service:
    """Return the service ``demand``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        exchange = kernel.find("exchange", Exchange)
        ownership = kernel.find("ownership", Ownership)
        channels = kernel.find("channels", Channels)
        demand = Demand(me, timer, exchange)

        async def on_tick(now_s: float) -> None:
            report = demand.take_to_pass()
            holder = ownership.holder_address(server_shard(""))
            if not report.demand or holder in (None, me.address):
                return
            request = ReportRequest(
                entry_id=f"control:{me.address}", report_json=to_json(report).encode()
            )
            method = ControlStub(channels.get(holder)).Report
            await call(method, request, PASS_ON_TIMEOUT_S)

        async with anyio.create_task_group() as group:
            group.start_soon(every, timer, PASS_ON_PERIOD_S, on_tick)
            task_status.started(demand)
            await kernel.stop_event("demand").wait()
            group.cancel_scope.cancel()

    return Service("demand", run)


async def handle_report(
    kernel: Kernel, demand: Demand, request: ReportRequest
) -> ReportReply:
    """Take one report; crashes go to their own service."""
    report = from_json(EntryReport, request.report_json)
    if report.is_ok():
        typed = report.unwrap()
        demand.take(request.entry_id, typed)
        if typed.crashes:
            await _pass_crashes(kernel, typed)
    return ReportReply()


async def _pass_crashes(kernel: Kernel, report: EntryReport) -> None:
    try:
        handler: Any = kernel.find("crashes", object)
    except UnknownServiceError:
        return
    await handler.handle_crashes(report.crashes)
