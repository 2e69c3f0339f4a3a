"""Tests of how an entry daemon lets suspects in."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
from result import Err, Ok, Result

from _pistachiopond.entry.crashes import make_crashes_service
from _pistachiopond.entry.ports import Crashes
from _pistachiopond.kernel.service import Kernel, run_services
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.suspects import Suspect, SuspectView
from _pistachiopond.schema.verdict import Verdict
from _pistachiopond.transport.generated import pond_pb2 as pb

VIEW = SuspectView((Suspect("bad", "refused", 60.0), Suspect("odd", "probation", 9.0)))


class World:
    """Answers questions about probation, and keeps them."""

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


def run(scenario: Callable[[World, Crashes], Awaitable[None]]) -> None:
    async def main() -> None:
        world = World()
        kernel = Kernel()
        service = make_crashes_service(world.timer, "e", lambda: VIEW, world.send)
        async with anyio.create_task_group() as group:
            group.start_soon(run_services, kernel, [service])
            await world.timer.advance(0.0)
            await scenario(world, kernel.find("crashes", Crashes))
            kernel.request_stop()

    anyio.run(main)


class CrashesServiceTests(unittest.TestCase):
    def test_a_request_that_is_no_suspect_passes_without_a_question(self) -> None:
        async def scenario(world: World, crashes: Crashes) -> None:
            self.assertTrue((await crashes.admit("good")).is_ok())
            crashes.finished("good")
            self.assertEqual(world.asked, [])

        run(scenario)

    def test_a_refused_request_is_told_when_to_come_back(self) -> None:
        async def scenario(world: World, crashes: Crashes) -> None:
            await world.timer.advance(10.0)
            failure = (await crashes.admit("bad")).unwrap_err()
            self.assertEqual(failure.verdict, Verdict.NOT_RUN)
            self.assertEqual(failure.code, "request_crashes_servers")
            self.assertEqual(failure.retry_after_s, 60.0)
            await world.timer.advance(60.0)
            self.assertTrue((await crashes.admit("bad")).is_ok())

        run(scenario)

    def test_a_suspect_runs_only_with_a_permit(self) -> None:
        async def scenario(world: World, crashes: Crashes) -> None:
            self.assertTrue((await crashes.admit("odd")).is_ok())
            world.reply = Ok(pb.ProbationReply(retry_after_s=7.0))
            failure = (await crashes.admit("odd")).unwrap_err()
            self.assertEqual(failure.code, "request_on_probation")
            self.assertEqual(failure.retry_after_s, 7.0)
            world.reply = Ok(pb.ProbationReply(refused=True, retry_after_s=9.0))
            failure = (await crashes.admit("odd")).unwrap_err()
            self.assertEqual(failure.code, "request_crashes_servers")
            world.reply = Err("no answer")
            self.assertTrue((await crashes.admit("odd")).is_err())

        run(scenario)

    def test_a_suspect_that_finished_is_reported(self) -> None:
        async def scenario(world: World, crashes: Crashes) -> None:
            crashes.finished("odd")
            await world.timer.advance(0.0)
            self.assertTrue(world.asked[0].finished)

        run(scenario)
