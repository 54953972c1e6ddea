"""Time since the records of a router were known to be current."""

from collections.abc import Callable, Collection
from random import Random

from chicorylead.gateway.follower import HOP_S, StreamFollower

__all__ = ["RecordsAge"]

# Within it, news passes through several routers; the rest of the time in which a change
# must apply suffices to read the store.
MAX_AGE_S = 1.2
# A change that a lost read has missed is found well within the time in which it must
# apply, and the check reaches peers before they read the store themselves.
CHECK_AGE_S = 0.7
CHECK_JITTER = 0.2  # fraction; whoever reads first spares the others their checks


class RecordsAge:
    """Combines what this router reads from the store with what peers report.

    A router whose records come from peers has to read the store itself if none of the
    peers that it hears has current records. Each router checks its records at an age of
    its own, all streams at once, so that usually a single one does it for all.

    Args:
        followers: Returns the followers of all streams.
        clock: Returns the time of the event loop, seconds.
    """

    def __init__(
        self,
        followers: Callable[[], Collection[StreamFollower]],
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._followers = followers
        self._clock = clock
        jitter = rng.uniform(1 - CHECK_JITTER, 1 + CHECK_JITTER)
        self._check_age_s = CHECK_AGE_S * jitter

    def seconds(self) -> float:
        """Return the age of the oldest stream, seconds; infinite before its start."""
        return max(follower.age_s for follower in self._followers())

    def learn(self, age_s: float) -> None:
        """Learn the age of the records of a peer that knows no more, seconds."""
        current_at = self._clock() - age_s - HOP_S
        for follower in self._followers():
            follower.confirm(current_at)

    def check_due_s(self) -> float:
        """Return the time until this router has to check its records, seconds."""
        return max(0.0, self._check_age_s - self.seconds())

    @property
    def is_too_high(self) -> bool:
        """Return whether this router has to read the store."""
        return self.seconds() > MAX_AGE_S
