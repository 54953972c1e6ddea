"""When an upstream crashed under a request, and whether two reports are of one crash.

An upstream may come back under its id, and several routers may report one crash. Two
reports are of different crashes only if the request was sent for the second one after
the upstream had time to start again.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["UNKNOWN_SPAN", "CrashSpan", "count_crashes"]

RESTART_S = 0.5  # no upstream is back sooner; several times the delay between zones


class CrashSpan(NamedTuple):
    """The time within which an upstream crashed, event-loop times, seconds.

    Attributes:
        sent_at: When the request that broke was sent.
        seen_at: When the crash was noticed.
    """

    sent_at: float
    seen_at: float

    def may_be_same(self, other: "CrashSpan") -> bool:
        """Return whether one crash may explain both spans."""
        return (
            self.sent_at <= other.seen_at + RESTART_S
            and other.sent_at <= self.seen_at + RESTART_S
        )

    def earliest(self, other: "CrashSpan") -> "CrashSpan":
        """Return the span of a crash that was reported twice.

        A report that is read late makes a crash look newer.
        """
        if UNKNOWN_SPAN in (self, other):
            return other if self == UNKNOWN_SPAN else self
        return CrashSpan(
            min(self.sent_at, other.sent_at), min(self.seen_at, other.seen_at)
        )


UNKNOWN_SPAN = CrashSpan(-math.inf, math.inf)


def count_crashes(spans: Iterable[CrashSpan]) -> int:
    """Return the least number of crashes of one upstream that explain all spans."""
    n_crashes = 0
    over_at = -math.inf
    for span in sorted(spans, key=lambda span: span.seen_at):
        if n_crashes == 0 or span.sent_at > over_at + RESTART_S:
            n_crashes += 1
            over_at = span.seen_at
    return n_crashes
