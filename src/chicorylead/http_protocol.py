"""HTTP protocol of a server that bounds what each caller makes it hold.

Uvicorn's protocol parses whatever was read, queues all requests in it, and keeps
trailers. This one hands the bytes to it in slices that end where a request may end, and
holds the rest until the answer to that request was written and read. Reading goes on
up to one request ahead, so that the end of the connection is noticed.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from starlette.types import ASGIApp, Message, Receive, Scope, Send
from uvicorn.config import Config
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from chicorylead.http_chunks import ChunkScanner
from chicorylead.memory.budget import Account, Budget, DropReason

__all__ = ["CallerReader", "HttpLimits"]

READ_BYTES = 65_536  # largest read
# Held of requests after the one that runs, bytes; more than a head.
MAX_AHEAD_BYTES = 65_536
MAX_UNREAD_BODY_BYTES = 65_536  # received and not yet taken by the application
# A body of one byte in each chunk has six times its size on the wire.
MAX_FRAMING_RATIO = 8
# Trailers, extensions and all else between two bytes of a body.
MAX_FRAMING_RUN_BYTES = 16_384
# The event loop polls once more before a timeout counts, as a slow router may not
# have read what has arrived.
RECHECK_S = 0.02
_MAX_QUEUED = 16  # requests in one slice, which only line ends without CR separate
# States of TCP after the other side's end: closed, and waiting to be closed.
_CLOSED_BY_CALLER_STATES = (7, 8)
_HEAD_END = b"\r\n\r\n"
_BLANK = b"\r\n"

_STATUS = {
    DropReason.HEAD_SIZE: b"431 Request Header Fields Too Large",
    DropReason.FRAMING: b"431 Request Header Fields Too Large",
    DropReason.BODY_SIZE: b"413 Content Too Large",
    DropReason.HEAD_TIME: b"408 Request Timeout",
    DropReason.MEMORY: b"503 Service Unavailable",
}
_RETRY_AFTER = (
    b"Retry-After: 1.000\r\n"  # the memory of a dropped crowd is free by then
)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the requests of one caller.

    Attributes:
        head_bytes: Largest head, with the request line, bytes.
        body_bytes: Largest body, bytes.
        head_timeout_s: Time within which a head has to arrive, seconds.
        idle_timeout_s: Time for which an idle connection stays open, seconds.
    """

    head_bytes: int = 32_768
    body_bytes: int = 1 << 40
    head_timeout_s: float = 20.0
    idle_timeout_s: float = 15.0


