"""Where streams go on: what is remembered, what is proved, and what is asked."""

import asyncio
import math
from collections.abc import Callable, Sequence
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.gateway.stream_journal import (
    APPEND_INTERVAL_S,
    MAX_APPENDS_PER_S,
    READ_INTERVAL_S,
    READ_RETRY_S,
    StreamJournal,
)
from chicorylead.ids import (
    OrganisationId,
    OriginMark,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StreamKey,
)
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome import stream_origins
from chicorylead.outcome.stream_origins import (
    MEMORY_S,
    BegunStream,
    StreamOrigins,
    origin_mark,
    stream_key,
)
from chicorylead.outcome.take_up import (
    BegunAt,
    GoOn,
    ServingVersions,
    Unprovable,
    decide_take_up,
)
from chicorylead.platform.plain_log import StreamLog
from chicorylead.traffic.model import Operation, RepeatPolicy
from chicorylead.traffic.request import CallerHead, ForwardRequest
from chicorylead.traffic.stream import PlainPage, StoreUnavailable, StreamTrimmed

SERVICE = ServiceName("engines")
NORTH = OrganisationId("north")


def _stream(attempt: str, version: str = "v1", organisation: str = "north"):
    return BegunStream(attempt, SERVICE, version, organisation)


def _began(version: str) -> BegunAt:
    return BegunAt(SERVICE, SoftwareVersion(version), "log")


def _serving(*lately: str):
    versions = frozenset(SoftwareVersion(version) for version in lately)
    return ServingVersions(
        versions, is_complete=True, is_current=True, has_read_log=True
    )


# -- the decision


@given(
    began=st.sampled_from([None, "v1", "v2"]),
    lately=st.sets(st.sampled_from(["v1", "v2", "v3"])),
    is_complete=st.booleans(),
    is_current=st.booleans(),
    has_read_log=st.booleans(),
    has_all_answers=st.booleans(),
)
def test_a_stream_never_goes_on_at_a_version_that_is_not_proved(
    began, lately, is_complete, is_current, has_read_log, has_all_answers
):
    origin = None if began is None else _began(began)
    serving = ServingVersions(frozenset(lately), is_complete, is_current, has_read_log)
    match decide_take_up(origin, SERVICE, {SERVICE}, serving, has_all_answers):
        case GoOn(version=version):
            assert version == began or (began is None and lately == {version})
            assert began is not None or (is_complete and is_current)
        case Unprovable(retry_after_s=retry_after_s):
            assert began is None
            assert not (len(lately) == 1 and is_complete and is_current)
            # Only a router that may still learn of it tells the caller to return.
            may_learn = not (has_read_log and is_current and has_all_answers)
            assert (retry_after_s is None) == (not may_learn)


# Guards against a version that is taken for another one, as the records lack it.
@pytest.mark.parametrize("is_current", [True, False])
def test_a_stream_whose_version_no_record_has_does_not_go_on(is_current):
    serving = ServingVersions(frozenset({"v1"}), True, is_current, True)
    began = BegunAt(None, None, "10.0.0.2")
    decision = decide_take_up(began, SERVICE, {SERVICE}, serving, True)
    assert isinstance(decision, Unprovable)
    assert (decision.retry_after_s is None) is is_current


def test_a_stream_does_not_go_on_at_a_service_that_its_operation_no_longer_uses():
    moved = decide_take_up(
        _began("v1"), ServiceName("new"), {"new"}, _serving("v1"), True
    )
    assert isinstance(moved, Unprovable)
    split = {SERVICE, ServiceName("other")}
    stays = decide_take_up(
        _began("v1"), ServiceName("other"), split, _serving("v1"), True
    )
    assert stays == GoOn(SERVICE, SoftwareVersion("v1"), "log")


# -- what is remembered


class _Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def _record(origins: StreamOrigins, stream: BegunStream) -> None:
    origins.record(stream.key, stream.mark, "10.0.0.2")


def _version(
    origins: StreamOrigins, attempt: str, organisation: str | None = NORTH
) -> str | None:
    """Return the version of a stream, if the origin is known."""
    origin = origins.find(stream_key(organisation, attempt))
    if origin is None:
        return None
    (version,) = [v for v in ("v1", "v2") if origin_mark(SERVICE, v) == origin.mark]
    return version


