"""Tests of the leader's allocations in a partition, and of its relayed state."""

import unittest
from unittest.mock import patch

from _pistachiopond.decisions.leadership import HANDOVER_S, Claim, Leadership
from _pistachiopond.decisions.model_plan import VersionWait
from _pistachiopond.decisions.shared_limits import INITIAL_SHARE, CustomerBalances
from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.deployment import CustomerSpec
from _pistachiopond.schema.peer_messages import (
    MemberReport,
    decode_line,
    encode_line,
)
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm import leader_server as leader_server_module
from _pistachiopond.vm.fleet import ModelRef
from _pistachiopond.vm.leader_client import make_model_wait
from _pistachiopond.vm.leader_server import (
    MEMBER_TIMEOUT_S,
    LeaderServer,
    LeaderServerDependencies,
)
from _pistachiopond.vm.model_usage import ModelUsage
from _pistachiopond.vm.topic_cache import TopicCache, TopicCallbacks

CUSTOMER = CustomerSpec("office", None, True, 10.0, 1000.0, 1000.0)
ISOLATION_S = 5.0
VMS = [f"vm-{number}" for number in range(6)]


def make_report(member: str, missing: float) -> MemberReport:
    return {
        "member": member,
        "number": 1,
        "usage": {"office": (0.0, 0.0, missing, 0.0)},
        "load": {},
        "models": [],
        "runs": [],
        "doubtful": [],
        "cut_off": [],
        "cleared": [],
    }


class Leader:
    """One VM's leader server, with the time as an argument."""

    def __init__(self, name: str) -> None:
        self.leadership = Leadership(name, 0.0)
        self.name = name
        self.leader_server = LeaderServer(
            LeaderServerDependencies(
                self.leadership,
                lambda: {"office": CUSTOMER},
                list,
                lambda: None,
                {},
                dict,
            )
        )

    def claim(self, fence: int, now_s: float) -> None:
        self.leadership.read(None, StorePosition(0, fence), now_s)
        claim = Claim(StorePosition(0, fence), self.name, self.name, "127.0.0.1:1")
        self.leadership.claimed(claim, now_s, has_resigned=True)

    def allocate(self, member: str, now_s: float, *, has_store: bool) -> float:
        if has_store:
            claim = self.leadership.claim
            assert claim is not None
            end = StorePosition(0, claim.position.offset + 1)
            self.leadership.read(claim, end, now_s)
        with patch.object(leader_server_module, "boot_s", lambda: now_s):
            reply = self.leader_server._reply_to_report(make_report(member, 10_000.0))
        return reply["given"].get("office", 0.0)


class ModelWaitTests(unittest.TestCase):
    def test_requests_that_wait_at_a_version_reach_the_leader(self) -> None:
        old_report = make_report("vm-0", 0.0)
        old_report["models"] = [
            {"service": "e", "model": "m", "adapter": "", "running": 1, "waiting": 2}
        ]
        old_wait = {"member": "vm-2", "service": "e", "model": "m", "adapter": ""}
        lines: list[bytes] = []
        usage = ModelUsage(
            lambda model_ref, version: lines.append(
                encode_line({"lack": make_model_wait("vm-2", model_ref, version)})
            )
        )
        model_ref = ModelRef("e", "m", "")
        report = make_report("vm-1", 0.0)
        with usage.count_waiting(model_ref, "new"), usage.count_waiting(model_ref):
            report["models"] = usage.uses()
        self.assertEqual(usage.uses(), [])
        lines += [
            encode_line({"lack": old_wait}),
            encode_line({"report": old_report}),
            encode_line({"report": report}),
        ]
        leader = Leader("vm-0")
        leader.claim(0, 0.0)
        with patch.object(leader_server_module, "boot_s", lambda: 0.0):
            for line in lines:
                leader.leader_server._handle_message(decode_line(line).ok())
        with patch.object(leader_server_module, "boot_s", lambda: 1.0):
            demand = leader.leader_server.totals().demand["e"][model_ref]
        # By the old report 2, by the other 2, by the three messages 3.
        self.assertEqual((demand.running, demand.waiting), (1, 7))
        self.assertEqual(demand.waiting_at, {"new": VersionWait(2.0)})


