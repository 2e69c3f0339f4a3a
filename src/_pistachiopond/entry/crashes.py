"""The service ``crashes`` of an entry daemon: lets suspects run one at a time."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from result import Err, Ok, Result

from _pistachiopond.entry.ports import Crashes
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.suspects import Suspect, SuspectView
from _pistachiopond.schema.verdict import Failure, Verdict
from _pistachiopond.transport.generated import pond_pb2 as pb

ASK_AGAIN_S: Final = 2.0

SendProbation = Callable[
    [pb.ProbationRequest], Awaitable[Result[pb.ProbationReply, str]]
]


@final
class _Suspects:
    """The fleet's suspects by fingerprint, as of the newest view."""

    def __init__(self, timer: Timer, view: Callable[[], SuspectView]) -> None:
        self._timer = timer
        self._view = view
        self._seen: SuspectView | None = None
        self._seen_s = 0.0
        self._by_fingerprint: dict[str, Suspect] = {}

    def find(self, fingerprint: str) -> tuple[Suspect | None, float]:
        """Return a suspect and how long it remains one."""
        view = self._view()
        if view is not self._seen:
            self._seen = view
            self._seen_s = self._timer.now_s()
            self._by_fingerprint = {item.fingerprint: item for item in view.suspects}
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None:
            return None, 0.0
        left_s = suspect.expires_in_s - (self._timer.now_s() - self._seen_s)
        return (suspect, left_s) if left_s > 0.0 else (None, 0.0)


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
        The newest list of suspects; the same object until it changes.
    send : callable
        To any control daemon, with a timeout of about a second; an error text where
        no answer came.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        suspects = _Suspects(timer, view)
        async with anyio.create_task_group() as group:
            api = _make_api(entry_id, suspects, send, group)
            task_status.started(api)
            await kernel.stop_event("crashes").wait()
            group.cancel_scope.cancel()

    return Service("crashes", run)


def _make_api(
    entry_id: str, suspects: _Suspects, send: SendProbation, group: TaskGroup
) -> Crashes:
    async def admit(fingerprint: str) -> Result[None, Failure]:
        suspect, left_s = suspects.find(fingerprint)
        if suspect is None:
            return Ok(None)
        if suspect.standing == "refused":
            return Err(_refused(left_s))
        answer = await send(
            pb.ProbationRequest(fingerprint=fingerprint, entry_id=entry_id)
        )
        if answer.is_err():
            return Err(_wait(ASK_AGAIN_S))
        reply = answer.unwrap()
        if reply.refused:
            return Err(_refused(reply.retry_after_s))
        return Ok(None) if reply.permitted else Err(_wait(reply.retry_after_s))

    def finished(fingerprint: str) -> None:
        suspect, _ = suspects.find(fingerprint)
        if suspect is None:
            return
        request = pb.ProbationRequest(
            fingerprint=fingerprint, entry_id=entry_id, finished=True
        )
        group.start_soon(send, request)

    return Crashes(admit, finished)


def _refused(left_s: float) -> Failure:
    return Failure(
        Verdict.NOT_RUN,
        "request_crashes_servers",
        "This request crashed the servers that ran it and is refused for now; change "
        "its content, or send it again after the time given.",
        422,
        left_s,
    )


def _wait(retry_after_s: float) -> Failure:
    return Failure(
        Verdict.NOT_RUN,
        "request_on_probation",
        "This request was running when a server crashed and is tried elsewhere now; "
        "send it again after the time given.",
        503,
        retry_after_s,
    )