def test_streams_are_found_by_their_organisation_only():
    origins = StreamOrigins(_Clock())
    _record(origins, _stream("a"))
    assert _version(origins, "a") == "v1"
    for attempt, organisation in (("a", "south"), ("a", None), ("b", "north")):
        assert _version(origins, attempt, organisation) is None


@given(st.tuples(*[st.text(max_size=3)] * 4))
def test_keys_differ_wherever_an_organisation_or_an_id_does(names):
    first, second = (names[0] or None, names[1]), (names[2] or None, names[3])
    assert (stream_key(*first) == stream_key(*second)) == (first == second)


def test_an_id_that_another_organisation_names_does_not_disturb_a_stream():
    origins = StreamOrigins(_Clock())
    _record(origins, _stream("a", "v1"))
    _record(origins, _stream("a", "v2", organisation="south"))
    assert _version(origins, "a") == "v1"
    assert _version(origins, "a", "south") == "v2"


def test_an_attempt_id_that_began_streams_at_two_versions_names_none():
    origins = StreamOrigins(_Clock())
    for version in ("v1", "v2", "v1"):
        _record(origins, _stream("a", version))
    assert _version(origins, "a") is None
    assert list(origins.unambiguous()) == []


def test_streams_are_forgotten_after_a_time_and_beyond_a_number(monkeypatch):
    clock = _Clock()
    origins = StreamOrigins(clock)
    _record(origins, _stream("old"))
    clock.now += MEMORY_S + 0.1
    assert _version(origins, "old") is None
    assert not origins.marks()
    monkeypatch.setattr(stream_origins, "MAX_STREAMS", 50)
    for number in range(500):
        _record(origins, _stream(str(number)))
    assert len(origins) == 50
    assert _version(origins, "499") == "v1"
    # One that goes on is kept longer than those that began after it.
    _record(origins, _stream("460"))
    for number in range(500, 545):
        _record(origins, _stream(str(number)))
    assert _version(origins, "460") == "v1"
    assert _version(origins, "461") is None


# -- the journal


class _Log:
    """A log of streams in memory, which may fail."""

    def __init__(self) -> None:
        self.records: list[list[BegunStream]] = []
        self.unread: list[BegunStream] = []
        self.is_down = False
        self.n_reads = 0

    async def append(self, streams: Sequence[BegunStream]) -> None:
        if self.is_down:
            raise StoreUnavailable("log-append: status 507")
        self.records.append(list(streams))

    async def read(self) -> list[BegunStream]:
        self.n_reads += 1
        await asyncio.sleep(0.005)
        if self.is_down:
            raise StoreUnavailable("log-read: status 503")
        unread, self.unread = self.unread, []
        return unread


class _Registry:
    """Upstreams of one service by their versions."""

    def __init__(self, *versions: str, oldest_born_ms: int | None = 1) -> None:
        self.versions = set(versions)
        self._oldest_born_ms = oldest_born_ms

    def origins_since(self, since: float) -> set[tuple[ServiceName, str]]:
        return {(SERVICE, version) for version in self.versions}

    def oldest_born_ms(self, service: ServiceName) -> int | None:
        return self._oldest_born_ms


class _Entries:
    """Entries of upstreams that are read without a gap since a time.

    Attributes:
        on_check: Called when what the store has added is read.
    """

    def __init__(self, age_s: float = 0.0, continuous_s: float = 0.0) -> None:
        self._clock = asyncio.get_running_loop().time
        self.current_at = self._clock() - age_s
        self.continuous_since = self._clock() - continuous_s
        self.is_down = False
        self.n_checks = 0
        self.on_check: Callable[[], None] = lambda: None

    async def check(self) -> None:
        self.n_checks += 1
        asked_at = self._clock()
        await asyncio.sleep(0.005)
        if self.is_down:
            raise StoreUnavailable("log-read: silent")
        self.on_check()
        self.current_at = asked_at


