"""Streams of keyed records that the fleet follows, and the pages read from them."""

from enum import Enum
from math import inf
from typing import NamedTuple, Protocol

from msgspec import Struct

__all__ = [
    "START",
    "KnownRecords",
    "PeerPage",
    "PlainPage",
    "Position",
    "RecordStream",
    "StoreUnavailable",
    "Stream",
    "StreamPage",
    "StreamRecord",
    "StreamTrimmed",
]


class Stream(Enum):
    """What the records of a stream describe."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"


class Position(NamedTuple):
    """A position in a stream.

    Attributes:
        era: History of the store that the offset belongs to. It rises when the store
            has lost acknowledged records, and the same offsets are given out again.
        offset: Number of the record within the history.
    """

    era: int
    offset: int


START = Position(0, 0)


class KnownRecords(NamedTuple):
    """How far a router knows the streams.

    Attributes:
        version: Version of its configuration. It may be newer than what the store has
            after the loss of records.
        era: History of its entries of upstreams.
        offset: Offset within the history up to which it knows these entries.
    """

    version: int
    era: int
    offset: int

    def is_ahead_of(self, other: "KnownRecords", stream: Stream) -> bool:
        """Return whether a router knows records of a stream that another one lacks."""
        return self.rank(stream) > other.rank(stream)

    def rank(self, stream: Stream) -> tuple[int, ...]:
        """Return what grows with the known records of a stream."""
        match stream:
            case Stream.CONFIGURATION:
                return (self.version,)
            case Stream.UPSTREAMS:
                return self.era, self.offset


class StreamRecord(Struct, frozen=True, array_like=True):
    """One record.

    Attributes:
        value: None if the key was removed.
        offset: Offset within its history; a later record of a key replaces an earlier
            one.
        era: History that the offset belongs to.
    """

    key: str
    value: bytes | None
    offset: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Return its position in the stream."""
        return Position(self.era, self.offset)


class StreamPage(Struct, frozen=True, array_like=True):
    """Records, and the offset at which the next read continues.

    Attributes:
        era: History that the offset belongs to.
        has_more: Whether the store had further records when it answered.
    """

    records: list[StreamRecord]
    end: int
    era: int = 0
    has_more: bool = False

    @property
    def position(self) -> Position:
        """Return the position at which the next read continues."""
        return Position(self.era, self.end)


class PeerPage(Struct, frozen=True, array_like=True):
    """Records that a router supplies to a peer.

    Attributes:
        end: Position up to which they are complete.
        is_snapshot: Whether keys that are missing were removed.
        outage_age_s: Time since the end of the last outage of the store that the router
            knows of, seconds; infinite if it knows of none.
        age_s: Time since the records were known to be current, seconds; infinite if a
            peer of an earlier release does not tell.
    """

    records: list[StreamRecord]
    end: Position
    is_snapshot: bool
    outage_age_s: float
    age_s: float = inf


class PlainPage(Struct, frozen=True, array_like=True):
    """Records without keys, and the offset at which the next read continues.

    Attributes:
        era: History that the offset belongs to.
        has_more: Whether the store had further records when it answered.
    """

    records: list[bytes]
    end: int
    era: int
    has_more: bool


class StoreUnavailable(Exception):
    """The store gave no usable answer: none, an error status or malformed data.

    Attributes:
        era: History that the answer belongs to; None without an answer.
    """

    def __init__(self, detail: str, era: int | None = None) -> None:
        super().__init__(detail)
        self.era = era


class StreamTrimmed(Exception):
    """The store does not have the requested records, or none any more.

    Attributes:
        era: History that the answer belongs to.
        first: Offset of the first record that is retained, if the answer tells it.
    """

    def __init__(self, detail: str, era: int = 0, first: int | None = None) -> None:
        super().__init__(detail)
        self.era = era
        self.first = first


class RecordStream(Protocol):
    """Source from which streams are read."""

    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key."""

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        """Return records from an offset, waiting for one if there is none yet."""