class _Flow(FlowControl):
    """Flow control that resumes reading only while little is held."""

    def __init__(
        self, transport: asyncio.Transport, may_read: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._may_read = may_read

    def resume_reading(self) -> None:
        if self._may_read():
            super().resume_reading()


class CallerReader(asyncio.BufferedProtocol):
    """Reads at most `READ_BYTES` at once, into a buffer that all connections share.

    Args:
        protocol: The HTTP protocol.
        buffer: The shared buffer.
    """

    def __init__(self, protocol: "CallerProtocol", buffer: bytearray) -> None:
        self._protocol = protocol
        self._buffer = buffer
        self._view = memoryview(buffer)
        self.connection_lost = protocol.connection_lost
        self.eof_received = protocol.eof_received
        self.pause_writing = protocol.pause_writing
        self.resume_writing = protocol.resume_writing
        self.connection_made = protocol.connection_made

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer; it is copied from before the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self._protocol.data_received(bytes(self._view[:nbytes]))


class CallerProtocol(HttpToolsProtocol):
    """HTTP protocol that bounds heads, framing, read-ahead and unread answers.

    Args:
        budget: Owner of the memory.
        limits: Returns the limits in force.
    """

    def __init__(
        self,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
        *,
        budget: Budget,
        limits: Callable[[], HttpLimits],
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self._budget = budget
        self._limits = limits
        self._account: Account | None = None
        self._asgi: ASGIApp = self.app
        self.app = self._run
        self._ahead = b""
        self._tail = b""
        self._is_in_head = True
        self._has_line = False  # whether more than blank lines came of a head
        self._chunks = ChunkScanner()
        self._is_feeding = False
        self._is_stopping = False
        self._is_lost = False
        self._may_have_run = False
        self._saw_body = False
        self._body_left: int | None = None  # None for a chunked one
        self._head_bytes = 0
        self._n_read = 0
        self._n_framing_run = 0
        self._n_request_bytes = 0
        self._n_body = 0
        self._n_unsent = 0
        self._head_timer: asyncio.TimerHandle | None = None

    # -- connection

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self.flow = _Flow(transport, self._may_read)
        host, port = self.client or ("unknown", 0)
        caller = f"{host}:{port}"
        self._account = self._budget.open(caller, self._end, self._poll)
        self._arm_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_head_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)
        self._set_read_ahead(b"")
        self._give_body()
        self._note_unsent(0)
        self._is_lost = True
        if self.cycle is not None:
            self.cycle.body = bytearray()
        self._budget.close(self._account)

    def shutdown(self) -> None:
        """Close the connection once all requests that arrived were answered."""
        self._is_stopping = True
        if _HEAD_END not in self._ahead:
            super().shutdown()

    # -- flow

    def _may_read(self) -> bool:
        """Return whether more may be read: at most one request ahead."""
        is_full = len(self._ahead) >= MAX_AHEAD_BYTES or bool(self.pipeline)
        return not is_full and not self._has_unread_body()

    def _has_unread_body(self) -> bool:
        cycle = self.cycle
        return (
            cycle is not None
            and not cycle.response_complete
            and len(cycle.body) > MAX_UNREAD_BODY_BYTES
        )

    def _must_wait(self) -> bool:
        """Return whether the next request has to wait for the answer before it."""
        is_at_start = self._is_in_head and self._head_bytes == 0
        if is_at_start and self.flow.write_paused:
            return True
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return not cycle.more_body or self._has_unread_body()

    def data_received(self, data: bytes) -> None:
        """Parse what was read, as far as it may be parsed now."""
        self._n_read += len(data)
        self._account.record_progress()
        if self._ahead:
            self._set_read_ahead(self._ahead + data)
        else:
            self._set_read_ahead(self._feed(data))
        self._resume_parsing()
        if self.cycle is not None and self.cycle.response_complete:
            self._arm_idle()

    def _resume_parsing(self) -> None:
        """Parse what is held as soon as it may be parsed."""
        if self._ahead and not self._is_feeding and not self.transport.is_closing():
            self._set_read_ahead(self._feed(self._ahead))
        if self.transport.is_closing():
            return
        if self._may_read():
            self.flow.resume_reading()
        else:
            self.flow.pause_reading()

    def _set_read_ahead(self, data: bytes) -> None:
        n_added = len(data) - len(self._ahead)
        self._ahead = data
        if n_added > 0:
            self._account.take(n_added)
        elif n_added < 0:
            self._account.give(-n_added)

    def _feed(self, data: bytes) -> bytes:
        """Parse slices up to the end of a request; return what has to wait."""
        start = 0
        self._is_feeding = True
        body_before = self._n_body
        while start < len(data) and not self.transport.is_closing():
            if self._must_wait():
                break
            end = self._slice_end(data, start)
            piece = data if end - start == len(data) else data[start:end]
            is_head = self._is_in_head
            if is_head and not self._take_head(len(piece)):
                break
            self._saw_body = False
            super().data_received(piece)
            self._tail = (self._tail + piece[-3:])[-3:]
            start = end
            if not is_head and not self.transport.is_closing():
                self._check_framing(len(piece))
            if self._is_stopping and data.find(_HEAD_END, start) < 0:
                self._close_after_answer()
        self._is_feeding = False
        if self._n_body > body_before:
            self._account.take(self._n_body - body_before)
        if self.transport.is_closing():
            return b""
        return data[start:]

    def _slice_end(self, data: bytes, start: int) -> int:
        """Return where a head or a body may end, or the end of the data."""
        if not self._is_in_head and self._body_left is not None:
            return min(len(data), start + max(1, self._body_left))
        if not self._is_in_head and not self._chunks.is_last:
            return self._chunks.scan(data, start)
        if self._is_in_head and not self._has_line:
            # Blank lines before a head are one slice, however many they are.
            n_left = len(data[start:].lstrip(_BLANK))
            self._has_line = n_left > 0
            if n_left < len(data) - start:
                return len(data) - n_left
        n_tail = len(self._tail)
        at = (self._tail + data[start : start + 3]).find(_HEAD_END)
        if at >= 0:
            return start + at + len(_HEAD_END) - n_tail
        at = data.find(_HEAD_END, start)
        return at + len(_HEAD_END) if at >= 0 else len(data)

    # -- limits

    def _take_head(self, n_bytes: int) -> bool:
        if self._head_bytes == 0:
            self._head_timer = self.loop.call_later(
                self._limits().head_timeout_s, self._check_head_time, False
            )
        self._head_bytes += n_bytes
        if self._head_bytes <= self._limits().head_bytes:
            return True
        self._refuse(DropReason.HEAD_SIZE)
        return False

    def _check_head_time(self, is_last: bool) -> None:
        if is_last:
            self._refuse(DropReason.HEAD_TIME)
        else:
            self._head_timer = self.loop.call_later(
                RECHECK_S, self._check_head_time, True
            )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
        self._head_timer = None

    def _check_framing(self, n_bytes: int) -> None:
        """Bound what a body has on the wire, and what lies between its bytes."""
        limit = self._limits().body_bytes
        self._n_framing_run = 0 if self._saw_body else self._n_framing_run + n_bytes
        self._n_request_bytes += n_bytes
        is_long = self._n_framing_run > MAX_FRAMING_RUN_BYTES
        if self._body_left is None and (is_long or self._chunks.is_lost):
            self._refuse(DropReason.FRAMING)
        elif self._n_request_bytes > MAX_FRAMING_RATIO * limit:
            self._refuse(DropReason.BODY_SIZE)
        elif len(self.pipeline) > _MAX_QUEUED:
            self._refuse(DropReason.PIPELINE)

    def _close_after_answer(self) -> None:
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.keep_alive = False

    def _refuse(self, reason: DropReason) -> None:
        """Refuse the request that is being received, and close the connection."""
        if not self.transport.is_closing():
            self._budget.report(self._account, reason)
            self._end(reason)

    def _end(self, reason: DropReason) -> None:
        """Close the connection; a request that has not run is refused."""
        self._cancel_head_timer()
        status = _STATUS.get(reason)
        is_short = reason is DropReason.MEMORY
        # What is unsent may never be read.
        has_unsent = is_short and self.transport.get_write_buffer_size() > 0
        if (
            status is None
            or has_unsent
            or self.transport.is_closing()
            or not self._may_answer()
        ):
            self.transport.abort()
            return
        retry = _RETRY_AFTER if is_short else b""
        self.transport.write(
            b"HTTP/1.1 %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (status, retry)
        )
        self.transport.close()

    def _may_answer(self) -> bool:
        """Return whether a refusal would answer a request that has not run."""
        if self.pipeline:
            return False
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return self._is_in_head and self._head_bytes > 0
        return not (cycle.response_started or self._may_have_run)

    # -- parser

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._is_in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._cancel_head_timer()
        self._head_bytes = 0
        self._is_in_head = False
        self._n_framing_run = 0
        self._n_request_bytes = 0
        self._body_left = None
        self._chunks = ChunkScanner()
        for name, value in self.headers:
            if name == b"content-length":
                with contextlib.suppress(ValueError):
                    self._body_left = int(value)
        # Uvicorn splits the target and loses an empty query.
        self.scope["chicorylead.target"] = self.url
        self.scope["chicorylead.is_closing"] = self.transport.is_closing
        self.scope["chicorylead.account"] = self._account
        self.scope["chicorylead.before_run"] = self._record_run
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        self._saw_body = True
        if self._body_left is not None:
            self._body_left -= len(body)
        if not self.cycle.response_complete:
            self._n_body += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        self._is_in_head = True
        self._has_line = False
        self._head_bytes = 0
        super().on_message_complete()

    # -- answers

    async def _run(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the application; count what is written and not yet read."""
        account = self._account
        account.begin_request()

        async def counted(message: Message) -> None:
            await send(message)
            if not self._is_lost:
                # The transport counts what was written from its next iteration on.
                n_unsent = self.transport.get_write_buffer_size()
                self._note_unsent(max(n_unsent, len(message.get("body", b""))))

        async def taken() -> Message:
            message = await receive()
            self._resume_parsing()
            return message

        try:
            if account.is_open:
                await self._asgi(scope, taken, counted)
            elif not self.transport.is_closing():
                self.transport.abort()
        finally:
            account.end_request()

    def _record_run(self) -> bool:
        """Record that the request may run from now on; False if it was dropped."""
        self._may_have_run = True
        return self._account.is_open and not self.transport.is_closing()

    def on_response_complete(self) -> None:
        self._may_have_run = False
        self._give_body()
        self._account.record_progress()
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._ahead:
            self.loop.call_soon(self._resume_parsing)
        elif self._is_stopping and not self.pipeline:
            self.transport.close()
        self._arm_idle()

    def _give_body(self) -> None:
        self._account.give(self._n_body)
        self._n_body = 0

    def _poll(self) -> None:
        """Count what is unread; notice a close that reading would have shown."""
        self._count_unsent()
        if not self._is_lost and self.flow.read_paused and self._is_closed_by_caller():
            self.transport.abort()

    def _is_closed_by_caller(self) -> bool:
        """Return whether the caller has closed its side of the connection."""
        sock = self.transport.get_extra_info("socket")
        try:
            state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (OSError, AttributeError):
            return False
        return state in _CLOSED_BY_CALLER_STATES

    def _count_unsent(self) -> None:
        """Count what is written and not yet read."""
        if not self._is_lost:
            self._note_unsent(self.transport.get_write_buffer_size())

    def _note_unsent(self, n_bytes: int) -> None:
        n_added = n_bytes - self._n_unsent
        self._n_unsent = n_bytes
        if n_added > 0:
            self._account.take(n_added)
        elif n_added < 0:
            self._account.give(-n_added)
            self._account.record_progress()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._count_unsent()
        self._resume_parsing()

    # -- idle connections

    def _arm_idle(self) -> None:
        self._unset_keepalive_if_required()
        if not self.pipeline:
            self.timeout_keep_alive_task = self.loop.call_later(
                self._limits().idle_timeout_s, self.timeout_keep_alive_handler
            )

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection unless a request has arrived and was not read yet."""
        n_read = self._n_read
        self.timeout_keep_alive_task = self.loop.call_later(
            RECHECK_S, self._close_idle, n_read
        )

    def _close_idle(self, n_read: int) -> None:
        if self._n_read == n_read and not self.transport.is_closing():
            self.transport.close()
