"""Tests of the rates that servers name, and of dealing their places to all VMs."""

import heapq
import itertools
import random
import unittest
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.decisions.server_rates import (
    COLD_MOVE_S,
    MIN_RATE_PER_S,
    PLACE_VALID_S,
    RISE_S,
    STARVED_S,
    UNPROVED_SHARE,
    NamedRates,
    OwnPlaces,
    PlaceDealer,
    first_own_place,
)
from _pistachiopond.schema.deployment import Incarnation

SERVER = ("s1", 1)
COLD_PER_S = 16.0
# What operators tolerate at a cold server in any second.
COLD_WINDOW_S = 1.0
COLD_ALLOWED = 1.5 * COLD_PER_S + 5
OTHER = ("s2", 1)
# What operators tolerate: this multiple of the rate in a window, and some requests.
WINDOW_S = 4.0
MAX_RATE_RATIO = 1.5
MAX_EXTRA = 5
MIN_SHARE_USED = 0.8
MAX_WAIT_S = 1.2
LATENCY_S = 0.002


def most_in_window(sent_s: list[float], window_s: float = WINDOW_S) -> int:
    """Return the most requests in any window."""
    ordered = sorted(sent_s)
    most, first = 0, 0
    for index, at_s in enumerate(ordered):
        while ordered[first] <= at_s - window_s:
            first += 1
        most = max(most, index - first + 1)
    return most


def allowed(rate_per_s: float) -> float:
    """Return how many requests may reach a server within the window."""
    return MAX_RATE_RATIO * WINDOW_S * rate_per_s + MAX_EXTRA


class FleetRun(NamedTuple):
    """What a server got, and what its VMs and the leader exchanged."""

    sent_s: list[float]
    waits_s: list[float]
    messages: int


def run_fleet(
    vms: int,
    rate_per_s: float,
    demand: float,
    length_s: float,
    seed: int,
    cold: Sequence[Incarnation] = (),
) -> FleetRun:
    """Run VMs with a leader that is replaced in the middle.

    From then on the old leader deals all of the rate to a third of the VMs, and the new
    one a part to another third, until it takes over. The rest has no leader.
    """
    rng = random.Random(seed)
    old, new = PlaceDealer(), PlaceDealer()
    own = [OwnPlaces(random.Random(rng.random())) for _ in range(vms)]
    rates = {SERVER: rate_per_s}
    sent_s: list[float] = []
    waits_s: list[float] = []
    messages = 0
    split_s, joined_s = length_s / 2.0, length_s / 2.0 + 3.0
    now_s = 0.0
    while now_s < length_s:
        now_s += rng.expovariate(rate_per_s * demand)
        vm = rng.randrange(vms)
        group = vm * 3 // max(1, vms)
        if now_s < split_s or (now_s < joined_s and group == 0):
            dealt = old.deal(rates, MAX_WAIT_S, 0, 1.0, now_s, cold=cold)
        elif now_s >= joined_s or group == 1:
            share = 1.0 if now_s >= joined_s else UNPROVED_SHARE
            dealt = new.deal(rates, MAX_WAIT_S, 0, share, now_s, cold=cold)
        else:
            dealt = first_own_place(own[vm], rates, vms, MAX_WAIT_S, now_s, cold)
        messages += 2
        if dealt.server is not None:
            waits_s.append(dealt.wait_s)
            # Permissions may be used late, up to their end.
            sent_s.append(now_s + dealt.wait_s + rng.uniform(0.0, PLACE_VALID_S))
    return FleetRun(sent_s, waits_s, messages)


