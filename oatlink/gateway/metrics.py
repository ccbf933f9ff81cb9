"""Metrics of a gateway: Prometheus counters, and latency by class and outcome in HDR histograms."""

from collections.abc import Callable, Iterator
from typing import Any

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from oatlink.core.messages import Counted

MAX_LATENCY_US = 3_600_000_000
HISTOGRAM_DIGITS = 2
KEPT_BITS = 8  # significant bits of a latency until it is merged; finer than the histogram's two digits
PATH_METRICS = {
    "usable": "Whether new work may go over an address",
    "current": "Whether new work goes over an address",
    "out": "Requests out over an address",
    "answer_us": "What an answer takes over an address, in microseconds",
    "failures": "Failures one after the other",
    "lost": "Requests lost one after the other",
}
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics(Collector):
    """Counts final answers; a gateway process has one instance."""

    def __init__(self, path_rows: Callable[[], list[dict[str, Any]]] = list) -> None:
        """`path_rows` gives the rows of `Engine.path_rows`."""
        self._path_rows = path_rows
        self._counts: dict[tuple[str, str], int] = {}
        self._unmerged: dict[tuple[str, str], dict[int, int]] = {}  # count of each latency not in the histograms yet
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def count(self, answer: Counted) -> None:
        """Count a final answer."""
        # Recording a value in a histogram takes longer than the whole handling of a refusal that is counted, so
        # latencies are collected here first and merged later.
        key = (answer.class_name, answer.outcome)
        took_us = answer.took_us
        dropped_bits = took_us.bit_length() - KEPT_BITS
        if dropped_bits > 0:
            took_us = (took_us >> dropped_bits << dropped_bits) + (1 << dropped_bits >> 1)
        latencies = self._unmerged.get(key)
        if latencies is None:
            latencies = self._unmerged[key] = {}
        latencies[took_us] = latencies.get(took_us, 0) + 1

    def merge(self) -> None:
        """Merge the collected latencies into the counters and histograms."""
        unmerged, self._unmerged = self._unmerged, {}
        for key, latencies in unmerged.items():
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = self._histograms[key] = HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
            self._counts[key] = self._counts.get(key, 0) + sum(latencies.values())
            for took_us, count in latencies.items():
                histogram.record_value(max(1, min(took_us, MAX_LATENCY_US)), count)

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """All metrics, for Prometheus."""
        self.merge()
        counter = CounterMetricFamily("oatlink_requests", "Final answers", labels=["class", "outcome"])
        for (class_name, outcome), count in sorted(self._counts.items()):
            counter.add_metric([class_name, outcome], count)
        yield counter
        for percentile in PERCENTILES:
            name = f"oatlink_latency_p{str(percentile).replace('.0', '').replace('.', '_')}_seconds"
            family = GaugeMetricFamily(name, "Latency at the client's side", labels=["class", "outcome"])
            for (class_name, outcome), histogram in sorted(self._histograms.items()):
                family.add_metric([class_name, outcome], histogram.get_value_at_percentile(percentile) / 1e6)
            yield family
        rows = self._path_rows()
        for name, text in PATH_METRICS.items():
            family = GaugeMetricFamily(f"oatlink_path_{name}", text, labels=["box", "address"])
            for row in rows:
                value = int(row["state"] in ("good", "untried")) if name == "usable" else row[name]
                family.add_metric([row["box"], row["address"]], value)
            yield family

    def text(self) -> bytes:
        """All metrics in the exposition format."""
        return generate_latest(self.registry)


class _MetricsHandler(RequestHandler):
    def initialize(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.metrics.text())


class _HealthHandler(RequestHandler):
    def initialize(self, without: Callable[[], list[str]]) -> None:
        self.banks_without_primary = without

    def get(self) -> None:
        banks = self.banks_without_primary()
        self.write(f"ok, no primary known of {', '.join(banks)}\n" if banks else "ok\n")


def serve(metrics: Metrics, address: str, banks_without_primary: Callable[[], list[str]]) -> HTTPServer:
    """Serve /metrics and /health on host:port; `banks_without_primary` names the banks whose primary is not known."""
    host, _, port = address.rpartition(":")
    handlers: list[Any] = [
        ("/metrics", _MetricsHandler, {"metrics": metrics}),
        ("/health", _HealthHandler, {"without": banks_without_primary}),
    ]
    server = HTTPServer(Application(handlers))
    server.listen(int(port), host.strip("[]"))
    return server
