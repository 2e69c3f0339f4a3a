"""The service ``calls`` of an entry daemon: claims calls, so that each runs only once.

A call that carries an ``Idempotency-Key`` is claimed at a control daemon before it
runs; its outcome is recorded there, so that a repeated call gets the same response.
"""

import secrets
from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from result import Err, Ok, Result

from _pistachiopond.entry.service_interfaces import (
    CallClaim,
    CallOutcome,
    CallsApi,
    StoredResponse,
)
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.verdict import Failure, Verdict
from _pistachiopond.transport.generated import pond_pb2 as pb

INITIAL_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 5.0
UNDECIDED_RETRY_S: Final = 2.0
SHUTDOWN_FLUSH_TIMEOUT_S: Final = 5.0

SendClaim = Callable[[pb.ClaimCallRequest], Awaitable[Result[pb.ClaimCallReply, str]]]
SendFinish = Callable[
    [pb.FinishCallRequest], Awaitable[Result[pb.FinishCallReply, str]]
]


@final
class _CallClaims:
    """Claims calls, and sends their outcomes until they are recorded."""

    def __init__(
        self,
        timer: Timer,
        send_claim: SendClaim,
        send_finish: SendFinish,
        group: TaskGroup,
    ) -> None:
        self._timer = timer
        self._send_claim = send_claim
        self._send_finish = send_finish
        self._group = group
        self._unrecorded = 0
        self._recorded_event = anyio.Event()

    async def claim(
        self, customer: str, route: str, key_digest: str, request_digest: str
    ) -> Result[CallClaim | StoredResponse, Failure]:
        """Ask whether this call may run; it may only on an explicit ``RUN``."""
        claim = CallClaim(secrets.token_hex(16), customer, route, key_digest)
        request = pb.ClaimCallRequest(
            customer=customer,
            route=route,
            idempotency_key_digest=key_digest,
            request_digest=request_digest,
            claim_id=claim.claim_id,
        )
        is_decided = False
        try:
            result = await self._send_claim(request)
            is_decided = result.is_ok() and (
                result.unwrap().outcome != pb.ClaimCallReply.UNAVAILABLE
            )
        finally:
            if not is_decided:
                # The claim may have been granted although no clear reply came. The call
                # will not run here, so the claim is released.
                self._record_in_background(_make_finish_request(claim, None))
        if result.is_err():
            return Err(_undecided_failure(UNDECIDED_RETRY_S))
        return _interpret_reply(claim, result.unwrap())

    async def finish(self, claim: CallClaim, outcome: CallOutcome) -> None:
        """Record how the call ended; retries in the background until recorded."""
        self._record_in_background(_make_finish_request(claim, outcome))

    async def wait_until_recorded(self) -> None:
        """Wait until all outcomes are recorded, up to `SHUTDOWN_FLUSH_TIMEOUT_S`."""
        with anyio.move_on_after(SHUTDOWN_FLUSH_TIMEOUT_S):
            while self._unrecorded:
                self._recorded_event = anyio.Event()
                await self._recorded_event.wait()

    def _record_in_background(self, request: pb.FinishCallRequest) -> None:
        self._unrecorded += 1
        self._group.start_soon(self._send_until_recorded, request)

    async def _send_until_recorded(self, request: pb.FinishCallRequest) -> None:
        pause_s = INITIAL_BACKOFF_S
        while True:
            result = await self._send_finish(request)
            if result.is_ok() and result.unwrap().recorded:
                break
            await self._timer.sleep_until(self._timer.now_s() + pause_s)
            pause_s = min(2.0 * pause_s, MAX_BACKOFF_S)
        self._unrecorded -= 1
        self._recorded_event.set()


def make_calls_service(
    timer: Timer, send_claim: SendClaim, send_finish: SendFinish
) -> Service:
    """Return the service ``calls`` of an entry daemon.

    Parameters
    ----------
    timer : Timer
        The timer service.
    send_claim, send_finish : callable
        Send a request to any control daemon, with a timeout of a few seconds; return
        an error text if there is no reply.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        async with anyio.create_task_group() as group:
            claims = _CallClaims(timer, send_claim, send_finish, group)
            task_status.started(CallsApi(claims.claim, claims.finish))
            await kernel.stop_event("calls").wait()
            await claims.wait_until_recorded()
            group.cancel_scope.cancel()

    return Service("calls", run)


def _make_finish_request(
    claim: CallClaim, outcome: CallOutcome | None
) -> pb.FinishCallRequest:
    request = pb.FinishCallRequest(
        customer=claim.customer,
        route=claim.route,
        idempotency_key_digest=claim.key_digest,
        claim_id=claim.claim_id,
    )
    if outcome is not None:
        request.ran = outcome.ran
        request.status = outcome.status
        request.body = outcome.body
        request.content_type = outcome.content_type
    return request


def _interpret_reply(
    claim: CallClaim, reply: pb.ClaimCallReply
) -> Result[CallClaim | StoredResponse, Failure]:
    kind = pb.ClaimCallReply
    if reply.outcome == kind.RUN:
        return Ok(claim)
    if reply.outcome == kind.FINISHED and reply.body_kept:
        return Ok(StoredResponse(reply.status, reply.body, reply.content_type))
    if reply.outcome == kind.FINISHED:
        return Err(_already_ran_failure(reply.status))
    if reply.outcome == kind.MISMATCH:
        return Err(_mismatch_failure())
    if reply.outcome == kind.IN_PROGRESS:
        return Err(_in_progress_failure(reply.retry_after_s))
    return Err(_undecided_failure(reply.retry_after_s or UNDECIDED_RETRY_S))


def _undecided_failure(retry_after_s: float) -> Failure:
    return Failure(
        Verdict.NOT_RUN,
        "key_undecided",
        "It could not be decided whether this key was used before, so the request "
        "was not run; send it again with the same key.",
        503,
        retry_after_s,
    )


def _in_progress_failure(retry_after_s: float) -> Failure:
    return Failure(
        Verdict.MAY_HAVE_RUN,
        "key_in_progress",
        "A request with this key is running or was cut off; ask again with the same "
        "key for its answer.",
        409,
        retry_after_s,
    )


def _already_ran_failure(status: int) -> Failure:
    return Failure(
        Verdict.RAN,
        "key_finished",
        f"The request with this key ran and answered with status {status}; the "
        "answer was too large to be kept. Do not send it again.",
        409,
    )


def _mismatch_failure() -> Failure:
    return Failure(
        Verdict.NOT_RUN,
        "key_mismatch",
        "This Idempotency-Key was used with another request; use a new key.",
        422,
    )
