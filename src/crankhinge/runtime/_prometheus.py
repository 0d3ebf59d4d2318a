"""Metrics in the Prometheus text format, besides statsd."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from crankhinge.runtime._metrics import Metrics

# Upper bounds of the histogram buckets in seconds. They are dense around the latency targets of
# plain calls (0.15 to 0.4), of first events (0.9), and of complete streams (some seconds).
HISTOGRAM_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3.0, 6.0, 14.0)


class PrometheusMetrics(Metrics):
    """Metrics that are sent to statsd and also kept in a Prometheus registry of their own.

    Args:
        prefix: first part of each statsd name.
        address: ``host:port`` of the statsd server; with an empty address nothing is sent.
    """

    def __init__(self, *, prefix: str, address: str = "") -> None:
        super().__init__(prefix=prefix, address=address)
        self._registry = CollectorRegistry()
        self._event_counter = Counter(
            "crankhinge_events", "Number of events, by name", ["event"], registry=self._registry
        )
        self._duration_histogram = Histogram(
            "crankhinge_seconds",
            "Durations in seconds, by what was measured",
            ["what"],
            registry=self._registry,
            buckets=HISTOGRAM_BUCKETS_S,
        )
        self._value_gauge = Gauge(
            "crankhinge_value", "Current values, by name", ["what"], registry=self._registry
        )

    def count(self, name: str, by: int = 1) -> None:
        """Add *by* to the counter *name*."""
        super().count(name, by)
        self._event_counter.labels(name).inc(by)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge *name* to *value*."""
        super().gauge(name, value)
        self._value_gauge.labels(name).set(value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        super().timing(name, seconds)
        self._duration_histogram.labels(name).observe(seconds)

    def set_gauge_function(self, name: str, value: Callable[[], float]) -> None:
        """Set a function that returns the value of the gauge *name* at each rendering."""
        self._value_gauge.labels(name).set_function(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
