"""Log lines as JSON through absl.logging, one for each change of state.

Counters say how often something happens; a line says that something changed.
"""

import json
import logging
import sys
import time
from typing import Any

from absl import flags
from absl import logging as absl_logging


class JsonLines(logging.Formatter):
    """Writes each record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line: dict[str, Any] = {
            "time": _utc(record.created),
            "level": record.levelname.lower(),
            "message": record.getMessage(),
        }
        if isinstance(getattr(record, "fields", None), dict):
            line.update(record.fields)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=False, default=str)


def set_up_logs(level: int = absl_logging.INFO) -> None:
    """Send all log records of the process to standard error as JSON lines."""
    # The command line belongs to cyclopts; absl waits for its own flags otherwise.
    flags.FLAGS.mark_as_parsed()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonLines())
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
    handler.python_handler.stream = sys.stderr
    for noisy in ("httpx", "httpcore", "hypercorn.error", "hypercorn.access"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def log_change(message: str, **fields: Any) -> None:
    """Write one line about a change of state.

    Parameters
    ----------
    message : str
        What changed, the same text each time.
    **fields
        The particulars; never a key, never a request's content.
    """
    absl_logging.get_absl_logger().info(message, extra={"fields": fields})


def log_trouble(message: str, **fields: Any) -> None:
    """Write one line about a change for the worse."""
    absl_logging.get_absl_logger().warning(message, extra={"fields": fields})


def _utc(seconds: float) -> str:
    whole = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{whole}.{int(seconds % 1 * 1000):03d}Z"
