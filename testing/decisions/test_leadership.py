"""Tests of leader election, including a stateful model of several VMs."""

import unittest
from typing import NamedTuple
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from _pistachiopond.decisions.leadership import (
    AUTHORITY_S,
    GIVE_UP_S,
    HANDOVER_S,
    Claim,
    Leadership,
)
from _pistachiopond.schema.store_position import StorePosition

VMS = ("a", "b", "c")
MODEL_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    print_blob=False,
    report_multiple_bugs=False,
)
# Hypothesis derives its examples from the model's source and the loaded modules. With
# 150 examples, only some of these choices find the fault that the test injects.
DETECTION_SETTINGS = settings(MODEL_SETTINGS, max_examples=600)


def make_claim(vm: str, offset: int, era: int = 0) -> Claim:
    return Claim(StorePosition(era, offset), vm, vm, "127.0.0.1:1")


class LeadershipModel(RuleBasedStateMachine):
    """Stateful test: VMs claim, read late, lose answers and lose the leader.

    An acting VM sends an order with its token at each step.
    """

    knows_eras = True

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.era = 0
        self.log: list[Claim] = []
        self.holders: dict[int, str] = {}
        self.highest_fence = -1
        self.vms = {vm: Leadership(vm, 0.0) for vm in VMS}
        self.resigned: set[int] = set()
        for vm in VMS:
            self.read(vm)

    @rule(vm=st.sampled_from(VMS), delay_s=st.floats(0.0, 0.4))
    def read(self, vm: str, delay_s: float = 0.0) -> None:
        self.vms[vm].read(self.newest(), self.end(), self.now_s - delay_s)

    def newest(self) -> Claim | None:
        return self.log[-1] if self.log else None

    def end(self) -> StorePosition:
        return StorePosition(self.era if self.knows_eras else 0, len(self.log))

    @rule(seconds=st.floats(0.05, 1.0))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(vm=st.sampled_from(VMS))
    def ask_leader(self, vm: str) -> None:
        """Send a report to the VM that is known as leader, which may have resigned."""
        leadership = self.vms[vm]
        claim = leadership.claim
        if claim is None:
            return
        leader = self.vms[claim.leader.partition("-")[0]]
        if leader.incarnation != claim.incarnation:
            leadership.leader_lost(self.now_s)
        elif leader.is_leading(self.now_s):
            leadership.leader_replied(self.now_s)
        else:
            leader.deny(claim.fence)
            self.resigned.add(claim.fence)
            leadership.leader_lost(self.now_s)

    @rule(vm=st.sampled_from(VMS))
    def lose_leader(self, vm: str) -> None:
        self.vms[vm].leader_lost(self.now_s)

    @rule(vm=st.sampled_from(VMS), is_answer_lost=st.booleans())
    def claim(self, vm: str, is_answer_lost: bool) -> None:
        end = self.end_if_claiming(vm)
        if end is None or end.offset != len(self.log):
            return
        leadership = self.vms[vm]
        known = leadership.claim
        has_resigned = known is not None and known.fence in self.resigned
        claim = make_claim(leadership.incarnation, end.offset, end.era)
        self.log.append(claim)
        if not is_answer_lost and end.era == self.end().era:
            leadership.claimed(claim, self.now_s, has_resigned=has_resigned)

    def end_if_claiming(self, vm: str) -> StorePosition | None:
        """Return the position at which the VM claims now; None if it does not."""
        leadership = self.vms[vm]
        known = leadership.claim
        has_resigned = known is not None and known.fence in self.resigned
        if not leadership.may_claim(self.now_s, has_resigned=has_resigned):
            return None
        leadership.claim_sent(self.now_s)
        return leadership.end

    @precondition(lambda self: self.log)
    @invariant()
    def at_most_one_acts(self) -> None:
        acting = [vm for vm in VMS if self.vms[vm].may_act(self.now_s)]
        assert len(acting) <= 1, acting

    @invariant()
    def tokens_at_servers_have_one_holder_and_never_fall(self) -> None:
        for leadership in self.vms.values():
            if not leadership.may_act(self.now_s):
                continue
            assert leadership.claim is not None
            fence = leadership.claim.fence
            holder = self.holders.setdefault(fence, leadership.incarnation)
            assert holder == leadership.incarnation, (fence, holder)
            assert fence >= self.highest_fence, (fence, self.highest_fence)
            self.highest_fence = fence


