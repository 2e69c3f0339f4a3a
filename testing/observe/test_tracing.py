"""Tests of spans and W3C trace context."""

import json
import tempfile
import unittest
from pathlib import Path

from _pistachiopond.observe.tracing import (
    context_from,
    headers_for,
    make_provider,
    start_span,
)
from _pistachiopond.schema.settings import Observability


class TracingTests(unittest.TestCase):
    def test_spans_continue_the_callers_trace(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "spans.jsonl")
            provider = make_provider("pond-x", Observability(trace_file_path=path))
            tracer = provider.get_tracer("test")
            caller = f"00-{'a' * 32}-{'b' * 16}-01"
            context = context_from({"traceparent": caller})
            outer = tracer.start_span("entry", context=context)
            inner = start_span(tracer, "attempt", outer, {"server": "s"})
            sent_on = headers_for(inner)["traceparent"]
            inner.end()
            outer.end()
            provider.shutdown()
            lines = Path(path).read_text(encoding="utf-8").splitlines()
        spans = {span["name"]: span for span in map(json.loads, lines)}
        self.assertEqual(spans["entry"]["trace_id"], "a" * 32)
        self.assertEqual(spans["entry"]["parent_id"], "b" * 16)
        self.assertEqual(spans["attempt"]["parent_id"], spans["entry"]["span_id"])
        self.assertEqual(spans["attempt"]["attributes"], {"server": "s"})
        self.assertIn(spans["attempt"]["span_id"], sent_on)

    def test_a_malformed_trace_context_is_ignored(self) -> None:
        provider = make_provider("pond-x", Observability())
        context = context_from({"traceparent": "garbage"})
        span = provider.get_tracer("test").start_span("entry", context=context)
        self.assertIsNone(span.parent)
