"""A log handler for standard output that never blocks and has bounded memory."""

import errno
import json
import logging
import os
import select
import sys
from collections import deque
from typing import Final, final

from absl import flags
from absl import logging as absl_logging

from _pistachiopond.observe.logs import JsonFormatter

# Lines buffered while standard output is not writable; more are dropped and counted.
MAX_WAITING_LINES: Final = 2_000
# Lines per second with the same message; more are dropped and counted.
MAX_LINES_PER_S: Final = 40
FLUSH_BYTES: Final = 32 * 1024
# Of a longer line, the beginning is kept as text.
MAX_LINE_BYTES: Final = 16 * 1024
KEPT_CHARACTERS: Final = 2_000


@final
class BoundedLogHandler(logging.Handler):
    """Buffers formatted lines until `flush_ready` can write them without blocking."""

    def __init__(self) -> None:
        super().__init__()
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._current_second = 0
        self._counts: dict[str, int] = {}
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or count it as dropped."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second = second
            self._counts.clear()
        seen = self._counts.get(str(record.msg), 0) + 1
        self._counts[str(record.msg)] = seen
        if seen > MAX_LINES_PER_S or len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        self._lines.append(self._encode(record) + b"\n")

    def _encode(self, record: logging.LogRecord) -> bytes:
        """Return the line; whatever its fields hold, this raises no exception."""
        try:
            text = self.format(record)
        except Exception as error:
            reason = f"the line cannot be formatted: {type(error).__name__}"
            return _encode_replacement(record, reason, "")
        # Text from outside may contain half of a surrogate pair, which UTF-8 has not.
        line = text.encode("utf-8", "backslashreplace")
        if len(line) > MAX_LINE_BYTES:
            reason = f"the line has {len(line)} bytes"
            return _encode_replacement(record, reason, text[:KEPT_CHARACTERS])
        return line

    def flush_ready(self) -> None:
        """Write as much as standard output accepts without blocking."""
        fd = sys.stdout.fileno()
        while self._lines or self._unwritten:
            if not select.select([], [fd], [], 0)[1]:
                return
            # A pipe reported as writable accepts PIPE_BUF bytes without blocking.
            data = self._unwritten or self._take_lines()
            try:
                written = os.write(fd, data[: select.PIPE_BUF])
            except BlockingIOError:
                self._unwritten = data
                return
            except OSError as error:
                if error.errno != errno.EPIPE:
                    raise
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = data[written:]

    def _take_lines(self) -> bytes:
        taken: list[bytes] = []
        size = 0
        while self._lines and size < FLUSH_BYTES:
            line = self._lines.popleft()
            taken.append(line)
            size += len(line)
        return b"".join(taken)


def _encode_replacement(record: logging.LogRecord, reason: str, text: str) -> bytes:
    line = {
        "level": record.levelname.lower(),
        "message": str(record.msg)[:KEPT_CHARACTERS],
        "shortened": reason,
        "beginning": text,
    }
    return json.dumps(line).encode()


def set_up_bounded_logs() -> BoundedLogHandler:
    """Send the process's log records to a new bounded handler, and return it."""
    flags.FLAGS.mark_as_parsed()
    bounded_handler = BoundedLogHandler()
    bounded_handler.setFormatter(JsonFormatter())
    logger = absl_logging.get_absl_logger()
    logger.propagate = False
    for handler in list(logger.handlers):
        logger.removeHandler(handler)
    logger.addHandler(bounded_handler)
    absl_logging.set_verbosity(absl_logging.INFO)
    return bounded_handler
