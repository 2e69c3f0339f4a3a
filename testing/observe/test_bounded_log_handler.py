"""Tests of the bounded, non-blocking log handler."""

import json
import logging
import os
import unittest
from unittest.mock import patch

from _pistachiopond.observe.bounded_log_handler import (
    MAX_LINES_PER_S,
    BoundedLogHandler,
)
from _pistachiopond.observe.logs import JsonFormatter


class _Stdout:
    def __init__(self, fd: int) -> None:
        self._fd = fd

    def fileno(self) -> int:
        return self._fd


class BoundedLogHandlerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.addCleanup(os.close, self.write_fd)
        self.handler = BoundedLogHandler()
        self.handler.setFormatter(JsonFormatter())

    def emit(self, message: str, created: float, **fields: object) -> None:
        record = logging.LogRecord("x", logging.INFO, "", 0, message, None, None)
        record.created = created
        record.fields = fields
        self.handler.emit(record)

    def test_lines_are_written_as_json(self) -> None:
        self.emit("server gone", 1.0, server="s1")
        with patch("sys.stdout", _Stdout(self.write_fd)):
            self.handler.flush_ready()
        line = json.loads(os.read(self.read_fd, 65_536))
        self.assertEqual((line["message"], line["server"]), ("server gone", "s1"))

    def read(self) -> dict[str, object]:
        with patch("sys.stdout", _Stdout(self.write_fd)):
            self.handler.flush_ready()
        plain = json.loads(os.read(self.read_fd, 65_536))
        assert isinstance(plain, dict)
        return plain

    def test_text_that_is_not_utf_8_raises_no_exception(self) -> None:
        # A service named by half of a surrogate pair ended the process.
        self.emit("server seen", 1.0, service="a\ud800")
        line = self.read()
        self.assertEqual(line["service"], "a\ud800")

    def test_fields_that_cannot_be_formatted_are_left_out(self) -> None:
        endless: list[object] = []
        endless.append(endless)
        for value in (endless, {(1, 2): 3}, 10**5000):
            self.emit("server seen", 1.0, value=value)
            line = self.read()
            self.assertEqual(line["message"], "server seen")
            self.assertIn("cannot be formatted", str(line["shortened"]))

    def test_long_lines_are_shortened(self) -> None:
        self.emit("server seen", 1.0, service="x" * 1_000_000)
        line = self.read()
        self.assertEqual(line["message"], "server seen")
        self.assertLess(len(str(line["beginning"])), 3_000)

    def test_lines_over_the_rate_of_one_message_are_dropped(self) -> None:
        for _ in range(MAX_LINES_PER_S + 25):
            self.emit("request refused", 5.0)
        self.assertEqual(self.handler.dropped, 25)
        self.emit("request refused", 6.0)
        self.assertEqual(self.handler.dropped, 25)

    def test_a_reader_that_stops_reading_does_not_block_the_process(self) -> None:
        for second in range(200):
            for number in range(MAX_LINES_PER_S):
                self.emit("m", float(second), number=number, pad="x" * 200)
            with patch("sys.stdout", _Stdout(self.write_fd)):
                self.handler.flush_ready()
        self.assertGreater(self.handler.dropped, 0)


if __name__ == "__main__":
    unittest.main()
