"""Demand and admitted amount of each organisation, against its max-min fair share.

Load pattern: one organisation sends many times its usual amount. Its demand beyond
its share is refused first, so that the others are not affected. Engines are one pool,
whose tokens are shared; the upstreams of each plain service are another.

Shares divide the total amount admitted. That total is the available capacity whatever
the prefix caches hold, however many engines are lost, and on each side of a partition;
and at least one organisation with refused requests is always at or below its share.
A configured throughput has neither property.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from chicorylead.ids import OrganisationId, PoolName

__all__ = [
    "NO_FLEET_USAGE",
    "FleetUsage",
    "FairShare",
    "ShareKey",
    "ShareLevel",
    "Usage",
    "max_min_level",
]


# Admitted fraction of the demand above which refusals come from a burst, not from a
# lack of capacity.
ALL_ADMITTED_FRACTION = 0.9
MAX_SUMMARY_AGE_S = 0.02  # a two-hundredth of the usual window


class ShareKey(NamedTuple):
    """An organisation at one pool of upstreams."""

    pool: PoolName
    organisation: OrganisationId


@dataclass(slots=True)
class Usage:
    """Demand and admitted amount of one organisation at a pool within the window.

    Amounts are tokens at engines, and requests at plain services.

    Attributes:
        asked: Amount of all its requests.
        admitted: Amount of the requests that were admitted.
        n_events: Recorded events that make up these amounts.
    """

    asked: float = 0.0
    admitted: float = 0.0
    n_events: int = 0


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """Usage of an organisation within the window at all routers, and its share.

    Attributes:
        asked: Amount of all its requests.
        admitted: Amount of the requests that were admitted.
        level: Max-min level: amount up to which every demand can be met.
        usage_age_s: Age of the oldest peer usage in these figures, seconds.
    """

    asked: float
    admitted: float
    level: float
    usage_age_s: float

    @property
    def share_ratio(self) -> float:
        """Return admitted amount / level; 0 while all demand can be met."""
        return self.admitted / max(self.level, 1.0)


NO_FLEET_USAGE = FleetUsage(0.0, 0.0, float("inf"), 0.0)


@dataclass(frozen=True, slots=True)
class ShareLevel:
    """Usage of all organisations at a pool, and the resulting level.

    Attributes:
        pool: The pool.
        asked: Amount of all requests.
        admitted: Amount of the requests that were admitted.
        level: Max-min level: amount up to which every demand can be met.
        n_organisations: Organisations with requests in the window.
        n_peers: Peers whose usage is counted.
        usage_age_s: Age of the oldest usage of a peer, seconds.
    """

    pool: PoolName
    asked: float
    admitted: float
    level: float
    n_organisations: int
    n_peers: int
    usage_age_s: float


class _PeerUsage:
    """Usage reported by one incarnation of a peer.

    Attributes:
        usage: By organisation and pool, within the window up to `received_at`.
        received_at: Event-loop time of the last report, seconds.
        is_lost: Whether the peer is no longer heard from.
    """

    def __init__(self) -> None:
        self.usage: dict[ShareKey, Usage] = {}
        self.received_at = 0.0
        self.is_lost = False

    def weight(self, now: float, window_s: float) -> float:
        """Return the fraction of the usage that is still within the window."""
        if not self.is_lost:
            return 1.0
        return max(0.0, 1.0 - (now - self.received_at) / window_s)


def max_min_level(demands: Mapping[object, float], capacity: float) -> float:
    """Return the max-min fair level; infinite if all demands can be met.

    Args:
        demands: Demand of each party.
        capacity: Total amount to divide.
    """
    remaining = capacity
    amounts = sorted(demands.values())
    for n_met, amount in enumerate(amounts):
        level = remaining / (len(amounts) - n_met)
        if amount > level:
            return level
        remaining -= amount
    return float("inf")


class _PoolSummary:
    """Usage of all organisations at a pool, and the resulting level.

    Attributes:
        totals: Usage of each organisation at all routers.
        asked: Amount of all requests.
        admitted: Amount of the requests that were admitted.
        level: Max-min level: amount up to which every demand can be met.
    """

    def __init__(self, totals: dict[OrganisationId, Usage]) -> None:
        self.totals = totals
        self.asked = asked = sum(usage.asked for usage in totals.values())
        self.admitted = admitted = sum(usage.admitted for usage in totals.values())
        # A retried request counts as asked once and may be admitted in a later window.
        demands = {
            name: max(usage.asked, usage.admitted) for name, usage in totals.items()
        }
        is_all_admitted = admitted > ALL_ADMITTED_FRACTION * asked
        self.level = max_min_level(
            demands, float("inf") if is_all_admitted else admitted
        )


class FairShare:
    """Usage of this router and of its peers over a sliding window.

    Args:
        window_s: Length of the window, seconds.
        clock: Event-loop time, seconds.
    """

    def __init__(
        self,
        window_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._window_s = window_s
        self._clock = clock
        self._events: deque[tuple[float, ShareKey, float, float]] = deque()
        self._own: dict[ShareKey, Usage] = {}
        self._peers: dict[tuple[str, int], _PeerUsage] = {}
        self._changed: set[ShareKey] = set()
        self._pools: dict[PoolName, _PoolSummary] = {}
        self._summarised_at = -MAX_SUMMARY_AGE_S

    def record(self, key: ShareKey, asked: float, admitted: float) -> None:
        """Record an amount that was asked for or admitted at this router."""
        now = self._clock()
        self._events.append((now, key, asked, admitted))
        usage = self._own.setdefault(key, Usage())
        usage.asked += asked
        usage.admitted += admitted
        usage.n_events += 1
        self._changed.add(key)
        self._expire(now - self._window_s)

    def set_peer(
        self, peer: str, incarnation: int, usage: dict[ShareKey, Usage]
    ) -> None:
        """Replace the usage of a peer; that of earlier incarnations expires."""
        if (peer, incarnation) not in self._peers:
            self.mark_peer_lost(peer)
        self._touch_peer(peer, incarnation).usage = usage

    def merge_peer(
        self, peer: str, incarnation: int, usage: dict[ShareKey, Usage]
    ) -> None:
        """Merge the changed usage of some organisations at a peer."""
        if usage:
            peer_usage = self._touch_peer(peer, incarnation)
            peer_usage.usage = {**peer_usage.usage, **usage}

    def mark_peer_lost(self, peer: str) -> None:
        """Mark a peer as lost.

        Upstreams served what it admitted, so its usage counts, with a decreasing
        weight, until the window since its last report has passed.
        """
        for (name, _), peer_usage in self._peers.items():
            if name == peer:
                peer_usage.is_lost = True

    def _touch_peer(self, peer: str, incarnation: int) -> _PeerUsage:
        peer_usage = self._peers.setdefault((peer, incarnation), _PeerUsage())
        peer_usage.received_at = self._clock()
        peer_usage.is_lost = False
        return peer_usage

    def pop_changed(self) -> dict[ShareKey, Usage]:
        """Return the usage at this router that changed since the last call."""
        own = self.own()
        changed = {key: own[key] for key in self._changed if key in own}
        self._changed.clear()
        return changed

    def own(self) -> dict[ShareKey, Usage]:
        """Return the usage at this router."""
        self._expire(self._clock() - self._window_s)
        return self._own

    def fleet_usage(self, key: ShareKey) -> FleetUsage:
        """Return the usage of an organisation at a pool, and the level."""
        summary = self._summarise().get(key.pool)
        usage = summary.totals.get(key.organisation) if summary is not None else None
        if usage is None:
            return NO_FLEET_USAGE
        return FleetUsage(
            usage.asked, usage.admitted, summary.level, self._usage_age_s()
        )

    def levels(self) -> list[ShareLevel]:
        """Return the usage and the level of each pool."""
        n_peers = sum(not peer_usage.is_lost for peer_usage in self._peers.values())
        return [
            ShareLevel(
                pool,
                summary.asked,
                summary.admitted,
                summary.level,
                len(summary.totals),
                n_peers,
                self._usage_age_s(),
            )
            for pool, summary in self._summarise().items()
        ]

    def _usage_age_s(self) -> float:
        now = self._clock()
        live = (usage for usage in self._peers.values() if not usage.is_lost)
        return max((now - usage.received_at for usage in live), default=0.0)

    def _summarise(self) -> dict[PoolName, _PoolSummary]:
        now = self._clock()
        if now - self._summarised_at >= MAX_SUMMARY_AGE_S:
            by_pool: dict[PoolName, dict[OrganisationId, Usage]] = {}
            for key, usage in self._totals().items():
                by_pool.setdefault(key.pool, {})[key.organisation] = usage
            self._pools = {
                pool: _PoolSummary(totals) for pool, totals in by_pool.items()
            }
            self._summarised_at = now
        return self._pools

    def _totals(self) -> dict[ShareKey, Usage]:
        now = self._clock()
        sources = [(1.0, self.own())]
        for peer, peer_usage in list(self._peers.items()):
            weight = peer_usage.weight(now, self._window_s)
            if weight == 0.0:
                del self._peers[peer]
            sources.append((weight, peer_usage.usage))
        totals: dict[ShareKey, Usage] = {}
        for weight, source in sources:
            for key, usage in source.items():
                total = totals.setdefault(key, Usage())
                total.asked += weight * usage.asked
                total.admitted += weight * usage.admitted
        return totals

    def _expire(self, before: float) -> None:
        while self._events and self._events[0][0] < before:
            _, key, asked, admitted = self._events.popleft()
            usage = self._own[key]
            usage.asked -= asked
            usage.admitted -= admitted
            usage.n_events -= 1
            if usage.n_events == 0:
                del self._own[key]
