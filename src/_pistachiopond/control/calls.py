"""The service ``calls``: runs each call with an idempotency key at most once.

The order of claim records in the log decides which claim may run.
"""

import base64
from typing import Any, Final, final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from prometheus_client import Counter

from _pistachiopond.control.call_stream import CallStream
from _pistachiopond.control.ports import CallHandler, LogAccess, Membership
from _pistachiopond.decisions.call_ledger import (
    KEPT_BODY_BYTES,
    ClaimStatus,
    call_name,
    call_partition,
)
from _pistachiopond.decisions.rendezvous import ranked
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.calls import CallRecord
from _pistachiopond.transport.channels import CallFailure, Channels, call
from _pistachiopond.transport.generated import pond_pb2 as pb
from _pistachiopond.transport.generated.pond_pb2_grpc import ControlStub

PARTITIONS: Final = 16
DECISION_TIMEOUT_S: Final = 1.5
FORWARD_TIMEOUT_S: Final = 2.0
READ_BACK_PERIOD_S: Final = 0.05
RELEASE_PERIOD_S: Final = 1.0
RETRY_AFTER_S: Final = 2.0

DECISIONS: Final = Counter(
    "pond_control_call_decisions", "Keyed calls by what was decided.", ["outcome"]
)

OUTCOMES: Final[dict[ClaimStatus, Any]] = {
    "mine": pb.ClaimCallReply.RUN,
    "in_progress": pb.ClaimCallReply.IN_PROGRESS,
    "finished": pb.ClaimCallReply.FINISHED,
    "mismatch": pb.ClaimCallReply.MISMATCH,
}


@final
class KeyedCallCoordinator:
    """Decides which claims run, in the partitions for which this daemon gets requests.

    It is safe for two daemons to decide calls of the same partition, because both read
    the same records in the same order.
    """

    def __init__(self, timer: Timer, log: LogAccess, group: TaskGroup) -> None:
        self._timer = timer
        self._log = log
        self._group = group
        self._streams: dict[int, CallStream] = {}
        self._undecided: dict[str, CallRecord] = {}

    async def claim(self, request: pb.ClaimCallRequest) -> pb.ClaimCallReply:
        """Decide whether this claim may run; only records read back count."""
        name = call_name(
            request.customer, request.route, request.idempotency_key_digest
        )
        if request.claim_id in self._undecided:
            return _unavailable()
        deadline_s = self._timer.now_s() + DECISION_TIMEOUT_S
        stream = self._stream(name)
        if not await stream.catch_up():
            return _unavailable()
        stream.ledger.forget(self._timer.now_s())
        record = CallRecord(
            "claim",
            name,
            request.claim_id,
            request.request_digest,
            stream.ledger.expired_claim(name, self._timer.now_s()),
        )
        claim_status = stream.ledger.status(
            name, record.claim_id, record.request_digest
        )
        if claim_status == "free" or record.replaces:
            claim_status = await self._append_and_read_back(stream, record, deadline_s)
        return _reply(stream, name, claim_status)

    async def finish(self, request: pb.FinishCallRequest) -> pb.FinishCallReply:
        """Record how a call ended; idempotent."""
        name = call_name(
            request.customer, request.route, request.idempotency_key_digest
        )
        if not request.ran:
            record = CallRecord("released", name, request.claim_id)
        else:
            record = _finished_record(name, request)
        recorded = await self._stream(name).append(record)
        return pb.FinishCallReply(recorded=recorded)

    async def release_undecided(self, now_s: float) -> None:
        """Record that undecided claims never run; retry until it is appended."""
        for claim_id, record in list(self._undecided.items()):
            if not await self._stream(record.call).append(record):
                return
            self._undecided.pop(claim_id, None)

    async def _append_and_read_back(
        self, stream: CallStream, record: CallRecord, deadline_s: float
    ) -> ClaimStatus:
        # The result of the append is ignored: it can fail although the record was
        # stored. Only the records that are read back count.
        with anyio.move_on_after(deadline_s - self._timer.now_s()):
            await stream.append(record)
            while not stream.ledger.has_seen(record.claim_id):
                if await stream.catch_up():
                    if stream.ledger.has_seen(record.claim_id):
                        break
                await anyio.sleep(READ_BACK_PERIOD_S)
            return stream.ledger.status(
                record.call, record.claim_id, record.request_digest
            )
        self._undecided[record.claim_id] = record._replace(kind="released")
        return "released"

    def _stream(self, name: str) -> CallStream:
        number = call_partition(name, PARTITIONS)
        stream = self._streams.get(number)
        if stream is None:
            stream = CallStream(f"calls-{number}", self._timer, self._log, self._group)
            self._streams[number] = stream
        return stream


