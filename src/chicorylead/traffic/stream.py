"""Streams of keyed records that the fleet follows, and the pages read from them."""

from enum import Enum
from typing import Protocol

from msgspec import Struct

__all__ = [
    "PeerPage",
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


class StreamRecord(Struct, frozen=True, array_like=True):
    """One record.

    Attributes:
        value: None if the key was removed.
        offset: Position in the stream; a later record of a key replaces an earlier one.
    """

    key: str
    value: bytes | None
    offset: int


class StreamPage(Struct, frozen=True, array_like=True):
    """Records, and the offset at which the next read continues."""

    records: list[StreamRecord]
    end: int


class PeerPage(Struct, frozen=True, array_like=True):
    """Records that a router supplies to a peer.

    Attributes:
        end: Offset up to which they are complete.
        is_snapshot: Whether keys that are missing were removed.
        store_up_s: Time for which the store has been answering, seconds.
    """

    records: list[StreamRecord]
    end: int
    is_snapshot: bool
    store_up_s: float


class StoreUnavailable(Exception):
    """The store gave no usable answer: none, an error status or malformed data."""


class StreamTrimmed(Exception):
    """The requested records are no longer stored."""


class RecordStream(Protocol):
    """Source from which streams are read."""

    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key."""

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        """Return records from an offset, waiting for one if there is none yet."""