class DealtPlaceTests(unittest.TestCase):
    def test_all_vms_together_keep_to_the_rate_also_while_the_leader_changes(
        self,
    ) -> None:
        for vms, rate_per_s in itertools.product((6, 79, 195), (0.3, 0.5, 3.2, 20.0)):
            with self.subTest(vms=vms, rate_per_s=rate_per_s):
                length_s = 120.0
                run = run_fleet(vms, rate_per_s, 5.0, length_s, seed=1)
                self.assertLessEqual(most_in_window(run.sent_s), allowed(rate_per_s))
                before = sum(at_s < length_s / 2.0 for at_s in run.sent_s)
                share_used = before / (rate_per_s * length_s / 2.0)
                self.assertGreaterEqual(share_used, MIN_SHARE_USED)

    @settings(max_examples=200, deadline=None)
    @given(
        st.integers(1, 195),
        st.floats(0.05, 50.0),
        st.floats(0.5, 20.0),
        st.integers(0, 10_000),
    )
    def test_no_history_of_requests_exceeds_the_bound(
        self, vms: int, rate_per_s: float, demand: float, seed: int
    ) -> None:
        run = run_fleet(vms, rate_per_s, demand, 400.0 / rate_per_s / demand, seed)
        self.assertLessEqual(most_in_window(run.sent_s), allowed(rate_per_s))

    def test_vms_that_learn_of_a_rate_at_once_do_not_send_at_once(self) -> None:
        dealer = PlaceDealer()
        dealt = [dealer.deal({SERVER: 0.5}, 0.0, 0, 1.0, 10.0) for _ in range(195)]
        self.assertEqual([item.server for item in dealt], [None] * 195)

    def test_a_server_without_requests_saves_no_more_than_one_place(self) -> None:
        dealer = PlaceDealer()
        dealer.deal({SERVER: 2.0}, MAX_WAIT_S, 0, 1.0, 0.0)
        dealt = [dealer.deal({SERVER: 2.0}, 0.0, 0, 1.0, 100.0) for _ in range(10)]
        self.assertEqual(sum(item.server is not None for item in dealt), 2)

    def test_the_server_with_the_first_place_gets_the_request(self) -> None:
        dealer = PlaceDealer()
        rates = {SERVER: 1.0, OTHER: 4.0}
        served = [dealer.deal(rates, 60.0, 0, 1.0, 0.0).server for _ in range(50)]
        self.assertEqual(served.count(OTHER), 40)

    def test_urgent_requests_come_first_and_none_starves(self) -> None:
        dealer = PlaceDealer()
        served = {0: 0, 1: 0}
        asked = {0: 0, 1: 0}
        rng = random.Random(5)
        now_s = 0.0
        while now_s < 100.0:
            now_s += rng.expovariate(16.0)
            rank = rng.randrange(2)
            asked[rank] += 1
            dealt = dealer.deal({SERVER: 4.0}, MAX_WAIT_S, rank, 1.0, now_s)
            served[rank] += dealt.server is not None
        self.assertGreater(served[0], 4 * served[1])
        self.assertGreaterEqual(served[1], 100.0 / STARVED_S / 2.0)

    def test_refused_callers_come_back_when_there_is_a_place_for_each(self) -> None:
        dealer = PlaceDealer()
        returns: list[tuple[float, int]] = []
        for _ in range(12):
            dealt = dealer.deal({SERVER: 4.0}, 0.6, 0, 1.0, 10.0)
            if dealt.server is None:
                heapq.heappush(returns, (10.0 + dealt.wait_s, len(returns)))
        self.assertGreaterEqual(len(returns), 8)
        while returns:
            at_s, _ = heapq.heappop(returns)
            dealt = dealer.deal({SERVER: 4.0}, 0.6, 0, 1.0, at_s)
            self.assertIsNotNone(dealt.server)

    def test_an_order_takes_the_place_of_a_request(self) -> None:
        dealer = PlaceDealer()
        dealer.deal({SERVER: 1.0}, 9.0, 0, 1.0, 0.0)
        before = dealer.deal({SERVER: 1.0}, 9.0, 0, 1.0, 0.0)
        dealer.charge(SERVER, 1.0, 0.0)
        after = dealer.deal({SERVER: 1.0}, 9.0, 0, 1.0, 0.0)
        self.assertAlmostEqual(after.wait_s - before.wait_s, 2.0)


