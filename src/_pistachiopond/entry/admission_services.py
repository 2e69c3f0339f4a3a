"""Services that admit a request before dispatch, by gRPC calls to control daemons."""

from collections.abc import Callable
from typing import Any, Final

from anyio.abc import TaskStatus
from result import Err, Result

from _pistachiopond.decisions.grants import DRAW_TIMEOUT_S
from _pistachiopond.entry.call_claims import make_calls_service
from _pistachiopond.entry.crash_suspects import make_crashes_service
from _pistachiopond.entry.fleet import Fleet
from _pistachiopond.entry.process import EntryProcess
from _pistachiopond.entry.token_limits import make_limits_service
from _pistachiopond.entry.view_subscription import ControlConnection
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.transport.channels import call
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc

CONTROL_CALL_TIMEOUT_S: Final = 5.0


def make_admission_services(process: EntryProcess) -> list[Service]:
    """Return the services ``limits``, ``calls`` and ``crashes``."""
    return [
        _deferred_service("limits", lambda kernel: _limits(process, kernel)),
        _deferred_service("calls", lambda kernel: _calls(process, kernel)),
        _deferred_service("crashes", lambda kernel: _crashes(process, kernel)),
    ]


def _limits(process: EntryProcess, kernel: Kernel) -> Service:
    fleet = kernel.find("fleet", Fleet)

    async def send(
        address: str, request: pond_pb2.DrawRequest
    ) -> Result[pond_pb2.DrawReply, str]:
        stub = pond_pb2_grpc.ControlStub(process.channels.get(address))
        reply = await call(stub.Draw, request, DRAW_TIMEOUT_S)
        return reply.map_err(lambda failure: failure.detail)

    return make_limits_service(
        process.timer,
        process.entry_id,
        lambda: fleet.state.limits,
        send,
        lambda customer: _burst_of(fleet, customer),
    )


def _burst_of(fleet: Fleet, customer: str) -> float | None:
    index = fleet.state.index
    return None if index is None else index.bursts_tokens.get(customer)


def _calls(process: EntryProcess, kernel: Kernel) -> Service:
    control = kernel.find("control", ControlConnection)

    async def send_claim(
        request: pond_pb2.ClaimCallRequest,
    ) -> Result[pond_pb2.ClaimCallReply, str]:
        return await _call_control(control, "ClaimCall", request)

    async def send_finish(
        request: pond_pb2.FinishCallRequest,
    ) -> Result[pond_pb2.FinishCallReply, str]:
        return await _call_control(control, "FinishCall", request)

    return make_calls_service(process.timer, send_claim, send_finish)


def _crashes(process: EntryProcess, kernel: Kernel) -> Service:
    control = kernel.find("control", ControlConnection)
    fleet = kernel.find("fleet", Fleet)

    async def send(
        request: pond_pb2.ProbationRequest,
    ) -> Result[pond_pb2.ProbationReply, str]:
        return await _call_control(control, "Probation", request)

    return make_crashes_service(
        process.timer, process.entry_id, lambda: fleet.state.suspects, send
    )


async def _call_control(
    control: ControlConnection, method: str, request: Any
) -> Result[Any, str]:
    """Call a method of the control daemon whose view is followed now."""
    address = control.address()
    if address is None:
        return Err("no control daemon is followed")
    stub = pond_pb2_grpc.ControlStub(control.channels.get(address))
    reply = await call(getattr(stub, method), request, CONTROL_CALL_TIMEOUT_S)
    return reply.map_err(lambda failure: failure.detail)


def _deferred_service(name: str, make: Callable[[Kernel], Service]) -> Service:
    """Return a service that is built when it starts.

    `make` can then look up the services that were started before it.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        await make(kernel).run(kernel, task_status)

    return Service(name, run)
