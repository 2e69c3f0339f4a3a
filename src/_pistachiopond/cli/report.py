"""Reports of ``pond`` commands: exit codes, data and printing."""

import sys
from enum import IntEnum
from typing import Any, NamedTuple, NoReturn, final

from _pistachiopond.schema.codec import to_json


@final
class ExitCode(IntEnum):
    """Exit codes of the ``pond`` commands.

    ``REFUSED``: nothing was changed. ``UNKNOWN``: the change may or may not have been
    made. ``NOT_EVERYWHERE``: the change was made, but at least one VM does not follow
    it yet or was not reached.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    NOT_EVERYWHERE = 4


class Report(NamedTuple):
    """The result of a command.

    Attributes
    ----------
    code : ExitCode
        The process's exit code.
    lines : tuple of str
        The report as text.
    data : Any
        The report as typed data, for ``--json``.
    """

    code: ExitCode
    lines: tuple[str, ...]
    data: Any


def print_and_exit(report: Report, *, as_json: bool) -> NoReturn:
    """Print a report and exit with its code."""
    stream = sys.stdout if report.code is ExitCode.DONE or as_json else sys.stderr
    text = to_json(report.data) if as_json else "\n".join(report.lines)
    print(text, file=stream)
    raise SystemExit(int(report.code))


class RefusalData(NamedTuple):
    """The errors for which a command was refused."""

    errors: tuple[str, ...]


def refused_report(errors: tuple[str, ...]) -> Report:
    """Return the report of a refused command, with one line for each error."""
    return Report(ExitCode.REFUSED, errors, RefusalData(errors))
