"""Tests of prompt pacing by the leader."""

import asyncio
import unittest
from unittest.mock import patch

from _pistachiopond.schema.caller_request import CallerRequest
from _pistachiopond.schema.peer_messages import PacingRequest
from _pistachiopond.vm.fleet import RankedServer
from _pistachiopond.vm.pacing import REPLY_TIMEOUT_S, PromptPacing
from testing.decisions.test_forwarding import ROUTE
from testing.virtual_time import VirtualTimeTestCase
from testing.vm.deployment import running_deployment

STREAM = ROUTE._replace(kind="stream", latency_objective_s=0.3, gap_objective_s=0.15)
CALLER = CallerRequest(
    attempt_id="r",
    host="h",
    path="/",
    key=None,
    deadline_s=None,
    model="m1",
    adapter="",
    prompt_tokens=1_000,
    max_output_tokens=10,
    prompt=(),
)


class PacingTests(VirtualTimeTestCase):
    async def test_the_leader_spreads_prompts_over_time(self) -> None:
        async with running_deployment() as deployment:
            await deployment.add_server("s1", "plain")
            pacing = deployment.vm.leader_client.pacing
            server = deployment.vm.fleet.servers["s1"]
            ranked = [RankedServer(server, 0.0)]
            for _ in range(20):
                pacing.record_prefill(server, 1_000, 0.04)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            choices = [
                pacing.choose_server(ranked, CALLER, STREAM, began_s) for _ in range(4)
            ]
            await asyncio.gather(*choices)
            elapsed_s = loop.time() - began_s
            self.assertGreater(elapsed_s, 0.05)
            self.assertLess(elapsed_s, STREAM.latency_objective_s)

    async def test_a_prompt_is_sent_soon_without_a_reply_of_the_leader(self) -> None:
        async with running_deployment() as deployment:
            await deployment.add_server("s1", "plain")
            server = deployment.vm.fleet.servers["s1"]
            ranked = [RankedServer(server, 0.0)]
            requests: list[PacingRequest] = []

            def send(request: PacingRequest) -> bool:
                requests.append(request)
                return len(requests) > 1

            pacing = PromptPacing(deployment.vm.fleet, send)
            for _ in range(20):
                pacing.record_prefill(server, 1_000, 0.04)
            loop = asyncio.get_running_loop()
            for _ in range(2):
                began_s = loop.time()
                chosen = await pacing.choose_server(ranked, CALLER, STREAM, began_s)
                self.assertIs(chosen, server)
                self.assertLess(loop.time() - began_s, 3 * REPLY_TIMEOUT_S)
            self.assertEqual(len(requests), 2)

    async def test_the_leader_hears_of_answered_requests_that_ended(self) -> None:
        async with running_deployment() as deployment:
            await deployment.add_server("s1", "plain")
            await asyncio.sleep(2.0)
            ended: list[dict[str, int]] = []
            starts = deployment.vm.leader_server.starts
            with patch.object(starts, "record_ended", ended.append):
                for _ in range(3):
                    await deployment.call("/open/x")
                await asyncio.sleep(0.5)
            self.assertEqual(sum(item.get("s1", 0) for item in ended), 3)

    async def test_a_prompt_is_refused_at_once_if_no_server_starts_it_in_time(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            models = [{"name": "m1", "version": 1, "adapters": []}]
            server = await deployment.add_server("s1", "engines", models=models)
            server.models = models
            starts = deployment.vm.leader_server.starts
            # Tokens of the customer's limit are there after the start of the leader.
            await asyncio.sleep(2.0)
            with patch.object(starts, "refuse", lambda *_: 1.25):
                answer = await deployment.call(
                    "/model/x", X_Model="m1", X_Token_Counts="100,10"
                )
            self.assertEqual(answer.head.status, 503)
            self.assertEqual(answer.head.value(b"retry-after"), b"1.250")
            self.assertEqual(server.requests, [])


if __name__ == "__main__":
    unittest.main()
