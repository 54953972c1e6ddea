"""What is done at once for the bytes of one read, whatever these are."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from chicorylead.gateway.sender import FEED_BYTES
from chicorylead.platform.upstream_wire import EVENT_NUMBER_FIELDS, decode_answer
from chicorylead.upstream.connection import Connection
from chicorylead.upstream.event_format import EventFormat
from chicorylead.upstream.events import EventSplitter
from tests.gateway.fakes import ReceivedRequest
from tests.gateway.test_gateway import (
    STREAM_HEAD,
    GatewayHarness,
    Writer,
    _chunk,
    _event,
    _run_check,
)
from tests.work import Work, measure_work

READ_BYTES = 65_536
# A call takes some tenths of a microsecond, so that a read takes some milliseconds: a
# small part of the half second after a timeout within which callers are answered.
MAX_CALLS_PER_BYTE = 4
# Of each byte, some copies, and its places in the lists that it passes through.
MAX_COPIED_PER_BYTE = 100

# What a stream without end may consist of.
BLOCKS = {
    "line_ends": b"\n",
    "comments": b":\n\n",
    "comment_lines": b":\n",
    "names_of_two_letters": b"zz:\n",
    "names_of_five_letters": b"zzzzz:\n",
    "names_of_many_letters": b"chicorylead-weight-versionz:\n",
    "data_lines": b"data\n",
    "numbers": b"retry:1\n",
    "text": b"x",
    "repeated_events": b"id: 1\ndata\n\n",
}

HEAD = (
    b"HTTP/1.1 200 OK\r\nChicorylead-Attempt-Id: r1\r\n"
    b"Chicorylead-Response-Seal: 1.2.3\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What an answer without end may consist of, each after a start.
ANSWERS = {
    "line_ends_before_the_head": (b"", b"\r\n"),
    "a_status_line": (b"HTTP/1.1 200 ", b"x"),
    "a_header": (HEAD + b"X-Long: ", b"x"),
    "headers": (HEAD, b"a:\r\n"),
    "headers_as_long_as_framing": (HEAD, b"content-lengxx:\r\n"),
    "interim_answers": (b"", b"HTTP/1.1 102 W\r\n\r\n"),
    "answers_to_others": (b"", b"HTTP/1.1 204 N\r\n\r\n"),
    "a_body": (HEAD + b"\r\n", b"x"),
    "chunks_of_one_byte": (CHUNKED, b"1\r\nx\r\n"),
    "an_extension": (CHUNKED + b"1;x=", b"y"),
    "trailers": (CHUNKED + b"0\r\n", b"a:\r\n"),
    "answers_after_the_end": (CHUNKED + b"0\r\n\r\n", b"HTTP/1.1 204 N\r\n\r\n"),
}


class _Transport(asyncio.Transport):
    """Accepts and does nothing."""

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        pass

    def pause_reading(self) -> None:
        pass


def _check(work: Work, n_bytes: int) -> None:
    assert work.n_calls <= MAX_CALLS_PER_BYTE * n_bytes
    assert work.n_bytes_copied <= MAX_COPIED_PER_BYTE * n_bytes


def _feed(data: bytes, step: int) -> None:
    splitter = EventSplitter(event_format=EventFormat(EVENT_NUMBER_FIELDS))
    for at in range(0, len(data), step):
        splitter.feed(data[at : at + step])


def _fill(block: bytes, n_bytes: int) -> bytes:
    return (block * (n_bytes // len(block) + 1))[:n_bytes]


# Guards against work that grows faster than the bytes of a stream: blank lines were
# copied once for each one that followed.
@pytest.mark.parametrize("step", [READ_BYTES, 1024])
@pytest.mark.parametrize("kind", BLOCKS)
def test_bytes_without_events_cost_no_more_than_their_length(kind, step):
    data = _fill(BLOCKS[kind], 2 * READ_BYTES)
    for complete in (data, data[:-2] + b"\n\n"):
        _check(measure_work(lambda data=complete: _feed(data, step)), len(data))


@pytest.mark.parametrize("kind", ANSWERS)
def test_an_answer_costs_no_more_than_its_length(kind):
    start, block = ANSWERS[kind]

    async def measure() -> list[Work]:
        conn = Connection(decode_answer)
        conn.connection_made(_Transport())
        conn.send("r1", b"")
        data = _fill(block, 2 * READ_BYTES)
        reads = [start, data[:READ_BYTES], data[READ_BYTES:]]
        return [measure_work(lambda read=r: conn.data_received(read)) for r in reads]

    for work in asyncio.run(measure())[1:]:
        _check(work, READ_BYTES)


# Guards against a read of many small events that are all handled without a pause.
def test_a_large_read_of_a_stream_lets_other_tasks_run(monkeypatch):
    feed = EventSplitter.feed
    lengths: list[int] = []

    def recorded(self: EventSplitter, data: bytes) -> bytes:
        lengths.append(len(data))
        return feed(self, data)

    monkeypatch.setattr(EventSplitter, "feed", recorded)
    events = b"".join(_event(number) for number in range(1, 10_000))

    async def script(got: ReceivedRequest, writer: Writer) -> None:
        start = STREAM_HEAD.format(id=got.headers["chicorylead-attempt-id"])
        writer.write(start.encode() + _chunk(events) + b"0\r\n\r\n")
        await writer.drain()

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await harness.call(
            "/chat/a", method="POST", body=b"x"
        )
        assert (status, body, is_whole) == (200, events, True)
        assert sum(lengths) == len(events)
        assert max(lengths) <= FEED_BYTES

    _run_check([script], check)


@settings(max_examples=40, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(
        st.binary(min_size=1, max_size=8)
        | st.text(alphabet="id: 123\ndatx-", min_size=1, max_size=12).map(str.encode)
        | st.sampled_from([b"\n", b":\n\n", b"id: 1\ndata: x\n\n", b"event: y\n"]),
        min_size=1,
        max_size=4,
    ),
    st.integers(1, 64),
)
def test_generated_bytes_cost_no_more_than_their_length(parts, n_steps):
    data = _fill(b"".join(parts), READ_BYTES // 4)
    work = measure_work(lambda: _feed(data, max(1, len(data) // n_steps)))
    _check(work, len(data))
