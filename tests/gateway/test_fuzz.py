"""On any input, the gateway's decoders raise only their own errors."""

import asyncio
from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorylead.errors import Refusal
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.peer.protocol import PeerProtocol
from chicorylead.platform.caller import decode_head
from chicorylead.platform.configuration import decode_configuration
from chicorylead.platform.registry import decode_upstream
from chicorylead.platform.settings_file import decode_settings
from chicorylead.platform.store import StoreClient
from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.traffic.stream import StoreUnavailable, Stream
from chicorylead.upstream.connection import Connection, Failure
from chicorylead.upstream.events import EventSplitter, StreamGap
from tests.gateway.fakes import FakeRouter, configuration, presence_of

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
    try:
        for piece in pieces:
            splitter.feed(piece)
    except StreamGap as exc:
        assert str(exc)


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
