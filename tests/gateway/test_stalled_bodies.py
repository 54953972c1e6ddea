"""Plain bodies that stop coming, as after a wrong byte of their length."""

import asyncio

import pytest

from tests.gateway.fakes import ReceivedRequest
from tests.gateway.test_gateway import GatewayHarness, Writer, _run_check, _serve

HEAD = (
    "HTTP/1.1 {status}\r\nChicorylead-Attempt-Id: {id}\r\n"
    "Chicorylead-Response-Seal: 1.2.3\r\n"
)
STALLED = {
    "a_larger_length": "Content-Length: 95\r\n\r\nhello",
    "a_larger_chunk": "Transfer-Encoding: chunked\r\n\r\n15\r\nhello\r\n0\r\n\r\n",
    "no_last_chunk": "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    "no_framing": "\r\nhello",
}
# Callers wait for 2 s.
SERVED_WITHIN_S = 1.6
REFUSED_WITHIN_S = 1.0
NOT_RUN = "Chicorylead-Not-Executed: 1\r\nContent-Length: 9\r\n\r\n"


class _Stalling:
    """Writes an answer whose body does not end, and keeps the connection open."""

    def __init__(self, rest: str, status: str = "200 OK") -> None:
        self._rest = rest
        self._status = status
        self.n_runs = 0

    async def __call__(self, got: ReceivedRequest, writer: Writer) -> None:
        """Answer one request."""
        self.n_runs += 1
        request_id = got.headers["chicorylead-attempt-id"]
        head = HEAD.format(status=self._status, id=request_id)
        writer.write((head + self._rest).encode())


# Guards against an idempotent request that waits for a body until its deadline.
@pytest.mark.parametrize("status", ["200 OK", "500 Error"])
@pytest.mark.parametrize("kind", STALLED)
def test_an_idempotent_request_leaves_a_body_that_stops(kind, status):
    stalling = _Stalling(STALLED[kind], status)

    async def check(harness: GatewayHarness) -> None:
        # Either upstream may get the first attempt.
        for _ in range(2):
            async with asyncio.timeout(SERVED_WITHIN_S):
                status, _, body, is_whole = await harness.call("/look/a")
            assert (status, body, is_whole) == (200, b"hello", True)

    _run_check([stalling, _serve], check)
    assert stalling.n_runs > 0


def test_a_request_that_may_run_once_waits_for_a_body_that_stops():
    stalling = _Stalling(STALLED["a_larger_length"])

    async def check(harness: GatewayHarness) -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(REFUSED_WITHIN_S):
                await harness.call("/publish/a", method="POST", body=b"x")

    _run_check([stalling, stalling], check)
    assert stalling.n_runs == 1


def test_a_body_that_goes_on_in_time_is_not_left():
    n_runs = []

    async def slow(got: ReceivedRequest, writer: Writer) -> None:
        n_runs.append(got.number)
        head = HEAD.format(status="200 OK", id=got.headers["chicorylead-attempt-id"])
        writer.write((head + "Content-Length: 5\r\n\r\n").encode())
        for byte in b"hello":
            await writer.drain()
            await asyncio.sleep(0.15)
            writer.write(bytes([byte]))

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await harness.call("/look/a")
        assert (status, body, is_whole) == (200, b"hello", True)

    _run_check([slow, slow], check)
    assert len(n_runs) == 1


@pytest.mark.parametrize("rest", [NOT_RUN, NOT_RUN.replace("9", "0") + "surplus"])
def test_a_refusal_counts_whatever_its_body_is(rest):
    # The head says that the request did not run, so that it may go elsewhere.
    refusing = _Stalling(rest, "503 Busy")

    async def check(harness: GatewayHarness) -> None:
        for _ in range(2):
            async with asyncio.timeout(REFUSED_WITHIN_S):
                status, _, body, _ = await harness.call(
                    "/publish/a", method="POST", body=b"x"
                )
            assert (status, body) == (200, b"hello")

    _run_check([refusing, _serve], check)
    assert refusing.n_runs > 0
