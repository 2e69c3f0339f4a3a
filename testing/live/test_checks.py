"""Tests that the live proofs' checks find each breach in made-up ledgers."""

import tempfile
import unittest
from pathlib import Path
from typing import Any

from _pistachiopond.schema.codec import to_json
from _pistachiopond.standin.ledger import MemoryEntry, RequestEntry
from testing.live.checks import make_row
from testing.live.load import Sent

KEY = "secret-key-of-one"


def make_entry(tag: str, **changes: Any) -> RequestEntry:
    entry = RequestEntry(
        request_id="r",
        incarnation="i",
        method="POST",
        path="/bookings/1",
        query="",
        model="",
        content_digest="d",
        tag=tag,
        idempotency_key=None,
        headers=(("host", "x"),),
        outcome="finished",
    )
    return entry._replace(**changes)


def make_sent(tag: str, **changes: Any) -> Sent:
    sent = Sent(tag, "one", "booking", "http://vm", 0.0, "whole", 200)
    return sent._replace(**changes)


class CheckTests(unittest.TestCase):
    def find_breaches(self, sent: list[Sent], *entries: Any) -> tuple[str, ...]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "server.ledger"
            path.write_text("".join(to_json(entry) + "\n" for entry in entries))
            return make_row("test", sent, Path(folder), (KEY,)).breaches

    def assert_one_breach(self, words: str, breaches: tuple[str, ...]) -> None:
        self.assertEqual(len(breaches), 1, breaches)
        self.assertIn(words, breaches[0])

    def test_a_true_account_has_no_breach(self) -> None:
        refused = make_sent("b", end="refused", verdict="not_run")
        unsure = make_sent("c", end="refused", verdict="may_have_run")
        ledger = (make_entry("a"), make_entry("c"))
        self.assertEqual(
            self.find_breaches([make_sent("a"), refused, unsure], *ledger), ()
        )

    def test_a_request_that_ran_was_told_that_it_had_not(self) -> None:
        sent = make_sent("a", end="refused", verdict="not_run")
        self.assert_one_breach(
            "told not_run", self.find_breaches([sent], make_entry("a"))
        )

    def test_a_request_that_did_not_run_was_told_that_it_had(self) -> None:
        sent = make_sent("a", end="refused", verdict="ran")
        self.assert_one_breach("told ran", self.find_breaches([sent]))

    def test_an_answer_came_from_nowhere(self) -> None:
        self.assert_one_breach("answered", self.find_breaches([make_sent("a")]))

    def test_a_booking_ran_twice(self) -> None:
        ledger = (make_entry("a"), make_entry("a", path="/bookings/2"))
        breaches = self.find_breaches([make_sent("a")], *ledger)
        self.assert_one_breach("not idempotent", breaches)

    def test_an_engine_execution_counts_once_from_start_to_end(self) -> None:
        started = make_entry("a", model="m", outcome="started")
        ended = started._replace(outcome="finished")
        self.assertEqual(self.find_breaches([make_sent("a")], started, ended), ())

    def test_an_answer_belonged_to_another_request(self) -> None:
        sent = make_sent("a", end="wrong")
        breaches = self.find_breaches([sent], make_entry("a"))
        self.assert_one_breach("not the answer", breaches)

    def test_a_key_reached_a_backend_server(self) -> None:
        entry = make_entry("a", headers=(("x-api-key", KEY),))
        breaches = self.find_breaches([make_sent("a")], entry)
        self.assert_one_breach("a key reached", breaches)

    def test_memory_was_overcommitted(self) -> None:
        breaches = self.find_breaches([], MemoryEntry("i", 11, 10, True))
        self.assert_one_breach("server:", breaches)