class PartitionLimitTests(unittest.TestCase):
    def test_customers_keep_their_rate_while_the_store_is_unavailable(self) -> None:
        leader = Leader("vm-0")
        leader.claim(0, 0.0)
        given = 0.0
        for step in range(100):
            has_store = step < 40
            for member in VMS:
                given += leader.allocate(member, step * 0.1, has_store=has_store)
        self.assertGreater(given, 0.9 * CUSTOMER.rate_per_s * 10.0)

    def test_leaders_on_both_sides_of_a_partition_stay_within_the_limit(self) -> None:
        old, new = Leader("vm-0"), Leader("vm-5")
        old.claim(0, 0.0)
        given: list[tuple[float, float]] = []
        for step in range(200):
            now_s = round(step * 0.1, 1)
            is_partitioned = now_s >= 4.0
            if now_s == 5.4:
                new.claim(1, now_s)
            for member in VMS:
                is_on_old_side = member in ("vm-0", "vm-1", "vm-2")
                if not is_partitioned or is_on_old_side:
                    if now_s < 4.0 + ISOLATION_S:
                        amount = old.allocate(
                            member, now_s, has_store=not is_partitioned
                        )
                        given.append((now_s, amount))
                elif now_s >= 5.4:
                    given.append((now_s, new.allocate(member, now_s, has_store=True)))
        for start_s, _ in given:
            spent = sum(a for t, a in given if start_s <= t < start_s + 8.0)
            allowed = CUSTOMER.rate_per_s * 8.0 + CUSTOMER.burst
            self.assertLessEqual(spent, allowed)

    def test_members_that_move_to_a_successor_get_one_rate_only(self) -> None:
        """The old leader and one member lose the store; the others move."""
        for moves_at_s in (5.3, 5.6, 6.1):
            old, new = Leader("vm-0"), Leader("vm-5")
            old.claim(0, 0.0)
            given: list[tuple[float, float]] = []
            # The bucket is full when the customer begins.
            for step in range(30, 200):
                now_s = round(step * 0.1, 1)
                if now_s == moves_at_s:
                    new.claim(1, now_s)
                    for member in VMS[2:]:
                        old.leader_server._member_left(member)
                for member in VMS:
                    leader = old
                    if now_s >= moves_at_s and member in VMS[2:]:
                        leader = new
                    if now_s >= 10.0 and member in VMS[:2]:
                        continue
                    has_store = leader is new or now_s < 4.0
                    amount = leader.allocate(member, now_s, has_store=has_store)
                    given.append((now_s, amount))
            for start_s, _ in given:
                spent = sum(a for t, a in given if start_s <= t < start_s + 8.0)
                allowed = CUSTOMER.rate_per_s * 8.0 + CUSTOMER.burst
                # The operators tolerate a tenth more; a quarter of it is left for what
                # members without a leader spend.
                self.assertLessEqual(spent, allowed * 1.075)

    def test_two_leaders_and_all_reserves_stay_within_the_tolerated_excess(
        self,
    ) -> None:
        for count in (2, 6, 79, 195):
            vms = [f"vm-{number}" for number in range(count)]
            is_cut = {name: number < count / 2 for number, name in enumerate(vms)}
            old, new = Leader(vms[0]), Leader(vms[-1])
            old.claim(0, 0.0)
            balances = {name: CustomerBalances() for name in vms}
            given: list[tuple[float, float]] = []
            for step in range(30, 130):
                now_s = round(step * 0.1, 1)
                if now_s == 5.4:
                    new.claim(1, now_s)
                    for name in vms:
                        if not is_cut[name]:
                            old.leader_server._member_left(name)
                for name in vms:
                    leader = new if now_s >= 5.4 and not is_cut[name] else old
                    has_store = leader is new or now_s < 4.0
                    amount = leader.allocate(name, now_s, has_store=has_store)
                    # Members spend all that they get, and whatever their reserves have.
                    while balances[name].try_spend_reserve(CUSTOMER, 1.0, count, now_s):
                        amount += 1.0
                    given.append((now_s, amount))
            for start_s in sorted({at_s for at_s, _ in given}):
                spent = sum(a for t, a in given if start_s <= t < start_s + 8.0)
                allowed = CUSTOMER.rate_per_s * 8.0 + CUSTOMER.burst
                self.assertLessEqual(spent, allowed * 1.1)

    def test_a_leader_without_the_store_stops_once_a_member_has_been_removed(
        self,
    ) -> None:
        leader = Leader("vm-0")
        leader.claim(0, 0.0)
        for member in VMS:
            leader.allocate(member, 0.0, has_store=True)
        given = 0.0
        for step in range(10, 300):
            now_s = step * 0.1
            for member in VMS[:-1]:
                amount = leader.allocate(member, now_s, has_store=False)
                given += amount if now_s > MEMBER_TIMEOUT_S else 0.0
            with patch.object(leader_server_module, "boot_s", lambda at=now_s: at):
                leader.leader_server.drop_silent_members()
        self.assertEqual(given, 0.0)

    def test_a_successor_allocates_little_until_its_predecessor_has_stopped(
        self,
    ) -> None:
        new = Leader("vm-5")
        old_claim = Claim(StorePosition(0, 0), "vm-0", "vm-0", "127.0.0.1:1")
        new.leadership.read(old_claim, StorePosition(0, 1), 0.0)
        claim = Claim(StorePosition(0, 1), "vm-5", "vm-5", "127.0.0.1:1")
        new.leadership.claimed(claim, 0.0, has_resigned=False)
        given = 0.0
        for step in range(int(HANDOVER_S * 10)):
            for member in VMS:
                given += new.allocate(member, step * 0.1, has_store=True)
        self.assertLessEqual(given, INITIAL_SHARE * CUSTOMER.burst)
        self.assertGreater(given, 0.0)
        for step in range(10):
            for member in VMS:
                now_s = HANDOVER_S + step * 0.1
                given += new.allocate(member, now_s, has_store=True)
        self.assertGreater(given, 0.8 * CUSTOMER.rate_per_s)

    def test_a_leader_that_renews_its_claim_goes_on_with_its_bucket(self) -> None:
        leader = Leader("vm-0")
        leader.claim(0, 0.0)
        given = sum(leader.allocate(member, 0.0, has_store=True) for member in VMS)
        for era in range(1, 5):
            position = StorePosition(era, 0)
            claim = Claim(position, "vm-0", "vm-0", "127.0.0.1:1")
            leader.leadership.read(None, position, 0.0)
            leader.leadership.claimed(claim, 0.0, has_resigned=False)
            given += sum(leader.allocate(m, 0.0, has_store=True) for m in VMS)
        self.assertLessEqual(given, INITIAL_SHARE * CUSTOMER.burst)


