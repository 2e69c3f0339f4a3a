"""A nose2 plugin that expects the tests listed in ``KNOWN-RED.txt`` to fail.

The file lists tests that fail because of a known fault. They still run, and each
failure is printed but counts as expected. If a listed test passes, the run fails, so
that the entry is removed once the fault is fixed. A test that the entry calls flaky
fails at times only, so it may also pass.
"""

from pathlib import Path
from typing import Any, Final, NamedTuple

from nose2.events import Plugin

KNOWN_RED_PATH: Final = Path(__file__).parents[2] / "KNOWN-RED.txt"
TEST_FIELD: Final = "test:"
FLAKY_MARK: Final = "flaky,"


class KnownRed(NamedTuple):
    """The identifiers of listed tests.

    Attributes
    ----------
    always : frozenset of str
        Tests that fail each time.
    flaky : frozenset of str
        Tests that fail at times.
    """

    always: frozenset[str]
    flaky: frozenset[str]


def read_known_red(text: str) -> KnownRed:
    """Return the tests that a list names.

    Parameters
    ----------
    text : str
        One entry per block; each block has a line ``test: ID`` or ``test: flaky, ID``.
    """
    names = [
        line.removeprefix(TEST_FIELD).strip()
        for line in text.splitlines()
        if line.startswith(TEST_FIELD)
    ]
    flaky = [name for name in names if name.startswith(FLAKY_MARK)]
    return KnownRed(
        frozenset(names).difference(flaky),
        frozenset(name.removeprefix(FLAKY_MARK).strip() for name in flaky),
    )


class KnownRedPlugin(Plugin):
    """Turns the failure of a listed test into an expected failure."""

    configSection = "known-red"

    def __init__(self) -> None:
        text = ""
        if KNOWN_RED_PATH.exists():
            text = KNOWN_RED_PATH.read_text(encoding="utf-8")
        self._listed = read_known_red(text)
        self._passed = 0
        self._failed = 0
        self._skipped = 0
        self._known: list[str] = []

    def setTestOutcome(self, event: Any) -> None:
        """Replace the outcome of a listed test before it is reported."""
        is_subtest = event.outcome == "subtest"
        # A failed subtest is reported on its own, and its test not at all.
        name = event.test.test_case.id() if is_subtest else event.test.id()
        if name not in self._listed.always | self._listed.flaky:
            return
        has_failed_subtest = is_subtest and event.exc_info is not None
        if has_failed_subtest or event.outcome in ("failed", "error"):
            event.outcome = "expectedFailure"
            event.expected = True
        elif event.outcome == "passed" and name in self._listed.always:
            event.outcome = "unexpectedSuccess"
            event.expected = False

    def testOutcome(self, event: Any) -> None:
        """Count the outcome for the summary line."""
        if event.outcome == "subtest":
            # The test that contains the subtest is reported separately, so a passed
            # subtest is not counted.
            self._failed += int(event.exc_info is not None)
        elif event.outcome == "expectedFailure" and event.expected:
            self._known.append(event.test.id())
        elif event.outcome == "skipped":
            self._skipped += 1
        elif event.expected:
            self._passed += 1
        else:
            self._failed += 1

    def afterSummaryReport(self, event: Any) -> None:
        """Print the tests that failed as expected, and a summary line."""
        for name in sorted(self._known):
            event.stream.writeln(f"known red, passed over: {name}")
        event.stream.writeln(
            f"{self._passed} passed, {self._failed} failed, {self._skipped} skipped"
        )
