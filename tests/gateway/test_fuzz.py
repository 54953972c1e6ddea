"""On any input, the gateway's decoders raise only their own errors."""

import asyncio
from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from chicorylead.errors import Refusal
from chicorylead.http_client import HttpResponse
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.peer.protocol import PeerProtocol
from chicorylead.platform.caller import decode_head
from chicorylead.platform.configuration import (
    decode_configuration,
    revision_of_configuration,
)
from chicorylead.platform.plain_log import StreamLog
from chicorylead.platform.registry import decode_upstream, revision_of_upstream
from chicorylead.platform.settings_file import decode_settings
from chicorylead.platform.store import StoreClient, _era
from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.traffic.stream import StoreUnavailable, Stream, StreamRecord
from chicorylead.upstream.connection import Connection, Failure
from chicorylead.upstream.events import EventSplitter
from tests.gateway.fakes import (
    FakeRouter,
    FakeUpstream,
    configuration,
    presence_of,
    registry_entry,
)

HEADER_NAMES = (
    b"host",
    b"authorization",
    b"connection",
    b"keep-alive",
    b"last-event-id",
    b"chicorylead-attempt-id",
    b"chicorylead-deadline-ms",
    b"chicorylead-token-counts",
    b"chicorylead-prefix-hash",
    b"chicorylead-length-hint",
    b"chicorylead-instance-load",
    b"chicorylead-not-executed",
)
headers = st.lists(st.tuples(st.sampled_from(HEADER_NAMES), st.binary(max_size=40)))
# The range that the formats can encode.
integers = st.integers(-(2**63), 2**64 - 1)
leaves = st.none() | st.booleans() | integers | st.floats() | st.text(max_size=8)
json_values = st.recursive(
    leaves,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


# Nested deeper than a decoder follows, as JSON and as MessagePack.
DEEP_JSON = b'{"note":' + b"[" * 1200 + b"]" * 1200 + b"}"
DEEP_MSGPACK = b"\x91" * 5000 + b"\x01"
HUGE = b"9" * 400


@pytest.mark.parametrize("value", [b"inf", b"nan", b"-1", b"1e300", HUGE, b"\xb2"])
@pytest.mark.parametrize(
    "name", [b"chicorylead-token-counts", b"chicorylead-length-hint", b"last-event-id"]
)
def test_numbers_of_callers_that_no_datagram_can_carry(name, value):
    lines = {
        b"chicorylead-attempt-id": b"r",
        b"chicorylead-token-counts": b"10,20",
        b"chicorylead-prefix-hash": b"aa:10",
        name: value + b",1" if name == b"chicorylead-token-counts" else value,
    }
    head = decode_head("GET", b"/", list(lines.items()))
    if name == b"last-event-id":
        splitter = EventSplitter(head.last_event_id)
        splitter.feed(b"id: 1\ndata: x\n\n")
    else:
        assert head.prompt is None


@pytest.mark.parametrize("load", [b"inf,0,8", b"1,0,inf", b"1,0,8,inf", b"1,0,8,1e999"])
def test_loads_of_upstreams_that_are_not_finite(load):
    head = decode_answer(200, [(b"chicorylead-instance-load", load)])
    assert head.load is None


# Guards against an unforeseen exception, which ended the reading of all later records.
@pytest.mark.parametrize("data", [DEEP_JSON, b'{"seq":' + HUGE + b"}"])
@pytest.mark.parametrize(
    "decode",
    [
        lambda data: decode_upstream("u", data),
        decode_configuration,
        decode_settings,
    ],
)
def test_deep_or_huge_json_is_a_value_error(decode, data):
    with pytest.raises(ValueError):
        decode(data)


@pytest.mark.parametrize("data", [DEEP_JSON, b'{"version":' + HUGE + b',"seq":1e9}'])
def test_a_record_that_cannot_be_read_has_no_revision(data):
    record = StreamRecord("x", data, 0)
    assert revision_of_upstream(record) is None
    assert revision_of_configuration(record) is None


@pytest.mark.parametrize("name", ["seq", "born", "slots"])
@pytest.mark.parametrize("value", [2**63, 2**70, -1])
def test_an_entry_with_a_number_that_no_datagram_can_carry_names_no_upstream(
    name, value
):
    entry = {**registry_entry(FakeUpstream(None)), name: value}
    entry["address"] = "127.0.0.1:80"
    with pytest.raises(ValueError):
        decode_upstream("u", msgspec.json.encode(entry).replace(b"null", b"0"))


@pytest.mark.parametrize("name", ["slots", "kvCapacity", "stride"])
def test_a_configuration_with_a_number_beyond_all_bounds_is_malformed(name):
    cfg = configuration()
    cfg["services"][0]["engine"] = {"slots": 1, "kvCapacity": 1, name: 0}
    data = msgspec.json.encode(cfg).replace(
        f'"{name}":0'.encode(), b'"%s":%s' % (name.encode(), HUGE)
    )
    with pytest.raises(ValueError):
        decode_configuration(data)


def test_deep_records_of_the_stream_log_are_skipped():
    stream_log = StreamLog(SimpleNamespace(), EventLog())
    assert stream_log._decode(DEEP_MSGPACK) == []


@pytest.mark.parametrize("era", [b"x", HUGE, b"9" * 5000])
def test_an_era_that_is_no_number_is_an_unusable_answer(era):
    response = HttpResponse(200, b"", ((b"store-era", era),))
    with pytest.raises(StoreUnavailable):
        _era(response)


@given(headers, st.binary(max_size=60))
def test_request_heads_of_callers(lines, target):
    try:
        decode_head("GET", target, lines)
    except Refusal as exc:
        assert exc.detail


@given(st.integers(100, 999), headers)
def test_response_heads_of_upstreams(status, lines):
    head = decode_answer(status, lines)
    assert head.status == status


@given(st.binary(max_size=200) | json_values.map(msgspec.json.encode))
def test_settings_and_registry_entries(data):
    for decode in (decode_settings, lambda d: decode_upstream("u", d)):
        try:
            decode(data)
        except ValueError as exc:
            assert str(exc)


@given(st.sampled_from(sorted(configuration())), json_values)
def test_configurations_with_one_field_of_another_type(name, value):
    record = {**configuration(), name: value}
    try:
        decode_configuration(msgspec.json.encode(record))
    except ValueError as exc:
        assert str(exc)


@given(st.lists(st.binary(max_size=60)))
def test_arbitrary_bytes_as_events(pieces):
    splitter = EventSplitter()
    for piece in pieces:
        splitter.feed(piece)
    assert splitter.fault is None or str(splitter.fault)


@given(st.integers(1, 30))
def test_events_are_reassembled_from_pieces_of_any_size(size):
    events = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 9))
    splitter = EventSplitter()
    pieces = [events[at : at + size] for at in range(0, len(events), size)]
    assert b"".join(splitter.feed(piece) for piece in pieces) == events


