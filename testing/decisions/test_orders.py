"""Tests of order tracking, settlement, memory counts, load limits and drain lists."""

import unittest
from typing import Any

from _pistachiopond.decisions.drains import DrainList
from _pistachiopond.decisions.earlier_orders import (
    IN_FLIGHT_LIMIT_S,
    EarlierOrdersInput,
    decide_earlier_orders,
)
from _pistachiopond.decisions.load_limits import (
    EARLIER_HOLDER_LOAD_S,
    LoadsInFlight,
    count_loads,
    may_start_adapter,
    may_start_model,
)
from _pistachiopond.decisions.memory import EngineReport, free_mb
from _pistachiopond.decisions.order_tracker import (
    MAX_SENDS,
    AppendIntent,
    AppendSettlement,
    OrderTracker,
    SendOrder,
)
from _pistachiopond.decisions.ownership import ShardLease
from _pistachiopond.schema.engine import (
    EngineAdapter,
    EngineModel,
    EngineOrder,
    EngineState,
)
from _pistachiopond.schema.heartbeat import MAX_DRAINS, DrainedReplica
from _pistachiopond.schema.manifest import WeightStoreLimits
from _pistachiopond.schema.records import Intent, Order, ShardState

LEASE = ShardLease(3, 0.0, 1_000.0)
LOAD = Order(0, "s", "load", "m", "1", "", 40)


def engine(*models: EngineModel, **fields: Any) -> EngineState:
    base = EngineState("i", False, False, 100, models)
    return base._replace(**fields)


def ready(name: str = "m", memory_mb: int = 40) -> EngineModel:
    return EngineModel(name, "1", memory_mb, "ready")


def intent(holder: str, order: Order = LOAD, epoch: int = 1) -> Intent:
    return Intent(holder, "127.0.0.1:1", epoch, order)


