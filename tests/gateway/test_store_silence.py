"""A store that falls silent for a while and never answers the calls of that time."""

import asyncio

import pytest

from chicorylead.gateway.follower import (
    HOP_S,
    MAX_GAP_S,
    READ_PAUSE_S,
    StreamFollower,
)
from chicorylead.gateway.records_age import CHECK_AGE_S, CHECK_JITTER, MAX_AGE_S
from chicorylead.traffic.stream import (
    StoreUnavailable,
    Stream,
    StreamPage,
    StreamRecord,
    StreamTrimmed,
)
from tests.gateway.fakes import configuration, make_follower, registry_entry
from tests.gateway.test_gateway import GatewayHarness, _run_check, _serve
from tests.gateway.test_peers import GatewayPair, _wait_until

APPLY_S = 2.0  # the users' bound for a change
STABLE_S = 3.0  # after this time without a disruption the bound holds


async def _wait_for_status(
    harness: GatewayHarness, status: int, limit_s: float
) -> None:
    async with asyncio.timeout(limit_s):
        while (await harness.call("/look/a"))[0] != status:
            await asyncio.sleep(0.02)


async def _silence(harness: GatewayHarness, seconds: float) -> None:
    """Let the store be silent, and let the time pass after which the bound holds."""
    harness.store.is_silent = True
    await asyncio.sleep(seconds)
    harness.store.is_silent = False
    await asyncio.sleep(STABLE_S)


def _replace_credential(harness: GatewayHarness, version: int, key: str) -> None:
    cfg = configuration(version)
    cfg["tenants"] = [{"name": "north", "apiKeys": [key]}]
    harness.store.put("keyed.op", "config", cfg)


def test_a_change_after_the_store_was_silent_is_in_force():
    """The first read after a change falls into the silence and is never answered."""

    async def check(harness: GatewayHarness) -> None:
        _replace_credential(harness, 2, "another")
        await _wait_for_status(harness, 401, APPLY_S)
        await _silence(harness, 0.6)
        harness.store.put("keyed.op", "config", configuration(3))
        await _wait_for_status(harness, 200, APPLY_S)

    _run_check([_serve], check)


def test_an_upstream_that_leaves_after_the_store_was_silent_gets_no_work():
    async def check(harness: GatewayHarness) -> None:
        entry = registry_entry(harness.upstreams[0], seq=2)
        harness.store.put("keyed.servers", "u0", entry)
        await asyncio.sleep(0.1)
        await _silence(harness, 0.6)
        entry = registry_entry(harness.upstreams[0], seq=3, state="draining")
        harness.store.put("keyed.servers", "u0", entry)
        await _wait_for_status(harness, 503, APPLY_S)

    _run_check([_serve], check)


def test_a_change_that_a_lost_read_has_missed_is_in_force():
    """Nothing but the answer of one read is lost, and the store goes on."""

    async def check(harness: GatewayHarness) -> None:
        _replace_credential(harness, 2, "another")
        await _wait_for_status(harness, 401, APPLY_S)
        harness.store.is_silent = True
        await asyncio.sleep(READ_PAUSE_S + 0.05)
        harness.store.is_silent = False
        harness.store.put("keyed.op", "config", configuration(3))
        await _wait_for_status(harness, 200, APPLY_S)

    _run_check([_serve], check)


def test_one_router_checks_the_records_for_all():
    """The users bill each call."""

    async def main() -> int:
        async with GatewayPair() as pair:

            async def serve() -> bool:
                statuses = [await pair.look_up_status(number) for number in (0, 1)]
                return statuses == [200, 200]

            await _wait_until(serve)
            await asyncio.sleep(2.0)
            before = pair.store.n_calls + pair.other_store.n_calls
            await asyncio.sleep(4.0)
            return pair.store.n_calls + pair.other_store.n_calls - before

    least_age_s = CHECK_AGE_S * (1 - CHECK_JITTER) - HOP_S
    n_streams = len(Stream)
    # A tenth more for polls that end, and for checks of two routers at the same moment.
    assert asyncio.run(main()) <= 1.1 * n_streams * 4.0 / least_age_s


