"""Answers of upstreams in which one byte outside the body's text is wrong."""

import asyncio
from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.upstream.connection import Connection, Failure
from tests.gateway.fakes import ReceivedRequest
from tests.gateway.test_fuzz import FakeTransport
from tests.gateway.test_gateway import (
    GatewayHarness,
    Writer,
    _event,
    _run_check,
)
from tests.soak.endpoints import spoil

HEAD = (
    b"HTTP/1.1 200 OK\r\nChicorylead-Response-Seal: 1.2\r\nContent-Type: text/plain\r\n"
    b"Chicorylead-Attempt-Id: r\r\nKeep-Alive: timeout=10\r\n"
)
# Texts that the parser may take for line ends, headers or the end of a head.
LINES = b"first: 1\r\nsecond: 2\r\n\r\n"
LONG = b"hello, this is a body\r\n"
N_EVENTS = 8
N_CALLS = 400
SPOILT_RATIO = 0.15  # far more than upstreams in trouble spoil
BYTES = b"\x00\t\n\r !,-.0123456789:;AafxZz\x7f\xff"


@dataclass(frozen=True)
class _Answer:
    """An answer of which only the framing and the head are changed.

    Attributes:
        head: The bytes before the body.
        body: Parts of the body, with whether they are text.
    """

    head: bytes
    body: tuple[tuple[bytes, bool], ...]

    @property
    def data(self) -> bytes:
        """Return all bytes."""
        return self.head + b"".join(part for part, _ in self.body)

    @property
    def text(self) -> bytes:
        """Return what the caller is to get."""
        return b"".join(part for part, is_text in self.body if is_text)

    def positions(self) -> list[int]:
        """Return the positions of bytes that are not text."""
        positions = list(range(len(self.head)))
        at = len(self.head)
        for part, is_text in self.body:
            if not is_text:
                positions += range(at, at + len(part))
            at += len(part)
        return positions


def _with_length(text: bytes) -> _Answer:
    head = HEAD + b"Content-Length: %d\r\n\r\n" % len(text)
    return _Answer(head, ((text, True),))


def _with_chunks(*texts: bytes) -> _Answer:
    parts: list[tuple[bytes, bool]] = []
    for text in texts:
        parts += [(b"%x\r\n" % len(text), False), (text, True), (b"\r\n", False)]
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return _Answer(head, (*parts, (b"0\r\n\r\n", False)))


ANSWERS = {
    "length": _with_length(LONG),
    "one_digit": _with_length(b"hello!\n"),
    "no_body": _with_length(b""),
    "chunks": _with_chunks(LONG, LINES),
    "a_chunk_of_lines": _with_chunks(b"a: b\r\n\r\n"),
    # No larger size of the first chunk ends with the second one. One that does so makes
    # text of its framing, which nothing in the answer tells.
    "sixteen_bytes": _with_chunks(b"key: 123456789\n\n", b"twelve bytes"),
    "no_framing": _Answer(HEAD + b"Connection: close\r\n\r\n", ((LONG, True),)),
}


async def _read(
    pieces: list[bytes], is_closed: bool, reads_between: bool
) -> bytes | None:
    """Return the body of a sealed success, or None for another answer.

    Raises:
        Failure: There is no whole answer.
    """
    conn = Connection(decode_answer)
    conn.connection_made(FakeTransport())
    conn.send("r", b"GET / HTTP/1.1\r\n\r\n")
    body, is_at_end = b"", False
    for piece in pieces:
        conn.data_received(piece)
        if reads_between and not is_at_end:
            part, is_at_end = await _read_available(conn)
            body += part
    if is_closed:
        conn.eof_received()
        conn.connection_lost(None)
    head = await conn.read_head(0.0)
    if not (head.is_success and head.is_sealed):
        return None
    while not is_at_end and (part := await conn.read_body_part(0.0)) is not None:
        body += part
    return body


async def _read_available(conn: Connection) -> tuple[bytes, bool]:
    """Return the bytes of the body that are there, and whether it is complete."""
    try:
        await conn.read_head(0.0)
        part = await conn.read_body_part(0.0)
    except Failure:
        return b"", False
    return part or b"", part is None


async def _body(
    pieces: list[bytes], is_closed: bool, reads_between: bool = False
) -> bytes | None:
    try:
        return await _read(pieces, is_closed, reads_between)
    except Failure:
        return None


def _spoil(data: bytes, at: int, byte: int) -> bytes:
    return data[:at] + bytes([byte]) + data[at + 1 :]


# Guards against a body that is cut short by a wrong byte of its framing.
@pytest.mark.parametrize("is_closed", [False, True])
@pytest.mark.parametrize("kind", ANSWERS)
def test_no_wrong_byte_makes_another_body_whole(kind, is_closed):
    answer = ANSWERS[kind]

    async def main() -> None:
        is_whole = is_closed or kind != "no_framing"
        assert await _body([answer.data], is_closed) == (
            answer.text if is_whole else None
        )
        for at in answer.positions():
            for byte in BYTES:
                body = await _body([_spoil(answer.data, at, byte)], is_closed)
                assert body in (None, answer.text), (at, bytes([byte]))

    asyncio.run(main())


