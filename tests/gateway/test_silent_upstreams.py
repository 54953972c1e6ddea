"""Upstreams that make no event for a while, and requests that can't run elsewhere."""

import asyncio

import pytest

from chicorylead.admission.retry_budget import RetryBudget
from chicorylead.gateway.forward import EVENT_TIMEOUT_S
from tests.gateway.fakes import ReceivedRequest, sealed_response
from tests.gateway.test_gateway import (
    STREAM_HEAD,
    GatewayHarness,
    Writer,
    _chunk,
    _event,
    _run_check,
)

SILENT_S = EVENT_TIMEOUT_S + 0.4
N_EVENTS = 4
DEADLINE_MS = "4000"


class _Pausing:
    """Serves requests; the first one has a pause, before its answer or within it.

    Attributes:
        runs: Numbers of the events after which runs began.
    """

    def __init__(self, pause_before: int) -> None:
        self._pause_before = pause_before
        self.runs: list[int] = []

    async def stream(self, got: ReceivedRequest, writer: Writer) -> None:
        after = int(got.headers.get("last-event-id", "0"))
        is_first = not self.runs
        self.runs.append(after)
        head = STREAM_HEAD.format(id=got.headers["chicorylead-attempt-id"])
        writer.write(head.encode())
        for number in range(after + 1, N_EVENTS + 1):
            if is_first and number == self._pause_before:
                await asyncio.sleep(SILENT_S)
            writer.write(_chunk(_event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def answer(self, got: ReceivedRequest, writer: Writer) -> None:
        self.runs.append(0)
        if len(self.runs) == 1:
            await asyncio.sleep(SILENT_S)
        writer.write(sealed_response(got, b"hello"))


async def _check_stream(harness: GatewayHarness) -> None:
    status, _, body, is_whole = await harness.call(
        "/revise/a", chicorylead_deadline_ms=DEADLINE_MS
    )
    assert (status, is_whole) == (200, True)
    assert body == b"".join(_event(number) for number in range(1, N_EVENTS + 1))


# Guards against streams that are given up, and then cut as no retry is left.
@pytest.mark.parametrize("pause_before", [1, 3])
def test_a_stream_without_a_retry_waits_for_a_silent_upstream(
    pause_before, monkeypatch
):
    monkeypatch.setattr(RetryBudget, "take", lambda self, n_routers: False)
    script = _Pausing(pause_before)
    _run_check([script.stream, script.stream], _check_stream)
    assert script.runs == [0]


def test_a_stream_waits_for_a_silent_upstream_if_there_is_no_other():
    script = _Pausing(3)
    _run_check([script.stream], _check_stream)
    assert script.runs == [0]


def test_a_stream_with_a_retry_goes_on_at_another_upstream(monkeypatch):
    n_taken = []
    take = RetryBudget.take
    monkeypatch.setattr(
        RetryBudget, "take", lambda self, n: n_taken.append(n) or take(self, n)
    )
    script = _Pausing(3)
    _run_check([script.stream, script.stream], _check_stream)
    assert script.runs == [0, 2]
    assert len(n_taken) == 1  # the one taken before the upstream was abandoned


def test_a_stream_leaves_a_silent_upstream_once_a_retry_is_left(monkeypatch):
    n_asked = []

    def take(self: RetryBudget, n_routers: int) -> bool:
        n_asked.append(n_routers)
        return len(n_asked) > 1

    monkeypatch.setattr(RetryBudget, "take", take)
    script = _Pausing(3)
    _run_check([script.stream, script.stream], _check_stream)
    assert script.runs == [0, 2]


def test_an_idempotent_request_without_a_retry_waits_for_its_answer(monkeypatch):
    monkeypatch.setattr(RetryBudget, "take", lambda self, n_routers: False)
    script = _Pausing(0)

    async def check(harness: GatewayHarness) -> None:
        status, _, body, _ = await harness.call(
            "/look/a", chicorylead_deadline_ms=DEADLINE_MS
        )
        assert (status, body) == (200, b"hello")

    _run_check([script.answer, script.answer], check)
    assert len(script.runs) == 1


def test_a_silent_upstream_is_left_at_the_deadline_of_the_caller(monkeypatch):
    monkeypatch.setattr(RetryBudget, "take", lambda self, n_routers: False)
    script = _Pausing(0)

    async def check(harness: GatewayHarness) -> None:
        async with asyncio.timeout(1.3):
            status, _, _, _ = await harness.call(
                "/look/a", chicorylead_deadline_ms="1000"
            )
        assert status == 504

    _run_check([script.answer, script.answer], check)
