"""Tests of weighted fair queueing and urgency classes."""

import unittest

from _pistachiopond.decisions.queueing import FairQueue, Target
from _pistachiopond.schema.manifest import Urgency

TARGET = Target("drafting", "mini", None)


def make_queue(
    weights: dict[str, float] | None = None, *, is_fair: bool = True
) -> FairQueue:
    known = weights or {}
    return FairQueue(
        lambda customer: known.get(customer, 1.0), is_fair=is_fair, has_classes=True
    )


def fill(
    queue: FairQueue,
    customer: str,
    count: int,
    urgency: Urgency = "normal",
    cost_tokens: float = 10_000.0,
) -> None:
    for number in range(count):
        name = f"{customer}-{urgency}-{number}"
        queue.push(name, TARGET, urgency, customer, cost_tokens)


def serve(queue: FairQueue, count: int) -> list[str]:
    served = []
    for _ in range(count):
        head = queue.head(TARGET)
        assert head is not None
        queue.take(head[1])
        served.append(head[1].customer)
    return served


class FairnessTests(unittest.TestCase):
    def test_one_customers_burst_does_not_delay_another(self) -> None:
        queue = make_queue()
        fill(queue, "flood", 50)
        serve(queue, 10)
        fill(queue, "calm", 1)
        self.assertIn("calm", serve(queue, 2))

    def test_tokens_are_shared_by_weight(self) -> None:
        queue = make_queue({"large": 3.0, "small": 1.0})
        fill(queue, "large", 100)
        fill(queue, "small", 100)
        served = serve(queue, 80)
        self.assertAlmostEqual(served.count("large"), 60, delta=1)

    def test_shares_are_in_tokens_and_not_in_requests(self) -> None:
        queue = make_queue()
        fill(queue, "long", 50, cost_tokens=40_000.0)
        fill(queue, "short", 100, cost_tokens=10_000.0)
        served = serve(queue, 50)
        self.assertAlmostEqual(served.count("short"), 40, delta=1)

    def test_the_actual_tokens_correct_the_estimate(self) -> None:
        queue = make_queue()
        fill(queue, "a", 20)
        fill(queue, "b", 20)
        serve(queue, 2)
        queue.charge("a", 100_000.0)
        self.assertEqual(serve(queue, 9), ["b"] * 9)

    def test_idle_time_accumulates_no_credit(self) -> None:
        queue = make_queue()
        fill(queue, "busy", 100)
        serve(queue, 50)
        fill(queue, "idle", 50)
        self.assertLessEqual(serve(queue, 20).count("idle"), 11)

    def test_within_the_slack_requests_are_served_in_order_of_arrival(self) -> None:
        queue = make_queue()
        fill(queue, "a", 2, cost_tokens=500.0)
        fill(queue, "b", 2, cost_tokens=500.0)
        self.assertEqual(serve(queue, 4), ["a", "a", "b", "b"])

    def test_finished_and_dropped_requests_leave_no_state(self) -> None:
        queue = make_queue()
        fill(queue, "a", 1)
        serve(queue, 1)
        queue.finish("a")
        fill(queue, "b", 1)
        queue.drop("b-normal-0")
        self.assertEqual((len(queue), queue.targets()), (0, []))


class ClassTests(unittest.TestCase):
    def test_urgent_requests_are_served_first(self) -> None:
        queue = make_queue()
        fill(queue, "a", 3, "batch")
        fill(queue, "b", 3, "normal")
        fill(queue, "c", 1, "urgent")
        self.assertEqual(serve(queue, 1), ["c"])

    def test_urgent_requests_do_not_starve_batch_requests(self) -> None:
        queue = make_queue()
        fill(queue, "night", 20, "batch")
        fill(queue, "day", 400, "urgent")
        served = serve(queue, 200)
        self.assertGreaterEqual(served.count("night"), 8)
        self.assertLessEqual(served.count("night"), 12)

    def test_examined_entries_grow_with_customers_and_not_with_requests(self) -> None:
        queue = make_queue()
        for customer in range(8):
            fill(queue, f"c{customer}", 100)
        before = queue.examined
        serve(queue, 10)
        self.assertLessEqual(queue.examined - before, 10 * 8)
