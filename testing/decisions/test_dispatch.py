"""Tests of the dispatcher."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.decisions.dispatch_types import (
    AttemptFinished,
    CallerLeft,
    CancelAttempt,
    FirstToken,
    Progress,
    ReportCrash,
    StopDispatching,
    SuspectsReceived,
    Tick,
    ViewReceived,
)
from _pistachiopond.decisions.load import INITIAL_WINDOW
from _pistachiopond.schema.routing import ResidentModel, RoutingView
from _pistachiopond.schema.suspects import Suspect, SuspectView
from _pistachiopond.schema.verdict import Verdict
from testing.decisions.dispatch_fixtures import (
    arrive,
    failure,
    make_facts,
    make_ready_dispatcher,
    make_server,
    refusals,
    starts,
)

FULL = int(INITIAL_WINDOW)


class ResidencyTests(unittest.TestCase):
    def test_only_a_serving_server_with_the_loaded_model_gets_requests(self) -> None:
        draining = ResidentModel("mini", "1", (), "draining")
        dispatcher = make_ready_dispatcher(
            [
                make_server("leaving", availability="draining"),
                make_server("gone", availability="gone"),
                make_server("unloading", residents=(draining,)),
                make_server("other", service="booking"),
                make_server("right"),
            ]
        )
        used = {
            start.server
            for number in range(FULL)
            for start in starts(arrive(dispatcher, make_facts(str(number)), 1.0))
        }
        self.assertEqual(used, {"right"})

    def test_a_server_without_the_adapter_gets_no_requests_for_it(self) -> None:
        bare = ResidentModel("mini", "1", (), "ready")
        dispatcher = make_ready_dispatcher(
            [make_server("bare", residents=(bare,)), make_server("full")]
        )
        facts = make_facts("a", adapter="nynorsk")
        self.assertEqual(starts(arrive(dispatcher, facts, 1.0))[0].server, "full")

    def test_draining_and_removed_servers_get_no_new_requests(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a"), make_server("b")])
        view = RoutingView(2, (make_server("a", availability="draining"),))
        dispatcher.handle(ViewReceived(view), 1.0)
        self.assertEqual(arrive(dispatcher, make_facts("1"), 1.0), [])

    def test_a_request_without_a_server_waits_and_is_then_refused_as_not_run(
        self,
    ) -> None:
        dispatcher = make_ready_dispatcher([], hold_s=10.0)
        self.assertEqual(arrive(dispatcher, make_facts("1"), 0.0), [])
        self.assertEqual(dispatcher.handle(Tick(), 1.0), [])
        self.assertEqual(dispatcher.handle(Tick(), 10.9), [])
        refusal = refusals(dispatcher.handle(Tick(), 11.0))[0].failure
        self.assertEqual((refusal.verdict, refusal.http_status), (Verdict.NOT_RUN, 503))
        self.assertIsNotNone(refusal.retry_after_s)

    def test_a_waiting_request_starts_when_a_replica_appears(self) -> None:
        dispatcher = make_ready_dispatcher([])
        arrive(dispatcher, make_facts("1"), 0.0)
        view = RoutingView(2, (make_server("a"),))
        actions = dispatcher.handle(ViewReceived(view), 5.0)
        self.assertEqual(starts(actions)[0].server, "a")


class RetryTests(unittest.TestCase):
    def test_an_attempt_that_did_not_run_is_retried_on_another_server(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a"), make_server("b")])
        first = starts(arrive(dispatcher, make_facts("1", idempotent=False), 0.0))[0]
        again = dispatcher.handle(failure(first, Verdict.NOT_RUN, "connect"), 0.1)
        self.assertEqual(starts(again)[0].attempt, 2)
        self.assertNotEqual(starts(again)[0].server, first.server)

    def test_a_non_idempotent_request_that_may_have_run_is_not_retried(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a"), make_server("b")])
        first = starts(arrive(dispatcher, make_facts("1", idempotent=False), 0.0))[0]
        event = failure(first, Verdict.MAY_HAVE_RUN, "timeout")
        actions = dispatcher.handle(event, 0.1)
        self.assertEqual(starts(actions), [])
        verdict = refusals(actions)[0].failure.verdict
        self.assertIs(verdict, Verdict.MAY_HAVE_RUN)

    def test_the_final_verdict_combines_all_attempts(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a"), make_server("b")])
        start = starts(arrive(dispatcher, make_facts("1"), 0.0))[0]
        event = failure(start, Verdict.MAY_HAVE_RUN, "timeout")
        now_s = 0.1
        actions = dispatcher.handle(event, now_s)
        while not refusals(actions):
            now_s += 2.0
            for start in starts(actions):
                event = failure(start, Verdict.NOT_RUN, "refused")
                actions = dispatcher.handle(event, now_s)
                break
            else:
                actions = dispatcher.handle(Tick(), now_s)
        self.assertIs(refusals(actions)[0].failure.verdict, Verdict.MAY_HAVE_RUN)

    def test_no_retry_after_output_began(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a"), make_server("b")])
        first = starts(arrive(dispatcher, make_facts("1"), 0.0))[0]
        event = failure(first, Verdict.RAN, "reset", output_began=True)
        self.assertEqual(starts(dispatcher.handle(event, 0.1)), [])

    def test_retries_do_not_amplify_the_load_on_failing_servers(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a"), make_server("b")])
        attempts = 0
        for number in range(400):
            now_s = number * 0.1
            facts = make_facts(str(number), customer=f"c{number % 40}")
            actions = arrive(dispatcher, facts, now_s)
            actions += dispatcher.handle(Tick(), now_s)
            while pending := starts(actions):
                attempts += len(pending)
                actions = []
                for start in pending:
                    event = failure(start, Verdict.MAY_HAVE_RUN, "server_error")
                    actions += dispatcher.handle(event, now_s)
        self.assertLess(attempts, 400 * 1.1 + 30 + 1)


class StaleEventTests(unittest.TestCase):
    def test_events_of_ended_attempts_are_ignored(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a"), make_server("b")])
        first = starts(arrive(dispatcher, make_facts("1", idempotent=False), 0.0))[0]
        again = dispatcher.handle(failure(first, Verdict.NOT_RUN, "connect"), 0.1)
        second = starts(again)[0]
        for event in (
            FirstToken("1", 1),
            Progress("1", 1, 10),
            failure(first, Verdict.RAN, "reset"),
            AttemptFinished("1", 1),
        ):
            self.assertEqual(dispatcher.handle(event, 0.2), [])
        event = failure(second, Verdict.MAY_HAVE_RUN, "timeout")
        refusal = refusals(dispatcher.handle(event, 0.3))[0].failure
        self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(dispatcher.handle(AttemptFinished("1", 2), 0.4), [])
        self.assertEqual(dispatcher.handle(CallerLeft("1"), 0.5), [])

    def test_a_caller_that_disconnects_frees_its_slot(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a")])
        for number in range(FULL + 1):
            arrive(dispatcher, make_facts(str(number)), 0.0)
        actions = dispatcher.handle(CallerLeft("0"), 0.1)
        self.assertEqual(actions[0], CancelAttempt("0", 1))
        self.assertEqual(starts(actions)[0].request_id, str(FULL))

    def test_shutdown_refuses_queued_and_new_requests_only(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a")])
        for number in range(FULL + 2):
            arrive(dispatcher, make_facts(str(number)), 0.0)
        actions = dispatcher.handle(StopDispatching(), 0.1)
        self.assertEqual(
            [refusal.request_id for refusal in refusals(actions)],
            [str(FULL), str(FULL + 1)],
        )
        late = refusals(arrive(dispatcher, make_facts("late"), 0.2))
        self.assertIs(late[0].failure.verdict, Verdict.NOT_RUN)


class FullQueueTests(unittest.TestCase):
    def test_a_customer_that_fills_the_queue_does_not_block_others(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a")], max_waiting=10)
        for number in range(FULL + 10):
            arrive(dispatcher, make_facts(str(number), customer="flood"), 0.0)
        actions = arrive(dispatcher, make_facts("calm", customer="calm"), 0.1)
        self.assertEqual(
            [refusal.request_id for refusal in refusals(actions)], [str(FULL + 9)]
        )
        actions = arrive(dispatcher, make_facts("more", customer="flood"), 0.2)
        refusal = refusals(actions)[0]
        self.assertEqual(refusal.request_id, "more")
        self.assertIs(refusal.failure.verdict, Verdict.NOT_RUN)
        self.assertEqual(len(dispatcher.queue), 10)


class SuspectTests(unittest.TestCase):
    def test_suspects_run_one_per_server_and_a_second_crash_refuses(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("a")])
        first = starts(arrive(dispatcher, make_facts("bad"), 0.0))[0]
        arrive(dispatcher, make_facts("good"), 0.0)
        event = failure(first, Verdict.MAY_HAVE_RUN, "reset")
        actions = dispatcher.handle(event, 0.1)
        reports = [a.report for a in actions if isinstance(a, ReportCrash)]
        self.assertEqual(set(reports[0].fingerprints), {"print-bad", "print-good"})
        again = starts(actions)
        self.assertEqual([start.request_id for start in again], ["bad"])
        good = starts(
            dispatcher.handle(
                failure(
                    first._replace(request_id="good"), Verdict.MAY_HAVE_RUN, "reset"
                ),
                0.1,
            )
        )
        self.assertEqual(good, [], "two suspects ran on one server")
        event = failure(again[0], Verdict.MAY_HAVE_RUN, "reset")
        actions = dispatcher.handle(event, 5.0)
        self.assertEqual(refusals(actions)[0].failure.code, "crashing_request")
        copy = make_facts("copy", fingerprint="print-bad")
        refusal = refusals(arrive(dispatcher, copy, 5.1))[0].failure
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)

    def test_the_fleet_list_of_suspects_applies_to_queued_requests(self) -> None:
        dispatcher = make_ready_dispatcher([])
        for name in ("x", "y"):
            arrive(dispatcher, make_facts(name), 0.0)
        suspects = SuspectView(
            (
                Suspect("print-x", "refused", 60.0),
                Suspect("print-y", "probation", 60.0),
            )
        )
        actions = dispatcher.handle(SuspectsReceived(suspects), 0.1)
        self.assertEqual([r.request_id for r in refusals(actions)], ["x"])
        self.assertTrue(dispatcher.queue.targets()[0].is_suspect)


class InvariantTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.integers(0, 9999), max_size=80))
    def test_each_request_ends_once_and_leaves_no_state(self, draws: list[int]) -> None:
        """Each request ends once in any order of outcomes, and frees its slot."""
        dispatcher = make_ready_dispatcher([make_server("a"), make_server("b")])
        running = {}
        ended: list[str] = []
        now_s = 0.0
        for number, draw in enumerate(draws):
            now_s += 0.05
            facts = make_facts(str(number), customer=f"c{draw % 3}")
            actions = arrive(dispatcher, facts, now_s)
            actions += dispatcher.handle(Tick(), now_s)
            while running and draw:
                draw //= 4
                key = sorted(running)[draw % len(running)]
                start = running.pop(key)
                if draw % 3 == 0:
                    event = failure(start, Verdict.NOT_RUN, "refused")
                else:
                    event = AttemptFinished(start.request_id, start.attempt)
                    ended.append(key)
                actions += dispatcher.handle(event, now_s)
            running |= {s.request_id: s for s in starts(actions)}
            ended += [refusal.request_id for refusal in refusals(actions)]
        while running:
            now_s += 1.0
            actions = []
            for start in list(running.values()):
                actions += dispatcher.handle(
                    AttemptFinished(start.request_id, start.attempt), now_s
                )
                ended.append(start.request_id)
            actions += dispatcher.handle(Tick(), now_s)
            ended += [refusal.request_id for refusal in refusals(actions)]
            running = {s.request_id: s for s in starts(actions)}
        now_s += 1000.0
        ended += [r.request_id for r in refusals(dispatcher.handle(Tick(), now_s))]
        self.assertEqual(sorted(ended), sorted(str(n) for n in range(len(draws))))
        self.assertEqual(len(dispatcher.queue), 0)
        for server in ("a", "b"):
            self.assertEqual(dispatcher.servers.load(server).in_flight, 0)


if __name__ == "__main__":
    unittest.main()


class AllServersEjectedTests(unittest.TestCase):
    def test_a_request_is_tried_on_the_only_server_though_ejected(self) -> None:
        dispatcher = make_ready_dispatcher([make_server("only")])
        for _ in range(20):
            dispatcher.servers.ejector.failed("only", "connect", 1.0)
        self.assertTrue(dispatcher.servers.ejector.is_ejected("only", 1.0))
        self.assertEqual(len(starts(arrive(dispatcher, make_facts("new"), 1.0))), 1)

    def test_an_ejected_server_is_not_used_while_others_serve(self) -> None:
        servers = [make_server(name) for name in ("a", "b", "c")]
        dispatcher = make_ready_dispatcher(servers)
        for _ in range(20):
            dispatcher.servers.ejector.failed("a", "connect", 1.0)
        self.assertTrue(dispatcher.servers.ejector.is_ejected("a", 1.0))
        chosen = {
            start.server
            for number in range(100, 110)
            for start in starts(arrive(dispatcher, make_facts(f"r{number}"), 1.1))
        }
        self.assertNotIn("a", chosen)
