"""Tests of how crashes are confirmed and told to all control daemons."""

import unittest

import anyio

from _pistachiopond.control.crashes import CrashDesk, decide_probation
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.suspects import CrashReport
from _pistachiopond.transport.generated import pond_pb2 as pb
from testing.control.test_calls import FakeLog

REPORT = CrashReport("s/e/1", "s", ("bad", "good"), ())
ALONE = CrashReport("s/e/2", "s", ("bad",), ("bad",))


class CrashDeskTests(unittest.TestCase):
    def setUp(self) -> None:
        self.timer = VirtualTimer(100.0)
        self.log = FakeLog()
        self.desk = CrashDesk(self.timer, self.log.access)
        self.other = CrashDesk(self.timer, self.log.access)
        self.desk.see("s", "one", 90.0)

    def take(self, report: CrashReport) -> None:
        anyio.run(self.desk.take, (report,))

    def spread(self) -> None:
        anyio.run(self.desk.flush)
        anyio.run(self.other.follow)

    def standings(self, desk: CrashDesk) -> dict[str, str]:
        view = desk.book.view(self.timer.now_s())
        return {item.fingerprint: item.standing for item in view.suspects}

    def test_a_crash_is_known_everywhere_before_it_is_confirmed(self) -> None:
        self.take(REPORT)
        self.spread()
        expected = {"bad": "probation", "good": "probation"}
        self.assertEqual(self.standings(self.other), expected)

    def test_a_new_incarnation_confirms(self) -> None:
        self.take(ALONE)
        self.desk.see("s", "two", 101.0)
        self.desk.confirm(101.0)
        self.spread()
        self.assertEqual(self.standings(self.other), {"bad": "refused"})

    def test_a_cut_connection_never_refuses(self) -> None:
        self.take(ALONE)
        self.desk.see("s", "one", 101.0)
        self.desk.confirm(101.0)
        self.spread()
        self.assertEqual(self.standings(self.other), {"bad": "probation"})

    def test_hearing_of_a_server_for_the_first_time_confirms_nothing(self) -> None:
        self.take(ALONE._replace(server="t"))
        self.desk.see("t", "one", 101.0)
        self.desk.confirm(101.0)
        self.assertEqual(self.standings(self.desk), {"bad": "probation"})

    def test_a_record_whose_answer_was_lost_is_repeated_without_harm(self) -> None:
        self.log.answers_appends = False
        self.take(REPORT)
        self.spread()
        self.log.answers_appends = True
        self.spread()
        # Once when it was taken, once in vain, once answered.
        self.assertEqual(len(self.log.payloads), 3)
        expected = {"bad": "probation", "good": "probation"}
        self.assertEqual(self.standings(self.other), expected)

    def test_probation_is_permitted_once_until_it_finished(self) -> None:
        self.take(REPORT)
        ask = pb.ProbationRequest(fingerprint="bad", entry_id="e")
        first = decide_probation(self.desk, ask, 100.0)
        second = decide_probation(self.desk, ask, 101.0)
        self.assertEqual((first.permitted, second.permitted), (True, False))
        ask.finished = True
        decide_probation(self.desk, ask, 102.0)
        self.assertNotIn("bad", self.standings(self.desk))

    def test_a_refused_request_gets_no_permit(self) -> None:
        self.take(ALONE)
        self.desk.see("s", "two", 101.0)
        self.desk.confirm(101.0)
        ask = pb.ProbationRequest(fingerprint="bad", entry_id="e")
        reply = decide_probation(self.desk, ask, 102.0)
        self.assertTrue(reply.refused)
        self.assertFalse(reply.permitted)
