"""Tests of servers' speeds from the measurement on VMs to the choice of servers."""

import asyncio

from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from testing.virtual_time import VirtualTimeTestCase
from testing.vm.deployment import running_deployment
from testing.vm.fake_server import Step, attempt_of, respond_ok

RUN_S = 0.05
EVENTS = 10
CALLS = 160


def slowly(step: Step, run_s: float) -> Step:
    async def respond(request: Request, responder: Responder) -> None:
        await asyncio.sleep(run_s)
        await step(request, responder)

    return respond


def stream(event_s: float) -> Step:
    async def respond(request: Request, responder: Responder) -> None:
        headers = [
            (b"X-Attempt-Id", attempt_of(request)),
            (b"X-Server-Seal", b"seal"),
            (b"Content-Type", b"text/event-stream"),
        ]
        await responder.start_response(200, headers, None)
        for number in range(EVENTS):
            await responder.send(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(event_s)
        await responder.end()

    return respond


class ServerSpeedTests(VirtualTimeTestCase):
    async def speeds(self, path: str, slow: Step, fast: Step) -> dict[str, float]:
        """Return what a VM knows after calls at one slow and one fast server."""
        async with running_deployment() as deployment:
            for name, step in (("slow", slow), ("fast", fast)):
                server = await deployment.add_server(name, "plain")
                server.steps = [step] * CALLS
            # Tokens of the customer's limit are there after the start of the leader.
            await asyncio.sleep(2.0)

            async def call(number: int) -> None:
                await asyncio.sleep(number * 0.04)
                await deployment.call(path, X_Token_Counts="1,1")

            await asyncio.gather(*(call(number) for number in range(CALLS)))
            await asyncio.sleep(2.0)
            speeds = deployment.vm.fleet.speeds
            return {name: speed for (name, _), speed in speeds.items()}

    async def test_the_run_time_of_plain_requests_tells_the_speed(self) -> None:
        slow, fast = slowly(respond_ok, 3 * RUN_S), slowly(respond_ok, RUN_S)
        speeds = await self.speeds("/safe/x", slow, fast)
        self.assertLess(speeds["slow"], 0.8)
        self.assertGreater(speeds["fast"], 1.25)

    async def test_the_time_per_event_of_streams_tells_the_speed(self) -> None:
        speeds = await self.speeds("/stream/x", stream(0.03), stream(0.01))
        self.assertLess(speeds["slow"], 0.8)
        self.assertGreater(speeds["fast"], 1.25)

    async def test_equal_servers_count_as_equal(self) -> None:
        same = slowly(respond_ok, RUN_S)
        self.assertEqual(await self.speeds("/safe/x", same, same), {})
