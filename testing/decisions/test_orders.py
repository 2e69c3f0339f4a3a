"""Tests of the book of orders, the settle rules, memory and the weight store."""

import unittest
from typing import Any

from _pistachiopond.decisions.drains import Drains
from _pistachiopond.decisions.intents import (
    IN_FLIGHT_LIMIT_S,
    ForeignInput,
    judge_foreign,
)
from _pistachiopond.decisions.memory import Report, free_mb
from _pistachiopond.decisions.orders import (
    MAX_SENDS,
    Announce,
    OrderBook,
    Send,
    Settle,
)
from _pistachiopond.decisions.ownership import Held
from _pistachiopond.decisions.weights_queue import (
    FOREIGN_LOAD_S,
    LoadsInFlight,
    count_loads,
    may_start_adapter,
    may_start_model,
)
from _pistachiopond.schema.engine import (
    EngineAdapter,
    EngineModel,
    EngineOrder,
    EngineState,
)
from _pistachiopond.schema.heartbeat import MAX_DRAINS, DrainedReplica
from _pistachiopond.schema.manifest import WeightStoreLimits
from _pistachiopond.schema.records import Intent, Order, ShardState

HELD = Held(3, 0.0, 1_000.0)
LOAD = Order(0, "s", "load", "m", "1", "", 40)


def engine(*models: EngineModel, **fields: Any) -> EngineState:
    base = EngineState("i", False, False, 100, models)
    return base._replace(**fields)


def ready(name: str = "m", memory_mb: int = 40) -> EngineModel:
    return EngineModel(name, "1", memory_mb, "ready")


def intent(holder: str, order: Order = LOAD, epoch: int = 1) -> Intent:
    return Intent(holder, "127.0.0.1:1", epoch, order)


