"""The services that a request must pass before it is dispatched, by gRPC."""

from collections.abc import Callable
from typing import Any, Final

from anyio.abc import TaskStatus
from result import Err, Result

from _pistachiopond.decisions.grants import DRAW_TIMEOUT_S
from _pistachiopond.entry.calls import make_calls_service
from _pistachiopond.entry.crashes import make_crashes_service
from _pistachiopond.entry.fleet import Fleet
from _pistachiopond.entry.grants import make_limits_service
from _pistachiopond.entry.process import EntryProcess
from _pistachiopond.entry.watch import ControlLink
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.transport.channels import call
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc

CALL_TIMEOUT_S: Final = 5.0


def make_guards(process: EntryProcess) -> list[Service]:
    """Return the services ``limits``, ``calls`` and ``crashes``."""
    return [
        _make_later("limits", lambda kernel: _limits(process, kernel)),
        _make_later("calls", lambda kernel: _calls(process, kernel)),
        _make_later("crashes", lambda kernel: _crashes(process, kernel)),
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
    link = kernel.find("control", ControlLink)

    async def send_claim(
        request: pond_pb2.ClaimCallRequest,
    ) -> Result[pond_pb2.ClaimCallReply, str]:
        return await _ask(link, "ClaimCall", request)

    async def send_finish(
        request: pond_pb2.FinishCallRequest,
    ) -> Result[pond_pb2.FinishCallReply, str]:
        return await _ask(link, "FinishCall", request)

    return make_calls_service(process.timer, send_claim, send_finish)


def _crashes(process: EntryProcess, kernel: Kernel) -> Service:
    link = kernel.find("control", ControlLink)
    fleet = kernel.find("fleet", Fleet)

    async def send(
        request: pond_pb2.ProbationRequest,
    ) -> Result[pond_pb2.ProbationReply, str]:
        return await _ask(link, "Probation", request)

    return make_crashes_service(
        process.timer, process.entry_id, lambda: fleet.state.suspects, send
    )


async def _ask(link: ControlLink, method: str, request: Any) -> Result[Any, str]:
    """Call the control daemon that is followed now."""
    address = link.address()
    if address is None:
        return Err("no control daemon is followed")
    stub = pond_pb2_grpc.ControlStub(link.channels.get(address))
    reply = await call(getattr(stub, method), request, CALL_TIMEOUT_S)
    return reply.map_err(lambda failure: failure.detail)


def _make_later(name: str, make: Callable[[Kernel], Service]) -> Service:
    """Return a service that is made once those before it can be found."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        await make(kernel).run(kernel, task_status)

    return Service(name, run)