class ColdPlaceTests(unittest.TestCase):
    def test_no_second_at_a_cold_server_exceeds_the_bound_of_failback(self) -> None:
        for vms, seed in itertools.product((6, 23, 88, 195), range(6)):
            with self.subTest(vms=vms, seed=seed):
                run = run_fleet(vms, COLD_PER_S, 6.0, 14.0, seed, [SERVER])
                most = most_in_window(run.sent_s, COLD_WINDOW_S)
                self.assertLessEqual(most, COLD_ALLOWED)

    def test_the_places_of_many_cold_servers_are_all_dealt_and_evenly(self) -> None:
        dealer, rng = PlaceDealer(), random.Random(4)
        rates = {(f"s{number}", 1): COLD_PER_S for number in range(22)}
        for server in rates:
            dealer.begin_cold(server, 0.0)
        served: Counter[Incarnation] = Counter()
        now_s = 0.0
        while now_s < 3.0:
            now_s += rng.expovariate(1_000.0)
            asked = dict(rng.sample(list(rates.items()), 4))
            dealt = dealer.deal(asked, MAX_WAIT_S, 0, 1.0, now_s, cold=list(asked))
            if dealt.server is not None and now_s + dealt.wait_s < 3.0:
                self.assertTrue(served or dealt.wait_s == 0.0)
                served[dealt.server] += 1
        self.assertGreaterEqual(min(served.values()), 0.9 * 3.0 * COLD_PER_S)
        self.assertLessEqual(max(served.values()), 3.0 * COLD_PER_S + 2)

    def test_no_rank_or_customer_gets_all_places_of_a_cold_server(self) -> None:
        dealer, rng = PlaceDealer(), random.Random(5)
        # Requests per second by rank and customer; there are 16 places a second.
        groups = {(0, "big"): 200.0, (0, "small"): 10.0, (2, "big"): 30.0}
        served: Counter[tuple[int, str]] = Counter()
        now_s = 0.0
        while now_s < 3.0:
            now_s += rng.expovariate(sum(groups.values()))
            (group,) = rng.choices(list(groups), list(groups.values()))
            rank, customer = group
            dealt = dealer.deal(
                {SERVER: COLD_PER_S},
                MAX_WAIT_S,
                rank,
                1.0,
                now_s,
                customer=customer,
                cold=[SERVER],
            )
            served[group] += dealt.server is not None
        # The weights are 1, 1 and a third: of 48 places, 20, 20 and 7.
        self.assertGreaterEqual(served[0, "small"], 12)
        self.assertGreaterEqual(served[2, "big"], 4)
        self.assertGreaterEqual(served[0, "big"], 15)


class ColdRateTests(unittest.TestCase):
    def setUp(self) -> None:
        self.rates = NamedRates()
        self.rates.cold_rate_per_s = {"plain": COLD_PER_S, "warm": 0.0}.__getitem__

    def test_the_limit_ends_at_once_with_the_cold_phase(self) -> None:
        self.assertTrue(self.rates.record_cold(SERVER, "plain", 3.0, 10.0))
        self.assertEqual(self.rates.rate_per_s(SERVER, 12.9), COLD_PER_S)
        self.assertEqual(self.rates.limit_end_s(SERVER, 12.9), 13.0)
        self.assertIsNone(self.rates.rate_per_s(SERVER, 13.0))
        self.rates.keep_only({SERVER}, 13.0)
        self.assertTrue(self.rates.is_empty())

    def test_a_service_without_a_cold_rate_has_no_limit(self) -> None:
        self.assertFalse(self.rates.record_cold(SERVER, "warm", 3.0, 0.0))
        self.assertFalse(self.rates.is_limited(SERVER, 1.0))
        self.assertEqual(self.rates.cold(1.0), {})

    def test_of_a_named_and_a_cold_rate_the_lower_one_holds(self) -> None:
        self.rates.record_cold(SERVER, "plain", 3.0, 0.0)
        self.rates.record(SERVER, 4.0, 0.0)
        self.assertEqual(self.rates.rate_per_s(SERVER, 1.0), 4.0)
        self.assertIsNone(self.rates.limit_end_s(SERVER, 1.0))
        self.assertEqual(self.rates.rate_per_s(SERVER, 3.5), 4.0)
        self.rates.record(SERVER, 40.0, 4.0)
        self.rates.record_cold(SERVER, "plain", 3.0, 4.0)
        self.assertEqual(self.rates.rate_per_s(SERVER, 5.0), COLD_PER_S)

    def test_statements_on_one_cold_phase_are_told_to_others_once(self) -> None:
        # Each row: the time, what is said, whether it can end the phase, whether it is
        # assumed, whether it is news, and the end that is known afterwards.
        for rows in (
            # An entry that counts down, read with delays, and a phase that is renewed.
            (
                (0.0, 3.0, 0, 0, 1, 3.0),
                (1.4, 1.8, 0, 0, 0, 3.2),
                (2.4, 3.0, 0, 0, 1, 5.4),
            ),
            # An entry after the end.
            (
                (0.0, 3.0, 0, 0, 1, 3.0),
                (3.7, 0.0, 0, 0, 0, 3.0),
                (3.8, 0.0, 1, 0, 0, 3.0),
            ),
            # An entry written before an answer that says more.
            ((0.0, 3.0, 1, 0, 1, 3.0), (0.2, 0.0, 0, 0, 0, 3.0)),
            # An answer that says that the server is warm.
            ((0.0, 3.0, 0, 0, 1, 3.0), (1.0, 0.0, 1, 0, 1, 1.0)),
            # What the server says replaces what was assumed; not the other way round.
            (
                (0.0, 3.0, 0, 1, 1, 3.0),
                (0.2, 1.0, 0, 0, 1, 1.2),
                (0.3, 0.5, 0, 1, 0, 1.2),
            ),
            # A server that stays cold is followed entry by entry.
            (
                (0.0, 3.0, 0, 0, 1, 3.0),
                (1.2, 3.0, 0, 0, 1, 4.2),
                (2.4, 3.0, 0, 0, 1, 5.4),
            ),
        ):
            self.setUp()
            for at_s, left_s, can_end, is_assumed, is_news, end_s in rows:
                with self.subTest(rows=rows, at_s=at_s):
                    told = self.rates.record_cold(
                        SERVER,
                        "plain",
                        left_s,
                        at_s,
                        can_end=bool(can_end),
                        is_assumed=bool(is_assumed),
                    )
                    self.assertEqual(told, bool(is_news))
                    self.assertAlmostEqual(self.rates._cold[SERVER].until_s, end_s)
        self.assertLess(COLD_MOVE_S, 1.2)


