"""Tests of the tree that distributes engine reports."""

import unittest

from _pistachiopond.decisions.engine_feed import (
    FANOUT,
    LOST_AFTER_S,
    FeedReceiver,
    FeedSender,
    newest_reports,
    upstream_of,
)
from _pistachiopond.decisions.memory import EngineReport
from _pistachiopond.schema.engine import EngineModel, EngineOrder, EngineState


def make_state(tokens: float = 0.0, *models: str, leaving: bool = False) -> EngineState:
    return EngineState(
        incarnation="first",
        leaving=leaving,
        checks_fencing=True,
        memory_mb=1000,
        models=tuple(EngineModel(name, "1", 10, "ready") for name in models),
        queued_tokens=tokens,
        orders=(EngineOrder(1, 1, "done"),),
    )


class TreeTests(unittest.TestCase):
    def test_every_daemon_is_at_most_three_levels_below_the_holder(self) -> None:
        members = [f"10.0.{i // 200}.{i % 200}:7000" for i in range(390)]
        holder = members[17]
        for member in members:
            steps = 0
            at: str | None = member
            while at is not None and at != holder:
                at = upstream_of(at, holder, members)
                steps += 1
            self.assertEqual(at, holder)
            self.assertLessEqual(steps, 3)

    def test_no_daemon_has_more_followers_than_the_fanout_limit(self) -> None:
        members = [f"10.0.{i // 200}.{i % 200}:7000" for i in range(390)]
        followers: dict[str | None, int] = {}
        for member in members:
            upstream = upstream_of(member, members[0], members)
            followers[upstream] = followers.get(upstream, 0) + 1
        del followers[None]
        self.assertLessEqual(max(followers.values()), FANOUT)

    def test_the_holder_has_no_upstream(self) -> None:
        self.assertIsNone(upstream_of("a", "a", ["a", "b"]))


class FeedTests(unittest.TestCase):
    def setUp(self) -> None:
        self.sender = FeedSender()
        self.receiver = FeedReceiver()

    def forward(
        self, reports: dict[str, EngineReport], now_s: float
    ) -> tuple[str, ...]:
        message = self.sender.next_message(reports, now_s, LOST_AFTER_S)
        return tuple(
            forwarded.server for forwarded in self.receiver.take_message(message, now_s)
        )

    def test_a_report_arrives_with_its_age_and_without_orders(self) -> None:
        self.forward({"w": EngineReport(make_state(0.0, "m"), 9.0)}, 10.0)
        forwarded = self.receiver.reports()["w"]
        self.assertEqual(forwarded.asked_s, 9.0)
        self.assertEqual(forwarded.state, make_state(0.0, "m")._replace(orders=()))

    def test_an_unchanged_report_is_not_resent_but_its_age_is_updated(self) -> None:
        self.forward({"w": EngineReport(make_state(), 9.0)}, 10.0)
        message = self.sender.next_message(
            {"w": EngineReport(make_state(100.0), 19.5)}, 20.0, LOST_AFTER_S
        )
        self.assertEqual(message.changed, ())
        self.receiver.take_message(message, 20.0)
        self.assertEqual(self.receiver.reports()["w"].asked_s, 19.5)

    def test_a_changed_report_is_sent_again(self) -> None:
        self.forward({"w": EngineReport(make_state(), 9.0)}, 10.0)
        changes = (
            make_state(1000.0),
            make_state(1000.0, "m"),
            make_state(1000.0, "m", leaving=True),
        )
        for second, state in enumerate(changes, start=11):
            changed = self.forward(
                {"w": EngineReport(state, float(second))}, float(second)
            )
            self.assertEqual(changed, ("w",))

    def test_a_lost_engines_report_is_not_refreshed(self) -> None:
        lost = EngineReport(make_state(), 9.0)
        live = make_state()
        self.forward({"lost": lost, "live": EngineReport(live, 9.5)}, 10.0)
        for now_s in (12.0, 14.0, 16.0):
            self.forward({"lost": lost, "live": EngineReport(live, now_s)}, now_s)
        self.assertLessEqual(self.receiver.reports()["lost"].asked_s, 9.0)
        self.assertEqual(self.receiver.reports()["live"].asked_s, 16.0)

    def test_reports_in_a_loop_of_followers_are_not_refreshed(self) -> None:
        other_sender, other_receiver = FeedSender(), FeedReceiver()
        self.forward({"w": EngineReport(make_state(), 10.0)}, 10.0)
        for step in range(1, 21):
            now_s = 10.0 + step
            onward = other_sender.next_message(self.receiver.reports(), now_s, 100.0)
            other_receiver.take_message(onward, now_s)
            back = self.sender.next_message(other_receiver.reports(), now_s, 100.0)
            self.receiver.take_message(back, now_s)
        self.assertLessEqual(self.receiver.reports()["w"].asked_s, 10.001)

    def test_a_new_upstream_does_not_refresh_the_old_ones_reports(self) -> None:
        self.forward({"w": EngineReport(make_state(), 9.0)}, 10.0)
        self.receiver.start_upstream()
        self.sender = FeedSender()
        self.forward({"v": EngineReport(make_state(), 29.0)}, 30.0)
        self.assertEqual(self.receiver.reports()["w"].asked_s, 9.0)

    def test_the_newer_of_own_and_forwarded_report_is_used(self) -> None:
        own = {
            "w": EngineReport(make_state(1.0), 5.0),
            "v": EngineReport(make_state(), 9.0),
        }
        forwarded = {
            "w": EngineReport(make_state(2.0), 6.0),
            "v": EngineReport(make_state(), 8.0),
        }
        newest = newest_reports(own, forwarded)
        self.assertEqual(newest["w"].asked_s, 6.0)
        self.assertEqual(newest["v"].asked_s, 9.0)
