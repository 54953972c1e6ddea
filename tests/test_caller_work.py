"""What is done at once for the bytes of one read from a caller, whatever these are."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.http_chunks import MAX_LINE_BYTES, ChunkScanner
from chicorylead.http_protocol import CallerProtocol, HttpLimits
from tests.test_http_protocol import CHUNKED, GET, _run
from tests.work import Work, measure_work

READ_BYTES = 65_536
# A call takes some tenths of a microsecond, so that a read takes some milliseconds: a
# small part of the half second after a timeout within which callers are answered.
MAX_CALLS_PER_BYTE = 4
MAX_COPIED_PER_BYTE = 100
OVERHEAD_CALLS = 1000  # of a request, however few its bytes
CHUNK = b"ffff\r\n"
N_BYTES = 0xFFFF

# What a body may consist of, in one chunk.
TEXTS = {
    "line_ends": b"\r\n",
    "line_ends_and_text": b"x\r\n\r\n",
    "last_chunks": b"\r\n0\r\n\r\n",
    "heads": GET,
    "text": b"x",
}
# What is sent in place of a head or a body, each after a start.
SENT = {
    "blank_lines_before_a_head": (b"", b"\r\n"),
    "a_request_line": (b"GET /", b"x"),
    "headers": (b"GET / HTTP/1.1\r\n", b"a:\r\n"),
    "requests": (b"", GET),
    "chunks_of_one_byte": (CHUNKED, b"1\r\nx\r\n"),
    "an_extension": (CHUNKED + b"1;x=", b"y"),
    "zeros_of_a_size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"0\r\n", b"a:\r\n"),
}


@pytest.fixture
def reads(monkeypatch) -> list[tuple[Work, int]]:
    """Return a list that gets the work of each read, and its bytes."""
    found: list[tuple[Work, int]] = []
    receive = CallerProtocol.data_received

    def measured(self, data: bytes) -> None:
        work = measure_work(lambda: receive(self, data))
        found.append((work, len(data)))

    monkeypatch.setattr(CallerProtocol, "data_received", measured)
    return found


def _send(*parts: bytes) -> bytes:
    async def client(reader, writer):
        received = asyncio.ensure_future(reader.read())
        for part in parts:
            if received.done():
                break
            writer.write(part)
            await asyncio.sleep(0.05)
        if not received.done():
            writer.write_eof()
        return await received

    return _run(client, limits=HttpLimits(body_bytes=4 * READ_BYTES))


def _fill(block: bytes, n_bytes: int) -> bytes:
    return (block * (n_bytes // len(block) + 1))[:n_bytes]


def _check(reads: list[tuple[Work, int]]) -> None:
    assert reads
    for work, n_bytes in reads:
        assert work.n_calls <= MAX_CALLS_PER_BYTE * n_bytes + OVERHEAD_CALLS
        assert work.n_bytes_copied <= MAX_COPIED_PER_BYTE * max(n_bytes, 4096)


# Guards against a body that is taken in a piece for each place that looks like its end.
@pytest.mark.parametrize("kind", TEXTS)
def test_a_body_costs_no_more_than_its_length_whatever_it_holds(kind, reads):
    data = _fill(TEXTS[kind], N_BYTES)
    raw = _send(CHUNKED, *[CHUNK + data + b"\r\n"] * 3, b"0\r\n\r\n")
    assert raw.startswith(b"HTTP/1.1 200") and str(3 * N_BYTES).encode() in raw
    _check(reads)


@pytest.mark.parametrize("kind", SENT)
def test_what_a_caller_sends_costs_no_more_than_its_length(kind, reads):
    start, block = SENT[kind]
    _send(start + _fill(block, READ_BYTES // 2), _fill(block, READ_BYTES))
    _check(reads)


chunk_texts = st.lists(
    st.text("\r\n0a;", min_size=1, max_size=30).map(str.encode), max_size=6
)


@given(
    chunk_texts, st.lists(st.integers(1, 40), min_size=1), st.text(";a=", max_size=3)
)
def test_the_end_of_the_chunks_is_found_wherever_reads_end(texts, steps, extension):
    line_end = extension.encode() + b"\r\n" if extension[:1] == ";" else b"\r\n"
    body = b"".join(b"%x%s%s\r\n" % (len(t), line_end, t) for t in texts)
    body += b"000" + line_end
    data, scanner, end, n = body + b"T: 1\r\n\r\n" + GET, ChunkScanner(), 0, 0
    while not scanner.is_last:
        read = data[end : end + steps[n % len(steps)]]
        end += scanner.scan(read, 0)
        n += 1
    assert end == len(body)
    assert not scanner.is_lost


@pytest.mark.parametrize("line", (b"x\r\n", b"\r\n", b" 5\r\n", b"-1\r\n", b"0x5\r\n"))
def test_a_chunk_without_a_size_ends_the_connection(line):
    scanner = ChunkScanner()
    assert scanner.scan(line + GET, 0) == len(line + GET)
    assert scanner.is_lost
    raw = _send(CHUNKED + line + GET * 3)
    assert raw.startswith(b"HTTP/1.1 400") and raw.count(b"HTTP/1.1") == 1


# Guards against a line that is kept while it grows without end.
def test_a_size_whose_line_is_too_long_ends_the_connection():
    raw = _send(CHUNKED + b"1;", *[b"x" * MAX_LINE_BYTES] * 3)
    assert raw.startswith(b"HTTP/1.1 431")
