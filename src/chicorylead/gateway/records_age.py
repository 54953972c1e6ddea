"""Time since the records of a router were known to be current."""

from collections.abc import Callable, Iterable

from chicorylead.gateway.follower import StreamFollower

__all__ = ["RecordsAge"]

# Within it, news passes through several routers; the rest of the time in which a change
# must apply suffices to read the store.
MAX_AGE_S = 1.2
HOP_S = 0.01  # a report ages on its way


class RecordsAge:
    """Combines what this router reads from the store with what peers report.

    A router whose records come from peers has to read the store itself if none of the
    peers that it hears has current records.

    Args:
        followers: Returns the followers of all streams.
        clock: Returns the time of the event loop, seconds.
    """

    def __init__(
        self,
        followers: Callable[[], Iterable[StreamFollower]],
        clock: Callable[[], float],
    ) -> None:
        self._followers = followers
        self._clock = clock
        self._current_at = float("-inf")

    def seconds(self) -> float:
        """Return the age, seconds; infinite before the first records."""
        now = self._clock()
        if all(follower.is_connected for follower in self._followers()):
            self._current_at = now
        return now - self._current_at

    def learn(self, age_s: float) -> None:
        """Learn the age of the records of a peer, seconds."""
        self._current_at = max(self._current_at, self._clock() - age_s - HOP_S)

    @property
    def is_too_high(self) -> bool:
        """Return whether this router has to read the store."""
        return self.seconds() > MAX_AGE_S
