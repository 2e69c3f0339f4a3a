"""Tests of the decision on keyed calls with a log that loses answers."""

import unittest
from collections.abc import Awaitable, Callable
from typing import final

import anyio
from result import Err, Ok, Result

from _pistachiopond.clients.log import LogFailure, LogPage, LogRecord
from _pistachiopond.control.calls import CallDesk
from _pistachiopond.control.ports import LogAccess
from _pistachiopond.kernel.timer import RealTimer
from _pistachiopond.transport.generated import pond_pb2 as pb

RUN = pb.ClaimCallReply.RUN
IN_PROGRESS = pb.ClaimCallReply.IN_PROGRESS
FINISHED = pb.ClaimCallReply.FINISHED
MISMATCH = pb.ClaimCallReply.MISMATCH
UNAVAILABLE = pb.ClaimCallReply.UNAVAILABLE
FAILURE = Err(LogFailure(True, "no answer"))


@final
class FakeLog:
    """A log in memory whose answers can be lost."""

    def __init__(self) -> None:
        self.payloads: list[str] = []
        self.takes_appends = True
        self.answers_appends = True
        self.answers_reads = True
        self.access = LogAccess(self.append, self.read)

    async def append(self, stream: str, payload: str) -> Result[int, LogFailure]:
        if self.takes_appends:
            self.payloads.append(payload)
        if not (self.takes_appends and self.answers_appends):
            return FAILURE
        return Ok(len(self.payloads) - 1)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> Result[LogPage, LogFailure]:
        if not self.answers_reads:
            return FAILURE
        records = tuple(
            LogRecord(offset, 0.0, payload)
            for offset, payload in enumerate(self.payloads)
            if offset >= from_offset
        )
        return Ok(LogPage(0, len(self.payloads), records))


def request(
    claim_id: str, customer: str = "kea", digest: str = "d"
) -> pb.ClaimCallRequest:
    return pb.ClaimCallRequest(
        customer=customer,
        route="/bookings",
        idempotency_key_digest="k",
        request_digest=digest,
        claim_id=claim_id,
    )


def ending(claim_id: str, ran: bool, body: bytes = b"ok") -> pb.FinishCallRequest:
    return pb.FinishCallRequest(
        customer="kea",
        route="/bookings",
        idempotency_key_digest="k",
        claim_id=claim_id,
        ran=ran,
        status=201,
        body=body,
    )


Scenario = Callable[[FakeLog, CallDesk, CallDesk], Awaitable[None]]


def run(scenario: Scenario) -> None:
    async def main() -> None:
        log = FakeLog()
        async with anyio.create_task_group() as group:
            desks = [CallDesk(RealTimer(), log.access, group) for _ in range(2)]
            await scenario(log, desks[0], desks[1])
            group.cancel_scope.cancel()

    anyio.run(main)


class CallDeskTests(unittest.TestCase):
    def test_the_same_key_at_two_daemons_runs_once(self) -> None:
        async def scenario(log: FakeLog, one: CallDesk, two: CallDesk) -> None:
            replies: list[int] = []

            async def ask(desk: CallDesk, claim_id: str) -> None:
                replies.append((await desk.claim(request(claim_id))).outcome)

            async with anyio.create_task_group() as group:
                group.start_soon(ask, one, "a")
                group.start_soon(ask, two, "b")
            self.assertEqual(sorted(replies), sorted([RUN, IN_PROGRESS]))

        run(scenario)

    def test_an_answer_is_kept_for_the_same_customer_and_content_only(self) -> None:
        async def scenario(log: FakeLog, one: CallDesk, two: CallDesk) -> None:
            await one.claim(request("a"))
            await one.finish(ending("a", True, b"booked"))
            again = await two.claim(request("b"))
            self.assertEqual((again.outcome, again.body), (FINISHED, b"booked"))
            other = await two.claim(request("c", digest="e"))
            self.assertEqual(other.outcome, MISMATCH)
            stranger = await two.claim(request("d", customer="tui"))
            self.assertEqual(stranger.outcome, RUN)

        run(scenario)

    def test_a_large_answer_is_not_kept(self) -> None:
        async def scenario(log: FakeLog, one: CallDesk, two: CallDesk) -> None:
            await one.claim(request("a"))
            await one.finish(ending("a", True, b"x" * 5000))
            again = await two.claim(request("b"))
            self.assertEqual((again.outcome, again.body_kept), (FINISHED, False))

        run(scenario)

    def test_a_lost_answer_of_the_log_is_settled_by_reading_back(self) -> None:
        async def scenario(log: FakeLog, one: CallDesk, two: CallDesk) -> None:
            log.answers_appends = False
            self.assertEqual((await one.claim(request("a"))).outcome, RUN)
            self.assertEqual((await two.claim(request("b"))).outcome, IN_PROGRESS)

        run(scenario)

    def test_the_dead_claimer_leaves_its_call_in_progress(self) -> None:
        async def scenario(log: FakeLog, one: CallDesk, two: CallDesk) -> None:
            await one.claim(request("a"))
            self.assertEqual((await two.claim(request("b"))).outcome, IN_PROGRESS)

        run(scenario)

    def test_an_undecided_claim_never_runs_and_frees_the_key(self) -> None:
        async def scenario(log: FakeLog, one: CallDesk, two: CallDesk) -> None:
            await one.claim(request("warm", customer="tui"))
            log.takes_appends = False
            self.assertEqual((await one.claim(request("a"))).outcome, UNAVAILABLE)
            log.takes_appends = True
            self.assertEqual((await one.claim(request("a"))).outcome, UNAVAILABLE)
            await one.release_abandoned(0.0)
            self.assertEqual((await two.claim(request("b"))).outcome, RUN)

        run(scenario)

    def test_without_reads_nothing_is_claimed(self) -> None:
        async def scenario(log: FakeLog, one: CallDesk, two: CallDesk) -> None:
            log.answers_reads = False
            self.assertEqual((await one.claim(request("a"))).outcome, UNAVAILABLE)
            self.assertEqual(log.payloads, [])

        run(scenario)

    def test_a_call_that_did_not_run_may_be_claimed_anew(self) -> None:
        async def scenario(log: FakeLog, one: CallDesk, two: CallDesk) -> None:
            await one.claim(request("a"))
            await one.finish(ending("a", False))
            self.assertEqual((await two.claim(request("b"))).outcome, RUN)

        run(scenario)
