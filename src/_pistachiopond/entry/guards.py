"""The services that a request must pass before it is dispatched.

In this version keyed calls are refused as not run, and suspects are left to the
dispatcher's standings.
"""

from typing import Any, Final

from anyio.abc import TaskStatus
from result import Err, Ok, Result

from _pistachiopond.decisions.grants import DRAW_TIMEOUT_S
from _pistachiopond.entry.fleet import Fleet
from _pistachiopond.entry.grants import make_limits_service
from _pistachiopond.entry.ports import (
    CallClaim,
    CallOutcome,
    Calls,
    Crashes,
    KeptAnswer,
)
from _pistachiopond.entry.problems import not_now
from _pistachiopond.entry.process import EntryProcess
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.schema.verdict import Failure
from _pistachiopond.transport.channels import call
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc

CALLS_RETRY_S: Final = 5.0


def make_guards(process: EntryProcess) -> list[Service]:
    """Return the services ``limits``, ``calls`` and ``crashes``."""
    return [
        _make_limits_service(process),
        _make_service("calls", Calls(_refuse_claim, _finish)),
        _make_service("crashes", Crashes(_admit, lambda fingerprint: None)),
    ]


def _make_limits_service(process: EntryProcess) -> Service:
    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        fleet = kernel.find("fleet", Fleet)

        async def send(
            address: str, request: pond_pb2.DrawRequest
        ) -> Result[pond_pb2.DrawReply, str]:
            stub = pond_pb2_grpc.ControlStub(process.channels.get(address))
            reply = await call(stub.Draw, request, DRAW_TIMEOUT_S)
            return reply.map_err(lambda failure: failure.detail)

        service = make_limits_service(
            process.timer,
            process.entry_id,
            lambda: fleet.state.limits,
            send,
            lambda customer: _burst_of(fleet, customer),
        )
        await service.run(kernel, task_status)

    return Service("limits", run)


def _burst_of(fleet: Fleet, customer: str) -> float | None:
    index = fleet.state.index
    return None if index is None else index.bursts_tokens.get(customer)


async def _refuse_claim(
    customer: str, route: str, key_digest: str, request_digest: str
) -> Result[CallClaim | KeptAnswer, Failure]:
    detail = "Keyed calls can't be recorded at the moment; it has not run."
    return Err(not_now("calls_unavailable", detail, CALLS_RETRY_S))


async def _finish(claim: CallClaim, outcome: CallOutcome) -> None:
    raise LookupError("no claim was given; see _refuse_claim")


async def _admit(fingerprint: str) -> Result[None, Failure]:
    return Ok(None)


def _make_service(name: str, api: Any) -> Service:
    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        task_status.started(api)
        await kernel.stop_event(name).wait()

    return Service(name, run)