class BookTests(unittest.TestCase):
    def setUp(self) -> None:
        self.book = OrderBook("me", "127.0.0.1:1")
        self.reports: dict[str, Report] = {}

    def act(self, now_s: float, held: Held | None = HELD) -> list[Any]:
        return self.book.next_actions(held, now_s)

    def read(self, now_s: float, *intents: Intent) -> None:
        self.book.take_state(ShardState(intents=intents), self.reports, now_s)

    def announce(self) -> Intent:
        self.book.begin(LOAD, HELD.epoch)
        (action,) = self.act(0.0)
        self.assertIsInstance(action, Announce)
        return action.record.intent

    def test_nothing_is_sent_before_the_intent_was_read_back(self) -> None:
        announced = self.announce()
        self.assertEqual(self.act(1.0), [])
        self.read(1.0, announced)
        self.assertEqual(self.act(1.0), [Send(announced.order, HELD.epoch)])

    def test_nothing_is_sent_without_authority(self) -> None:
        announced = self.announce()
        self.read(1.0, announced)
        later = Held(HELD.epoch + 5, 2.0, 1_000.0)
        actions = self.act(1.0, None) + self.act(3.0, later)
        self.assertFalse([item for item in actions if isinstance(item, Send)])

    def test_a_lost_answer_brings_the_same_number_again(self) -> None:
        announced = self.announce()
        self.read(1.0, announced)
        (first,) = self.act(1.0)
        self.book.note_answer(0, "unknown", 6.0)
        self.assertEqual(self.act(6.5), [])
        self.assertEqual(self.act(7.1), [first])

    def test_an_answer_is_no_proof_but_the_report_is(self) -> None:
        announced = self.announce()
        self.read(1.0, announced)
        self.act(1.0)
        self.book.note_answer(0, "answered", 2.0)
        self.read(3.0, announced)
        self.assertEqual(self.act(3.0), [])
        self.reports["s"] = Report(engine(ready()), 4.0)
        self.read(4.0, announced)
        (action,) = self.act(4.0)
        self.assertIsInstance(action, Settle)
        self.assertEqual(action.record.numbers, (0,))

    def test_a_report_from_before_the_answer_confirms_nothing(self) -> None:
        announced = self.announce()
        self.read(1.0, announced)
        self.act(1.0)
        self.book.note_answer(0, "answered", 5.0)
        self.reports["s"] = Report(engine(ready()), 4.0)
        self.read(6.0, announced)
        self.assertEqual(self.act(6.0), [])

    def doubtful(self, **fields: Any) -> list[Any]:
        """Confirm an order of which one copy got no answer; return what follows."""
        announced = self.announce()
        self.read(1.0, announced)
        self.act(1.0)
        self.book.note_answer(0, "unknown", 6.0)
        self.reports["s"] = Report(engine(ready(), **fields), 7.0)
        self.read(7.0, announced)
        return self.act(7.0)

    def test_a_copy_in_doubt_keeps_the_order_unsettled(self) -> None:
        self.assertEqual(self.doubtful(), [])
        (action,) = self.act(6.0 + IN_FLIGHT_LIMIT_S)
        self.assertIsInstance(action, Settle)

    def test_an_engine_that_remembers_the_number_ends_the_doubt(self) -> None:
        known = (EngineOrder(HELD.epoch, 0, "done"),)
        (action,) = self.doubtful(checks_fencing=True, orders=known)
        self.assertIsInstance(action, Settle)

    def test_a_settled_order_counts_until_the_engine_is_asked_again(self) -> None:
        announced = self.announce()
        self.read(1.0, announced)
        self.reports["s"] = Report(engine(), 0.5)
        self.read(2.0)
        self.assertEqual(self.book.intents(), (announced,))
        self.reports["s"] = Report(engine(), 2.5)
        self.read(3.0)
        self.assertEqual(self.book.intents(), ())

    def test_an_order_that_nothing_answers_is_given_up(self) -> None:
        announced = self.announce()
        sends = 0
        for second in range(1, 400):
            self.read(float(second), announced)
            for action in self.act(float(second)):
                if isinstance(action, Send):
                    sends += 1
                    self.book.note_answer(0, "not_sent", float(second))
        self.assertEqual(sends, MAX_SENDS)

    def test_an_intent_that_came_up_late_is_settled_and_not_sent(self) -> None:
        self.read(1.0, intent("me"))
        (action,) = self.act(1.0)
        self.assertEqual(action.record.numbers, (0,))

    def test_a_shutdown_abandons_only_what_is_not_in_flight(self) -> None:
        announced = self.announce()
        self.read(1.0, announced)
        self.act(1.0)
        self.assertIsNone(self.book.abandon(2.0))
        self.book.note_answer(0, "not_sent", 3.0)
        self.assertEqual(self.book.abandon(4.0).numbers, (0,))


class ForeignTests(unittest.TestCase):
    def judge(self, report: Report, now_s: float = 50.0, **fields: Any) -> Any:
        facts = ForeignInput("me", 9, 10.0, frozenset(), {})._replace(**fields)
        return judge_foreign([intent("other")], {"s": report}, facts, now_s)

    def test_an_ignoring_engine_keeps_it_until_the_sender_is_gone(self) -> None:
        report = Report(engine(highest_fencing_number=9), 20.0)
        self.assertEqual(self.judge(report).settled, ())
        gone = {"other": 40.0}
        before_s = 40.0 + IN_FLIGHT_LIMIT_S - 1
        self.assertEqual(self.judge(report, before_s, gone_since_s=gone).settled, ())
        decision = self.judge(report, before_s + 1, gone_since_s=gone)
        self.assertEqual(decision.settled, (intent("other"),))

    def test_a_checking_engine_ends_it_once_it_has_seen_the_epoch(self) -> None:
        fenced = frozenset({"s"})
        state = engine(checks_fencing=True, highest_fencing_number=8)
        decision = self.judge(Report(state, 20.0), checks_fencing=fenced)
        self.assertEqual((decision.settled, decision.to_fence), ((), ("s",)))
        state = state._replace(highest_fencing_number=9)
        decision = self.judge(Report(state, 20.0), checks_fencing=fenced)
        self.assertEqual(decision.settled, (intent("other"),))

    def test_a_report_from_before_the_claim_ends_nothing(self) -> None:
        state = engine(checks_fencing=True, highest_fencing_number=9)
        decision = self.judge(Report(state, 9.0), checks_fencing=frozenset({"s"}))
        self.assertEqual(decision.settled, ())

    def test_the_manifest_and_the_engine_must_both_say_that_it_checks(self) -> None:
        state = engine(checks_fencing=False, highest_fencing_number=9)
        decision = self.judge(Report(state, 20.0), checks_fencing=frozenset({"s"}))
        self.assertEqual(decision.settled, ())


