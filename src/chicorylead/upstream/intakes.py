"""The intakes of all known incarnations of upstreams.

An upstream may be unlisted for some time and be listed again, and a peer may tell of
one that is not listed yet. What it stated holds until it starts again.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from chicorylead.ids import UpstreamId
from chicorylead.upstream.intake import Intake
from chicorylead.upstream.send_counts import SendCounts

__all__ = ["Intakes", "UpstreamIncarnation"]

MAX_UNLISTED = 2_000  # a day of restarts at the size that the fleet is built for


class UpstreamIncarnation(NamedTuple):
    """One start of an upstream.

    Attributes:
        born_ms: Wall-clock time of the start, milliseconds; 0 if not given.
    """

    upstream: UpstreamId
    born_ms: int


class Intakes:
    """Keeps the intake of each incarnation, and of unlisted ones the newest.

    Args:
        clock: Event-loop time, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._listed: dict[UpstreamIncarnation, Intake] = {}
        self._unlisted: dict[UpstreamIncarnation, Intake] = {}
        # Routers notice a restart at different times, so that totals go on over it.
        self._sends: dict[UpstreamId, SendCounts] = {}

    def listed(self) -> Iterator[tuple[UpstreamIncarnation, Intake]]:
        """Yield the incarnations that are listed, with their intakes."""
        yield from self._listed.items()

    def knows(self, upstream: UpstreamId) -> bool:
        """Return whether any incarnation of an upstream was listed."""
        return any(
            incarnation.upstream == upstream and intake.warm_up.is_listed
            for intakes in (self._listed, self._unlisted)
            for incarnation, intake in intakes.items()
        )

    def get(self, incarnation: UpstreamIncarnation) -> Intake:
        """Return the intake of an incarnation, which may be unknown so far."""
        known = self._listed.get(incarnation) or self._unlisted.get(incarnation)
        if known is None:
            sends = self._sends.setdefault(incarnation.upstream, SendCounts())
            known = Intake(sends, self._clock)
            self._keep_unlisted(incarnation, known)
        return known

    def mark_listed(self, incarnation: UpstreamIncarnation) -> Intake:
        """Return the intake of an incarnation that is listed now."""
        intake = self.get(incarnation)
        self._unlisted.pop(incarnation, None)
        self._listed[incarnation] = intake
        return intake

    def restart(self, incarnation: UpstreamIncarnation) -> Intake:
        """Return a new intake, of an upstream that does not tell when it started."""
        self._listed.pop(incarnation, None)
        self._unlisted.pop(incarnation, None)
        return self.mark_listed(incarnation)

    def mark_unlisted(self, incarnation: UpstreamIncarnation) -> None:
        """Record that an incarnation is no longer listed."""
        intake = self._listed.pop(incarnation, None)
        if intake is not None:
            self._keep_unlisted(incarnation, intake)

    def _keep_unlisted(self, incarnation: UpstreamIncarnation, intake: Intake) -> None:
        self._unlisted[incarnation] = intake
        while len(self._unlisted) > MAX_UNLISTED:
            oldest = next(iter(self._unlisted))
            del self._unlisted[oldest]
            if not any(key.upstream == oldest.upstream for key in self._listed):
                self._sends.pop(oldest.upstream, None)
