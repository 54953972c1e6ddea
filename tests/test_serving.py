"""How many routers callers are told of, replaying a demand swing."""

import math

import pytest

from chicorylead.ids import RouterId, ZoneName
from chicorylead.vm.serving import (
    MAX_UTILISATION,
    PEAK_HOLD_S,
    REQUEST_COST_CORE_S,
    ArrivalRate,
    Candidate,
    DemandPeak,
    choose_serving,
)


def _candidates(n: int, cores: float, n_zones: int = 5) -> list[Candidate]:
    return [
        Candidate(RouterId(f"r{i}"), ZoneName(f"z{i % n_zones}"), cores)
        for i in range(n)
    ]


@pytest.mark.parametrize("cores", [0.12, 1.3])
def test_the_peak_of_a_demand_swing_is_carried(cores):
    peak, chosen = DemandPeak(), []
    candidates = _candidates(78, cores)
    for second in range(60):
        rate = 1000.0 * (1.0 + 0.55 * math.sin(2 * math.pi * second / 15.0))
        chosen.append(choose_serving(candidates, peak.record(rate, second)))
        load = rate * REQUEST_COST_CORE_S / (len(chosen[-1]) * cores)
        assert load <= MAX_UTILISATION or len(chosen[-1]) == 78
    # Callers change routers when the set changes: it stays the same within the swing.
    assert all(routers == chosen[15] for routers in chosen[15:])


def test_routers_stand_by_again_some_time_after_a_peak():
    peak = DemandPeak()
    candidates = _candidates(78, 1.3)
    most = choose_serving(candidates, peak.record(4000.0, 0.0))
    least = choose_serving(candidates, peak.record(100.0, PEAK_HOLD_S + 1.0))
    assert len(least) == 10
    assert least < most


def test_zones_with_few_routers_are_used_whole():
    candidates = _candidates(4, 1.0, n_zones=3)
    assert len(choose_serving(candidates, 0.0)) == 4


def test_the_rate_follows_arrivals_within_seconds():
    rate = ArrivalRate(0.0)
    for i in range(1000):
        rate.record(i / 100)
    assert 90 <= rate.per_s(10.0) <= 110
    assert rate.per_s(20.0) < 1.0
