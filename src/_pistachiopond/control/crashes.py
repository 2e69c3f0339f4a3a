"""The service ``crashes``: shares which requests are suspected to crash servers."""

import math
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskStatus
from prometheus_client import Counter

from _pistachiopond.control.engines import Engines
from _pistachiopond.control.ports import CrashHandler, LogAccess, Membership
from _pistachiopond.decisions.rendezvous import ranked
from _pistachiopond.decisions.suspects import Permits, SuspectTable
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import from_json, to_json
from _pistachiopond.schema.suspects import CrashBatch, CrashRecord, CrashReport
from _pistachiopond.transport.channels import Channels, call
from _pistachiopond.transport.generated import pond_pb2 as pb
from _pistachiopond.transport.generated.pond_pb2_grpc import ControlStub

STREAM: Final = "crashes"
TICK_S: Final = 0.5
CONFIRM_TIMEOUT_S: Final = 60.0
RESTART_LEAD_S: Final = 5.0  # the restart may be seen before the crash report arrives
LONG_POLL_S: Final = 10.0
RETRY_S: Final = 1.0
PAGE_RECORDS: Final = 200
MAX_PENDING: Final = 1000
FORWARD_TIMEOUT_S: Final = 1.0
PROBATION_RETRY_S: Final = 2.0

RECORDS: Final = Counter("pond_control_crash_records", "Records by kind.", ["kind"])


class _Unconfirmed(NamedTuple):
    report: CrashReport
    received_s: float


@final
class CrashRegistry:
    """The crashes known to this daemon, and the records that it has yet to append."""

    def __init__(self, timer: Timer, log: LogAccess) -> None:
        self.suspects = SuspectTable()
        self.permits = Permits()
        self._timer = timer
        self._log = log
        self._to_append: list[CrashRecord] = []
        self._unconfirmed: list[_Unconfirmed] = []
        self._incarnations: dict[str, tuple[str, float]] = {}
        self._next_offset = 0

    async def add_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Add crash reports of entry daemons; they apply here at once."""
        now_s = self._timer.now_s()
        for report in reports:
            if len(self._unconfirmed) >= MAX_PENDING:
                return
            record = CrashRecord(
                "suspected",
                report.crash_id,
                report.fingerprints,
                report.probation_fingerprints,
            )
            self._add(record, now_s)
            self._unconfirmed.append(_Unconfirmed(report, now_s))
        # Append without delay: until other daemons know the suspects, they may send
        # them to further servers.
        await self.flush()

    def clear_suspect(self, fingerprint: str) -> None:
        """Record that a suspected request finished without a crash."""
        self.permits.end(fingerprint)
        self._add(CrashRecord("cleared", "", (fingerprint,)), self._timer.now_s())

    def record_incarnation(self, server: str, incarnation: str, now_s: float) -> None:
        """Record the incarnation that a backend server reports."""
        known = self._incarnations.get(server)
        if known is None:
            # The first report of a server shows no restart.
            self._incarnations[server] = (incarnation, -math.inf)
        elif known[0] != incarnation:
            self._incarnations[server] = (incarnation, now_s)

    def confirm(self, now_s: float) -> None:
        """Confirm crashes whose server has restarted as a new incarnation.

        A network failure leaves the incarnation as it was, and so does a server that
        was stopped and has not restarted. The crash is then not confirmed, and its
        report is dropped after `CONFIRM_TIMEOUT_S`.
        """
        unconfirmed = []
        for item in self._unconfirmed:
            incarnation, restarted_s = self._incarnations.get(
                item.report.server, ("", -math.inf)
            )
            if restarted_s >= item.received_s - RESTART_LEAD_S:
                report = item.report
                record = CrashRecord(
                    "confirmed",
                    f"{report.server}/{incarnation}",
                    report.fingerprints,
                    report.probation_fingerprints,
                )
                self._add(record, now_s)
            elif now_s - item.received_s < CONFIRM_TIMEOUT_S:
                unconfirmed.append(item)
        self._unconfirmed = unconfirmed

    async def flush(self) -> None:
        """Append the pending records as one batch."""
        if not self._to_append:
            return
        batch, self._to_append = self._to_append, []
        payload = to_json(CrashBatch(tuple(batch)))
        if (await self._log.append(STREAM, payload)).is_err():
            # Records are idempotent, so an append with an unknown result is retried.
            self._to_append = (batch + self._to_append)[-MAX_PENDING:]

    async def read_records(self) -> bool:
        """Read new records with a long poll; return whether the log answered."""
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
                    self.suspects.apply(record, now_s - item.age_s)
        self._next_offset = max(self._next_offset, page.unwrap().first_offset)
        return True

    def _add(self, record: CrashRecord, now_s: float) -> None:
        RECORDS.labels(record.kind).inc()
        self.suspects.apply(record, now_s)
        self._to_append.append(record)


def make_crashes_service(timer: Timer, my_address: str) -> Service:
    """Return the service ``crashes`` of a control daemon.

    It uses ``log``, ``membership``, ``channels`` and ``engines``.

    Parameters
    ----------
    timer : Timer
        The timer service.
    my_address : str
        This daemon's address, as listed in the membership.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        registry = CrashRegistry(timer, kernel.find("log", LogAccess))
        engines = kernel.find("engines", Engines)
        membership = kernel.find("membership", Membership)
        channels = kernel.find("channels", Channels)

        async def on_tick(now_s: float) -> None:
            for server, report in engines.reports().items():
                registry.record_incarnation(
                    server, report.state.incarnation, report.asked_s
                )
            registry.confirm(now_s)
            await registry.flush()

        async def read_until_cancelled() -> None:
            while True:
                if not await registry.read_records():
                    await timer.sleep_until(timer.now_s() + RETRY_S)

        async def handle_probation(request: pb.ProbationRequest) -> pb.ProbationReply:
            addresses = [member.address for member in membership.members()]
            address = next(iter(ranked(request.fingerprint, addresses)), my_address)
            if request.forwarded or address == my_address:
                return decide_probation(registry, request, timer.now_s())
            request.forwarded = True
            method = ControlStub(channels.get(address)).Probation
            answer = await call(method, request, FORWARD_TIMEOUT_S)
            if answer.is_ok():
                return answer.unwrap()
            # The other daemon may have permitted a run, so none is permitted here.
            return pb.ProbationReply(retry_after_s=PROBATION_RETRY_S)

        async with anyio.create_task_group() as group:
            group.start_soon(every, timer, TICK_S, on_tick)
            group.start_soon(read_until_cancelled)
            task_status.started(
                CrashHandler(
                    handle_probation,
                    registry.add_reports,
                    lambda: registry.suspects.view(timer.now_s()),
                )
            )
            await kernel.stop_event("crashes").wait()
            await registry.flush()
            group.cancel_scope.cancel()

    return Service("crashes", run)


def decide_probation(
    registry: CrashRegistry, request: pb.ProbationRequest, now_s: float
) -> pb.ProbationReply:
    """Decide whether a suspect may run on probation, or record that it finished."""
    if request.finished:
        registry.clear_suspect(request.fingerprint)
        return pb.ProbationReply()
    refused_s = registry.suspects.refused_for_s(request.fingerprint, now_s)
    if refused_s > 0.0:
        return pb.ProbationReply(refused=True, retry_after_s=refused_s)
    wait_s = registry.permits.ask(request.fingerprint, now_s)
    return pb.ProbationReply(permitted=wait_s <= 0.0, retry_after_s=wait_s)