@given(st.lists(st.binary(max_size=80), max_size=6))
@settings(max_examples=50)
def test_responses_of_upstreams(pieces):
    async def main() -> None:
        conn = Connection(decode_answer)
        conn.connection_made(FakeTransport())
        conn.send("r", b"GET / HTTP/1.1\r\n\r\n")
        for piece in (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", *pieces):
            conn.data_received(piece)
        try:
            head = await conn.read_head(0.001)
        except Failure:
            return
        # Any accepted response names the request or says that it has not run.
        assert head.request_id == "r" or head.is_not_run

    asyncio.run(main())


@given(st.binary(max_size=200) | json_values.map(msgspec.msgpack.encode))
@settings(max_examples=50)
@example(DEEP_MSGPACK)
def test_datagrams(data):
    async def main() -> None:
        router = FakeRouter(presence_of("127.0.0.1"))
        protocol = PeerProtocol(
            1, "a", ("127.0.0.1", 1), (), router, lambda: 0.0,
            EventLog(), Metrics(), Random(1),
        )  # fmt: skip
        protocol.datagram_received(data, ("127.0.0.9", 1))
        seen = [router.beacons, router.deltas, router.heartbeats, router.dropped]
        assert not any(seen) and not protocol.live()

    asyncio.run(main())


@given(st.binary(max_size=120) | json_values.map(msgspec.json.encode))
@settings(max_examples=40, deadline=None)
def test_pages_of_the_store(body):
    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        writer.write(body)
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = StoreClient("127.0.0.1", server.sockets[0].getsockname()[1])
        for call in (
            client.newest(Stream.CONFIGURATION),
            client.read(Stream.UPSTREAMS, 0, 0.0),
        ):
            try:
                await call
            except StoreUnavailable as exc:
                assert str(exc)
        await client.close()
        server.close()

    asyncio.run(main())


class FakeTransport:
    """Discards what is written."""

    def write(self, data: bytes) -> None:
        """Discard the request."""

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        """Do nothing."""

    def pause_reading(self) -> None:
        """Ignore it: reading continues."""

    def get_write_buffer_size(self) -> int:
        return 0
