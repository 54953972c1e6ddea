"""Which routers watch which: a ring with chords, the same in every process.

Each router sends its signs of life to a fixed number of others, whatever the size of
the fleet, and is watched by them. The distances on the ring grow geometrically, so that
news that each router passes on reaches all others in few steps.
"""

from collections.abc import Iterable

from chicorylead.vm.rendezvous import hash64

__all__ = ["N_WATCHERS", "Ring"]

# All of them have to be lost at once for a loss to be noticed late; a fleet of five is
# a full mesh.
N_WATCHERS = 4


class Ring:
    """The order of the routers, by hash of their IP addresses.

    Args:
        own: IP address of this router.
        others: IP addresses of the others.
    """

    def __init__(self, own: str, others: Iterable[str]) -> None:
        self._order = sorted({own, *others}, key=lambda host: (hash64(host), host))
        self._own = self._order.index(own)

    def watchers(self) -> list[str]:
        """Return the routers that watch this one."""
        return [self._at(distance) for distance in self._distances()]

    def watched(self) -> list[str]:
        """Return the routers that this one watches."""
        return [self._at(-distance) for distance in self._distances()]

    def _at(self, distance: int) -> str:
        return self._order[(self._own + distance) % len(self._order)]

    def _distances(self) -> list[int]:
        n = len(self._order)
        distances: list[int] = []
        for i in range(N_WATCHERS):
            least = distances[-1] + 1 if distances else 1
            distances.append(max(least, round(n ** (i / N_WATCHERS))))
        return [distance for distance in distances if distance < n]
