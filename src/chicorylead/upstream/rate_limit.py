"""The load that a limited upstream has from all routers, against what it takes.

Load pattern: an upstream that has got several times what it can take names a limit.
Each send of any router adds to its load, also sends that were not permitted here: a
router that sends too early delays the next send of all. The load fades, so that a
report which one router has missed does not set its view apart from the others' for
long. An upstream that names a limit still works on what it got just before, which
therefore counts as well.
"""

from math import exp, inf, log

__all__ = ["RateLimit"]

FADE_S = 1.0  # requests that nobody sends may be sent later for about so long
# Of a low limit, so that the load of one request fades before the next is due.
MIN_REQUESTS_PER_FADE = 2.0
MAX_FIRST_WAIT_S = 3.0  # the requests of before are done, or have timed out
# An upstream that takes next to nothing still gets a request now and then, whose answer
# tells when the limit ends.
MIN_PER_S = 0.2


class RateLimit:
    """The load of one upstream, as this router sees it.

    Sends at the rate of the limit hold the load at the limit times the fading time.

    Args:
        per_s: Requests a second that the upstream takes from all routers together.
        n_recent: Requests that it got within the last second.
        now: Event-loop time, seconds.

    Attributes:
        per_s: The limit, at least `MIN_PER_S`.
    """

    def __init__(self, per_s: float, n_recent: int, now: float) -> None:
        self.per_s = max(per_s, MIN_PER_S)
        self._updated_at = now
        self._load = min(float(n_recent), self._most_at_start)

    def set_rate(self, per_s: float, n_recent: int, now: float) -> None:
        """Change the limit; recent requests count against a lower one."""
        self._fade(now)
        fade_s, previous = self._fade_s, self.per_s
        self.per_s = max(per_s, MIN_PER_S)
        self._load *= self._fade_s / fade_s
        if self.per_s < previous:
            self._load = min(max(self._load, n_recent), self._most_at_start)

    def spend(self, n: int, now: float) -> None:
        """Record sends to the upstream."""
        self._fade(now)
        self._load += n

    def wait_s(self, now: float) -> float:
        """Return the time until the next request may be sent, seconds.

        It is negative if one could have been sent so long ago.
        """
        self._fade(now)
        if self._load <= 0.0:
            return -inf
        return self._fade_s * log(self._load / self._most_before_send)

    @property
    def load_ratio(self) -> float:
        """Return the load relative to that of sends at the rate of the limit."""
        return self._load / (self.per_s * self._fade_s)

    @property
    def _most_before_send(self) -> float:
        # On average, the load is half a request below its highest value.
        return self.per_s * self._fade_s - 0.5

    @property
    def _most_at_start(self) -> float:
        return self._most_before_send * exp(MAX_FIRST_WAIT_S / self._fade_s)

    @property
    def _fade_s(self) -> float:
        return max(FADE_S, MIN_REQUESTS_PER_FADE / self.per_s)

    def _fade(self, now: float) -> None:
        self._load *= exp((self._updated_at - now) / self._fade_s)
        self._updated_at = now
