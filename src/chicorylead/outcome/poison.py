"""Poison requests: requests that crash the upstreams they run on.

When an upstream crashes, every request that ran on it becomes a suspect. A suspect runs
again only after it won a claim in the log, so once in the whole fleet, and alone. If a
second upstream crashes under it, the request is blocked on every router.

Load pattern: such a request comes again for as long as its caller likes, at any router;
a sound one that was only near two crashes comes again as well, perhaps from many
callers. A blocked request stays blocked while it comes, but for a few single trials,
ever further apart: an answer clears it everywhere.
"""

import asyncio
import math
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.outcome.poison_notice import PoisonNotice

__all__ = ["PoisonList", "fingerprint_of"]

N_CRASHED_TO_BLOCK = 2
MAX_SUSPECTS = 10_000
MAX_TRIALS = 3  # each may crash an upstream
TRIAL_AFTER_S = 60.0
TRIAL_FACTOR = 4  # each trial is so much later than the one before
CRASH_ID_SEPARATOR = "|"  # between the upstream and the random number in a crash id


def fingerprint_of(service: ServiceName, operation: str, body: bytes) -> str:
    """Return a digest that is the same for equal requests of any caller."""
    material = f"{service}\x00{operation}\x00".encode() + body
    return blake2b(material, digest_size=12).hexdigest()


@dataclass(slots=True)
class _Suspect:
    """Crashes attributed to one fingerprint.

    The sets and numbers only grow, so that notices can be merged in any order.

    Attributes:
        crashes: Ids of crashes.
        cleared: Ids of crashes that the request is no longer suspected of.
        expires_at: Event-loop time at which the entry expires, seconds.
        n_trials: Trials since the request was first blocked, of all routers.
        n_trials_cleared: Number of these up to the last one that was answered.
        trial_at: Event-loop time of the next trial, seconds.
    """

    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    expires_at: float = 0.0
    n_trials: int = 0
    n_trials_cleared: int = 0
    trial_at: float = 0.0

    @property
    def n_trials_of_block(self) -> int:
        """Return the number of trials since the last one that was answered."""
        return self.n_trials - self.n_trials_cleared

    def postpone_trial(self, now: float) -> None:
        """Let the next trial wait, the longer the more there were."""
        self.trial_at = now + TRIAL_AFTER_S * TRIAL_FACTOR**self.n_trials_of_block

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
        is_tried = notice.n_trials > suspect.n_trials
        suspect.n_trials = max(suspect.n_trials, notice.n_trials)
        suspect.n_trials_cleared = max(
            suspect.n_trials_cleared, notice.n_trials_cleared
        )
        has_news = len(suspect.crashes) + len(suspect.cleared) > n_before
        if has_news or is_tried:
            suspect.postpone_trial(now)
        return has_news

    # -- blocked requests

    def renew(self, fingerprint: str, ttl_s: float) -> None:
        """Keep an entry, as its request has come again."""
        suspect = self._suspects.pop(fingerprint)
        suspect.expires_at = max(suspect.expires_at, self._clock() + ttl_s)
        self._suspects[fingerprint] = suspect

    def trial_due_s(self, fingerprint: str) -> float:
        """Return the time until a blocked request may be tried, seconds; may be inf."""
        suspect = self._suspects[fingerprint]
        if suspect.n_trials_of_block >= MAX_TRIALS:
            return math.inf
        return max(0.0, suspect.trial_at - self._clock())

    def start_trial(self, fingerprint: str) -> None:
        """Record that a blocked request is tried; an answer clears it."""
        suspect = self._suspects[fingerprint]
        suspect.n_trials += 1
        suspect.postpone_trial(self._clock())

    # -- all suspects

    def clear(self, fingerprint: str) -> PoisonNotice | None:
        """Clear a suspect after its request completed.

        Returns:
            The notice for the other routers; None if the request is not a suspect, or
            is blocked and was not tried.
        """
        if not self.is_suspect(fingerprint):
            return None
        suspect = self._suspects[fingerprint]
        if self.is_blocked(fingerprint) and suspect.n_trials_of_block == 0:
            return None
        suspect.n_trials_cleared = suspect.n_trials
        suspect.cleared.update(suspect.crashes)
        return self.notice(fingerprint)

    def notice(self, fingerprint: str) -> PoisonNotice:
        """Return a notice with all that is known about a fingerprint."""
        suspect = self._suspects[fingerprint]
        ttl_s = max(0.0, suspect.expires_at - self._clock())
        return PoisonNotice(
            fingerprint,
            sorted(suspect.crashes),
            sorted(suspect.cleared),
            ttl_s,
            suspect.n_trials,
            suspect.n_trials_cleared,
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
        """Return the notices of up to `limit` entries, the newest first.

        Those that were cleared are among them, so that all routers learn of it.
        """
        now = self._clock()
        newest_first = list(reversed(self._suspects.items()))[:limit]
        return [self.notice(f) for f, s in newest_first if s.expires_at >= now]

    def blocked_fingerprints(self) -> list[str]:
        """Return the fingerprints of all blocked requests."""
        return [f for f in self._suspects if self.is_blocked(f)]