def make_calls_service(timer: Timer, my_address: str) -> Service:
    """Return the service ``calls``; it uses ``log``, ``membership``, ``channels``.

    Parameters
    ----------
    timer : Timer
        The timer service.
    my_address : str
        This daemon's address, as listed in the membership.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        log = kernel.find("log", LogAccess)
        membership = kernel.find("membership", Membership)
        channels = kernel.find("channels", Channels)
        async with anyio.create_task_group() as group:
            coordinator = KeyedCallCoordinator(timer, log, group)

            def decider_address(name: str) -> str:
                # Sending all calls of a partition to one daemon gives larger append
                # batches and fewer reads.
                addresses = [member.address for member in membership.members()]
                partition = f"calls-{call_partition(name, PARTITIONS)}"
                return next(iter(ranked(partition, addresses)), my_address)

            async def handle_claim(request: pb.ClaimCallRequest) -> pb.ClaimCallReply:
                reply = await _claim(request)
                outcome = pb.ClaimCallReply.Outcome.Name(reply.outcome)
                DECISIONS.labels(outcome.lower()).inc()
                return reply

            async def _claim(request: pb.ClaimCallRequest) -> pb.ClaimCallReply:
                address = decider_address(
                    call_name(
                        request.customer, request.route, request.idempotency_key_digest
                    )
                )
                if request.forwarded or address == my_address:
                    return await coordinator.claim(request)
                request.forwarded = True
                method = ControlStub(channels.get(address)).ClaimCall
                answer = await call(method, request, FORWARD_TIMEOUT_S)
                if answer.is_ok():
                    return answer.unwrap()
                if _may_have_arrived(answer.unwrap_err()):
                    # The other daemon may decide this claim, or record that it never
                    # runs; this daemon must not decide it as well.
                    return _unavailable()
                return await coordinator.claim(request)

            async def handle_finish(
                request: pb.FinishCallRequest,
            ) -> pb.FinishCallReply:
                return await coordinator.finish(request)

            group.start_soon(
                every, timer, RELEASE_PERIOD_S, coordinator.release_undecided
            )
            task_status.started(CallHandler(handle_claim, handle_finish))
            await kernel.stop_event("calls").wait()
            await coordinator.release_undecided(timer.now_s())
            group.cancel_scope.cancel()

    return Service("calls", run)


def _may_have_arrived(failure: CallFailure) -> bool:
    return failure.may_have_arrived


def _unavailable() -> pb.ClaimCallReply:
    return pb.ClaimCallReply(
        outcome=pb.ClaimCallReply.UNAVAILABLE, retry_after_s=RETRY_AFTER_S
    )


def _reply(
    stream: CallStream, name: str, claim_status: ClaimStatus
) -> pb.ClaimCallReply:
    outcome = OUTCOMES.get(claim_status)
    if outcome is None:
        return _unavailable()
    state = stream.ledger.state(name)
    if claim_status != "finished" or state is None or state.outcome is None:
        return pb.ClaimCallReply(outcome=outcome, retry_after_s=RETRY_AFTER_S)
    result = state.outcome
    return pb.ClaimCallReply(
        outcome=outcome,
        status=result.status,
        body=base64.b64decode(result.body_base64),
        content_type=result.content_type,
        body_kept=result.body_kept,
    )


def _finished_record(name: str, request: pb.FinishCallRequest) -> CallRecord:
    kept = len(request.body) <= KEPT_BODY_BYTES
    return CallRecord(
        "finished",
        name,
        request.claim_id,
        status=request.status,
        body_base64=base64.b64encode(request.body).decode() if kept else "",
        content_type=request.content_type,
        body_kept=kept,
    )
