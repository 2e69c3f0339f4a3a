"""Tests of the decision that a service is unreachable, and of the choice of VMs."""

import unittest
from collections import Counter

from _pistachiopond.decisions.leader_reach import claim_handicap_s, should_hand_over
from _pistachiopond.decisions.leadership import CLAIM_SPREAD_S, Leadership
from _pistachiopond.decisions.relay_choice import (
    ANY_SERVICE,
    MAX_RELAYS,
    RelayMember,
    RelayRing,
)
from _pistachiopond.decisions.server_reachability import (
    FAILURE_MEMORY_S,
    PROBE_PERIOD_S,
    Reachability,
)
from _pistachiopond.schema.store_position import StorePosition


class ReachabilityTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reachability = Reachability()

    def fail_to_connect(self, server: str, now_s: float, count: int = 4) -> bool:
        return self.reachability.connect_failed("a", server, count, now_s)

    def test_one_crashed_server_does_not_make_its_service_unreachable(self) -> None:
        for now_s in (0.0, 0.1, 0.2):
            self.assertFalse(self.fail_to_connect("s1", now_s))
        self.assertFalse(self.reachability.is_unreachable("a"))

    def test_two_failed_servers_in_a_row_make_their_service_unreachable(self) -> None:
        self.fail_to_connect("s1", 0.0)
        self.assertTrue(self.fail_to_connect("s2", 0.1))
        self.assertFalse(self.fail_to_connect("s3", 0.2))
        self.assertEqual(self.reachability.unreachable(), {"a"})
        self.assertFalse(self.reachability.is_unreachable("b"))

    def test_a_connection_between_two_failures_keeps_the_service_reachable(
        self,
    ) -> None:
        self.fail_to_connect("s1", 0.0)
        self.assertFalse(self.reachability.connected("a"))
        self.assertFalse(self.fail_to_connect("s2", 0.1))

    def test_failures_long_apart_do_not_make_a_service_unreachable(self) -> None:
        self.fail_to_connect("s1", 0.0)
        self.assertFalse(self.fail_to_connect("s2", FAILURE_MEMORY_S + 0.1))

    def test_the_only_server_of_a_service_counts_by_itself(self) -> None:
        self.assertTrue(self.fail_to_connect("s1", 0.0, count=1))

    def test_a_connection_makes_the_service_reachable_again(self) -> None:
        self.fail_to_connect("s1", 0.0)
        self.fail_to_connect("s2", 0.0)
        self.assertTrue(self.reachability.connected("a"))
        self.assertFalse(self.reachability.is_unreachable("a"))

    def test_a_service_is_probed_until_it_is_reachable(self) -> None:
        self.assertEqual(self.reachability.start_probes(0.0), {})
        self.fail_to_connect("s1", 0.0)
        self.assertEqual(self.reachability.start_probes(0.0), {"a": {"s1"}})
        self.assertEqual(self.reachability.start_probes(PROBE_PERIOD_S / 2), {})
        self.fail_to_connect("s2", 0.1)
        later_s = 10 * FAILURE_MEMORY_S
        self.assertEqual(self.reachability.start_probes(later_s), {"a": frozenset()})
        self.reachability.connected("a")
        self.assertEqual(self.reachability.start_probes(2 * later_s), {})

    def test_a_single_failure_is_forgotten(self) -> None:
        self.fail_to_connect("s1", 0.0)
        self.assertEqual(self.reachability.start_probes(FAILURE_MEMORY_S + 0.1), {})


class LeaderReachTests(unittest.TestCase):
    def test_the_lead_moves_only_to_a_vm_that_reaches_more(self) -> None:
        a, none = frozenset({"a"}), frozenset[str]()
        both = frozenset({"a", "b"})
        for own, for_s, members, moves in (
            (a, 1.0, [none, a], True),
            (a, 0.1, [none, a], False),
            (a, 1.0, [a, frozenset({"b"})], False),
            (both, 1.0, [a], True),
            (none, 0.0, [none], False),
        ):
            self.assertEqual(should_hand_over(own, for_s, members), moves)

    def test_a_vm_that_reaches_the_servers_claims_before_one_that_does_not(
        self,
    ) -> None:
        now_s = 100.0
        early, late = Leadership("e", 1.0), Leadership("l", 0.0)
        late.set_handicap_s(claim_handicap_s(frozenset({"a"})))
        for leadership in (early, late):
            leadership.read(None, StorePosition(0, 0), now_s)
            leadership.leader_lost(now_s)
        now_s += CLAIM_SPREAD_S + 0.01
        self.assertTrue(early.may_claim(now_s, has_resigned=True))
        self.assertFalse(late.may_claim(now_s, has_resigned=True))
        now_s += claim_handicap_s(frozenset({"a"})) + 0.01
        self.assertTrue(late.may_claim(now_s, has_resigned=True))


def make_members(count: int, lacking: dict[str, frozenset[str]]) -> RelayRing:
    return RelayRing(
        {
            f"vm-{number}": RelayMember(
                f"10.0.0.{number}:7601", lacking.get(f"vm-{number}", frozenset())
            )
            for number in range(count)
        }
    )


class RelayRingTests(unittest.TestCase):
    def test_no_vm_forwards_for_a_service_that_it_does_not_reach(self) -> None:
        a, b = frozenset({"a"}), frozenset({"b"})
        relays = make_members(4, {"vm-0": a, "vm-1": a, "vm-2": b}).relays_of("vm-0")
        self.assertEqual(set(relays["a"]), {"10.0.0.2:7601", "10.0.0.3:7601"})
        self.assertEqual(relays[ANY_SERVICE], ["10.0.0.3:7601"])

    def test_a_vm_does_not_forward_for_itself_and_old_builds_do_not_forward(
        self,
    ) -> None:
        ring = RelayRing(
            {
                "old": RelayMember("", frozenset()),
                "new": RelayMember("10.0.0.1:7601", frozenset()),
            }
        )
        self.assertEqual(ring.relays_of("new"), {ANY_SERVICE: []})
        self.assertEqual(ring.relays_of("old"), {ANY_SERVICE: ["10.0.0.1:7601"]})

    def test_requests_of_a_third_of_the_vms_spread_over_the_others(self) -> None:
        for count in (6, 8, 79, 195):
            lacking = {f"vm-{n}": frozenset({"a"}) for n in range(count // 3)}
            ring = make_members(count, lacking)
            uses: Counter[str] = Counter()
            for name in lacking:
                relays = ring.relays_of(name)["a"]
                self.assertLessEqual(len(relays), MAX_RELAYS)
                uses.update({address: 1 / len(relays) for address in relays})
            others = count - len(lacking)
            # Half a VM's requests on average; nobody gets those of three more.
            self.assertAlmostEqual(sum(uses.values()), len(lacking), 6)
            self.assertGreaterEqual(len(uses), min(others, MAX_RELAYS))
            self.assertLess(max(uses.values()), 3.0)

    def test_another_vm_changes_few_lists(self) -> None:
        before, after = make_members(78, {}), make_members(79, {})
        changed = sum(
            before.relays_of(f"vm-{n}") != after.relays_of(f"vm-{n}") for n in range(78)
        )
        self.assertLessEqual(changed, MAX_RELAYS)


if __name__ == "__main__":
    unittest.main()
