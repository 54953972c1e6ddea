"""Upstreams that may get work while the registry and the store change."""

import asyncio

import msgspec
import pytest

from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.platform.registry import decode_upstream
from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.traffic.stream import (
    StoreUnavailable,
    Stream,
    StreamPage,
    StreamRecord,
    StreamTrimmed,
)
from chicorylead.upstream.intakes import Intakes
from chicorylead.upstream.registry import LAPSE_GRACE_S, Registry
from tests.gateway.fakes import make_follower

SERVICE = ServiceName("app")


def _value(**fields: object) -> bytes:
    entry = {
        "service": "app",
        "address": "127.0.0.1:1",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "seq": 1,
        "born": 1000,
        **fields,
    }
    return msgspec.json.encode(entry)


def _registry(outage_ended_at: float = float("-inf")) -> Registry:
    intakes = Intakes(asyncio.get_running_loop().time)
    return Registry(
        decode_upstream,
        decode_answer,
        intakes,
        lambda: outage_ended_at,
        EventLog(),
        Metrics(),
    )


def _ready(registry: Registry) -> list[str]:
    return sorted(upstream.id for upstream in registry.ready(SERVICE))


def _run_in_loop(check) -> None:
    async def main() -> None:
        check()

    asyncio.run(main())


def test_draining_and_removed_upstreams_get_no_work():
    def check() -> None:
        registry = _registry()
        registry.apply_record(StreamRecord("u1", _value(), 0))
        registry.apply_record(StreamRecord("u2", _value(), 1))
        registry.apply_record(StreamRecord("u3", _value(), 2))
        assert _ready(registry) == ["u1", "u2", "u3"]
        registry.apply_record(StreamRecord("u1", _value(state="draining", seq=2), 3))
        registry.apply_record(StreamRecord("u2", None, 4))
        assert _ready(registry) == ["u3"]

    _run_in_loop(check)


def test_a_malformed_entry_removes_its_own_upstream_only():
    def check() -> None:
        registry = _registry()
        registry.apply_record(StreamRecord("u1", _value(), 0))
        registry.apply_record(StreamRecord("u2", _value(), 1))
        for bad in (b"\xff", _value(state="odd"), _value(slots="8"), b"[]"):
            registry.apply_record(StreamRecord("u2", bad, 2))
            assert _ready(registry) == ["u1"]

    _run_in_loop(check)


def test_an_entry_of_an_earlier_incarnation_or_beat_is_ignored():
    def check() -> None:
        registry = _registry()
        registry.apply_record(StreamRecord("u1", _value(born=2000, seq=5), 0))
        draining = _value(born=2000, seq=4, state="draining")
        registry.apply_record(StreamRecord("u1", draining, 1))
        registry.apply_record(
            StreamRecord("u1", _value(born=1000, state="draining"), 2)
        )
        assert _ready(registry) == ["u1"]

    _run_in_loop(check)


def test_a_restart_under_the_same_id_discards_the_upstreams_state():
    def check() -> None:
        registry = _registry()
        registry.apply_record(StreamRecord("u1", _value(), 0))
        before = registry.get(UpstreamId("u1"))
        registry.apply_record(StreamRecord("u1", _value(born=2000, seq=1), 1))
        assert registry.get(UpstreamId("u1")) is not before

    _run_in_loop(check)


def test_entries_that_lapsed_in_an_outage_are_kept_until_they_return_or_expire():
    async def main() -> None:
        now = asyncio.get_running_loop().time()
        registry = _registry(outage_ended_at=now)
        registry.apply_record(StreamRecord("u1", _value(), 0))
        registry.apply_record(StreamRecord("u2", _value(), 1))
        registry.apply_snapshot([])
        assert _ready(registry) == ["u1", "u2"]
        registry.apply_record(StreamRecord("u1", _value(seq=2), 2))
        await asyncio.sleep(LAPSE_GRACE_S + 0.1)
        assert _ready(registry) == ["u1"]

    asyncio.run(main())


class _ScriptedStore:
    """A store with scripted answers that records the requested waits."""

    def __init__(self, answers: list[object]) -> None:
        self._answers = answers
        self.waits: list[float] = []
        self.n_newest = 0

    async def newest(self, stream: Stream) -> StreamPage:
        self.n_newest += 1
        return StreamPage([StreamRecord("k", b"1", 0)], 1)

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        self.waits.append(wait_s)
        if not self._answers:
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


async def _follow(answers: list[object]) -> tuple[_ScriptedStore, list[StreamRecord]]:

    store = _ScriptedStore(answers)
    seen: list[StreamRecord] = []
    follower = make_follower(
        store,
        Stream.UPSTREAMS,
        on_record=seen.append,
        revision=lambda record: None,
    )
    task = asyncio.ensure_future(follower.run())
    await asyncio.sleep(0.6)
    task.cancel()
    return store, seen


def test_the_first_read_after_a_store_failure_does_not_wait():
    """A read that waits would record the store's return seconds too late."""

    async def main() -> None:
        store, _ = await _follow([StoreUnavailable("down"), StreamPage([], 1)])
        assert store.waits[0] > 0.0
        assert store.waits[1] == 0.0
        assert store.waits[2] > 0.0

    asyncio.run(main())


def test_a_trimmed_stream_is_read_again_without_repeating_records():
    async def main() -> None:
        page = StreamPage([StreamRecord("k", b"1", 0), StreamRecord("m", b"2", 1)], 2)
        store, seen = await _follow([page, StreamTrimmed("gone")])
        assert store.n_newest == 2
        assert [record.key for record in seen] == ["k", "m"]

    asyncio.run(main())


@pytest.mark.parametrize("version", [None, 3, ["v1"]])
def test_an_entry_without_a_software_version_names_no_upstream(version):
    def check() -> None:
        registry = _registry()
        registry.apply_record(StreamRecord("u0", _value(version=version), 0))
        assert _ready(registry) == []

    _run_in_loop(check)
