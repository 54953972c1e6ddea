"""Returns freed memory to the system.

The allocator keeps what a crowd had taken: it raises the size from which blocks are
mapped and unmapped one by one to that of the largest one freed, and does not return
free memory between blocks that are in use.
"""

import ctypes
import gc
from collections.abc import Callable

from chicorylead.memory.budget import Budget

__all__ = ["MemoryTrimmer", "keep_large_blocks_apart", "trim"]

# A quarter of the allocator's own, which it would raise: blocks of a body or an event
# that grow side by side leave holes that no other block fits.
MAP_THRESHOLD_BYTES = 32_768
_M_MMAP_THRESHOLD = -3
# Less is left to the allocator; a trim takes some milliseconds.
MIN_FREED_BYTES = 8_000_000
TRIM_INTERVAL_S = 4.0


def keep_large_blocks_apart() -> None:
    """Have large blocks returned to the system as soon as they are freed."""
    _call("mallopt", _M_MMAP_THRESHOLD, MAP_THRESHOLD_BYTES)


def trim() -> None:
    """Free what only refers to itself, and return free memory to the system."""
    gc.collect()
    _call("malloc_trim", 0)


def _call(name: str, *arguments: int) -> None:
    """Call a function of the C library, if it has it."""
    function = getattr(ctypes.CDLL(None), name, None)
    if function is not None:
        function(*arguments)


class MemoryTrimmer:
    """Trims the memory after much of what was held has been given back.

    Args:
        budget: Owner of the memory.
        trim: Returns free memory to the system.
        clock: Returns the time of the event loop, seconds.
    """

    def __init__(
        self, budget: Budget, trim: Callable[[], None], clock: Callable[[], float]
    ) -> None:
        self._budget = budget
        self._trim = trim
        self._clock = clock
        self._trimmed_at = clock()

    def check(self) -> None:
        """Trim if much less is held than at the highest since the last trim."""
        budget, now = self._budget, self._clock()
        is_due = now - self._trimmed_at >= TRIM_INTERVAL_S
        if is_due and budget.highest - budget.n_bytes >= MIN_FREED_BYTES:
            self._trimmed_at = now
            budget.highest = budget.n_bytes
            self._trim()
