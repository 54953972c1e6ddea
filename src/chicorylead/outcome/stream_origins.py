"""Remembers at which software version each stream began.

Load pattern: thousands of streams a second, of which some break off and are taken up at
any router, with ids that callers choose. Streams are remembered for as long as callers
take them up, and only those that began: an id that a caller makes up costs nothing.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import blake2b

from msgspec import Struct

from chicorylead.ids import (
    OrganisationId,
    OriginMark,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StreamKey,
)

__all__ = [
    "KEY_BYTES",
    "MARK_BYTES",
    "MEMORY_S",
    "BegunStream",
    "Origin",
    "StreamOrigins",
    "origin_mark",
    "stream_key",
]

MEMORY_S = 20.0  # longer than callers wait for a whole stream
MAX_STREAMS = 50_000  # some megabytes
KEY_BYTES = 8  # of 400,000 streams, two have the same key once in 10^8 times
MARK_BYTES = 4  # tells apart the few versions that serve


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

    @property
    def key(self) -> StreamKey:
        """Return the key under which the stream is remembered."""
        return stream_key(self.organisation, self.id)

    @property
    def mark(self) -> OriginMark:
        """Return what tells where it began."""
        return origin_mark(self.service, self.version)


def stream_key(
    organisation: OrganisationId | str | None, attempt: RequestId | str
) -> StreamKey:
    """Return a hash of an organisation and the id of a first attempt.

    Callers choose the ids, so that those of one organisation say nothing of another's.
    """
    owner = "-" if organisation is None else f"+{organisation}"
    return StreamKey(_hash(owner, attempt, KEY_BYTES))


def origin_mark(
    service: ServiceName | str, version: SoftwareVersion | str
) -> OriginMark:
    """Return a hash of a service and a software version of its upstreams."""
    return OriginMark(_hash(service, version, MARK_BYTES))


def _hash(first: str, second: str, n_bytes: int) -> bytes:
    data = f"{len(first)}:{first}{second}".encode(errors="surrogatepass")
    return blake2b(data, digest_size=n_bytes).digest()


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began, and how this router knows.

    Attributes:
        mark: Tells the service, and the version of its upstream.
        source: This router, the address of a peer, or the log.
        at: Event-loop time at which this router learned of it, seconds.
        is_ambiguous: Whether streams of the same id began at different versions.
    """

    mark: OriginMark
    source: str
    at: float
    is_ambiguous: bool = False


class StreamOrigins:
    """The streams that began lately, by their keys.

    Args:
        clock: Returns the time of the event loop, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # Oldest first.
        self._origins: dict[StreamKey, Origin] = {}
        # Event-loop time at which a stream with each mark was last recorded, seconds.
        self._marked_at: dict[OriginMark, float] = {}

    def record(self, key: StreamKey, mark: OriginMark, source: str) -> None:
        """Record a stream that began, or goes on."""
        now = self._clock()
        self._evict(now)
        known = self._origins.pop(key, None)
        is_ambiguous = known is not None and (known.is_ambiguous or known.mark != mark)
        self._origins[key] = Origin(mark, source, now, is_ambiguous)
        self._marked_at[mark] = now

    def find(self, key: StreamKey) -> Origin | None:
        """Return where a stream began, if that is known for sure."""
        origin = self._origins.get(key)
        if origin is None or origin.is_ambiguous:
            return None
        return origin if origin.at >= self._clock() - MEMORY_S else None

    def unambiguous(self) -> Iterator[tuple[StreamKey, OriginMark]]:
        """Iterate over the streams of which it is known for sure where they began."""
        since = self._clock() - MEMORY_S
        for key, origin in self._origins.items():
            if origin.at >= since and not origin.is_ambiguous:
                yield key, origin.mark

    def marks(self) -> set[OriginMark]:
        """Return the marks of the streams that began lately."""
        since = self._clock() - MEMORY_S
        self._marked_at = {m: at for m, at in self._marked_at.items() if at >= since}
        return set(self._marked_at)

    def __len__(self) -> int:
        return len(self._origins)

    def _evict(self, now: float) -> None:
        while self._origins:
            oldest = next(iter(self._origins))
            is_old = self._origins[oldest].at < now - MEMORY_S
            if not is_old and len(self._origins) < MAX_STREAMS:
                return
            del self._origins[oldest]
