"""Tests of which servers may get work while data centres are evacuated."""

import unittest

from _pistachiopond.decisions.evacuation import (
    are_all_evacuated,
    mark_evacuated,
    may_get_work,
)
from _pistachiopond.decisions.model_plan import ModelDemand, plan_models
from _pistachiopond.schema.deployment import BackendServer
from testing.decisions.test_model_plan import PlannerFixture, make_server, make_spec


def server_in(data_centre: str, name: str, *models: str, **more: bool) -> BackendServer:
    """Return a server of a data centre."""
    return make_server(name, *models, **more)._replace(data_centre=data_centre)


NORTH, SOUTH = server_in("north", "n"), server_in("south", "s")
LEAVING = server_in("south", "l", leaving=True)


class EvacuationTests(unittest.TestCase):
    def test_the_rule_goes_by_the_data_centre_of_the_server(self) -> None:
        """Guards against work for a server that replaces one of that data centre."""
        replaced = NORTH._replace(server_id="n2", started_ms=9)
        for server, expected in ((NORTH, False), (replaced, False), (SOUTH, True)):
            self.assertEqual(may_get_work(server, {"north"}), expected)

    def test_all_are_evacuated_only_if_evacuation_leaves_no_staying_server(
        self,
    ) -> None:
        """Guards against refusals at once where requests could wait, and waits in vain.

        A service whose servers all leave or that has none is no matter of evacuation.
        """
        cases = (
            ((NORTH, SOUTH), {"north"}, False),
            ((NORTH, SOUTH), {"north", "south"}, True),
            ((NORTH, LEAVING), {"north"}, True),
            ((NORTH, SOUTH), set(), False),
            ((LEAVING,), {"south"}, False),
            ((), {"north"}, False),
        )
        for servers, evacuated, expected in cases:
            with self.subTest(servers=servers, evacuated=evacuated):
                self.assertEqual(are_all_evacuated(servers, evacuated), expected)

    def test_models_of_an_evacuated_data_centre_are_loaded_elsewhere_by_need(
        self,
    ) -> None:
        """Guards against orders for evacuated servers, and for unneeded models first.

        Requests wait for m2 for the longest time, then for m1. None use m0, which is
        worth no load until one does.
        """
        servers = [
            server_in("north", "n1", "m0", "m1"),
            server_in("north", "n2", "m2"),
            server_in("south", "s1"),
        ]
        marked = mark_evacuated(servers, {"north"})
        plan = PlannerFixture(make_spec(3), *marked)
        demand = {"m1": ModelDemand(0, 2, 0.1), "m2": ModelDemand(0, 2, 1.5)}
        plan.warm_up(demand)
        loads = []
        for _ in range(30):
            plan.now_s += 0.1
            orders = plan_models(plan.inputs(demand), plan.now_s)
            loads += [(order.server_id, order.action, order.model) for order in orders]
            plan.carry_out(orders)
        expected = [("s1", "load", model) for model in ("m2", "m1")]
        self.assertEqual(loads, expected)
        # The evacuation ends: their replicas count again, and nothing is loaded.
        plan.fleet.set_servers({item.server_id: item for item in servers})
        self.assertEqual(len(plan.fleet.replicas()["m0"]), 1)


if __name__ == "__main__":
    unittest.main()
