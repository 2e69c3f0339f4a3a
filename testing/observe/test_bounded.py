"""Tests of log lines that never block."""

import json
import logging
import os
import unittest
from unittest.mock import patch

from _pistachiopond.observe.bounded import MAX_LINES_PER_S, BoundedLines
from _pistachiopond.observe.logs import JsonLines


class _Stdout:
    def __init__(self, fd: int) -> None:
        self._fd = fd

    def fileno(self) -> int:
        return self._fd


class BoundedLinesTests(unittest.TestCase):
    def setUp(self) -> None:
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.addCleanup(os.close, self.write_fd)
        self.lines = BoundedLines()
        self.lines.setFormatter(JsonLines())

    def emit(self, message: str, created: float, **fields: object) -> None:
        record = logging.LogRecord("x", logging.INFO, "", 0, message, None, None)
        record.created = created
        record.fields = fields
        self.lines.emit(record)

    def test_lines_come_out_as_json(self) -> None:
        self.emit("server gone", 1.0, server="s1")
        with patch("sys.stdout", _Stdout(self.write_fd)):
            self.lines.flush_ready()
        line = json.loads(os.read(self.read_fd, 65_536))
        self.assertEqual((line["message"], line["server"]), ("server gone", "s1"))

    def test_one_message_cannot_fill_the_log(self) -> None:
        for _ in range(MAX_LINES_PER_S + 25):
            self.emit("request refused", 5.0)
        self.assertEqual(self.lines.dropped, 25)
        self.emit("request refused", 6.0)
        self.assertEqual(self.lines.dropped, 25)

    def test_a_reader_that_does_not_read_blocks_nothing(self) -> None:
        for second in range(200):
            for number in range(MAX_LINES_PER_S):
                self.emit("m", float(second), number=number, pad="x" * 200)
            with patch("sys.stdout", _Stdout(self.write_fd)):
                self.lines.flush_ready()
        self.assertGreater(self.lines.dropped, 0)


if __name__ == "__main__":
    unittest.main()
