"""Streams in which one byte of the number of an event is wrong."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.upstream.events import EventSplitter, StreamGap
from tests.gateway.fakes import ReceivedRequest
from tests.gateway.test_gateway import (
    STREAM_HEAD,
    GatewayHarness,
    Writer,
    _chunk,
    _event,
    _run_check,
)

N_EVENTS = 12
WRONG = b"id: 9\ndata: wrong\n\n"


def _events(first: int, last: int) -> list[bytes]:
    return [_event(number) for number in range(first, last + 1)]


class _WrongNumber:
    """Streams three events at a time; in the first run, one has a wrong number."""

    def __init__(self, wrong_at: int) -> None:
        self._wrong_at = wrong_at
        self.n_runs = 0

    async def __call__(self, got: ReceivedRequest, writer: Writer) -> None:
        """Answer one request."""
        self.n_runs += 1
        after = int(got.headers.get("last-event-id", "0"))
        events = _events(1, N_EVENTS)
        if self.n_runs == 1:
            events[self._wrong_at - 1] = WRONG
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(STREAM_HEAD.format(id=request_id).encode())
        for first in range(after, N_EVENTS, 3):
            writer.write(_chunk(b"".join(events[first : first + 3])))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")


# Guards against sound events that are dropped with a wrong one, and a stream that goes
# on after events which the caller has not got.
@pytest.mark.parametrize("wrong_at", [1, 2, 3, 5, 6, 8, 12])
def test_a_wrong_number_costs_no_event(wrong_at):
    script = _WrongNumber(wrong_at)

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await harness.call("/revise/a")
        assert (status, is_whole) == (200, True)
        assert body == b"".join(_events(1, N_EVENTS))

    _run_check([script, script], check)
    assert script.n_runs == 2


@given(
    st.integers(1, N_EVENTS), st.integers(0, 30), st.integers(1, 60), st.integers(0, 3)
)
def test_two_runs_give_each_event_once_and_in_order(
    wrong_at, wrong_number, step, n_repeated
):
    events = _events(1, N_EVENTS)
    events[wrong_at - 1] = _event(wrong_number)
    splitter = EventSplitter()
    data = b"".join(events)
    delivered = b""
    for at in range(0, len(data), step):
        delivered += splitter.feed(data[at : at + step])
    if splitter.fault is None:
        assert wrong_number == wrong_at
        return
    n_delivered = delivered.count(b"\n\n")
    assert delivered == b"".join(_events(1, n_delivered))
    assert splitter.last_id == (str(n_delivered) if n_delivered else None)
    splitter.restart()
    first = max(1, n_delivered + 1 - n_repeated)
    delivered += splitter.feed(b"".join(_events(first, N_EVENTS)))
    assert delivered == b"".join(_events(1, N_EVENTS))


def test_a_stream_may_begin_with_any_number_that_the_next_event_confirms():
    splitter = EventSplitter()
    assert splitter.feed(_event(7)) == b""
    assert splitter.feed(_event(8)) == _event(7) + _event(8)
    assert (splitter.last_id, splitter.n_events) == ("8", 2)


def test_the_end_of_a_stream_does_not_confirm_its_only_event():
    splitter = EventSplitter()
    assert splitter.feed(_event(7)) == b""
    assert splitter.end() == b""
    assert isinstance(splitter.fault, StreamGap)
    assert (splitter.last_id, splitter.n_events) == (None, 0)


def test_a_second_run_confirms_the_only_event_of_a_stream():
    splitter = EventSplitter()
    splitter.feed(_event(7))
    splitter.end()
    splitter.restart()
    assert splitter.feed(_event(7)) == b""
    assert splitter.end() == _event(7)
    assert (splitter.last_id, splitter.n_events, splitter.fault) == ("7", 1, None)


# Guards against a last event that is lost because its number was made a lower one.
@pytest.mark.parametrize("wrong", [1, 3, 4])
def test_a_run_of_repeated_events_does_not_prove_the_end(wrong):
    splitter = EventSplitter("4")
    assert splitter.feed(_event(wrong)) == b""
    assert splitter.end() == b""
    assert isinstance(splitter.fault, StreamGap)
    assert splitter.last_id == "4"


def test_a_run_without_events_proves_the_end_of_a_stream_that_has_some():
    splitter = EventSplitter()
    splitter.feed(_event(1))
    splitter.restart()
    assert splitter.end() == b""
    assert splitter.fault is None


class _WrongNumberInSecondRun:
    """Breaks off before the last event, and spoils the number of that one once."""

    def __init__(self) -> None:
        self.n_runs = 0

    async def __call__(self, got: ReceivedRequest, writer: Writer) -> None:
        """Answer one request."""
        self.n_runs += 1
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(STREAM_HEAD.format(id=request_id).encode())
        if self.n_runs == 1:
            writer.write(_chunk(b"".join(_events(1, N_EVENTS - 1))))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()
            return
        wrong = _event(N_EVENTS).replace(b"id: %d" % N_EVENTS, b"id: 11")
        writer.write(_chunk(wrong) + b"0\r\n\r\n")


def test_a_lost_last_event_leaves_the_answer_incomplete():
    script = _WrongNumberInSecondRun()

    async def check(harness: GatewayHarness) -> None:
        status, _, body, is_whole = await harness.call("/revise/a")
        assert (status, is_whole) == (200, False)
        assert body == b"".join(_events(1, N_EVENTS - 1))

    _run_check([script, script], check)
    assert script.n_runs == 2


def test_an_event_that_comes_twice_in_one_run_ends_it():
    splitter = EventSplitter()
    assert splitter.feed(_event(1) + _event(2) + _event(2)) == _event(1) + _event(2)
    assert isinstance(splitter.fault, StreamGap)
