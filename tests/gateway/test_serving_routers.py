"""Which routers read the store, and what the others take from their peers."""

import asyncio
from collections.abc import Callable
from random import Random
from types import SimpleNamespace

from chicorylead.gateway.follower import StreamFollower
from chicorylead.gateway.records_age import MAX_AGE_S, RecordsAge
from chicorylead.gateway.serving_routers import ServingRouters
from chicorylead.logs import EventLog
from chicorylead.traffic.stream import START, Position, Stream, StreamPage, StreamRecord
from tests.gateway.fakes import make_follower, presence_of
from tests.gateway.test_peers import _settings


def _record(key: str, offset: int, value: bytes | None = b"x") -> StreamRecord:
    return StreamRecord(key, value, offset)


class _Store:
    """A store whose snapshot is fixed, and which counts its calls."""

    def __init__(self, snapshot: StreamPage) -> None:
        self.snapshot = snapshot
        self.n_calls = 0

    async def newest(self, stream: Stream) -> StreamPage:
        self.n_calls += 1
        return self.snapshot

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        self.n_calls += 1
        await asyncio.sleep(min(wait_s, 0.05))
        return StreamPage([], start)


def _follower(store: _Store | None, must_read=lambda: True) -> StreamFollower:
    return make_follower(
        store, Stream.UPSTREAMS, must_read=must_read, revision=lambda record: None
    )


def test_a_router_that_is_no_reader_calls_the_store_once():
    async def main() -> int:
        store = _Store(StreamPage([_record("u", 3)], 4))
        task = asyncio.create_task(_follower(store, lambda: False).run())
        await asyncio.sleep(0.5)
        task.cancel()
        return store.n_calls

    assert asyncio.run(main()) == 1


def test_a_peer_page_holds_only_the_newer_records():
    async def main() -> None:
        source, target = _follower(None), _follower(None)
        source.apply_page(StreamPage([_record("a", 1), _record("b", 2)], 3))
        target.apply_peer_page(source.page_since(START), "r2")
        source.apply_page(StreamPage([_record("b", 3, None)], 4))
        page = source.page_since(target.end)
        assert [record.key for record in page.records] == ["b"]
        target.apply_peer_page(page, "r2")
        assert target.page_since(START).records == source.page_since(START).records

    asyncio.run(main())


def test_keys_whose_removal_the_store_forgot_vanish_at_peers_too():
    async def main() -> None:
        source, target = _follower(None), _follower(None)
        both = StreamPage([_record("a", 1), _record("b", 2)], 3)
        source.apply_page(both)
        target.apply_peer_page(source.page_since(START), "r2")
        source._apply_snapshot(StreamPage([_record("a", 1)], 9))
        target.apply_peer_page(source.page_since(target.end), "r2")
        assert [record.key for record in target.page_since(START).records] == ["a"]
        assert target.end == Position(0, 9)

    asyncio.run(main())


class _Follower:
    """A follower whose records were current at some time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.current_at = float("-inf")

    @property
    def age_s(self) -> float:
        return self._clock() - self.current_at

    def confirm(self, at: float) -> None:
        self.current_at = max(self.current_at, at)


def test_records_age_while_no_reader_is_heard():
    now = 0.0
    followers = [_Follower(lambda: now), _Follower(lambda: now)]
    age = RecordsAge(lambda: followers, lambda: now, Random(1))
    assert age.is_too_high
    age.learn(0.2)
    assert not age.is_too_high
    now = MAX_AGE_S
    assert age.is_too_high
    # The oldest stream decides.
    followers[0].confirm(now)
    assert age.is_too_high
    followers[1].confirm(now)
    assert age.seconds() == 0.0


def test_routers_that_report_to_each_other_do_not_make_their_records_younger():
    now = 0.0
    ages = [
        RecordsAge(lambda follower=follower: [follower], lambda: now, Random(1))
        for follower in (_Follower(lambda: now), _Follower(lambda: now))
    ]
    ages[0].learn(0.0)
    for _ in range(20):
        for teller, learner in (ages, ages[::-1]):
            told_s = teller.seconds()
            now += 0.04  # longer than between regions
            learner.learn(told_s)
    assert min(age.seconds() for age in ages) >= now


def _serving(n_peers: int, n_zones: int) -> tuple[ServingRouters, SimpleNamespace]:
    world = SimpleNamespace(now=0.0, peers=[])
    world.peers = [
        SimpleNamespace(presence=presence_of(f"10.0.0.{i}", f"z{i % n_zones}"))
        for i in range(n_peers)
    ]
    serving = ServingRouters(
        _settings(2, 1, 1), lambda: world.peers, lambda: world.now, EventLog()
    )
    return serving, world


def test_all_routers_of_a_small_fleet_read_the_store():
    serving, world = _serving(n_peers=3, n_zones=3)
    serving.is_ready = True
    assert serving.is_reader()
    assert len(serving.addresses()) == 4


def test_two_routers_a_zone_are_named_and_a_lost_one_is_replaced():
    serving, world = _serving(n_peers=60, n_zones=5)
    named = set(serving.addresses())
    assert len(named) == 10
    lost = next(p for p in world.peers if p.presence.callers in named)
    world.peers.remove(lost)
    serving.handle_change()
    after = set(serving.addresses())
    assert named - after == {lost.presence.callers}
    assert len(after - named) == 1


def test_routers_that_are_not_ready_are_not_named():
    serving, world = _serving(n_peers=3, n_zones=1)
    world.peers[0].presence = presence_of("10.0.0.0", "z0", is_ready=False)
    assert sorted(serving.addresses()) == ["10.0.0.1:80", "10.0.0.2:80"]
    assert not serving.is_own_serving()
    serving.is_ready = True
    serving.handle_change()
    assert serving.is_own_serving()
