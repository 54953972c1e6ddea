"""Log lines of callers that were refused or closed, a bounded number a second."""

from collections.abc import Callable

from chicorylead.logs import EventLog
from chicorylead.memory.budget import CallerEnd

__all__ = ["CallerEndLog"]

# A crowd is ended in one moment; its first lines tell what it does.
MAX_LINES_PER_S = 20


class CallerEndLog:
    """Writes one line for each caller; those beyond the rate are counted.

    Args:
        log: The log.
        clock: Returns the time of the event loop, seconds.
    """

    def __init__(self, log: EventLog, clock: Callable[[], float]) -> None:
        self._log = log
        self._clock = clock
        self._second = 0
        self._n_lines = 0
        self._n_skipped = 0

    def write(self, end: CallerEnd) -> None:
        """Write who was ended, why, and how much it held."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._n_lines = second, 0
        self._n_lines += 1
        if self._n_lines > MAX_LINES_PER_S:
            self._n_skipped += 1
            return
        n_skipped, self._n_skipped = self._n_skipped, 0
        self._log.warning(
            "caller_ended",
            caller=end.caller,
            reason=end.reason,
            n_bytes=end.n_bytes,
            n_total=end.n_total,
            n_skipped=n_skipped,
        )
