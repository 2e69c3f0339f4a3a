"""A nose2 plugin that expects the tests listed in ``KNOWN-RED.txt`` to fail.

The file lists tests that fail because of a known fault. They still run, and each
failure is printed but counts as expected. If a listed test passes, the run fails, so
that the entry is removed once the fault is fixed.
"""

from pathlib import Path
from typing import Any, Final

from nose2.events import Plugin

KNOWN_RED_PATH: Final = Path(__file__).parents[2] / "KNOWN-RED.txt"
TEST_FIELD: Final = "test:"


def read_known_red(path: Path) -> frozenset[str]:
    """Return the test identifiers that the file lists.

    Parameters
    ----------
    path : Path
        A file with one entry per block; each block has a line ``test: ID``.

    Returns
    -------
    frozenset of str
        Empty if the file does not exist.
    """
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(TEST_FIELD).strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    )


class KnownRedPlugin(Plugin):
    """Turns the failure of a listed test into an expected failure."""

    configSection = "known-red"

    def __init__(self) -> None:
        self._listed = read_known_red(KNOWN_RED_PATH)
        self._passed = 0
        self._failed = 0
        self._skipped = 0
        self._known: list[str] = []

    def setTestOutcome(self, event: Any) -> None:
        """Replace the outcome of a listed test before it is reported."""
        if event.test.id() not in self._listed:
            return
        if event.outcome in ("failed", "error"):
            event.outcome = "expectedFailure"
            event.expected = True
        elif event.outcome == "passed":
            event.outcome = "unexpectedSuccess"
            event.expected = False

    def testOutcome(self, event: Any) -> None:
        """Count the outcome for the summary line."""
        if event.outcome == "subtest":
            # The test that contains the subtest is reported separately, so a passed
            # subtest is not counted.
            self._failed += int(event.exc_info is not None)
        elif event.test.id() in self._listed and event.expected:
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
