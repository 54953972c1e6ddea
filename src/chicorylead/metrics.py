"""Counters, gauges and timings sent to a statsd daemon over UDP."""

from statsd import StatsClient

__all__ = ["Metrics"]


class Metrics:
    """Send metrics, and keep totals of counters for the status page.

    Args:
        host: Address of the statsd daemon; None sends nothing.
        port: UDP port of the statsd daemon.
        prefix: First part of every metric name.
    """

    def __init__(
        self, host: str | None = None, port: int = 8125, prefix: str = "chicorylead"
    ) -> None:
        self._client = StatsClient(host, port, prefix=prefix) if host else None
        self.totals: dict[str, int] = {}

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] = self.totals.get(name, 0) + n
        if self._client is not None:
            self._client.incr(name, n)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration, given in seconds and sent in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

    def close(self) -> None:
        """Close the socket of the client."""
        if self._client is not None:
            self._client.close()