class _Witnesses:
    """The other routers.

    Attributes:
        told: Streams that they were told of.
        known: Streams that they know.
        has_all_answers: Whether all of them answer.
    """

    def __init__(self, origins: StreamOrigins) -> None:
        self._origins = origins
        self.told: list[tuple[StreamKey, OriginMark]] = []
        self.known: list[BegunStream] = []
        self.has_all_answers = True

    def tell(self, key: StreamKey, mark: OriginMark) -> None:
        self.told.append((key, mark))

    def tell_new_witnesses(self, streams: dict[StreamKey, OriginMark]) -> None:
        pass

    async def ask(self, key: StreamKey) -> bool:
        await asyncio.sleep(0.002)
        for stream in self.known:
            if stream.key == key:
                _record(self._origins, stream)
        return self.has_all_answers


STARTED_MS = 1_000_000


def _journal(
    registry: _Registry,
    log: _Log,
    n_routers: int = 1,
    entries: _Entries | None = None,
) -> StreamJournal:
    clock = asyncio.get_running_loop().time
    origins = StreamOrigins(clock)
    return StreamJournal(
        origins,
        _Witnesses(origins),
        registry,
        entries or _Entries(),
        log,
        lambda: n_routers,
        STARTED_MS,
        EventLog(),
        Metrics(),
    )


def _request(attempt: str, resumes: str | None = None) -> ForwardRequest:
    operation = Operation(
        "revise", "h", "/", RepeatPolicy.RESUMABLE, True, 9.0, 0.4, 1, 2, False, True,
        ((SERVICE, 1.0),),
    )  # fmt: skip
    last_event = None if resumes is None else "2"
    head = CallerHead(
        RequestId(attempt), "POST", b"/", "/", "h", None, 9.0, None, last_event,
        None if resumes is None else RequestId(resumes), (),
    )  # fmt: skip
    return ForwardRequest(head, b"", operation, SERVICE, NORTH, 0.0, 9.0, 0.0)


# Guards against streams of which only their router knows the version, when a second
# one appears after the loss of this router.
def test_each_stream_is_told_to_others_as_it_begins_whatever_serves():
    async def main() -> None:
        journal = _journal(_Registry("v1"), _Log())
        told = journal._witnesses.told
        for number, version in enumerate(("v1", "v2")):
            request = _request(f"a{number}")
            journal.begin(request, SoftwareVersion(version))
            stream = _stream(f"a{number}", version)
            assert told[number:] == [(stream.key, stream.mark)]
            # One that goes on within its answer has been told.
            journal.begin(request, SoftwareVersion(version))
        assert len(told) == 2
        again = _request("b", resumes="a0")
        journal.begin(again, SoftwareVersion("v1"))
        journal.end(again)
        journal.begin(_request("c", resumes="a0"), SoftwareVersion("v1"))
        assert told[2] == (_stream("a0").key, _stream("a0").mark)

    asyncio.run(main())


def test_streams_under_way_are_appended_once_a_second_version_appears():
    async def main() -> None:
        registry, log = _Registry("v1"), _Log()
        journal = _journal(registry, log)
        task = asyncio.create_task(journal.run())
        for number in range(3):
            journal.begin(_request(f"a{number}"), SoftwareVersion("v1"))
        journal.end(_request("a0"))
        await asyncio.sleep(APPEND_INTERVAL_S + 0.3)
        assert log.records == []
        registry.versions.add("v2")
        await asyncio.sleep(APPEND_INTERVAL_S + 0.3)
        journal.begin(_request("b"), SoftwareVersion("v2"))
        await asyncio.sleep(APPEND_INTERVAL_S + 0.3)
        task.cancel()
        appended = [stream for record in log.records for stream in record]
        assert [(s.id, s.version) for s in appended] == [
            ("a1", "v1"),
            ("a2", "v1"),
            ("b", "v2"),
        ]

    asyncio.run(main())


def test_streams_that_could_not_be_appended_are_appended_later():
    async def main() -> None:
        log = _Log()
        journal = _journal(_Registry("v1", "v2"), log)
        task = asyncio.create_task(journal.run())
        await asyncio.sleep(0.05)
        log.is_down = True
        journal.begin(_request("a"), SoftwareVersion("v1"))
        await asyncio.sleep(APPEND_INTERVAL_S + 0.3)
        log.is_down = False
        await asyncio.sleep(APPEND_INTERVAL_S + 0.3)
        task.cancel()
        assert [[stream.id for stream in record] for record in log.records] == [["a"]]

    asyncio.run(main())


