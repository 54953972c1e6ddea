"""Answers whose framing can't be used, as one byte of its header line is wrong."""

import asyncio

import pytest

from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.upstream.connection import Connection, Failure, FailureKind
from tests.gateway.fakes import ReceivedRequest
from tests.gateway.test_fuzz import FakeTransport
from tests.gateway.test_gateway import GatewayHarness, Writer, _run_check

HEAD = (
    "HTTP/1.1 200 OK\r\nChicorylead-Response-Seal: 1.2\r\n"
    "Chicorylead-Attempt-Id: {id}\r\n"
)
TEXT = b"hello, this is a body\r\n"
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(TEXT), TEXT)
SOUND = b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS
WRONG = {
    "a_letter_of_chunked": b"Transfer-Encoding: chunkad\r\n\r\n" + CHUNKS,
    "a_letter_of_the_coding": b"Transfer-Encodong: chunked\r\n\r\n" + CHUNKS,
    "a_hyphen": b"Transfer.Encoding: chunked\r\n\r\n" + CHUNKS,
    "a_colon_in_the_name": b"Transfer-Encod:ng: chunked\r\n\r\n" + CHUNKS,
    "a_letter_of_the_length": b"Content-Lemgth: 23\r\n\r\n" + TEXT,
}
# Below the time after which a request leaves an upstream that sends nothing.
AT_ONCE_S = 0.75


def _script(framed: bytes, is_closed: bool):
    """Return a script whose first answer has the framing given."""
    n_runs = []

    async def script(got: ReceivedRequest, writer: Writer) -> None:
        n_runs.append(got.number)
        head = HEAD.format(id=got.headers["chicorylead-attempt-id"]).encode()
        writer.write(head + (framed if len(n_runs) == 1 else SOUND))
        if is_closed:
            writer.close()

    return script, n_runs


# Guards against framing that reaches callers as a body, and a wait for its end.
@pytest.mark.parametrize("is_closed", [False, True])
@pytest.mark.parametrize("kind", WRONG)
def test_an_idempotent_request_runs_elsewhere_at_once(kind, is_closed):
    script, n_runs = _script(WRONG[kind], is_closed)

    async def check(harness: GatewayHarness) -> None:
        async with asyncio.timeout(AT_ONCE_S):
            status, _, body, is_whole = await harness.call("/look/a")
        assert (status, body, is_whole) == (200, TEXT, True)

    _run_check([script, script], check)
    assert len(n_runs) == 2


@pytest.mark.parametrize("is_closed", [False, True])
@pytest.mark.parametrize("kind", WRONG)
def test_a_request_that_may_run_once_fails_at_once(kind, is_closed):
    script, n_runs = _script(WRONG[kind], is_closed)

    async def check(harness: GatewayHarness) -> None:
        async with asyncio.timeout(AT_ONCE_S):
            answer = await harness.call("/publish/a", method="POST", body=b"x")
        assert answer[0] == 502

    _run_check([script, script], check)
    assert len(n_runs) == 1


def test_headers_with_other_names_do_not_count_as_framing():
    async def main() -> None:
        conn = Connection(decode_answer)
        conn.connection_made(FakeTransport())
        conn.send("r", b"GET / HTTP/1.1\r\n\r\n")
        head = HEAD.format(id="r").encode()
        conn.data_received(head + b"Content-Type: text/plain\r\n" + SOUND)
        assert await conn.read_head(0.0)
        assert await conn.read_body_part(0.0) == TEXT
        assert await conn.read_body_part(0.0) is None

    asyncio.run(main())


def test_a_wrong_framing_fails_the_exchange_as_garbled():
    async def main() -> None:
        conn = Connection(decode_answer)
        conn.connection_made(FakeTransport())
        conn.send("r", b"GET / HTTP/1.1\r\n\r\n")
        conn.data_received(HEAD.format(id="r").encode() + b"Bontent-Length: 23\r\n\r\n")
        with pytest.raises(Failure) as info:
            await conn.read_head(0.0)
        assert info.value.kind is FailureKind.GARBLED

    asyncio.run(main())
