"""What each organisation asked for and got, against its max-min share.

Load pattern: one organisation sends many times its usual amount. What it asks
beyond its share is turned away first, so that the others notice nothing.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from chicorylead.ids import OrganisationId

__all__ = ["FairShare", "Usage", "max_min_level"]


@dataclass(slots=True)
class Usage:
    """Tokens of one organisation within the window.

    Attributes:
        asked: Tokens of all its requests.
        admitted: Tokens of the requests that were sent on.
    """

    asked: float = 0.0
    admitted: float = 0.0


def max_min_level(demands: Mapping[object, float], capacity: float) -> float:
    """Return the amount to which every demand can be met, without end if all can.

    Args:
        demands: What each one asks for.
        capacity: What there is for all.
    """
    left = capacity
    amounts = sorted(demands.values())
    for n_done, amount in enumerate(amounts):
        level = left / (len(amounts) - n_done)
        if amount > level:
            return level
        left -= amount
    return float("inf")


class FairShare:
    """Usage of this router and of its peers over a sliding window.

    Args:
        window_s: Length of the window, seconds.
        clock: Event-loop time, seconds.
    """

    def __init__(self, window_s: float, clock: Callable[[], float]) -> None:
        self._window_s = window_s
        self._clock = clock
        self._events: deque[tuple[float, OrganisationId, float, float]] = deque()
        self._own: dict[OrganisationId, Usage] = {}
        self._peers: dict[str, dict[OrganisationId, Usage]] = {}

    def note(self, organisation: OrganisationId, asked: float, admitted: float) -> None:
        """Note tokens that were asked for or admitted at this router."""
        now = self._clock()
        self._events.append((now, organisation, asked, admitted))
        usage = self._own.setdefault(organisation, Usage())
        usage.asked += asked
        usage.admitted += admitted
        self._forget(now - self._window_s)

    def note_peer(self, peer: str, usage: dict[OrganisationId, Usage]) -> None:
        """Replace the usage of a peer; an empty one forgets it."""
        if usage:
            self._peers[peer] = usage
        else:
            self._peers.pop(peer, None)

    def own(self) -> dict[OrganisationId, Usage]:
        """Return the usage at this router."""
        self._forget(self._clock() - self._window_s)
        return self._own

    def is_over(
        self, organisation: OrganisationId, tokens: float, tokens_per_s: float | None
    ) -> bool:
        """Tell whether further tokens go beyond an organisation's share.

        Args:
            organisation: The organisation.
            tokens: Tokens of the request, already noted as asked for.
            tokens_per_s: Throughput of all engines; None if it is not known.
        """
        if tokens_per_s is None:
            return False
        totals = self._totals()
        level = max_min_level(
            {name: usage.asked for name, usage in totals.items()},
            tokens_per_s * self._window_s,
        )
        mine = totals.get(organisation, Usage())
        return mine.admitted + tokens > level

    def _totals(self) -> dict[OrganisationId, Usage]:
        totals: dict[OrganisationId, Usage] = {}
        for source in (self.own(), *self._peers.values()):
            for name, usage in source.items():
                total = totals.setdefault(name, Usage())
                total.asked += usage.asked
                total.admitted += usage.admitted
        return totals

    def _forget(self, before: float) -> None:
        while self._events and self._events[0][0] < before:
            _, organisation, asked, admitted = self._events.popleft()
            usage = self._own[organisation]
            usage.asked -= asked
            usage.admitted -= admitted
            if usage.asked < 1.0 and usage.admitted < 1.0:
                del self._own[organisation]
