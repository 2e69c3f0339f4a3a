"""Reads the lines that VMs send each other, within bounds."""

import asyncio
from collections.abc import Callable
from typing import Final, Literal, final

from _pistachiopond.vm.clock import boot_s

# A VM sends a few lines for each request and for each change of the store.
MAX_LINES_PER_S: Final = 5_000
# The event loop runs other tasks after this many lines.
LINES_BEFORE_YIELD: Final = 50
# Of an error in a log line.
MAX_REASON_CHARACTERS: Final = 300

LineExcessKind = Literal["line", "lines", "no_report", "unread"]
ReportLineExcess = Callable[[LineExcessKind], None]


def ignore_line_excess(kind: LineExcessKind) -> None:
    """Ignore a bound that a VM's lines have exceeded; its connection is closed."""


class ExcessiveLinesError(ValueError):
    """A VM's lines have exceeded a bound.

    Attributes
    ----------
    kind : str
        ``line`` (too long), ``lines`` (too many), ``no_report`` (none in time) or
        ``unread`` (the VM does not read what it is sent).
    """

    def __init__(self, kind: LineExcessKind, detail: str) -> None:
        super().__init__(detail)
        self.kind: LineExcessKind = kind


@final
class LineReader:
    """Reads the lines of one connection."""

    def __init__(self, reader: asyncio.StreamReader, max_line_bytes: int) -> None:
        """Start with the first line.

        Parameters
        ----------
        reader : StreamReader
            The connection; its limit is `max_line_bytes`.
        max_line_bytes : int
            The maximum size of a line. Within one second, the lines may have twice as
            many bytes together.
        """
        self._reader = reader
        self._max_line_bytes = max_line_bytes
        self._since_s = float("-inf")
        self._lines = 0
        self._line_bytes = 0

    async def read(self) -> bytes:
        """Return the next line; empty at the end of the connection.

        Raises
        ------
        ExcessiveLinesError
            When the line is too long, or too many lines have come within a second.
        """
        if self._lines % LINES_BEFORE_YIELD == LINES_BEFORE_YIELD - 1:
            await asyncio.sleep(0)
        try:
            line = await self._reader.readuntil()
        except asyncio.IncompleteReadError as error:
            return error.partial
        except asyncio.LimitOverrunError:
            detail = f"a line of more than {self._max_line_bytes} bytes"
            raise ExcessiveLinesError("line", detail) from None
        self._count(len(line))
        return line

    def _count(self, size: int) -> None:
        now_s = boot_s()
        if now_s - self._since_s >= 1.0:
            self._since_s = now_s
            self._lines = self._line_bytes = 0
        self._lines += 1
        self._line_bytes += size
        if self._lines > MAX_LINES_PER_S:
            detail = f"more than {MAX_LINES_PER_S} lines within a second"
            raise ExcessiveLinesError("lines", detail)
        if self._line_bytes > 2 * self._max_line_bytes:
            detail = f"more than {2 * self._max_line_bytes} bytes within a second"
            raise ExcessiveLinesError("lines", detail)


def describe_error(error: BaseException) -> str:
    """Return the error for a log line, with a bounded length."""
    return f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS]
