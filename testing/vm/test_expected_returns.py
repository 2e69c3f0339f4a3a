"""Tests of refused callers that return at any VM at the time told."""

import asyncio
import random
import unittest
from typing import NamedTuple

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
# Newcomers keep asking for this long.
OVERLOAD_S = 0.5


class CallerEnd(NamedTuple):
    """The last status that a caller got, and when it returned."""

    status: int
    returned_s: float | None


class ExpectedReturnTests(VirtualTimeTestCase):
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

    async def caller(self, body: bytes) -> CallerEnd:
        """Call, and return once as told."""
        status, retry_after_s = await self.call(body, DEADLINE_S)
        if status != 429:
            return CallerEnd(status, None)
        # Refusals are told a time that this caller honours, or none.
        await asyncio.sleep(min(retry_after_s, DEADLINE_S / 3.0) + 0.02)
        returned_s = boot_s()
        status, _ = await self.call(body, DEADLINE_S - retry_after_s)
        return CallerEnd(status, returned_s)

    async def test_callers_are_served_when_they_return_after_the_overload(self) -> None:
        # Without a schedule, all of them would return at once, before the refill.
        end_s = boot_s() + OVERLOAD_S

        async def newcomers() -> list[int]:
            statuses = []
            while boot_s() < end_s:
                statuses.append((await self.call(b"new-%d" % len(statuses), 1.0))[0])
            return statuses

        calls = [self.caller(b"body-%d" % number) for number in range(CALLERS)]
        *ends, new = await asyncio.gather(*calls, newcomers())
        # Nothing is kept for callers that have not returned yet.
        self.assertIn(200, new)
        late = [end for end in ends if (end.returned_s or 0.0) > end_s]
        self.assertEqual([end for end in late if end.status != 200], [])
        # The bucket can't have served all of them at once.
        self.assertGreater(len(late), CALLERS / 3)


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
