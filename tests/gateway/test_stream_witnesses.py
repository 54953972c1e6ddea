"""Where streams began, told and asked between routers that come and go."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Collection
from itertools import combinations
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.gateway.stream_witnesses import (
    ANSWER_TIMEOUT_S,
    ASK_ALL_INTERVAL_S,
    MAX_RING_AGE_S,
    StreamMessage,
    StreamWitnesses,
)
from chicorylead.ids import OriginMark, StreamKey, ZoneName
from chicorylead.metrics import Metrics
from chicorylead.outcome.stream_origins import (
    MEMORY_S,
    StreamOrigins,
    origin_mark,
    stream_key,
)
from chicorylead.peer.datagram import BegunStreams, StreamAnswer, StreamQuestion
from chicorylead.peer.membership import Peer
from chicorylead.vm.heard_routers import HeardRouters
from chicorylead.vm.witnesses import N_WITNESSES, Witness, WitnessRing
from tests.gateway.fakes import presence_of

N_ROUTERS_TARGET = 520
N_ZONES_TARGET = 17
STREAMS_PER_S = 19_000 / N_ROUTERS_TARGET
CONTROL_BYTES_PER_S = 2_000
MARK = origin_mark("engines", "v1")
ENCODER = msgspec.msgpack.Encoder()


def _key(number: int) -> StreamKey:
    return stream_key("north", f"a{number}")


# -- the choice of witnesses


def _routers(n: int, n_zones: int) -> list[Witness]:
    return [Witness(f"10.0.0.{i}", 1, ZoneName(f"z{i % n_zones}")) for i in range(n)]


@given(st.integers(0, 12), st.integers(1, 4), st.integers(0, 10**6))
def test_witnesses_are_two_routers_of_two_zones_as_far_as_there_are(n, n_zones, number):
    routers = _routers(n, n_zones)
    chosen = WitnessRing(routers).choose(_key(number))
    assert len(set(chosen)) == len(chosen) == min(n, N_WITNESSES)
    n_chosen_zones = len({router.zone for router in chosen})
    assert n_chosen_zones == min(len({r.zone for r in routers}), N_WITNESSES)


@given(st.integers(0, 10**6), st.integers(0, 29), st.integers(0, 29))
def test_routers_with_different_views_have_a_witness_in_common(number, left, right):
    """Each lacks one of the routers that the other knows."""
    routers = _routers(30, 3)
    views = [[r for r in routers if r is not routers[i]] for i in (left, right)]
    first, second = (set(WitnessRing(view).choose(_key(number))) for view in views)
    lacking = {routers[left], routers[right]}
    assert first & second or lacking & (first | second)


def test_keys_are_spread_over_the_routers():
    ring = WitnessRing(_routers(52, 4))
    counts: dict[Witness, int] = {}
    for number in range(5200):
        for router in ring.choose(_key(number)):
            counts[router] = counts.get(router, 0) + 1
    assert len(counts) == 52
    assert max(counts.values()) <= 3 * 2 * 5200 / 52


# -- a fleet


class _Router:
    def __init__(self, fleet: "_Fleet", host: str, zone: str) -> None:
        self.host = host
        self.presence = presence_of(host, zone)
        self.origins = StreamOrigins(fleet.clock)
        self.witnesses = StreamWitnesses(
            self.origins,
            lambda: fleet.peers_of(host),
            lambda: HeardRouters(len(fleet.peers_of(host)), len(fleet.known - {host})),
            lambda hosts, message: fleet.send(host, hosts, message),
            fleet.clock,
            Metrics(),
        )

    def begin(self, number: int, mark: OriginMark = MARK) -> None:
        """Begin a stream."""
        self.origins.record(_key(number), mark, "own")
        self.witnesses.tell(_key(number), mark)

    def knows(self, number: int) -> bool:
        return self.origins.find(_key(number)) is not None

    async def finds(self, number: int) -> bool:
        if not self.knows(number):
            await self.witnesses.ask(_key(number))
        return self.knows(number)


class _Fleet:
    """Routers that exchange messages with a short delay.

    Attributes:
        known: IP addresses of all routers that ever ran.
        down: Those of the lost ones.
        unnoticed: Those of the lost ones that all still regard as live.
        loss: Fraction of the messages that are lost.
        hidden: Pairs of IP addresses of which the first does not know the second.
        n_sent: Messages by type.
        n_bytes: Bytes sent by each router.
    """

    def __init__(self, n: int, n_zones: int = 3) -> None:
        self.clock = asyncio.get_running_loop().time
        self.rng = Random(n)
        self.routers: dict[str, _Router] = {}
        self.known: set[str] = set()
        self.down: set[str] = set()
        self.unnoticed: set[str] = set()
        self.loss = 0.0
        self.hidden: set[tuple[str, str]] = set()
        self.n_sent: dict[type, int] = {}
        self.n_bytes: dict[str, int] = {}
        for i in range(n):
            self.start(f"10.0.0.{i}", f"z{i % n_zones}")

    def start(self, host: str, zone: str, incarnation: int = 1) -> None:
        """Start a router, or start it again without its memory."""
        router = _Router(self, host, zone)
        router.presence = msgspec.structs.replace(
            router.presence, incarnation=incarnation
        )
        self.routers[host] = router
        self.known.add(host)
        self.down.discard(host)
        self.n_bytes[host] = 0

    def peers_of(self, host: str) -> list[Peer]:
        gone = self.down - self.unnoticed
        return [
            Peer(router.presence, 0.0)
            for other, router in self.routers.items()
            if other != host and other not in gone and (host, other) not in self.hidden
        ]

    def send(self, source: str, hosts: Collection[str], message: StreamMessage) -> None:
        for host in hosts:
            self.n_sent[type(message)] = self.n_sent.get(type(message), 0) + 1
            self.n_bytes[source] += len(ENCODER.encode(message))
            is_lost = self.rng.random() < self.loss
            if source not in self.down and not is_lost:
                deliver = self.routers[host].witnesses.handle
                loop = asyncio.get_running_loop()
                loop.call_later(0.001, self._deliver, host, deliver, message, source)

    def _deliver(self, host: str, deliver, message, source: str) -> None:
        if host not in self.down:
            deliver(message, source)

    async def count_found(self, n: int) -> int:
        """Return how many streams a router that runs finds, each at another one."""
        up = [r for host, r in self.routers.items() if host not in self.down]
        finds = [self.rng.choice(up).finds(number) for number in range(n)]
        return sum(await asyncio.gather(*finds))


def _run(check: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(check())


async def _pass_on() -> None:
    await asyncio.sleep(0.005)


# Guards against streams that only their router knows, when it is lost at once.
@pytest.mark.parametrize("n_routers", [2, 3, 5, 30])
@pytest.mark.parametrize("is_noticed", [True, False])
def test_any_router_finds_the_streams_of_a_router_that_is_lost(n_routers, is_noticed):
    async def check() -> None:
        fleet = _Fleet(n_routers)
        for number in range(40):
            fleet.routers["10.0.0.1"].begin(number)
        await _pass_on()
        fleet.down.add("10.0.0.1")
        if not is_noticed:
            fleet.unnoticed.add("10.0.0.1")
        assert await fleet.count_found(40) == 40

    _run(check)


def test_streams_survive_the_loss_of_a_whole_zone():
    async def check() -> None:
        fleet = _Fleet(30, n_zones=3)
        for number in range(90):
            fleet.routers[f"10.0.0.{number % 30}"].begin(number)
        await _pass_on()
        fleet.down |= {f"10.0.0.{i}" for i in range(0, 30, 3)}
        fleet.unnoticed |= fleet.down
        assert await fleet.count_found(90) == 90

    _run(check)


def test_streams_of_two_lost_routers_of_four_survive_with_one_witness():
    async def check() -> None:
        for lost in combinations(range(4), 2):
            fleet = _Fleet(4)
            for number in range(40):
                fleet.routers[f"10.0.0.{lost[0]}"].begin(number)
            await _pass_on()
            fleet.down |= {f"10.0.0.{i}" for i in lost}
            assert await fleet.count_found(40) == 40

    _run(check)


# The order of events that two witnesses miss: refusals, and no guess.
def test_streams_whose_router_and_witnesses_are_lost_together_are_not_found():
    async def check() -> None:
        fleet = _Fleet(4)
        for number in range(60):
            fleet.routers["10.0.0.0"].begin(number)
        await _pass_on()
        fleet.down |= {"10.0.0.0", "10.0.0.1", "10.0.0.2"}
        last = fleet.routers["10.0.0.3"]
        known = {number for number in range(60) if last.knows(number)}
        assert 30 <= len(known) < 60
        assert await fleet.count_found(60) == len(known)

    _run(check)


def test_a_stream_of_which_all_messages_are_lost_is_not_found_without_its_router():
    async def check() -> None:
        fleet = _Fleet(3)
        fleet.loss = 1.0
        fleet.routers["10.0.0.0"].begin(0)
        await _pass_on()
        fleet.loss = 0.0
        assert await fleet.count_found(1) == 1
        fleet.start("10.0.0.1", "z1", incarnation=2)
        fleet.start("10.0.0.2", "z2", incarnation=2)
        fleet.down.add("10.0.0.0")
        assert await fleet.count_found(1) == 0

    _run(check)


def test_streams_are_found_over_paths_that_lose_messages():
    async def check() -> None:
        fleet = _Fleet(30)
        fleet.loss = 0.1
        for number in range(200):
            fleet.routers["10.0.0.0"].begin(number)
        await _pass_on()
        fleet.down.add("10.0.0.0")
        assert await fleet.count_found(200) >= 0.97 * 200

    _run(check)


def test_a_witness_that_was_restarted_is_told_of_the_streams_under_way():
    async def check() -> None:
        fleet = _Fleet(2)
        first = fleet.routers["10.0.0.0"]
        streams = {_key(number): MARK for number in range(20)}
        first.witnesses.tell_new_witnesses({})
        for number in range(20):
            first.begin(number)
        await _pass_on()
        fleet.start("10.0.0.1", "z1", incarnation=2)
        await asyncio.sleep(MAX_RING_AGE_S)
        first.witnesses.tell_new_witnesses(streams)
        await _pass_on()
        fleet.down.add("10.0.0.0")
        assert await fleet.count_found(20) == 20

    _run(check)


# Guards against a change of the witnesses that only a telling notices.
def test_a_stream_that_begins_as_the_witnesses_change_does_not_hide_the_change():
    async def check() -> None:
        fleet = _Fleet(2)
        first = fleet.routers["10.0.0.0"]
        first.begin(0)
        first.witnesses.tell_new_witnesses({_key(0): MARK})
        fleet.start("10.0.0.1", "z1", incarnation=2)
        await asyncio.sleep(MAX_RING_AGE_S)
        first.begin(1)
        first.witnesses.tell_new_witnesses({_key(0): MARK, _key(1): MARK})
        await _pass_on()
        assert all(fleet.routers["10.0.0.1"].knows(number) for number in (0, 1))

    _run(check)


def test_streams_survive_a_restart_of_all_routers_in_turn():
    async def check() -> None:
        fleet = _Fleet(4)
        for number in range(40):
            fleet.routers["10.0.0.0"].begin(number)
        await _pass_on()
        for i in range(4):
            host = f"10.0.0.{i}"
            router = fleet.routers[host]
            router.presence = msgspec.structs.replace(router.presence, is_ready=False)
            await asyncio.sleep(MAX_RING_AGE_S)
            router.witnesses.hand_over()
            await _pass_on()
            fleet.start(host, f"z{i % 3}", incarnation=2)
        assert await fleet.count_found(40) == 40

    _run(check)


def test_all_are_asked_if_the_router_that_began_a_stream_knew_others():
    async def check() -> None:
        fleet = _Fleet(30)
        # It started a moment ago, and has heard of a single router.
        hosts = [f"10.0.0.{i}" for i in range(30)]
        fleet.hidden = {("10.0.0.0", host) for host in hosts[2:]}
        for number in range(40):
            fleet.routers["10.0.0.0"].begin(number)
        await _pass_on()
        fleet.down.add("10.0.0.0")
        assert await fleet.count_found(40) == 40

    _run(check)


def test_a_telling_that_comes_while_the_question_is_asked_is_used():
    async def check() -> None:
        fleet = _Fleet(2)
        fleet.down.add("10.0.0.1")
        fleet.unnoticed.add("10.0.0.1")
        second = fleet.routers["10.0.0.0"]
        asking = asyncio.ensure_future(second.finds(1))
        await asyncio.sleep(ANSWER_TIMEOUT_S / 4)
        second.witnesses.handle(BegunStreams([_key(1) + MARK]), "10.0.0.1")
        started = fleet.clock()
        assert await asking
        assert fleet.clock() - started < ANSWER_TIMEOUT_S / 2

    _run(check)


# Guards against answers that have come and are not read before the time is over.
def test_pauses_of_the_router_that_asks_do_not_end_its_questions():
    async def check() -> None:
        fleet = _Fleet(30)
        # Its streams are found by asking all, as it knew a single router.
        hosts = [f"10.0.0.{i}" for i in range(2, 30)]
        fleet.hidden = {("10.0.0.0", host) for host in hosts}
        for number in range(10):
            fleet.routers["10.0.0.0"].begin(number)
        await _pass_on()
        fleet.down.add("10.0.0.0")
        asking = asyncio.ensure_future(fleet.count_found(10))
        while not asking.done():
            await asyncio.sleep(0.0005)
            time.sleep(1.2 * ANSWER_TIMEOUT_S)
        assert await asking == 10

    _run(check)


def test_several_take_ups_of_one_stream_share_a_question():
    async def check() -> None:
        fleet = _Fleet(3)
        fleet.routers["10.0.0.0"].begin(1)
        await _pass_on()
        fleet.start("10.0.0.2", "z2", incarnation=2)
        third = fleet.routers["10.0.0.2"]
        assert all(await asyncio.gather(*(third.finds(1) for _ in range(20))))
        assert fleet.n_sent[StreamQuestion] == 2

    _run(check)


# -- answers


@pytest.mark.parametrize(
    ("is_lost", "is_alone", "has_all"),
    [(False, False, True), (True, False, False), (False, True, False)],
)
def test_a_router_tells_whether_all_that_may_know_a_stream_have_answered(
    is_lost, is_alone, has_all
):
    async def check() -> None:
        fleet = _Fleet(3)
        if is_lost:
            fleet.down.add("10.0.0.1")
            fleet.unnoticed.add("10.0.0.1")
        if is_alone:
            fleet.hidden = {("10.0.0.0", "10.0.0.1"), ("10.0.0.0", "10.0.0.2")}
        first = fleet.routers["10.0.0.0"]
        assert await first.witnesses.ask(_key(1)) is has_all

    _run(check)


def test_a_single_router_has_nobody_to_ask():
    async def check() -> None:
        fleet = _Fleet(1)
        router = fleet.routers["10.0.0.0"]
        router.begin(1)
        router.witnesses.hand_over()
        assert await router.witnesses.ask(_key(2))
        assert fleet.n_sent == {}

    _run(check)


def test_a_silent_router_holds_no_take_up_for_long():
    async def check() -> None:
        fleet = _Fleet(20)
        fleet.down |= {f"10.0.0.{i}" for i in range(1, 20)}
        fleet.unnoticed |= fleet.down
        started = fleet.clock()
        await asyncio.gather(
            *(fleet.routers["10.0.0.0"].finds(number) for number in range(50))
        )
        limit_s = 2 * ANSWER_TIMEOUT_S + ASK_ALL_INTERVAL_S
        assert fleet.clock() - started < limit_s + 0.2

    _run(check)


def test_a_stream_that_began_at_two_versions_is_unknown_to_all():
    async def check() -> None:
        fleet = _Fleet(3)
        for version in ("v1", "v2"):
            fleet.routers["10.0.0.0"].begin(1, origin_mark("engines", version))
        await _pass_on()
        assert not await fleet.routers["10.0.0.2"].finds(1)

    _run(check)


@pytest.mark.parametrize(
    "message",
    [
        BegunStreams([b"", b"short", b"much too long for a key and a mark"]),
        StreamAnswer([b"short"], [b"", _key(1) + b"more"]),
        StreamQuestion([b"", b"x" * 99]),
    ],
)
def test_messages_of_another_form_change_nothing(message):
    async def check() -> None:
        fleet = _Fleet(2)
        router = fleet.routers["10.0.0.0"]
        router.witnesses.handle(message, "10.0.0.1")
        await _pass_on()
        assert len(router.origins) == 0

    _run(check)


# -- cost


def test_made_up_ids_cost_other_routers_few_questions():
    """Each may be asked of all routers, at any rate at which callers send."""

    async def check() -> None:
        fleet = _Fleet(40)
        first = fleet.routers["10.0.0.0"]
        started = fleet.clock()
        for batch in range(4):
            numbers = range(1000 * batch, 1000 * batch + 200)
            await asyncio.gather(*(first.finds(number) for number in numbers))
        took_s = fleet.clock() - started
        n_rounds = 1 + took_s / ASK_ALL_INTERVAL_S
        n_to_all = 3 * 39 * n_rounds  # 200 keys are three datagrams
        assert fleet.n_sent[StreamQuestion] <= 4 * 800 + n_to_all

    _run(check)


def test_what_a_router_tells_at_the_target_stays_within_the_bytes_for_control():
    async def check() -> None:
        fleet = _Fleet(N_ROUTERS_TARGET, N_ZONES_TARGET)
        router = fleet.routers["10.0.0.0"]
        for number in range(1000):
            router.begin(number)
        per_stream = fleet.n_bytes["10.0.0.0"] / 1000
        assert per_stream * STREAMS_PER_S <= CONTROL_BYTES_PER_S

    _run(check)


def test_a_router_that_leaves_a_large_fleet_moves_few_streams():
    async def check() -> None:
        fleet = _Fleet(N_ROUTERS_TARGET, N_ZONES_TARGET)
        router = fleet.routers["10.0.0.0"]
        streams = {_key(number): MARK for number in range(1000)}
        router.witnesses.tell_new_witnesses(streams)
        fleet.n_bytes["10.0.0.0"] = 0
        fleet.down.add("10.0.0.7")
        await asyncio.sleep(MAX_RING_AGE_S)
        router.witnesses.tell_new_witnesses(streams)
        n_told = fleet.n_bytes["10.0.0.0"] / len(ENCODER.encode(_key(1) + MARK))
        assert 0 < n_told < 1000 * 5 * N_WITNESSES / N_ROUTERS_TARGET

    _run(check)


def test_what_is_remembered_ends_with_the_time_in_which_streams_are_taken_up():
    async def check() -> None:
        fleet = _Fleet(2)
        now = fleet.clock()
        fleet.routers["10.0.0.0"].begin(1)
        await _pass_on()
        second = fleet.routers["10.0.0.1"]
        assert second.knows(1)
        second.origins._clock = lambda: now + MEMORY_S + 1.0
        assert not second.knows(1)
        second.witnesses.hand_over()
        assert fleet.n_sent[BegunStreams] == 1

    _run(check)
