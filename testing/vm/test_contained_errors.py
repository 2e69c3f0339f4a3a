"""Tests of a VM in which an exception that nothing expects is raised.

Such an exception once ended the process, and with it the requests of all callers.
"""

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from _pistachiopond.vm import fleet as fleet_module
from _pistachiopond.vm import forward as forward_module
from _pistachiopond.vm.attempt_target import Target
from _pistachiopond.vm.leader_client import LeaderClient
from _pistachiopond.vm.leader_server import LeaderServer
from _pistachiopond.vm.server_selection import ServerSelection
from testing.odd_values import ODD_VALUES
from testing.unexpected_errors import expected_errors
from testing.virtual_time import VirtualTimeTestCase
from testing.vm.deployment import (
    SingleVmDeployment,
    running_deployment,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import attempt_of

CALLS = 20


def overflow(*args: Any, **more: Any) -> Any:
    """Raise an exception that no code of the product expects."""
    raise OverflowError("int too large to convert to float")


class ContainedErrorTests(VirtualTimeTestCase):
    async def check_serving(
        self, deployment: SingleVmDeployment, path: str = "/safe/x"
    ) -> None:
        for _ in range(CALLS):
            response = await deployment.call(path)
            self.assertEqual(response.head.status, 200)

    async def test_a_record_that_cannot_be_applied_costs_that_one(self) -> None:
        decode = fleet_module.decode_server

        def fail_for_odd(server_id: str, value: bytes) -> Any:
            return overflow() if server_id == "odd" else decode(server_id, value)

        async with running_deployment() as deployment:
            with (
                patch.object(fleet_module, "decode_server", fail_for_odd),
                expected_errors() as errors,
            ):
                entry = server_entry("plain", "127.0.0.1:1")
                deployment.store.put("keyed.servers", "odd", entry)
                await deployment.add_server("s1", "plain")
                # A new snapshot has the record again.
                deployment.store.expire_history("keyed.servers")
                await deployment.add_server("s2", "plain")
                await self.check_serving(deployment)
            self.assertEqual({kind for kind, _ in errors}, {"record"})

    async def test_a_request_that_was_not_sent_is_refused_as_not_run(self) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain")
            for path in ("/safe/x", "/once/x", "/resume/x"):
                with (
                    patch.object(ServerSelection, "choose", overflow),
                    expected_errors() as errors,
                ):
                    response = await deployment.call(path)
                self.assertEqual(response.head.status, 503, path)
                self.assertIsNotNone(response.head.value(b"retry-after"))
                self.assertEqual([kind for kind, _ in errors], ["request"])
            self.assertEqual(server.requests, [])
            await self.check_serving(deployment)

    async def test_a_request_that_was_sent_is_not_refused_as_not_run(self) -> None:
        async with running_deployment() as deployment:
            await deployment.add_server("s1", "plain")
            original = forward_module.make_server_target

            def odd_target(*args: Any, **more: Any) -> Target:
                return original(*args, **more)._replace(record_sent=overflow)

            with (
                patch.object(forward_module, "make_server_target", odd_target),
                expected_errors() as errors,
            ):
                response = await deployment.call("/once/x")
            self.assertEqual(response.head.status, 502)
            self.assertEqual([kind for kind, _ in errors], ["request"])
            await self.check_serving(deployment)

    async def test_a_line_that_cannot_be_applied_costs_its_connection(self) -> None:
        for owner, name in (
            (LeaderServer, "_reply_to_report"),
            (LeaderClient, "_take_reply"),
        ):
            async with running_deployment() as deployment:
                await deployment.add_server("s1", "plain")
                with patch.object(owner, name, overflow), expected_errors() as errors:
                    await asyncio.sleep(3.0)
                    # Without a leader's replies, customers have no tokens.
                    await self.check_serving(deployment, "/open/x")
                self.assertEqual({kind for kind, _ in errors}, {"peer_message"}, name)
                reply_age_s = deployment.vm.leader_client.reply_age_s
                await wait_until(lambda age_s=reply_age_s: age_s() < 1.0, 10.0)

    async def test_a_crash_limit_of_any_text_stops_no_request(self) -> None:
        # After 400 digits, no request of the service was answered, and the processes
        # ended.
        for name, value in ODD_VALUES.items():
            limit = value.strip(b'"')[:8_000]
            if b"\r" in limit or b"\n" in limit:
                continue

            async def answer(
                request: Request, responder: Responder, limit: bytes = limit
            ) -> None:
                headers = [
                    (b"X-Attempt-Id", attempt_of(request)),
                    (b"X-Server-Seal", b"seal"),
                    (b"Server-Brittle", limit),
                ]
                await responder.respond(200, headers, b"done")

            async with running_deployment() as deployment:
                server = await deployment.add_server("s1", "plain")
                server.steps = [answer] * CALLS
                for _ in range(CALLS):
                    response = await deployment.call("/safe/x")
                    self.assertEqual(response.head.status, 200, name)
                    deployment.vm.fleet.remove_expired()


if __name__ == "__main__":
    unittest.main()
