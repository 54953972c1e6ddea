"""What upstreams state in answers about the work that they take."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.gateway.notices import NEWS_S, NoticeRecorder
from chicorylead.ids import UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.upstream.intake import Intake
from chicorylead.upstream.intakes import (
    MAX_UNLISTED,
    Intakes,
    UpstreamIncarnation,
)
from chicorylead.upstream.notice import NO_NOTICE, Notice
from chicorylead.upstream.send_counts import SendCounts
from tests.gateway.load_simulation import make_upstream
from tests.gateway.test_gateway import _run_check

LIMITED = Notice(limit_per_s=5.0)


def _intake() -> Intake:
    return Intake(SendCounts(), lambda: 0.0)


def _decode(status: int = 200, **headers: str) -> Notice:
    lines = [(k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()]
    return decode_answer(status, lines).notice


def test_statements_of_an_upstream_are_decoded_with_their_units():
    assert _decode() == Notice()
    assert _decode(server_limit="3.8") == Notice(limit_per_s=3.8)
    assert _decode(server_leaving="1").is_leaving
    assert _decode(503, retry_after="1.5").pause_s == 1.5
    assert _decode(429, retry_after="1.5").pause_s == 0.0


def test_another_upstream_at_the_address_states_nothing_about_this_one():
    assert _decode(421, server_limit="1", server_leaving="1") == NO_NOTICE


@pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "much", "1e999"])
def test_a_limit_that_cannot_be_read_neither_names_nor_ends_one(value):
    notice = _decode(server_limit=value)
    assert notice.limit_per_s is None and not notice.has_limit_statement
    intake = _intake()
    intake.apply(LIMITED, sent_at=0.0, answered_at=1.0)
    assert not intake.apply(notice, sent_at=2.0, answered_at=3.0)
    assert intake.limit_per_s == 5.0


def test_an_answer_that_was_overtaken_does_not_end_a_limit():
    intake = _intake()
    assert intake.apply(LIMITED, sent_at=0.0, answered_at=1.0).limit
    assert not intake.apply(Notice(), sent_at=0.9, answered_at=1.1)
    assert intake.limit_per_s == 5.0
    assert intake.apply(Notice(), sent_at=1.2, answered_at=1.3).limit
    assert intake.limit_per_s is None
    # The report of a peer that was told before the end.
    assert not intake.apply(LIMITED, sent_at=1.0, answered_at=1.25)
    assert intake.limit_per_s is None


def test_leaving_is_not_taken_back():
    intake = _intake()
    assert intake.apply(Notice(is_leaving=True), 0.0, 1.0).leaving
    assert not intake.apply(Notice(), 2.0, 3.0)
    assert intake.is_leaving


@given(st.lists(st.tuples(st.floats(0, 9), st.floats(0, 9)), max_size=9))
def test_a_pause_is_never_shortened(pauses):
    intake = _intake()
    for pause_s, at in pauses:
        intake.apply(Notice(pause_s=pause_s), at, at)
    ends = [at + pause_s for pause_s, at in pauses if pause_s > 0]
    assert intake.paused_until == max(ends, default=float("-inf"))


def _recorder() -> tuple[NoticeRecorder, Intakes]:
    intakes = Intakes(asyncio.get_running_loop().time)
    return NoticeRecorder(intakes, EventLog(), Metrics()), intakes


def test_peers_learn_of_limits_and_leaves_and_of_their_ends():
    async def main() -> None:
        clock = asyncio.get_running_loop().time
        told, _ = _recorder()
        other, intakes = _recorder()
        upstream = make_upstream("u1")
        intake = intakes.get(UpstreamIncarnation(upstream.id, upstream.entry.born_ms))
        n_news = []
        told.on_urgent_news = lambda: n_news.append(1)
        told.record(upstream, LIMITED, sent_at=clock())
        for _ in range(2):  # reports are repeated
            other.apply_reports("r1", told.news())
        assert intake.limit_per_s == 5.0
        # The same limit in the next answer is no news.
        told.record(upstream, LIMITED, sent_at=clock())
        assert len(n_news) == 1
        # Another figure is, but may wait for the next heartbeat.
        told.record(upstream, Notice(limit_per_s=3.0), sent_at=clock())
        other.apply_reports("r1", told.news())
        assert intake.limit_per_s == 3.0
        assert len(n_news) == 1
        await asyncio.sleep(0.01)
        told.record(upstream, Notice(is_leaving=True), sent_at=clock())
        other.apply_reports("r1", told.news())
        assert intake.limit_per_s is None and intake.is_leaving
        assert len(n_news) == 2
        await asyncio.sleep(NEWS_S)
        assert told.news() == []

    asyncio.run(main())


def test_a_pause_told_by_a_peer_makes_other_upstreams_preferred():
    async def main() -> None:
        clock = asyncio.get_running_loop().time
        told, _ = _recorder()
        other, intakes = _recorder()
        upstream = make_upstream("u1")
        told.record(upstream, Notice(pause_s=2.0), sent_at=clock())
        other.apply_reports("r1", told.news())
        intake = intakes.get(UpstreamIncarnation(upstream.id, upstream.entry.born_ms))
        assert intake.paused_until < clock() < intake.avoided_until
        assert upstream.intake.paused_until > clock()

    asyncio.run(main())


def test_routers_that_start_are_told_what_holds_for_listed_upstreams():
    async def main() -> None:
        told, intakes = _recorder()
        for name, is_listed in (("u1", True), ("u2", False), ("u3", True)):
            incarnation = UpstreamIncarnation(UpstreamId(name), 1)
            if is_listed:
                intakes.mark_listed(incarnation)
            if name != "u3":
                intakes.get(incarnation).apply(LIMITED, -1.0, -1.0)
        (report,) = told.current()
        assert (report.upstream, report.limit_per_s) == ("u1", 5.0)

    asyncio.run(main())


def test_of_many_unlisted_incarnations_the_newest_are_kept():
    async def main() -> None:
        _, intakes = _recorder()
        for number in range(MAX_UNLISTED + 10):
            intake = intakes.get(UpstreamIncarnation(UpstreamId(f"u{number}"), 1))
            intake.is_leaving = True
        assert intakes.get(UpstreamIncarnation(UpstreamId("u11"), 1)).is_leaving
        assert not intakes.get(UpstreamIncarnation(UpstreamId("u1"), 1)).is_leaving

    asyncio.run(main())


def test_a_line_tells_what_an_upstream_asks_for(log_capture):  # noqa: F811
    async def script(got, writer) -> None:
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(
            f"HTTP/1.1 200 OK\r\nChicorylead-Attempt-Id: {request_id}\r\n"
            "Chicorylead-Response-Seal: 1.2.3\r\nServer-Limit: 5.1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    async def check(harness) -> None:
        log_capture.open()
        for _ in range(3):
            assert (await harness.call("/look/a"))[0] == 200
        await asyncio.sleep(0.05)
        lines = [
            line
            for line in log_capture.read().splitlines()
            if "event=upstream_notice" in line
        ]
        assert len(lines) == 1
        assert "upstream=u0" in lines[0] and "limit_per_s=5.1" in lines[0]

    _run_check([script], check)
