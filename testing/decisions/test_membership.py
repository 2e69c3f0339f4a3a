"""Tests of failure detection and gossip between control daemons."""

import unittest

from _pistachiopond.decisions.flapping import (
    DAMP_ABOVE,
    HALF_LIFE_S,
    Damping,
    damping_after_change,
    is_damped,
)
from _pistachiopond.decisions.member_types import Identity, ListedDaemon
from _pistachiopond.decisions.membership import LIST_GONE_S, MemberTable
from _pistachiopond.schema.heartbeat import (
    MAX_PEERS,
    MAX_RUMOURS,
    Heartbeat,
    LogStatement,
)
from testing.decisions.gossip_network import GossipNetwork, identity_of

CONVERGED_S = 40


class GossipTests(unittest.TestCase):
    def setUp(self) -> None:
        self.net = GossipNetwork(8)
        self.net.run(CONVERGED_S)
        self.all = set(self.net.member_tables)
        self.first, self.second = sorted(self.all)[:2]

    def assert_members(self, expected: set[str]) -> None:
        for address in self.net.member_tables:
            if address not in self.net.dead:
                seen = self.net.members_seen_by(address)
                self.assertEqual(seen, expected, address)

    def test_every_daemon_learns_of_every_other(self) -> None:
        self.assert_members(self.all)

    def test_a_dead_daemon_is_removed_by_all_others(self) -> None:
        self.net.dead.add(self.first)
        self.net.run(25)
        self.assert_members(self.all - {self.first})

    def test_a_hung_daemon_that_still_answers_is_removed(self) -> None:
        self.net.hung.add(self.first)
        self.net.run(25)
        for address in self.all - {self.first}:
            self.assertNotIn(self.first, self.net.members_seen_by(address))

    def test_a_hung_daemon_that_resumes_is_a_member_again(self) -> None:
        self.net.hung.add(self.first)
        self.net.run(25)
        self.net.hung.clear()
        self.net.run(30)
        self.assert_members(self.all)

    def test_a_cut_link_between_two_daemons_makes_neither_dead(self) -> None:
        self.net.cuts |= {(self.first, self.second), (self.second, self.first)}
        self.net.run(60)
        self.assert_members(self.all)

    def test_a_link_cut_in_one_direction_makes_neither_daemon_dead(self) -> None:
        self.net.cuts.add((self.first, self.second))
        self.net.run(60)
        self.assert_members(self.all)

    def test_a_new_incarnation_replaces_the_old(self) -> None:
        old = self.net.member_tables[self.first].me
        fresh = old._replace(incarnation="0000000000009-x")
        self.net.member_tables[self.first] = MemberTable(
            fresh, (self.second,), self.net.now_s
        )
        self.net.run(CONVERGED_S)
        member_table = self.net.member_tables[self.second]
        incarnations = {
            member.incarnation for member in member_table.members(self.net.now_s)
        }
        self.assertIn(fresh.incarnation, incarnations)
        self.assertNotIn(old.incarnation, incarnations)

    def test_a_new_daemon_learns_of_all_others_from_one_peer(self) -> None:
        newcomer = Identity("10.0.9.9:7000", "dc-0", "0000000000005-n")
        self.net.member_tables[newcomer.address] = MemberTable(
            newcomer, (self.first,), self.net.now_s
        )
        self.net.run(CONVERGED_S)
        self.assert_members(self.all | {newcomer.address})


class BoundsTests(unittest.TestCase):
    def test_the_size_and_number_of_heartbeats_are_bounded(self) -> None:
        for count in (8, 60):
            net = GossipNetwork(count, centres=5)
            sizes: list[tuple[int, int]] = []
            net.on_message = lambda item, sizes=sizes: sizes.append(
                (len(item.rumours), len(item.peers))
            )
            net.run(10)
            self.assertLessEqual(max(sizes), (MAX_RUMOURS, MAX_PEERS))
            self.assertLessEqual(net.messages, count * 10 * 2 * 4)


class EndedIncarnationTests(unittest.TestCase):
    def setUp(self) -> None:
        self.member_table = MemberTable(identity_of(0), (), 5.0)
        self.other = identity_of(1)

    def receive_heartbeat(self, identity: Identity, beat: int, now_s: float) -> None:
        own = LogStatement(identity.address, "dc-1", True, 0.0, 0, 0.0)
        self.member_table.take_heartbeat(
            Heartbeat(*identity, beat=beat, own=own), now_s
        )

    def test_a_live_daemon_has_not_ended(self) -> None:
        self.receive_heartbeat(self.other, 1, 10.0)
        self.assertIsNone(self.member_table.ended_since_s(*self.other_key()))

    def other_key(self) -> tuple[str, str]:
        return self.other.address, self.other.incarnation

    def test_a_silent_daemon_that_is_still_listed_has_not_ended(self) -> None:
        listed = [ListedDaemon(self.other.address, "dc-1", False)]
        self.receive_heartbeat(self.other, 1, 10.0)
        for now_s in range(10, 200):
            self.member_table.take_list(listed, float(now_s))
            self.member_table.tick(float(now_s), makes_progress=True)
        self.assertIsNone(self.member_table.ended_since_s(*self.other_key()))

    def test_an_incarnation_replaced_at_its_address_has_ended(self) -> None:
        self.receive_heartbeat(self.other, 1, 10.0)
        self.receive_heartbeat(
            self.other._replace(incarnation="0000000000007-z"), 1, 20.0
        )
        self.assertEqual(self.member_table.ended_since_s(*self.other_key()), 20.0)

    def test_a_daemon_on_an_unlisted_vm_has_ended_after_the_limit(self) -> None:
        self.assertIsNone(self.member_table.ended_since_s(*self.other_key()))
        self.member_table.take_list([], 30.0)
        since_s = self.member_table.ended_since_s(*self.other_key())
        self.assertEqual(since_s, 30.0 + LIST_GONE_S)

    def test_an_earlier_process_at_the_own_address_ended_at_the_start(
        self,
    ) -> None:
        since_s = self.member_table.ended_since_s(
            self.member_table.me.address, "earlier"
        )
        self.assertEqual(since_s, 5.0)


class DampingTests(unittest.TestCase):
    def test_a_flapping_daemon_is_damped_until_its_penalty_decays(self) -> None:
        damping = Damping()
        for second in range(int(DAMP_ABOVE) + 1):
            self.assertFalse(is_damped(damping, float(second)))
            damping = damping_after_change(damping, float(second))
        self.assertTrue(is_damped(damping, 10.0))
        self.assertFalse(is_damped(damping, 10.0 + 3 * HALF_LIFE_S))
