"""HTTP client of the platform's store, a partitioned log."""

import base64
import struct

from msgspec import Struct

from chicorylead.decoding import Count, decode_json
from chicorylead.http_client import HttpClient, HttpResponse
from chicorylead.traffic.stream import (
    PlainPage,
    StoreUnavailable,
    Stream,
    StreamPage,
    StreamRecord,
    StreamTrimmed,
)
from chicorylead.upstream.connection import Failure

__all__ = ["StoreClient"]

_TOPICS = {Stream.CONFIGURATION: "keyed.op", Stream.UPSTREAMS: "keyed.servers"}

RESPONSE_MARGIN_S = 2.0  # added to the requested wait; a slow store takes 0.5 s

MAX_ERA_DIGITS = 15
_GONE = 410
# In all answers; rises by one when the store comes back from a copy.
_ERA = b"store-era"
_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class _Item(Struct, frozen=True):
    key: str
    # Base64; absent or empty if the key was deleted.
    value: str | None = None
    offset: Count = 0


class _NewestPage(Struct, rename="camel", frozen=True):
    items: list[_Item]
    end_offset: Count
    # If so, the next page starts after the last key of this one.
    has_more: bool = False


class _Trimmed(Struct, rename="camel", frozen=True):
    first_offset: Count | None = None


class StoreClient:
    """Reads streams from the store, and appends to the project's own topics.

    Args:
        host: IP address of the store.
        port: TCP port of the store.

    Attributes:
        n_calls: Number of calls so far.
    """

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._client = HttpClient()
        self.n_calls = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def newest(self, stream: Stream) -> StreamPage:
        """Return the newest record of each key.

        Raises:
            StoreUnavailable: The store gave no usable response.
        """
        records: list[StreamRecord] = []
        after = ""
        end: int | None = None
        era = 0
        while True:
            query = {"topic": _TOPICS[stream], "part": "0"}
            if after:
                query["after"] = after
            response = await self._get("log-newest", query, 0.0)
            page = _decode_newest(response.body)
            records.extend(_record(item, _era(response)) for item in page.items)
            # The pages are not one snapshot: continue from the end offset of the first.
            if end is None:
                end, era = page.end_offset, _era(response)
            elif _era(response) != era:
                raise StoreUnavailable("log-newest: the pages differ in their era")
            if not page.has_more or not page.items:
                return StreamPage(records, end, era)
            after = page.items[-1].key

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        """Return records from an offset, waiting for one if there is none yet.

        Raises:
            StoreUnavailable: The store gave no usable response.
            StreamTrimmed: Records from this offset are no longer retained.
        """
        query = {
            "topic": _TOPICS[stream],
            "part": "0",
            "from": str(start),
            "waitMs": str(int(wait_s * 1000)),
        }
        response = await self._get("log-read", query, wait_s)
        return _decode_read(response.body, start, _era(response))

    async def read_plain(self, topic: str, start: int) -> PlainPage:
        """Return the records of a topic without keys from an offset, without waiting.

        Raises:
            StoreUnavailable: The store gave no usable response.
            StreamTrimmed: Records from this offset are no longer retained.
        """
        query = {"topic": topic, "part": "0", "from": str(start), "waitMs": "0"}
        response = await self._get("log-read", query, 0.0)
        store_end, records = _split_records(response.body, start)
        end = start + len(records)
        return PlainPage(records, end, _era(response), has_more=end < store_end)

    async def append(self, topic: str, records: bytes) -> None:
        """Append records, each behind its length, to a topic without keys.

        Raises:
            StoreUnavailable: The store gave no usable response; it may have appended
                the records.
        """
        query = {"topic": topic, "part": "0"}
        await self._call("POST", "log-append", query, 0.0, records)

    async def _get(
        self, call: str, query: dict[str, str], wait_s: float
    ) -> HttpResponse:
        return await self._call("GET", call, query, wait_s)

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        wait_s: float,
        body: bytes = b"",
    ) -> HttpResponse:
        self.n_calls += 1
        timeout_s = wait_s + RESPONSE_MARGIN_S
        try:
            response = await self._client.call(
                method, self._address, f"/api/{call}", query, timeout_s, body
            )
        except Failure as exc:
            raise StoreUnavailable(f"{call}: {exc}") from exc
        if response.status == _GONE:
            raise StreamTrimmed(call, _era(response), _first_offset(response.body))
        if response.status != 200:
            detail = f"{call}: status {response.status}"
            raise StoreUnavailable(detail, _era(response))
        return response


def _era(response: HttpResponse) -> int:
    """Return the era of a response; 0 if it has none.

    Raises:
        StoreUnavailable: The era is not a number.
    """
    value = dict(response.headers).get(_ERA, b"0")
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        raise StoreUnavailable(f"store era {value[:40]!r} is not a number")
    return int(value)


def _decode_newest(body: bytes) -> _NewestPage:
    try:
        return decode_json(body, _NewestPage)
    except ValueError as exc:
        raise StoreUnavailable(f"log-newest: {exc}") from exc


def _record(item: _Item, era: int) -> StreamRecord:
    try:
        value = base64.b64decode(item.value or "", validate=True)
    except ValueError as exc:
        raise StoreUnavailable(f"log-newest: value of {item.key!r}: {exc}") from exc
    return StreamRecord(item.key, value or None, item.offset, era)


def _decode_read(body: bytes, start: int, era: int) -> StreamPage:
    """Decode records; their offsets are consecutive, as the store omits none."""
    store_end, parts = _split_records(body, start)
    records = [_decode_keyed(data, start + n, era) for n, data in enumerate(parts)]
    end = start + len(records)
    return StreamPage(records, end, era, has_more=end < store_end)


def _split_records(body: bytes, start: int) -> tuple[int, list[bytes]]:
    """Return the end of the store's records, and those from an offset on.

    Raises:
        StoreUnavailable: The response is truncated.
    """
    if len(body) < _OFFSETS.size:
        raise StoreUnavailable(f"log-read: response has only {len(body)} bytes")
    store_end, _ = _OFFSETS.unpack_from(body)
    records: list[bytes] = []
    position = _OFFSETS.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        data = body[position : position + length]
        if len(data) < length:
            offset = start + len(records)
            raise StoreUnavailable(f"log-read: record {offset} is truncated")
        position += length
        records.append(data)
    return store_end, records


def _first_offset(body: bytes) -> int | None:
    """Return the first retained offset that an answer tells, if it does."""
    try:
        return decode_json(body, _Trimmed).first_offset
    except ValueError:
        return None


def _decode_keyed(data: bytes, offset: int, era: int) -> StreamRecord:
    """Decode a record: the length of its key in one byte, the key and the value."""
    if not data or len(data) < 1 + data[0]:
        raise StoreUnavailable(f"log-read: record {offset} has no key")
    key_end = 1 + data[0]
    key = data[1:key_end].decode("utf-8", "replace")
    return StreamRecord(key, data[key_end:] or None, offset, era)
