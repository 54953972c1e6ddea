"""Chooses the routers that callers are told to use, without communication.

Load pattern: a fleet with many more routers than its load needs. What a router knows of
engines and organisations is as old as its peers' last reports, and the cost of reports
grows with the square of the routers that send them. Callers are therefore told of as
many routers as the peak of the load needs, and the others stand by: they answer callers
that reach them, and take the place of a lost one as soon as it is known to be lost.

VMs differ in size by a factor of five, and two fifths of an organisation's requests go
to one of the named routers, so that any of them may get a quarter of the load. Larger
VMs are named before much smaller ones; VMs of nearly equal size are spread by a hash.

A router near a limit of its VM says so in its presence (`vm.load`) and is left out, as
long as the others carry the load and its zone keeps another. The choice depends only on
presences and on peaks of the last `PEAK_HOLD_S`, so that all routers come to nearly the
same one. Where reports are stale or lost, the last one of each live peer counts; a lost
peer is replaced; a router that hears nobody names itself, near its limits or not.
"""

from collections import deque
from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from chicorylead.ids import RouterId, ZoneName
from chicorylead.vm.load import RESERVED_FDS
from chicorylead.vm.rendezvous import hash64

__all__ = ["ArrivalRate", "Candidate", "DemandPeak", "choose_serving"]

MIN_PER_ZONE = 2  # a zone keeps a router when one is lost
# Clumps of arrivals, and callers that stick to one router, need the rest.
MAX_UTILISATION = 0.4
# The routers that remain when those near their limits are left out have to carry the
# load at this utilisation, with at least this fraction of all cores: else each that
# leaves drives the next one to its limits.
MAX_UTILISATION_WITHOUT = 0.6
MIN_CORES_WITHOUT = 0.5
REQUEST_COST_CORE_S = 0.004  # processor time of a request with all its events
PEAK_HOLD_S = 30.0  # hysteresis: callers close connections to routers that leave
RATE_TIME_CONSTANT_S = 2.0  # shorter than the rise of a demand swing

# VMs count as equal up to this ratio of sizes. Machines of one kind differ by 1.79
# (1.2 to 2.15 cores), and which of them are named should not depend on it.
SIZE_RATIO = 1.8
# Descriptors and memory that the load of one core takes: 250 requests a second, each
# with 6 descriptors, as one VM of 24 had at such a rate; memory beyond that of an
# idle process.
FDS_PER_CORE = 1_600
MEMORY_PER_CORE_MB = 100.0
IDLE_MEMORY_MB = 40.0
MIN_SIZE = 0.01  # cores; keeps ratios finite


class Candidate(NamedTuple):
    """A router that can take callers.

    Attributes:
        cores: Processor capacity of its VM, cores.
        memory_mb: Memory of its VM, MB; 0 if not known.
        max_fds: Descriptors that it may open; 0 if not known.
        is_near_limit: Whether it asks to be left out.
    """

    id: RouterId
    zone: ZoneName
    cores: float
    memory_mb: float = 0.0
    max_fds: int = 0
    is_near_limit: bool = False

    @property
    def size(self) -> float:
        """Return the cores' worth of load that it carries: the scarcest counts."""
        sizes = [self.cores]
        if self.memory_mb > 0:
            sizes.append((self.memory_mb - IDLE_MEMORY_MB) / MEMORY_PER_CORE_MB)
        if self.max_fds > 0:
            sizes.append((self.max_fds - RESERVED_FDS) / FDS_PER_CORE)
        return max(min(sizes), MIN_SIZE)


def choose_serving(
    candidates: Iterable[Candidate], requests_per_s: float, busy_cores: float = 0.0
) -> set[RouterId]:
    """Return the routers that take callers.

    Each zone has at least `MIN_PER_ZONE` of them, as far as it has routers, and more
    are added until the fleet's peak is carried: zone by zone, the smallest last.

    Args:
        candidates: Routers that are ready.
        requests_per_s: Peak of requests that arrive at the whole fleet.
        busy_cores: Peak of processor use of the whole fleet, cores.
    """
    load_cores = max(requests_per_s * REQUEST_COST_CORE_S, busy_cores)
    candidates = list(candidates)
    classes = _size_classes(candidates)
    ranked = sorted(candidates, key=lambda c: (classes[c.id], hash64(c.id), c.id))
    left_out = _left_out(ranked, load_cores)
    zones: dict[ZoneName, list[Candidate]] = {}
    for candidate in ranked:
        if candidate.id not in left_out:
            zones.setdefault(candidate.zone, []).append(candidate)
    chosen = [c for zone in sorted(zones) for c in zones[zone][:MIN_PER_ZONE]]
    further = sorted(
        (
            (classes[c.id], i, zone, c)
            for zone, members in zones.items()
            for i, c in enumerate(members[MIN_PER_ZONE:])
        ),
        key=lambda f: f[:3],
    )
    wanted_cores = load_cores / MAX_UTILISATION
    cores = sum(c.cores for c in chosen)
    smallest = max(chosen, key=lambda c: (classes[c.id], -c.cores), default=None)
    for size_class, *_, candidate in further:
        # Callers divide themselves evenly: the smallest has to carry an equal part.
        is_smallest_full = smallest.cores * len(chosen) < wanted_cores
        is_larger = size_class < classes[smallest.id]
        if cores >= wanted_cores and not (is_larger and is_smallest_full):
            break
        chosen.append(candidate)
        cores += candidate.cores
        if size_class > classes[smallest.id]:
            smallest = candidate
    return {candidate.id for candidate in chosen}


def _size_classes(candidates: Iterable[Candidate]) -> dict[RouterId, int]:
    """Return the class of each size, 0 for the largest."""
    classes: dict[RouterId, int] = {}
    number, largest = -1, float("inf")
    for size, router in sorted(((c.size, c.id) for c in candidates), reverse=True):
        if number < 0 or size * SIZE_RATIO < largest:
            number, largest = number + 1, size
        classes[router] = number
    return classes


def _left_out(ranked: list[Candidate], load_cores: float) -> set[RouterId]:
    """Return the routers near their limits that the fleet can do without."""
    if not any(candidate.is_near_limit for candidate in ranked):
        return set()
    n_left: dict[ZoneName, int] = {}
    for candidate in ranked:
        n_left[candidate.zone] = n_left.get(candidate.zone, 0) + 1
    cores = sum(candidate.cores for candidate in ranked)
    needed = max(load_cores / MAX_UTILISATION_WITHOUT, MIN_CORES_WITHOUT * cores)
    left_out: set[RouterId] = set()
    # The smallest first: it is the least loss, and carries the least.
    for candidate in reversed(ranked):
        is_needed = n_left[candidate.zone] == 1 or cores - candidate.cores < needed
        if candidate.is_near_limit and not is_needed:
            left_out.add(candidate.id)
            n_left[candidate.zone] -= 1
            cores -= candidate.cores
    return left_out


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
