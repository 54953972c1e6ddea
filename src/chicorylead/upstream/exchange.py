"""One exchange with an upstream over HTTP.

Each exchange has its own id, and a connection of its own for its duration. An answer
with another id is dropped; a truncated answer is never passed on as whole.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from enum import Enum

from aiohttp import (
    ClientConnectionError,
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from chicorylead.ids import ExchangeId
from chicorylead.settings import TimeoutSettings
from chicorylead.upstream.event_format import EventFormat, MalformedStream

__all__ = ["Break", "BreakKind", "Exchange", "ExchangeClient", "PlainAnswer"]

KEEP_ALIVE_S = 4.0
EVENT_END = b"\n\n"
DONE_START = b"event: done\n"
READ_BUFFER_BYTES = 65536
MAX_ANSWER_BYTES = 16_000_000


class BreakKind(Enum):
    """Why an exchange failed."""

    NOT_SENT = "not_sent"
    LOST = "lost"
    SILENT = "silent"
    CROSSED = "crossed"
    TRUNCATED = "truncated"
    REFUSED = "refused"
    SLOW = "slow"


class Break(Exception):
    """A failed exchange.

    Attributes:
        kind: Only NOT_SENT means that no byte of the request reached the upstream.
        status: HTTP status of a refusal; 0 otherwise.
    """

    def __init__(self, kind: BreakKind, detail: str, status: int = 0) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.status = status


@dataclass(frozen=True, slots=True)
class Exchange:
    """What is sent to an upstream.

    Attributes:
        deadline: Event-loop time by which the exchange must end, seconds.
        from_event: Number of the first event to return; above 0 resumes a stream.
        once: Whether it must not be sent on a connection that may be dead.
    """

    id: ExchangeId
    address: str
    operation: str
    body: bytes
    deadline: float
    key: str = ""
    from_event: int = 0
    once: bool = False


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """Whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class ExchangeClient:
    """Opens exchanges with upstreams.

    Args:
        timeouts: Timeouts of each phase of an exchange.
    """

    def __init__(self, timeouts: TimeoutSettings) -> None:
        self._timeouts = timeouts
        self._clock = asyncio.get_running_loop().time
        self._event_format = EventFormat()
        self._pooled = ClientSession(
            connector=TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._fresh = ClientSession(
            connector=TCPConnector(limit=0, force_close=True), auto_decompress=False
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._fresh.close()

    # -- engines

    async def stream(self, exchange: Exchange) -> AsyncIterator[tuple[bytes, int]]:
        """Yield whole events as they arrive, with their count.

        The terminal event is checked and not passed on.

        Raises:
            Break: The stream did not reach its terminal event.
        """
        resp = await self._open(exchange)
        try:
            self._check_response(exchange, resp)
            async for part in self._events(resp, exchange):
                yield part
        finally:
            resp.close()

    async def _events(
        self, resp: ClientResponse, exchange: Exchange
    ) -> AsyncIterator[tuple[bytes, int]]:
        pending = b""
        number = exchange.from_event
        while True:
            data = await self._read(resp, exchange.deadline)
            if not data:
                raise Break(
                    BreakKind.TRUNCATED, "stream ended before its terminal event"
                )
            *blocks, pending = (pending + data).split(EVENT_END)
            if len(pending) > MAX_ANSWER_BYTES:
                raise Break(BreakKind.LOST, "event exceeds the size limit")
            n_sound, fault = self._check_events(blocks, number)
            is_done = n_sound < len(blocks) and fault is None
            if n_sound:
                number += n_sound
                sound = b"".join(block + EVENT_END for block in blocks[:n_sound])
                yield sound, n_sound
            if fault is not None:
                raise fault
            if is_done:
                return

    def _check_events(
        self, blocks: list[bytes], number: int
    ) -> tuple[int, Break | None]:
        """Return how many events follow each other, and why the next one does not.

        Args:
            blocks: Events, perhaps with the terminal one among them.
            number: Number of the first event.
        """
        for n_sound, block in enumerate(blocks):
            try:
                event_id = self._event_format.read_id(block)
            except MalformedStream as exc:
                return n_sound, Break(BreakKind.CROSSED, str(exc))
            if event_id != str(number + n_sound):
                detail = f"event {event_id} in place of {number + n_sound}"
                return n_sound, Break(BreakKind.CROSSED, detail)
            if block.startswith(DONE_START):
                return n_sound, None
            if not block.startswith(b"id:"):
                detail = f"not an event of the engine: {block[:40]!r}"
                return n_sound, Break(BreakKind.CROSSED, detail)
        return len(blocks), None

    async def _read(self, resp: ClientResponse, deadline: float) -> bytes:
        left_s = deadline - self._clock()
        limit_s = min(self._timeouts.between_bytes_s, left_s)
        try:
            # A timer for each part is expensive; data already buffered needs none.
            if limit_s > 0 and (data := resp.content.read_nowait()):
                return data
            async with asyncio.timeout(limit_s):
                return await resp.content.readany()
        except TimeoutError:
            raise Break(BreakKind.SILENT, f"no byte for {limit_s:.3f} s") from None
        except ClientPayloadError as exc:
            raise Break(BreakKind.TRUNCATED, str(exc)) from exc
        except (ClientError, OSError) as exc:
            raise Break(BreakKind.LOST, str(exc) or type(exc).__name__) from exc

    # -- plain services

    async def call(self, exchange: Exchange) -> PlainAnswer:
        """Return the whole answer of a plain service.

        Raises:
            Break: There is no whole answer.
        """
        resp = await self._open(exchange)
        try:
            self._check_response(exchange, resp)
            parts = []
            while data := await self._read(resp, exchange.deadline):
                parts.append(data)
            content_type = resp.headers.get("content-type", "application/octet-stream")
            return PlainAnswer(resp.status, content_type, b"".join(parts))
        finally:
            resp.release()

    async def get(self, address: str, path: str, timeout_s: float) -> bytes:
        """Send a small GET request over a fresh connection and return the body.

        Raises:
            Break: There is no whole answer with status 200.
        """
        return await self._request_whole("GET", address, path, None, timeout_s)

    async def post(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Send a small POST request over a fresh connection and return the body.

        Raises:
            Break: There is no whole answer with status 200.
        """
        return await self._request_whole("POST", address, path, body, timeout_s)

    async def _request_whole(
        self, method: str, address: str, path: str, body: bytes | None, timeout_s: float
    ) -> bytes:
        url = f"http://{address}{path}"
        timeout = ClientTimeout(total=timeout_s)
        try:
            async with self._fresh.request(
                method, url, data=body, timeout=timeout
            ) as resp:
                answer = await resp.read()
                if resp.status != 200:
                    raise Break(BreakKind.REFUSED, f"status {resp.status}", resp.status)
                return answer
        except ClientConnectorError as exc:
            raise Break(BreakKind.NOT_SENT, str(exc)) from exc
        except TimeoutError as exc:
            raise Break(BreakKind.SILENT, f"no answer in {timeout_s} s") from exc
        except (ClientError, OSError) as exc:
            raise Break(BreakKind.LOST, str(exc) or type(exc).__name__) from exc

    # -- common

    async def _open(self, exchange: Exchange) -> ClientResponse:
        session = self._fresh if exchange.once else self._pooled
        left_s = max(0.001, exchange.deadline - self._clock())
        url = f"http://{exchange.address}/run/{exchange.operation}"
        timeout = ClientTimeout(
            total=None,
            connect=self._timeouts.connect_s,
            sock_connect=self._timeouts.connect_s,
        )
        try:
            async with asyncio.timeout(min(self._timeouts.first_byte_s, left_s)):
                return await session.post(
                    url, data=exchange.body, headers=_headers(exchange), timeout=timeout
                )
        except ClientConnectorError as exc:
            raise Break(BreakKind.NOT_SENT, str(exc)) from exc
        except TimeoutError:
            # Either the connection or the answer is late. NOT_SENT would be the
            # stronger claim, and there is no proof that nothing was sent.
            raise Break(BreakKind.SILENT, "no answer in time") from None
        except (ClientConnectionError, ClientError, OSError) as exc:
            raise Break(BreakKind.LOST, str(exc) or type(exc).__name__) from exc

    def _check_response(self, exchange: Exchange, resp: ClientResponse) -> None:
        if resp.status >= 500 or resp.status == 429:
            raise Break(BreakKind.REFUSED, f"status {resp.status}", resp.status)
        echoed = resp.headers.get("x-exchange-id")
        if echoed != exchange.id:
            raise Break(BreakKind.CROSSED, f"answer belongs to {echoed!r}")


def _headers(exchange: Exchange) -> Mapping[str, str]:
    headers = {
        "X-Exchange-Id": exchange.id,
        "Content-Type": "application/json",
        "X-From-Event": str(exchange.from_event),
    }
    if exchange.key:
        headers["Idempotency-Key"] = exchange.key
    return headers
