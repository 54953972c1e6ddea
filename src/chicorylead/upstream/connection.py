"""HTTP/1.1 connection to an upstream, with one request at a time."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

import httptools

from chicorylead.upstream.answer import AnswerHead
from chicorylead.upstream.wrong_byte import NearNames

__all__ = [
    "Connection",
    "Failure",
    "FailureKind",
    "KeepAlive",
    "open_connection",
]

DecodeHead = Callable[[int, Sequence[tuple[bytes, bytes]]], AnswerHead]

BUFFER_BYTES = (
    65_536  # a few round trips of a link's window; limits the buffer of a slow caller
)
REST_S = 0.02  # a dropped caller's request ends within a few iterations of the loop
# Consecutive bytes that are neither head nor body of the expected answer: four times
# the largest head that callers may send, and more than a late answer to another
# request.
MAX_STRAY_BYTES = 65_536
_HEAD_END = b"\r\n\r\n"
_NO_CONTENT = 204  # the only status of a success that excludes a body
_FRAMING = (b"content-length", b"transfer-encoding")
_NEAR_FRAMING = NearNames(_FRAMING)


@dataclass(frozen=True, slots=True)
class KeepAlive:
    """TCP options that detect a silent connection.

    Attributes:
        idle_s: Idle time before the first probe, seconds.
        interval_s: Time between probes, seconds.
        n_probes: Unanswered probes after which the connection is dropped.
        user_timeout_ms: Longest time without an acknowledgement, milliseconds.
    """

    idle_s: int
    interval_s: int
    n_probes: int
    user_timeout_ms: int


# A silent connection is detected after 3 s without an acknowledgement.
UPSTREAM_KEEP_ALIVE = KeepAlive(
    idle_s=1, interval_s=1, n_probes=2, user_timeout_ms=3000
)


class FailureKind(Enum):
    """How an exchange failed, and whether the request may have run."""

    NOT_SENT = "not_sent"
    BROKEN = "broken"
    GARBLED = "garbled"
    SILENT = "silent"
    WITHDRAWN = "withdrawn"


class Failure(Exception):
    """An exchange without a whole answer.

    Attributes:
        kind: What happened; only NOT_SENT means that the request did not run.
    """

    def __init__(self, kind: FailureKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail


class _State(Enum):
    IDLE = "idle"
    WAITING = "waiting"
    BODY = "body"
    DONE = "done"


class Connection(asyncio.Protocol):
    """Sends a request and reads its answer.

    Late answers to other requests are dropped.

    Args:
        decode: Decodes the head of an answer.

    Attributes:
        idle_since: Event-loop time of the end of the last exchange, seconds.
        keep_alive_s: Time for which the upstream keeps it open while idle, seconds.
        n_exchanges: Requests sent on it.
        on_idle_loss: Called when the connection is lost while idle.
        on_buffered: Called with the bytes of a body that are buffered in addition,
            once a read; negative when they are taken. Returns whether to read on.
    """

    def __init__(self, decode: DecodeHead) -> None:
        self._decode = decode
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._state = _State.IDLE
        self._request_id = ""
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_unexpected = False
        self._has_framing = False
        self._has_length = False
        self._has_trailers = False
        self._has_second_answer = False
        self._has_no_body = False
        self._head: AnswerHead | None = None
        self._chunks: list[bytes] = []
        # The end of the head, or the last bytes of the body.
        self._last_part = _HEAD_END
        self._n_buffered = 0
        self._n_stray = 0
        self._failure: Failure | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._is_paused = False
        self._rest_timer: asyncio.TimerHandle | None = None
        self._must_close = False
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.n_exchanges = 0
        self.on_idle_loss: Callable[[], None] = lambda: None
        self.on_buffered: Callable[[int], bool] = _ignore_buffered

    # -- use

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return (
            self._state is _State.IDLE
            and self._failure is None
            and not self._must_close
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def is_framed(self) -> bool:
        """Return whether the head of the answer tells how the body ends."""
        return self._has_framing

    def send(
        self,
        request_id: str,
        data: bytes,
        body: bytes = b"",
        has_no_body: bool = False,
    ) -> None:
        """Send a request.

        Args:
            request_id: Id that the answer must carry.
            data: Head, or head and body.
            body: Body, if it is not in `data`.
            has_no_body: Whether it is a HEAD request, whose answer has no body.

        Raises:
            Failure: NOT_SENT, if the connection is no longer usable.
        """
        if not self.is_reusable:
            raise Failure(FailureKind.NOT_SENT, "connection is closed")
        self._state = _State.WAITING
        self._request_id = request_id
        self._has_no_body = has_no_body
        self._head = None
        self._last_part = _HEAD_END
        self._has_second_answer = False
        self._n_stray = 0
        self.n_exchanges += 1
        if len(body) > BUFFER_BYTES:
            # A copy of a large body would be kept until the upstream has read it.
            self._transport.write(data)
            self._transport.write(body)
        else:
            self._transport.write(data + body)

    async def read_head(self, timeout_s: float) -> AnswerHead:
        """Return the head of the answer.

        Raises:
            Failure: No head arrived.
        """
        deadline = self._loop.time() + timeout_s
        while self._head is None:
            await self._wait(deadline)
        return self._head

    async def read_body_part(self, timeout_s: float) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        Raises:
            Failure: The body is incomplete.
        """
        deadline = self._loop.time() + timeout_s
        while not self._chunks:
            if self._state is _State.DONE and self._failure is None:
                return None
            await self._wait(deadline)
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.on_buffered(-self._n_buffered)
        self._n_buffered = 0
        self._resume()
        return data

    def _rest(self) -> None:
        """Stop reading for a moment, until dropped callers have given back memory."""
        if self._rest_timer is None and self._transport is not None:
            self._rest_timer = self._loop.call_later(REST_S, self._end_rest)
            self._pause()

    def _end_rest(self) -> None:
        self._rest_timer = None
        if self._n_buffered <= BUFFER_BYTES:
            self._resume()

    def _pause(self) -> None:
        if not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if not self._is_paused or self._rest_timer is not None:
            return
        self._is_paused = False
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def finish(self) -> None:
        """End an exchange; close the connection unless it may be reused."""
        is_whole = self._state is _State.DONE and self._failure is None
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        self._state = _State.IDLE
        self.idle_since = self._loop.time()
        if not is_whole or unsent or self._must_close:
            self.close()

    def close(self) -> None:
        """Abort the connection, so that the upstream cancels the running request."""
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()

    def release_buffer(self) -> None:
        """Forget what was buffered of an answer that nobody reads any more."""
        self._chunks.clear()
        self._n_buffered = 0
        self.on_buffered = _ignore_buffered
        self._resume()

    def withdraw(self, detail: str) -> None:
        """Abort the exchange, so that the upstream drops the request."""
        self._fail(FailureKind.WITHDRAWN, detail)

    async def _wait(self, deadline: float) -> None:
        if self._failure is not None:
            raise self._failure
        timeout_s = deadline - self._loop.time()
        if timeout_s <= 0:
            raise Failure(FailureKind.SILENT, "timed out waiting for data")
        self._waiter = self._loop.create_future()
        timer = self._loop.call_later(timeout_s, self._wake_waiter)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, kind: FailureKind, detail: str) -> None:
        if self._failure is None:
            self._failure = Failure(kind, detail)
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()
        self._wake_waiter()

    # -- transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse bytes; those received outside an exchange belong to no request."""
        if self._failure is not None:
            return
        if self._state is _State.IDLE:
            self._fail(FailureKind.GARBLED, "unexpected data on an idle connection")
            self.on_idle_loss()
            return
        was_done = self._state is _State.DONE
        n_before = self._n_buffered
        self._n_stray += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            if self._state is not _State.DONE:
                self._fail(FailureKind.GARBLED, f"malformed answer: {exc}")
            elif not self._has_second_answer:
                self._fail(FailureKind.GARBLED, "bytes after the end of the answer")
            self._must_close = True
        if self._n_buffered > n_before and not self.on_buffered(
            self._n_buffered - n_before
        ):
            self._rest()
        if self._n_stray > MAX_STRAY_BYTES and self._state is not _State.DONE:
            detail = f"{self._n_stray} bytes outside the expected answer"
            self._fail(FailureKind.GARBLED, detail)
        if self._state is _State.DONE and not self._ends_with_answer(data, was_done):
            self._fail(FailureKind.GARBLED, "line ends after the end of the answer")
        if was_done:
            # Nothing after a second answer can be trusted.
            self.close()
        self._wake_waiter()

    def _ends_with_answer(self, data: bytes, was_done: bool) -> bool:
        """Return whether an answer of a stated length ends with the bytes received.

        The parser skips line ends between answers. They may be the end of a body whose
        length was made a lower one.
        """
        if not self._has_length or self._has_second_answer:
            return True
        if was_done:
            return False
        return data.endswith(self._last_part) or _HEAD_END.endswith(data)

    def eof_received(self) -> bool:
        """Complete a body without framing; any other answer is truncated."""
        self._must_close = True
        if self._state is _State.BODY and not self._has_framing:
            self._end_answer()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange unless its answer is complete."""
        self._must_close = True
        if self._state in (_State.WAITING, _State.BODY):
            detail = "closed" if exc is None else repr(exc)
            self._fail(FailureKind.BROKEN, f"connection {detail} before the end")
        elif self._state is _State.IDLE:
            self.on_idle_loss()
        self._wake_waiter()
        # The parser refers to this object, which would stay until the next collection.
        self._parser = None

    # -- parser

    def on_message_begin(self) -> None:
        """Start an answer."""
        if self._state is _State.DONE:
            self._must_close = True
            return
        self._headers = []
        self._has_framing = False
        self._has_length = False
        self._has_trailers = False

    def on_status(self, status: bytes) -> None:
        """Recognise a second answer to the same request."""
        self._has_second_answer = self._state is _State.DONE

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header line."""
        if self._state is _State.DONE or self._failure is not None:
            return
        name = name.lower()
        self._has_framing |= name in _FRAMING
        self._has_length |= name == b"content-length"
        self._has_trailers |= name == b"trailer"
        if _is_unusable(name, value):
            self._fail(FailureKind.GARBLED, f"framing {name[:40]!r}: {value[:40]!r}")
        if self._state is _State.BODY and not self._has_trailers:
            # A wrong byte makes the last chunk of another one, and a header of a text.
            self._fail(FailureKind.GARBLED, f"unannounced trailer {name[:40]!r}")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decode the head, or skip an answer to another request."""
        if self._state is not _State.WAITING or self._failure is not None:
            self._is_unexpected = True
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._is_unexpected = True
            return
        head = self._decode(status, self._headers)
        needs_id = head.is_success or not head.is_not_run
        matches_id = head.request_id == self._request_id
        self._is_unexpected = not matches_id and (
            needs_id or head.request_id is not None
        )
        if self._is_unexpected:
            self._must_close = True
            return
        if status == _NO_CONTENT and self._has_framing:
            self._fail(FailureKind.GARBLED, "a body in an answer without content")
            return
        self._head = head
        self._n_stray = 0
        self._state = _State.BODY
        # A late copy of an answer without an id could not be told from the next answer.
        self._must_close |= (
            head.closes or head.is_wrong_upstream or head.request_id is None
        )
        if head.keep_alive_s is not None:
            self.keep_alive_s = head.keep_alive_s
        if self._has_no_body:
            self._must_close = True
            self._end_answer()

    def on_body(self, body: bytes) -> None:
        """Buffer bytes of the body, and pause reading while the buffer is full."""
        if self._is_unexpected or self._state is not _State.BODY:
            return
        self._n_stray = 0
        self._last_part = body
        self._chunks.append(body)
        self._n_buffered += len(body)
        if self._n_buffered > BUFFER_BYTES:
            self._pause()

    def on_message_complete(self) -> None:
        """Complete the answer."""
        if self._is_unexpected:
            self._is_unexpected = False
        elif self._state is _State.BODY:
            self._end_answer()

    def _end_answer(self) -> None:
        self._state = _State.DONE
        self._wake_waiter()


def _ignore_buffered(n_bytes: int) -> bool:
    """Count nothing, for connections whose answers are small."""
    return True


def _is_unusable(name: bytes, value: bytes) -> bool:
    """Return whether the end of the body can't be told after a header line.

    An answer without framing ends with its connection. With a wrong byte in the name of
    its framing it would do so too, or never end.
    """
    if name == b"transfer-encoding":
        return value.lower() != b"chunked"
    return name in _NEAR_FRAMING


async def open_connection(
    host: str,
    port: int,
    timeout_s: float,
    decode: DecodeHead,
    keep_alive: KeepAlive = UPSTREAM_KEEP_ALIVE,
) -> Connection:
    """Connect to a server.

    Raises:
        Failure: NOT_SENT.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, conn = await loop.create_connection(
                lambda: Connection(decode), host, port
            )
    except Exception as exc:
        # An address that cannot be used raises other errors than OSError, too.
        raise Failure(FailureKind.NOT_SENT, f"connect {host}:{port}: {exc!r}") from exc
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            _set_options(sock, keep_alive)
    return conn


def _set_options(sock: socket.socket, keep_alive: KeepAlive) -> None:
    tcp = socket.IPPROTO_TCP
    # Bounds one read, and what the system keeps of an answer that is not read.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, keep_alive.idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, keep_alive.interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, keep_alive.n_probes)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, keep_alive.user_timeout_ms)
