"""Figures of a gateway: counters for Prometheus, latency by class and outcome in HDR histograms."""

from collections.abc import Callable, Iterator
from typing import Any

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from oatlink.core.messages import Counted

LONGEST_US = 3_600_000_000
DIGITS_BITS = 8  # of a time that are kept until it is folded: finer than the histogram's two digits
PATH_FIGURES = {
    "usable": "Whether new work may go over an address",
    "current": "Whether new work goes over an address",
    "out": "Requests out over an address",
    "answer_us": "What an answer takes over an address, in microseconds",
    "failures": "Failures one after the other",
    "lost": "Requests lost one after the other",
}
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics(Collector):
    """Counts final answers; a gateway process has one."""

    def __init__(self, paths: Callable[[], list[dict[str, Any]]] = list) -> None:
        """`paths` gives the rows of `Engine.path_rows`."""
        self._paths = paths
        self._counts: dict[tuple[str, str], int] = {}
        self._new: dict[tuple[str, str], dict[int, int]] = {}  # times not yet in the histograms, and how often
        self._times: dict[tuple[str, str], HdrHistogram] = {}
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def count(self, one: Counted) -> None:
        """Take in a final answer."""
        # Threat: a histogram's record takes longer than the whole refusal that it counts. So times are gathered first.
        key = (one.class_name, one.outcome)
        took = one.took_us
        spare = took.bit_length() - DIGITS_BITS
        if spare > 0:
            took = (took >> spare << spare) + (1 << spare >> 1)
        new = self._new.get(key)
        if new is None:
            new = self._new[key] = {}
        new[took] = new.get(took, 0) + 1

    def fold(self) -> None:
        """Put what was gathered into counters and histograms."""
        new, self._new = self._new, {}
        for key, gathered in new.items():
            times = self._times.get(key)
            if times is None:
                times = self._times[key] = HdrHistogram(1, LONGEST_US, 2)
            self._counts[key] = self._counts.get(key, 0) + sum(gathered.values())
            for took, count in gathered.items():
                times.record_value(max(1, min(took, LONGEST_US)), count)

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """What Prometheus is shown."""
        self.fold()
        counter = CounterMetricFamily("oatlink_requests", "Final answers", labels=["class", "outcome"])
        for (name, outcome), count in sorted(self._counts.items()):
            counter.add_metric([name, outcome], count)
        yield counter
        for quantile in QUANTILES:
            name = f"oatlink_latency_p{str(quantile).replace('.0', '').replace('.', '_')}_seconds"
            family = GaugeMetricFamily(name, "Latency at the client's side", labels=["class", "outcome"])
            for (class_name, outcome), times in sorted(self._times.items()):
                family.add_metric([class_name, outcome], times.get_value_at_percentile(quantile) / 1e6)
            yield family
        rows = self._paths()
        for name, text in PATH_FIGURES.items():
            family = GaugeMetricFamily(f"oatlink_path_{name}", text, labels=["box", "address"])
            for row in rows:
                value = int(row["state"] in ("good", "untried")) if name == "usable" else row[name]
                family.add_metric([row["box"], row["address"]], value)
            yield family

    def text(self) -> bytes:
        """The exposition format."""
        return generate_latest(self.registry)


class _Shown(RequestHandler):
    def initialize(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.metrics.text())


class _Healthy(RequestHandler):
    def initialize(self, without: Callable[[], list[str]]) -> None:
        self.without = without

    def get(self) -> None:
        missing = self.without()
        self.write(f"ok, no primary known of {', '.join(missing)}\n" if missing else "ok\n")


def serve(metrics: Metrics, address: str, without: Callable[[], list[str]]) -> HTTPServer:
    """Serve /metrics and /health on host:port; `without` names the banks whose primary is not known."""
    host, _, port = address.rpartition(":")
    pages: list[Any] = [("/metrics", _Shown, {"metrics": metrics}), ("/health", _Healthy, {"without": without})]
    server = HTTPServer(Application(pages))
    server.listen(int(port), host.strip("[]"))
    return server
