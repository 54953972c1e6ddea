"""The log of crashes in the store, which outlives all routers."""

import asyncio
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.gateway.crash_journal import (
    APPEND_INTERVAL_S,
    MAX_QUEUED,
    NEWS_PER_RECORD,
    CrashJournal,
)
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.crash_news import (
    CrashNews,
    CrashReport,
    LoggedCrashes,
    replay,
)
from chicorylead.outcome.poison_notice import PoisonNotice
from chicorylead.traffic.stream import StoreUnavailable
from tests.gateway.test_poison_crashes import MAX_CRASHES, _send_in_turn
from tests.gateway.test_prompt_crashes import DEADLY, FIRST, EngineFleet

NOW_MS = 1_780_000_000_000


class _Log:
    """A log that is down for a number of calls."""

    def __init__(self, n_errors: int = 0) -> None:
        self.records: list[list[LoggedCrashes]] = []
        self.n_errors = n_errors
        self.n_calls = 0

    def _call(self) -> None:
        self.n_calls += 1
        if self.n_errors > 0:
            self.n_errors -= 1
            raise StoreUnavailable("down")

    async def append(self, items) -> None:
        self._call()
        self.records.append(list(items))

    async def read(self) -> list[LoggedCrashes]:
        self._call()
        return [item for record in self.records for item in record]


def _journal(log: _Log, applied: list[CrashNews], n_routers: int = 1) -> CrashJournal:
    return CrashJournal(
        log,
        applied.append,
        lambda: n_routers,
        NOW_MS,
        EventLog(),
        Metrics(),
        Random(1),
    )


def _news(number: int) -> CrashNews:
    notice = PoisonNotice(f"f{number}", ["u1|1"], [], 60.0, 0, 0, [(50, 10)])
    return CrashNews(1, [], [], [], [notice])


async def _wait_until(check) -> None:
    async with asyncio.timeout(10.0):
        while not check():
            await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch):
    for name in ("RETRY_MIN_S", "RETRY_MAX_S", "APPEND_INTERVAL_S"):
        monkeypatch.setattr(f"chicorylead.gateway.crash_journal.{name}", 0.02)


# Guards against news that is lost as the store was away when it came.
def test_news_is_appended_in_order_when_the_store_is_back():
    async def main() -> None:
        log = _Log(n_errors=5)
        journal = _journal(log, [])
        writer = asyncio.ensure_future(journal.write())
        for number in range(2 * NEWS_PER_RECORD):
            journal.add(_news(number))
        await _wait_until(lambda: sum(map(len, log.records)) == 2 * NEWS_PER_RECORD)
        logged = [item.news.suspects[0].fingerprint for item in await log.read()]
        assert logged == [f"f{n}" for n in range(2 * NEWS_PER_RECORD)]
        await asyncio.sleep(0.1)
        assert log.n_calls == 5 + len(log.records) + 1
        writer.cancel()

    asyncio.run(main())


def test_while_the_store_is_away_the_newest_news_is_kept():
    async def main() -> None:
        log = _Log(n_errors=1)
        journal = _journal(log, [])
        for number in range(MAX_QUEUED + 5):
            journal.add(_news(number))
        writer = asyncio.ensure_future(journal.write())
        await _wait_until(lambda: sum(map(len, log.records)) == MAX_QUEUED)
        assert log.records[0][0].news.suspects[0].fingerprint == "f5"
        writer.cancel()

    asyncio.run(main())


# Guards against a zone that is lost, and all its routers' appends at once.
def test_the_appends_of_a_large_fleet_are_few():
    async def main() -> None:
        log = _Log()
        journal = _journal(log, [], n_routers=140)
        writer = asyncio.ensure_future(journal.write())
        for number in range(20):
            journal.add(_news(number))
            await asyncio.sleep(0.01)
        assert log.n_calls == 1
        writer.cancel()

    asyncio.run(main())
    assert APPEND_INTERVAL_S >= 1.0


def test_a_start_does_not_wait_for_a_store_that_is_away():
    async def main() -> None:
        log, applied = _Log(n_errors=3), []
        log.records.append([LoggedCrashes(NOW_MS, _news(1))])
        journal = _journal(log, applied)
        await journal.read()
        assert log.n_calls == 4
        (news,) = applied
        assert [notice.fingerprint for notice in news.suspects] == ["f1"]

    asyncio.run(main())


def test_news_without_anything_to_remember_is_not_appended():
    async def main() -> None:
        log = _Log()
        journal = _journal(log, [])
        writer = asyncio.ensure_future(journal.write())
        journal.add(CrashNews(1, [], [], []))
        await asyncio.sleep(0.05)
        assert log.n_calls == 0
        writer.cancel()

    asyncio.run(main())


def test_what_is_replayed_is_older_by_the_time_since():
    crash = CrashReport("u1@1", [b"p"], True, 100)
    notice = PoisonNotice("f", ["u1|1"], [], 60.0, 0, 0, [(50, 10)])
    logged = [LoggedCrashes(NOW_MS, CrashNews(1, [crash], [], [], [notice]))]
    news = replay(logged, NOW_MS + 20_000)
    assert news.crashes[0].age_ms == 20_100
    assert news.suspects[0].ttl_s == 40.0
    assert news.suspects[0].spans_ms == [(20_050, 20_010)]
    assert replay(logged, NOW_MS + 61_000).suspects == []
    # The clock of the writer may be ahead.
    assert replay(logged, NOW_MS - 5000).crashes[0].age_ms == 100


parts = st.lists(st.sampled_from([b"a", b"b", b"c"]), unique=True, max_size=3)
events = st.tuples(st.sampled_from(["u1@1", "u2@1"]), parts, parts)


@given(st.lists(events, max_size=8))
def test_a_part_that_was_answered_after_a_crash_is_not_replayed(logged):
    items = []
    expected: dict[str, set[bytes]] = {}
    for crash, crashed, answered in logged:
        reports = [CrashReport(crash, crashed, False, 0)]
        items.append(LoggedCrashes(NOW_MS, CrashNews(1, reports, [], answered)))
        for known in expected.values():
            known -= set(answered)
        expected[crash] = set(crashed)
    found = {c.crash: set(c.parts) for c in replay(items, NOW_MS).crashes}
    assert found == {crash: known for crash, known in expected.items() if known}


# Guards against routers that are all lost, and with them what they knew.
def test_all_routers_are_restarted_and_refuse_what_they_blocked():
    async def main() -> None:
        async with EngineFleet(n_engines=6) as fleet:
            await _send_in_turn(fleet, MAX_CRASHES)
            for number in range(4):
                await fleet.send(number % 2, FIRST, DEADLY)
                await asyncio.sleep(0.5)
            n_crashes = fleet.n_crashes
            await fleet.pair.restart_all()
            for number in (0, 1):
                while not await fleet.pair.serves(number):
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            for number in (0, 1):
                assert await fleet.send_poison(number) == 503
                assert (await fleet.send(number, FIRST, DEADLY))[0] == 503
            assert fleet.n_crashes == n_crashes

    asyncio.run(main())


# Guards against the loss of the only router that knew of the first crash.
def test_a_router_that_restarts_before_each_request_blocks_it_after_two_crashes():
    async def main() -> None:
        async with EngineFleet(n_engines=6) as fleet:
            for _ in range(5):
                await fleet.send_poison(0)
                await asyncio.sleep(0.5)
                await fleet.pair.restart_all()
                for number in (0, 1):
                    while not await fleet.pair.serves(number):
                        await asyncio.sleep(0.01)
                await asyncio.sleep(0.2)
            assert fleet.n_crashes == MAX_CRASHES

    asyncio.run(main())
