"""Bytes of control traffic, and the report period that keeps them within budget."""

__all__ = ["WIRE_OVERHEAD_BYTES", "ByteBudget"]

WIRE_OVERHEAD_BYTES = 112  # TCP, IP and nng headers of a message and its ack
REPORT_FRACTION = 0.55  # the rest is for early reports and the platform
MAX_PERIOD_S = 5.0


class ByteBudget:
    """Derives the report period from the mean size of a message.

    Args:
        rate: Budget of control traffic in both directions together, bytes/s.
        min_period_s: Shortest report period, seconds.

    Attributes:
        bytes_sent: Bytes sent, with the overhead on the wire.
        bytes_received: Bytes received, with the overhead on the wire.
    """

    def __init__(self, rate: float, min_period_s: float) -> None:
        self._rate = rate
        self._min_period_s = min_period_s
        self._mean_message_bytes = 200.0
        self.bytes_sent = 0
        self.bytes_received = 0

    def record(self, n_bytes: int, sent: bool) -> None:
        """Count the bytes of a message."""
        wire_bytes = n_bytes + WIRE_OVERHEAD_BYTES
        self._mean_message_bytes += 0.1 * (wire_bytes - self._mean_message_bytes)
        if sent:
            self.bytes_sent += wire_bytes
        else:
            self.bytes_received += wire_bytes

    def period_s(self, n_links: int) -> float:
        """Return the time between reports, seconds, with one each way on each link."""
        per_round = 2.0 * max(1, n_links) * self._mean_message_bytes
        period_s = per_round / (REPORT_FRACTION * self._rate)
        return min(MAX_PERIOD_S, max(self._min_period_s, period_s))
