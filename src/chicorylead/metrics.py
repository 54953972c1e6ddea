"""Metrics, rendered for Prometheus and sent to a statsd daemon."""

from bisect import bisect_left
from typing import TYPE_CHECKING

from statsd import StatsClient

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

__all__ = ["Metrics"]

# Seconds, from a fraction of the shortest objective to the longest deadline.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
# Label values accumulate as upstreams and operations change. A page of this size is
# scraped in under a second.
MAX_SERIES = 500
OTHER_LABEL = "other"

LabelValues = tuple[str, ...]


class _Histogram:
    """Durations of one series: their number in each bucket, and their sum."""

    __slots__ = ("counts", "sum_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds: float) -> None:
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the upper bound of each bucket and the number up to it."""
        bounds = [*(str(bound) for bound in BUCKETS_S), "+Inf"]
        buckets: list[tuple[str, float]] = []
        total = 0
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


class Metrics:
    """Records metrics, and sends them to a statsd daemon if one is configured.

    A metric must always be given the same labels. Above `MAX_SERIES` series of one
    metric, new label values are recorded as `other`.

    Args:
        host: Address of the statsd daemon; None disables sending.
        port: UDP port of the statsd daemon.
        prefix: First component of every metric name.

    Attributes:
        totals: Value of each counter, summed over its labels.
    """

    def __init__(
        self, host: str | None = None, port: int = 8125, prefix: str = "chicorylead"
    ) -> None:
        self._client = StatsClient(host, port, prefix=prefix) if host else None
        self._prefix = prefix
        self._labels: dict[str, tuple[str, ...]] = {}
        self._counters: dict[str, dict[LabelValues, int]] = {}
        self._histograms: dict[str, dict[LabelValues, _Histogram]] = {}
        self.totals: dict[str, int] = {}

    def count(self, name: str, n: int = 1, **labels: str) -> None:
        """Increment a counter by `n`."""
        self.totals[name] = self.totals.get(name, 0) + n
        series = self._counters.setdefault(name, {})
        key = self._key(name, series, labels)
        series[key] = series.get(key, 0) + n
        if self._client is not None:
            self._client.incr(_statsd_name(name, labels), n)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge, which only statsd receives."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds; statsd receives milliseconds."""
        series = self._histograms.setdefault(name, {})
        key = self._key(name, series, labels)
        histogram = series.get(key)
        if histogram is None:
            histogram = series[key] = _Histogram()
        histogram.observe(seconds)
        if self._client is not None:
            self._client.timing(_statsd_name(name, labels), seconds * 1000.0)

    def render(self) -> bytes:
        """Return all counters and histograms in the Prometheus text format."""
        # Imported on the first scrape, as a router has to start on little processor
        # time.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> "Iterator[Metric]":
        """Yield all metrics, as the Prometheus registry asks for them."""
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        for name, counts in self._counters.items():
            counter = CounterMetricFamily(
                self._prometheus_name(name),
                f"Number of {name}",
                labels=self._labels[name],
            )
            for key, value in counts.items():
                counter.add_metric(key, value)
            yield counter
        for name, series in self._histograms.items():
            family = HistogramMetricFamily(
                self._prometheus_name(name) + "_seconds",
                f"Time of {name}",
                labels=self._labels[name],
            )
            for key, histogram in series.items():
                family.add_metric(key, histogram.cumulative(), histogram.sum_s)
            yield family

    def close(self) -> None:
        """Close the statsd socket."""
        if self._client is not None:
            self._client.close()

    def _key(
        self, name: str, series: dict[LabelValues, object], labels: dict[str, str]
    ) -> LabelValues:
        names = self._labels.setdefault(name, tuple(labels))
        if names != tuple(labels):
            raise ValueError(f"metric {name!r}: labels {tuple(labels)}, not {names}")
        key = tuple(labels.values())
        if key not in series and len(series) >= MAX_SERIES:
            return (OTHER_LABEL,) * len(labels)
        return key

    def _prometheus_name(self, name: str) -> str:
        return f"{self._prefix}_{name}".replace(".", "_")


def _statsd_name(name: str, labels: dict[str, str]) -> str:
    """Append label values to a name, as statsd has no labels.

    Dots and colons are separators in statsd and become dashes.
    """
    values = (str(v).replace(".", "-").replace(":", "-") for v in labels.values())
    return ".".join((name, *values))
