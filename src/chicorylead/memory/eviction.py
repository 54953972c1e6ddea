"""Decides which callers are dropped when memory or descriptors run short.

Load pattern: a crowd outside the limits sends bodies that never end, or leaves answers
unread, beside ordinary callers, whose requests are small or make progress. Those that
hold the most for the longest time without progress are dropped first.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["Holding", "choose_idle", "choose_largest"]

T = TypeVar("T")

# Without it, callers that all make progress at this moment would rank alike, whatever
# they hold.
MIN_STALL_S = 0.05


@dataclass(frozen=True, slots=True)
class Holding(Generic[T]):
    """What one caller holds.

    Attributes:
        key: Whose it is.
        n_bytes: Memory held, bytes.
        progress_at: Time of the last progress, seconds.
        has_request: Whether a request is being received, run or answered.
    """

    key: T
    n_bytes: int
    progress_at: float
    has_request: bool


def choose_largest(holdings: Iterable[Holding[T]], n_bytes: int, now: float) -> list[T]:
    """Return whom to drop so that `n_bytes` become free, the first one first.

    Args:
        holdings: What all callers hold.
        n_bytes: Memory to free, bytes.
        now: Time, seconds.
    """

    def weight(holding: Holding[T]) -> float:
        return holding.n_bytes * max(MIN_STALL_S, now - holding.progress_at)

    chosen: list[T] = []
    for holding in sorted(holdings, key=weight, reverse=True):
        if n_bytes <= 0:
            break
        chosen.append(holding.key)
        n_bytes -= holding.n_bytes
    return chosen


def choose_idle(holdings: Iterable[Holding[T]], n: int) -> list[T]:
    """Return up to `n` callers without a request, the longest idle first."""
    idle = [holding for holding in holdings if not holding.has_request]
    idle.sort(key=lambda holding: holding.progress_at)
    return [holding.key for holding in idle[:n]]