class MalformedReportTests(unittest.TestCase):
    def test_a_report_that_cannot_be_summed_costs_only_its_sender(self) -> None:
        """Guards against a member that ends all other members' connections."""
        odd = (
            {"load": None},
            {"load": {"s1": "2"}},
            {"runs": [["s1"]]},
            {"models": [{"service": "e"}]},
            {"doubtful": [["s1"]]},
        )
        for fields in odd:
            with self.subTest(fields=fields):
                leader = Leader("vm-0")
                leader.claim(1, 0.0)
                handle = leader.leader_server._handle_message
                sound = {**make_report("vm-1", 0.0), "load": {"s1": 2}}
                with patch.object(leader_server_module, "boot_s", lambda: 1.0):
                    handle({"report": sound})
                malformed = {**make_report("vm-2", 0.0), **fields}
                with patch.object(leader_server_module, "boot_s", lambda: 2.0):
                    with self.assertRaises(
                        (AttributeError, LookupError, TypeError, ValueError)
                    ):
                        handle({"report": malformed})
                with patch.object(leader_server_module, "boot_s", lambda: 3.0):
                    answer = handle({"report": sound})["answer"]
                    self.assertEqual(answer["load"], {"s1": 2})
                    self.assertEqual(answer["members"], 1)

    def test_tokens_that_are_no_numbers_cost_only_their_sender(self) -> None:
        """Guards against a customer that gets no more tokens at any member."""
        now_s = HANDOVER_S + 1.0
        for odd in (float("nan"), float("inf"), "5", None, [1.0]):
            with self.subTest(odd=odd):
                leader = Leader("vm-0")
                leader.claim(1, 0.0)
                handle = leader.leader_server._handle_message
                leader.allocate("vm-1", now_s, has_store=True)
                malformed = make_report("vm-2", 0.0)
                malformed["usage"] = {"office": (odd, 0.0, 0.0, 0.0)}
                tokens = {
                    "member": "vm-2",
                    "customer": "office",
                    "usage": (0.0, odd, 0.0, odd),
                    "waiting": [],
                }
                with patch.object(leader_server_module, "boot_s", lambda: now_s):
                    for message in ({"report": malformed}, {"tokens": tokens}):
                        with self.assertRaises((TypeError, ValueError)):
                            handle(message)
                given = leader.allocate("vm-1", now_s + 0.5, has_store=True)
                self.assertGreater(given, 100.0)


class InitialStateTests(unittest.TestCase):
    def test_a_new_member_gets_only_records_from_its_known_offset_on(self) -> None:
        cache = TopicCache(
            TopicCallbacks(
                lambda record: True,
                lambda record: True,
                lambda at_s: None,
                lambda: None,
            ),
            is_versioned=False,
        )
        for offset in range(5):
            cache.apply(KeyedRecord(StorePosition(0, offset), f"s{offset}", b"x"))
        leadership = Leadership("vm-0", 0.0)
        leader_server = LeaderServer(
            LeaderServerDependencies(
                leadership,
                dict,
                list,
                lambda: None,
                {"servers": cache},
                dict,
            )
        )
        claim = Claim(StorePosition(0, 0), "vm-0", "vm-0", "127.0.0.1:1")
        leadership.claimed(claim, 0.0, has_resigned=True)
        for known, expected in ((3, ["s3", "s4"]), (-1, [f"s{n}" for n in range(5)])):
            initial_state = leader_server._initial_state({"known": {"servers": known}})
            keys = [record["key"] for record in initial_state["records"]]
            self.assertEqual(keys, expected)


if __name__ == "__main__":
    unittest.main()
