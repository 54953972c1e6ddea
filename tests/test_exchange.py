"""Streams of engines, as `chicorylead router` reads them."""

import asyncio

import pytest

from chicorylead.ids import ExchangeId
from chicorylead.settings import TimeoutSettings
from chicorylead.upstream.exchange import Break, BreakKind, Exchange, ExchangeClient

N_EVENTS = 4
HEAD = b"HTTP/1.1 200 OK\r\nX-Exchange-Id: x\r\nContent-Type: text/event-stream\r\n\r\n"


def _event(number: int) -> bytes:
    return b"id: %d\ndata: w%d\n\n" % (number, number)


def _stream(first: int = 0) -> bytes:
    events = b"".join(_event(number) for number in range(first, N_EVENTS))
    return events + b'event: done\nid: %d\ndata: {"exchange":"x"}\n\n' % N_EVENTS


def _read(body: bytes, from_event: int = 0) -> tuple[bytes, int, Break | None]:
    """Return the events of a stream, their number, and why it broke off."""

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + body)
        writer.close()

    async def main() -> tuple[bytes, int, Break | None]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = ExchangeClient(TimeoutSettings())
        deadline = asyncio.get_running_loop().time() + 5.0
        exchange = Exchange(
            ExchangeId("x"),
            f"127.0.0.1:{port}",
            "check",
            b"{}",
            deadline,
            from_event=from_event,
        )
        events, n_events = b"", 0
        try:
            async for data, n in client.stream(exchange):
                events += data
                n_events += n
        except Break as exc:
            return events, n_events, exc
        finally:
            await client.close()
            server.close()
        return events, n_events, None

    return asyncio.run(main())


@pytest.mark.parametrize("first", [0, 2, N_EVENTS])
def test_a_sound_stream_is_read_to_its_terminal_event(first):
    events, n_events, fault = _read(_stream(first), first)
    assert fault is None
    assert events == b"".join(_event(number) for number in range(first, N_EVENTS))
    assert n_events == N_EVENTS - first


# Guards against events that are lost, melted or foreign behind a sound first one.
@pytest.mark.parametrize(
    ("old", "new", "n_sound"),
    [
        (b"w1\n\n", b"w1\nz", 1),
        (b"w1\n\n", b"w1\n:", 1),
        (b"id: 2", b"id: 9", 2),
        (b"data: w2", b"dbta: w2", 2),
        (_event(1), b"no event\n\n", 1),
        (_event(3), b"", 3),
        (b"id: 4", b"id: 5", 4),
        (b"event: done", b"event: gone", 4),
    ],
)
def test_a_stream_breaks_off_before_what_is_not_its_next_event(old, new, n_sound):
    events, n_events, fault = _read(_stream().replace(old, new, 1))
    assert isinstance(fault, Break)
    assert n_events == n_sound
    sound = b"".join(_event(number) for number in range(N_EVENTS))
    assert sound.startswith(events)
    assert fault.kind is BreakKind.CROSSED


def test_events_after_those_of_another_stream_are_not_read():
    _, n_events, fault = _read(_stream(0), from_event=2)
    assert (n_events, fault.kind) == (0, BreakKind.CROSSED)