def test_the_age_that_peers_are_told_rises_while_a_read_waits():
    async def check(harness: GatewayHarness) -> None:
        await asyncio.sleep(READ_PAUSE_S + 0.1)
        harness.store.is_silent = True
        await asyncio.sleep(MAX_AGE_S + 0.9)  # a check may be answered at first
        assert harness.gateway._records_age.is_too_high

    _run_check([_serve], check)


def test_pages_that_lack_records_follow_on_at_once_and_are_not_current():
    async def main() -> tuple[int, float]:
        store = _PagedStore(n_pages=8)
        follower = _follower(store)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.1)
        task.cancel()
        return store.n_reads, follower.age_s

    n_reads, age_s = asyncio.run(main())
    assert n_reads >= 8  # a pause of 0.25 s after each would take 2 s
    assert age_s >= 0.05  # no page has reached the end, only the snapshot before


class _PagedStore:
    """Has more records than one answer holds."""

    def __init__(self, n_pages: int) -> None:
        self._n_pages = n_pages
        self.n_reads = 0

    async def newest(self, stream: Stream) -> StreamPage:
        return StreamPage([], 0, 0)

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        await asyncio.sleep(0.001)
        self.n_reads += 1
        if self.n_reads > self._n_pages:
            await asyncio.Event().wait()
        record = StreamRecord("config", b'{"version":%d}' % (start + 1), start)
        return StreamPage([record], start + 1, has_more=True)


class _Store:
    """Answers one read, and fails the next after some time."""

    def __init__(self, silent_s: float) -> None:
        self._silent_s = silent_s
        self._n_reads = 0

    async def newest(self, stream: Stream) -> StreamPage:
        return StreamPage([], 0, 0)

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        self._n_reads += 1
        if self._n_reads > 1:
            await asyncio.sleep(self._silent_s)
            raise StoreUnavailable("log-read: silent")
        return StreamPage([], 0, 0)


def _follower(store: _Store | _PagedStore) -> StreamFollower:
    return make_follower(store, Stream.CONFIGURATION)


def test_the_line_of_a_lost_store_tells_when_it_was_asked_and_answered(log_capture):
    async def main() -> None:
        log_capture.open()
        task = asyncio.create_task(_follower(_Store(silent_s=0.3)).run())
        await asyncio.sleep(0.4)
        task.cancel()

    asyncio.run(main())
    (line,) = log_capture.lines("store_lost")
    assert float(line["asked_s"]) == pytest.approx(0.3, abs=0.08)
    assert float(line["answered_s"]) >= float(line["asked_s"])


class _PageStore:
    """Answers reads with the next of some pages, or with an error."""

    def __init__(self, *pages: StreamPage | Exception) -> None:
        self._pages = list(pages)

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        page = self._pages.pop(0)
        if isinstance(page, Exception):
            raise page
        return page


def _page(number: int, era: int = 0, has_more: bool = False) -> StreamPage:
    record = StreamRecord("config", b'{"version":%d}' % number, number, era)
    return StreamPage([record], number + 1, era, has_more)


def test_a_check_reads_to_the_end_and_makes_the_records_current():
    async def main() -> None:
        follower = _follower(_PageStore(_page(0, has_more=True), _page(1)))
        with pytest.raises(StoreUnavailable):
            await follower.check()  # nothing has been read yet
        follower.is_complete = True
        await follower.check()
        assert follower.end == (0, 2)
        assert follower.age_s < 0.1

    asyncio.run(main())


@pytest.mark.parametrize(
    "answer",
    [StoreUnavailable("log-read: silent"), StreamTrimmed("log-read"), _page(0, era=1)],
)
def test_a_check_without_a_usable_answer_does_not_make_the_records_current(answer):
    async def main() -> None:
        follower = _follower(_PageStore(answer))
        follower.is_complete = True
        with pytest.raises(StoreUnavailable):
            await follower.check()
        assert follower.age_s == float("inf")

    asyncio.run(main())


def test_records_are_continuous_until_they_were_too_old_to_show_what_came_and_went():
    async def main() -> None:
        follower = _follower(_PageStore())
        for at in (100.0, 101.0, 102.1):
            follower.confirm(at)
        assert follower.continuous_since == 100.0
        follower.confirm(102.2 + MAX_GAP_S)
        assert follower.continuous_since == 102.2 + MAX_GAP_S

    asyncio.run(main())