class MemoryTests(unittest.TestCase):
    def test_a_loaded_model_and_its_intent_count_once(self) -> None:
        self.assertEqual(free_mb("s", engine(ready()), [intent("me")]), 60)

    def test_an_intent_counts_where_nothing_is_loaded(self) -> None:
        self.assertEqual(free_mb("s", engine(), [intent("other")]), 60)
        self.assertEqual(free_mb("t", engine(), [intent("other")]), 100)

    def test_adapters_count(self) -> None:
        adapter = EngineAdapter("a", 5, "loading")
        model = ready()._replace(adapters=(adapter,))
        self.assertEqual(free_mb("s", engine(model), []), 55)


class WeightsTests(unittest.TestCase):
    def test_count_and_rate_bound_model_loads(self) -> None:
        limits = WeightStoreLimits(loads_per_s=2.0, full_speed_loads=2)
        self.assertTrue(may_start_model(LoadsInFlight(1, 0), limits, 0.0, 0.5))
        self.assertFalse(may_start_model(LoadsInFlight(1, 0), limits, 0.0, 0.4))
        self.assertFalse(may_start_model(LoadsInFlight(2, 0), limits, 0.0, 9.0))

    def test_adapters_have_their_own_bound(self) -> None:
        limits = WeightStoreLimits(full_speed_adapter_loads=16)
        self.assertTrue(may_start_adapter(LoadsInFlight(9, 15), limits))
        self.assertFalse(may_start_adapter(LoadsInFlight(0, 16), limits))

    def test_a_new_holder_counts_the_loads_of_the_one_before(self) -> None:
        reports = {"s": Report(engine(), 1.0)}
        early = count_loads([intent("other")], reports, "me", 1.0)
        late = count_loads([intent("other")], reports, "me", FOREIGN_LOAD_S)
        self.assertEqual((early.models, late.models), (1, 0))

    def test_what_an_engine_is_loading_always_counts(self) -> None:
        loading = EngineModel("m", "1", 40, "loading")
        reports = {"s": Report(engine(loading), 1.0)}
        loads = count_loads([intent("other")], reports, "me", 999.0)
        self.assertEqual(loads, LoadsInFlight(1, 0))


class DrainTests(unittest.TestCase):
    def test_the_list_is_bounded_and_keeps_its_first_times(self) -> None:
        replicas = [DrainedReplica("s", f"m{index}", "1") for index in range(20)]
        drains = Drains()
        notice = drains.take_plan(replicas, 1, 0.0)
        self.assertEqual(len(notice.replicas), MAX_DRAINS)
        again = drains.take_plan(reversed(replicas), 1, 5.0)
        self.assertEqual(again, notice)
        self.assertEqual(set(drains.since_s().values()), {0.0})

    def test_another_epoch_starts_anew(self) -> None:
        drains = Drains()
        replica = DrainedReplica("s", "m", "1")
        drains.take_plan([replica], 1, 0.0)
        drains.take_plan([replica], 2, 9.0)
        self.assertEqual(drains.since_s(), {replica: 9.0})
