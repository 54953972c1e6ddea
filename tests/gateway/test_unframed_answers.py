"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct

import pytest

from tests.gateway.fakes import ReceivedRequest, call
from tests.gateway.test_gateway import GatewayHarness, _event, _run_check

N_EVENTS = 5
UNFRAMED_HEAD = (
    "HTTP/1.1 200 OK\r\nChicorylead-Attempt-Id: {id}\r\n"
    "Chicorylead-Response-Seal: 1.2.3\r\nContent-Type: text/event-stream\r\n\r\n"
)
CHUNKED_HEAD = UNFRAMED_HEAD.replace(
    "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def _reset(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack("ii", 1, 0)  # closing sends a reset
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class _UnframedStream:
    """Streams events without framing; the first run stops as the test says.

    Args:
        n_whole: Whole events of the first run.
        n_partial_bytes: Bytes of a further event.
        is_reset: Whether the connection ends with a reset.
    """

    def __init__(self, n_whole: int, n_partial_bytes: int, is_reset: bool) -> None:
        self._n_whole = n_whole
        self._n_partial_bytes = n_partial_bytes
        self._is_reset = is_reset
        self.n_runs = 0

    async def __call__(
        self, got: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.n_runs += 1
        after = int(got.headers.get("last-event-id", "0"))
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(UNFRAMED_HEAD.format(id=request_id).encode())
        is_first = self.n_runs == 1
        last = self._n_whole if is_first else N_EVENTS
        for number in range(after + 1, last + 1):
            writer.write(_event(number))
        if is_first:
            writer.write(_event(last + 1)[: self._n_partial_bytes])
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_first and self._is_reset:
            _reset(writer)
        else:
            writer.close()


async def _check_whole(harness: GatewayHarness) -> None:
    status, _, body, is_whole = await harness.call("/revise/a")
    assert (status, is_whole) == (200, True)
    assert body == b"".join(_event(number) for number in range(1, N_EVENTS + 1))


def test_a_stream_that_ends_with_its_connection_after_an_event_is_whole():
    script = _UnframedStream(N_EVENTS, 0, is_reset=False)
    _run_check([script, script], _check_whole)
    assert script.n_runs == 1


@pytest.mark.parametrize(
    ("n_whole", "n_partial_bytes", "is_reset"),
    [(2, 7, False), (2, 7, True), (2, 0, True), (0, 3, False)],
)
def test_a_stream_that_is_reset_or_ends_inside_an_event_is_resumed(
    n_whole, n_partial_bytes, is_reset
):
    script = _UnframedStream(n_whole, n_partial_bytes, is_reset)
    _run_check([script, script], _check_whole)
    assert script.n_runs == 2


def test_a_stream_that_cannot_be_resumed_and_ends_inside_an_event_looks_incomplete():
    script = _UnframedStream(2, 7, is_reset=False)

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await call(harness.ports[0], "/chat/a")
        assert (status, is_whole) == (200, False)
        assert body == _event(1) + _event(2)

    _run_check([script, script], check)
    assert script.n_runs == 1


def test_a_chunked_stream_whose_last_chunk_ends_inside_an_event_is_resumed():
    n_runs = []

    async def script(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        n_runs.append(got.number)
        after = int(got.headers.get("last-event-id", "0"))
        last = 2 if len(n_runs) == 1 else N_EVENTS
        events = b"".join(_event(number) for number in range(after + 1, last + 1))
        data = events + (_event(last + 1)[:7] if len(n_runs) == 1 else b"")
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(CHUNKED_HEAD.format(id=request_id).encode())
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data))

    _run_check([script, script], _check_whole)
    assert len(n_runs) == 2


@pytest.mark.parametrize(("is_reset", "status"), [(False, 200), (True, 502)])
def test_a_body_without_length_is_whole_only_if_its_connection_is_closed(
    is_reset, status
):
    async def script(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(UNFRAMED_HEAD.format(id=request_id).encode() + b"hello")
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            _reset(writer)
        else:
            writer.close()

    async def check(harness: GatewayHarness) -> None:
        answer = await harness.call("/publish/a", method="POST", body=b"x")
        assert answer[0] == status
        if not is_reset:
            assert answer[2:] == (b"hello", True)

    _run_check([script], check)
