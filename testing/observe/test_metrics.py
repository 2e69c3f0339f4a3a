"""Tests of the metrics in the Prometheus text format."""

import unittest
import urllib.request

from prometheus_client import generate_latest

from _pistachiopond.observe.metrics import Metrics


class MetricsTests(unittest.TestCase):
    def test_counters_histograms_and_gauges_are_exported(self) -> None:
        metrics = Metrics()
        metrics.counter("pond_x", "X.", ("kind",)).labels("a").inc(3)
        histogram = metrics.histogram("pond_first_token_seconds", "First token.")
        for _ in range(99):
            histogram.record_s(0.01)
        histogram.record_s(2.0)
        metrics.gauge("pond_waiting", "Waiting.", lambda: 7.0)
        text = generate_latest(metrics.registry).decode()
        self.assertIn('pond_x_total{kind="a"} 3.0', text)
        self.assertIn("pond_first_token_seconds_count 100.0", text)
        self.assertIn("pond_waiting 7.0", text)
        self.assertAlmostEqual(histogram.quantile_s(0.5), 0.01, delta=0.0002)
        self.assertAlmostEqual(histogram.quantile_s(0.999), 2.0, delta=0.04)

    def test_durations_outside_the_range_are_counted(self) -> None:
        histogram = Metrics().histogram("pond_y_seconds", "Y.")
        histogram.record_s(-1.0)
        histogram.record_s(1e9)
        self.assertEqual(histogram.count(), 2)

    def test_metrics_are_served_over_http(self) -> None:
        metrics = Metrics()
        metrics.counter("pond_z", "Z.").inc()
        server, thread = metrics.serve("127.0.0.1:0")
        try:
            url = f"http://127.0.0.1:{server.server_port}/metrics"
            with urllib.request.urlopen(url, timeout=10) as response:
                self.assertIn(b"pond_z_total 1.0", response.read())
        finally:
            server.shutdown()
            server.server_close()
            thread.join()
