"""Poison requests: requests that crash the upstreams they run on.

When an upstream crashes, every request that ran on it becomes a suspect. A suspect runs
again only after it won a claim in the log, so once in the whole fleet, and alone. If an
upstream crashes under it once more, the request is blocked on every router.

Load pattern: such a request comes again for as long as its caller likes, at any router;
a sound one that was only near two crashes comes again as well, perhaps from many
callers. A blocked request stays blocked while it comes, but for a few single trials,
ever further apart: an answer clears it everywhere. Upstreams may come back under their
ids, and the next copy may arrive at a router that stands by.
"""

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.outcome.crash_span import UNKNOWN_SPAN, CrashSpan, count_crashes
from chicorylead.outcome.poison_notice import PoisonNotice

__all__ = ["PoisonList", "fingerprint_of"]

N_CRASHES_TO_BLOCK = 2
MAX_SUSPECTS = 10_000
MAX_TRIALS = 3  # each may crash an upstream
TRIAL_AFTER_S = 60.0
TRIAL_FACTOR = 4  # each trial is so much later than the one before
# Peers forget a blocked request that keeps coming, unless they are told of it.
RENEWAL_TELL_S = 150.0
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
        crashes: Ids of crashes, and when they were.
        cleared: Ids of crashes that the request is no longer suspected of.
        expires_at: Event-loop time at which the entry expires, seconds.
        n_trials: Trials since the request was first blocked, of all routers.
        n_trials_cleared: Number of these up to the last one that was answered.
        trial_at: Event-loop time of the next trial, seconds.
        told_until: Event-loop time at which the entry expires at the peers, seconds.
    """

    crashes: dict[str, CrashSpan] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    expires_at: float = 0.0
    n_trials: int = 0
    n_trials_cleared: int = 0
    trial_at: float = 0.0
    told_until: float = 0.0

    @property
    def n_trials_of_block(self) -> int:
        """Return the number of trials since the last one that was answered."""
        return self.n_trials - self.n_trials_cleared

    def postpone_trial(self, now: float) -> None:
        """Let the next trial wait, the longer the more there were."""
        self.trial_at = now + TRIAL_AFTER_S * TRIAL_FACTOR**self.n_trials_of_block

    def uncleared(self) -> dict[UpstreamId, list[CrashSpan]]:
        """Return when each upstream crashed under the request."""
        spans: dict[UpstreamId, list[CrashSpan]] = defaultdict(list)
        for crash, span in self.crashes.items():
            if crash not in self.cleared:
                spans[_upstream_of(crash)].append(span)
        return spans

    def knows(self, upstream: UpstreamId, span: CrashSpan) -> bool:
        """Return whether a crash may be one that is known, also if it was cleared."""
        return span != UNKNOWN_SPAN and any(
            _upstream_of(crash) == upstream
            and known != UNKNOWN_SPAN
            and known.may_be_same(span)
            for crash, known in self.crashes.items()
        )


class PoisonList:
    """Suspect and blocked requests, merged from the notices of all routers.

    Args:
        rng: Source of crash ids.

    Attributes:
        on_news: Called when there is news for the peers.
    """

    def __init__(self, rng: Random) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._news: dict[str, None] = {}
        self._clock = asyncio.get_running_loop().time
        self._rng = rng
        self.on_news: Callable[[], None] = lambda: None

    def record_crash(
        self,
        fingerprint: str,
        upstream: UpstreamId,
        ttl_s: float,
        sent_at: float | None = None,
    ) -> PoisonNotice:
        """Record that an upstream crashed under a request; return the notice.

        Args:
            fingerprint: Digest of the request.
            upstream: The upstream.
            ttl_s: How long this is remembered, seconds.
            sent_at: Event-loop time at which the request was sent, seconds; without it,
                all crashes of one upstream count as one.
        """
        now = self._clock()
        span = UNKNOWN_SPAN if sent_at is None else CrashSpan(sent_at, now)
        suspect = self._find(fingerprint) or self._add(fingerprint)
        suspect.expires_at = max(suspect.expires_at, now + ttl_s)
        if not suspect.knows(upstream, span):
            number = f"{self._rng.getrandbits(32):08x}"
            suspect.crashes[f"{upstream}{CRASH_ID_SEPARATOR}{number}"] = span
            suspect.postpone_trial(now)
            self._tell(fingerprint)
        return self.notice(fingerprint)

    def merge(self, notice: PoisonNotice) -> bool:
        """Merge a notice; return whether it changed anything."""
        now = self._clock()
        suspect = self._find(notice.fingerprint) or self._add(notice.fingerprint)
        n_before = len(suspect.crashes) + len(suspect.cleared)
        spans = _decode_spans(notice, now)
        for crash, span in zip(notice.crashes, spans, strict=True):
            known = suspect.crashes.get(crash, span)
            suspect.crashes[crash] = known.earliest(span)
        suspect.cleared.update(notice.cleared)
        suspect.expires_at = max(suspect.expires_at, now + notice.ttl_s)
        suspect.told_until = max(suspect.told_until, now + notice.ttl_s)
        is_tried = notice.n_trials > suspect.n_trials
        suspect.n_trials = max(suspect.n_trials, notice.n_trials)
        suspect.n_trials_cleared = max(
            suspect.n_trials_cleared, notice.n_trials_cleared
        )
        has_news = len(suspect.crashes) + len(suspect.cleared) > n_before
        if has_news or is_tried:
            suspect.postpone_trial(now)
        return has_news

    def _find(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_at < self._clock():
            return None
        return suspect

    def _add(self, fingerprint: str) -> _Suspect:
        if len(self._suspects) >= MAX_SUSPECTS:
            oldest = next(iter(self._suspects))
            del self._suspects[oldest]
            self._news.pop(oldest, None)
        suspect = self._suspects[fingerprint] = _Suspect()
        return suspect

    # -- news for the peers

    def _tell(self, fingerprint: str) -> None:
        self._news[fingerprint] = None
        self.on_news()

    def pop_news(self, limit: int) -> list[PoisonNotice]:
        """Return the notices, up to a number, that the peers must learn now."""
        fingerprints = list(self._news)[:limit]
        for fingerprint in fingerprints:
            del self._news[fingerprint]
            suspect = self._suspects[fingerprint]
            suspect.told_until = suspect.expires_at
        if self._news:
            self.on_news()
        return [self.notice(fingerprint) for fingerprint in fingerprints]

    # -- blocked requests

    def renew(self, fingerprint: str, ttl_s: float) -> None:
        """Keep an entry, as its request has come again."""
        suspect = self._suspects.pop(fingerprint)
        suspect.expires_at = max(suspect.expires_at, self._clock() + ttl_s)
        self._suspects[fingerprint] = suspect
        if suspect.expires_at - suspect.told_until >= RENEWAL_TELL_S:
            self._tell(fingerprint)

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
        self._tell(fingerprint)

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
        self._tell(fingerprint)
        return self.notice(fingerprint)

    def notice(self, fingerprint: str) -> PoisonNotice:
        """Return a notice with all that is known about a fingerprint."""
        suspect = self._suspects[fingerprint]
        now = self._clock()
        crashes = sorted(suspect.crashes)
        return PoisonNotice(
            fingerprint,
            crashes,
            sorted(suspect.cleared),
            max(0.0, suspect.expires_at - now),
            suspect.n_trials,
            suspect.n_trials_cleared,
            [_encode_span(suspect.crashes[crash], now) for crash in crashes],
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether the request has a crash that is not cleared."""
        return self.n_crashes(fingerprint) > 0

    def is_blocked(self, fingerprint: str) -> bool:
        """Tell whether a request is refused because upstreams crashed under it."""
        return self.n_crashes(fingerprint) >= N_CRASHES_TO_BLOCK

    def n_crashes(self, fingerprint: str) -> int:
        """Return how many crashes under a request are not cleared, at least."""
        suspect = self._find(fingerprint)
        if suspect is None:
            return 0
        return sum(count_crashes(spans) for spans in suspect.uncleared().values())

    def crashed_upstreams(self, fingerprint: str) -> frozenset[UpstreamId]:
        """Return the upstreams that crashed under a request."""
        suspect = self._find(fingerprint)
        return frozenset() if suspect is None else frozenset(suspect.uncleared())

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


def _upstream_of(crash: str) -> UpstreamId:
    return UpstreamId(crash.partition(CRASH_ID_SEPARATOR)[0])


def _encode_span(span: CrashSpan, now: float) -> tuple[int, int] | None:
    if span == UNKNOWN_SPAN:
        return None
    return round(1000 * (now - span.sent_at)), round(1000 * (now - span.seen_at))


def _decode_spans(notice: PoisonNotice, now: float) -> list[CrashSpan]:
    if len(notice.spans_ms) != len(notice.crashes):
        return [UNKNOWN_SPAN] * len(notice.crashes)
    return [
        UNKNOWN_SPAN
        if span is None
        else CrashSpan(now - span[0] / 1000, now - span[1] / 1000)
        for span in notice.spans_ms
    ]
