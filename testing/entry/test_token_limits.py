"""Tests of requests that wait for tokens, on a virtual clock."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from result import Ok, Result

from _pistachiopond.entry.service_interfaces import LimitsApi
from _pistachiopond.entry.token_limits import make_limits_service
from _pistachiopond.kernel.service import Kernel, run_services
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.limits import LimitsView, PoolSource
from _pistachiopond.transport.generated import pond_pb2

VIEW = LimitsView((PoolSource("pool", "10.0.0.1:1", ("one",), False),))
Answer = Callable[[pond_pb2.DrawRequest], pond_pb2.DrawReply]


def make_reply(request: pond_pb2.DrawRequest, share: float) -> pond_pb2.DrawReply:
    """Return a reply that grants a share of each item, with a retry time if partial."""
    reply = pond_pb2.DrawReply(epoch=1, lifetime_s=10.0)
    for item in request.items:
        reply.grants.add(
            customer=item.customer,
            grant_id=item.grant_id,
            granted_tokens=item.hold_tokens * share,
            retry_after_s=0.0 if share == 1.0 else 3.0,
        )
    return reply


def reserve_once(share: float, delay_s: float) -> tuple[Any, float]:
    """Reserve 100 tokens from a pool that replies after `delay_s`.

    Returns
    -------
    tuple
        The result of the reservation and the time at which it came.
    """
    timer = VirtualTimer()
    outcome: list[Any] = []

    async def send(
        address: str, request: pond_pb2.DrawRequest
    ) -> Result[pond_pb2.DrawReply, str]:
        await timer.sleep_until(timer.now_s() + delay_s)
        return Ok(make_reply(request, share))

    async def scenario() -> None:
        kernel = Kernel()
        service = make_limits_service(
            timer, "entry", lambda: VIEW, send, lambda customer: 10_000.0
        )
        async with anyio.create_task_group() as group:
            group.start_soon(run_services, kernel, [service])
            await timer.advance(0.01)
            limits = kernel.find("limits", LimitsApi)
            group.start_soon(record_outcome, limits.reserve("one", 100.0))
            for _ in range(100):
                if outcome:
                    break
                await timer.advance(0.05)
            group.cancel_scope.cancel()

    async def record_outcome(reserving: Awaitable[Any]) -> None:
        outcome.append(await reserving)
        outcome.append(timer.now_s())

    anyio.run(scenario)
    return outcome[0], outcome[1]


class ReservationWaitTests(unittest.TestCase):
    def test_reservation_waits_for_a_late_reply(self) -> None:
        outcome, _ = reserve_once(share=1.0, delay_s=0.45)
        self.assertTrue(outcome.is_ok(), outcome)

    def test_shortage_is_reported_soon(self) -> None:
        outcome, at_s = reserve_once(share=0.1, delay_s=0.02)
        self.assertEqual(outcome.err().code, "rate_exceeded")
        self.assertLess(at_s, 0.5)

    def test_silent_pool_is_not_reported_as_an_exceeded_rate(self) -> None:
        outcome, at_s = reserve_once(share=1.0, delay_s=60.0)
        self.assertEqual(outcome.err().code, "limits_unreachable")
        self.assertLess(at_s, 2.5)
