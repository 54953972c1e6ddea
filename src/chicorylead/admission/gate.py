"""Whether a request is sent on now or refused with a time to come back.

Load pattern: the crest of a demand wave above capacity. Engines admit in order of
arrival, so that one request too many makes all behind it late. A request is sent
only while its first event is expected within its objective; what cannot be in
time is refused at once, while its caller can still be served later.
"""

from dataclasses import dataclass
from random import Random

from chicorylead.admission.placement import Placement

__all__ = ["Admit", "Demand", "Refuse", "decide"]

# Engines are busy while anything waits; a longer queue only makes answers late.
# Part of the shortest objective that a request may wait before it is read.
QUEUE_SHARE = 0.2
# An organisation that has had its share leaves this part of the queue to others.
QUEUE_BEYOND_SHARE = 0.05
STANDING_MET = 0.8  # from here to its whole share an organisation is slowed down
STANDING_BEYOND = 1.2
# A caller that was refused before has no further try, but can rarely be in time.
QUEUE_RETURNED = 1.0
RETURN_MIN_S = 0.1  # several round trips, so that something has changed by then
RETURN_MAX_S = 4.0  # callers honour a third of the time that they have left
RETURN_SPREAD = 0.5  # callers refused together come back spread over this part
RETURN_OVERLOAD_S = 0.0  # a crest of demand lasts for some seconds
OVERLOAD_MIN = 1.2  # demand over throughput; below it a clump is over in a moment


@dataclass(frozen=True, slots=True)
class Demand:
    """What the decision needs to know of a request.

    Attributes:
        shortest_objective_s: Shortest objective of the operations that share the
            upstreams, seconds.
        waited_s: Time since the caller's first attempt, seconds.
        standing: What its organisation got, relative to its share.
        overload: What all ask for, relative to what is admitted.
    """

    shortest_objective_s: float
    waited_s: float
    standing: float
    overload: float


@dataclass(frozen=True, slots=True)
class Admit:
    """Send the request on."""

    placement: Placement


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request as not run.

    Attributes:
        retry_after_s: When the caller is to come back, seconds.
        limit_s: Wait that would have been allowed, seconds.
    """

    retry_after_s: float
    limit_s: float


def decide(placement: Placement, demand: Demand, rng: Random) -> Admit | Refuse:
    """Return whether a request is sent to the upstream that was picked for it."""
    limit_s = _limit_s(demand)
    is_idle = placement.upstream.work.total().n_requests == 0
    if is_idle or (placement.queue_s <= limit_s and placement.has_room):
        return Admit(placement)
    return Refuse(_back_s(placement.queue_s - limit_s, demand, rng), limit_s)


def _limit_s(demand: Demand) -> float:
    share = QUEUE_SHARE * demand.shortest_objective_s
    if demand.waited_s > 0.0:
        share *= QUEUE_RETURNED
    beyond = (demand.standing - STANDING_MET) / (STANDING_BEYOND - STANDING_MET)
    beyond = min(max(beyond, 0.0), 1.0)
    return share * (1.0 - beyond * (1.0 - QUEUE_BEYOND_SHARE))


def _back_s(excess_s: float, demand: Demand, rng: Random) -> float:
    """Return when the caller is to come back, seconds.

    After a clump there is room as soon as it is read; a crest of demand has to
    pass, and a caller that came back earlier would only be refused again.
    """
    back_s = max(excess_s, RETURN_MIN_S)
    if demand.overload > OVERLOAD_MIN:
        back_s += RETURN_OVERLOAD_S * (demand.overload - OVERLOAD_MIN)
    return min(back_s, RETURN_MAX_S) * (1.0 + RETURN_SPREAD * rng.random())
