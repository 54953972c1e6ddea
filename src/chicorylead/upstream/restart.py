"""Tells an upstream that starts again with an earlier start time from a late write.

Load pattern: each upstream writes its entry about every second, with a sequence number
that rises. An upstream whose clock went back, or whose id another VM has taken over,
goes on writing with an earlier start time. A write of an incarnation that has ended may
arrive seconds late as well, but the next one goes on writing between such writes.
"""

from collections.abc import Callable
from dataclasses import dataclass

from chicorylead.ids import UpstreamId
from chicorylead.upstream.registered import RegisteredUpstream

__all__ = ["RestartDetector"]

# The later incarnation would have written meanwhile: a little less than the time
# between two writes of an upstream.
MIN_SPAN_S = 1.0
MAX_CANDIDATES = 10_000


@dataclass(slots=True)
class _Candidate:
    """An incarnation with an earlier start time than the known one.

    Attributes:
        sequence: Sequence number of its first entry.
        since: Event-loop time of its first entry, seconds.
    """

    born_ms: int
    sequence: int
    since: float
    is_confirmed: bool = False


class RestartDetector:
    """Follows entries with an earlier start time than the known ones.

    Args:
        clock: Returns the event-loop time, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._candidates: dict[UpstreamId, _Candidate] = {}

    def record(self, entry: RegisteredUpstream) -> bool:
        """Record such an entry; return whether it is of an upstream that runs.

        No entry with the later start time may have come since the one before.
        """
        candidate = self._candidates.get(entry.id)
        if candidate is None or candidate.born_ms != entry.born_ms:
            if len(self._candidates) >= MAX_CANDIDATES:
                self._candidates.pop(next(iter(self._candidates)))
            self._candidates[entry.id] = _Candidate(
                entry.born_ms, entry.sequence, self._clock()
            )
            return False
        candidate.is_confirmed = (
            entry.sequence > candidate.sequence
            and self._clock() - candidate.since >= MIN_SPAN_S
        )
        return candidate.is_confirmed

    def is_confirmed(self, entry: RegisteredUpstream) -> bool:
        """Return whether an entry is of an upstream that was found to run."""
        candidate = self._candidates.get(entry.id)
        return (
            candidate is not None
            and candidate.is_confirmed
            and candidate.born_ms == entry.born_ms
        )

    def discard(self, upstream: UpstreamId) -> None:
        """Discard what is known, as a newer entry has come."""
        self._candidates.pop(upstream, None)
