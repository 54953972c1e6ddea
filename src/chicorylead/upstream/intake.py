"""The work that an upstream takes, from its own statements in answers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from chicorylead.upstream.notice import Notice
from chicorylead.upstream.rate_limit import RateLimit
from chicorylead.upstream.send_counts import SendCounts
from chicorylead.upstream.warm_up import WarmUp

__all__ = ["Intake", "IntakeChange", "Removal"]

# A limit that follows the load differs a little from answer to answer.
SAME_LIMIT_RATIO = 0.1


@dataclass(frozen=True, slots=True)
class IntakeChange:
    """Which statements of an answer are news.

    Attributes:
        limit: Whether there is a limit now, or none any more, or another one.
        leaving: Whether the upstream has begun to leave.
        pause: Whether it wants no requests for some time.
    """

    limit: bool = False
    leaving: bool = False
    pause: bool = False

    def __bool__(self) -> bool:
        """Return whether anything is news."""
        return self.limit or self.leaving or self.pause


class Removal(NamedTuple):
    """The removal of an incarnation's entry from the registry.

    Attributes:
        era: History of the store in which it was removed.
        sequence: Sequence number of its last entry.
    """

    era: int
    sequence: int


class Intake:
    """What one incarnation of an upstream takes.

    Answers overtake each other. The newest limit is the one whose answer arrived last;
    an answer without a limit ends it only if its request was sent after the limit was
    named.

    Args:
        sends: Requests that the upstream got from this router and its peers.
        clock: Event-loop time, seconds.

    Attributes:
        sends: Requests that the upstream got from this router and its peers.
        warm_up: Whether it is cold.
        limit: Its load from all routers, against what it takes; None without a limit.
        named_at: Event-loop time at which a limit was named last, seconds.
        is_leaving: Whether it will stop soon; it never takes that back.
        paused_until: Event-loop time until which it wants no requests from this
            router, seconds.
        avoided_until: The same, as it told a peer.
        removal: The last removal of its entry; None if it was never removed.
    """

    def __init__(self, sends: SendCounts, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.sends = sends
        self.warm_up = WarmUp()
        self.limit: RateLimit | None = None
        self.named_at = float("-inf")
        self.is_leaving = False
        self.paused_until = float("-inf")
        self.avoided_until = float("-inf")
        self.removal: Removal | None = None
        self._ended_at = float("-inf")

    @property
    def limit_per_s(self) -> float | None:
        """Return the requests a second that it takes from all routers together."""
        return None if self.limit is None else self.limit.per_s

    # -- sends

    def record_sent(self) -> None:
        """Record a send of this router."""
        now = self._clock()
        self.sends.record_own(now)
        if self.limit is not None:
            self.limit.spend(1, now)
        if self.warm_up.is_cold(now):
            self.sends.permits.take(now)

    def give_back_permit(self) -> None:
        """Record that a request was not sent, as no connection could be opened."""
        self.sends.permits.give_back()

    def use_permit(self) -> bool:
        """Return whether a request may be sent now, after connecting.

        One that was admitted before the upstream became cold has no permit.
        """
        now = self._clock()
        return not self.warm_up.is_cold(now) or self.sends.permits.use(now)

    def record_peer_sent(self, peer: str, n_sent: int) -> None:
        """Record the number of requests that a peer has sent in total."""
        now = self._clock()
        n_new = self.sends.set_peer(peer, n_sent, now)
        if n_new and self.limit is not None:
            self.limit.spend(n_new, now)

    # -- statements

    def apply(self, notice: Notice, sent_at: float, answered_at: float) -> IntakeChange:
        """Apply the statements of an answer to this router.

        Args:
            notice: The statements.
            sent_at: Event-loop time at which the request was sent, seconds.
            answered_at: Event-loop time at which the answer began, seconds.
        """
        paused_until = answered_at + notice.pause_s
        is_pause = notice.pause_s > 0 and paused_until > self.paused_until
        if is_pause:
            self.paused_until = paused_until
        return self._apply_for_all(notice, sent_at, answered_at, is_pause)

    def apply_from_peer(
        self, notice: Notice, sent_at: float, answered_at: float
    ) -> IntakeChange:
        """Apply the statements of an answer to a peer.

        A pause is meant for the peer. This router only prefers other upstreams.
        """
        avoided_until = answered_at + notice.pause_s
        is_pause = notice.pause_s > 0 and avoided_until > self.avoided_until
        if is_pause:
            self.avoided_until = avoided_until
        return self._apply_for_all(notice, sent_at, answered_at, is_pause)

    def _apply_for_all(
        self, notice: Notice, sent_at: float, answered_at: float, is_pause: bool
    ) -> IntakeChange:
        """Apply what holds for all routers."""
        is_leaving = notice.is_leaving and not self.is_leaving
        self.is_leaving |= notice.is_leaving
        is_limit = self._apply_limit(notice, sent_at, answered_at)
        return IntakeChange(is_limit, is_leaving, is_pause)

    def _apply_limit(self, notice: Notice, sent_at: float, answered_at: float) -> bool:
        if notice.limit_per_s is not None:
            return self._name_limit(notice.limit_per_s, answered_at)
        return notice.has_limit_statement and self._end_limit(sent_at, answered_at)

    def _name_limit(self, per_s: float, answered_at: float) -> bool:
        if answered_at <= max(self.named_at, self._ended_at):
            return False
        now = self._clock()
        n_recent = self.sends.n_recent(now)
        self.named_at = answered_at
        if self.limit is None:
            self.limit = RateLimit(per_s, n_recent, now)
            return True
        previous = self.limit.per_s
        self.limit.set_rate(per_s, n_recent, now)
        return abs(self.limit.per_s - previous) > SAME_LIMIT_RATIO * previous

    def _end_limit(self, sent_at: float, answered_at: float) -> bool:
        if self.limit is None or sent_at <= self.named_at:
            return False
        self.limit = None
        self._ended_at = answered_at
        return True
