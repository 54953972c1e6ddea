"""Limits the retries to one service over the whole fleet.

Load pattern: a fault that fails a large part of all requests at high load, where
retries would add to the load that causes the failures.
"""

from collections import deque
from collections.abc import Callable

__all__ = ["RetryBudget"]

BUDGET_FRACTION = 0.5  # the rest is for routers not heard from and counts in flight


class RetryBudget:
    """Retries of this router to one service, within a sliding window.

    Args:
        ratio: Retries allowed for each request.
        slack: Additional retries allowed, over the whole fleet.
        window_s: Length of the window, seconds.
        clock: Event-loop time, seconds.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, clock: Callable[[], float]
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._clock = clock
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self) -> None:
        """Record a caller's request."""
        now = self._clock()
        self._requests.append(now)
        _expire(self._requests, now - self._window_s)

    def take(self, n_routers: int) -> bool:
        """Take one retry if the budget has one left.

        Args:
            n_routers: Routers that share the slack.
        """
        now = self._clock()
        _expire(self._requests, now - self._window_s)
        _expire(self._retries, now - self._window_s)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, n_routers)
        if len(self._retries) + 1 > BUDGET_FRACTION * allowed:
            return False
        self._retries.append(now)
        return True


def _expire(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
