"""Tells callers that are refused when to come back.

Load pattern: all upstreams of a service take far fewer requests than come. Callers who
are told the same time come back together, and all but one are refused again.
"""

from random import Random

__all__ = ["ReturnTimes"]

RETRY_AFTER_MIN_S = 0.1  # several round trips, so that the load has changed by then
RETRY_AFTER_MAX_S = 4.0  # callers honour at most a third of their remaining time
JITTER = 0.2  # fraction; other routers name times as well


class ReturnTimes:
    """Hands out the permits to come to callers, in the order of their requests."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._next_at = float("-inf")

    def take_s(self, wait_s: float, per_s: float, now: float) -> float:
        """Return the time after which a caller should come back, seconds.

        Args:
            wait_s: Time until the next permit, seconds.
            per_s: Permits a second for this router.
            now: Event-loop time, seconds.
        """
        at = max(self._next_at, now + wait_s)
        self._next_at = min(at + 1.0 / per_s, now + RETRY_AFTER_MAX_S)
        retry_after_s = min(max(at - now, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return retry_after_s * (1.0 + JITTER * self._rng.random())
