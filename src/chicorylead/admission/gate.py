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

# Parts of the objective up to which the expected wait may go.
LIMIT_WITHIN_SHARE = 0.7
LIMIT_BEYOND_SHARE = 0.25
# A caller that was refused before has no further try: it may be late.
LIMIT_RETURNED = 0.9
RETURN_MIN_S = 0.1  # several round trips, so that something has changed by then
RETURN_MAX_S = 0.6  # a longer wait leaves the objective behind
RETURN_SPREAD = 0.5  # callers refused together come back spread over this part


@dataclass(frozen=True, slots=True)
class Demand:
    """What the decision needs to know of a request.

    Attributes:
        objective_s: Time to the first event that is aimed for, seconds.
        waited_s: Time since the caller's first attempt, seconds.
        is_beyond_share: Whether its organisation has had its share.
    """

    objective_s: float
    waited_s: float
    is_beyond_share: bool


@dataclass(frozen=True, slots=True)
class Admit:
    """Send the request on."""

    placement: Placement


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request as not run.

    Attributes:
        retry_after_s: When the caller is to come back, seconds.
        wait_s: Expected wait, seconds.
        limit_s: Wait that would have been allowed, seconds.
    """

    retry_after_s: float
    wait_s: float
    limit_s: float


def decide(placement: Placement, demand: Demand, rng: Random) -> Admit | Refuse:
    """Return whether a request is sent to the upstream that was picked for it."""
    limit_s = _limit_s(demand)
    is_idle = placement.upstream.work.total().n_requests == 0
    if is_idle or (placement.wait_s <= limit_s and placement.has_room):
        return Admit(placement)
    excess_s = max(0.0, placement.wait_s - limit_s)
    back_s = min(max(excess_s, RETURN_MIN_S), RETURN_MAX_S)
    back_s *= 1.0 + RETURN_SPREAD * rng.random()
    return Refuse(back_s, placement.wait_s, limit_s)


def _limit_s(demand: Demand) -> float:
    if demand.waited_s > 0.0:
        return LIMIT_RETURNED * demand.objective_s
    if demand.is_beyond_share:
        return LIMIT_BEYOND_SHARE * demand.objective_s
    return LIMIT_WITHIN_SHARE * demand.objective_s
