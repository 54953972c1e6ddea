"""Poison requests: requests that crash the upstreams they run on.

When an upstream crashes, every request that ran on it becomes a suspect. A suspect runs
again only after it won a claim in the log, so once in the whole fleet, and alone. If a
second upstream crashes under it, the request is blocked on every router.
"""

import asyncio
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.outcome.poison_notice import PoisonNotice

__all__ = ["PoisonList", "fingerprint_of"]

N_CRASHED_TO_BLOCK = 2
MAX_SUSPECTS = 10_000
CRASH_ID_SEPARATOR = "|"  # between the upstream and the random number in a crash id


def fingerprint_of(service: ServiceName, operation: str, body: bytes) -> str:
    """Return a digest that is the same for equal requests of any caller."""
    material = f"{service}\x00{operation}\x00".encode() + body
    return blake2b(material, digest_size=12).hexdigest()


@dataclass(slots=True)
class _Suspect:
    """Crashes attributed to one fingerprint.

    Both sets only grow, so that notices can be merged in any order.

    Attributes:
        crashes: Ids of crashes.
        cleared: Ids of crashes that the request is no longer suspected of.
        expires_at: Event-loop time at which the entry expires, seconds.
    """

    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    expires_at: float = 0.0

    @property
    def crashed_upstreams(self) -> frozenset[UpstreamId]:
        uncleared = self.crashes - self.cleared
        return frozenset(
            UpstreamId(c.partition(CRASH_ID_SEPARATOR)[0]) for c in uncleared
        )


class PoisonList:
    """Suspect and blocked requests, merged from the notices of all routers.

    Args:
        rng: Source of crash ids.
    """

    def __init__(self, rng: Random) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._clock = asyncio.get_running_loop().time
        self._rng = rng

    def record_crash(
        self, fingerprint: str, upstream: UpstreamId, ttl_s: float
    ) -> PoisonNotice:
        """Record that an upstream crashed under a request; return the notice."""
        crash = f"{upstream}{CRASH_ID_SEPARATOR}{self._rng.getrandbits(32):08x}"
        self.merge(PoisonNotice(fingerprint, [crash], [], ttl_s))
        return self.notice(fingerprint)

    def merge(self, notice: PoisonNotice) -> bool:
        """Merge a notice; return whether it changed anything."""
        now = self._clock()
        suspect = self._suspects.get(notice.fingerprint)
        if suspect is None or suspect.expires_at < now:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._suspects.pop(next(iter(self._suspects)))
            suspect = self._suspects[notice.fingerprint] = _Suspect()
        n_before = len(suspect.crashes) + len(suspect.cleared)
        suspect.crashes.update(notice.crashes)
        suspect.cleared.update(notice.cleared)
        suspect.expires_at = max(suspect.expires_at, now + notice.ttl_s)
        return len(suspect.crashes) + len(suspect.cleared) > n_before

    def clear(self, fingerprint: str) -> PoisonNotice | None:
        """Clear a suspect after its request completed.

        Returns:
            The notice for the other routers; None if the request is not a suspect or
            is blocked.
        """
        if not self.is_suspect(fingerprint) or self.is_blocked(fingerprint):
            return None
        suspect = self._suspects[fingerprint]
        suspect.cleared.update(suspect.crashes)
        return self.notice(fingerprint)

    def notice(self, fingerprint: str) -> PoisonNotice:
        """Return a notice with all that is known about a fingerprint."""
        suspect = self._suspects[fingerprint]
        ttl_s = max(0.0, suspect.expires_at - self._clock())
        return PoisonNotice(
            fingerprint, sorted(suspect.crashes), sorted(suspect.cleared), ttl_s
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether the request has a crash that is not cleared."""
        return bool(self.crashed_upstreams(fingerprint))

    def is_blocked(self, fingerprint: str) -> bool:
        """Tell whether a request is refused because it crashed several upstreams."""
        return len(self.crashed_upstreams(fingerprint)) >= N_CRASHED_TO_BLOCK

    def crashed_upstreams(self, fingerprint: str) -> frozenset[UpstreamId]:
        """Return the upstreams that crashed under a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_at < self._clock():
            return frozenset()
        return suspect.crashed_upstreams

    def notices(self, limit: int) -> list[PoisonNotice]:
        """Return the notices of up to `limit` suspects, the newest entry first."""
        newest_first = list(reversed(self._suspects))[:limit]
        return [self.notice(f) for f in newest_first if self.is_suspect(f)]

    def blocked_fingerprints(self) -> list[str]:
        """Return the fingerprints of all blocked requests."""
        return [f for f in self._suspects if self.is_blocked(f)]
