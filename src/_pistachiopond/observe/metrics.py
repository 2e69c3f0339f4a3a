"""Counters, gauges and histograms, served in the Prometheus text format."""

import threading
from collections.abc import Callable, Iterator
from typing import Final, final
from wsgiref.simple_server import WSGIServer

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, start_http_server
from prometheus_client.core import GaugeMetricFamily, Metric, SummaryMetricFamily
from prometheus_client.registry import Collector

QUANTILES: Final = (0.5, 0.9, 0.95, 0.99, 0.999)
MIN_DURATION_US: Final = 1
MAX_DURATION_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
US_PER_S: Final = 1_000_000

ReadGauge = Callable[[], float]


@final
class LatencyHistogram:
    """A histogram of durations; values outside its range are clamped to it."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )
        self._sum_s = 0.0

    def record_s(self, duration_s: float) -> None:
        """Count one duration in seconds."""
        value_us = min(
            max(int(duration_s * US_PER_S), MIN_DURATION_US), MAX_DURATION_US
        )
        self._histogram.record_value(value_us)
        self._sum_s += duration_s

    def count(self) -> int:
        """Return how many durations were counted."""
        return self._histogram.get_total_count()

    def sum_s(self) -> float:
        """Return the sum of the recorded durations in seconds."""
        return self._sum_s

    def quantile_s(self, share: float) -> float:
        """Return the quantile of the recorded durations at `share`, from 0 to 1."""
        return self._histogram.get_value_at_percentile(share * 100) / US_PER_S


@final
class Metrics(Collector):
    """The metrics of one process, in the given registry or a new one."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = CollectorRegistry() if registry is None else registry
        self._histograms: dict[str, tuple[str, LatencyHistogram]] = {}
        self._gauges: dict[str, tuple[str, ReadGauge]] = {}
        self.registry.register(self)

    def counter(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> Counter:
        """Register and return a counter; each label must have few distinct values."""
        return Counter(name, help_text, labels, registry=self.registry)

    def histogram(self, name: str, help_text: str) -> LatencyHistogram:
        """Register and return a histogram of durations in seconds."""
        histogram = LatencyHistogram()
        self._histograms[name] = (help_text, histogram)
        return histogram

    def gauge(self, name: str, help_text: str, read: ReadGauge) -> None:
        """Register a gauge; `read` returns its value at each scrape."""
        self._gauges[name] = (help_text, read)

    def collect(self) -> Iterator[Metric]:
        """Yield the histograms and gauges; called by the registry at each scrape."""
        for name, (help_text, histogram) in self._histograms.items():
            yield from _histogram_families(name, help_text, histogram)
        for name, (help_text, read) in self._gauges.items():
            yield GaugeMetricFamily(name, help_text, value=read())

    def serve(self, address: str) -> tuple[WSGIServer, threading.Thread]:
        """Serve the text format on ``IP:port`` from a new thread."""
        host, _, port = address.rpartition(":")
        return start_http_server(int(port), host.strip("[]"), self.registry)


def _histogram_families(
    name: str, help_text: str, histogram: LatencyHistogram
) -> Iterator[Metric]:
    yield SummaryMetricFamily(
        name, help_text, count_value=histogram.count(), sum_value=histogram.sum_s()
    )
    quantiles = GaugeMetricFamily(
        f"{name}_quantile", f"{help_text} Quantiles.", labels=("quantile",)
    )
    for share in QUANTILES:
        quantiles.add_metric((str(share),), histogram.quantile_s(share))
    yield quantiles
