"""Upstreams whose entries go missing in an outage of the store, or as they leave."""

import asyncio
import math

import pytest

from chicorylead.gateway.app import Gateway
from chicorylead.gateway.follower import MAX_GAP_S, StreamFollower
from chicorylead.traffic.stream import PeerPage, Position, Stream
from chicorylead.upstream.registry import LAPSE_GRACE_S
from tests.gateway.fakes import (
    INCARNATION,
    FakeStore,
    FakeUpstream,
    configuration,
    free_ports,
    make_follower,
    registry_entry,
)
from tests.gateway.test_gateway import GatewayHarness, _run_check, _serve
from tests.gateway.test_peers import _settings, _wait_until

DRAIN_S = 2.0  # the users' bound
N_ROUTERS = 4


class _Fleet:
    """Routers of one zone, two of which read the store for all."""

    async def __aenter__(self) -> "_Fleet":
        self.store = FakeStore()
        await self.store.start()
        self.store.put("keyed.op", "config", configuration())
        self._beat(1)
        (peer_port,) = free_ports(1)
        self.gateways = [
            Gateway(
                _settings(n + 2, self.store.port, peer_port),
                incarnation=INCARNATION,
                read_settings=lambda: None,
            )
            for n in range(N_ROUTERS)
        ]
        for gateway in self.gateways:
            await gateway.app.start()
        for sequence in range(2, 12):
            await asyncio.sleep(0.4)
            self._beat(sequence)  # ends the reads that wait
        await _wait_until(self._is_settled)
        return self

    def _beat(self, sequence: int) -> None:
        for n in range(2):
            address = f"127.0.0.1:{n + 1}"
            entry = registry_entry(FakeUpstream(_serve), address=address, seq=sequence)
            self.store.put("keyed.servers", f"u{n}", entry)

    async def __aexit__(self, *exc: object) -> None:
        for gateway in self.gateways:
            await gateway.app.stop()
        await self.store.stop()

    def readers(self) -> list[Gateway]:
        """Return the routers that read the store."""
        return [g for g in self.gateways if g._followers[Stream.UPSTREAMS].is_connected]

    async def _is_settled(self) -> bool:
        know = [g.n_upstreams == 2 and len(g._live_peers()) == 3 for g in self.gateways]
        return all(know) and len(self.readers()) == 2

    def kill(self, gateway: Gateway) -> None:
        """End what a router does, without a word to its peers."""
        for task in gateway.app._tasks:
            task.cancel()
        gateway._peers._transport.abort()


# Guards against taking a leaving upstream for one that lapsed in an outage, as a router
# has just begun to read the store.
@pytest.mark.parametrize("leaves_after_s", [0.0, 0.5])
def test_an_upstream_that_leaves_as_all_readers_are_lost_gets_no_work(leaves_after_s):
    async def main() -> None:
        async with _Fleet() as fleet:
            lost = fleet.readers()
            others = [g for g in fleet.gateways if g not in lost]
            for gateway in lost:
                fleet.kill(gateway)
            await asyncio.sleep(leaves_after_s)
            fleet.store.put("keyed.servers", "u0", None)

            async def is_gone() -> bool:
                return all(gateway.n_upstreams == 1 for gateway in others)

            await _wait_until(is_gone, limit_s=DRAIN_S)

    asyncio.run(main())


@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("is_back", [False, True])
def test_an_upstream_that_lapsed_in_an_outage_is_kept_for_a_while(is_silent, is_back):
    async def check(harness: GatewayHarness) -> None:
        store, gateway = harness.store, harness.gateway
        store.is_silent, store.is_down = is_silent, not is_silent
        await asyncio.sleep(3.0)
        store.put("keyed.servers", "u0", None)
        store.is_silent = store.is_down = False

        async def is_noticed() -> bool:
            return gateway._followers[Stream.UPSTREAMS].outage_ended_at > 0

        await _wait_until(is_noticed, limit_s=3.0)
        await asyncio.sleep(0.9 * LAPSE_GRACE_S)
        assert gateway.n_upstreams == 1
        if is_back:
            entry = registry_entry(harness.upstreams[0], seq=2)
            store.put("keyed.servers", "u0", entry)
        await asyncio.sleep(0.1 * LAPSE_GRACE_S + 0.3)
        assert gateway.n_upstreams == int(is_back)

    _run_check([_serve], check)


def _follower_at(continuous_s: float) -> StreamFollower:
    """Return a follower whose records have been current for a time."""
    follower = make_follower(None, Stream.UPSTREAMS)
    now = follower._clock()
    follower.end = Position(1, 1)
    follower.current_at = now
    follower.continuous_since = now - continuous_s
    return follower


def _page(outage_age_s: float, era: int = 1) -> PeerPage:
    return PeerPage([], Position(era, 2), False, outage_age_s, 0.1)


@pytest.mark.parametrize(
    ("continuous_s", "outage_age_s", "is_believed"),
    [
        (60.0, 0.5, False),  # the peer alone was cut off from the store
        (1.0, 0.5, True),  # this router's records were old as well
        (60.0, math.inf, False),  # the peer knows of none, or has just started
    ],
)
def test_an_outage_that_a_peer_tells_counts_unless_the_store_was_answering(
    continuous_s, outage_age_s, is_believed
):
    async def main() -> float:
        follower = _follower_at(continuous_s)
        follower.apply_peer_page(_page(outage_age_s), "r2")
        return follower._clock() - follower.outage_ended_at

    outage_age = asyncio.run(main())
    expected = outage_age_s if is_believed else math.inf
    assert outage_age == pytest.approx(expected, abs=0.2)


def test_an_era_that_a_peer_tells_is_an_outage_whenever_the_peer_started():
    async def main() -> float:
        follower = _follower_at(60.0)
        follower.apply_peer_page(_page(math.inf, era=2), "r2")
        return follower._clock() - follower.outage_ended_at

    assert asyncio.run(main()) < 0.2


@pytest.mark.parametrize(
    ("has_failed", "gap_s", "is_outage"),
    [
        (True, MAX_GAP_S + 0.1, True),
        (False, MAX_GAP_S + 0.1, False),  # nobody asked the store
        (True, MAX_GAP_S - 0.1, False),  # too short for an entry to lapse
    ],
)
def test_an_outage_takes_a_failed_call_and_a_time_without_answers(
    has_failed, gap_s, is_outage
):
    async def main() -> bool:
        follower = _follower_at(60.0)
        follower.current_at = follower._clock() - gap_s
        follower._has_failed = has_failed
        follower.confirm(follower._clock())
        return math.isfinite(follower.outage_ended_at)

    assert asyncio.run(main()) is is_outage
