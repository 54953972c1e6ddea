"""Upstreams that start again under their id with an earlier start time."""

import asyncio

import pytest

from chicorylead.ids import ServiceName, SoftwareVersion, UpstreamId, ZoneName
from chicorylead.upstream.registered import ListedState, RegisteredUpstream
from chicorylead.upstream.restart import MIN_SPAN_S, RestartDetector
from tests.gateway.fakes import ReceivedRequest, registry_entry, sealed_response
from tests.gateway.test_gateway import GatewayHarness, Writer, _run_check

HEARTBEAT_S = 1.2
DRAIN_S = 2.0  # the users' bound for upstreams that leave


def _entry(born_ms: int, sequence: int) -> RegisteredUpstream:
    return RegisteredUpstream(
        id=UpstreamId("u"),
        service=ServiceName("app"),
        host="127.0.0.1",
        port=1,
        zone=ZoneName("a"),
        version=SoftwareVersion("v1"),
        n_slots=8,
        state=ListedState.READY,
        born_ms=born_ms,
        sequence=sequence,
    )


@pytest.mark.parametrize(
    ("entries", "is_found"),
    [
        # Time, start and sequence of entries with an earlier start than the known one.
        ([(0.0, 5, 1), (1.2, 5, 2)], True),
        ([(0.0, 5, 1)], False),
        ([(0.0, 5, 1), (1.2, 5, 1)], False),
        ([(0.0, 5, 1), (0.3, 5, 2)], False),
        ([(0.0, 5, 1), (0.3, 5, 2), (1.2, 5, 3)], True),
        ([(0.0, 5, 1), (1.2, 4, 2)], False),
    ],
)
def test_entries_of_an_upstream_that_runs_are_told_from_late_ones(entries, is_found):
    now = [0.0]
    restarts = RestartDetector(lambda: now[0])
    found = False
    for now[0], born_ms, sequence in entries:
        found = restarts.record(_entry(born_ms, sequence))
    assert found is is_found
    assert restarts.is_confirmed(_entry(entries[-1][1], 9)) is is_found


def test_an_entry_of_the_later_incarnation_between_them_shows_that_they_are_late():
    now = [0.0]
    restarts = RestartDetector(lambda: now[0])
    restarts.record(_entry(5, 1))
    restarts.discard(UpstreamId("u"))
    now[0] = MIN_SPAN_S
    assert not restarts.record(_entry(5, 2))


def _named(name: bytes):
    async def script(got: ReceivedRequest, writer: Writer) -> None:
        writer.write(sealed_response(got, name))

    return script


async def _served_by(harness: GatewayHarness) -> bytes:
    status, _, body, _ = await harness.call("/look/a")
    return body if status == 200 else b""


async def _start_again(harness: GatewayHarness, n_beats: int) -> None:
    """Write entries of `u0` with an earlier start, at the address of `u1`."""
    for sequence in range(1, n_beats + 1):
        entry = registry_entry(harness.upstreams[1], born=500, seq=sequence)
        harness.store.put("keyed.servers", "u0", entry)
        await asyncio.sleep(HEARTBEAT_S)


def test_an_upstream_whose_clock_went_back_serves_and_leaves():
    async def check(harness: GatewayHarness) -> None:
        harness.store.put("keyed.servers", "u1", None)
        await _start_again(harness, 3)
        assert await _served_by(harness) == b"new"
        leaving = registry_entry(
            harness.upstreams[1], born=500, seq=9, state="draining"
        )
        harness.store.put("keyed.servers", "u0", leaving)
        await asyncio.sleep(DRAIN_S / 2)
        assert await _served_by(harness) == b""

    _run_check([_named(b"old"), _named(b"new")], check)


def test_a_late_entry_of_an_incarnation_that_has_ended_changes_nothing():
    async def check(harness: GatewayHarness) -> None:
        harness.store.put("keyed.servers", "u1", None)
        for sequence in (2, 3, 4):
            await _start_again(harness, 1)
            entry = registry_entry(harness.upstreams[0], seq=sequence)
            harness.store.put("keyed.servers", "u0", entry)
            await asyncio.sleep(0.1)
            assert await _served_by(harness) == b"old"

    _run_check([_named(b"old"), _named(b"new")], check)
