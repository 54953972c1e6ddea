"""When an upstream is cold, and the permits that requests to it have taken.

Load pattern: a third of the engines of a service start again at peak load. A cold
upstream tolerates a few requests a second and crashes at a rate well above that, which
makes it cold again.

Whether an upstream is cold is known from its registry entry, from health responses and
from connections that were refused or broken before new ones were accepted. Entries are
over a second old, so that one cannot end what was observed just before it came.
"""

from collections import deque
from dataclasses import dataclass
from math import inf

__all__ = ["NEVER_COLD", "ColdRule", "PermitWindow", "WarmUp"]

# Upstreams write an entry every 1.2 s, and it arrives some time later.
ENTRY_AGE_S = 1.5
# Several times what connecting takes; a permit not used by then was never sent.
UNSENT_MAX_S = 2.0
SAME_REPORT_S = 0.05  # reports are repeated, and their ages vary with the network
MIN_WINDOW_S = 1.0
# A crashed upstream is away for longer; one that accepts connections sooner after some
# of its connections broke has only lost these.
MIN_RESTART_S = 0.5


@dataclass(frozen=True, slots=True)
class ColdRule:
    """What the configuration says of cold upstreams of a service.

    Attributes:
        start_s: Time for which an upstream is cold after its start, seconds.
        per_s: Requests a second that it tolerates; 0 if none is ever cold.
    """

    start_s: float = 0.0
    per_s: float = 0.0


NEVER_COLD = ColdRule()


class PermitWindow:
    """Permits that requests of this router took for one upstream.

    A permit counts from the decision to send until a whole window after the send, as
    connecting delays some sends and would add them to the next window.
    """

    def __init__(self) -> None:
        self._taken: deque[float] = deque()
        self._sent: deque[float] = deque()
        self._freed_at = -inf

    def take(self, now: float) -> None:
        """Take a permit for a request that is about to be sent."""
        self._taken.append(now)

    def give_back(self) -> None:
        """Give back a permit of a request that was not sent.

        Permits are alike, so that it may be one that another request took.
        """
        if self._taken:
            self._taken.pop()

    def use(self, now: float) -> bool:
        """Record a send; return whether a permit was taken for it."""
        self._expire(now)
        if not self._taken:
            return False
        self._taken.popleft()
        self._sent.append(now)
        return True

    def wait_s(self, n_permits: int, window_s: float, now: float) -> float:
        """Return the time until the next permit is free, seconds.

        It is negative if one has been free for so long.

        Args:
            n_permits: Permits of this router in any window; infinite wait if 0.
            window_s: Length of the window, seconds.
            now: Event-loop time, seconds.
        """
        self._expire(now, window_s)
        if n_permits <= 0:
            return inf
        n_excess = len(self._taken) + len(self._sent) - n_permits
        if n_excess < 0:
            return min(0.0, self._freed_at - now)
        if n_excess >= len(self._sent):
            return window_s
        return max(0.0, self._sent[n_excess] + window_s - now)

    def _expire(self, now: float, window_s: float = inf) -> None:
        while self._taken and now - self._taken[0] > UNSENT_MAX_S:
            self._taken.popleft()
        while self._sent and now - self._sent[0] >= window_s:
            self._freed_at = self._sent.popleft() + window_s


class WarmUp:
    """Whether one incarnation of an upstream is cold.

    Attributes:
        rule: What the configuration says of its service.
        until: Event-loop time until which it is cold, seconds.
        source: What said so last: `entry`, `health`, `refused` or `broken` connections,
            `peer`, or a `restart` whose entry states no time.
        is_listed: Whether its entry was applied before.
    """

    def __init__(self) -> None:
        self.rule = NEVER_COLD
        self.until = -inf
        self.source = ""
        self.is_listed = False
        self._down = ""
        self._down_at = -inf
        self._broken_since = -inf
        self._sequence = -1
        self._fresh_at = -inf

    def is_cold(self, now: float) -> bool:
        """Return whether it is cold, or may be once it accepts connections again."""
        return self.rule.per_s > 0 and (bool(self._down) or now < self.until)

    def left_s(self, now: float) -> float:
        """Return how long it stays cold, seconds."""
        return max(0.0, self.until - now)

    def apply_entry(self, sequence: int, left_s: float | None, now: float) -> None:
        """Apply a newer entry.

        The time counts from the arrival, so that an old entry makes an upstream cold
        for too long rather than too short a time. An entry without a time only shows
        that the upstream runs.
        """
        if sequence <= self._sequence:
            return
        self._sequence = sequence
        until = now + (left_s or 0.0)
        is_older = now - max(self._fresh_at, self._down_at) < ENTRY_AGE_S
        if is_older and (left_s is None or until <= self.until):
            return
        if left_s is None:
            self.record_accepted(now)
            return
        self.until, self.source, self._down = until, "entry", ""

    def apply_health(self, left_s: float, now: float) -> None:
        """Apply a health response."""
        self._set(now + left_s, now, "health")

    def apply_from_peer(self, left_s: float, age_s: float, now: float) -> bool:
        """Apply what a peer has observed; return whether it is news.

        Args:
            left_s: Time for which the upstream stays cold, seconds.
            age_s: Time since the peer observed it, seconds.
            now: Event-loop time, seconds.
        """
        if now - age_s <= self._fresh_at + SAME_REPORT_S:
            return False
        self._set(now + left_s, now - age_s, "peer")
        return True

    def start(self, now: float, source: str) -> None:
        """Record a start that is not described otherwise."""
        self._set(now + self.rule.start_s, now, source)

    def record_down(self, reason: str, now: float) -> None:
        """Record that it refuses connections (`refused`), or broke all (`broken`)."""
        self._down_at = now
        if not self._down:
            self._broken_since = now
        if self._down != "refused":
            self._down = reason

    def record_accepted(self, now: float) -> bool:
        """Record an accepted connection; return whether that shows a start."""
        reason, self._down = self._down, ""
        if not reason or self.rule.per_s <= 0:
            return False
        if reason == "broken" and now - self._broken_since < MIN_RESTART_S:
            return False
        self.start(now, reason)
        return True

    def _set(self, until: float, observed_at: float, source: str) -> None:
        self.until, self.source = until, source
        self._down = ""
        self._fresh_at = observed_at
