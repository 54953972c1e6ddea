"""Entries of other writers, which name no upstream, beside those of sound upstreams."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.ids import UpstreamId
from chicorylead.platform.registry import decode_upstream
from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.upstream.connection import Failure, FailureKind, open_connection
from tests.gateway.fakes import FakeUpstream, ReceivedRequest, call, registry_entry
from tests.gateway.test_gateway import GatewayHarness, Writer, _serve

N_REQUESTS = 20
N_ENTRIES = 12
REUSED_SLOTS = 10_000  # more than of all others, which attracts requests
ODD_HOSTS = (
    "",
    "127..0.1",
    ".",
    "a" * 64 + ".b",
    "ü" * 70,
    "x\0y",
    "0.0.0.0",
    "255.255.255.255",
    "224.0.0.1",
    "1.2.3",
    "127.0.0.1:80",
    "localhost",
    "::1",
)
ODD_PORTS = ("", "0", "65536", "-1", "8e1", "٨٠", "9" * 5000)
ODD_IDS = ("", "сървър", "a b", "a\r\nx-other: 1", "x" * 300)
SOUND = {
    "service": "app",
    "address": "127.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "seq": 1,
}


def _encode(**fields: object) -> bytes:
    return msgspec.json.encode(SOUND | fields)


@pytest.mark.parametrize("host", ODD_HOSTS)
def test_an_entry_with_an_odd_host_names_no_upstream(host):
    with pytest.raises(ValueError, match="address"):
        decode_upstream("u1", _encode(address=f"{host}:80"))


@pytest.mark.parametrize("port", ODD_PORTS)
def test_an_entry_with_an_odd_port_names_no_upstream(port):
    with pytest.raises(ValueError, match="address"):
        decode_upstream("u1", _encode(address=f"127.0.0.1:{port}"))


@pytest.mark.parametrize("key", ODD_IDS)
def test_an_entry_with_an_odd_id_names_no_upstream(key):
    """The id is sent in a header."""
    with pytest.raises(ValueError, match="id"):
        decode_upstream(key, _encode())


@pytest.mark.parametrize("field", ("service", "zone", "version"))
@pytest.mark.parametrize("name", ("", "a\nb", "x" * 300))
def test_an_entry_with_an_odd_name_names_no_upstream(field, name):
    with pytest.raises(ValueError, match=field) as info:
        decode_upstream("u1", _encode(**{field: name}))
    assert len(str(info.value)) < 200


def test_the_names_of_other_languages_are_names():
    entry = decode_upstream("u1", _encode(service="преводач", zone="юг 1"))
    assert (entry.service, entry.zone) == ("преводач", "юг 1")


values = st.text() | st.integers() | st.none() | st.booleans()
addresses = st.tuples(st.text(), st.text() | st.integers().map(str)).map(":".join)


@given(
    st.text(),
    st.fixed_dictionaries(
        {},
        optional={name: values for name in SOUND} | {"address": addresses},
    ),
)
def test_whatever_an_entry_holds_it_can_be_connected_to_or_is_refused(key, fields):
    try:
        entry = decode_upstream(key, _encode(**fields))
    except ValueError:
        return
    assert len(entry.host.split(".")) == 4 and 0 < entry.port < 65536
    assert b"\r" not in entry.id.encode("ascii")


# Guards against errors of connecting other than OSError, which counted as defects.
@pytest.mark.parametrize("host", ("127..0.1", "a" * 64 + ".b", "x\0y", "ü" * 70))
def test_an_address_that_connecting_cannot_use_is_a_failure_of_the_upstream(host):
    async def main() -> None:
        with pytest.raises(Failure) as info:
            await open_connection(host, 80, 1.0, decode_answer)
        assert info.value.kind is FailureKind.NOT_SENT

    asyncio.run(main())


@asynccontextmanager
async def _serving_beside(entries: dict[str, dict[str, object]]):
    """Start a gateway that knows entries, and after them that of a sound upstream."""
    async with GatewayHarness([]) as harness:
        for key, entry in entries.items():
            harness.store.put("keyed.servers", key, entry)
        upstream = FakeUpstream(_serve)
        await upstream.start()
        harness.store.put("keyed.servers", "u1", registry_entry(upstream))
        async with asyncio.timeout(5.0):
            while harness.gateway._registry.get(UpstreamId("u1")) is None:
                await asyncio.sleep(0.01)
        try:
            yield harness
        finally:
            await upstream.stop()


async def _statuses(harness: GatewayHarness) -> set[int]:
    statuses = set()
    for number in range(N_REQUESTS):
        method = ("GET", "POST")[number % 2]
        path = ("/look/a", "/publish/a")[number % 2]
        attempt = f"req-{number}"
        status, *_ = await call(
            harness.ports[0], path, method, chicorylead_attempt_id=attempt
        )
        statuses.add(status)
    return statuses


# Guards against one entry that takes all requests of its service.
@pytest.mark.parametrize(
    "odd",
    (
        {"address": "127..0.1:8080"},
        {"address": "127..0.1:8080", "slots": 2**40, "born": 2**50},
        {"address": "a..b:1", "coldLeftMs": 0},
        {"address": "127.0.0.1:1", "slots": 2**40},  # refuses connections
    ),
)
def test_a_service_is_served_beside_odd_entries(odd):
    async def main() -> None:
        entries = {f"odd-{n}": SOUND | odd for n in range(N_ENTRIES)}
        async with _serving_beside(entries) as harness:
            assert await _statuses(harness) == {200}

    asyncio.run(main())


# Guards against requests that try upstreams without end.
def test_a_request_for_which_all_upstreams_refuse_connections_is_refused_at_once():
    async def main() -> None:
        async with GatewayHarness([]) as harness:
            for number in range(N_ENTRIES):
                entry = SOUND | {"address": "127.0.0.1:1"}
                harness.store.put("keyed.servers", f"odd-{number}", entry)
            async with asyncio.timeout(5.0):
                while harness.gateway.n_upstreams < N_ENTRIES:
                    await asyncio.sleep(0.01)
            async with asyncio.timeout(1.0):
                status, headers, *_ = await harness.call("/look/a")
            assert status == 503 and "retry-after" in headers
            assert harness.gateway._metrics.totals["sends"] <= N_ENTRIES + 4

    asyncio.run(main())


# Guards against the next gap in the check of entries.
def test_an_upstream_that_cannot_be_connected_to_is_ejected(monkeypatch):
    def decode(key: str, data: bytes):
        entry = decode_upstream(key, data)
        return replace(entry, host="a..b") if key.startswith("odd") else entry

    monkeypatch.setattr("chicorylead.gateway.app.decode_upstream", decode)

    async def main() -> None:
        entries = {f"odd-{n}": dict(SOUND) for n in range(N_ENTRIES)}
        async with _serving_beside(entries) as harness:
            assert await _statuses(harness) == {200}
            for key in entries:
                upstream = harness.gateway._registry.get(UpstreamId(key))
                assert upstream.ejected_until > 0.0

    asyncio.run(main())


# Guards against an entry whose address is another's: each request was sent there first.
def test_an_entry_with_the_address_of_another_upstream_costs_few_requests():
    n_misdirected = 0

    async def refuse(got: ReceivedRequest, writer: Writer) -> None:
        nonlocal n_misdirected
        n_misdirected += 1
        writer.write(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")

    async def main() -> None:
        other = FakeUpstream(refuse)
        await other.start()
        entry = registry_entry(other, slots=REUSED_SLOTS)
        async with _serving_beside({"odd": entry}) as harness:
            assert await _statuses(harness) == {200}
        await other.stop()

    asyncio.run(main())
    assert n_misdirected <= 3


# Guards against an entry under the id of an upstream that outranks all it writes later.
@pytest.mark.parametrize(
    "odd",
    (
        {"state": "ready", "seq": 2**40, "born": 2**50},
        SOUND | {"seq": 2**40, "born": 2**50, "address": "a..b:1"},
        SOUND | {"seq": 2**40, "born": 2**50, "state": "odd"},
    ),
)
def test_an_upstream_is_listed_again_by_its_next_own_entry(odd):
    async def main() -> None:
        async with _serving_beside({}) as harness:
            upstream = harness.gateway._registry.get(UpstreamId("u1"))
            harness.store.put("keyed.servers", "u1", odd)
            async with asyncio.timeout(5.0):
                while harness.gateway.n_upstreams > 0:
                    await asyncio.sleep(0.01)
            port = upstream.entry.port
            own = SOUND | {"address": f"127.0.0.1:{port}", "born": 1000, "seq": 2}
            harness.store.put("keyed.servers", "u1", own)
            async with asyncio.timeout(1.0):
                while (await harness.call("/look/a"))[0] != 200:
                    await asyncio.sleep(0.01)

    asyncio.run(main())


def test_an_invalid_cold_time_is_ignored_and_logged_once(log_capture):
    async def main() -> None:
        log_capture.open()
        odd = SOUND | {"coldLeftMs": ["x" * 1000]}
        async with _serving_beside({"odd": odd}) as harness:
            for sequence in range(2, 5):
                harness.store.put("keyed.servers", "odd", odd | {"seq": sequence})
                await asyncio.sleep(0.1)
            assert harness.gateway.n_upstreams == 2

    asyncio.run(main())
    output = log_capture.read()
    assert output.count("event=upstream_entry_fault ") == 1
    assert "x" * 200 not in output


def test_odd_entries_are_logged_once_and_counted_until_they_are_mended(log_capture):
    async def main() -> None:
        log_capture.open()
        odd = SOUND | {"address": "127..0.1:8080"}
        async with _serving_beside({"odd-1": odd, "odd-2": odd}) as harness:
            for sequence in range(2, 5):
                for key in ("odd-1", "odd-2"):
                    harness.store.put("keyed.servers", key, odd | {"seq": sequence})
                await asyncio.sleep(0.1)
            totals = harness.gateway._metrics.totals
            assert totals["upstream.malformed_entries"] == 2
            harness.store.put("keyed.servers", "odd-1", {"state": "ready"})
            async with asyncio.timeout(5.0):
                while totals["upstream.malformed_entries"] < 3:
                    await asyncio.sleep(0.01)
            harness.store.put("keyed.servers", "odd-1", SOUND)
            async with asyncio.timeout(5.0):
                while harness.gateway.n_upstreams < 2:
                    await asyncio.sleep(0.01)

    asyncio.run(main())
    lines = log_capture.lines("upstream_entry_malformed")
    assert [line["upstream"] for line in lines] == ["odd-1", "odd-2", "odd-1"]
    assert [line["n_malformed"] for line in lines] == ["1", "2", "2"]
