"""Requests that crash the upstreams they run on.

When an upstream crashes, every request that ran on it is a suspect. A suspect runs
again only after it won a claim in the log, so once over the whole fleet, and alone.
If a second upstream falls, it is convicted and refused on every router.
"""

import asyncio
from dataclasses import dataclass, field
from hashlib import blake2b

from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.link.message import PoisonNotice

__all__ = ["PoisonList", "fingerprint_of"]

N_VICTIMS_TO_CONVICT = 2
MAX_SUSPECTS = 10_000


def fingerprint_of(service: ServiceName, operation: str, body: bytes) -> str:
    """Return what identifies a request, whoever sends it and however often."""
    material = f"{service}\x00{operation}\x00".encode() + body
    return blake2b(material, digest_size=12).hexdigest()


@dataclass(slots=True)
class _Suspect:
    victims: set[UpstreamId] = field(default_factory=set)
    until: float = 0.0


class PoisonList:
    """Suspects and convicts, merged from all routers."""

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._clock = asyncio.get_running_loop().time

    def note_crash(
        self, fingerprint: str, upstream: UpstreamId, ttl_s: float
    ) -> PoisonNotice:
        """Note that an upstream crashed under a request."""
        notice = PoisonNotice(fingerprint, [upstream], ttl_s)
        self.take(notice)
        return self.notice(fingerprint)

    def take(self, notice: PoisonNotice) -> bool:
        """Take in a notice; return whether it held news."""
        now = self._clock()
        suspect = self._suspects.get(notice.fingerprint)
        if suspect is None or suspect.until < now:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._suspects.pop(next(iter(self._suspects)))
            suspect = self._suspects[notice.fingerprint] = _Suspect()
        n_before = len(suspect.victims)
        suspect.victims.update(notice.victims)
        suspect.until = max(suspect.until, now + notice.ttl_s)
        return len(suspect.victims) > n_before

    def clear(self, fingerprint: str) -> None:
        """Drop a suspicion after the request ran to its end."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and len(suspect.victims) < N_VICTIMS_TO_CONVICT:
            del self._suspects[fingerprint]

    def notice(self, fingerprint: str) -> PoisonNotice:
        """Return all that is known of a fingerprint."""
        suspect = self._suspects[fingerprint]
        ttl_s = max(0.0, suspect.until - self._clock())
        return PoisonNotice(fingerprint, sorted(suspect.victims), ttl_s)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether one upstream crashed under a request."""
        return self._n_victims(fingerprint) > 0

    def is_convicted(self, fingerprint: str) -> bool:
        """Tell whether a request is refused."""
        return self._n_victims(fingerprint) >= N_VICTIMS_TO_CONVICT

    def victims(self, fingerprint: str) -> frozenset[UpstreamId]:
        """Return the upstreams that fell to a request."""
        suspect = self._suspects.get(fingerprint)
        return frozenset(suspect.victims) if suspect else frozenset()

    def convicts(self) -> list[str]:
        """Return all fingerprints that are refused."""
        return [f for f in self._suspects if self.is_convicted(f)]

    def _n_victims(self, fingerprint: str) -> int:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until < self._clock():
            return 0
        return len(suspect.victims)
