"""Streams in which one byte outside the text of the events is wrong."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.upstream.event_format import EventFormat, MalformedStream
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

VERSION_FIELD = b"weight-versions"
N_EVENTS = 12
# Events with marks around their texts. Other numbers than the id count as text, and so
# does the line end between two lines of data, as no reader can tell that it was there.
EVENTS = (
    b"id: 1\ndata: <ol\xc3\xa1>\n\n",
    b"weight-versions:< 2>\nid: 2\ndata: <b>\n\n",
    b"retry: <10>\nevent: <token>\nid: 3\ndata: <c\nd>ata: <d\nd>ata: <e>\n\n",
    b":< still there>\n\n",
    b"id: 4\ndata: <f>\n\n",
)


def _unmark(template: bytes) -> tuple[bytes, list[int]]:
    """Return the bytes of a template, and the positions outside its texts."""
    data, positions, is_text = b"", [], False
    for byte in template:
        if byte in b"<>":
            is_text = byte == ord("<")
            continue
        if not is_text:
            positions.append(len(data))
        data += bytes([byte])
    return data, positions


STREAM, POSITIONS = _unmark(b"".join(EVENTS))


def _splitter() -> EventSplitter:
    return EventSplitter(event_format=EventFormat((VERSION_FIELD,)))


def _feed(splitter: EventSplitter, data: bytes, cuts: list[int]) -> bytes:
    """Feed bytes in the pieces between the cuts."""
    ends = sorted(cut % (len(data) + 1) for cut in cuts) + [len(data)]
    starts = [0, *ends]
    pieces = [data[a:b] for a, b in zip(starts, ends, strict=False)]
    return b"".join(splitter.feed(piece) for piece in pieces)


def _is_at_end(splitter: EventSplitter) -> bool:
    return splitter.fault is None and not splitter.has_partial


# Guards against events that melt into one, and fields that readers can't find.
@pytest.mark.parametrize("at", POSITIONS)
def test_no_wrong_byte_is_passed_on(at):
    for byte in range(256):
        if byte == STREAM[at]:
            continue
        wrong = STREAM[:at] + bytes([byte]) + STREAM[at + 1 :]
        splitter = _splitter()
        delivered = splitter.feed(wrong)
        assert STREAM.startswith(delivered)
        assert not _is_at_end(splitter) or delivered == STREAM


@given(
    st.sampled_from(POSITIONS),
    st.integers(0, 255),
    st.lists(st.integers(0, len(STREAM)), max_size=8),
)
def test_a_stream_goes_on_after_a_wrong_byte_with_each_event_once(at, byte, cuts):
    wrong = STREAM[:at] + bytes([byte]) + STREAM[at + 1 :]
    splitter = _splitter()
    delivered = _feed(splitter, wrong, cuts)
    if not _is_at_end(splitter):
        splitter.restart()
        delivered += _feed(splitter, STREAM, cuts)
    without_comments = STREAM.replace(b": still there\n\n", b"")
    assert delivered.replace(b": still there\n\n", b"") == without_comments


@pytest.mark.parametrize(
    "block",
    [
        b"id: 1\ndbta: x",
        b"id: 1",
        b"id: 1\ndata: x\n:id: 2\ndata: y",
        b"id: 1\ndata: x\nzid: 2\ndata: y",
        b"id: 01\ndata: x",
        b"id: 1\ndata:zx",
        b"id: 1\ndata: x\rdata: y",
        b"weight-versionz: 2\nid: 1\ndata: x",
        b"weight-versions: z\nid: 1\ndata: x",
    ],
)
def test_an_event_with_a_wrong_byte_is_malformed(block):
    with pytest.raises(MalformedStream):
        EventFormat((VERSION_FIELD,)).read_id(block)


@pytest.mark.parametrize(
    "block",
    [
        b"id: 1\ndata: x",
        b"id:1\ndata:x",
        b"id:1\ndata: x",
        b"data: x\nid: 1\nretry: 10",
        b"weight-versions:2\nid: 1\ndata: x",
        b"sequence-of-something: x\nid: 1\ndata: \xc3\xa1",
        b"id: 1\ndata:",
        b"id: 1\ndata",
    ],
)
def test_events_of_any_order_style_and_further_fields_are_read(block):
    assert EventFormat((VERSION_FIELD,)).read_id(block) == "1"


class _WrongLineEnd:
    """Streams some events at a time; in the first run, a line end is another byte."""

    def __init__(self, after: int, byte: bytes, n_at_once: int) -> None:
        self._after = after
        self._byte = byte
        self._n_at_once = n_at_once
        self.n_runs = 0

    async def __call__(self, got: ReceivedRequest, writer: Writer) -> None:
        """Answer one request."""
        self.n_runs += 1
        events = [_event(number) for number in range(1, N_EVENTS + 1)]
        if self.n_runs == 1:
            events[self._after - 1] = events[self._after - 1][:-1] + self._byte
        events = events[int(got.headers.get("last-event-id", "0")) :]
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(STREAM_HEAD.format(id=request_id).encode())
        for first in range(0, len(events), self._n_at_once):
            writer.write(_chunk(b"".join(events[first : first + self._n_at_once])))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")


WHOLE = b"".join(_event(number) for number in range(1, N_EVENTS + 1))


@pytest.mark.parametrize("n_at_once", [1, 3, 12])
@pytest.mark.parametrize("byte", [b"z", b":", b"-"])
@pytest.mark.parametrize("after", [1, 6, 11, 12])
def test_two_events_do_not_melt_into_one(after, byte, n_at_once):
    script = _WrongLineEnd(after, byte, n_at_once)

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await harness.call("/revise/a")
        assert (status, is_whole, body) == (200, True, WHOLE)

    _run_check([script, script], check)
    assert script.n_runs == 2


def test_a_stream_that_cannot_go_on_is_cut_before_events_that_melt():
    script = _WrongLineEnd(11, b"z", 3)

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await call(harness.ports[0], "/chat/a")
        assert (status, is_whole) == (200, False)
        assert WHOLE.startswith(body)

    _run_check([script], check)
