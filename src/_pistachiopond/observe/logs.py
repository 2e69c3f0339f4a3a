"""JSON log lines through absl.logging, one for each change of state.

Frequent events are counted as metrics instead of logged.
"""

import json
import logging
import sys
import time
from typing import Any

from absl import flags
from absl import logging as absl_logging


class JsonFormatter(logging.Formatter):
    """Formats each log record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line: dict[str, Any] = {
            "time": _format_utc(record.created),
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
    # The command line is parsed by cyclopts. Without this call, absl would wait for its
    # own flags to be parsed.
    flags.FLAGS.mark_as_parsed()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter())
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
    handler.python_handler.stream = sys.stderr
    for library in ("httpx", "httpcore", "hypercorn.error", "hypercorn.access"):
        logging.getLogger(library).setLevel(logging.WARNING)


def log_change(message: str, **fields: Any) -> None:
    """Write one line about a change of state.

    Parameters
    ----------
    message : str
        What changed; a constant text without variable parts.
    **fields
        The variable parts. Must never contain API keys or the content of requests.
    """
    absl_logging.get_absl_logger().info(message, extra={"fields": fields})


def log_warning(message: str, **fields: Any) -> None:
    """Write one line at the level of warnings; parameters as in `log_change`."""
    absl_logging.get_absl_logger().warning(message, extra={"fields": fields})


def log_error(message: str, error: BaseException | None, **fields: Any) -> None:
    """Write one line at the level of errors, with the error's traceback if given."""
    absl_logging.get_absl_logger().error(
        message, exc_info=error, extra={"fields": fields}
    )


def _format_utc(seconds: float) -> str:
    timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{timestamp}.{int(seconds % 1 * 1000):03d}Z"
