"""Which requests are held to account for a crash of their upstream."""

import asyncio

from chicorylead.outcome import poison
from tests.gateway.fakes import ReceivedRequest, sealed_response
from tests.gateway.test_gateway import STREAM_HEAD, GatewayHarness, _run_check

CRASHING_PATH = "/look/bad"


class _Scripts:
    """Scripts of upstreams that share a switch.

    Attributes:
        harness: Set once the upstreams run.
        n_crashes: Crashes so far.
        crashes_next: Whether the next request ends its upstream.
    """

    def __init__(self) -> None:
        self.harness: GatewayHarness | None = None
        self.n_crashes = 0
        self.crashes_next = False

    async def crash(self, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """End the upstream that received a request."""
        self.n_crashes += 1
        for upstream in self.harness.upstreams:
            if got in upstream.received:
                await upstream.stop()
        writer.transport.abort()

    async def crash_if_told(
        self, got: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a request, or end the upstream that received it."""
        if self.crashes_next:
            self.crashes_next = False
            await self.crash(got, writer)
        else:
            writer.write(sealed_response(got, b"hello"))

    async def crash_under_one_path(
        self, got: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if got.target == CRASHING_PATH:
            await self.crash(got, writer)
        else:
            writer.write(sealed_response(got, b"hello"))

    async def crash_amid_a_stream(
        self, got: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Crash, twice in all, when the answer is well under way."""
        request_id = got.headers["chicorylead-attempt-id"]
        start = int(got.headers.get("last-event-id", 0)) + 1
        writer.write(STREAM_HEAD.format(id=request_id).encode())
        for number in range(start, 15):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(0.03)
            if number == start + 4 and self.n_crashes < 2:
                await self.crash(got, writer)
                return
        writer.write(b"0\r\n\r\n")


def test_a_request_is_not_refused_for_the_crashes_of_another_path():
    """Requests without a body differ in their path only."""
    scripts = _Scripts()

    async def check(harness: GatewayHarness) -> None:
        scripts.harness = harness
        await harness.call(CRASHING_PATH)
        assert scripts.n_crashes == 2
        await asyncio.sleep(0.1)
        assert (await harness.call(CRASHING_PATH))[0] == 503
        assert (await harness.call("/look/good"))[0] == 200

    _run_check([scripts.crash_under_one_path] * 3, check)


def test_a_request_that_is_answered_between_two_crashes_is_not_refused():
    """Equal requests are in flight wherever an upstream is lost for another reason."""
    scripts = _Scripts()

    async def check(harness: GatewayHarness) -> None:
        scripts.harness = harness
        for _ in range(2):
            scripts.crashes_next = True
            await harness.call("/look/popular")
            await asyncio.sleep(0.1)
            assert (await harness.call("/look/popular"))[0] == 200
        assert scripts.n_crashes == 2

    _run_check([scripts.crash_if_told] * 4, check)


def test_a_stream_that_had_begun_is_not_held_to_account_for_crashes():
    scripts = _Scripts()

    async def check(harness: GatewayHarness) -> None:
        scripts.harness = harness
        await harness.call("/revise/a")
        await asyncio.sleep(0.1)
        assert scripts.n_crashes == 2
        status, _, body, is_whole = await harness.call("/revise/a")
        assert (status, is_whole) == (200, True)
        assert body.count(b"id: ") == 14

    _run_check([scripts.crash_amid_a_stream] * 3, check)


# Guards against a sound request that is refused for as long as callers ask for it.
def test_a_request_that_was_blocked_is_tried_and_served_again(monkeypatch):
    monkeypatch.setattr(poison, "TRIAL_AFTER_S", 0.5)
    scripts = _Scripts()

    async def check(harness: GatewayHarness) -> None:
        scripts.harness = harness
        for _ in range(2):
            scripts.crashes_next = True
            await harness.call("/publish/popular", method="POST", body=b"x")
            await asyncio.sleep(0.1)
        status, headers, _, _ = await harness.call(
            "/publish/popular", method="POST", body=b"x"
        )
        assert status == 503
        assert float(headers["retry-after"]) >= 0.3
        await asyncio.sleep(0.5)
        for _ in range(3):
            status, _, _, _ = await harness.call(
                "/publish/popular", method="POST", body=b"x"
            )
            assert status == 200

    _run_check([scripts.crash_if_told] * 4, check)
