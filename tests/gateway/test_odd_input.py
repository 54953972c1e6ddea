"""Input that ends a task of a careless router, as other writers and callers send it."""

import asyncio

import pytest

from tests.gateway.fakes import registry_entry
from tests.gateway.test_fuzz import DEEP_JSON
from tests.gateway.test_gateway import GatewayHarness, _run_check, _serve
from tests.gateway.test_peers import GatewayPair, _wait_until

APPLY_S = 2.0  # the users' bound for a leaving upstream
LOST_S = 2.0  # a router that sends nothing counts as lost well before
ENTRIES = {
    "deep": DEEP_JSON,
    "huge_number": b'{"seq":' + b"9" * 400 + b"}",
    "not_utf8": b'{"service":"\xff"}',
    "other_type": b"[1]",
}


# Guards against an entry that ends the reading of all later ones for good.
@pytest.mark.parametrize("kind", ENTRIES)
def test_an_upstream_that_leaves_after_an_odd_entry_gets_no_work(kind):
    async def check(harness: GatewayHarness) -> None:
        assert (await harness.call("/look/a"))[0] == 200
        harness.store.put("keyed.servers", "x9", ENTRIES[kind])
        entry = registry_entry(harness.upstreams[0], seq=3, state="draining")
        harness.store.put("keyed.servers", "u0", entry)
        async with asyncio.timeout(APPLY_S):
            while (await harness.call("/look/a"))[0] != 503:
                await asyncio.sleep(0.02)

    _run_check([_serve], check)


def test_a_router_that_starts_after_an_odd_entry_serves():
    async def main() -> None:
        async with GatewayPair() as pair:
            pair.store.logs["keyed.servers"].insert(0, ("x9", DEEP_JSON))
            await pair.restart_all()

            async def serve() -> bool:
                return await pair.look_up_status(0) == 200

            await _wait_until(serve)

    asyncio.run(main())


# Guards against a router that sends no datagrams any more, as one cannot be encoded.
@pytest.mark.parametrize("n_tokens", [str(10**23), "inf", "-5"])
def test_no_task_fails_after_a_prompt_of_an_absurd_length(n_tokens, log_capture):
    async def main() -> None:
        log_capture.open()
        async with GatewayPair() as pair:

            async def serve() -> bool:
                return await pair.look_up_status(0) == 200

            await _wait_until(serve)
            for number in range(3):
                await pair.look_up_status(
                    0,
                    chicorylead_attempt_id=f"absurd-{number}",
                    chicorylead_token_counts=f"{n_tokens},1",
                    chicorylead_prefix_hash=f"aa:{n_tokens}",
                    chicorylead_length_hint=n_tokens,
                )
            await asyncio.sleep(LOST_S)
            for gateway in pair.gateways:
                assert len(gateway._live_peers()) == 1
            assert await pair.look_up_status(0) == 200

    asyncio.run(main())
    assert not log_capture.lines("task_failed")
