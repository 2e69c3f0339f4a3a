"""Tests of leader election, including a stateful model of several VMs."""

import unittest
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


def make_claim(vm: str, fence: int) -> Claim:
    return Claim(fence, vm, vm, "127.0.0.1:1")


class LeadershipModel(RuleBasedStateMachine):
    """Stateful test: VMs claim, read late, lose answers and lose the leader."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.log: list[Claim] = []
        self.vms = {vm: Leadership(vm, 0.0) for vm in VMS}
        self.resigned: set[int] = set()
        self.acting: list[tuple[float, str]] = []
        for vm in VMS:
            self.read(vm)

    @rule(vm=st.sampled_from(VMS), delay_s=st.floats(0.0, 0.4))
    def read(self, vm: str, delay_s: float = 0.0) -> None:
        newest = self.log[-1] if self.log else None
        self.vms[vm].read(newest, len(self.log), self.now_s - delay_s)

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
        if self.vms[claim.leader].is_leading(self.now_s):
            leadership.leader_replied(self.now_s)
        else:
            self.resigned.add(claim.fence)
            leadership.leader_lost(self.now_s)

    @rule(vm=st.sampled_from(VMS))
    def lose_leader(self, vm: str) -> None:
        self.vms[vm].leader_lost(self.now_s)

    @rule(vm=st.sampled_from(VMS), is_answer_lost=st.booleans())
    def claim(self, vm: str, is_answer_lost: bool) -> None:
        leadership = self.vms[vm]
        known = leadership.claim
        has_resigned = known is not None and known.fence in self.resigned
        if not leadership.may_claim(self.now_s, has_resigned=has_resigned):
            return
        leadership.claim_sent(self.now_s)
        if leadership.end_offset != len(self.log):
            return
        claim = make_claim(vm, len(self.log))
        self.log.append(claim)
        if not is_answer_lost:
            leadership.claimed(claim, self.now_s, has_resigned=has_resigned)

    @precondition(lambda self: self.log)
    @invariant()
    def at_most_one_acts(self) -> None:
        acting = [vm for vm in VMS if self.vms[vm].may_act(self.now_s)]
        assert len(acting) <= 1, acting

    @invariant()
    def no_turns_within_the_lease(self) -> None:
        for vm in VMS:
            if self.vms[vm].may_act(self.now_s):
                if not self.acting or self.acting[-1][1] != vm:
                    self.acting.append((self.now_s, vm))


class LeadershipTests(unittest.TestCase):
    def test_at_most_one_vm_acts_at_any_time(self) -> None:
        run_state_machine_as_test(
            LeadershipModel,
            settings=MODEL_SETTINGS,
        )

    def test_the_model_detects_a_successor_that_does_not_wait(self) -> None:
        with (
            patch("_pistachiopond.decisions.leadership.HANDOVER_S", 0.0),
            self.assertRaises(AssertionError),
        ):
            run_state_machine_as_test(LeadershipModel, settings=DETECTION_SETTINGS)

    def test_a_leader_stops_acting_when_its_last_read_is_old(self) -> None:
        leader = Leadership("a", 0.0)
        leader.read(None, 0, 0.0)
        leader.claimed(make_claim("a", 0), 0.0, has_resigned=False)
        self.assertTrue(leader.may_act(0.5))
        self.assertFalse(leader.may_act(AUTHORITY_S + 0.1))
        leader.read(make_claim("a", 0), 1, 1.1)
        self.assertTrue(leader.may_act(1.2))

    def test_a_leader_that_gave_up_acts_only_on_a_new_claim(self) -> None:
        leader = Leadership("a", 0.0)
        leader.read(None, 0, 0.0)
        leader.claimed(make_claim("a", 0), 0.0, has_resigned=False)
        self.assertFalse(leader.is_leading(GIVE_UP_S + 0.1))
        leader.read(make_claim("a", 0), 1, GIVE_UP_S + 0.1)
        self.assertFalse(leader.may_act(GIVE_UP_S + 0.2))
        leader.claimed(make_claim("a", 1), 3.0, has_resigned=True)
        self.assertTrue(leader.may_act(3.1))

    def test_a_successor_waits_for_a_leader_that_has_not_resigned(self) -> None:
        successor = Leadership("b", 0.0)
        successor.read(make_claim("a", 0), 1, 0.0)
        successor.claimed(make_claim("b", 1), 0.0, has_resigned=False)
        self.assertFalse(successor.may_act(AUTHORITY_S - 0.1))
        successor.read(make_claim("b", 1), 2, HANDOVER_S)
        self.assertTrue(successor.may_act(HANDOVER_S + 0.1))

    def test_vms_that_cannot_reach_each_other_do_not_alternate_as_leader(self) -> None:
        vm = Leadership("a", 0.0)
        vm.read(make_claim("b", 0), 1, 0.0)
        vm.leader_lost(0.0)
        now_s, claims_s = 0.0, []
        while now_s < 30.0:
            now_s += 0.05
            if vm.may_claim(now_s, has_resigned=False):
                claims_s.append(now_s)
                fence = 2 * len(claims_s)
                vm.claim_sent(now_s)
                vm.claimed(make_claim("a", fence), now_s, has_resigned=False)
                vm.read(make_claim("b", fence + 1), fence + 2, now_s)
                vm.leader_lost(now_s)
        self.assertLessEqual(len(claims_s), 5)


if __name__ == "__main__":
    unittest.main()
