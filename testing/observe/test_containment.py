"""Tests of what remains of an unexpected exception."""

import asyncio
import logging
import unittest
from typing import Any
from unittest.mock import patch

from absl import logging as absl_logging
from prometheus_client import CollectorRegistry, generate_latest

from _pistachiopond.observe import containment
from _pistachiopond.observe.containment import (
    UNEXPECTED_ERRORS,
    contain_callbacks,
    contained,
    keep_running,
    start_contained,
)
from testing.plugins.unexpected_errors import UnexpectedErrorsPlugin
from testing.unexpected_errors import expected_errors
from testing.virtual_time import VirtualTimeTestCase


class _Lines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


def fail() -> None:
    """Raise an exception that nothing expects."""
    raise OverflowError("cannot convert float infinity to integer")


class ContainmentTests(VirtualTimeTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines = _Lines()
        logger = absl_logging.get_absl_logger()
        logger.addHandler(self.lines)
        self.addCleanup(logger.removeHandler, self.lines)
        causes = patch.object(containment, "_known_causes", set())
        causes.start()
        self.addCleanup(causes.stop)

    def logged(self) -> list[logging.LogRecord]:
        return [r for r in self.lines.records if r.msg == "unexpected exception"]

    async def test_the_traceback_is_logged_once_for_a_cause_and_all_are_counted(
        self,
    ) -> None:
        registry = CollectorRegistry()
        registry.register(UNEXPECTED_ERRORS)
        before = registry.get_sample_value(
            "pond_unexpected_errors_total", {"kind": "record"}
        )
        with expected_errors() as errors:
            for number in range(3):
                with contained("record", key=f"s{number}"):
                    fail()
        self.assertEqual([kind for kind, _ in errors], ["record"] * 3)
        first, *later = self.logged()
        self.assertIsNotNone(first.exc_info)
        self.assertEqual([r.exc_info for r in later], [None, None])
        self.assertEqual([r.fields["key"] for r in self.logged()], ["s0", "s1", "s2"])
        after = registry.get_sample_value(
            "pond_unexpected_errors_total", {"kind": "record"}
        )
        self.assertEqual((after or 0.0) - (before or 0.0), 3.0)
        self.assertIn(b"pond_unexpected_errors", generate_latest(registry))

    async def test_a_task_that_fails_runs_again(self) -> None:
        runs = 0

        async def work() -> None:
            nonlocal runs
            runs += 1
            if runs < 3:
                fail()

        with expected_errors() as errors:
            await keep_running("work", work)
        self.assertEqual((runs, len(errors)), (3, 2))

    async def test_a_cancelled_task_does_not_run_again(self) -> None:
        task = asyncio.ensure_future(keep_running("work", asyncio.Event().wait))
        await asyncio.sleep(0.0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_a_task_that_nobody_waits_for_is_recorded(self) -> None:
        tasks: set[asyncio.Task[None]] = set()

        async def work() -> None:
            fail()

        with expected_errors() as errors:
            start_contained("work", work(), tasks)
            await asyncio.sleep(0.1)
        self.assertEqual((len(errors), tasks), (1, set()))
        self.assertEqual(self.logged()[0].fields["task"], "work")

    async def test_a_callback_that_fails_is_recorded(self) -> None:
        contain_callbacks()
        with expected_errors() as errors:
            asyncio.get_running_loop().call_soon(fail)
            await asyncio.sleep(0.1)
        self.assertEqual([kind for kind, _ in errors], ["callback"])


class PluginTests(unittest.TestCase):
    def test_a_contained_exception_fails_the_test(self) -> None:
        class Event:
            outcome = "passed"
            expected = True
            exc_info: Any = None

        event = Event()
        plugin = UnexpectedErrorsPlugin()
        with expected_errors():
            with contained("record"):
                fail()
            plugin.setTestOutcome(event)
        self.assertEqual((event.outcome, event.expected), ("failed", False))
        self.assertIn("OverflowError", str(event.exc_info[1]))


if __name__ == "__main__":
    unittest.main()