@given(
    st.sampled_from(sorted(ANSWERS)),
    st.integers(0),
    st.integers(0, 255),
    st.lists(st.integers(0), max_size=6),
    st.booleans(),
    st.booleans(),
)
@settings(max_examples=400)
def test_reads_of_any_size_give_the_whole_body_or_none(
    kind, at, byte, cuts, is_closed, reads_between
):
    answer = ANSWERS[kind]
    positions = answer.positions()
    at = positions[at % len(positions)]
    data = _spoil(answer.data, at, byte)
    ends = sorted({cut % len(data) for cut in cuts} | {len(data)})
    pieces = [data[a:b] for a, b in zip([0, *ends], ends, strict=False)]
    body = asyncio.run(_body(pieces, is_closed, reads_between))
    if body in (None, answer.text):
        return
    # The rest of a body whose length was made a lower one came after its end, in
    # another read: upstreams may send further bytes after a complete answer.
    length_at = answer.data.index(b"Content-Length") + len(b"Content-Length:")
    assert length_at <= at < len(answer.head) - 4
    assert len(answer.head) + len(body) in ends


def _gateway_script(data: bytes):
    """Return a script whose first answer has other framing than it states."""
    n_runs = []

    async def script(got: ReceivedRequest, writer: Writer) -> None:
        n_runs.append(got.number)
        request_id = got.headers["chicorylead-attempt-id"].encode()
        answer = HEAD.replace(b"Id: r", b"Id: " + request_id)
        sound = b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG
        writer.write(answer + (data if len(n_runs) == 1 else sound))

    return script, n_runs


CUT_SHORT = {
    "a_lower_length": b"Content-Length: 03\r\n\r\n" + LONG,
    "line_ends_after_the_end": b"Content-Length: 21\r\n\r\n" + LONG,
    "no_content": b"Content-Length: 0\r\n\r\n" + LONG,
    "an_early_last_chunk": b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
    + LINES
    + b"0\r\n",
}


@pytest.mark.parametrize("kind", CUT_SHORT)
def test_an_idempotent_request_runs_elsewhere_if_its_answer_is_cut_short(kind):
    script, n_runs = _gateway_script(CUT_SHORT[kind])

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await harness.call("/look/a")
        assert (status, body, is_whole) == (200, LONG, True)

    _run_check([script, script], check)
    assert len(n_runs) == 2


@pytest.mark.parametrize("kind", CUT_SHORT)
def test_a_request_that_may_run_once_has_no_answer_if_it_is_cut_short(kind):
    script, n_runs = _gateway_script(CUT_SHORT[kind])

    async def check(harness: GatewayHarness) -> None:
        answer = await harness.call("/publish/a", method="POST", body=b"x")
        # It may have run, so that "not run" would not be true.
        assert answer[0] == 502

    _run_check([script, script], check)
    assert len(n_runs) == 1


class _SpoilingUpstream:
    """Spoils one byte of some answers, and writes all in pieces of random sizes."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.n_spoilt = 0

    async def __call__(self, got: ReceivedRequest, writer: Writer) -> None:
        """Answer one request."""
        request_id = got.headers["chicorylead-attempt-id"].encode()
        head = HEAD.replace(b"Id: r", b"Id: " + request_id)
        pieces = [head + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG]
        # The rest of a body that comes after its end, in another read, is not noticed.
        n_at_once = len(LONG)
        if got.target.startswith("/revise/"):
            first = int(got.headers.get("last-event-id", "0")) + 1
            events = [_event(number) for number in range(first, N_EVENTS + 1)]
            chunks = [b"%x\r\n%s\r\n" % (len(event), event) for event in events]
            head += b"Transfer-Encoding: chunked\r\n\r\n"
            pieces = [head, *chunks, b"0\r\n\r\n"]
            n_at_once = 1
        if self._rng.random() < SPOILT_RATIO:
            self.n_spoilt += 1
            pieces = spoil(pieces, self._rng)
        data = b"".join(pieces)
        while data:
            size = self._rng.randint(1, len(data))
            if len(data) - size < n_at_once:
                size = len(data)
            writer.write(data[:size])
            data = data[size:]
            await writer.drain()
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("seed", range(3))
def test_no_wrong_byte_reaches_a_caller_in_a_whole_answer(seed):
    rng = Random(seed)
    upstream = _SpoilingUpstream(rng)
    stream = b"".join(_event(number) for number in range(1, N_EVENTS + 1))
    n_whole = []

    async def send(harness: GatewayHarness, number: int) -> None:
        await asyncio.sleep(number * 0.008)
        path, text = rng.choice((("/revise/a", stream), ("/look/a", LONG)))
        status, _, body, is_whole = await harness.call(
            path, chicorylead_attempt_id=f"seed{seed}-{number:05}"
        )
        if status == 200 and is_whole:
            n_whole.append(number)
            assert body == text

    async def check(harness: GatewayHarness) -> None:
        await asyncio.gather(*(send(harness, number) for number in range(N_CALLS)))

    _run_check([upstream] * 3, check)
    assert upstream.n_spoilt > N_CALLS * SPOILT_RATIO / 2
    assert len(n_whole) > N_CALLS / 2