@pytest.mark.parametrize("n_routers", [1, 5, 140, 520])
def test_the_appends_of_a_fleet_stay_within_what_the_store_takes(n_routers):
    async def main() -> float:
        journal = _journal(_Registry("v1"), _Log(), n_routers)
        return n_routers / journal._append_interval_s()

    assert asyncio.run(main()) <= MAX_APPENDS_PER_S + 1e-6


def test_a_stream_goes_on_after_several_take_ups_by_its_first_attempt():
    async def main() -> None:
        journal = _journal(_Registry("v1", "v2"), _Log())
        journal.begin(_request("first"), SoftwareVersion("v2"))
        for number in range(3):
            again = await journal.pin(_request(f"again{number}", resumes="first"))
            assert again.version == "v2"
            journal.begin(again, again.version)

    asyncio.run(main())


def test_a_new_request_is_not_pinned_and_asks_nobody():
    async def main() -> None:
        log = _Log()
        journal = _journal(_Registry("v1", "v2"), log)
        request = _request("a")
        assert await journal.pin(request) is request
        assert log.n_reads == 0

    asyncio.run(main())


async def _refusal(journal: StreamJournal, attempt: str) -> Refusal:
    with pytest.raises(Refusal) as caught:
        await journal.pin(_request(f"{attempt}-again", resumes=attempt))
    assert caught.value.kind is ErrorKind.STREAM_UNKNOWN
    return caught.value


def test_take_ups_of_unknown_streams_share_few_reads_of_the_log():
    """Thousands of made-up ids: the users bill each call, and limit them."""

    async def main() -> tuple[int, float]:
        log = _Log()
        journal = _journal(_Registry("v1", "v2"), log)
        clock = asyncio.get_running_loop().time
        started = clock()
        for batch in range(5):
            await asyncio.gather(
                *(_refusal(journal, f"made-up-{batch}-{n}") for n in range(400))
            )
        return log.n_reads, clock() - started

    n_reads, took_s = asyncio.run(main())
    assert n_reads <= 2 + took_s / READ_INTERVAL_S


def test_a_stream_that_another_router_appended_is_found_in_the_log():
    async def main() -> None:
        log = _Log()
        journal = _journal(_Registry("v1", "v2"), log)
        await _refusal(journal, "first")
        log.unread = [_stream("first", "v2")]
        request = await journal.pin(_request("again", resumes="first"))
        assert (request.version, request.service) == ("v2", SERVICE)

    asyncio.run(main())


def test_a_router_that_has_just_started_goes_on_only_if_one_version_is_proved():
    old_ms = STARTED_MS - 1000 * MEMORY_S - 1
    new_ms = STARTED_MS - 1

    async def pin(born_ms: float, streams: list[BegunStream], is_down: bool) -> object:
        log = _Log()
        log.unread, log.is_down = streams, is_down
        journal = _journal(_Registry("v1", oldest_born_ms=round(born_ms)), log)
        try:
            return (await journal.pin(_request("again", resumes="first"))).version
        except Refusal as exc:
            return exc.retry_after_s

    async def main() -> None:
        assert await pin(old_ms, [], is_down=False) == "v1"
        # The old version may have left while no router was up.
        assert await pin(new_ms, [], is_down=False) is None
        # Two versions served lately.
        assert await pin(old_ms, [_stream("x", "v2")], is_down=False) is None
        # The log may still tell: the caller may come back.
        assert 0 < await pin(old_ms, [], is_down=True) < math.inf

    asyncio.run(main())


class _SlowEntries(_Entries):
    """Entries that are not read before `may_read` is set."""

    def __init__(self, **ages: float) -> None:
        super().__init__(**ages)
        self.has_begun = asyncio.Event()
        self.may_read = asyncio.Event()

    async def check(self) -> None:
        self.has_begun.set()
        await self.may_read.wait()
        await super().check()


