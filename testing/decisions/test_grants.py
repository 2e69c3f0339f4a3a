"""Tests of an entry daemon's grants from token pools, message by message."""

import unittest

from _pistachiopond.decisions.grants import GrantClient, PlannedDraw, Shortage
from _pistachiopond.decisions.limits import (
    OWNER_SHARE,
    customer_shard,
    floor_pool,
    owner_pool,
    pool_limits,
    pool_names,
)
from _pistachiopond.decisions.pools import TokenPool
from _pistachiopond.schema.limits import LimitsView, PoolSource
from _pistachiopond.schema.manifest import BackendServer, Customer, Manifest

CUSTOMERS = ("kea", "tui")


def make_manifest() -> Manifest:
    servers = tuple(
        BackendServer(f"s{n}", "http://127.0.0.1:1", f"d{n % 3}", "r", "k", "v")
        for n in range(5)
    )
    customers = tuple(Customer(name, 10.0, 100.0) for name in CUSTOMERS)
    return Manifest(0, "d", "worst_served_customer", (), servers, (), customers)


class PoolLimitsTests(unittest.TestCase):
    def test_the_pools_of_a_customer_add_up_to_its_limits(self) -> None:
        manifest = make_manifest()
        parts = [pool_limits(manifest, pool, 4) for pool in pool_names(manifest, 4)]
        for name in CUSTOMERS:
            mine = [part[name] for part in parts if name in part]
            self.assertEqual(len(mine), 4)
            self.assertAlmostEqual(sum(item.burst_tokens for item in mine), 100.0)
            total = sum(item.rate_tokens_per_s for item in mine)
            self.assertLess(total, 10.0)
            self.assertGreater(total, 9.98)

    def test_exactly_one_shard_owns_a_customer(self) -> None:
        manifest = make_manifest()
        mine = owner_pool(customer_shard("kea", 4))
        for index in range(4):
            limits = pool_limits(manifest, owner_pool(index), 4)
            self.assertEqual("kea" in limits, owner_pool(index) == mine)
        self.assertEqual(pool_limits(manifest, floor_pool("elsewhere"), 4), {})


class GrantClientTests(unittest.TestCase):
    def setUp(self) -> None:
        manifest = make_manifest()
        self.pools: dict[str, TokenPool] = {}
        shard = owner_pool(customer_shard("kea", 4))
        names = (shard, floor_pool("d0"), floor_pool("d1"), floor_pool("d2"))
        for number, name in enumerate(names):
            self.pools[name] = TokenPool(number + 1, 0.0)
            self.pools[name].configure(pool_limits(manifest, name, 4), 0.0)
        self.client = GrantClient("e")
        sources = (PoolSource(name, name, ("kea",), name != shard) for name in names)
        self.client.set_sources(LimitsView(tuple(sources)))
        self.shard = shard
        self.now_s = 100.0

    def exchange(self, *, has_reply: bool = True) -> list[PlannedDraw]:
        planned = self.client.plan_draws(self.now_s)
        for item in planned:
            if has_reply:
                reply = self.pools[item.pool].draw(item.draw, self.now_s)
                self.client.on_reply(item, reply, self.now_s)
            else:
                self.client.on_failure(item, self.now_s)
        return planned

    def reserve(self, tokens: float) -> int | Shortage:
        self.client.set_waiting("kea", tokens)
        for _ in range(6):
            outcome = self.client.reserve("kea", tokens, self.now_s)
            if isinstance(outcome, int):
                break
            self.exchange()
        self.client.set_waiting("kea", 0.0)
        return outcome

    def must_reserve(self, tokens: float) -> int:
        outcome = self.reserve(tokens)
        assert isinstance(outcome, int), outcome
        return outcome

    def test_a_reservation_takes_parts_from_several_pools(self) -> None:
        self.assertGreater(70.0, 100.0 * OWNER_SHARE)
        self.must_reserve(70.0)
        held = [pool.tokens("kea", self.now_s)[1] for pool in self.pools.values()]
        self.assertGreater(sum(1 for tokens in held if tokens > 0.0), 2)

    def test_a_customer_can_draw_again_after_its_grant_has_ended(self) -> None:
        self.client.settle(self.must_reserve(30.0), 10.0, self.now_s)
        while self.pools[self.shard].tokens("kea", self.now_s)[1] > 0.0:
            self.now_s += 1.0
            self.exchange()
        self.must_reserve(55.0)

    def test_a_reservation_above_all_pools_fails_with_a_retry_delay(self) -> None:
        outcome = self.reserve(90.0)
        assert isinstance(outcome, Shortage)
        self.assertTrue(outcome.is_reachable)
        self.assertGreater(outcome.retry_after_s, 0.0)

    def test_a_shortage_tells_that_no_pool_is_reachable(self) -> None:
        self.client.set_waiting("kea", 10.0)
        for _ in range(5):
            self.exchange(has_reply=False)
        outcome = self.client.reserve("kea", 10.0, self.now_s)
        assert isinstance(outcome, Shortage)
        self.assertFalse(outcome.is_reachable)

    def test_grants_are_renewed_in_spite_of_lost_draws(self) -> None:
        number = self.must_reserve(30.0)
        for _ in range(40):
            self.now_s += 0.5
            self.exchange(has_reply=self.now_s % 8.0 >= 4.0)
        self.client.settle(number, 0.0, self.now_s)
        self.assertGreaterEqual(self.client.held_tokens("kea", self.now_s), 30.0)

    def unspent_tokens(self) -> float:
        """Return the unspent tokens of all pools, after the entry daemon reported."""
        self.client.return_unspent()
        self.exchange()
        tokens = [pool.tokens("kea", self.now_s) for pool in self.pools.values()]
        return sum(level + outstanding for level, outstanding in tokens)

    def test_usage_above_the_reservation_is_charged_later(self) -> None:
        number = self.must_reserve(10.0)
        self.client.settle(number, 25.0, self.now_s)
        self.must_reserve(10.0)
        self.assertAlmostEqual(self.unspent_tokens(), 100.0 - 25.0)

    def test_usage_noted_while_running_is_charged_once(self) -> None:
        number = self.must_reserve(60.0)
        self.client.note_used(number, 20.0)
        self.client.note_used(number, 40.0)
        self.client.note_used(number, 30.0)
        outstanding = 60.0 - 40.0
        self.assertAlmostEqual(self.unspent_tokens(), 100.0 - 40.0)
        held = [pool.tokens("kea", self.now_s)[1] for pool in self.pools.values()]
        self.assertAlmostEqual(sum(held), outstanding)
        self.client.settle(number, 45.0, self.now_s)
        self.assertAlmostEqual(self.unspent_tokens(), 100.0 - 45.0)

    def test_returning_all_tokens_leaves_none_outstanding(self) -> None:
        number = self.must_reserve(20.0)
        self.client.settle(number, 5.0, self.now_s)
        self.client.return_unspent()
        self.exchange()
        for pool in self.pools.values():
            self.assertEqual(pool.tokens("kea", self.now_s)[1], 0.0)
