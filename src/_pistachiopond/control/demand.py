"""The service ``demand``: sums the demand that entry daemons report.

Each entry daemon reports to one control daemon, which forwards the sums to the holder
of the backend servers' shard. That daemon plans the placement of models.
"""

from collections import defaultdict
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskStatus

from _pistachiopond.control.gossip import GossipState
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

FORWARD_PERIOD_S: Final = 2.0
FORWARD_TIMEOUT_S: Final = 2.0
RATE_TIME_CONSTANT_S: Final = 15.0


class SmoothedRate(NamedTuple):
    """A rate that decays exponentially with `RATE_TIME_CONSTANT_S`."""

    tokens_per_s: float = 0.0
    at_s: float = 0.0


@final
class Demand:
    """The reported demand for each model."""

    def __init__(self, me: Identity, timer: Timer, gossip: GossipState) -> None:
        self._me = me
        self._timer = timer
        self._gossip = gossip
        self._started_s = timer.now_s()
        self._rates: dict[str, SmoothedRate] = {}
        self._unforwarded: dict[str, ModelDemand] = {}

    def add_report(self, entry_id: str, report: EntryReport) -> None:
        """Add one report of an entry daemon, or the sums of another control daemon."""
        now_s = self._timer.now_s()
        for server in report.servers:
            if server.says_leaving:
                self._gossip.record_leaving(server.server, now_s, is_first_hand=True)
        is_forwarded = entry_id.startswith("control:")
        for item in report.demand:
            self._add(item, now_s)
            if not is_forwarded:
                self._queue_for_forwarding(item)

    def _add(self, item: ModelDemand, now_s: float) -> None:
        rate = decayed_rate(
            self._rates.get(item.model, SmoothedRate(0.0, now_s)), now_s
        )
        self._rates[item.model] = SmoothedRate(
            rate + item.tokens / RATE_TIME_CONSTANT_S, now_s
        )

    def _queue_for_forwarding(self, item: ModelDemand) -> None:
        before = self._unforwarded.get(item.model, ModelDemand(item.model, 0, 0.0, 0))
        self._unforwarded[item.model] = ModelDemand(
            item.model,
            before.requests + item.requests,
            before.tokens + item.tokens,
            item.waiting,
        )

    def pop_unforwarded(self) -> EntryReport:
        """Return the sums reported since the last call and reset them."""
        report = EntryReport(demand=tuple(self._unforwarded.values()))
        self._unforwarded = {}
        return report

    def tokens_per_s(self) -> dict[str, float]:
        """Return the smoothed demand by the model name that callers used."""
        now_s = self._timer.now_s()
        rates: dict[str, float] = defaultdict(float)
        for model, smoothed in self._rates.items():
            rates[model] = decayed_rate(smoothed, now_s)
        return dict(rates)


def decayed_rate(smoothed: SmoothedRate, now_s: float) -> float:
    """Return the rate decayed to `now_s`."""
    return smoothed.tokens_per_s * 2.718281828 ** (
        -(now_s - smoothed.at_s) / RATE_TIME_CONSTANT_S
    )


def make_demand_service(me: Identity, timer: Timer) -> Service:
    """Return the service ``demand``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        gossip = kernel.find("exchange", GossipState)
        ownership = kernel.find("ownership", Ownership)
        channels = kernel.find("channels", Channels)
        demand = Demand(me, timer, gossip)

        async def on_tick(now_s: float) -> None:
            report = demand.pop_unforwarded()
            holder = ownership.holder_address(server_shard(""))
            if not report.demand or holder in (None, me.address):
                return
            request = ReportRequest(
                entry_id=f"control:{me.address}", report_json=to_json(report).encode()
            )
            method = ControlStub(channels.get(holder)).Report
            await call(method, request, FORWARD_TIMEOUT_S)

        async with anyio.create_task_group() as group:
            group.start_soon(every, timer, FORWARD_PERIOD_S, on_tick)
            task_status.started(demand)
            await kernel.stop_event("demand").wait()
            group.cancel_scope.cancel()

    return Service("demand", run)


async def handle_report(
    kernel: Kernel, demand: Demand, request: ReportRequest
) -> ReportReply:
    """Handle one report; crashes go to the service ``crashes``."""
    report = from_json(EntryReport, request.report_json)
    if report.is_ok():
        typed = report.unwrap()
        demand.add_report(request.entry_id, typed)
        if typed.crashes:
            await _forward_crashes(kernel, typed)
    return ReportReply()


async def _forward_crashes(kernel: Kernel, report: EntryReport) -> None:
    try:
        handler: Any = kernel.find("crashes", object)
    except UnknownServiceError:
        return
    await handler.handle_crashes(report.crashes)
