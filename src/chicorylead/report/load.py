"""How a fleet served its organisations, from the logs of its routers."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct

from chicorylead.report.log_lines import LogLine

__all__ = ["LoadReport", "LoadRow", "load_report"]

LATE_SHARE = 0.99  # the wait that all but one in a hundred stayed below


class LoadRow(Struct, kw_only=True):
    """What one organisation, or one upstream, got.

    Attributes:
        name: Its id.
        served: Requests that were answered.
        refused: Requests that were refused as not run.
        failed: Sends that broke, or that the upstream rejected.
        first_s: Mean time to the first event, seconds.
        first_late_s: Time to the first event below which 99 in 100 stayed, seconds.
        pause_s: Mean of the longest pause of each stream, seconds.
    """

    name: str
    served: int
    refused: int
    failed: int
    first_s: float
    first_late_s: float
    pause_s: float


class LoadReport(Struct, kw_only=True):
    """The report.

    Attributes:
        seconds: Time between the first line and the last, seconds.
        organisations: Rows by organisation, those with most requests first.
        upstreams: Rows by upstream, those with most requests first.
        times: Starts of the steps of the series, seconds after the first line.
        served: Answered requests per second, by organisation and step.
    """

    seconds: float
    organisations: list[LoadRow]
    upstreams: list[LoadRow]
    times: list[float]
    served: dict[str, list[float]]


@dataclass
class _Tally:
    """Lines of one organisation or upstream."""

    served_at: list[float] = field(default_factory=list)
    n_refused: int = 0
    n_failed: int = 0
    firsts: list[float] = field(default_factory=list)
    pauses: list[float] = field(default_factory=list)

    def note(self, line: LogLine) -> None:
        if line.event == "request_refused":
            self.n_refused += 1
            return
        match line.fields.get("outcome"):
            case "Served":
                self.served_at.append(line.at)
            case "Broken" | "Rejected":
                self.n_failed += 1
        if (first := line.number("first_event_s")) > 0:
            self.firsts.append(first)
            self.pauses.append(line.number("longest_pause_s"))

    def row(self, name: str) -> LoadRow:
        firsts = sorted(self.firsts)
        late = firsts[int(LATE_SHARE * (len(firsts) - 1))] if firsts else 0.0
        return LoadRow(
            name=name,
            served=len(self.served_at),
            refused=self.n_refused,
            failed=self.n_failed,
            first_s=_mean(firsts),
            first_late_s=late,
            pause_s=_mean(self.pauses),
        )


def load_report(lines: Iterable[LogLine], step_s: float = 2.0) -> LoadReport:
    """Return the report.

    Args:
        lines: Lines of all routers.
        step_s: Length of a step of the series, seconds.
    """
    organisations: dict[str, _Tally] = {}
    upstreams: dict[str, _Tally] = {}
    start, end = float("inf"), 0.0
    for line in lines:
        if line.event not in ("request_sent", "request_refused"):
            continue
        start, end = min(start, line.at), max(end, line.at)
        name = line.fields.get("organisation", "None")
        organisations.setdefault(name, _Tally()).note(line)
        upstream = line.fields.get("upstream", "None")
        upstreams.setdefault(upstream, _Tally()).note(line)
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
