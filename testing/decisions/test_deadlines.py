"""Tests of late requests and of the retry delay."""

import unittest

from _pistachiopond.decisions.deadlines import retry_after_s
from _pistachiopond.decisions.dispatch_types import AttemptFinished, Tick
from _pistachiopond.decisions.load import INITIAL_WINDOW
from testing.decisions.dispatch_fixtures import (
    arrive,
    make_facts,
    make_ready_dispatcher,
    make_server,
    refusals,
    starts,
)

FULL = int(INITIAL_WINDOW)


class LateRequestTests(unittest.TestCase):
    def test_a_late_request_is_served_after_one_that_can_still_be_in_time(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a")])
        for number in range(FULL):
            arrive(dispatcher, make_facts(f"running-{number}"), 0.0)
        arrive(dispatcher, make_facts("late"), 0.0)
        dispatcher.handle(Tick(), 1.0)
        arrive(dispatcher, make_facts("fresh"), 1.0)
        actions = dispatcher.handle(AttemptFinished("running-0", 1), 1.1)
        self.assertEqual([s.request_id for s in starts(actions)], ["fresh"])
        actions = dispatcher.handle(AttemptFinished("running-1", 1), 1.2)
        self.assertEqual([s.request_id for s in starts(actions)], ["late"])

    def test_late_requests_are_not_refused(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a")])
        for number in range(FULL + 5):
            arrive(dispatcher, make_facts(str(number)), 0.0)
        self.assertEqual(refusals(dispatcher.handle(Tick(), 30.0)), [])

    def test_the_retry_delay_grows_with_the_queue(self) -> None:
        self.assertLess(retry_after_s(100, 0.05), retry_after_s(400, 0.05))
        self.assertGreaterEqual(retry_after_s(0, 0.05), 1.0)
