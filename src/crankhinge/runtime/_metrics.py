"""Counters, gauges and timings that are sent to a statsd server over UDP."""

from __future__ import annotations

import statsd


class Metrics:
    """A statsd client that also keeps its counters in memory.

    Args:
        prefix: first part of each statsd name.
        address: ``host:port`` of the statsd server; with an empty address nothing is sent.

    Attributes:
        counts: current value of each counter, so that status pages can show it.
    """

    def __init__(self, *, prefix: str, address: str = "") -> None:
        self.counts: dict[str, int] = {}
        self._client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host=host, port=int(port), prefix=prefix)

    def count(self, name: str, by: int = 1) -> None:
        """Add *by* to the counter *name*."""
        self.counts[name] = self.counts.get(name, 0) + by
        if self._client is not None:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge *name* to *value*."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds; statsd receives milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)
