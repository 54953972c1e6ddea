"""Short soak runs, and tests of the soak's ledger."""

import asyncio
from random import Random

import pytest

from tests.soak.endpoints import STREAM_HEAD, spoil
from tests.soak.ledger import Ledger, expected_body, expected_events
from tests.soak.runner import run_seed

# Seeds that have failed are kept for good, each with its cause. Seeds 1 and 2 run so
# that every kind of path is exercised; 42: an upstream's 503 without its statement,
# after another one had run the request, was passed on.
SEEDS = (1, 2, 42)


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_injected_faults(seed, tmp_path):
    result = asyncio.run(run_seed(seed, seconds=4.0, folder=tmp_path))
    assert not result.violations, result
    assert result.statuses[200] > 100


def _ledger(kind: str) -> Ledger:
    ledger = Ledger()
    ledger.record_sent("r", kind)
    return ledger


def test_the_ledger_detects_a_second_run():
    ledger = _ledger("publish")
    ledger.record_run("r")
    assert not ledger.violations
    ledger.record_run("r")
    assert ledger.violations


def test_the_ledger_detects_a_run_reported_as_not_run():
    ledger = _ledger("publish")
    ledger.record_answer("r", 503, b"", True)
    ledger.record_run("r")
    ledger.check_end()
    assert ledger.violations


@pytest.mark.parametrize(
    ("n_crashes", "n_after", "is_violation"),
    [(5, 4, True), (5, 3, False), (4, 9, False)],
)
def test_the_ledger_detects_requests_that_go_on_crashing_upstreams(
    n_crashes, n_after, is_violation
):
    ledger = Ledger()
    ledger.crashed_at = [float(at) for at in range(n_crashes)]
    ledger.deadly_at = [*ledger.crashed_at, *(20.0 + n for n in range(n_after))]
    ledger.check_deadly(10.0)
    assert bool(ledger.violations) is is_violation


@pytest.mark.parametrize(
    ("body", "whole", "is_violation"),
    [
        (expected_body("r"), True, False),
        (expected_body("s"), True, True),
        (expected_body("r")[:9], False, False),
    ],
)
def test_the_ledger_detects_an_answer_to_another_request(body, whole, is_violation):
    ledger = _ledger("look")
    ledger.record_answer("r", 200, body, whole)
    assert bool(ledger.violations) is is_violation


@pytest.mark.parametrize(
    ("numbers", "whole", "is_violation"),
    [
        ((1, 2, 3, 4, 5, 6, 7, 8), True, False),
        ((1, 2, 3), False, False),
        ((1, 2, 3), True, True),
        ((1, 2, 4), False, True),
        ((1, 2, 2), False, True),
    ],
)
def test_the_ledger_detects_a_damaged_stream(numbers, whole, is_violation):
    ledger = _ledger("revise")
    events = expected_events("r", 1, "v1")
    body = b"".join(events[number - 1] for number in numbers)
    ledger.record_answer("r", 200, body, whole)
    assert bool(ledger.violations) is is_violation


def test_the_ledger_detects_a_stream_of_two_versions():
    ledger = _ledger("revise")
    first, last = expected_events("r", 1, "v1"), expected_events("r", 1, "v2")
    ledger.record_answer("r", 200, b"".join(first[:3]), False)
    assert not ledger.violations
    ledger._kinds["again"] = "revise"
    ledger.record_answer("again", 200, b"".join(first[:3] + last[3:]), True, "r")
    assert ledger.violations


@pytest.mark.parametrize(
    ("n_gone_on", "n_taken_up", "n_begun", "is_violation"),
    [(5, 12, 12, True), (6, 12, 12, False), (0, 11, 12, False), (0, 12, 0, False)],
)
def test_the_ledger_detects_streams_that_do_not_go_on(
    n_gone_on, n_taken_up, n_begun, is_violation
):
    ledger = Ledger()
    ledger.check_taken_up(n_gone_on, n_taken_up, n_begun, 12)
    assert bool(ledger.violations) is is_violation


@pytest.mark.parametrize(
    ("after_s", "router", "is_violation"),
    [(2.1, 1, True), (1.9, 1, False), (2.1, 2, False)],
)
def test_the_ledger_detects_requests_to_an_upstream_that_was_removed(
    after_s, router, is_violation
):
    ledger = Ledger()
    ledger.arrivals["u"] = [(10.0 + after_s, "r")]
    ledger.record_router("r", ("127.0.0.1", router))
    ledger.check_removed("u", 10.0, ("127.0.0.1", 1))
    assert bool(ledger.violations) is is_violation


@pytest.mark.parametrize(("at", "is_violation"), [(9, False), (11, True), (21, False)])
def test_the_ledger_detects_requests_to_an_evacuated_zone(at, is_violation):
    ledger = Ledger()
    ledger.arrivals["u"] = [(float(at), "r")]
    ledger.check_evacuated("u", 10.0, 20.0)
    assert bool(ledger.violations) is is_violation


@pytest.mark.parametrize(("n_late", "is_violation"), [(0, False), (30, True)])
def test_the_ledger_detects_requests_that_an_upstream_does_not_take(
    n_late, is_violation
):
    ledger = Ledger()
    ledger.noticed_at["u"] = 0.0
    late = [(5.0 + n / 10, f"late{n}") for n in range(n_late)]
    ledger.arrivals["u"] = [*((n / 2, f"r{n}") for n in range(2)), *late]
    ledger._sent_at = {request: at for at, request in ledger.arrivals["u"]}
    checks = (
        lambda: ledger.check_limit("u", 2.0),
        lambda: ledger.check_leaving("u"),
        lambda: ledger.check_pause("u", 8.0, n_routers=3),
    )
    for check in checks:
        ledger.violations.clear()
        check()
        assert bool(ledger.violations) is is_violation


@pytest.mark.parametrize(("n", "is_violation"), [(11, False), (12, True)])
def test_the_ledger_detects_too_many_requests_to_a_cold_upstream(n, is_violation):
    ledger = Ledger()
    ledger.record_cold("u", 10.0, 14.0)
    ledger.arrivals["u"] = [(11.0 + i / 100, f"r{i}") for i in range(n)]
    # Before and after, it takes any number.
    ledger.arrivals["u"] += [(14.0 + i / 100, f"s{i}") for i in range(50)]
    ledger.check_cold(4.0)
    assert bool(ledger.violations) is is_violation


def test_each_byte_outside_the_text_may_be_spoilt():
    head = STREAM_HEAD.format(id="r").encode()
    events = expected_events("r", 7, "v1")
    pieces = [head, *(b"%x\r\n%s\r\n" % (len(e), e) for e in events), b"0\r\n\r\n"]
    data, rng = b"".join(pieces), Random(1)
    positions = set()
    for _ in range(6000):
        spoilt = b"".join(spoil(pieces, rng))
        (at,) = [n for n in range(len(data)) if data[n] != spoilt[n]]
        positions.add(at)
    text = {data.index(f"v1 r/{n}".encode()) + i for n in (7, 8) for i in range(6)}
    assert positions == set(range(len(data))) - text
