"""Report how a fleet served its organisations, from the logs of its routers."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct

from chicorylead.report.log_lines import LogLine

__all__ = ["LoadReport", "LoadRow", "load_report"]

LATE_QUANTILE = 0.99


class LoadRow(Struct, kw_only=True):
    """Results of one organisation or one upstream.

    Attributes:
        name: Id of the organisation or upstream.
        served: Requests that were answered.
        refused: Requests that were refused as not run.
        failed: Sends that ended as `Broken` or `Rejected`.
        first_s: Mean time to the first event, seconds.
        first_late_s: 99th percentile of the time to the first event, seconds.
        pause_s: Mean over the streams of the longest pause, seconds.
    """

    name: str
    served: int
    refused: int
    failed: int
    first_s: float
    first_late_s: float
    pause_s: float


class LoadReport(Struct, kw_only=True):
    """Load of a fleet by organisation, by upstream and over time.

    Attributes:
        seconds: Time between the first and the last line, seconds.
        organisations: One row per organisation, most requests first.
        upstreams: One row per upstream, most requests first.
        times: Start of each step of the time series, seconds after the first line.
        served: Answered requests per second in each step, by organisation.
    """

    seconds: float
    organisations: list[LoadRow]
    upstreams: list[LoadRow]
    times: list[float]
    served: dict[str, list[float]]


@dataclass
class _Tally:
    """Totals of the log lines of one organisation or upstream."""

    served_at: list[float] = field(default_factory=list)
    n_refused: int = 0
    n_failed: int = 0
    first_events_s: list[float] = field(default_factory=list)
    longest_pauses_s: list[float] = field(default_factory=list)

    def add(self, line: LogLine) -> None:
        if line.event == "request_refused":
            self.n_refused += 1
            return
        match line.fields.get("outcome"):
            case "Served":
                self.served_at.append(line.at)
            case "Broken" | "Rejected":
                self.n_failed += 1
        if (first_event_s := line.number("first_event_s")) > 0:
            self.first_events_s.append(first_event_s)
            self.longest_pauses_s.append(line.number("longest_pause_s"))

    def row(self, name: str) -> LoadRow:
        times_s = sorted(self.first_events_s)
        late_s = times_s[int(LATE_QUANTILE * (len(times_s) - 1))] if times_s else 0.0
        return LoadRow(
            name=name,
            served=len(self.served_at),
            refused=self.n_refused,
            failed=self.n_failed,
            first_s=_mean(times_s),
            first_late_s=late_s,
            pause_s=_mean(self.longest_pauses_s),
        )


def load_report(lines: Iterable[LogLine], step_s: float = 2.0) -> LoadReport:
    """Return the report over the log lines of all routers.

    Args:
        lines: Log lines, in any order.
        step_s: Length of a step of the time series, seconds.
    """
    organisations: dict[str, _Tally] = {}
    upstreams: dict[str, _Tally] = {}
    start, end = float("inf"), 0.0
    for line in lines:
        if line.event not in ("request_sent", "request_refused"):
            continue
        start, end = min(start, line.at), max(end, line.at)
        name = line.fields.get("organisation", "None")
        organisations.setdefault(name, _Tally()).add(line)
        upstream = line.fields.get("upstream", "None")
        upstreams.setdefault(upstream, _Tally()).add(line)
    seconds = max(0.0, end - start)
    n_steps = int(seconds / step_s) + 1 if organisations else 0
    return LoadReport(
        seconds=seconds,
        organisations=_rows(organisations),
        upstreams=_rows(upstreams),
        times=[number * step_s for number in range(n_steps)],
        served={
            name: _series(tally.served_at, start, step_s, n_steps)
            for name, tally in organisations.items()
        },
    )


def _rows(tallies: dict[str, _Tally]) -> list[LoadRow]:
    rows = [tally.row(name) for name, tally in tallies.items()]
    return sorted(rows, key=lambda row: -(row.served + row.refused + row.failed))


def _series(
    times: list[float], start: float, step_s: float, n_steps: int
) -> list[float]:
    counts = [0.0] * n_steps
    for at in times:
        counts[int((at - start) / step_s)] += 1.0 / step_s
    return counts


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0
