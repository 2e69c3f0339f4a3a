"""Tests of how long connections may be idle before a request that runs once."""

import unittest

from _pistachiopond.http1.client import ExchangeError
from _pistachiopond.platform.servers import decode_server
from _pistachiopond.schema.deployment import ServiceSpec
from _pistachiopond.vm.pools import (
    CONNECTION_SHARE,
    MAX_IDLE_ONCE_S,
    MIN_IDLE_ONCE_S,
    ServerPools,
)
from testing.decisions.test_forwarding import ROUTE
from testing.vm.deployment import server_entry


class IdleLimitTests(unittest.TestCase):
    def setUp(self) -> None:
        self.pools = ServerPools(lambda: 0.0)

    def limit_s(self, service: str = "s") -> float | None:
        return self.pools.max_idle_s(ROUTE, service)

    def test_a_connection_found_closed_lowers_the_limit_of_its_service(self) -> None:
        self.pools.was_reset("s", idle_s=2.0, after_s=0.004)
        limit_s = self.limit_s()
        assert limit_s is not None
        self.assertLess(limit_s, 2.0)
        self.assertEqual(self.limit_s("other"), MAX_IDLE_ONCE_S)
        self.pools.was_reset("s", idle_s=0.55, after_s=0.004)
        self.assertEqual(self.limit_s(), MIN_IDLE_ONCE_S)

    def test_a_server_that_crashes_teaches_nothing(self) -> None:
        self.pools.was_reset("s", idle_s=2.0, after_s=0.4)
        self.pools.was_reset("s", idle_s=0.1, after_s=0.004)
        self.assertEqual(self.limit_s(), MAX_IDLE_ONCE_S)

    def test_the_limit_rises_again(self) -> None:
        self.pools.was_reset("s", idle_s=2.0, after_s=0.004)
        for _ in range(1_000):
            self.pools.recover(0.25)
        self.assertEqual(self.limit_s(), MAX_IDLE_ONCE_S)

    def test_requests_that_may_run_twice_use_any_connection(self) -> None:
        self.pools.was_reset("s", idle_s=2.0, after_s=0.004)
        route = ROUTE._replace(kind="safe")
        self.assertIsNone(self.pools.max_idle_s(route, "s"))


class ConnectionShareTests(unittest.IsolatedAsyncioTestCase):
    async def test_all_vms_together_stay_near_what_a_server_accepts(self) -> None:
        server = decode_server("s1", server_entry("plain", "10.0.0.1:80")).unwrap()
        pools = ServerPools(lambda: 0.0)
        pool = pools.of(server)
        members, accepted = 8, 110
        service = ServiceSpec("plain", accepted, None)
        pools.tidy({"s1": server}, {"plain": service}, members)
        assert pool.max_open is not None
        self.assertLessEqual(pool.max_open * members, CONNECTION_SHARE * accepted)
        pool.open_count = pool.max_open
        with self.assertRaises(ExchangeError) as raised:
            await pool.acquire()
        self.assertEqual(raised.exception.kind, "connect")


if __name__ == "__main__":
    unittest.main()
