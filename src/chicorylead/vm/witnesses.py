"""Chooses the routers that remember something for another one, by its key.

Failure pattern: a router is lost with all that it knew, or a whole availability zone.
Every router finds the same witnesses of a key without communication, as far as they
agree on which routers there are, and a router more or less changes few of the choices.
"""

from bisect import bisect
from collections.abc import Collection, Iterable
from typing import NamedTuple

from chicorylead.ids import ZoneName
from chicorylead.vm.rendezvous import hash64

__all__ = ["N_WITNESSES", "Witness", "WitnessRing"]

N_WITNESSES = 2
POINTS_PER_ROUTER = 8  # evens out how many keys each router gets


class Witness(NamedTuple):
    """A router that may be chosen.

    Attributes:
        host: Its IP address.
        incarnation: Differs at each of its starts, at which it forgets everything.
    """

    host: str
    incarnation: int
    zone: ZoneName


class WitnessRing:
    """The routers on a ring of hashes, each at several points.

    Args:
        routers: All routers that may be chosen.
    """

    def __init__(self, routers: Iterable[Witness]) -> None:
        self.routers = frozenset(routers)
        points = sorted(
            (hash64(router.host, str(number)), router)
            for router in self.routers
            for number in range(POINTS_PER_ROUTER)
        )
        self._hashes = [hashed for hashed, _ in points]
        self._order = [router for _, router in points]

    def choose(self, key: bytes, excluded: Collection[Witness] = ()) -> list[Witness]:
        """Return the witnesses of a key, in different zones if there are several.

        Args:
            key: Eight bytes of a hash.
            excluded: Routers that are not chosen.
        """
        first: Witness | None = None
        second: Witness | None = None
        start = bisect(self._hashes, int.from_bytes(key, "big"))
        n_points = len(self._order)
        for at in range(start, start + n_points):
            router = self._order[at % n_points]
            if router in excluded or router == first:
                continue
            if first is None:
                first = router
            elif router.zone != first.zone:
                return [first, router]
            elif second is None:
                second = router
        return [router for router in (first, second) if router is not None]
