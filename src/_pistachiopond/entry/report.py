"""Tells the control daemon once a second what this daemon sees."""

from collections.abc import Callable
from typing import Final, NamedTuple

import anyio
from anyio.abc import TaskStatus

from _pistachiopond.entry.exchange import DispatchPort
from _pistachiopond.entry.observations import Observations
from _pistachiopond.entry.watch import ControlLink
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import to_json
from _pistachiopond.transport.channels import call
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc

REPORT_PERIOD_S: Final = 1.0
REPORT_TIMEOUT_S: Final = 2.0


class ReportParts(NamedTuple):
    """What the report service is made of.

    Attributes
    ----------
    entry_id : str
        Unique for each start of this process.
    timer : Timer
        For the period.
    observations : Observations
        Where the counts come from.
    is_ejected : callable
        Whether a server gets no work from this daemon at present.
    """

    entry_id: str
    timer: Timer
    observations: Observations
    is_ejected: Callable[[str], bool]


def make_report_service(parts: ReportParts) -> Service:
    """Return the service ``report``; it needs ``control`` and ``dispatch``."""

    async def run(kernel: Kernel, task_status: TaskStatus[None]) -> None:
        link = kernel.find("control", ControlLink)
        dispatch = kernel.find("dispatch", DispatchPort)

        async def send(now_s: float) -> None:
            address = link.address()
            if address is None:
                # Counts go on adding up until a control daemon is followed.
                return
            report = parts.observations.take_report(
                dispatch.waiting(), parts.is_ejected
            )
            stub = pond_pb2_grpc.ControlStub(link.channels.get(address))
            request = pond_pb2.ReportRequest(
                entry_id=parts.entry_id, report_json=to_json(report).encode()
            )
            # A lost report costs a second of demand figures; crashes are kept.
            sent = await call(stub.Report, request, REPORT_TIMEOUT_S)
            if sent.is_err():
                for crash in report.crashes:
                    parts.observations.crash(crash)

        async with anyio.create_task_group() as group:
            group.start_soon(every, parts.timer, REPORT_PERIOD_S, send)
            task_status.started(None)
            await kernel.stop_event("report").wait()
            group.cancel_scope.cancel()

    return Service("report", run)
