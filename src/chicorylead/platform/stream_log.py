"""The log of begun streams in the platform's store."""

import struct
from collections.abc import Sequence

import msgspec

from chicorylead.decoding import decode_msgpack
from chicorylead.logs import EventLog
from chicorylead.outcome.stream_origins import BegunStream
from chicorylead.platform.store import StoreClient
from chicorylead.traffic.stream import StoreUnavailable, StreamTrimmed

__all__ = ["StreamLog"]

_TOPIC = "begun-streams"
_LENGTH = struct.Struct(">I")


class StreamLog:
    """Appends the streams that this router began, and reads those of all routers.

    Args:
        store: Client of the store.
    """

    def __init__(self, store: StoreClient, log: EventLog) -> None:
        self._store = store
        self._log = log
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[BegunStream])
        self._era = 0
        self._offset = 0
        # Read before a page that failed, and not returned yet.
        self._streams: list[BegunStream] = []

    async def append(self, streams: Sequence[BegunStream]) -> None:
        """Append streams as one record.

        Raises:
            StoreUnavailable: The store gave no usable response.
        """
        data = self._encoder.encode(streams)
        await self._store.append(_TOPIC, _LENGTH.pack(len(data)) + data)

    async def read(self) -> list[BegunStream]:
        """Return the streams that were appended since the last call.

        Raises:
            StoreUnavailable: The store gave no usable response.
        """
        while True:
            try:
                page = await self._store.read_plain(_TOPIC, self._offset)
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
                self._streams.extend(self._decode(data))
            if not page.has_more:
                streams, self._streams = self._streams, []
                return streams

    def _restart(self, era: int, offset: int) -> None:
        """Go on at another offset.

        Raises:
            StoreUnavailable: The store says that this offset is trimmed as well.
        """
        if (era, offset) == (self._era, self._offset):
            raise StoreUnavailable(f"log-read: offset {offset} is trimmed", era)
        self._era, self._offset = era, offset

    def _decode(self, data: bytes) -> list[BegunStream]:
        try:
            return decode_msgpack(self._decoder, data)
        except ValueError as exc:
            self._log.warning("stream_log_malformed", n_bytes=len(data), reason=exc)
            return []
