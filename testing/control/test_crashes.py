"""Tests of how crashes are confirmed and shared with all control daemons."""

import unittest

import anyio

from _pistachiopond.control.crashes import CrashRegistry, decide_probation
from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.schema.suspects import CrashReport
from _pistachiopond.transport.generated import pond_pb2 as pb
from testing.control.test_calls import FakeLog

REPORT = CrashReport("s/e/1", "s", ("bad", "good"), ())
PROBATION_REPORT = CrashReport("s/e/2", "s", ("bad",), ("bad",))


class CrashRegistryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.timer = VirtualTimer(100.0)
        self.log = FakeLog()
        self.registry = CrashRegistry(self.timer, self.log.access)
        self.other_registry = CrashRegistry(self.timer, self.log.access)
        self.registry.record_incarnation("s", "one", 90.0)

    def report_crash(self, report: CrashReport) -> None:
        anyio.run(self.registry.add_reports, (report,))

    def replicate(self) -> None:
        anyio.run(self.registry.flush)
        anyio.run(self.other_registry.read_records)

    def standings(self, registry: CrashRegistry) -> dict[str, str]:
        view = registry.suspects.view(self.timer.now_s())
        return {item.fingerprint: item.standing for item in view.suspects}

    def test_unconfirmed_crash_is_shared_with_other_daemons(self) -> None:
        self.report_crash(REPORT)
        self.replicate()
        expected = {"bad": "probation", "good": "probation"}
        self.assertEqual(self.standings(self.other_registry), expected)

    def test_new_incarnation_of_the_server_confirms_the_crash(self) -> None:
        self.report_crash(PROBATION_REPORT)
        self.registry.record_incarnation("s", "two", 101.0)
        self.registry.confirm(101.0)
        self.replicate()
        self.assertEqual(self.standings(self.other_registry), {"bad": "refused"})

    def test_request_is_not_refused_when_only_the_connection_failed(self) -> None:
        self.report_crash(PROBATION_REPORT)
        self.registry.record_incarnation("s", "one", 101.0)
        self.registry.confirm(101.0)
        self.replicate()
        self.assertEqual(self.standings(self.other_registry), {"bad": "probation"})

    def test_first_report_of_a_server_does_not_confirm_a_crash(self) -> None:
        self.report_crash(PROBATION_REPORT._replace(server="t"))
        self.registry.record_incarnation("t", "one", 101.0)
        self.registry.confirm(101.0)
        self.assertEqual(self.standings(self.registry), {"bad": "probation"})

    def test_append_with_lost_reply_is_retried_without_double_effect(self) -> None:
        self.log.answers_appends = False
        self.report_crash(REPORT)
        self.replicate()
        self.log.answers_appends = True
        self.replicate()
        # Appended on the report, on the failed retry and on the confirmed retry.
        self.assertEqual(len(self.log.payloads), 3)
        expected = {"bad": "probation", "good": "probation"}
        self.assertEqual(self.standings(self.other_registry), expected)

    def test_second_run_on_probation_is_not_permitted_before_the_first_ends(
        self,
    ) -> None:
        self.report_crash(REPORT)
        ask = pb.ProbationRequest(fingerprint="bad", entry_id="e")
        first = decide_probation(self.registry, ask, 100.0)
        second = decide_probation(self.registry, ask, 101.0)
        self.assertEqual((first.permitted, second.permitted), (True, False))
        ask.finished = True
        decide_probation(self.registry, ask, 102.0)
        self.assertNotIn("bad", self.standings(self.registry))

    def test_refused_request_is_not_permitted_on_probation(self) -> None:
        self.report_crash(PROBATION_REPORT)
        self.registry.record_incarnation("s", "two", 101.0)
        self.registry.confirm(101.0)
        ask = pb.ProbationRequest(fingerprint="bad", entry_id="e")
        reply = decide_probation(self.registry, ask, 102.0)
        self.assertTrue(reply.refused)
        self.assertFalse(reply.permitted)
