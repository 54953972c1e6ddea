"""Streams of keyed records that the fleet follows, and what a reader gets."""

from enum import Enum
from typing import Protocol

from msgspec import Struct

__all__ = [
    "RecordStream",
    "StoreUnavailable",
    "Stream",
    "StreamPage",
    "StreamRecord",
    "StreamTrimmed",
]


class Stream(Enum):
    """What a stream tells."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"


class StreamRecord(Struct, frozen=True, array_like=True):
    """One record.

    Attributes:
        value: None where the key was removed.
        offset: Its place in the stream; of two records of a key the later holds.
    """

    key: str
    value: bytes | None
    offset: int


class StreamPage(Struct, frozen=True, array_like=True):
    """Records, and the offset at which the next reading goes on."""

    records: list[StreamRecord]
    end: int


class StoreUnavailable(Exception):
    """The store gave no answer, or one that says that nothing was done."""


class StreamTrimmed(Exception):
    """The records asked for are no longer kept."""


class RecordStream(Protocol):
    """Where streams are read from."""

    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key."""

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        """Return records from an offset, waiting for one if there is none yet."""