class NamedRateTests(unittest.TestCase):
    def test_a_rate_holds_until_an_answer_lacks_it_and_then_rises(self) -> None:
        rates = NamedRates()
        self.assertTrue(rates.record(SERVER, 4.0, 0.0))
        self.assertFalse(rates.record(SERVER, 4.0, 1.0))
        self.assertEqual(rates.rate_per_s(SERVER, 500.0), 4.0)
        self.assertTrue(rates.record(SERVER, None, 500.0))
        self.assertFalse(rates.record(SERVER, None, 500.1))
        self.assertAlmostEqual(rates.rate_per_s(SERVER, 501.0) or 0.0, 16.0)
        self.assertIsNone(rates.rate_per_s(SERVER, 500.0 + RISE_S))

    def test_a_server_that_takes_nothing_is_still_asked_at_times(self) -> None:
        rates = NamedRates()
        rates.record(SERVER, 0.0, 0.0)
        self.assertEqual(rates.rate_per_s(SERVER, 1.0), MIN_RATE_PER_S)

    def test_a_rate_beyond_all_use_is_none(self) -> None:
        rates = NamedRates()
        rates.record(SERVER, 1e9, 0.0)
        self.assertFalse(rates.is_limited(SERVER, 1.0))

    def test_a_rate_is_of_one_incarnation(self) -> None:
        rates = NamedRates()
        rates.record(SERVER, 2.0, 0.0)
        self.assertFalse(rates.is_limited(("s1", 2), 1.0))
        rates.keep_only({("s1", 2)}, 1.0)
        self.assertTrue(rates.is_empty())


class OwnPlaceTests(unittest.TestCase):
    def test_a_vm_without_a_leader_is_not_starved(self) -> None:
        own = OwnPlaces(random.Random(3))
        sent = 0
        for step in range(6_000):
            sent += (
                first_own_place(own, {SERVER: 3.2}, 6, 0.0, step / 100.0).server
                is not None
            )
        self.assertGreaterEqual(sent, 4)
        self.assertLessEqual(sent, 6)

    def test_a_vm_that_does_not_know_how_many_there_are_sends_nothing(self) -> None:
        own = OwnPlaces(random.Random(3))
        dealt = first_own_place(own, {SERVER: 3.2}, 0, 60.0, 1.0)
        self.assertIsNone(dealt.server)