class OrderTrackingTests(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = OrderTracker("me", "127.0.0.1:1")
        self.reports: dict[str, EngineReport] = {}

    def actions(self, now_s: float, lease: ShardLease | None = LEASE) -> list[Any]:
        return self.tracker.next_actions(lease, now_s)

    def read(self, now_s: float, *intents: Intent) -> None:
        self.tracker.take_state(ShardState(intents=intents), self.reports, now_s)

    def start_order(self) -> Intent:
        self.tracker.add(LOAD, LEASE.epoch)
        (action,) = self.actions(0.0)
        self.assertIsInstance(action, AppendIntent)
        return action.record.intent

    def test_no_order_is_sent_before_its_intent_was_read_back(self) -> None:
        announced = self.start_order()
        self.assertEqual(self.actions(1.0), [])
        self.read(1.0, announced)
        self.assertEqual(self.actions(1.0), [SendOrder(announced.order, LEASE.epoch)])

    def test_no_order_is_sent_without_holding_its_epoch(self) -> None:
        announced = self.start_order()
        self.read(1.0, announced)
        later = ShardLease(LEASE.epoch + 5, 2.0, 1_000.0)
        actions = self.actions(1.0, None) + self.actions(3.0, later)
        self.assertFalse([item for item in actions if isinstance(item, SendOrder)])

    def test_after_a_lost_answer_the_same_order_number_is_resent(self) -> None:
        announced = self.start_order()
        self.read(1.0, announced)
        (first,) = self.actions(1.0)
        self.tracker.record_answer(0, "unknown", 6.0)
        self.assertEqual(self.actions(6.5), [])
        self.assertEqual(self.actions(7.1), [first])

    def test_an_order_is_settled_by_a_report_and_not_by_the_answer(self) -> None:
        announced = self.start_order()
        self.read(1.0, announced)
        self.actions(1.0)
        self.tracker.record_answer(0, "answered", 2.0)
        self.read(3.0, announced)
        self.assertEqual(self.actions(3.0), [])
        self.reports["s"] = EngineReport(engine(ready()), 4.0)
        self.read(4.0, announced)
        (action,) = self.actions(4.0)
        self.assertIsInstance(action, AppendSettlement)
        self.assertEqual(action.record.numbers, (0,))

    def test_a_report_from_before_the_answer_does_not_settle_an_order(self) -> None:
        announced = self.start_order()
        self.read(1.0, announced)
        self.actions(1.0)
        self.tracker.record_answer(0, "answered", 5.0)
        self.reports["s"] = EngineReport(engine(ready()), 4.0)
        self.read(6.0, announced)
        self.assertEqual(self.actions(6.0), [])

    def confirm_with_unknown_send(self, **fields: Any) -> list[Any]:
        """Confirm an order of which one copy got no answer; return the next actions."""
        announced = self.start_order()
        self.read(1.0, announced)
        self.actions(1.0)
        self.tracker.record_answer(0, "unknown", 6.0)
        self.reports["s"] = EngineReport(engine(ready(), **fields), 7.0)
        self.read(7.0, announced)
        return self.actions(7.0)

    def test_an_order_stays_unsettled_while_a_copy_may_be_in_flight(self) -> None:
        self.assertEqual(self.confirm_with_unknown_send(), [])
        (action,) = self.actions(6.0 + IN_FLIGHT_LIMIT_S)
        self.assertIsInstance(action, AppendSettlement)

    def test_an_order_number_remembered_by_the_engine_settles_at_once(self) -> None:
        known = (EngineOrder(LEASE.epoch, 0, "done"),)
        (action,) = self.confirm_with_unknown_send(checks_fencing=True, orders=known)
        self.assertIsInstance(action, AppendSettlement)

    def test_a_settled_order_counts_until_a_newer_engine_report(self) -> None:
        announced = self.start_order()
        self.read(1.0, announced)
        self.reports["s"] = EngineReport(engine(), 0.5)
        self.read(2.0)
        self.assertEqual(self.tracker.intents(), (announced,))
        self.reports["s"] = EngineReport(engine(), 2.5)
        self.read(3.0)
        self.assertEqual(self.tracker.intents(), ())

    def test_an_order_is_given_up_after_the_maximum_number_of_sends(self) -> None:
        announced = self.start_order()
        sends = 0
        for second in range(1, 400):
            self.read(float(second), announced)
            for action in self.actions(float(second)):
                if isinstance(action, SendOrder):
                    sends += 1
                    self.tracker.record_answer(0, "not_sent", float(second))
        self.assertEqual(sends, MAX_SENDS)

    def test_an_intent_that_appears_late_is_settled_and_not_sent(self) -> None:
        self.read(1.0, intent("me"))
        (action,) = self.actions(1.0)
        self.assertEqual(action.record.numbers, (0,))

    def test_a_shutdown_settles_only_orders_that_are_not_in_flight(self) -> None:
        announced = self.start_order()
        self.read(1.0, announced)
        self.actions(1.0)
        self.assertIsNone(self.tracker.settle_for_shutdown(2.0))
        self.tracker.record_answer(0, "not_sent", 3.0)
        self.assertEqual(self.tracker.settle_for_shutdown(4.0).numbers, (0,))


class EarlierHolderTests(unittest.TestCase):
    def decide(self, report: EngineReport, now_s: float = 50.0, **fields: Any) -> Any:
        facts = EarlierOrdersInput("me", 9, 10.0, frozenset(), {})._replace(**fields)
        return decide_earlier_orders([intent("other")], {"s": report}, facts, now_s)

    def test_without_fencing_an_order_waits_until_its_sender_is_gone(self) -> None:
        report = EngineReport(engine(highest_fencing_number=9), 20.0)
        self.assertEqual(self.decide(report).settled, ())
        gone = {"other": 40.0}
        before_s = 40.0 + IN_FLIGHT_LIMIT_S - 1
        self.assertEqual(self.decide(report, before_s, ended_since_s=gone).settled, ())
        decision = self.decide(report, before_s + 1, ended_since_s=gone)
        self.assertEqual(decision.settled, (intent("other"),))

    def test_with_fencing_an_order_is_settled_once_the_epoch_is_seen(self) -> None:
        fenced = frozenset({"s"})
        state = engine(checks_fencing=True, highest_fencing_number=8)
        decision = self.decide(EngineReport(state, 20.0), checks_fencing=fenced)
        self.assertEqual((decision.settled, decision.to_fence), ((), ("s",)))
        state = state._replace(highest_fencing_number=9)
        decision = self.decide(EngineReport(state, 20.0), checks_fencing=fenced)
        self.assertEqual(decision.settled, (intent("other"),))

    def test_a_report_from_before_the_claim_settles_nothing(self) -> None:
        state = engine(checks_fencing=True, highest_fencing_number=9)
        decision = self.decide(
            EngineReport(state, 9.0), checks_fencing=frozenset({"s"})
        )
        self.assertEqual(decision.settled, ())

    def test_fencing_counts_only_if_manifest_and_engine_both_claim_it(self) -> None:
        state = engine(checks_fencing=False, highest_fencing_number=9)
        decision = self.decide(
            EngineReport(state, 20.0), checks_fencing=frozenset({"s"})
        )
        self.assertEqual(decision.settled, ())


class MemoryTests(unittest.TestCase):
    def test_a_loaded_model_and_its_intent_count_once(self) -> None:
        self.assertEqual(free_mb("s", engine(ready()), [intent("me")]), 60)

    def test_an_intent_counts_on_its_server_before_the_model_is_loaded(self) -> None:
        self.assertEqual(free_mb("s", engine(), [intent("other")]), 60)
        self.assertEqual(free_mb("t", engine(), [intent("other")]), 100)

    def test_adapters_use_memory(self) -> None:
        adapter = EngineAdapter("a", 5, "loading")
        model = ready()._replace(adapters=(adapter,))
        self.assertEqual(free_mb("s", engine(model), []), 55)


class LoadLimitTests(unittest.TestCase):
    def test_model_loads_are_limited_by_count_and_rate(self) -> None:
        limits = WeightStoreLimits(loads_per_s=2.0, full_speed_loads=2)
        self.assertTrue(may_start_model(LoadsInFlight(1, 0), limits, 0.0, 0.5))
        self.assertFalse(may_start_model(LoadsInFlight(1, 0), limits, 0.0, 0.4))
        self.assertFalse(may_start_model(LoadsInFlight(2, 0), limits, 0.0, 9.0))

    def test_adapter_loads_have_their_own_limit(self) -> None:
        limits = WeightStoreLimits(full_speed_adapter_loads=16)
        self.assertTrue(may_start_adapter(LoadsInFlight(9, 15), limits))
        self.assertFalse(may_start_adapter(LoadsInFlight(0, 16), limits))

    def test_a_new_holder_counts_its_predecessors_loads_for_a_while(self) -> None:
        reports = {"s": EngineReport(engine(), 1.0)}
        early = count_loads([intent("other")], reports, "me", 1.0)
        late = count_loads([intent("other")], reports, "me", EARLIER_HOLDER_LOAD_S)
        self.assertEqual((early.models, late.models), (1, 0))

    def test_a_load_that_an_engine_reports_always_counts(self) -> None:
        loading = EngineModel("m", "1", 40, "loading")
        reports = {"s": EngineReport(engine(loading), 1.0)}
        loads = count_loads([intent("other")], reports, "me", 999.0)
        self.assertEqual(loads, LoadsInFlight(1, 0))


class DrainTests(unittest.TestCase):
    def test_the_drain_list_is_bounded_and_keeps_its_start_times(self) -> None:
        replicas = [DrainedReplica("s", f"m{index}", "1") for index in range(20)]
        drains = DrainList()
        notice = drains.update(replicas, 1, 0.0)
        self.assertEqual(len(notice.replicas), MAX_DRAINS)
        again = drains.update(reversed(replicas), 1, 5.0)
        self.assertEqual(again, notice)
        self.assertEqual(set(drains.since_s().values()), {0.0})

    def test_a_new_epoch_restarts_the_drain_times(self) -> None:
        drains = DrainList()
        replica = DrainedReplica("s", "m", "1")
        drains.update([replica], 1, 0.0)
        drains.update([replica], 2, 9.0)
        self.assertEqual(drains.since_s(), {replica: 9.0})
