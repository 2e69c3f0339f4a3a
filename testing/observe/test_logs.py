"""Tests of the JSON log lines."""

import json
import logging
import unittest

from _pistachiopond.observe.logs import JsonFormatter


class JsonFormatterTests(unittest.TestCase):
    def test_a_line_contains_message_level_and_fields(self) -> None:
        record = logging.LogRecord(
            "absl", logging.INFO, __file__, 1, "control daemon changed", None, None
        )
        record.fields = {"address": "127.0.0.1:1", "æ": "ē"}
        line = json.loads(JsonFormatter().format(record))
        self.assertEqual(line["message"], "control daemon changed")
        self.assertEqual(line["address"], "127.0.0.1:1")
        self.assertEqual(line["æ"], "ē")
        self.assertEqual(line["level"], "info")
