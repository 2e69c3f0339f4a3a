"""A nose2 plugin that fails a test in which an unexpected exception was contained.

Containment keeps a process running; without this plugin it would hide faults from the
tests as well.
"""

from typing import Any

from nose2.events import Plugin

from testing.unexpected_errors import contained_errors


class UnexpectedErrorsPlugin(Plugin):
    """Turns the success of a test that contained an exception into a failure."""

    configSection = "unexpected-errors"

    def startTest(self, event: Any) -> None:
        """Forget what earlier tests have left."""
        contained_errors.clear()

    def setTestOutcome(self, event: Any) -> None:
        """Replace the outcome before it is reported."""
        if not contained_errors or event.outcome != "passed":
            return
        kind, error = contained_errors[0]
        problem = AssertionError(f"unexpected exception in a {kind}: {error!r}")
        problem.__cause__ = error
        event.outcome = "failed"
        event.expected = False
        event.exc_info = (AssertionError, problem, error.__traceback__)