def test_a_read_that_began_before_a_take_up_came_proves_nothing_for_it():
    async def main() -> None:
        registry = _Registry("v1")
        entries = _SlowEntries(continuous_s=2 * MEMORY_S)
        journal = _journal(registry, _Log(), entries=entries)
        first = asyncio.ensure_future(journal.pin(_request("x", resumes="y")))
        await asyncio.wait_for(entries.has_begun.wait(), 2.0)
        asyncio.get_running_loop().call_later(0.05, entries.may_read.set)
        # Listed while the first read is under way, which does not show it any more.
        entries.on_check = lambda: entries.n_checks > 1 and registry.versions.add("v2")
        await _refusal(journal, "first")
        assert (await first).version == "v1"
        assert entries.n_checks == 2

    asyncio.run(main())


# Guards against proofs from records that a router had before it was cut off.
def test_a_router_without_current_entries_proves_no_sole_version():
    async def main() -> None:
        entries = _Entries(age_s=2.0, continuous_s=2 * MEMORY_S)
        journal = _journal(_Registry("v1"), _Log(), entries=entries)
        entries.is_down = True
        refusal = await _refusal(journal, "first")
        assert 0 < refusal.retry_after_s < math.inf
        # The caller may come back once the store answers.
        entries.is_down = False
        await asyncio.sleep(READ_RETRY_S)
        request = await journal.pin(_request("again", resumes="first"))
        assert request.version == "v1"

    asyncio.run(main())


# Guards against a stream that another router began at a version which was listed some
# milliseconds ago, and that is taken for one of the version that this router knows.
@pytest.mark.parametrize("age_s", [0.0, 0.5])
def test_entries_that_are_checked_for_a_take_up_show_a_second_version(age_s):
    async def main() -> None:
        registry = _Registry("v1")
        entries = _Entries(age_s, continuous_s=2 * MEMORY_S)
        entries.on_check = lambda: registry.versions.add("v2")
        journal = _journal(registry, _Log(), entries=entries)
        assert (await _refusal(journal, "first")).retry_after_s is None

    asyncio.run(main())


def test_a_router_that_missed_entries_goes_on_only_if_one_version_is_proved():
    # What was listed and removed while a router was cut off is not known to it.
    async def pin(oldest_s: float, streams: list[BegunStream]) -> object:
        log = _Log()
        entries = _Entries(continuous_s=1.0)
        born_ms = STARTED_MS - round(1000 * oldest_s)
        registry = _Registry("v1", oldest_born_ms=born_ms)
        journal = _journal(registry, log, entries=entries)
        journal._started_at -= 2 * MEMORY_S
        journal._started_ms -= round(2000 * MEMORY_S)
        journal._log_read_at = entries.continuous_since - 1.0
        log.unread = streams
        try:
            return (await journal.pin(_request("again", resumes="first"))).version
        except Refusal as exc:
            return exc.retry_after_s

    async def main() -> None:
        assert await pin(MEMORY_S + 2.0, []) == "v1"
        assert await pin(MEMORY_S + 2.0, [_stream("x", "v2")]) is None
        assert await pin(MEMORY_S - 2.0, []) is None

    asyncio.run(main())


def test_take_ups_that_one_version_serves_share_few_checks_and_no_read_of_the_log():
    async def main() -> None:
        log = _Log()
        entries = _Entries(age_s=1.0, continuous_s=2 * MEMORY_S)
        journal = _journal(_Registry("v1"), log, entries=entries)
        pins = (journal.pin(_request(f"a{n}", resumes=f"b{n}")) for n in range(400))
        assert {req.version for req in await asyncio.gather(*pins)} == {"v1"}
        assert (entries.n_checks, log.n_reads) == (1, 0)

    asyncio.run(main())


def test_a_silent_log_does_not_hold_take_ups():
    async def main() -> float:
        log = _Log()
        journal = _journal(_Registry("v1", "v2"), log)
        log.read = lambda: asyncio.sleep(60)
        clock = asyncio.get_running_loop().time
        started = clock()
        await asyncio.gather(*(_refusal(journal, f"a{n}") for n in range(50)))
        return clock() - started

    assert asyncio.run(main()) < 1.0


