"""HTTP client for the platform's store and for peers, on upstream connections."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from urllib.parse import urlencode

from chicorylead.upstream.answer import AnswerHead
from chicorylead.upstream.connection import (
    Connection,
    Failure,
    FailureKind,
    KeepAlive,
    open_connection,
)
from chicorylead.upstream.notice import NO_NOTICE

__all__ = ["HttpClient", "HttpResponse"]

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 15.0  # shorter than common keep-alive times of servers
# A dead connection is detected after 2 s: one idle second, one probe.
KEEP_ALIVE = KeepAlive(idle_s=1, interval_s=1, n_probes=1, user_timeout_ms=2000)
_NO_ID = ""  # responses of the store and of peers carry no request id


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
        headers: Names in lower case, and values.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


class HttpClient:
    """Sends requests and keeps connections open between them.

    Args:
        max_body_bytes: Largest body of a response, bytes; None for servers that are
            trusted to end theirs.
    """

    def __init__(self, max_body_bytes: int | None = None) -> None:
        self._max_body_bytes = max_body_bytes
        self._idle: dict[tuple[str, int], list[Connection]] = {}
        self._clock = asyncio.get_running_loop().time

    async def close(self) -> None:
        """Close idle connections."""
        for conns in self._idle.values():
            for conn in conns:
                conn.close()
        self._idle.clear()

    async def get(
        self,
        address: tuple[str, int],
        path: str,
        query: Mapping[str, str],
        timeout_s: float,
    ) -> HttpResponse:
        """Return the response to a GET request.

        Raises:
            Failure: There is no complete response.
        """
        return await self.call("GET", address, path, query, timeout_s)

    async def call(
        self,
        method: str,
        address: tuple[str, int],
        path: str,
        query: Mapping[str, str],
        timeout_s: float,
        body: bytes = b"",
    ) -> HttpResponse:
        """Return the response to a request.

        A server may drop an idle connection as the request is sent on it; the request
        is then sent once more on a new connection, so that it may be executed twice.

        Raises:
            Failure: There is no complete response.
        """
        deadline = self._clock() + timeout_s
        request = _encode(method, address, path, query, body)
        conn = self._take_idle(address)
        if conn is not None:
            try:
                return await self._exchange(conn, address, request, deadline)
            except Failure as exc:
                if exc.kind is FailureKind.SILENT:
                    raise
        conn = await open_connection(
            *address,
            min(CONNECT_TIMEOUT_S, deadline - self._clock()),
            _decode_head,
            KEEP_ALIVE,
        )
        return await self._exchange(conn, address, request, deadline)

    def _take_idle(self, address: tuple[str, int]) -> Connection | None:
        conns = self._idle.get(address, [])
        while conns:
            conn = conns.pop()
            idle_s = self._clock() - conn.idle_since
            if conn.is_reusable and idle_s < IDLE_TIMEOUT_S:
                return conn
            conn.close()
        return None

    async def _exchange(
        self,
        conn: Connection,
        address: tuple[str, int],
        request: bytes,
        deadline: float,
    ) -> HttpResponse:
        is_done = False
        try:
            conn.send(_NO_ID, request)
            head = await conn.read_head(deadline - self._clock())
            body = await self._read_body(conn, deadline)
            is_done = True
        finally:
            if not is_done:
                conn.close()
        conn.finish()
        if conn.is_reusable:
            self._idle.setdefault(address, []).append(conn)
        return HttpResponse(head.status, body, head.headers)

    async def _read_body(self, conn: Connection, deadline: float) -> bytes:
        parts: list[bytes] = []
        n_bytes = 0
        while True:
            part = await conn.read_body_part(deadline - self._clock())
            if part is None:
                return b"".join(parts)
            n_bytes += len(part)
            if self._max_body_bytes is not None and n_bytes > self._max_body_bytes:
                raise Failure(FailureKind.GARBLED, f"body of {n_bytes} bytes or more")
            parts.append(part)


def _encode(
    method: str,
    address: tuple[str, int],
    path: str,
    query: Mapping[str, str],
    body: bytes,
) -> bytes:
    target = f"{path}?{urlencode(query)}" if query else path
    host, port = address
    length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}:{port}\r\n{length}\r\n"
    return head.encode() + body


def _decode_head(status: int, headers: Sequence[tuple[bytes, bytes]]) -> AnswerHead:
    closes = any(
        name == b"connection" and value.lower() == b"close" for name, value in headers
    )
    return AnswerHead(
        status=status,
        request_id=_NO_ID,
        is_not_run=False,
        is_unproved_refusal=False,
        is_wrong_upstream=False,
        is_sealed=False,
        notice=NO_NOTICE,
        load=None,
        keep_alive_s=None,
        closes=closes,
        headers=tuple(headers),
    )
