"""Counts what code does, as time depends on the machine."""

import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from types import FrameType

__all__ = ["Work", "measure_work"]

_ENTRIES = ("call", "c_call")
# Smaller objects, as the stack of a regular expression, are counted by the calls.
MIN_COPY_BYTES = 4096


@dataclass
class Work:
    """What a call did.

    Attributes:
        n_calls: Functions called, of Python and of libraries.
        n_bytes_copied: Memory allocated in large pieces and given back at once, bytes.
    """

    n_calls: int = 0
    n_bytes_copied: int = 0


def measure_work(function: Callable[[], object]) -> Work:
    """Call a function and count its work."""
    work = Work()

    def profile(frame: FrameType, event: str, arg: object) -> None:
        now, peak = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        if peak - now >= MIN_COPY_BYTES:
            work.n_bytes_copied += peak - now
        work.n_calls += event in _ENTRIES

    tracemalloc.start()
    sys.setprofile(profile)
    try:
        function()
    finally:
        sys.setprofile(None)
        tracemalloc.stop()
    return work
