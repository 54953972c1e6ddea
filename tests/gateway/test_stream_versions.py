"""Streams while upstreams of several software versions serve side by side."""

import asyncio
from collections.abc import Awaitable, Callable

from tests.gateway.fakes import FakeUpstream, ReceivedRequest, registry_entry
from tests.gateway.test_gateway import STREAM_HEAD, GatewayHarness, _run_check

Writer = asyncio.StreamWriter
Script = Callable[[ReceivedRequest, Writer], Awaitable[None]]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _event(number: int, version: str) -> bytes:
    return _chunk(f"id: {number}\ndata: {version}\n\n".encode())


def _stream(version: str, n_events: int = 4, break_after: int | None = None) -> Script:
    """Return a script that streams events, from the one after the last event id."""

    async def script(got: ReceivedRequest, writer: Writer) -> None:
        first = int(got.headers.get("last-event-id", "0")) + 1
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(STREAM_HEAD.format(id=request_id).encode())
        for number in range(first, n_events + 1):
            writer.write(_event(number, version))
            await writer.drain()
            if number == break_after:
                await asyncio.sleep(0.05)  # the events before a reset have arrived
                writer.transport.abort()
                return
        writer.write(b"0\r\n\r\n")

    return script


def _list(harness: GatewayHarness, name: str, upstream: FakeUpstream, **entry) -> None:
    harness.store.put("keyed.servers", name, registry_entry(upstream, **entry))


async def _use_versions(harness: GatewayHarness, *versions: str) -> None:
    """List the upstreams with their versions, each as a new incarnation."""
    for n, (upstream, version) in enumerate(
        zip(harness.upstreams, versions, strict=True)
    ):
        _list(harness, f"u{n}", upstream, version=version, born=2000)
    async with asyncio.timeout(2.0):
        while True:
            live = {u.id: u.entry for u in harness.gateway._registry.all()}
            if [live[f"u{n}"].version for n in range(len(versions))] == list(versions):
                return
            await asyncio.sleep(0.02)


def test_the_line_of_a_send_tells_the_version_and_what_it_takes_up(log_capture):
    async def check(harness: GatewayHarness) -> None:
        log_capture.open()
        await harness.call(
            "/revise/a",
            chicorylead_attempt_id="second",
            resumes="first",
            last_event_id="2",
        )
        await asyncio.sleep(0.05)

    _run_check([_stream("v1")], check)
    (line,) = log_capture.lines("request_sent")
    assert line["version"] == "v1"
    assert (line["resumes"], line["after_event"]) == ("first", "2")
