"""Tests of how an entry daemon admits requests suspected of crashing servers."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
from result import Err, Ok, Result

from _pistachiopond.entry.crash_suspects import make_crashes_service
from _pistachiopond.entry.service_interfaces import CrashesApi
from _pistachiopond.kernel.service import Kernel, run_services
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.suspects import Suspect, SuspectView
from _pistachiopond.schema.verdict import Verdict
from _pistachiopond.transport.generated import pond_pb2 as pb

VIEW = SuspectView((Suspect("bad", "refused", 60.0), Suspect("odd", "probation", 9.0)))


class FakeControlDaemon:
    """A control daemon that records probation requests and sends a set reply."""

    def __init__(self) -> None:
        self.timer = VirtualTimer(0.0)
        self.asked: list[pb.ProbationRequest] = []
        self.reply: Result[pb.ProbationReply, str] = Ok(
            pb.ProbationReply(permitted=True)
        )

    async def send(
        self, request: pb.ProbationRequest
    ) -> Result[pb.ProbationReply, str]:
        self.asked.append(request)
        return self.reply


def run(scenario: Callable[[FakeControlDaemon, CrashesApi], Awaitable[None]]) -> None:
    async def main() -> None:
        control = FakeControlDaemon()
        kernel = Kernel()
        service = make_crashes_service(control.timer, "e", lambda: VIEW, control.send)
        async with anyio.create_task_group() as group:
            group.start_soon(run_services, kernel, [service])
            await control.timer.advance(0.0)
            await scenario(control, kernel.find("crashes", CrashesApi))
            kernel.request_stop()

    anyio.run(main)


class CrashesServiceTests(unittest.TestCase):
    def test_unsuspected_request_is_admitted_without_a_probation_call(self) -> None:
        async def scenario(control: FakeControlDaemon, crashes: CrashesApi) -> None:
            self.assertTrue((await crashes.admit("good")).is_ok())
            crashes.finished("good")
            self.assertEqual(control.asked, [])

        run(scenario)

    def test_refused_request_gets_a_retry_delay_and_is_admitted_after_it(self) -> None:
        async def scenario(control: FakeControlDaemon, crashes: CrashesApi) -> None:
            await control.timer.advance(10.0)
            failure = (await crashes.admit("bad")).unwrap_err()
            self.assertEqual(failure.verdict, Verdict.NOT_RUN)
            self.assertEqual(failure.code, "request_crashes_servers")
            self.assertEqual(failure.retry_after_s, 60.0)
            await control.timer.advance(60.0)
            self.assertTrue((await crashes.admit("bad")).is_ok())

        run(scenario)

    def test_suspect_on_probation_runs_only_with_permission(self) -> None:
        async def scenario(control: FakeControlDaemon, crashes: CrashesApi) -> None:
            self.assertTrue((await crashes.admit("odd")).is_ok())
            control.reply = Ok(pb.ProbationReply(retry_after_s=7.0))
            failure = (await crashes.admit("odd")).unwrap_err()
            self.assertEqual(failure.code, "request_on_probation")
            self.assertEqual(failure.retry_after_s, 7.0)
            control.reply = Ok(pb.ProbationReply(refused=True, retry_after_s=9.0))
            failure = (await crashes.admit("odd")).unwrap_err()
            self.assertEqual(failure.code, "request_crashes_servers")
            control.reply = Err("no answer")
            self.assertTrue((await crashes.admit("odd")).is_err())

        run(scenario)

    def test_completed_suspect_is_reported(self) -> None:
        async def scenario(control: FakeControlDaemon, crashes: CrashesApi) -> None:
            crashes.finished("odd")
            await control.timer.advance(0.0)
            self.assertTrue(control.asked[0].finished)

        run(scenario)
