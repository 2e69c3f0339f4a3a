"""Tests of the routing view for entry daemons, and of the input of plans."""

import unittest
from typing import Any

from _pistachiopond.decisions.memory import EngineReport
from _pistachiopond.decisions.planning import (
    DRAIN_NOTICE_S,
    USABLE_REPORT_AGE_S,
    PlanFacts,
    adapter_orders,
    orders_to_repeat,
    placement_input,
)
from _pistachiopond.decisions.views import (
    GONE_AFTER_S,
    ViewInput,
    has_changed,
    make_view,
)
from _pistachiopond.schema.engine import EngineAdapter, EngineModel, EngineState
from _pistachiopond.schema.heartbeat import DrainedReplica
from _pistachiopond.schema.manifest import Adapter, BackendServer, Manifest, Model
from _pistachiopond.schema.records import Intent, Order

DRAINED = DrainedReplica("one", "m", "1")
MANIFEST = Manifest(
    replaces_revision=0,
    deployment="test",
    objective="worst_served_customer",
    models=(Model("m", "1", 40, (Adapter("a", 5),)),),
    backend_servers=(
        BackendServer("one", "http://127.0.0.1:1", "a", "r", "k", "s", 1, 100),
        BackendServer("plain", "http://127.0.0.1:2", "a", "r", "k", "t"),
    ),
    routes=(),
    customers=(),
)


def resident(state: str = "ready", version: str = "1", adapters: Any = None) -> Any:
    if adapters is None:
        adapters = (EngineAdapter("a", 5, "ready"),)
    return EngineModel("m", version, 40, state, adapters)


def report(*models: EngineModel, asked_s: float = 10.0, **fields: Any) -> EngineReport:
    state = EngineState("i", False, False, 100, models)._replace(**fields)
    return EngineReport(state, asked_s)


class ViewTests(unittest.TestCase):
    def view(self, now_s: float = 11.0, one: Any = None, **fields: Any) -> Any:
        facts = ViewInput(
            MANIFEST, {"one": one or report(resident())}, frozenset(), frozenset()
        )
        return make_view(facts._replace(**fields), 1, now_s)

    def test_a_ready_model_is_shown_with_its_adapters(self) -> None:
        server = self.view().servers[0]
        self.assertEqual(server.availability, "serving")
        self.assertEqual(server.residents[0].adapters, ("a",))

    def test_a_server_reported_leaving_by_any_source_is_draining(self) -> None:
        own_report = self.view(one=report(resident(), leaving=True))
        self.assertEqual(own_report.servers[0].availability, "draining")
        others = self.view(leaving=frozenset({"one", "plain"}))
        self.assertEqual(
            [item.availability for item in others.servers], ["draining", "draining"]
        )

    def test_a_server_without_recent_reports_is_gone(self) -> None:
        silent = self.view(now_s=10.0 + GONE_AFTER_S + 0.1)
        self.assertEqual(silent.servers[0].availability, "gone")
        self.assertEqual(silent.servers[1].availability, "serving")

    def test_a_draining_replica_is_shown_as_draining(self) -> None:
        view = self.view(draining=frozenset({DRAINED}))
        self.assertEqual(view.servers[0].residents[0].state, "draining")

    def test_of_two_ready_versions_only_the_listed_one_is_shown(self) -> None:
        one = report(resident(), resident(version="0"))
        versions = [item.version for item in self.view(one=one).servers[0].residents]
        self.assertEqual(versions, ["1"])

    def test_a_different_report_age_alone_is_no_change_of_the_view(self) -> None:
        self.assertFalse(has_changed(self.view(11.0), self.view(12.0)))
        self.assertTrue(has_changed(self.view(), self.view(leaving=frozenset({"one"}))))


class PlanningTests(unittest.TestCase):
    def facts(self, one: EngineReport, **fields: Any) -> PlanFacts:
        facts = PlanFacts(MANIFEST, {"one": one}, (), frozenset(), {}, 5.0, {})
        return facts._replace(**fields)

    def replica(self, one: EngineReport, now_s: float = 11.0, **fields: Any) -> Any:
        (replica,) = placement_input(self.facts(one, **fields), now_s).replicas
        return replica

    def intent(self, verb: str) -> Intent:
        order = Order(0, "one", verb, "m", "1", "", 40 if verb == "load" else 0)
        return Intent("x", "127.0.0.1:1", 1, order)

    def test_a_replica_with_all_its_adapters_is_ready(self) -> None:
        replica = self.replica(report(resident()))
        self.assertEqual((replica.state, replica.memory_mb), ("ready", 45))

    def test_a_replica_without_its_adapters_is_loading_and_reserves_their_memory(
        self,
    ) -> None:
        replica = self.replica(report(resident(adapters=())))
        self.assertEqual((replica.state, replica.memory_mb), ("loading", 45))

    def test_an_unsettled_load_counts_as_loading(self) -> None:
        replica = self.replica(report(), intents=(self.intent("load"),))
        self.assertEqual((replica.state, replica.memory_mb), ("loading", 45))

    def test_a_replica_with_an_unsettled_unload_counts_as_unloading(self) -> None:
        replica = self.replica(report(resident()), intents=(self.intent("unload"),))
        self.assertEqual(replica.state, "unloading")

    def test_a_replica_is_drained_once_the_notice_period_has_passed(self) -> None:
        one = report(resident())
        early = self.replica(one, draining_since_s={DRAINED: 11.0 - DRAIN_NOTICE_S / 2})
        late = self.replica(one, draining_since_s={DRAINED: 11.0 - DRAIN_NOTICE_S})
        self.assertEqual((early.state, early.is_drained), ("draining", False))
        self.assertTrue(late.is_drained)

    def test_old_reports_and_those_from_before_the_claim_are_not_used(self) -> None:
        for one, now_s in (
            (report(resident(), asked_s=4.0), 6.0),
            (report(resident()), 10.0 + USABLE_REPORT_AGE_S + 0.1),
        ):
            (server,) = placement_input(self.facts(one), now_s).servers
            self.assertFalse(server.is_usable)

    def test_missing_adapters_are_ordered_and_unlisted_ones_removed(self) -> None:
        one = report(resident(adapters=(EngineAdapter("old", 5, "ready"),)))
        orders = adapter_orders(self.facts(one), 11.0)
        self.assertEqual(
            [(item.verb, item.adapter) for item in orders],
            [("load_adapter", "a"), ("unload_adapter", "old")],
        )

    def test_a_needed_load_of_an_earlier_holder_is_ordered_again(self) -> None:
        intents = (self.intent("load"),)
        facts = self.facts(report(), intents=intents)
        (order,) = orders_to_repeat(facts, "me", 11.0)
        self.assertEqual((order.server, order.verb, order.model), ("one", "load", "m"))
        self.assertEqual(orders_to_repeat(facts, "x", 11.0), [])
        there = self.facts(report(resident()), intents=intents)
        self.assertEqual(orders_to_repeat(there, "me", 11.0), [])
        leaving = facts._replace(leaving=frozenset({"one"}))
        self.assertEqual(orders_to_repeat(leaving, "me", 11.0), [])
