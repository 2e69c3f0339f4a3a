"""Tests of the tree that distributes engine reports."""

import unittest

from _pistachiopond.decisions.engine_feed import (
    FANOUT,
    LOST_AFTER_S,
    FeedSink,
    FeedSource,
    newest_reports,
    upstream_of,
)
from _pistachiopond.decisions.memory import Report
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
        self.source = FeedSource()
        self.sink = FeedSink()

    def forward(self, reports: dict[str, Report], now_s: float) -> tuple[str, ...]:
        message = self.source.next_message(reports, now_s, LOST_AFTER_S)
        return tuple(fed.server for fed in self.sink.take(message, now_s))

    def test_a_report_arrives_with_its_age_and_without_orders(self) -> None:
        self.forward({"w": Report(make_state(0.0, "m"), 9.0)}, 10.0)
        fed = self.sink.reports()["w"]
        self.assertEqual(fed.asked_s, 9.0)
        self.assertEqual(fed.state, make_state(0.0, "m")._replace(orders=()))

    def test_an_unchanged_report_is_not_resent_but_its_age_is_updated(self) -> None:
        self.forward({"w": Report(make_state(), 9.0)}, 10.0)
        message = self.source.next_message(
            {"w": Report(make_state(100.0), 19.5)}, 20.0, LOST_AFTER_S
        )
        self.assertEqual(message.changed, ())
        self.sink.take(message, 20.0)
        self.assertEqual(self.sink.reports()["w"].asked_s, 19.5)

    def test_a_changed_report_is_sent_again(self) -> None:
        self.forward({"w": Report(make_state(), 9.0)}, 10.0)
        changes = (
            make_state(1000.0),
            make_state(1000.0, "m"),
            make_state(1000.0, "m", leaving=True),
        )
        for second, state in enumerate(changes, start=11):
            changed = self.forward({"w": Report(state, float(second))}, float(second))
            self.assertEqual(changed, ("w",))

    def test_a_lost_engines_report_is_not_refreshed(self) -> None:
        lost = Report(make_state(), 9.0)
        live = make_state()
        self.forward({"lost": lost, "live": Report(live, 9.5)}, 10.0)
        for now_s in (12.0, 14.0, 16.0):
            self.forward({"lost": lost, "live": Report(live, now_s)}, now_s)
        self.assertLessEqual(self.sink.reports()["lost"].asked_s, 9.0)
        self.assertEqual(self.sink.reports()["live"].asked_s, 16.0)

    def test_reports_in_a_loop_of_followers_are_not_refreshed(self) -> None:
        other_source, other_sink = FeedSource(), FeedSink()
        self.forward({"w": Report(make_state(), 10.0)}, 10.0)
        for step in range(1, 21):
            now_s = 10.0 + step
            onward = other_source.next_message(self.sink.reports(), now_s, 100.0)
            other_sink.take(onward, now_s)
            back = self.source.next_message(other_sink.reports(), now_s, 100.0)
            self.sink.take(back, now_s)
        self.assertLessEqual(self.sink.reports()["w"].asked_s, 10.001)

    def test_a_new_upstream_does_not_refresh_the_old_ones_reports(self) -> None:
        self.forward({"w": Report(make_state(), 9.0)}, 10.0)
        self.sink.begin()
        self.source = FeedSource()
        self.forward({"v": Report(make_state(), 29.0)}, 30.0)
        self.assertEqual(self.sink.reports()["w"].asked_s, 9.0)

    def test_the_newer_of_own_and_forwarded_report_is_used(self) -> None:
        own = {"w": Report(make_state(1.0), 5.0), "v": Report(make_state(), 9.0)}
        fed = {"w": Report(make_state(2.0), 6.0), "v": Report(make_state(), 8.0)}
        newest = newest_reports(own, fed)
        self.assertEqual(newest["w"].asked_s, 6.0)
        self.assertEqual(newest["v"].asked_s, 9.0)
