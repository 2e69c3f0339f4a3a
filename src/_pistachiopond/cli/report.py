"""What a command of ``pond`` found, its exit code, and how it is printed."""

import sys
from enum import IntEnum
from typing import Any, NamedTuple, NoReturn, final

from _pistachiopond.schema.codec import to_json


@final
class ExitCode(IntEnum):
    """What scripts can tell from a command's end.

    ``REFUSED``: nothing has changed. ``UNKNOWN``: it can't be told whether the
    change was made. ``NOT_EVERYWHERE``: it was made, but at least one VM does not
    follow it yet, or was not reached.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    NOT_EVERYWHERE = 4


class Report(NamedTuple):
    """The end of a command.

    Attributes
    ----------
    code : ExitCode
        The process's exit code.
    lines : tuple of str
        For people.
    data : Any
        Typed data for ``--json``.
    """

    code: ExitCode
    lines: tuple[str, ...]
    data: Any


def finish(report: Report, *, as_json: bool) -> NoReturn:
    """Print a report and end the process with its code."""
    stream = sys.stdout if report.code is ExitCode.DONE or as_json else sys.stderr
    text = to_json(report.data) if as_json else "\n".join(report.lines)
    print(text, file=stream)
    raise SystemExit(int(report.code))


class Fault(NamedTuple):
    """Why a command did nothing."""

    errors: tuple[str, ...]


def refused(errors: tuple[str, ...]) -> Report:
    """Return a report that nothing was changed, with one line for each fault."""
    return Report(ExitCode.REFUSED, errors, Fault(errors))
