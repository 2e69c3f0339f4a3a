"""Tests of idle limits and connection limits of pools."""

import unittest

from _pistachiopond.http1.client import ExchangeError
from _pistachiopond.platform.servers import decode_server
from _pistachiopond.schema.deployment import ServiceSpec
from _pistachiopond.vm.server_pools import (
    CONNECTION_OVERCOMMIT,
    MAX_IDLE_SINGLE_RUN_S,
    MIN_IDLE_SINGLE_RUN_S,
    ServerPools,
)
from testing.decisions.test_forwarding import ROUTE
from testing.vm.deployment import server_entry


class IdleLimitTests(unittest.TestCase):
    def setUp(self) -> None:
        self.pools = ServerPools(lambda: 0.0, lambda server, is_connected: None)

    def limit_s(self, service: str = "s") -> float | None:
        return self.pools.max_idle_s(ROUTE, service)

    def test_a_connection_found_closed_lowers_its_services_limit(self) -> None:
        self.pools.record_reset("s", idle_s=2.0, after_s=0.004)
        limit_s = self.limit_s()
        assert limit_s is not None
        self.assertLess(limit_s, 2.0)
        self.assertEqual(self.limit_s("other"), MAX_IDLE_SINGLE_RUN_S)
        self.pools.record_reset("s", idle_s=0.55, after_s=0.004)
        self.assertEqual(self.limit_s(), MIN_IDLE_SINGLE_RUN_S)

    def test_a_reset_that_may_be_a_crash_does_not_lower_the_limit(self) -> None:
        self.pools.record_reset("s", idle_s=2.0, after_s=0.4)
        self.pools.record_reset("s", idle_s=0.1, after_s=0.004)
        self.assertEqual(self.limit_s(), MAX_IDLE_SINGLE_RUN_S)

    def test_a_lowered_limit_rises_back_to_the_default(self) -> None:
        self.pools.record_reset("s", idle_s=2.0, after_s=0.004)
        for _ in range(1_000):
            self.pools.relax_idle_limits(0.25)
        self.assertEqual(self.limit_s(), MAX_IDLE_SINGLE_RUN_S)

    def test_repeatable_requests_have_no_idle_limit(self) -> None:
        self.pools.record_reset("s", idle_s=2.0, after_s=0.004)
        route = ROUTE._replace(kind="safe")
        self.assertIsNone(self.pools.max_idle_s(route, "s"))


class ConnectionLimitTests(unittest.IsolatedAsyncioTestCase):
    async def test_all_vms_together_open_at_most_the_allowed_overcommit(self) -> None:
        server = decode_server("s1", server_entry("plain", "10.0.0.1:80")).unwrap()
        pools = ServerPools(lambda: 0.0, lambda server, is_connected: None)
        pool = pools.pool_of(server)
        members, accepted = 8, 110
        service = ServiceSpec("plain", accepted, None)
        pools.close_unused({"s1": server}, {"plain": service}, members)
        assert pool.max_open is not None
        self.assertLessEqual(pool.max_open * members, CONNECTION_OVERCOMMIT * accepted)
        pool.open_connections = pool.max_open
        with self.assertRaises(ExchangeError) as raised:
            await pool.acquire()
        self.assertEqual(raised.exception.kind, "connect")


if __name__ == "__main__":
    unittest.main()