def test_a_stream_that_another_router_remembers_needs_no_store():
    async def main() -> None:
        log, entries = _Log(), _Entries()
        log.is_down = entries.is_down = True
        journal = _journal(_Registry("v1", "v2"), log, entries=entries)
        journal._witnesses.known = [_stream("first", "v2")]
        request = await journal.pin(_request("again", resumes="first"))
        assert (request.version, request.service) == ("v2", SERVICE)
        assert (log.n_reads, entries.n_checks) == (0, 0)

    asyncio.run(main())


def test_an_unknown_stream_may_come_back_while_a_router_has_not_answered():
    async def main() -> None:
        journal = _journal(_Registry("v1", "v2"), _Log())
        journal._witnesses.has_all_answers = False
        assert 0 < (await _refusal(journal, "first")).retry_after_s < 1
        journal._witnesses.has_all_answers = True
        assert (await _refusal(journal, "first")).retry_after_s is None

    asyncio.run(main())


# Guards against a proof by records that lack a version which others know.
def test_a_version_that_only_other_routers_know_leaves_no_sole_one():
    async def main() -> None:
        registry = _Registry("v1")
        entries = _Entries(continuous_s=2 * MEMORY_S)
        journal = _journal(registry, _Log(), entries=entries)
        _record(journal._origins, _stream("other", "v2"))
        await _refusal(journal, "first")
        await _refusal(journal, "other")
        entries.on_check = lambda: registry.versions.add("v2")
        request = await journal.pin(_request("again", resumes="other"))
        assert request.version == "v2"

    asyncio.run(main())


# -- the log in the store


class _PlainStore:
    """Answers reads with scripted pages and errors."""

    def __init__(self, *answers: object) -> None:
        self._answers = list(answers)
        self.starts: list[int] = []

    async def read_plain(self, topic: str, start: int) -> PlainPage:
        self.starts.append(start)
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def _encoded(*attempts: str) -> bytes:
    encoder = StreamLog(SimpleNamespace(), EventLog())._encoder
    return encoder.encode([_stream(attempt) for attempt in attempts])


def _read(*answers: object) -> tuple[list[str], list[int]]:
    store = _PlainStore(*answers)

    async def main() -> list[str]:
        return [stream.id for stream in await StreamLog(store, EventLog()).read()]

    return asyncio.run(main()), store.starts


def test_the_log_is_read_page_by_page_from_its_first_retained_encoded():
    ids, starts = _read(
        StreamTrimmed("log-read", era=1, first=7),
        PlainPage([_encoded("a", "b")], 8, 1, has_more=True),
        PlainPage([_encoded("c")], 9, 1, has_more=False),
    )
    assert (ids, starts) == (["a", "b", "c"], [0, 7, 8])


def test_a_log_that_came_back_from_a_copy_is_read_anew():
    ids, starts = _read(
        PlainPage([_encoded("a")], 1, 1, has_more=True),
        PlainPage([_encoded("lost")], 2, 2, has_more=False),
        PlainPage([_encoded("a"), _encoded("b")], 2, 2, has_more=False),
    )
    assert (ids, starts) == (["a", "a", "b"], [0, 1, 0])


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x93\x01\x02\x03", b"\x91\x90"])
def test_a_malformed_record_of_the_log_is_skipped(data):
    ids, _ = _read(PlainPage([data, _encoded("a")], 2, 1, has_more=False))
    assert ids == ["a"]


def test_pages_before_one_that_failed_are_not_lost():
    store = _PlainStore(
        PlainPage([_encoded("a")], 1, 1, has_more=True),
        StoreUnavailable("log-read: silent"),
        PlainPage([_encoded("b")], 2, 1, has_more=False),
    )

    async def main() -> list[str]:
        stream_log = StreamLog(store, EventLog())
        with pytest.raises(StoreUnavailable):
            await stream_log.read()
        return [stream.id for stream in await stream_log.read()]

    assert asyncio.run(main()) == ["a", "b"]


def test_a_log_without_an_end_of_trimmed_offsets_is_an_error():
    trimmed = StreamTrimmed("log-read", era=1, first=None)
    with pytest.raises(StoreUnavailable):
        _read(trimmed, trimmed, trimmed)
