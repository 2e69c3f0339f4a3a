"""Tests of trace spans and the recorded request trace: linked, and without secrets."""

import json
import tempfile
import unittest
from pathlib import Path

import anyio

from _pistachiopond.schema.settings import Observability
from testing.entry.fake_engines import CHAT, answer_completely, body
from testing.entry.fakes import run_backend, wait_until
from testing.entry.manifests import KEY, digest, make_revision, make_view
from testing.entry.running_entry import run_entry_in_test

CALLERS_TRACE = "a" * 32


class TraceTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.spans_path = Path(folder.name) / "spans.jsonl"
        self.arrivals_path = Path(folder.name) / "arrivals.jsonl"
        self.forwarded_traceparent = ""

    async def _run(self) -> None:
        def change(settings):  # noqa: ANN001, ANN202
            observability = Observability(trace_file_path=str(self.spans_path))
            return settings._replace(
                observability=observability,
                record_trace_path=str(self.arrivals_path),
            )

        async with run_backend(answer_completely) as backend:
            view = make_view({"engine-1": backend.url})
            async with run_entry_in_test(make_revision(), view, change) as entry:
                await entry.http.post(
                    f"{CHAT}?api_key={KEY}",
                    json=body(stream=True),
                    headers={"traceparent": f"00-{CALLERS_TRACE}-{'b' * 16}-01"},
                )
                self.forwarded_traceparent = backend.requests[0].headers["traceparent"]
                await wait_until(lambda: "entry" in self.spans_path.read_text())

    def test_each_stage_has_a_span_in_the_callers_trace(self) -> None:
        anyio.run(self._run)
        lines = self.spans_path.read_text().splitlines()
        spans = {item["name"]: item for item in map(json.loads, lines)}
        self.assertEqual(set(spans), {"entry", "dispatch", "queue", "attempt"})
        for span in spans.values():
            self.assertEqual(span["trace_id"], CALLERS_TRACE)
        dispatch_id = spans["dispatch"]["span_id"]
        self.assertEqual(spans["dispatch"]["parent_id"], spans["entry"]["span_id"])
        self.assertEqual(spans["queue"]["parent_id"], dispatch_id)
        self.assertEqual(spans["attempt"]["parent_id"], dispatch_id)
        self.assertEqual(spans["entry"]["attributes"]["outcome"], "whole")
        self.assertIn(spans["attempt"]["span_id"], self.forwarded_traceparent)

    def test_trace_files_contain_no_keys_digests_or_content(self) -> None:
        anyio.run(self._run)
        arrivals = self.arrivals_path.read_text()
        for secret in (KEY, "Kia ora"):
            self.assertNotIn(secret, arrivals + self.spans_path.read_text())
        self.assertNotIn(digest(KEY), arrivals)
        header, manifest, record = map(json.loads, arrivals.splitlines())
        self.assertEqual(header["format"], "pistachiopond-trace")
        self.assertEqual(manifest["deployment"], "test")
        self.assertEqual(record["customer"], "bergen")
        self.assertEqual(record["output_tokens"], 4)
