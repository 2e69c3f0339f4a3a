"""Reports this daemon's observations to the control daemon once a second."""

from collections.abc import Callable
from typing import Final, NamedTuple

import anyio
from anyio.abc import TaskStatus

from _pistachiopond.entry.exchange import DispatchApi
from _pistachiopond.entry.observations import Observations
from _pistachiopond.entry.view_subscription import ControlConnection
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import to_json
from _pistachiopond.transport.channels import call
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc

REPORT_PERIOD_S: Final = 1.0
REPORT_TIMEOUT_S: Final = 2.0


class ReportDependencies(NamedTuple):
    """The dependencies of the report service.

    Attributes
    ----------
    entry_id : str
        Unique for each start of this process.
    timer : Timer
        The clock for the reporting period.
    observations : Observations
        The source of the counts.
    is_ejected : callable
        Whether this daemon currently sends no requests to a server.
    """

    entry_id: str
    timer: Timer
    observations: Observations
    is_ejected: Callable[[str], bool]


def make_report_service(deps: ReportDependencies) -> Service:
    """Return the service ``report``; it needs ``control`` and ``dispatch``."""

    async def run(kernel: Kernel, task_status: TaskStatus[None]) -> None:
        control = kernel.find("control", ControlConnection)
        dispatch = kernel.find("dispatch", DispatchApi)

        async def send(now_s: float) -> None:
            address = control.address()
            if address is None:
                # Counts accumulate until a control daemon is followed again.
                return
            report = deps.observations.take_report(dispatch.waiting(), deps.is_ejected)
            stub = pond_pb2_grpc.ControlStub(control.channels.get(address))
            request = pond_pb2.ReportRequest(
                entry_id=deps.entry_id, report_json=to_json(report).encode()
            )
            # Losing a report loses one second of demand figures, which is acceptable;
            # crashes are kept for the next report.
            sent = await call(stub.Report, request, REPORT_TIMEOUT_S)
            if sent.is_err():
                for crash in report.crashes:
                    deps.observations.record_crash(crash)

        async with anyio.create_task_group() as group:
            group.start_soon(every, deps.timer, REPORT_PERIOD_S, send)
            task_status.started(None)
            await kernel.stop_event("report").wait()
            group.cancel_scope.cancel()

    return Service("report", run)
