"""Whether a request is sent on now or refused with a time to come back.

Load patterns: the crest of a demand wave above capacity, and one organisation that
sends many times its usual amount. Engines admit in order of arrival, so that one
request too many makes all behind it late, and the more an engine runs, the later each
token of all its streams. A request is sent only while its first event is expected
within its objective. An organisation that has had its share gets only engines that
wait for nothing and run little, the less the further it is beyond: limits that stayed
the same from some standing on would share what is left by the number of attempts. What
cannot be in time is refused at once, while its
caller can still be served later.
"""

import math
from dataclasses import dataclass
from random import Random

from chicorylead.admission.placement import Placement

__all__ = ["Admit", "Demand", "Refuse", "decide"]

# Part of the shortest objective that a request may wait before it is read. Engines are
# busy while anything waits; a longer queue only makes answers late.
QUEUE_SHARE = 0.4
STANDING_MET = 0.6  # from here to its whole share an organisation is slowed down
STANDING_BEYOND = 1.0
# Requests that an engine may run beside one of an organisation that has had its share:
# few streams then pause while it reads a long prompt.
BEYOND_RUNNING = 12
RETURN_MIN_S = 0.1  # several round trips, so that something has changed by then
RETURN_MAX_S = 4.0  # callers honour a third of the time that they have left
RETURN_SPREAD = 0.5  # callers refused together come back spread over this part


@dataclass(frozen=True, slots=True)
class Demand:
    """What the decision needs to know of a request.

    Attributes:
        shortest_objective_s: Shortest objective of the operations that share the
            upstreams, seconds.
        standing: What its organisation got, relative to its share.
    """

    shortest_objective_s: float
    standing: float


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
    beyond = _beyond_share(demand)
    limit_s = QUEUE_SHARE * demand.shortest_objective_s * (1.0 - beyond)
    is_idle = placement.upstream.work.n_requests == 0
    has_room = placement.has_room and not _is_crowded(placement, demand)
    if is_idle or (placement.queue_s <= limit_s and has_room):
        return Admit(placement)
    return Refuse(_back_s(placement.queue_s - limit_s, rng), limit_s)


def _beyond_share(demand: Demand) -> float:
    """Return 0 for an organisation within its share, up to 1 for one beyond it."""
    beyond = (demand.standing - STANDING_MET) / (STANDING_BEYOND - STANDING_MET)
    return min(max(beyond, 0.0), 1.0)


def _is_crowded(placement: Placement, demand: Demand) -> bool:
    n_slots = placement.upstream.entry.n_slots
    n_withheld = _beyond_share(demand) * max(0, n_slots - BEYOND_RUNNING)
    excess = max(demand.standing / STANDING_BEYOND, 1.0)
    n_beside = (n_slots - n_withheld) / math.sqrt(excess)
    return placement.upstream.work.n_requests > n_beside


def _back_s(excess_s: float, rng: Random) -> float:
    """Return when the caller is to come back: once what is too much is read."""
    back_s = min(max(excess_s, RETURN_MIN_S), RETURN_MAX_S)
    return back_s * (1.0 + RETURN_SPREAD * rng.random())
