"""Tests that the checks of the live scenarios detect each breach in a ledger."""

import tempfile
import unittest
from pathlib import Path
from typing import Any

from _pistachiopond.schema.codec import to_json
from _pistachiopond.standin.ledger import MemoryEntry, RequestEntry
from testing.live.checks import make_row
from testing.live.load import RequestResult

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


def make_result(tag: str, **changes: Any) -> RequestResult:
    result = RequestResult(tag, "one", "booking", "http://vm", 0.0, "whole", 200)
    return result._replace(**changes)


class CheckTests(unittest.TestCase):
    def find_breaches(
        self, results: list[RequestResult], *entries: Any
    ) -> tuple[str, ...]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "server.ledger"
            path.write_text("".join(to_json(entry) + "\n" for entry in entries))
            return make_row("test", results, Path(folder), (KEY,)).breaches

    def assert_one_breach(self, words: str, breaches: tuple[str, ...]) -> None:
        self.assertEqual(len(breaches), 1, breaches)
        self.assertIn(words, breaches[0])

    def test_consistent_results_have_no_breach(self) -> None:
        refused = make_result("b", end="refused", verdict="not_run")
        unsure = make_result("c", end="refused", verdict="may_have_run")
        ledger = (make_entry("a"), make_entry("c"))
        self.assertEqual(
            self.find_breaches([make_result("a"), refused, unsure], *ledger), ()
        )

    def test_verdict_not_run_for_a_request_that_ran(self) -> None:
        result = make_result("a", end="refused", verdict="not_run")
        self.assert_one_breach(
            "reported as not_run", self.find_breaches([result], make_entry("a"))
        )

    def test_verdict_ran_for_a_request_that_did_not_run(self) -> None:
        result = make_result("a", end="refused", verdict="ran")
        self.assert_one_breach("reported as ran", self.find_breaches([result]))

    def test_complete_response_to_a_request_that_did_not_run(self) -> None:
        self.assert_one_breach("answered", self.find_breaches([make_result("a")]))

    def test_non_idempotent_request_ran_twice(self) -> None:
        ledger = (make_entry("a"), make_entry("a", path="/bookings/2"))
        breaches = self.find_breaches([make_result("a")], *ledger)
        self.assert_one_breach("not idempotent", breaches)

    def test_start_and_end_of_an_engine_execution_count_once(self) -> None:
        started = make_entry("a", model="m", outcome="started")
        ended = started._replace(outcome="finished")
        self.assertEqual(self.find_breaches([make_result("a")], started, ended), ())

    def test_response_did_not_match_the_request(self) -> None:
        result = make_result("a", end="wrong")
        breaches = self.find_breaches([result], make_entry("a"))
        self.assert_one_breach("response does not match the request", breaches)

    def test_api_key_was_forwarded_to_a_backend_server(self) -> None:
        entry = make_entry("a", headers=(("x-api-key", KEY),))
        breaches = self.find_breaches([make_result("a")], entry)
        self.assert_one_breach("API key found in a ledger", breaches)

    def test_backend_server_memory_was_overcommitted(self) -> None:
        breaches = self.find_breaches([], MemoryEntry("i", 11, 10, True))
        self.assert_one_breach("server:", breaches)
