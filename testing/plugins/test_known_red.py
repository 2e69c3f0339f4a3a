"""Tests of the counts in the summary line."""

import io
import unittest
from types import SimpleNamespace

from testing.plugins.known_red import KnownRedPlugin


def summary_line(*outcomes: tuple[str, bool | None, object]) -> str:
    plugin = KnownRedPlugin()
    for outcome, expected, exc_info in outcomes:
        event = SimpleNamespace(
            test=unittest.FunctionTestCase(print),
            outcome=outcome,
            expected=expected,
            exc_info=exc_info,
        )
        plugin.testOutcome(event)
    stream = io.StringIO()
    summary = SimpleNamespace(
        stream=SimpleNamespace(writeln=lambda text: stream.write(text))
    )
    plugin.afterSummaryReport(summary)
    return stream.getvalue()


class CountTests(unittest.TestCase):
    def test_passed_subtest_is_not_counted_separately(self) -> None:
        line = summary_line(("subtest", None, None), ("passed", True, None))
        self.assertEqual(line, "1 passed, 0 failed, 0 skipped")

    def test_failed_subtest_counts_as_failed(self) -> None:
        line = summary_line(("subtest", None, (ValueError,)))
        self.assertEqual(line, "0 passed, 1 failed, 0 skipped")

    def test_failures_and_skips_are_counted(self) -> None:
        line = summary_line(("failed", False, None), ("skipped", True, None))
        self.assertEqual(line, "0 passed, 1 failed, 1 skipped")