class LateRead(NamedTuple):
    """An answer of the store that has not yet arrived."""

    newest: Claim | None
    end: StorePosition
    sent_s: float


class LateAppend(NamedTuple):
    """A claim that the store may still append, without an answer."""

    vm: str
    at: StorePosition


class RestoredStoreModel(LeadershipModel):
    """The same with a store that comes back from older copies.

    Reads are answered and claims are appended late, and VMs restart.
    """

    def __init__(self) -> None:
        self.late_reads: dict[str, LateRead] = {}
        self.late_appends: list[LateAppend] = []
        super().__init__()

    @rule(vm=st.sampled_from(VMS))
    def read_without_an_answer_yet(self, vm: str) -> None:
        self.late_reads[vm] = LateRead(self.newest(), self.end(), self.now_s)

    @rule(vm=st.sampled_from(VMS))
    def receive_late_answer(self, vm: str) -> None:
        if vm in self.late_reads:
            self.vms[vm].read(*self.late_reads.pop(vm))

    @rule(lost=st.integers(0, 3), away_s=st.floats(0.0, 2.0))
    def restore_older_copy(self, lost: int, away_s: float) -> None:
        self.now_s += away_s
        self.era += 1
        del self.log[max(0, len(self.log) - lost) :]

    @rule(vm=st.sampled_from(VMS))
    def claim_without_an_answer_yet(self, vm: str) -> None:
        end = self.end_if_claiming(vm)
        if end is not None:
            late = LateAppend(self.vms[vm].incarnation, end)
            self.late_appends.append(late)

    @rule()
    def append_late(self) -> None:
        if self.late_appends:
            late = self.late_appends.pop()
            if late.at.offset == len(self.log):
                self.log.append(make_claim(late.vm, late.at.offset, late.at.era))

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm: str) -> None:
        """Start a new process of a VM, which remembers nothing."""
        count = int(self.vms[vm].incarnation.partition("-")[2] or 0)
        self.vms[vm] = Leadership(f"{vm}-{count + 1}", 0.0)
        self.late_reads.pop(vm, None)
        self.read(vm)


class ModelWithoutEras(RestoredStoreModel):
    """The same with VMs that take every position for one of the same era."""

    knows_eras = False


