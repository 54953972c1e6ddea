"""Admits a request or refuses it with a retry-after time.

Load patterns: a peak of demand above capacity, and one organisation that sends many
times its usual amount. Engines start requests in order of arrival, so that one request
too many delays all behind it, and each further request that an engine runs delays
every token of all its streams. A request is sent only while its first event is expected
within its objective. An organisation that has used its share gets only engines without
a queue and with few running requests, fewer the more it exceeds its share: if limits
were constant above some share ratio, organisations above it would get the remaining
capacity in proportion to their numbers of attempts. A request that cannot be in time is
refused at once, while its caller can still be served later.

Load pattern: one organisation has more than half of a demand that engines could nearly
meet. Shares are made of what is admitted, so that refusals for a share lower the level
of all shares, and with it the limits again. Shares therefore bind only as far as the
engines are full: the further an organisation is above its share, the lower the load at
which its limits begin to fall.

Load pattern: the slots of nearly all engines are in use. A request whose shared parts
only full engines cache is refused instead of having them read once more, which would
take the time of several requests whose parts are cached.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from chicorylead.admission.placement import Placement, PoolLoad, place_within
from chicorylead.admission.speed import ResponseTimes
from chicorylead.traffic.request import Prompt
from chicorylead.upstream.live import LiveUpstream

__all__ = [
    "Admit",
    "Demand",
    "Limits",
    "Reason",
    "Refuse",
    "decide",
    "decide_elsewhere",
    "limits",
    "share_use",
]

# Fraction of the shortest objective that a request may wait before prefill. Engines are
# busy while anything waits; a longer queue only makes answers late.
MAX_QUEUE_FRACTION = 0.4
# Share ratio from which the limits of an organisation are reduced gradually, up to the
# ratio of a full share.
REDUCED_FROM_SHARE_RATIO = 0.6
FULL_SHARE_RATIO = 1.0
# Requests that an engine may run beside one of an organisation that has used its share:
# few streams then pause during the prefill of a long prompt.
MAX_RUNNING_BESIDE = 12
# Fractions of all slots, and of the engines with something to prefill, between which
# shares begin to bind and bind in full. The number that an engine of 16 slots runs
# varies by a quarter of them: at 0.7 one that is free can be found at once, at 0.9 a
# request of another organisation finds half of the engines full. Requests wait behind
# one prefill on average where 0.5 of the engines prefill, behind several at 0.7.
SLOTS_FREE, SLOTS_FULL = 0.7, 0.9
PREFILL_FREE, PREFILL_FULL = 0.4, 0.7
# Fractions of all slots between which reading shared parts once more is given up.
READ_AGAIN_FREE, READ_AGAIN_FULL = 0.85, 1.0
RETRY_AFTER_MIN_S = 0.1  # several round trips, so that the load has changed by then
RETRY_AFTER_MAX_S = 4.0  # callers honour at most a third of their remaining time
RETRY_AFTER_JITTER = 0.5  # spreads the retries of callers refused together


class Reason(StrEnum):
    """Why a request is refused."""

    SHARE = "share"
    QUEUE = "queue"
    NO_ROOM = "no_room"
    READ_AGAIN = "read_again"


@dataclass(frozen=True, slots=True)
class Demand:
    """Properties of a request that the decision depends on.

    Attributes:
        shortest_objective_s: Shortest objective of the operations that share the
            upstreams, seconds.
        share_ratio: Admitted amount of its organisation, relative to its share.
        queue_factor: Multiplies the queue that it may wait in; set by precedence.
    """

    shortest_objective_s: float
    share_ratio: float
    queue_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a request at the present load; all times in seconds.

    Attributes:
        full_queue_s: Longest queue of an organisation below its share.
        queue_s: Longest queue of this one.
        overuse: How far its share binds, 0 to 1.
        excess: Factor by which its use exceeds its share, as far as it binds.
        read_again_s: Longest time to read shared parts that another engine caches.
        elsewhere_s: The same if the engine chosen first refused the request; shorter
            the further its share binds, as its refusals are its own.
    """

    full_queue_s: float
    queue_s: float
    overuse: float
    excess: float
    read_again_s: float
    elsewhere_s: float

    def max_running(self, n_slots: int) -> float:
        """Return the most requests that an upstream may run beside the request."""
        if self.overuse == 0.0:
            return math.inf  # the wait for a slot is part of the queue
        n_withheld = self.overuse * max(0, n_slots - MAX_RUNNING_BESIDE)
        return (n_slots - n_withheld) / math.sqrt(self.excess)


