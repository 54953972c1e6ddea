"""Upstreams that go over to bytes that are no events, in the middle of a stream."""

import asyncio
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.upstream.events import EventSplitter
from tests.gateway.fakes import ReceivedRequest, call
from tests.gateway.test_gateway import (
    STREAM_HEAD,
    GatewayHarness,
    Writer,
    _chunk,
    _event,
    _run_check,
)
from tests.gateway.test_unframed_answers import UNFRAMED_HEAD

N_EVENTS = 5
N_SOUND = 2
MAX_BYTES = 4 * 2**20  # if the router never closes
SEQUENCES = {
    "random": lambda: Random(4).randbytes(4096) + b"\n\n",
    "text": lambda: b"no event\n\n" * 400,
    "fields_without_an_id": lambda: b"data: nothing\n\n" * 300,
    "an_id_that_is_no_number": lambda: b"id: x3\ndata: w3\n\n",
    "a_byte_that_is_not_utf8": lambda: b"id: 3\ndata: \xff\n\n",
    "two_ids": lambda: b"id: 3\nid: 4\ndata: w3\n\n",
}


class _ForeignBytes:
    """Streams events; the first run goes over to other bytes until it is closed."""

    def __init__(self, foreign: bytes, is_chunked: bool) -> None:
        self._foreign = foreign
        self._is_chunked = is_chunked
        self.n_runs = 0

    async def __call__(self, got: ReceivedRequest, writer: Writer) -> None:
        """Answer one request."""
        self.n_runs += 1
        frame = _chunk if self._is_chunked else bytes
        head = STREAM_HEAD if self._is_chunked else UNFRAMED_HEAD
        writer.write(head.format(id=got.headers["chicorylead-attempt-id"]).encode())
        after = int(got.headers.get("last-event-id", "0"))
        last = N_SOUND if self.n_runs == 1 else N_EVENTS
        events = b"".join(_event(number) for number in range(after + 1, last + 1))
        if self.n_runs > 1:
            writer.write(frame(events) + (b"0\r\n\r\n" if self._is_chunked else b""))
            await writer.drain()
            writer.close()
            return
        # The last sound event and the first foreign bytes come together.
        writer.write(frame(events + self._foreign))
        for _ in range(MAX_BYTES // len(self._foreign)):
            writer.write(frame(self._foreign))
            await writer.drain()
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("is_chunked", [True, False])
@pytest.mark.parametrize("kind", SEQUENCES)
def test_bytes_that_are_no_events_do_not_reach_the_caller(kind, is_chunked):
    # Guards against foreign bytes, and lost sound events, in a complete answer.
    script = _ForeignBytes(SEQUENCES[kind](), is_chunked)

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await harness.call("/revise/a")
        assert (status, is_whole) == (200, True)
        assert body == b"".join(_event(number) for number in range(1, N_EVENTS + 1))

    _run_check([script, script], check)
    assert script.n_runs == 2


@pytest.mark.parametrize("kind", SEQUENCES)
def test_a_stream_that_cannot_go_on_is_cut_before_bytes_that_are_no_events(kind):
    script = _ForeignBytes(SEQUENCES[kind](), is_chunked=True)

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await call(harness.ports[0], "/chat/a")
        assert (status, is_whole) == (200, False)
        assert body == _event(1) + _event(2)

    _run_check([script], check)


@given(
    st.integers(0, 4),
    st.binary(max_size=200) | st.text(alphabet="id: 123\ndax\r").map(str.encode),
    st.integers(1, 40),
)
def test_the_caller_gets_exactly_the_events_up_to_the_last_id(n_sound, foreign, step):
    splitter = EventSplitter()
    sound = b"".join(_event(number) for number in range(1, n_sound + 1))
    data = sound + foreign + b"\n\n"
    delivered = b""
    for at in range(0, len(data), step):
        delivered += splitter.feed(data[at : at + step])
        if splitter.fault is not None:
            break
    assert delivered.startswith(sound)
    blocks = [block for block in delivered.split(b"\n\n") if block.strip()]
    assert len(blocks) >= splitter.n_events
    if splitter.n_events == n_sound:
        assert delivered == sound


def test_comments_and_blank_lines_are_passed_on_with_the_event_after_them():
    splitter = EventSplitter()
    comments = b": still there\n\n\n\n: and there\n\n"
    assert splitter.feed(_event(1) + comments) == _event(1)
    assert splitter.feed(_event(2)) == comments + _event(2)
    assert splitter.feed(b": last\n\n") == b""
    assert splitter.fault is None
    assert splitter.end() == b": last\n\n"


def test_fields_of_any_name_are_passed_on():
    splitter = EventSplitter()
    data = b"weight-versions: 2\nevent: token\nid: 1\nretry: 10\ndata\n\n"
    assert splitter.feed(data) == data
    assert (splitter.last_id, splitter.fault) == ("1", None)


def test_a_comment_inside_an_event_ends_the_run():
    # One wrong byte makes a comment of the first line of the next event.
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: x\n:id: 2\ndata: y\n\n") == b""
    assert splitter.fault is not None
