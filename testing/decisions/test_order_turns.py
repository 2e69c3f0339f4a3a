"""Tests of the pause of orders of a VM that gets the lead back."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, run_state_machine_as_test

from _pistachiopond.decisions.leadership import HANDOVER_S, Claim, Leadership
from _pistachiopond.decisions.order_turns import (
    CLAIM_LAG_S,
    ORDER_MARGIN_S,
    OrderTurns,
)
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.schema.vm_settings import LEASE_S
from testing.decisions.test_leadership import (
    DETECTION_SETTINGS,
    MODEL_SETTINGS,
    VMS,
    RestoredStoreModel,
    make_claim,
)


class OrderTurnsModel(RestoredStoreModel):
    """The model of leadership with VMs that send an order whenever they may."""

    lease_s = LEASE_S
    has_memory_of_starts = True
    tells_earlier_holders = True

    def __init__(self) -> None:
        self.last_order_s: dict[str, float] = {}
        self.has_turn = ""
        self.unanswered: dict[str, OrderTurns] = {}
        self.late_claims: list[Claim] = []
        super().__init__()
        for vm in VMS:
            self.start(vm, vm)

    def start(self, vm: str, incarnation: str) -> None:
        started_s = self.now_s if self.has_memory_of_starts else float("-inf")
        turns = OrderTurns(vm, self.lease_s, started_s)
        self.vms[vm] = Leadership(incarnation, 0.0, turns)
        self.late_reads.pop(vm, None)
        self.unanswered.pop(vm, None)
        self.read(vm)

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm: str) -> None:
        count = int(self.vms[vm].incarnation.partition("-")[2] or 0)
        self.start(vm, f"{vm}-{count + 1}")

    @rule(vm=st.sampled_from(VMS), is_answer_lost=st.booleans())
    def claim(self, vm: str, is_answer_lost: bool) -> None:
        end = self.end_if_claiming(vm)
        if end is not None and end.offset == len(self.log):
            self.claim_at(vm, end, is_answer_lost)

    def claim_at(self, vm: str, end: StorePosition, is_answer_lost: bool) -> None:
        leadership = self.vms[vm]
        known = leadership.claim
        has_resigned = known is not None and known.fence in self.resigned
        claim = self.make_claim(vm, end)
        self.log.append(claim)
        if not is_answer_lost and end.era == self.end().era:
            leadership.claimed(claim, self.now_s, has_resigned=has_resigned)

    def make_claim(self, vm: str, end: StorePosition) -> Claim:
        holders = self.vms[vm].turns.earlier_holders(end.era, self.now_s)
        if not self.tells_earlier_holders:
            holders = ()
        incarnation = self.vms[vm].incarnation
        return Claim(end, vm, incarnation, "127.0.0.1:1", holders)

    @rule(vm=st.sampled_from(VMS))
    def claim_without_an_answer_yet(self, vm: str) -> None:
        end = self.end_if_claiming(vm)
        if end is not None:
            self.late_claims.append(self.make_claim(vm, end))

    @rule()
    def append_late(self) -> None:
        if self.late_claims:
            late = self.late_claims.pop()
            if late.position.offset == len(self.log):
                self.log.append(late)

    @rule(vm=st.sampled_from(VMS), has_resigned=st.booleans(), is_new=st.booleans())
    def take_over(self, vm: str, has_resigned: bool, is_new: bool) -> None:
        """Replace the leader, which resigns or is not heard, and send orders."""
        if is_new:
            self.restart(vm)
        claim = self.newest()
        if has_resigned and claim is not None:
            self.vms[claim.leader].resign()
        leadership = self.vms[vm]
        while not leadership.is_mine() and self.end_if_claiming(vm) is None:
            self.pass_time(vm)
            self.lose_leader(vm)
            self.ask_leader(vm)
        if not leadership.is_mine() and leadership.end == self.end():
            self.claim_at(vm, self.end(), is_answer_lost=False)
        for _ in range(round(HANDOVER_S / 0.1) + 1):
            if not leadership.may_act(self.now_s):
                self.pass_time(vm)

    def pass_time(self, vm: str) -> None:
        """Pass some time, with a read by the VM at its end and orders of all."""
        self.now_s += 0.1
        self.read(vm)
        self.send_orders()

    @rule(vm=st.sampled_from(VMS))
    def receive_order_answer(self, vm: str) -> None:
        """End the call of an order, which may take long in a VM that stood still."""
        if vm in self.unanswered:
            self.unanswered.pop(vm).order_ended(self.now_s)

    @invariant()
    def send_orders(self) -> None:
        """Send an order from each VM that may; none returns within the lease."""
        for vm, leadership in self.vms.items():
            if not leadership.may_order(self.now_s) or vm in self.unanswered:
                continue
            leadership.turns.order_sent(self.now_s)
            self.unanswered[vm] = leadership.turns
            last_s = self.last_order_s.get(vm, float("-inf"))
            if self.has_turn != vm:
                assert self.now_s - last_s >= LEASE_S, (vm, self.now_s - last_s)
            self.has_turn = vm
            self.last_order_s[vm] = self.now_s


class OrderTurnsTests(unittest.TestCase):
    def test_no_vm_sends_orders_again_soon_after_another_one_s(self) -> None:
        run_state_machine_as_test(OrderTurnsModel, settings=MODEL_SETTINGS)

    def test_the_model_detects_vms_that_send_orders_by_turns(self) -> None:
        for fault in (
            {"lease_s": 0.0},
            {"has_memory_of_starts": False},
            {"tells_earlier_holders": False},
        ):
            model = type("FaultyModel", (OrderTurnsModel,), fault)
            with (
                self.subTest(fault),
                self.assertRaisesRegex(AssertionError, r"\('[abc]', "),
            ):
                run_state_machine_as_test(model, settings=DETECTION_SETTINGS)

    def test_the_pause_runs_from_the_end_of_the_last_call(self) -> None:
        turns = OrderTurns("a", LEASE_S, 0.0)
        turns.claim_read(None, 0, 0.0)
        turns.claim_read(make_claim("a", 0), 0, 0.1)
        turns.order_sent(1.0)
        turns.claim_read(make_claim("b", 1), 0, 1.1)
        turns.order_ended(1.3)
        turns.claim_read(make_claim("a", 2), 0, 2.0)
        until_s = 1.3 + LEASE_S + ORDER_MARGIN_S
        self.assertAlmostEqual(turns.pause_s(2.0), until_s - 2.0)
        self.assertEqual(turns.pause_s(until_s), 0.0)

    def test_claims_name_earlier_holders_while_their_orders_are_recent(self) -> None:
        turns = OrderTurns("c", LEASE_S, 0.0)
        claim = make_claim("b", 1)._replace(earlier_holders=("a",))
        turns.claim_read(claim, 0, 5.0)
        self.assertEqual(turns.earlier_holders(0, 5.5), ("a", "b"))
        settled_s = 5.0 + LEASE_S + CLAIM_LAG_S
        self.assertEqual(turns.earlier_holders(0, settled_s), ("b",))
        # A claim of another era, or of a build that names none, tells nothing.
        self.assertIsNone(turns.earlier_holders(1, settled_s))
        turns.claim_read(make_claim("d", 2), 0, settled_s)
        self.assertIsNone(turns.earlier_holders(0, settled_s + 0.1))

    def test_a_vm_that_was_no_holder_before_its_start_does_not_pause(self) -> None:
        for holders, name, pauses in (
            (("a",), "a", True),
            (("b",), "a", False),
            (None, "a", True),
        ):
            turns = OrderTurns(name, LEASE_S, 9.0)
            claim = make_claim("b", 1)._replace(earlier_holders=holders)
            turns.claim_read(claim, 0, 9.5)
            turns.claim_read(make_claim(name, 2), 0, 10.0)
            self.assertEqual(turns.pause_s(10.0) > 0.0, pauses)

    def test_a_process_that_starts_under_its_vm_s_claim_pauses_after_another(
        self,
    ) -> None:
        turns = OrderTurns("a", LEASE_S, 9.0)
        claim = make_claim("a", 1)._replace(earlier_holders=())
        turns.claim_read(claim, 0, 9.1)
        self.assertEqual(turns.pause_s(9.2), 0.0)
        turns.claim_read(make_claim("b", 2), 0, 9.5)
        turns.claim_read(make_claim("a", 3), 0, 10.0)
        self.assertGreater(turns.pause_s(10.0), 0.0)


if __name__ == "__main__":
    unittest.main()
