"""Streams while upstreams of several software versions serve side by side."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from tests.gateway.fakes import (
    INCARNATION,
    FakeUpstream,
    ReceivedRequest,
    call,
    encode_request,
    registry_entry,
)
from tests.gateway.test_gateway import STREAM_HEAD, GatewayHarness, _run_check, _serve
from tests.gateway.test_peers import GatewayPair, _wait_until

Writer = asyncio.StreamWriter
Script = Callable[[ReceivedRequest, Writer], Awaitable[None]]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _event(number: int, version: str) -> bytes:
    return _chunk(f"id: {number}\ndata: {version}\n\n".encode())


def _stream(version: str, n_events: int = 4, break_after: int | None = None) -> Script:
    """Return a script that streams events, from the one after the last event id."""

    async def script(got: ReceivedRequest, writer: Writer) -> None:
        first = int(got.headers.get("last-event-id", "0")) + 1
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(STREAM_HEAD.format(id=request_id).encode())
        for number in range(first, n_events + 1):
            writer.write(_event(number, version))
            await writer.drain()
            if number == break_after:
                await asyncio.sleep(0.05)  # the events before a reset have arrived
                writer.transport.abort()
                return
        writer.write(b"0\r\n\r\n")

    return script


def _list(harness: GatewayHarness, name: str, upstream: FakeUpstream, **entry) -> None:
    harness.store.put("keyed.servers", name, registry_entry(upstream, **entry))


async def _use_versions(harness: GatewayHarness, *versions: str) -> None:
    """List the upstreams with their versions, each as a new incarnation."""
    for n, (upstream, version) in enumerate(
        zip(harness.upstreams, versions, strict=True)
    ):
        _list(harness, f"u{n}", upstream, version=version, born=2000)
    async with asyncio.timeout(2.0):
        while True:
            live = {u.id: u.entry for u in harness.gateway._registry.all()}
            if [live[f"u{n}"].version for n in range(len(versions))] == list(versions):
                return
            await asyncio.sleep(0.02)


def test_the_line_of_a_send_tells_the_version_and_what_it_takes_up(log_capture):
    async def check(harness: GatewayHarness) -> None:
        log_capture.open()
        await harness.call(
            "/revise/a",
            chicorylead_attempt_id="second",
            resumes="first",
            last_event_id="2",
        )
        await asyncio.sleep(0.05)

    _run_check([_stream("v1")], check)
    (line,) = log_capture.lines("request_sent")
    assert line["version"] == "v1"
    assert (line["resumes"], line["after_event"]) == ("first", "2")


class _BreaksOnce:
    """Makes scripts of which the first one that runs breaks its stream off."""

    def __init__(self) -> None:
        self.first: str | None = None

    def script(self, version: str) -> Script:
        async def script(got: ReceivedRequest, writer: Writer) -> None:
            is_first = self.first is None
            self.first = self.first or version
            await _stream(version, break_after=2 if is_first else None)(got, writer)

        return script


def _versions_of(body: bytes) -> list[str]:
    lines = body.decode().splitlines()
    return [line.removeprefix("data: ") for line in lines if line.startswith("data")]


def test_a_broken_stream_goes_on_at_its_version_within_its_answer():
    versions = ["v1", "v2", "v1", "v2"]
    breaks = _BreaksOnce()

    async def check(harness: GatewayHarness) -> None:
        await _use_versions(harness, *versions)
        status, _, body, is_whole = await harness.call("/revise/a")
        assert (status, is_whole) == (200, True)
        assert _versions_of(body) == [breaks.first] * 4

    _run_check([breaks.script(version) for version in versions], check)


def test_a_broken_stream_is_cut_if_no_upstream_of_its_version_is_left():
    breaks = _BreaksOnce()

    async def check(harness: GatewayHarness) -> None:
        def crash_after_breaking(upstream: FakeUpstream, version: str) -> Script:
            async def script(got: ReceivedRequest, writer: Writer) -> None:
                await upstream.stop()
                await breaks.script(version)(got, writer)

            return script

        for upstream, version in zip(harness.upstreams, ("v1", "v2"), strict=True):
            upstream.script = crash_after_breaking(upstream, version)
        await _use_versions(harness, "v1", "v2")
        status, _, body, is_whole = await harness.call("/revise/a")
        assert (status, is_whole) == (200, False)
        assert set(_versions_of(body)) == {breaks.first}
        assert harness.n_received == 1

    _run_check([_serve, _serve], check)


class _VersionedPair(GatewayPair):
    """Two routers with two upstreams of each of two versions."""

    async def __aenter__(self) -> "_VersionedPair":
        await super().__aenter__()
        self.breaks = _BreaksOnce()
        self.upstreams: dict[str, FakeUpstream] = {}
        self.other_store.plain_logs = self.store.plain_logs
        for number, version in enumerate(("v1", "v2", "v1", "v2")):
            upstream = FakeUpstream(self.breaks.script(version))
            await upstream.start()
            name = f"w{number}"
            self.upstreams[name] = upstream
            entry = registry_entry(upstream, version=version, service="app")
            self.store.put("keyed.servers", name, entry)
        self.store.put("keyed.servers", "u0", None)
        await self.wait_for_upstreams()
        return self

    async def wait_for_upstreams(self) -> None:
        async def are_listed() -> bool:
            return all(
                sorted(u.id for u in gateway._registry.all()) == sorted(self.upstreams)
                and gateway._configuration is not None
                for gateway in self.gateways
            )

        await _wait_until(are_listed)

    async def revise(self, number: int, attempt: str, **headers: str):
        host, port = self.cfgs[number].callers
        return await call(
            port,
            "/revise/a",
            host_ip=host,
            chicorylead_attempt_id=attempt,
            **headers,
        )

    async def take_up(self, number: int, attempt: str, resumes: str):
        return await self.revise(number, attempt, resumes=resumes, last_event_id="2")

    async def break_at(self, number: int, attempt: str) -> str:
        """Let a stream and its resumption break off; return its version."""
        original = {name: up.script for name, up in self.upstreams.items()}

        async def break_off(version, got, writer) -> None:
            if "last-event-id" in got.headers:
                writer.transport.abort()
            await _stream(version, break_after=2)(got, writer)

        for name, upstream in self.upstreams.items():
            version = "v1" if name in ("w0", "w2") else "v2"
            upstream.script = partial(break_off, version)
        _, _, body, is_whole = await self.revise(number, attempt)
        assert not is_whole
        for name, upstream in self.upstreams.items():
            upstream.script = original[name]
        self.breaks.first = "none"
        return _versions_of(body)[0]


def test_a_stream_that_is_taken_up_at_another_router_goes_on_at_its_version():
    async def main() -> None:
        async with _VersionedPair() as pair:
            for number in range(6):
                version = await pair.break_at(0, f"first-{number}")
                await asyncio.sleep(0.1)
                status, _, body, is_whole = await pair.take_up(
                    1, f"second-{number}", f"first-{number}"
                )
                assert (status, is_whole) == (200, True)
                assert _versions_of(body) == [version] * 2

    asyncio.run(main())


def test_streams_go_on_at_their_version_after_all_routers_were_restarted():
    """No router knows them any more; only the store does."""

    async def main() -> None:
        async with _VersionedPair() as pair:
            versions = {}
            for number in range(6):
                attempt = f"first-{number}"
                versions[attempt] = await pair.break_at(number % 2, attempt)
            await asyncio.sleep(1.0)
            await pair.restart_all()
            await pair.wait_for_upstreams()
            await asyncio.sleep(0.5)
            for attempt, version in versions.items():
                status, _, body, _ = await pair.take_up(0, f"{attempt}-again", attempt)
                assert (status, _versions_of(body)) == (200, [version] * 2)

    asyncio.run(main())


def test_a_stream_of_unknown_version_does_not_go_on_while_two_serve():
    async def main() -> None:
        async with _VersionedPair() as pair:
            pair.breaks.first = "none"
            status, _, _, _ = await pair.take_up(0, "second", "never-seen")
            assert status == 503
            assert all(not upstream.received for upstream in pair.upstreams.values())

    asyncio.run(main())


# Guards against a router that is cut off and takes the version that it knows for the
# only one, while others begin streams at a new one.
def test_a_router_that_the_store_does_not_answer_takes_up_no_unknown_stream():
    async def check(harness: GatewayHarness) -> None:
        async def take_up(attempt: str) -> tuple[int, dict[str, str]]:
            answer = await harness.call(
                "/revise/a",
                chicorylead_attempt_id=attempt,
                resumes=f"before-{attempt}",
                last_event_id="2",
            )
            return answer[:2]

        assert (await take_up("second"))[0] == 200
        harness.store.is_silent = True
        await asyncio.sleep(0.2)
        status, headers = await take_up("third")
        assert status == 503
        assert 0 < float(headers["retry-after"]) < 1
        harness.store.is_silent = False
        await asyncio.sleep(float(headers["retry-after"]))
        assert (await take_up("fourth"))[0] == 200

    _run_check([_stream("v1")], check)


class _YoungPair(_VersionedPair):
    """Two routers and two upstreams of one version that have all just started.

    No record proves that no other version served before.
    """

    async def __aenter__(self) -> "_YoungPair":
        await GatewayPair.__aenter__(self)
        self.upstreams = {}
        self.other_store.plain_logs = self.store.plain_logs
        self.store.put("keyed.servers", "u0", None)
        for number in range(2):
            await self.add(f"w{number}", "v1")
        await self.wait_for_upstreams()

        async def know_each_other() -> bool:
            return all(gateway._peers.live() for gateway in self.gateways)

        await _wait_until(know_each_other)
        return self

    async def add(self, name: str, version: str) -> None:
        upstream = FakeUpstream(self._pausing(version))
        await upstream.start()
        self.upstreams[name] = upstream
        born = INCARNATION // 1_000_000 - 500
        entry = registry_entry(upstream, version=version, service="app", born=born)
        self.store.put("keyed.servers", name, entry)

    def _pausing(self, version: str) -> Script:
        """Return a script that writes two events of a new stream, and then pauses."""

        async def script(got: ReceivedRequest, writer: Writer) -> None:
            if "last-event-id" in got.headers:
                await _stream(version)(got, writer)
                return
            request_id = got.headers["chicorylead-attempt-id"]
            writer.write(STREAM_HEAD.format(id=request_id).encode())
            writer.write(_event(1, version) + _event(2, version))
            await asyncio.sleep(30)

        return script

    async def begin(self, number: int, *attempts: str) -> list[Writer]:
        """Begin streams at a router; return once two events of each have come."""
        host, port = self.cfgs[number].callers
        writers = []
        for attempt in attempts:
            reader, writer = await asyncio.open_connection(host, port)
            request = encode_request("/revise/a", chicorylead_attempt_id=attempt)
            writer.write(request)
            await asyncio.wait_for(reader.readuntil(b"id: 2"), 2.0)
            writers.append(writer)
        return writers

    async def lose(self, number: int) -> None:
        """Stop a router at once."""
        await self.gateways[number].app.stop()

    async def count_gone_on(self, number: int, *attempts: str) -> int:
        """Take streams up; return how many go on at the version that began them."""
        n = 0
        for attempt in attempts:
            status, _, body, _ = await self.take_up(number, f"{attempt}-again", attempt)
            n += status == 200 and _versions_of(body) == ["v1"] * 2
        return n


STREAMS = tuple(f"s{number}" for number in range(4))


def _check_young_pair(
    check: Callable[[_YoungPair], Awaitable[None]],
) -> None:
    async def main() -> None:
        async with _YoungPair() as pair:
            await check(pair)

    asyncio.run(main())


# Guards against streams that nobody can take up, as no router is old enough to prove
# that a single version has served.
def test_streams_go_on_after_the_loss_of_their_router_soon_after_the_start():
    async def check(pair: _YoungPair) -> None:
        await pair.begin(0, *STREAMS)
        await pair.lose(0)
        assert await pair.count_gone_on(1, *STREAMS) == len(STREAMS)

    _check_young_pair(check)


# Guards against routers that tell each other of their streams only once they see a
# second version, which a router that is lost before never does.
def test_streams_of_a_lost_router_go_on_though_another_version_appears_since():
    async def check(pair: _YoungPair) -> None:
        await pair.begin(0, *STREAMS)
        await pair.lose(0)
        await pair.add("new", "v2")

        async def is_listed() -> bool:
            return pair.gateways[1]._registry.get("new") is not None

        await _wait_until(is_listed)
        assert await pair.count_gone_on(1, *STREAMS) == len(STREAMS)
        assert not pair.upstreams["new"].received

    _check_young_pair(check)


# Guards against a restarted router that is never told of the streams under way.
def test_streams_go_on_at_a_router_that_started_while_they_were_under_way():
    async def check(pair: _YoungPair) -> None:
        await pair.begin(0, *STREAMS)
        await pair.restart(1)
        await pair.wait_for_upstreams()
        await asyncio.sleep(0.5)
        await pair.lose(0)
        assert await pair.count_gone_on(1, *STREAMS) == len(STREAMS)

    _check_young_pair(check)


# Guards against a loss of what a router remembers of others when it is replaced.
def test_streams_go_on_after_both_routers_were_replaced_in_turn():
    async def check(pair: _YoungPair) -> None:
        await pair.begin(0, *STREAMS)
        for number in (0, 1):
            drain = asyncio.ensure_future(pair.gateways[number].drain())
            await asyncio.sleep(0.2)
            await pair.restart(number)
            drain.cancel()
            await pair.wait_for_upstreams()
            await asyncio.sleep(0.5)
        assert await pair.count_gone_on(0, *STREAMS) == len(STREAMS)

    _check_young_pair(check)


def test_streams_of_a_lost_router_go_on_while_the_store_is_down():
    async def check(pair: _YoungPair) -> None:
        await pair.begin(0, *STREAMS)
        pair.store.is_down = pair.other_store.is_down = True
        await asyncio.sleep(0.3)
        await pair.lose(0)
        assert await pair.count_gone_on(1, *STREAMS) == len(STREAMS)

    _check_young_pair(check)


# The order of events that nothing remembers: refused, and no guess.
def test_streams_do_not_go_on_if_all_routers_are_lost_before_a_version_appears():
    async def check(pair: _YoungPair) -> None:
        await pair.begin(0, *STREAMS)
        await asyncio.gather(pair.lose(0), pair.lose(1))
        await pair.add("new", "v2")
        await pair.restart_all()
        await pair.wait_for_upstreams()
        await asyncio.sleep(0.5)
        assert await pair.count_gone_on(1, *STREAMS) == 0
        assert all(
            "last-event-id" not in got.headers
            for upstream in pair.upstreams.values()
            for got in upstream.received
        )

    _check_young_pair(check)
