"""Tests of calls with an idempotency key, and a log that loses requests and replies."""

import unittest
from collections.abc import Awaitable, Callable
from typing import final

import anyio
from result import Err, Ok, Result

from _pistachiopond.clients.log import LogFailure, LogPage, LogRecord
from _pistachiopond.control.calls import KeyedCallCoordinator
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
    """An in-memory log that can drop appends, replies to appends, and reads."""

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


def claim_request(
    claim_id: str, customer: str = "kea", digest: str = "d"
) -> pb.ClaimCallRequest:
    return pb.ClaimCallRequest(
        customer=customer,
        route="/bookings",
        idempotency_key_digest="k",
        request_digest=digest,
        claim_id=claim_id,
    )


def finish_request(
    claim_id: str, ran: bool, body: bytes = b"ok"
) -> pb.FinishCallRequest:
    return pb.FinishCallRequest(
        customer="kea",
        route="/bookings",
        idempotency_key_digest="k",
        claim_id=claim_id,
        ran=ran,
        status=201,
        body=body,
    )


Scenario = Callable[
    [FakeLog, KeyedCallCoordinator, KeyedCallCoordinator], Awaitable[None]
]


def run_scenario(scenario: Scenario) -> None:
    async def main() -> None:
        log = FakeLog()
        async with anyio.create_task_group() as group:
            coordinators = [
                KeyedCallCoordinator(RealTimer(), log.access, group) for _ in range(2)
            ]
            await scenario(log, coordinators[0], coordinators[1])
            group.cancel_scope.cancel()

    anyio.run(main)


class KeyedCallCoordinatorTests(unittest.TestCase):
    def test_one_of_two_concurrent_claims_at_two_daemons_runs(self) -> None:
        async def scenario(
            log: FakeLog, one: KeyedCallCoordinator, two: KeyedCallCoordinator
        ) -> None:
            replies: list[int] = []

            async def claim(coordinator: KeyedCallCoordinator, claim_id: str) -> None:
                replies.append(
                    (await coordinator.claim(claim_request(claim_id))).outcome
                )

            async with anyio.create_task_group() as group:
                group.start_soon(claim, one, "a")
                group.start_soon(claim, two, "b")
            self.assertEqual(sorted(replies), sorted([RUN, IN_PROGRESS]))

        run_scenario(scenario)

    def test_result_is_replayed_only_for_same_customer_and_content(self) -> None:
        async def scenario(
            log: FakeLog, one: KeyedCallCoordinator, two: KeyedCallCoordinator
        ) -> None:
            await one.claim(claim_request("a"))
            await one.finish(finish_request("a", True, b"booked"))
            again = await two.claim(claim_request("b"))
            self.assertEqual((again.outcome, again.body), (FINISHED, b"booked"))
            other = await two.claim(claim_request("c", digest="e"))
            self.assertEqual(other.outcome, MISMATCH)
            stranger = await two.claim(claim_request("d", customer="tui"))
            self.assertEqual(stranger.outcome, RUN)

        run_scenario(scenario)

    def test_large_body_is_not_stored(self) -> None:
        async def scenario(
            log: FakeLog, one: KeyedCallCoordinator, two: KeyedCallCoordinator
        ) -> None:
            await one.claim(claim_request("a"))
            await one.finish(finish_request("a", True, b"x" * 5000))
            again = await two.claim(claim_request("b"))
            self.assertEqual((again.outcome, again.body_kept), (FINISHED, False))

        run_scenario(scenario)

    def test_claim_with_lost_append_reply_is_decided_by_reading_back(self) -> None:
        async def scenario(
            log: FakeLog, one: KeyedCallCoordinator, two: KeyedCallCoordinator
        ) -> None:
            log.answers_appends = False
            self.assertEqual((await one.claim(claim_request("a"))).outcome, RUN)
            self.assertEqual((await two.claim(claim_request("b"))).outcome, IN_PROGRESS)

        run_scenario(scenario)

    def test_call_of_claimer_that_never_finishes_stays_in_progress(self) -> None:
        async def scenario(
            log: FakeLog, one: KeyedCallCoordinator, two: KeyedCallCoordinator
        ) -> None:
            await one.claim(claim_request("a"))
            self.assertEqual((await two.claim(claim_request("b"))).outcome, IN_PROGRESS)

        run_scenario(scenario)

    def test_undecided_claim_never_runs_and_is_released(self) -> None:
        async def scenario(
            log: FakeLog, one: KeyedCallCoordinator, two: KeyedCallCoordinator
        ) -> None:
            await one.claim(claim_request("warm", customer="tui"))
            log.takes_appends = False
            self.assertEqual((await one.claim(claim_request("a"))).outcome, UNAVAILABLE)
            log.takes_appends = True
            self.assertEqual((await one.claim(claim_request("a"))).outcome, UNAVAILABLE)
            await one.release_undecided(0.0)
            self.assertEqual((await two.claim(claim_request("b"))).outcome, RUN)

        run_scenario(scenario)

    def test_nothing_is_appended_when_the_log_cannot_be_read(self) -> None:
        async def scenario(
            log: FakeLog, one: KeyedCallCoordinator, two: KeyedCallCoordinator
        ) -> None:
            log.answers_reads = False
            self.assertEqual((await one.claim(claim_request("a"))).outcome, UNAVAILABLE)
            self.assertEqual(log.payloads, [])

        run_scenario(scenario)

    def test_call_that_did_not_run_can_be_claimed_again(self) -> None:
        async def scenario(
            log: FakeLog, one: KeyedCallCoordinator, two: KeyedCallCoordinator
        ) -> None:
            await one.claim(claim_request("a"))
            await one.finish(finish_request("a", False))
            self.assertEqual((await two.claim(claim_request("b"))).outcome, RUN)

        run_scenario(scenario)