@dataclass(frozen=True, slots=True)
class Admit:
    """Send the request to the placed upstream."""

    placement: Placement


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request as not run.

    Attributes:
        retry_after_s: Time after which the caller should retry, seconds.
        limit_s: Longest queue time that was allowed, seconds.
        is_over_share: Whether an organisation within its share would be admitted.
        reason: Why it is refused.
    """

    retry_after_s: float
    limit_s: float
    is_over_share: bool
    reason: Reason = Reason.QUEUE


def limits(demand: Demand, load: PoolLoad) -> Limits:
    """Return the limits of a request at a load of the upstreams that it may get."""
    slots_use = _ramp(load.streams, SLOTS_FREE, SLOTS_FULL)
    prefill_use = _ramp(load.prefill, PREFILL_FREE, PREFILL_FULL)
    used = share_use(demand.share_ratio)
    bound = used * max(slots_use, prefill_use)
    objective_s = demand.shortest_objective_s
    full_queue_s = MAX_QUEUE_FRACTION * objective_s * demand.queue_factor
    busy = _ramp(load.slots, READ_AGAIN_FREE, READ_AGAIN_FULL)
    read_again_s = objective_s * (1.0 - busy)
    return Limits(
        full_queue_s,
        full_queue_s * (1.0 - min(used * prefill_use, 1.0)),
        min(bound, 1.0),
        max(1.0, _share_ratio(bound)),
        read_again_s,
        read_again_s * (1.0 - max(min(bound, 1.0), prefill_use)),
    )


def decide(placement: Placement, demand: Demand, rng: Random) -> Admit | Refuse:
    """Return whether a request is sent to the upstream chosen for it."""
    allowed = limits(demand, placement.load)
    n_running = placement.upstream.work.n_requests
    is_crowded = n_running > allowed.max_running(placement.upstream.entry.n_slots)
    if n_running == 0:
        return Admit(placement)
    if not placement.has_room:
        reason = Reason.NO_ROOM
    elif placement.queue_s > allowed.full_queue_s:
        reason = Reason.QUEUE
    elif placement.read_again_s > allowed.read_again_s:
        reason = Reason.READ_AGAIN
    elif placement.queue_s > allowed.queue_s or is_crowded:
        reason = Reason.SHARE
    else:
        return Admit(placement)
    retry_after_s = _retry_after_s(placement.queue_s - allowed.queue_s, rng)
    return Refuse(retry_after_s, allowed.queue_s, reason is Reason.SHARE, reason)


def decide_elsewhere(
    refused: Placement,
    candidates: Sequence[LiveUpstream],
    prompt: Prompt,
    demand: Demand,
    response_times: ResponseTimes,
    now: float,
) -> Admit | None:
    """Return whether another engine gets a request that the best one did not admit.

    Shared parts may be read again there, unless most engines are busy: the requests
    behind them would be late.

    Args:
        refused: Placement at the best engine.
        candidates: Engines that may get the request.
        prompt: The prompt.
        demand: Properties of the request.
        response_times: Response times of the service.
        now: Event-loop time, seconds.
    """
    allowed = limits(demand, refused.load)
    if allowed.elsewhere_s <= 0.0:
        return None
    found = place_within(candidates, prompt, response_times, now, allowed, refused.load)
    return None if found is None else Admit(found)


def share_use(share_ratio: float) -> float:
    """Return 0 below REDUCED_FROM_SHARE_RATIO, 1 at the full share, and more beyond."""
    excess = share_ratio - REDUCED_FROM_SHARE_RATIO
    return max(0.0, excess / (FULL_SHARE_RATIO - REDUCED_FROM_SHARE_RATIO))


def _share_ratio(use: float) -> float:
    """Return the share ratio with a use of the share."""
    span = FULL_SHARE_RATIO - REDUCED_FROM_SHARE_RATIO
    return (REDUCED_FROM_SHARE_RATIO + use * span) / FULL_SHARE_RATIO


def _ramp(load: float, free: float, full: float) -> float:
    """Return 0 up to a load at which capacity is free, and 1 where it is full."""
    return min(max((load - free) / (full - free), 0.0), 1.0)


def _retry_after_s(excess_s: float, rng: Random) -> float:
    """Return the retry-after time: until the excess queue is prefilled, with jitter."""
    retry_after_s = min(max(excess_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    return retry_after_s * (1.0 + RETRY_AFTER_JITTER * rng.random())
