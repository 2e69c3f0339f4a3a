"""Tests of requests that crash the servers that run them."""

import json
import unittest
from typing import Any
from unittest.mock import patch

from _pistachiopond.decisions.crash_counts import CRASHES_TO_REFUSE
from _pistachiopond.http1.messages import HttpAddress, Request
from _pistachiopond.http1.server import Responder
from _pistachiopond.platform.servers import decode_server
from _pistachiopond.schema.peer_messages import SuspectList
from _pistachiopond.vm import suspects as suspects_module
from _pistachiopond.vm.suspects import (
    LOST_CONNECTION_RETENTION_S,
    MAX_LOST_CONNECTIONS,
    Suspects,
)
from testing.virtual_time import VirtualTimeTestCase
from testing.vm.deployment import (
    SingleVmDeployment,
    running_deployment,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import FakeServer, attempt_of, break_connection


async def crash(
    deployment: SingleVmDeployment, server: FakeServer, path: str, started_ms: int
) -> int:
    """Crash the server by a request to `path`; return the caller's status."""
    server.steps = [break_connection]
    address = deployment.vm.fleet.servers[server.server_id].address
    response = await deployment.call(path)
    await restart(deployment, server, address, started_ms)
    return response.head.status


async def restart(
    deployment: SingleVmDeployment,
    server: FakeServer,
    address: HttpAddress,
    started_ms: int,
) -> None:
    """Register a new incarnation of the server, as after a crash."""
    deployment.write_entry(server.server_id, "plain", address, born=started_ms)
    fleet = deployment.vm.fleet
    await wait_until(lambda: fleet.incarnations()[server.server_id] == started_ms)


class SuspectTests(VirtualTimeTestCase):
    async def test_a_request_that_crashes_its_servers_is_refused(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain")
            for number in range(CRASHES_TO_REFUSE):
                status = await crash(deployment, server, "/once/x", 2_000 + number)
                self.assertEqual(status, 502)
                await wait_until(lambda: not deployment.vm.suspects.is_empty())
            await wait_until(deployment.vm.suspects.has_refused)
            ran = len(server.requests)
            refused = await deployment.call("/once/x")
            self.assertEqual(refused.head.status, 503)
            self.assertGreater(float(refused.head.value(b"retry-after") or 0), 1.0)
            self.assertEqual(len(server.requests), ran)
            # Other requests of the same caller run as before.
            other = await deployment.call("/once/y")
            self.assertEqual(other.head.status, 200)

    async def test_a_request_that_succeeds_between_crashes_is_not_refused(self) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain")
            for number in range(CRASHES_TO_REFUSE + 1):
                await crash(deployment, server, "/once/x", 2_000 + number)
                await wait_until(lambda: not deployment.vm.suspects.is_empty())
                response = await deployment.call("/once/x")
                self.assertEqual(response.head.status, 200)
                await wait_until(deployment.vm.suspects.is_empty)

    async def test_a_request_refused_while_it_waits_reaches_no_server(self) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain")

            async def pause_then_refuse(request: Request, responder: Responder) -> None:
                headers = [
                    (b"X-Attempt-Id", attempt_of(request)),
                    (b"X-Not-Executed", b"1"),
                    (b"Retry-After", b"0.3"),
                ]
                await responder.respond(503, headers, b"")
                suspects = deployment.vm.suspects
                suspects.has_refused = lambda: True
                suspects.refused_for_s = lambda fingerprint: 900.0

            server.steps = [pause_then_refuse]
            response = await deployment.call("/safe/x")
            self.assertEqual(json.loads(response.body)["code"], "crashes_servers")
            self.assertEqual(float(response.head.value(b"retry-after") or 0), 900.0)
            self.assertEqual(len(server.requests), 1)

    async def test_crashes_are_reported_again_to_a_new_leader(self) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain")
            await crash(deployment, server, "/once/x", 2_000)
            await wait_until(lambda: not deployment.vm.suspects.is_empty())
            deployment.vm.suspects.leader_changed()
            lost_connections, _ = deployment.vm.suspects.take_changes()
            self.assertEqual([c.server_id for c in lost_connections], ["s1"])


def suspect_list(**fields: Any) -> SuspectList:
    return {"watched": [], "refused": {}, "cleared": [], **fields}


class LeaderListTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 0.0
        patcher = patch.object(suspects_module, "boot_s", lambda: self.now_s)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.suspects = Suspects()

    def test_a_refusal_that_the_next_leader_does_not_know_is_kept_and_told(
        self,
    ) -> None:
        ids = ["s1/1", "s2/1", "s3/1"]
        crashes = [("bad", 900.0, ids), ("twice", 0.0, ids[:2])]
        self.suspects.apply_list(
            suspect_list(refused={"bad": 900.0}, request_crashes=crashes)
        )
        self.suspects.take_records()
        self.now_s = 100.0
        self.suspects.leader_changed()
        self.suspects.apply_list(suspect_list(request_crashes=[]))
        self.assertEqual(self.suspects.refused_for_s("bad"), 800.0)
        told = {record.fingerprint: record for record in self.suspects.take_records()}
        self.assertEqual(told["bad"].refused_for_s, 800.0)
        self.assertEqual(told["twice"].crash_ids, ("s1/1", "s2/1"))
        self.assertEqual(told["twice"].refused_for_s, 0.0)
        self.assertEqual(self.suspects.take_records(), [])
        self.suspects.apply_list(suspect_list(cleared=["bad"]))
        self.assertEqual(self.suspects.refused_for_s("bad"), 0.0)

    def test_a_hold_ends_by_itself_and_is_not_told_to_the_next_leader(self) -> None:
        self.suspects.apply_list(suspect_list(refused={"f": 4.6}, request_crashes=[]))
        self.suspects.leader_changed()
        self.suspects.apply_list(suspect_list(request_crashes=[]))
        self.assertEqual(self.suspects.refused_for_s("f"), 4.6)
        self.assertEqual(self.suspects.take_records(), [])
        self.now_s = 4.7
        self.assertEqual(self.suspects.refused_for_s("f"), 0.0)

    def test_a_list_of_a_leader_of_an_older_build_refuses_as_before(self) -> None:
        self.suspects.apply_list(suspect_list(refused={"bad": 900.0}))
        self.assertTrue(self.suspects.has_refused())
        self.assertEqual(self.suspects.refused_for_s("bad"), 900.0)


class RetentionTests(unittest.TestCase):
    def test_expired_lost_connections_make_room_for_new_ones(self) -> None:
        server = decode_server("s1", server_entry("plain", "10.0.0.1:80")).unwrap()
        now_s = [0.0]
        with patch.object(suspects_module, "boot_s", lambda: now_s[0]):
            suspects = Suspects()
            for number in range(MAX_LOST_CONNECTIONS + 5):
                suspects.record_lost_connection(f"f{number}", server)
            self.assertEqual(len(suspects.take_changes()[0]), MAX_LOST_CONNECTIONS)
            now_s[0] = LOST_CONNECTION_RETENTION_S + 1.0
            suspects.record_lost_connection("new", server)
            self.assertEqual(
                [c.fingerprint for c in suspects.take_changes()[0]], ["new"]
            )


if __name__ == "__main__":
    unittest.main()
