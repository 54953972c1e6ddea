"""Burn rates: how fast organisations use up their error budgets.

A burn rate of 1 uses up the budget exactly over the period of the objective; 10 is
ten times too fast. Short windows show the current rate, long windows whether it
persists.
"""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from chicorylead.errors import Refusal
from chicorylead.records.model import Contract, Objective
from chicorylead.records.schema import Record, to_model
from chicorylead.report.levels import LevelCount

__all__ = ["BurnReport", "BurnRow", "RouterLevels", "burn_report", "plot_burn"]

WINDOWS_S = {"1m": 60.0, "5m": 300.0, "30m": 1800.0, "1h": 3600.0}


class RouterLevels(Struct):
    """Service-level counts of one router.

    Attributes:
        history_s: Time that the counts cover, seconds.
    """

    router: str
    history_s: float
    counts: list[LevelCount]


class BurnRow(Struct):
    """Burn rates of one organisation and operation.

    Attributes:
        met: Fraction of the requests that met the objective.
        budget_left: Remaining fraction of the error budget over the covered history;
            negative when the budget is exceeded.
        burn: Burn rate in each window; None where the window has no requests.
    """

    organisation: str
    operation: str
    n_requests: int
    target: float
    met: float
    budget_left: float
    burn: list[float | None]


class BurnReport(Struct):
    """Burn rates of the whole fleet.

    Attributes:
        n_routers: Number of routers included in the report.
        n_members: Number of routers in the fleet.
        history_s: Shortest history of an included router, seconds.
        windows: Names of the windows of `BurnRow.burn`.
    """

    n_routers: int
    n_members: int
    history_s: float
    windows: list[str]
    rows: list[BurnRow]


def burn_report(
    routers: Sequence[RouterLevels], n_members: int, records: Sequence[dict[str, Any]]
) -> BurnReport:
    """Return the report over the summed counts of routers.

    Args:
        routers: Counts of each router that answered.
        n_members: Number of routers in the fleet.
        records: Records in force, as returned by `/admin/v1/records`.
    """
    objectives = _objectives(records)
    by_key: dict[tuple[str, str], list[LevelCount]] = {}
    for router in routers:
        for count in router.counts:
            key = (str(count.organisation), count.operation)
            by_key.setdefault(key, []).append(count)
    rows = [
        _row(organisation, operation, counts, objectives.get(organisation))
        for (organisation, operation), counts in sorted(by_key.items())
    ]
    history_s = min((router.history_s for router in routers), default=0.0)
    return BurnReport(len(routers), n_members, history_s, list(WINDOWS_S), rows)


def _objectives(records: Sequence[dict[str, Any]]) -> dict[str, Objective]:
    objectives: dict[str, Objective] = {}
    for item in records:
        try:
            model = to_model(msgspec.convert(item["record"], Record))
        except Refusal:
            continue
        if isinstance(model, Contract):
            objectives.setdefault(model.organisation, model.objective)
    return objectives


def _row(
    organisation: str,
    operation: str,
    counts: list[LevelCount],
    objective: Objective | None,
) -> BurnRow:
    target = (objective or Objective()).target
    n_requests, n_bad = _totals(counts)
    bad_fraction = n_bad / n_requests if n_requests else 0.0
    burn = []
    for window_s in WINDOWS_S.values():
        n_recent, n_recent_bad = _totals([c for c in counts if c.age_s <= window_s])
        rate = n_recent_bad / n_recent / (1 - target) if n_recent else None
        burn.append(rate)
    budget_left = 1.0 - bad_fraction / (1 - target)
    return BurnRow(
        organisation, operation, n_requests, target, 1 - bad_fraction, budget_left, burn
    )


def _totals(counts: list[LevelCount]) -> tuple[int, int]:
    n_bad = sum(count.n_slow + count.n_refused for count in counts)
    return n_bad + sum(count.n_good for count in counts), n_bad


def plot_burn(report: BurnReport, path: Path) -> None:
    """Plot burn rates by organisation and window.

    Raises:
        Refusal: BAD_REQUEST when matplotlib is not installed.
    """
    from chicorylead.report.plot import draw_bars

    labels = [f"{row.organisation}\n{row.operation}" for row in report.rows]
    series = {
        window: [row.burn[i] or 0.0 for row in report.rows]
        for i, window in enumerate(report.windows)
    }
    title = (
        f"Burn rate, {report.n_routers} of {report.n_members} routers, "
        f"{report.history_s:.0f} s of history"
    )
    draw_bars(path, title, "burn rate (1 uses up the budget)", labels, series, 1.0)
