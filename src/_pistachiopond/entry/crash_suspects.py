"""The service ``crashes`` of an entry daemon: limits requests that crash servers.

A request that was running when a backend server crashed is a suspect. While it is on
probation, a control daemon permits one run of it at a time. Once it is known to crash
servers, it is refused until the suspicion expires.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from result import Err, Ok, Result

from _pistachiopond.entry.service_interfaces import CrashesApi
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.suspects import Suspect, SuspectView
from _pistachiopond.schema.verdict import Failure, Verdict
from _pistachiopond.transport.generated import pond_pb2 as pb

PROBATION_RETRY_S: Final = 2.0

SendProbation = Callable[
    [pb.ProbationRequest], Awaitable[Result[pb.ProbationReply, str]]
]


@final
class _SuspectIndex:
    """Suspected requests by fingerprint, as of the latest view."""

    def __init__(self, timer: Timer, view: Callable[[], SuspectView]) -> None:
        self._timer = timer
        self._view = view
        self._indexed_view: SuspectView | None = None
        self._indexed_s = 0.0
        self._by_fingerprint: dict[str, Suspect] = {}

    def find(self, fingerprint: str) -> tuple[Suspect | None, float]:
        """Return the suspect, if any, and the seconds until the suspicion expires."""
        view = self._view()
        if view is not self._indexed_view:
            self._indexed_view = view
            self._indexed_s = self._timer.now_s()
            self._by_fingerprint = {item.fingerprint: item for item in view.suspects}
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None:
            return None, 0.0
        remaining_s = suspect.expires_in_s - (self._timer.now_s() - self._indexed_s)
        return (suspect, remaining_s) if remaining_s > 0.0 else (None, 0.0)


def make_crashes_service(
    timer: Timer,
    entry_id: str,
    view: Callable[[], SuspectView],
    send: SendProbation,
) -> Service:
    """Return the service ``crashes`` of an entry daemon.

    Parameters
    ----------
    timer : Timer
        The timer service.
    entry_id : str
        Unique for each start of the process.
    view : callable
        Returns the latest list of suspects; the same object until it changes.
    send : callable
        Sends a request to any control daemon, with a timeout of about a second;
        returns an error text if there is no reply.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        suspects = _SuspectIndex(timer, view)
        async with anyio.create_task_group() as group:
            api = _make_api(entry_id, suspects, send, group)
            task_status.started(api)
            await kernel.stop_event("crashes").wait()
            group.cancel_scope.cancel()

    return Service("crashes", run)


def _make_api(
    entry_id: str, suspects: _SuspectIndex, send: SendProbation, group: TaskGroup
) -> CrashesApi:
    async def admit(fingerprint: str) -> Result[None, Failure]:
        suspect, remaining_s = suspects.find(fingerprint)
        if suspect is None:
            return Ok(None)
        if suspect.standing == "refused":
            return Err(_refused_failure(remaining_s))
        result = await send(
            pb.ProbationRequest(fingerprint=fingerprint, entry_id=entry_id)
        )
        if result.is_err():
            return Err(_probation_failure(PROBATION_RETRY_S))
        reply = result.unwrap()
        if reply.refused:
            return Err(_refused_failure(reply.retry_after_s))
        return (
            Ok(None)
            if reply.permitted
            else Err(_probation_failure(reply.retry_after_s))
        )

    def finished(fingerprint: str) -> None:
        suspect, _ = suspects.find(fingerprint)
        if suspect is None:
            return
        request = pb.ProbationRequest(
            fingerprint=fingerprint, entry_id=entry_id, finished=True
        )
        group.start_soon(send, request)

    return CrashesApi(admit, finished)


def _refused_failure(remaining_s: float) -> Failure:
    return Failure(
        Verdict.NOT_RUN,
        "request_crashes_servers",
        "This request crashed the servers that ran it and is refused for now; change "
        "its content, or send it again after the time given.",
        422,
        remaining_s,
    )


def _probation_failure(retry_after_s: float) -> Failure:
    return Failure(
        Verdict.NOT_RUN,
        "request_on_probation",
        "This request was running when a server crashed and is tried elsewhere now; "
        "send it again after the time given.",
        503,
        retry_after_s,
    )
