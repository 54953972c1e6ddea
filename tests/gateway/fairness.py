"""The users' rule on organisations that wait while others are served."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from tests.gateway.replay import Second

__all__ = ["Shortfall", "shortfalls"]

WINDOW_S = 6
LEAST_PART = 0.5  # of what it asked or the best served got, whichever is less
N_LARGEST = 3  # requests that the rule allows for


@dataclass(frozen=True)
class Shortfall:
    """An organisation that got too little from one second on, in tokens."""

    organisation: str
    second: int
    got: float
    owed: float


def shortfalls(
    seconds: Mapping[int, Mapping[str, Second]], largest: float
) -> Iterator[Shortfall]:
    """Yield each organisation and window in which it got too little.

    Args:
        seconds: What each organisation asked for and got, by second.
        largest: The largest request, tokens.
    """
    names = {name for second in seconds.values() for name in second}
    for start in range(min(seconds), max(seconds) - WINDOW_S + 2):
        window = [seconds[start + offset] for offset in range(WINDOW_S)]
        best = [max((s.got for s in second.values()), default=0) for second in window]
        for name in names:
            rows = [second.get(name, Second()) for second in window]
            if not all(row.refused for row in rows):
                continue
            due = sum(
                min(row.asked, most) for row, most in zip(rows, best, strict=True)
            )
            owed = LEAST_PART * due - N_LARGEST * largest
            got = sum(row.got for row in rows)
            if got < owed:
                yield Shortfall(name, start, got, owed)
