"""Tests of refused callers that return at any VM at the time told."""

import asyncio
import random
import unittest

from _pistachiopond.http1.client import connect
from _pistachiopond.http1.messages import encode_request
from _pistachiopond.vm.clock import boot_s
from testing.virtual_time import VirtualTimeTestCase
from testing.vm.cluster import Cluster
from testing.vm.deployment import MAX_BODY_BYTES, configuration, request_head
from testing.vm.test_leader_server import Leader

RATE_PER_S = 100
COST = 10
VMS = 3
CALLERS = 30
DEADLINE_S = 9.0


class PromisedReturnTests(VirtualTimeTestCase):
    async def asyncSetUp(self) -> None:
        self.rng = random.Random(1)
        self.cluster = Cluster()
        limits = {"ratePerS": RATE_PER_S, "burst": RATE_PER_S, "plainTokens": COST}
        tenant = configuration(1)["tenants"][0] | limits
        await self.cluster.start(VMS, tenants=[tenant])
        await self.cluster.accept_callers("plain")
        # The leader has taken over, and its bucket is full.
        await asyncio.sleep(3.0)
        self.count = 0

    async def asyncTearDown(self) -> None:
        await self.cluster.close()

    async def call(self, body: bytes, left_s: float) -> tuple[int, float]:
        """Send a request to any VM; return the status and the Retry-After."""
        self.count += 1
        name = self.rng.choice(list(self.cluster.vms))
        connection = await connect(self.cluster._caller_addresses[name], 1.0)
        deadline_ms = str(round(left_s * 1000))
        head = request_head("/safe/x", self.count, X_Deadline_Ms=deadline_ms)
        connection.send(encode_request(head, body))
        answer = await connection.read_head()
        await connection.read_body(MAX_BODY_BYTES)
        connection.close()
        retry_after = answer.value(b"retry-after")
        return answer.status, float(retry_after) if retry_after else 0.0

    async def caller(self, body: bytes) -> list[int]:
        """Call, return once as told, and return the statuses."""
        status, retry_after_s = await self.call(body, DEADLINE_S)
        if status != 429:
            return [status]
        # Refusals are told a time that this caller honours, or none.
        await asyncio.sleep(min(retry_after_s, DEADLINE_S / 3.0) + 0.02)
        again, _ = await self.call(body, DEADLINE_S - retry_after_s)
        return [status, again]

    async def test_callers_are_served_when_they_return_as_told(self) -> None:
        async def newcomers() -> list[int]:
            # They would use up the tokens that the others were promised.
            statuses = []
            for number in range(30):
                statuses.append((await self.call(b"new-%d" % number, 1.0))[0])
                await asyncio.sleep(0.05)
            return statuses

        calls = [self.caller(b"body-%d" % number) for number in range(CALLERS)]
        *ends, _ = await asyncio.gather(*calls, newcomers())
        self.assertEqual([end for end in ends if end[-1] != 200], [])
        # The bucket can't have served all of them at once.
        self.assertGreater(sum(len(end) == 2 for end in ends), CALLERS / 3)


class OlderMemberTests(unittest.TestCase):
    """A member whose build sends neither `waiting` nor `lists_waiting`."""

    def test_it_gets_tokens_for_its_waiting_requests_together(self) -> None:
        leader = Leader("vm-0")
        leader.claim(1, boot_s())
        usage = (0.0, 0.0, 150.0, 0.0)
        request = {"member": "vm-1", "customer": "office", "usage": usage}
        reply = leader.leader_server._handle_message({"tokens": request})
        self.assertEqual(reply, {"given": {"office": 150.0}})


if __name__ == "__main__":
    unittest.main()
