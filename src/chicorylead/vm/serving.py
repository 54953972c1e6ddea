"""Chooses the routers that callers are told to use, without communication.

Load pattern: a fleet with many more routers than its load needs. What a router knows of
engines and organisations is as old as its peers' last reports, and the cost of reports
grows with the square of the routers that send them. Callers are therefore told of as
many routers as the peak of the load needs, and the others stand by: they answer callers
that reach them, and take the place of a lost one as soon as it is known to be lost.
"""

from collections import deque
from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from chicorylead.ids import RouterId, ZoneName
from chicorylead.vm.rendezvous import hash64

__all__ = ["ArrivalRate", "Candidate", "DemandPeak", "choose_serving"]

MIN_PER_ZONE = 2  # a zone keeps a router when one is lost
# Clumps of arrivals, and callers that stick to one router, need the rest.
MAX_UTILISATION = 0.4
REQUEST_COST_CORE_S = 0.004  # processor time of a request with all its events
PEAK_HOLD_S = 30.0  # hysteresis: callers close connections to routers that leave
RATE_TIME_CONSTANT_S = 2.0  # shorter than the rise of a demand swing


class Candidate(NamedTuple):
    """A router that can take callers.

    Attributes:
        cores: Processor capacity of its VM, cores.
    """

    id: RouterId
    zone: ZoneName
    cores: float


def choose_serving(
    candidates: Iterable[Candidate], requests_per_s: float
) -> set[RouterId]:
    """Return the routers that take callers.

    Each zone has at least `MIN_PER_ZONE` of them, as far as it has routers, and more
    are added zone by zone until the fleet's peak is carried.

    Args:
        candidates: Routers that are ready.
        requests_per_s: Peak of requests that arrive at the whole fleet.
    """
    zones: dict[ZoneName, list[Candidate]] = {}
    for candidate in sorted(candidates, key=lambda c: (hash64(c.id), c.id)):
        zones.setdefault(candidate.zone, []).append(candidate)
    chosen: set[RouterId] = set()
    cores = 0.0
    wanted_cores = requests_per_s * REQUEST_COST_CORE_S / MAX_UTILISATION
    for rank in range(max(map(len, zones.values()), default=0)):
        for zone in sorted(zones):
            if rank >= len(zones[zone]):
                continue
            if rank >= MIN_PER_ZONE and cores >= wanted_cores:
                return chosen
            candidate = zones[zone][rank]
            chosen.add(candidate.id)
            cores += candidate.cores
    return chosen


class ArrivalRate:
    """Smoothed rate of arrivals at this router."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._updated_at = now

    def record(self, now: float) -> None:
        """Record one arrival."""
        self._rate = self.per_s(now) + 1.0 / RATE_TIME_CONSTANT_S

    def per_s(self, now: float) -> float:
        """Return the rate, requests/s."""
        elapsed_s = now - self._updated_at
        self._updated_at = now
        self._rate *= exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        return self._rate


class DemandPeak:
    """Highest value within the last `PEAK_HOLD_S`."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()

    def record(self, value: float, now: float) -> float:
        """Record a value and return the peak."""
        samples = self._samples
        while samples and samples[-1][1] <= value:
            samples.pop()
        samples.append((now, value))
        while samples[0][0] < now - PEAK_HOLD_S:
            samples.popleft()
        return samples[0][1]
