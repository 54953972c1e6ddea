"""Upstreams that state in their answers what they take from now on."""

import asyncio

from chicorylead.gateway.admission import RETURNS_PER_S
from tests.gateway.fakes import call, registry_entry, sealed_response
from tests.gateway.test_gateway import _run_check, _serve
from tests.gateway.test_peers import GatewayPair, _wait_until

LIMIT_PER_S = 2.0
# The users' rule: from `STABLE_S` after the limit was first named, any `WINDOW_S`.
STABLE_S = 3.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
SEND_INTERVAL_S = 0.025


def _with_header(response: bytes, header: str) -> bytes:
    line, _, rest = response.partition(b"\r\n")
    return line + f"\r\n{header}\r\n".encode() + rest


def _most_in_window(times: list[float], first_named_at: float) -> int:
    """Return the most requests in a window that ends after the limit must hold."""
    ends = [at for at in times if at >= first_named_at + STABLE_S]
    return max(
        (sum(end - WINDOW_S < at <= end for at in times) for end in ends), default=0
    )


async def _wait_for_both(pair: GatewayPair) -> None:
    async def both_serve() -> bool:
        return await pair.serves(0) and await pair.serves(1)

    await _wait_until(both_serve)


def test_two_routers_together_keep_to_the_limit_that_an_upstream_names():
    async def main() -> None:
        clock = asyncio.get_running_loop().time
        received_at: list[float] = []

        async def script(got, writer) -> None:
            received_at.append(clock())
            response = sealed_response(got, b"hello")
            writer.write(_with_header(response, f"Server-Limit: {LIMIT_PER_S}"))

        async with GatewayPair() as pair:
            await _wait_for_both(pair)
            pair.upstream.script = script

            async def look_up(number: int) -> int:
                host, port = pair.cfgs[number % 2].callers
                request_id = f"req-{number}"
                status, headers, _, _ = await call(
                    port, "/look/a", host_ip=host, chicorylead_attempt_id=request_id
                )
                assert status == 200 or "retry-after" in headers
                return status

            tasks = []
            started = clock()
            while clock() < started + STABLE_S + 3.0:
                tasks.append(asyncio.create_task(look_up(len(tasks))))
                await asyncio.sleep(SEND_INTERVAL_S)
            statuses = await asyncio.gather(*tasks)
            assert set(statuses) <= {200, 429, 503}
            assert _most_in_window(received_at, received_at[0]) <= MAX_IN_WINDOW
            # What it takes is used, though not to the last request.
            n_after = sum(at > started + STABLE_S for at in received_at)
            assert n_after >= LIMIT_PER_S * 3.0 / 2

    asyncio.run(main())


def test_routers_that_have_not_been_told_keep_to_a_limit_as_well():
    async def main() -> None:
        async with GatewayPair() as pair:
            await _wait_for_both(pair)

            async def script(got, writer) -> None:
                response = sealed_response(got, b"hello")
                writer.write(_with_header(response, "Server-Limit: 0.2"))

            assert [await pair.look_up_status(1) for _ in range(4)] == 4 * [200]
            pair.upstream.script = script
            assert await pair.look_up_status(0) == 200
            await asyncio.sleep(0.05)
            n_received = len(pair.upstream.received)
            assert await pair.look_up_status(1) in (429, 503)
            assert len(pair.upstream.received) == n_received

    asyncio.run(main())


def test_no_router_sends_to_an_upstream_that_has_said_that_it_leaves():
    async def main() -> None:
        async with GatewayPair() as pair:
            await _wait_for_both(pair)

            async def script(got, writer) -> None:
                response = sealed_response(got, b"hello")
                writer.write(_with_header(response, "Server-Leaving: 1"))

            pair.upstream.script = script
            assert await pair.look_up_status(0) == 200
            assert await pair.look_up_status(0) == 503
            await asyncio.sleep(0.05)
            assert await pair.look_up_status(1) == 503
            # The registry lists it as ready, also when it was unlisted for some time.
            entry = registry_entry(pair.upstream, seq=2)
            pair.store.put("keyed.servers", "u0", None)
            pair.store.put("keyed.servers", "u0", entry)
            pair.store.put("keyed.servers", "u1", registry_entry(pair.upstream))

            def last_instance() -> str:
                return pair.upstream.received[-1].headers["chicorylead-expect-instance"]

            async def second_serves() -> bool:
                return await pair.look_up_status(1) == 200

            await _wait_until(second_serves)
            assert pair.upstream.received[-1].headers[
                "chicorylead-expect-instance"
            ] == ("u1")
            # Its next start knows nothing of that.
            again = registry_entry(pair.upstream, born=2000)
            pair.upstream.script = _serve
            pair.store.put("keyed.servers", "u1", None)
            pair.store.put("keyed.servers", "u0", again)
            await _wait_until(second_serves)
            assert pair.upstream.received[-1].headers[
                "chicorylead-expect-instance"
            ] == ("u0")

    asyncio.run(main())


def test_an_upstream_that_asks_for_a_pause_gets_nothing_until_its_end():
    pause_s = 1.2

    async def check(harness) -> None:
        clock = asyncio.get_running_loop().time
        status, headers, _, _ = await harness.call("/look/a")
        assert status == 503
        assert 0.5 * pause_s < float(headers["retry-after"]) <= 1.2 * pause_s
        paused_at = clock()
        n_received = harness.n_received
        status, headers, _, _ = await harness.call("/look/a")
        assert status == 503
        # The callers do not come back together.
        second_s = pause_s + 1.0 / RETURNS_PER_S
        assert 0.5 * second_s < float(headers["retry-after"]) <= 1.2 * second_s
        while clock() < paused_at + pause_s - 0.1:
            assert (await harness.call("/look/a"))[0] == 503
            await asyncio.sleep(0.02)
        assert harness.n_received == n_received
        await asyncio.sleep(0.2)
        await harness.call("/look/a")
        assert harness.n_received == n_received + 1

    async def turn_away(got, writer) -> None:
        writer.write(
            b"HTTP/1.1 503 Busy\r\nChicorylead-Not-Executed: 1\r\n"
            b"Retry-After: %.1f\r\nContent-Length: 0\r\n\r\n" % pause_s
        )

    _run_check([turn_away], check)
