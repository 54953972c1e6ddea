"""Streams of keyed records that the fleet follows, and the pages read from them."""

import zlib
from enum import Enum
from math import inf
from typing import NamedTuple, Protocol

from msgspec import Struct

__all__ = [
    "START",
    "KnownOperatorRecords",
    "KnownRecords",
    "PeerPage",
    "PlainPage",
    "Position",
    "RecordId",
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


class KnownOperatorRecords(Struct, frozen=True, array_like=True):
    """How far a router knows the operator's records beside the configuration.

    Attributes:
        era: History of the operator's records.
        offset: Offset within the history up to which it knows them.
        evacuated: Checksum of the evacuated zones; 0 for none, None if the router knows
            of no evacuation, past or present. Routers that have read equally far differ
            in it if only some know what the store has lost.
    """

    era: int = 0
    offset: int = 0
    evacuated: int | None = None

    @property
    def position(self) -> Position:
        """Return the position up to which the records are known."""
        return Position(self.era, self.offset)

    def is_ahead_of(self, other: "KnownOperatorRecords") -> bool:
        """Return whether another router may lack records.

        Two routers that have read equally far and differ are each ahead of the other:
        either may know the record that decides.
        """
        if self.position == other.position:
            is_different = (self.evacuated or 0) != (other.evacuated or 0)
            return self.position != START and is_different
        return self.position > other.position


class KnownRecords(NamedTuple):
    """How far a router knows the streams.

    Attributes:
        version: Version of its configuration. It may be newer than what the store has
            after the loss of records.
        era: History of its entries of upstreams.
        offset: Offset within the history up to which it knows these entries.
        operator: How far it knows the operator's records; not known of a router of an
            earlier release.
    """

    version: int
    era: int
    offset: int
    operator: KnownOperatorRecords = KnownOperatorRecords()

    @property
    def reported_operator(self) -> KnownOperatorRecords | None:
        """Return what peers are told; nothing while no evacuation is known.

        The bytes of heartbeats are limited, and most operators evacuate nothing.
        """
        return None if self.operator.evacuated is None else self.operator

    @property
    def without_operator(self) -> "KnownRecords":
        """Return the part that routers of an earlier release decode: three numbers."""
        return self[:3]  # type: ignore[return-value]

    def is_ahead_of(self, other: "KnownRecords", stream: Stream) -> bool:
        """Return whether a router knows records of a stream that another one lacks."""
        if stream is Stream.CONFIGURATION and self.version <= other.version:
            return self.operator.is_ahead_of(other.operator)
        return self.rank(stream) > other.rank(stream)

    def rank(self, stream: Stream) -> tuple[int, ...]:
        """Return what grows with the known records of a stream."""
        match stream:
            case Stream.CONFIGURATION:
                return self.version, *self.operator.position
            case Stream.UPSTREAMS:
                return self.era, self.offset


class RecordId(NamedTuple):
    """Identifies a record of a key in all histories that contain it.

    Attributes:
        offset: Its offset; a copy of the store keeps it.
        checksum: Checksum of its value; 0 for a removal.
    """

    offset: int
    checksum: int


class StreamRecord(Struct, frozen=True, array_like=True):
    """One record.

    Attributes:
        value: None if the key was removed.
        offset: Offset within its history; a later record of a key replaces an earlier
            one.
        era: History that the offset belongs to.
        supersedes: The last records of the key that it is known to have replaced, where
            the order of its records has to survive the loss of some of them.
    """

    key: str
    value: bytes | None
    offset: int
    era: int = 0
    supersedes: tuple[RecordId, ...] = ()

    @property
    def position(self) -> Position:
        """Return its position in the stream."""
        return Position(self.era, self.offset)

    @property
    def id(self) -> RecordId:
        """Return its id."""
        return RecordId(self.offset, zlib.crc32(self.value) if self.value else 0)


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
