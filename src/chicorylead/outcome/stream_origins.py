"""Remembers at which software version each stream began.

Load pattern: thousands of streams a second, of which some break off and are taken up at
any router, with ids that callers choose. Streams are remembered for as long as callers
take them up, and only those that began: an id that a caller makes up costs nothing.
"""

from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Struct

from chicorylead.ids import OrganisationId, RequestId

__all__ = ["MEMORY_S", "BegunStream", "Origin", "StreamOrigins"]

MEMORY_S = 20.0  # longer than callers wait for a whole stream
MAX_STREAMS = 50_000  # some megabytes


class BegunStream(Struct, frozen=True, array_like=True):
    """A stream of which an event was forwarded.

    Attributes:
        id: Id of the caller's attempt that brought the first event.
        service: Service whose upstream began it.
        version: Software version of that upstream.
        organisation: Organisation of the caller, if any.
    """

    id: str
    service: str
    version: str
    organisation: str | None


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began, and how this router knows.

    Attributes:
        stream: The stream.
        source: This router, the id of a peer, or the log.
        at: Event-loop time at which this router learned of it, seconds.
        is_ambiguous: Whether streams of the same id began at different versions.
    """

    stream: BegunStream
    source: str
    at: float
    is_ambiguous: bool = False


class StreamOrigins:
    """The streams that began lately, by organisation and id of the first attempt.

    Callers choose the ids, so that those of one organisation say nothing of another's.

    Args:
        clock: Returns the time of the event loop, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # Oldest first.
        self._origins: dict[tuple[str | None, str], Origin] = {}

    def record(self, stream: BegunStream, source: str) -> None:
        """Record a stream that began, or goes on."""
        now = self._clock()
        self._evict(now)
        key = stream.organisation, stream.id
        known = self._origins.pop(key, None)
        is_ambiguous = known is not None and (
            known.is_ambiguous or known.stream != stream
        )
        self._origins[key] = Origin(stream, source, now, is_ambiguous)

    def find(
        self, attempt: RequestId | None, organisation: OrganisationId | None
    ) -> Origin | None:
        """Return where a stream of an organisation began, if that is known for sure."""
        if attempt is None:
            return None
        origin = self._origins.get((organisation, attempt))
        if origin is None or origin.is_ambiguous:
            return None
        return origin if origin.at >= self._clock() - MEMORY_S else None

    def __len__(self) -> int:
        return len(self._origins)

    def _evict(self, now: float) -> None:
        while self._origins:
            oldest = next(iter(self._origins))
            is_old = self._origins[oldest].at < now - MEMORY_S
            if not is_old and len(self._origins) < MAX_STREAMS:
                return
            del self._origins[oldest]
