"""Tests of how an entry daemon claims keyed calls."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
from result import Err, Ok, Result

from _pistachiopond.entry.calls import make_calls_service
from _pistachiopond.entry.ports import CallClaim, CallOutcome, Calls, KeptAnswer
from _pistachiopond.kernel.service import Kernel, run_services
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.verdict import Failure, Verdict
from _pistachiopond.transport.generated import pond_pb2 as pb

Reply = pb.ClaimCallReply


class World:
    """A control daemon whose answers the test chooses."""

    def __init__(self) -> None:
        self.timer = VirtualTimer(0.0)
        self.reply: Result[pb.ClaimCallReply, str] = Ok(Reply(outcome=Reply.RUN))
        self.claims: list[pb.ClaimCallRequest] = []
        self.ends: list[pb.FinishCallRequest] = []
        self.records = True

    async def claim(self, request: pb.ClaimCallRequest) -> Result[Reply, str]:
        self.claims.append(request)
        return self.reply

    async def finish(
        self, request: pb.FinishCallRequest
    ) -> Result[pb.FinishCallReply, str]:
        self.ends.append(request)
        return Ok(pb.FinishCallReply(recorded=self.records))


def run(scenario: Callable[[World, Calls], Awaitable[None]]) -> None:
    async def main() -> None:
        world = World()
        kernel = Kernel()
        service = make_calls_service(world.timer, world.claim, world.finish)
        async with anyio.create_task_group() as group:
            group.start_soon(run_services, kernel, [service])
            await world.timer.advance(0.0)
            await scenario(world, kernel.find("calls", Calls))
            world.records = True
            await world.timer.advance(20.0)
            kernel.request_stop()

    anyio.run(main)


async def ask(calls: Calls) -> Result[CallClaim | KeptAnswer, Failure]:
    return await calls.claim("kea", "/bookings", "k", "d")


class CallsServiceTests(unittest.TestCase):
    def test_only_a_clear_yes_lets_a_call_run(self) -> None:
        async def scenario(world: World, calls: Calls) -> None:
            self.assertIsInstance((await ask(calls)).unwrap(), CallClaim)
            expected = {
                Reply.OUTCOME_UNSPECIFIED: (Verdict.NOT_RUN, 503),
                Reply.UNAVAILABLE: (Verdict.NOT_RUN, 503),
                Reply.IN_PROGRESS: (Verdict.MAY_HAVE_RUN, 409),
                Reply.FINISHED: (Verdict.RAN, 409),
                Reply.MISMATCH: (Verdict.NOT_RUN, 422),
            }
            for outcome, (verdict, status) in expected.items():
                world.reply = Ok(Reply(outcome=outcome))
                failure = (await ask(calls)).unwrap_err()
                self.assertEqual(
                    (failure.verdict, failure.http_status), (verdict, status)
                )

        run(scenario)

    def test_a_kept_answer_is_given_again(self) -> None:
        async def scenario(world: World, calls: Calls) -> None:
            kept = Reply(outcome=Reply.FINISHED, status=201, body=b"ok", body_kept=True)
            world.reply = Ok(kept)
            self.assertEqual((await ask(calls)).unwrap(), KeptAnswer(201, b"ok", ""))

        run(scenario)

    def test_a_claim_without_an_answer_is_released(self) -> None:
        async def scenario(world: World, calls: Calls) -> None:
            world.reply = Err("timeout")
            self.assertEqual((await ask(calls)).unwrap_err().verdict, Verdict.NOT_RUN)
            await world.timer.advance(0.0)
            self.assertEqual(world.ends[0].claim_id, world.claims[0].claim_id)
            self.assertFalse(world.ends[0].ran)

        run(scenario)

    def test_an_outcome_is_sent_until_it_is_recorded(self) -> None:
        async def scenario(world: World, calls: Calls) -> None:
            world.records = False
            claim = (await ask(calls)).unwrap()
            assert isinstance(claim, CallClaim)
            await calls.finish(claim, CallOutcome(True, 201, b"ok", "text/plain"))
            await world.timer.advance(10.0)
            sent = len(world.ends)
            self.assertGreater(sent, 2)
            world.records = True
            await world.timer.advance(10.0)
            self.assertEqual(len(world.ends), sent + 1)
            self.assertTrue(all(end.ran for end in world.ends))

        run(scenario)
