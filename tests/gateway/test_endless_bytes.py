"""Upstreams that send endless bytes which are no valid response."""

import asyncio

import pytest

from chicorylead.gateway.cold_monitor import MAX_HEALTH_BYTES
from chicorylead.http_client import HttpClient
from chicorylead.upstream.connection import Failure
from tests.gateway.fakes import FakeUpstream, ReceivedRequest
from tests.gateway.test_gateway import (
    STREAM_HEAD,
    GatewayHarness,
    Writer,
    _chunk,
    _run_check,
    _serve,
)

HEAD = (
    "HTTP/1.1 200 OK\r\nChicorylead-Attempt-Id: {id}\r\n"
    "Chicorylead-Response-Seal: 1.2.3\r\n"
)
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
OTHER_ANSWER = (
    b"HTTP/1.1 200 OK\r\nChicorylead-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nno"
)
LINES = b"X-One: 1\r\n" * 800
BLOCK = b"x" * 8192
# Fewer and larger writes of a long body keep their rate beside load.
LARGE_BLOCK = b"x" * 65_536
BYTES_PER_S = 8 * 2**20
LIMIT_S = 1.2  # callers wait for 2 s
MAX_BYTES_READ = 8 * 2**20  # bytes; twice the largest complete response

RESPONSES = {
    "no_answer": ("", BLOCK),
    "a_status_line": ("HTTP/1.1 200 ", BLOCK),
    "a_header": (HEAD + "X-Long: ", BLOCK),
    "header_lines": (HEAD, LINES),
    "interim_answers": ("", b"HTTP/1.1 102 Wait\r\n\r\n" * 400),
    "answers_to_others": ("", OTHER_ANSWER * 100),
    "a_body_without_length": (HEAD + "\r\n", LARGE_BLOCK),
    "chunks": (CHUNKED, _chunk(LARGE_BLOCK)),
    "an_extension_of_a_chunk": (CHUNKED + "2;ext=", BLOCK),
    "trailers": (CHUNKED + "0\r\n", LINES),
}
STREAMS = {
    "an_event": (STREAM_HEAD, _chunk(BLOCK)),
    "comments": (STREAM_HEAD, _chunk(b": nothing\n\n" * 800)),
    "events_without_ids": (STREAM_HEAD, _chunk(b"data: nothing\n\n" * 600)),
    "trailers": (STREAM_HEAD + "0\r\n", LINES),
}


class EndlessResponder:
    """Script that writes a start, then repeats a block until the router closes.

    Attributes:
        n_written: Bytes written.
        n_ended: Exchanges that the router ended.
    """

    def __init__(
        self, start: str, block: bytes, bytes_per_s: float = BYTES_PER_S
    ) -> None:
        self._start = start
        self._block = block
        self._pause_s = len(block) / bytes_per_s
        self.n_written = 0
        self.n_ended = 0

    async def __call__(self, got: ReceivedRequest, writer: Writer) -> None:
        """Answer one request."""
        start = self._start.format(id=got.headers["chicorylead-attempt-id"])
        writer.write(start.encode())
        try:
            while True:
                writer.write(self._block)
                self.n_written += len(self._block)
                await writer.drain()
                await asyncio.sleep(self._pause_s)
        except ConnectionError:
            self.n_ended += 1
            raise

    def has_ended_in_time(self) -> bool:
        """Return whether the router ended the only exchange within the byte limit."""
        return self.n_ended == 1 and self.n_written <= MAX_BYTES_READ


async def _wait_until_ended(responder: EndlessResponder) -> None:
    async with asyncio.timeout(0.5):
        while not responder.n_ended:
            await asyncio.sleep(0.01)
    assert responder.has_ended_in_time()


@pytest.mark.parametrize("kind", RESPONSES)
def test_an_endless_response_fails_a_request_that_may_run_once(kind):
    responder = EndlessResponder(*RESPONSES[kind])

    async def check(harness: GatewayHarness) -> None:
        async with asyncio.timeout(LIMIT_S):
            status, _, _, whole = await harness.call(
                "/publish/a", method="POST", body=b"x"
            )
        # It may have run, so it is neither retried nor reported as not run.
        assert (status, whole) == (502, True)
        assert harness.n_received == 1
        await _wait_until_ended(responder)

    _run_check([responder, responder], check)


@pytest.mark.parametrize("kind", RESPONSES)
def test_an_endless_response_makes_an_idempotent_request_run_elsewhere(kind):
    responder = EndlessResponder(*RESPONSES[kind])

    async def check(harness: GatewayHarness) -> None:
        # Either upstream may get the first attempt.
        for _ in range(2):
            async with asyncio.timeout(LIMIT_S):
                status, _, body, whole = await harness.call("/look/a")
            assert (status, body, whole) == (200, b"hello", True)
        await _wait_until_ended(responder)

    _run_check([responder, _serve], check)


# Guards against a body that reaches its limit of bytes only after the caller has left.
@pytest.mark.parametrize("bytes_per_s", [2.7e6, 0.4e6])
def test_an_endless_body_that_comes_slowly_is_left_for_another_upstream(bytes_per_s):
    responder = EndlessResponder(HEAD + "\r\n", BLOCK, bytes_per_s)

    async def check(harness: GatewayHarness) -> None:
        # Either upstream may get the first attempt.
        for _ in range(2):
            status, _, body, whole = await harness.call("/look/a")
            assert (status, body, whole) == (200, b"hello", True)
        await _wait_until_ended(responder)

    _run_check([responder, _serve], check)


@pytest.mark.parametrize("kind", STREAMS)
def test_an_endless_stream_without_events_is_cut(kind):
    responder = EndlessResponder(*STREAMS[kind])

    async def check(harness: GatewayHarness) -> None:
        async with asyncio.timeout(LIMIT_S):
            status, _, _, whole = await harness.call(
                "/chat/a", method="POST", body=b"x"
            )
        assert status == 502 or not whole
        await _wait_until_ended(responder)

    _run_check([responder], check)


# Guards against an upstream whose health response fills the memory of a router.
def test_a_health_response_without_end_is_given_up_after_some_bytes():
    n_written = 0

    async def write_endless(got: ReceivedRequest, writer: Writer) -> None:
        nonlocal n_written
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.transport.is_closing():
            writer.write(_chunk(LARGE_BLOCK))
            n_written += len(LARGE_BLOCK)
            await writer.drain()
            await asyncio.sleep(0)

    async def main() -> None:
        upstream = FakeUpstream(write_endless)
        await upstream.start()
        client = HttpClient(MAX_HEALTH_BYTES)
        address = ("127.0.0.1", upstream.port)
        with pytest.raises(Failure, match="body of"):
            await client.get(address, "/health", {}, 5.0)
        await client.close()
        await upstream.stop()

    asyncio.run(main())
    assert n_written <= MAX_BYTES_READ
