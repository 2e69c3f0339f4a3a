"""Tests of how an entry daemon claims calls with an ``Idempotency-Key``."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
from result import Err, Ok, Result

from _pistachiopond.entry.call_claims import make_calls_service
from _pistachiopond.entry.service_interfaces import (
    CallClaim,
    CallOutcome,
    CallsApi,
    StoredResponse,
)
from _pistachiopond.kernel.service import Kernel, run_services
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.verdict import Failure, Verdict
from _pistachiopond.transport.generated import pond_pb2 as pb

Reply = pb.ClaimCallReply


class FakeControlDaemon:
    """A control daemon whose replies are set by the test."""

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


def run(scenario: Callable[[FakeControlDaemon, CallsApi], Awaitable[None]]) -> None:
    async def main() -> None:
        control = FakeControlDaemon()
        kernel = Kernel()
        service = make_calls_service(control.timer, control.claim, control.finish)
        async with anyio.create_task_group() as group:
            group.start_soon(run_services, kernel, [service])
            await control.timer.advance(0.0)
            await scenario(control, kernel.find("calls", CallsApi))
            control.records = True
            await control.timer.advance(20.0)
            kernel.request_stop()

    anyio.run(main)


async def send_claim(calls: CallsApi) -> Result[CallClaim | StoredResponse, Failure]:
    return await calls.claim("kea", "/bookings", "k", "d")


class CallsServiceTests(unittest.TestCase):
    def test_call_runs_only_if_the_claim_is_granted(self) -> None:
        async def scenario(control: FakeControlDaemon, calls: CallsApi) -> None:
            self.assertIsInstance((await send_claim(calls)).unwrap(), CallClaim)
            expected = {
                Reply.OUTCOME_UNSPECIFIED: (Verdict.NOT_RUN, 503),
                Reply.UNAVAILABLE: (Verdict.NOT_RUN, 503),
                Reply.IN_PROGRESS: (Verdict.MAY_HAVE_RUN, 409),
                Reply.FINISHED: (Verdict.RAN, 409),
                Reply.MISMATCH: (Verdict.NOT_RUN, 422),
            }
            for outcome, (verdict, status) in expected.items():
                control.reply = Ok(Reply(outcome=outcome))
                failure = (await send_claim(calls)).unwrap_err()
                self.assertEqual(
                    (failure.verdict, failure.http_status), (verdict, status)
                )

        run(scenario)

    def test_stored_response_is_returned_for_a_repeated_call(self) -> None:
        async def scenario(control: FakeControlDaemon, calls: CallsApi) -> None:
            kept = Reply(outcome=Reply.FINISHED, status=201, body=b"ok", body_kept=True)
            control.reply = Ok(kept)
            self.assertEqual(
                (await send_claim(calls)).unwrap(), StoredResponse(201, b"ok", "")
            )

        run(scenario)

    def test_claim_without_a_reply_is_released(self) -> None:
        async def scenario(control: FakeControlDaemon, calls: CallsApi) -> None:
            control.reply = Err("timeout")
            self.assertEqual(
                (await send_claim(calls)).unwrap_err().verdict, Verdict.NOT_RUN
            )
            await control.timer.advance(0.0)
            self.assertEqual(control.ends[0].claim_id, control.claims[0].claim_id)
            self.assertFalse(control.ends[0].ran)

        run(scenario)

    def test_outcome_is_resent_until_it_is_recorded(self) -> None:
        async def scenario(control: FakeControlDaemon, calls: CallsApi) -> None:
            control.records = False
            claim = (await send_claim(calls)).unwrap()
            assert isinstance(claim, CallClaim)
            await calls.finish(claim, CallOutcome(True, 201, b"ok", "text/plain"))
            await control.timer.advance(10.0)
            sent = len(control.ends)
            self.assertGreater(sent, 2)
            control.records = True
            await control.timer.advance(10.0)
            self.assertEqual(len(control.ends), sent + 1)
            self.assertTrue(all(end.ran for end in control.ends))

        run(scenario)
