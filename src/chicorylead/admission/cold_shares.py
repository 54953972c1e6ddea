"""Divides what a cold upstream tolerates among the routers.

Load pattern: at peak load, all routers have requests for engines that have just started
and that crash above a few requests a second. Reports of sends come too late for a bound
that holds in every second, so that each router needs a fixed part of its own.

Each router with requests for a service claims it several times a second: at first to
all live peers, then to those with claims and at times to all. The first few claimants,
in the order of their rendezvous hashes with an upstream, hold its permits and divide
them exactly. A claim holds for some seconds after it was last heard, and can be used
only after it was sent for some seconds, which is longer than it takes to notice that a
router is lost. So no two routers use the same part while their views differ, and parts
of routers without requests go to others.

Failure pattern: a network partition. Each router scales the rate by the fraction of the
recently known routers that it hears. A fraction that rises counts some seconds later, a
lower one at once; a router that has just started, or whose process was stopped, begins
at zero.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import ceil, floor, inf, isfinite

from chicorylead.ids import RouterId, ServiceName
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.warm_up import MIN_WINDOW_S, ColdRule
from chicorylead.vm.heard_routers import HeardRouters
from chicorylead.vm.rendezvous import hash64, mix

__all__ = ["ColdBounds", "ColdShares", "Part"]

# Longer than it takes to notice the loss of a router, and than four lost claims.
SETTLE_S = 2.0
CLAIM_HOLD_S = 3.0  # longer than `SETTLE_S`, so that views agree before parts change
DEMAND_HOLD_S = 2.0  # after its last request a router keeps its claim
MAX_PAUSE_S = 1.0  # a process that did not run for so long may be regarded as lost
MAX_HOLDERS = 4  # each with a few permits, and the loss of one costs a quarter


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """Bound on the requests that a cold upstream receives in any second.

    Attributes:
        overshoot: Allowed ratio to the rate that the upstream tolerates.
        slack: Requests allowed in addition.
    """

    overshoot: float = 1.5
    slack: float = 5.0

    def most(self, per_s: float) -> float:
        """Return the bound for a rate, requests."""
        return self.overshoot * per_s + self.slack


@dataclass(frozen=True, slots=True)
class Part:
    """The part of one router in what an upstream tolerates.

    Attributes:
        n_permits: Requests in any window.
        window_s: Length of the window, seconds; at least one second.
    """

    n_permits: int
    window_s: float


NO_PART = Part(0, MIN_WINDOW_S)


@dataclass(slots=True)
class _Claim:
    """This router's claim to a service.

    Attributes:
        since: Event-loop time at which it was first sent, seconds.
        asked_at: Event-loop time of the last request, seconds.
    """

    since: float
    asked_at: float


@dataclass(slots=True)
class _PeerClaim:
    """A peer's claim to a service.

    Attributes:
        router_hash: Hash of the peer's id.
        heard_at: Event-loop time at which it was last heard, seconds.
    """

    router_hash: int
    heard_at: float


class ColdShares:
    """Decides when this router may send to a cold upstream.

    Args:
        own: Id of this router.
        heard: Returns how many routers are known.
        bounds: Bound on what cold upstreams receive.
        clock: Event-loop time, seconds.
    """

    def __init__(
        self,
        own: RouterId,
        heard: Callable[[], HeardRouters],
        bounds: ColdBounds,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._own_hash = hash64(own)
        self._heard = heard
        self._bounds = bounds
        self._clock = clock
        self._claims: dict[ServiceName, _Claim] = {}
        self._peer_claims: dict[ServiceName, dict[str, _PeerClaim]] = {}
        self._parts: dict[tuple[ServiceName, int, ColdRule], Part] = {}
        self._fractions: deque[tuple[float, float]] = deque([(clock(), 0.0)])
        self._told_at = clock()

    # -- claims

    def record_demand(self, service: ServiceName) -> None:
        """Record a request for a service whose upstreams may be cold."""
        claim = self._claims.get(service)
        if claim is not None:
            claim.asked_at = self._clock()
        else:
            # Counts as sent with the next claims, at the next heartbeats.
            self._claims[service] = _Claim(inf, self._clock())

    def make_claims(self, is_broadcast: bool = True) -> list[str]:
        """Return the services that this router claims; called just before sending.

        Args:
            is_broadcast: Whether they are sent to all live peers. A claim counts from
                then on.
        """
        now = self._clock()
        self.refresh()
        for service, claim in list(self._claims.items()):
            if now - claim.asked_at > DEMAND_HOLD_S:
                del self._claims[service]
            elif is_broadcast:
                claim.since = min(claim.since, now)
        return list(self._claims)

    def claimants(self) -> set[str]:
        """Return the peers that claim any service, which hear each claim."""
        return {peer for claims in self._peer_claims.values() for peer in claims}

    def is_settling(self) -> bool:
        """Return whether a claim of this router is new to its peers."""
        now = self._clock()
        return any(now - claim.since < SETTLE_S for claim in self._claims.values())

    def refresh(self) -> None:
        """Take note of the routers and claims heard; called at each heartbeat."""
        now = self._clock()
        self._parts.clear()
        if not self._claims:
            self._told_at = now
            return
        self._drop_old_claims(now)
        if now - self._told_at > MAX_PAUSE_S:
            self._fractions.append((now, 0.0))
            for claim in self._claims.values():
                claim.since = inf
        self._told_at = now
        self._fractions.append((now, self._heard().fraction))
        while len(self._fractions) > 1 and self._fractions[1][0] <= now - SETTLE_S:
            self._fractions.popleft()

    def apply_claims(self, peer: str, services: Sequence[str]) -> None:
        """Record the claims of a peer."""
        now = self._clock()
        for service in services:
            claims = self._peer_claims.setdefault(ServiceName(service), {})
            known = claims.get(peer)
            if known is not None:
                known.heard_at = now
            else:
                claims[peer] = _PeerClaim(hash64(peer), now)

    def _drop_old_claims(self, now: float) -> None:
        for claims in self._peer_claims.values():
            old = [p for p, c in claims.items() if now - c.heard_at > CLAIM_HOLD_S]
            for peer in old:
                del claims[peer]

    # -- permits

    def wait_s(self, upstream: LiveUpstream) -> float:
        """Return the time until a request may be sent to a cold upstream, seconds.

        It is negative if one could have been sent so long ago, and infinite if this
        router has no part.
        """
        service = upstream.entry.service
        part = self.part(service, upstream.id_hash, upstream.intake.warm_up.rule)
        return upstream.intake.sends.permits.wait_s(
            part.n_permits, part.window_s, self._clock()
        )

    def expected_s(self, upstream: LiveUpstream) -> float:
        """Return the time until some router is expected to have a permit, seconds."""
        wait_s = self.wait_s(upstream)
        if isfinite(wait_s):
            return max(0.0, wait_s)
        claim = self._claims.get(upstream.entry.service)
        settles_at = SETTLE_S + (claim.since if claim is not None else inf)
        settle_s = min(max(0.0, settles_at - self._clock()), SETTLE_S)
        return max(settle_s, 1.0 / upstream.intake.warm_up.rule.per_s)

    def is_first(self, upstream: LiveUpstream) -> bool:
        """Return whether this router is the first of the claimants of an upstream."""
        service = upstream.entry.service
        return (
            service in self._claims and self._position(service, upstream.id_hash) == 0
        )

    def fraction(self) -> float:
        """Return the fraction of the rate that may be used."""
        if self._clock() - self._told_at > MAX_PAUSE_S:
            return 0.0
        return min(fraction for _, fraction in self._fractions)

    def part(self, service: ServiceName, upstream_hash: int, rule: ColdRule) -> Part:
        """Return this router's part in what an upstream tolerates."""
        claim = self._claims.get(service)
        fraction = self.fraction()
        if fraction == 0.0 or claim is None:
            return NO_PART
        if self._clock() - claim.since < SETTLE_S:
            return NO_PART
        key = service, upstream_hash, rule
        part = self._parts.get(key)
        if part is None:
            part = self._parts[key] = self._divide(*key, fraction)
        return part

    def _divide(
        self, service: ServiceName, upstream_hash: int, rule: ColdRule, fraction: float
    ) -> Part:
        per_s = rule.per_s * fraction
        # The bound is divided as well, as small rates are rounded up on every side.
        n_permits = min(ceil(per_s), floor(self._bounds.most(rule.per_s) * fraction))
        if n_permits <= 0:
            return NO_PART
        window_s = max(MIN_WINDOW_S, n_permits / per_s)
        position = self._position(service, upstream_hash)
        n_claimants = 1 + len(self._peer_claims.get(service, ()))
        n_holders = min(MAX_HOLDERS, n_permits, n_claimants)
        if position >= n_holders:
            return NO_PART
        each, rest = divmod(n_permits, n_holders)
        return Part(each + (position < rest), window_s)

    def _position(self, service: ServiceName, upstream_hash: int) -> int:
        """Return the number of claimants that come before this router."""
        own = mix(self._own_hash, upstream_hash), self._own
        return sum(
            (mix(claim.router_hash, upstream_hash), peer) < own
            for peer, claim in self._peer_claims.get(service, {}).items()
        )
