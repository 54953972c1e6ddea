"""Logs of the project's own in the platform's store."""

import struct
from collections.abc import Sequence
from typing import Generic, TypeVar

import msgspec

from chicorylead.decoding import decode_msgpack
from chicorylead.logs import EventLog
from chicorylead.outcome.crash_news import LoggedCrashes
from chicorylead.outcome.stream_origins import BegunStream
from chicorylead.platform.store import StoreClient
from chicorylead.traffic.stream import StoreUnavailable, StreamTrimmed

__all__ = ["CrashLog", "PlainLog", "StreamLog"]

_LENGTH = struct.Struct(">I")

T = TypeVar("T")


class PlainLog(Generic[T]):
    """Appends what this router has to tell, and reads what all routers appended.

    Args:
        store: Client of the store.
        topic: Name of the topic.
        items: Type of a record, a list.
        name: First part of the names of its log events.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        items: type[list[T]],
        name: str,
        log: EventLog,
    ) -> None:
        self._store = store
        self._topic = topic
        self._name = name
        self._log = log
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(items)
        self._era = 0
        self._offset = 0
        # Read before a page that failed, and not returned yet.
        self._items: list[T] = []

    async def append(self, items: Sequence[T]) -> None:
        """Append items as one record.

        Raises:
            StoreUnavailable: The store gave no usable response.
        """
        data = self._encoder.encode(items)
        await self._store.append(self._topic, _LENGTH.pack(len(data)) + data)

    async def read(self) -> list[T]:
        """Return the items that were appended since the last call.

        Raises:
            StoreUnavailable: The store gave no usable response.
        """
        while True:
            try:
                page = await self._store.read_plain(self._topic, self._offset)
            except StreamTrimmed as exc:
                self._restart(exc.era, exc.first or 0)
                continue
            if page.era != self._era and self._offset > 0:
                # The store came back from a copy, and gives offsets out again.
                self._restart(page.era, 0)
                continue
            self._era = page.era
            self._offset = page.end
            for data in page.records:
                self._items.extend(self._decode(data))
            if not page.has_more:
                items, self._items = self._items, []
                return items

    def _restart(self, era: int, offset: int) -> None:
        """Go on at another offset.

        Raises:
            StoreUnavailable: The store says that this offset is trimmed as well.
        """
        if (era, offset) == (self._era, self._offset):
            raise StoreUnavailable(f"log-read: offset {offset} is trimmed", era)
        self._era, self._offset = era, offset

    def _decode(self, data: bytes) -> list[T]:
        try:
            return decode_msgpack(self._decoder, data)
        except ValueError as exc:
            event = f"{self._name}_malformed"
            self._log.warning(event, n_bytes=len(data), reason=exc)
            return []


class StreamLog(PlainLog[BegunStream]):
    """The log of begun streams."""

    def __init__(self, store: StoreClient, log: EventLog) -> None:
        super().__init__(store, "begun-streams", list[BegunStream], "stream_log", log)


class CrashLog(PlainLog[LoggedCrashes]):
    """The log of crashes of upstreams."""

    def __init__(self, store: StoreClient, log: EventLog) -> None:
        super().__init__(store, "crashes", list[LoggedCrashes], "crash_log", log)