class LeadershipTests(unittest.TestCase):
    def test_at_most_one_vm_acts_at_any_time(self) -> None:
        run_state_machine_as_test(
            LeadershipModel,
            settings=MODEL_SETTINGS,
        )

    def test_at_most_one_vm_acts_when_the_store_comes_back_older(self) -> None:
        run_state_machine_as_test(RestoredStoreModel, settings=DETECTION_SETTINGS)

    def test_the_model_detects_a_successor_that_does_not_wait(self) -> None:
        with (
            patch("_pistachiopond.decisions.leadership.HANDOVER_S", 0.0),
            self.assertRaises(AssertionError),
        ):
            run_state_machine_as_test(LeadershipModel, settings=DETECTION_SETTINGS)

    def test_the_model_detects_vms_that_ignore_the_store_s_era(self) -> None:
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(ModelWithoutEras, settings=DETECTION_SETTINGS)

    def test_a_vm_that_denied_its_claim_does_not_act_on_it_later(self) -> None:
        for is_answer_late in (True, False):
            vm = Leadership("a", 0.0)
            vm.read(None, StorePosition(0, 0), 0.0)
            # Another VM read the claim and asked before its answer arrived.
            self.assertFalse(vm.is_leading(0.1))
            vm.deny(make_claim("a", 0).fence)
            if is_answer_late:
                vm.claimed(make_claim("a", 0), 0.0, has_resigned=False)
            else:
                vm.read(make_claim("a", 0), StorePosition(0, 1), 0.2)
            for now_s in (0.3, 0.2 + HANDOVER_S):
                vm.read(None, StorePosition(0, 1), now_s)
                self.assertFalse(vm.may_act(now_s + 0.1))
            vm.claimed(make_claim("a", 1), 3.0, has_resigned=True)
            self.assertTrue(vm.may_act(3.1))

    def test_a_claim_of_an_earlier_era_is_renewed_by_its_holder(self) -> None:
        leader = Leadership("a", 0.0)
        leader.read(None, StorePosition(0, 0), 0.0)
        leader.claimed(make_claim("a", 0), 0.0, has_resigned=False)
        leader.read(make_claim("a", 0), StorePosition(1, 1), 0.5)
        self.assertFalse(leader.may_act(0.6))
        self.assertTrue(leader.is_leading(0.6))
        self.assertTrue(leader.may_claim(0.6, has_resigned=False))
        leader.claimed(make_claim("a", 1, era=1), 0.6, has_resigned=False)
        leader.read(None, StorePosition(1, 2), 0.6 + HANDOVER_S)
        self.assertFalse(leader.may_act(0.6 + HANDOVER_S - 0.1))
        self.assertTrue(leader.may_act(0.6 + HANDOVER_S + 0.1))

    def test_a_token_of_a_later_era_is_higher_at_any_offset(self) -> None:
        tokens = [
            make_claim("a", offset, era).fence
            for era, offset in ((0, 0), (0, 900), (1, 0), (1, 3), (2, 1))
        ]
        self.assertEqual(tokens, sorted(set(tokens)))
        self.assertEqual(tokens[1], 900)

    def test_a_leader_stops_acting_when_its_last_read_is_old(self) -> None:
        leader = Leadership("a", 0.0)
        leader.read(None, StorePosition(0, 0), 0.0)
        leader.claimed(make_claim("a", 0), 0.0, has_resigned=False)
        self.assertTrue(leader.may_act(0.5))
        self.assertFalse(leader.may_act(AUTHORITY_S + 0.1))
        leader.read(make_claim("a", 0), StorePosition(0, 1), 1.1)
        self.assertTrue(leader.may_act(1.2))

    def test_a_leader_that_gave_up_acts_only_on_a_new_claim(self) -> None:
        leader = Leadership("a", 0.0)
        leader.read(None, StorePosition(0, 0), 0.0)
        leader.claimed(make_claim("a", 0), 0.0, has_resigned=False)
        self.assertFalse(leader.is_leading(GIVE_UP_S + 0.1))
        leader.read(make_claim("a", 0), StorePosition(0, 1), GIVE_UP_S + 0.1)
        self.assertFalse(leader.may_act(GIVE_UP_S + 0.2))
        leader.claimed(make_claim("a", 1), 3.0, has_resigned=True)
        self.assertTrue(leader.may_act(3.1))

    def test_a_successor_waits_for_a_leader_that_has_not_resigned(self) -> None:
        successor = Leadership("b", 0.0)
        successor.read(make_claim("a", 0), StorePosition(0, 1), 0.0)
        successor.claimed(make_claim("b", 1), 0.0, has_resigned=False)
        self.assertFalse(successor.may_act(AUTHORITY_S - 0.1))
        successor.read(make_claim("b", 1), StorePosition(0, 2), HANDOVER_S)
        self.assertTrue(successor.may_act(HANDOVER_S + 0.1))

    def test_vms_that_cannot_reach_each_other_do_not_alternate_as_leader(self) -> None:
        vm = Leadership("a", 0.0)
        vm.read(make_claim("b", 0), StorePosition(0, 1), 0.0)
        vm.leader_lost(0.0)
        now_s, claims_s = 0.0, []
        while now_s < 30.0:
            now_s += 0.05
            if vm.may_claim(now_s, has_resigned=False):
                claims_s.append(now_s)
                fence = 2 * len(claims_s)
                vm.claim_sent(now_s)
                vm.claimed(make_claim("a", fence), now_s, has_resigned=False)
                end = StorePosition(0, fence + 2)
                vm.read(make_claim("b", fence + 1), end, now_s)
                vm.leader_lost(now_s)
        self.assertLessEqual(len(claims_s), 5)


if __name__ == "__main__":
    unittest.main()
