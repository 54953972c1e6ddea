"""Compute the reporting tree deterministically from the view of present routers.

The level of a router depends on its name only. A router reports to a router of a
higher level in its zone, and the highest in each zone reports to the highest in
another zone. A router that joins or leaves changes only the parents of adjacent
routers. A parent always ranks above its child, so that temporarily inconsistent
views cannot form a cycle.
"""

from collections.abc import Iterable
from math import log

from chicorylead.ids import RouterId, ZoneName
from chicorylead.vm.rendezvous import hash64, pick

__all__ = ["parent_of", "rank_of"]

Rank = tuple[int, int]
_HASH_RANGE = float(2**64)


def rank_of(name: str, fan_out: int) -> Rank:
    """Return the rank of a name: its level, then its hash.

    On average one in `fan_out` names reaches level 1, one in `fan_out ** 2` level 2,
    and so on.
    """
    number = hash64("level", name)
    uniform = (number + 1) / _HASH_RANGE
    level = int(-log(uniform) / log(max(2, fan_out)))
    return (level, number)


def parent_of(
    router: RouterId,
    zone: ZoneName,
    present: Iterable[tuple[RouterId, ZoneName]],
    fan_out: int,
) -> RouterId | None:
    """Return the parent of a router; None for the root.

    Args:
        router: Router whose parent is wanted.
        zone: Its availability zone.
        present: Live and leaving routers, with their zones.
        fan_out: Mean number of children.
    """
    by_zone: dict[ZoneName, list[RouterId]] = {}
    for name, its_zone in present:
        by_zone.setdefault(its_zone, []).append(name)
    peers = by_zone.get(zone, [])
    parent = _parent_in_group(router, peers, fan_out)
    if parent is not None:
        return parent
    # This router ranks highest in its zone. Such routers are ordered by zone, so that
    # views that disagree on the highest router of a zone agree on the order.
    zone_parent = _parent_in_group(zone, [*by_zone], fan_out)
    if zone_parent is None:
        return None
    return max(by_zone[zone_parent], key=lambda name: rank_of(name, fan_out))


def _parent_in_group(name: str, group: Iterable[str], fan_out: int) -> str | None:
    own = rank_of(name, fan_out)
    above = [other for other in group if rank_of(other, fan_out) > own]
    higher = [other for other in above if rank_of(other, fan_out)[0] > own[0]]
    if higher:
        next_level = min(rank_of(other, fan_out)[0] for other in higher)
        candidates = [o for o in higher if rank_of(o, fan_out)[0] == next_level]
        return pick(name, candidates)
    if above:
        return max(above, key=lambda other: rank_of(other, fan_out))
    return None
