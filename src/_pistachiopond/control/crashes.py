"""The service ``crashes``: tells all daemons of requests that crash servers."""

import math
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskStatus
from prometheus_client import Counter

from _pistachiopond.control.engines import Engines
from _pistachiopond.control.ports import CrashHandler, LogAccess, Membership
from _pistachiopond.decisions.rendezvous import ranked
from _pistachiopond.decisions.suspects import Permits, SuspectBook
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.suspects import CrashBatch, CrashRecord, CrashReport
from _pistachiopond.transport.channels import Channels, call
from _pistachiopond.transport.generated import pond_pb2 as pb
from _pistachiopond.transport.generated.pond_pb2_grpc import ControlStub

STREAM: Final = "crashes"
TICK_S: Final = 0.5
CONFIRM_LIMIT_S: Final = 60.0
SEEN_BEFORE_S: Final = 5.0
LONG_POLL_S: Final = 10.0
RETRY_S: Final = 1.0
PAGE_RECORDS: Final = 200
MOST_PENDING: Final = 1000
FORWARD_LIMIT_S: Final = 1.0
ASK_AGAIN_S: Final = 2.0

RECORDS: Final = Counter("pond_control_crash_records", "Records by kind.", ["kind"])


class _Unconfirmed(NamedTuple):
    report: CrashReport
    heard_s: float


@final
class CrashDesk:
    """What this daemon knows of crashes, and what it has yet to append."""

    def __init__(self, timer: Timer, log: LogAccess) -> None:
        self.book = SuspectBook()
        self.permits = Permits()
        self._timer = timer
        self._log = log
        self._to_append: list[CrashRecord] = []
        self._unconfirmed: list[_Unconfirmed] = []
        self._incarnations: dict[str, tuple[str, float]] = {}
        self._next_offset = 0

    async def take(self, reports: tuple[CrashReport, ...]) -> None:
        """Take what entry daemons saw; it counts here at once."""
        now_s = self._timer.now_s()
        for report in reports:
            if len(self._unconfirmed) >= MOST_PENDING:
                return
            record = CrashRecord(
                "suspected",
                report.crash_id,
                report.fingerprints,
                report.probation_fingerprints,
            )
            self._add(record, now_s)
            self._unconfirmed.append(_Unconfirmed(report, now_s))
        # Each moment in which other daemons do not know may cost a server.
        await self.flush()

    def clear(self, fingerprint: str) -> None:
        """Record that a suspect ran to its end."""
        self.permits.end(fingerprint)
        self._add(CrashRecord("cleared", "", (fingerprint,)), self._timer.now_s())

    def see(self, server: str, incarnation: str, now_s: float) -> None:
        """Take note of the incarnation that a backend server answers as."""
        known = self._incarnations.get(server)
        if known is None:
            # Not a restart: this daemon has only now heard of the server.
            self._incarnations[server] = (incarnation, -math.inf)
        elif known[0] != incarnation:
            self._incarnations[server] = (incarnation, now_s)

    def confirm(self, now_s: float) -> None:
        """Confirm crashes whose server has come back as a new incarnation.

        A connection that a planned stop or the network cut leaves the incarnation
        as it was: nothing is ever confirmed of it.
        """
        waiting = []
        for item in self._unconfirmed:
            incarnation, since_s = self._incarnations.get(
                item.report.server, ("", -math.inf)
            )
            if since_s >= item.heard_s - SEEN_BEFORE_S:
                report = item.report
                record = CrashRecord(
                    "confirmed",
                    f"{report.server}/{incarnation}",
                    report.fingerprints,
                    report.probation_fingerprints,
                )
                self._add(record, now_s)
            elif now_s - item.heard_s < CONFIRM_LIMIT_S:
                waiting.append(item)
        self._unconfirmed = waiting

    async def flush(self) -> None:
        """Append what is waiting, as one record."""
        if not self._to_append:
            return
        batch, self._to_append = self._to_append, []
        payload = to_json(CrashBatch(tuple(batch)))
        if (await self._log.append(STREAM, payload)).is_err():
            # Repeated records change nothing, so a doubtful append is repeated.
            self._to_append = (batch + self._to_append)[-MOST_PENDING:]

    async def follow(self) -> bool:
        """Read on, waiting for new records; return whether the log answered."""
        page = await self._log.read(
            STREAM, self._next_offset, PAGE_RECORDS, LONG_POLL_S
        )
        if page.is_err():
            return False
        now_s = self._timer.now_s()
        for item in page.unwrap().records:
            self._next_offset = item.offset + 1
            batch = from_json(CrashBatch, item.payload)
            if batch.is_ok():
                for record in batch.unwrap().records:
                    self.book.apply(record, now_s - item.age_s)
        self._next_offset = max(self._next_offset, page.unwrap().first_offset)
        return True

    def _add(self, record: CrashRecord, now_s: float) -> None:
        RECORDS.labels(record.kind).inc()
        self.book.apply(record, now_s)
        self._to_append.append(record)


def make_crashes_service(timer: Timer, my_address: str) -> Service:
    """Return the service ``crashes`` of a control daemon.

    It uses ``log``, ``membership``, ``channels`` and ``engines``.

    Parameters
    ----------
    timer : Timer
        The timer service.
    my_address : str
        This daemon's address among the members.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        desk = CrashDesk(timer, kernel.find("log", LogAccess))
        engines = kernel.find("engines", Engines)
        membership = kernel.find("membership", Membership)
        channels = kernel.find("channels", Channels)

        async def on_tick(now_s: float) -> None:
            for server, report in engines.reports().items():
                desk.see(server, report.state.incarnation, report.asked_s)
            desk.confirm(now_s)
            await desk.flush()

        async def follow() -> None:
            while True:
                if not await desk.follow():
                    await timer.sleep_until(timer.now_s() + RETRY_S)

        async def handle_probation(request: pb.ProbationRequest) -> pb.ProbationReply:
            addresses = [member.address for member in membership.members()]
            address = next(iter(ranked(request.fingerprint, addresses)), my_address)
            if request.forwarded or address == my_address:
                return decide_probation(desk, request, timer.now_s())
            request.forwarded = True
            method = ControlStub(channels.get(address)).Probation
            answer = await call(method, request, FORWARD_LIMIT_S)
            if answer.is_ok():
                return answer.unwrap()
            # Another daemon may have permitted a run; none is permitted here.
            return pb.ProbationReply(retry_after_s=ASK_AGAIN_S)

        async with anyio.create_task_group() as group:
            group.start_soon(every, timer, TICK_S, on_tick)
            group.start_soon(follow)
            task_status.started(
                CrashHandler(
                    handle_probation,
                    desk.take,
                    lambda: desk.book.view(timer.now_s()),
                )
            )
            await kernel.stop_event("crashes").wait()
            await desk.flush()
            group.cancel_scope.cancel()

    return Service("crashes", run)


def decide_probation(
    desk: CrashDesk, request: pb.ProbationRequest, now_s: float
) -> pb.ProbationReply:
    """Answer an entry daemon that asks for a run, or says that one finished."""
    if request.finished:
        desk.clear(request.fingerprint)
        return pb.ProbationReply()
    refused_s = desk.book.refused_for_s(request.fingerprint, now_s)
    if refused_s > 0.0:
        return pb.ProbationReply(refused=True, retry_after_s=refused_s)
    wait_s = desk.permits.ask(request.fingerprint, now_s)
    return pb.ProbationReply(permitted=wait_s <= 0.0, retry_after_s=wait_s)
