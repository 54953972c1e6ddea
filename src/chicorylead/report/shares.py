"""Find organisations that got far less than asked for while others were served."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from msgspec import Struct

from chicorylead.report.log_lines import LogLine

__all__ = ["SecondUsage", "Shortfall", "UsageBySecond", "share_report", "shortfalls"]

WINDOW_S = 6  # same length as in the users' rule on shares
MIN_FRACTION = 0.5  # of what it asked or the best served got, whichever is less
SLACK_REQUESTS = 3  # tolerated shortfall, in requests of the largest amount


@dataclass
class SecondUsage:
    """Usage of a pool by one organisation within one second.

    Attributes:
        asked: Amount that it asked for, in tokens or plain requests.
        got: Amount of its requests whose answer began in this second.
        refused: Number of its requests that were refused.
    """

    asked: float = 0.0
    got: float = 0.0
    refused: int = 0


class Shortfall(Struct, kw_only=True, frozen=True):
    """A window in which an organisation got too little.

    Attributes:
        pool: Name of the pool.
        organisation: Id of the organisation.
        second: Start of the window, seconds.
        asked: Amount that it asked for.
        got: Amount that it got.
        owed: Minimum amount that it should have got.
        best: Sum over the seconds of what the best served organisation got.
    """

    pool: str = ""
    organisation: str
    second: int
    asked: float
    got: float
    owed: float
    best: float


UsageBySecond = Mapping[int, Mapping[str, SecondUsage]]


def shortfalls(
    usage: UsageBySecond, largest: float, pool: str = ""
) -> Iterator[Shortfall]:
    """Yield each window in which an organisation got too little.

    It must also have been refused in each second of the window.

    Args:
        usage: Usage of each organisation, by second.
        largest: Amount of the largest request.
        pool: Name of the pool.
    """
    names = sorted({name for second in usage.values() for name in second})
    for start in range(min(usage, default=0), max(usage, default=0) - WINDOW_S + 2):
        window = [usage.get(start + offset, {}) for offset in range(WINDOW_S)]
        best = [max((s.got for s in second.values()), default=0) for second in window]
        for name in names:
            rows = [second.get(name, SecondUsage()) for second in window]
            if not all(row.refused for row in rows):
                continue
            due = sum(
                min(row.asked, most) for row, most in zip(rows, best, strict=True)
            )
            owed = MIN_FRACTION * due - SLACK_REQUESTS * largest
            got = sum(row.got for row in rows)
            if got < owed:
                yield Shortfall(
                    pool=pool,
                    organisation=name,
                    second=start,
                    asked=sum(row.asked for row in rows),
                    got=got,
                    owed=owed,
                    best=sum(best),
                )


def share_report(lines: Iterable[LogLine]) -> list[Shortfall]:
    """Return the shortfalls in the logs of all routers.

    Args:
        lines: Log lines of all routers; their clocks are assumed to agree.
    """
    usage: dict[str, dict[int, dict[str, SecondUsage]]] = defaultdict(
        lambda: defaultdict(lambda: defaultdict(SecondUsage))
    )
    largest: dict[str, float] = defaultdict(float)
    for line in lines:
        if line.event not in ("request_sent", "request_refused"):
            continue
        pool = line.fields.get("pool", "")
        name = line.fields.get("organisation", "None")
        amount = line.number("amount")
        largest[pool] = max(largest[pool], amount)
        if line.event == "request_refused":
            second = usage[pool][int(line.at)][name]
            second.refused += 1
            second.asked += amount
            continue
        sent_at = line.at - line.number("took_s")
        if line.fields.get("send") == "1":
            usage[pool][int(sent_at)][name].asked += amount
        if line.fields.get("outcome") == "Served":
            begun_at = sent_at + line.number("first_event_s")
            usage[pool][int(begun_at)][name].got += amount
    return [
        found
        for pool in sorted(usage)
        for found in shortfalls(usage[pool], largest[pool], pool)
    ]
