"""How much of the fleet a router hears, against what it has known lately.

Failure pattern: a network partition, in which each side takes itself for the fleet.
"""

from dataclasses import dataclass

__all__ = ["HeardRouters"]


@dataclass(frozen=True, slots=True)
class HeardRouters:
    """How many routers are known, besides this one.

    Attributes:
        n_live: Those that are heard.
        n_known: Those that were heard, or listed by a peer, within the last minutes.
        has_heard: Whether any was heard since the start.
    """

    n_live: int
    n_known: int
    has_heard: bool = True

    @property
    def fraction(self) -> float:
        """Return the fraction of the fleet that is heard, with this router.

        A router that hears nobody from its start on may be cut off, and does not know
        how large the fleet is.
        """
        if self.n_known and not self.has_heard:
            return 0.0
        return (1 + self.n_live) / (1 + max(self.n_known, self.n_live))
