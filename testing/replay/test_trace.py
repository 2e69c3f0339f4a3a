"""Tests of reading and writing traces."""

import tempfile
import unittest
from pathlib import Path

from _pistachiopond.replay.generate import generate_trace
from _pistachiopond.replay.trace import Trace, read_trace, write_trace


class TraceTests(unittest.TestCase):
    def test_a_written_trace_reads_back_equal(self) -> None:
        trace = generate_trace("kereru", 5.0, seed=3)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            write_trace(trace, path)
            self.assertEqual(read_trace(path).unwrap(), trace)

    def test_errors_name_the_malformed_line(self) -> None:
        trace = generate_trace("kereru", 5.0, seed=3)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            write_trace(trace, path)
            lines = path.read_text(encoding="utf-8").splitlines()
            lines[3] = lines[3].replace('"arrival_s"', '"arrived"')
            path.write_text("\n".join(lines), encoding="utf-8")
            self.assertIn("line 4", read_trace(path).unwrap_err())
            path.write_text("", encoding="utf-8")
            self.assertIn("line 1", read_trace(path).unwrap_err())

    def test_generated_traces_are_synthetic_and_depend_on_the_seed(self) -> None:
        trace = generate_trace("fjordmegling", 5.0, seed=1)
        self.assertTrue(trace.header.is_synthetic)
        self.assertEqual(trace, generate_trace("fjordmegling", 5.0, seed=1))
        self.assertNotEqual(trace, generate_trace("fjordmegling", 5.0, seed=2))

    def test_a_heavy_customer_does_not_change_the_other_requests(self) -> None:
        def others(trace: Trace) -> list[object]:
            return [r for r in trace.records if r.customer != "customer-2"]

        calm = generate_trace("fjordmegling", 30.0, seed=1)
        heavy = generate_trace("fjordmegling", 30.0, seed=1, heavy=True)
        self.assertEqual(others(calm), others(heavy))
        self.assertGreater(len(heavy.records), len(calm.records))
