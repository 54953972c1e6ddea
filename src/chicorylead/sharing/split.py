"""Split the slots of a pool between organisations by weighted water-filling.

No organisation gets more slots than it demands. Organisations whose demand exceeds
their allowance get slots in the ratio of their shares. The functions are pure.
"""

from collections.abc import Iterable
from math import inf

__all__ = ["allowance", "water_level"]


def water_level(demands: Iterable[tuple[float, float]], n_slots: float) -> float:
    """Return the water level of a pool: slots per unit of share.

    Args:
        demands: Pairs of demand, in slots, and share of each organisation.
        n_slots: Slots of the pool.

    Returns:
        The level at which the slots are used up; infinity when all demand fits.
    """
    pairs = [(demand, share) for demand, share in demands if demand > 0 and share > 0]
    if sum(demand for demand, _ in pairs) <= n_slots:
        return inf
    pairs.sort(key=lambda pair: pair[0] / pair[1])
    slots_left = max(0.0, n_slots)
    weight = sum(share for _, share in pairs)
    for demand, share in pairs:
        level = slots_left / weight
        if demand / share > level:
            return level
        slots_left -= demand
        weight -= share
    return inf


def allowance(demand: float, fleet_demand: float, share: float, level: float) -> float:
    """Return the slots that one router may use for one organisation.

    Args:
        demand: Demand at this router, in slots.
        fleet_demand: Demand at all routers, this one included, in slots.
        share: Share of the organisation.
        level: Water level of the pool, in slots per unit of share.
    """
    if demand <= 0:
        return 0.0
    if level == inf:
        return demand
    granted = min(fleet_demand, share * level)
    return granted * demand / max(fleet_demand, demand)
