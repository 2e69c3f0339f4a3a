"""Log lines to standard output that never block and never grow without bound."""

import errno
import logging
import os
import select
import sys
from collections import deque
from typing import Final, final

from absl import flags
from absl import logging as absl_logging

from _pistachiopond.observe.logs import JsonLines

# Lines that wait for the reader of standard output; more are dropped and counted.
MAX_WAITING_LINES: Final = 2_000
# Lines a second that one message may take; the rest is dropped and counted.
MAX_LINES_PER_S: Final = 40
FLUSH_BYTES: Final = 32 * 1024


@final
class BoundedLines(logging.Handler):
    """Keeps formatted lines until `flush_ready` can write them at once."""

    def __init__(self) -> None:
        super().__init__()
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._second = 0
        self._counts: dict[str, int] = {}
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one line, or count it as dropped."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._counts.clear()
        seen = self._counts.get(str(record.msg), 0) + 1
        self._counts[str(record.msg)] = seen
        if seen > MAX_LINES_PER_S or len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    def flush_ready(self) -> None:
        """Write as much as standard output takes without waiting."""
        fd = sys.stdout.fileno()
        while self._lines or self._rest:
            if not select.select([], [fd], [], 0)[1]:
                return
            # A pipe that is writable takes this much without blocking.
            data = self._rest or self._take()
            try:
                written = os.write(fd, data[: select.PIPE_BUF])
            except BlockingIOError:
                self._rest = data
                return
            except OSError as error:
                if error.errno != errno.EPIPE:
                    raise
                self._lines.clear()
                self._rest = b""
                return
            self._rest = data[written:]

    def _take(self) -> bytes:
        taken: list[bytes] = []
        size = 0
        while self._lines and size < FLUSH_BYTES:
            line = self._lines.popleft()
            taken.append(line)
            size += len(line)
        return b"".join(taken)


def set_up_bounded_logs() -> BoundedLines:
    """Send the process's log records to a bounded buffer, and return it."""
    flags.FLAGS.mark_as_parsed()
    lines = BoundedLines()
    lines.setFormatter(JsonLines())
    logger = absl_logging.get_absl_logger()
    logger.propagate = False
    for handler in list(logger.handlers):
        logger.removeHandler(handler)
    logger.addHandler(lines)
    absl_logging.set_verbosity(absl_logging.INFO)
    return lines
