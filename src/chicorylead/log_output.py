"""Writes log lines to standard output without ever blocking the event loop."""

import asyncio
import logging
import os
from collections import deque

__all__ = ["LogOutput"]

MAX_LINES = 20_000  # some seconds of the busiest router, about 8 MB
MAX_INFO_LINES_PER_S = 1_500  # three lines for each request of a busy router
WRITE_BYTES = 65_536  # the usual size of a pipe
RETRY_S = 0.02  # a reader that was slow has room again


class LogOutput(logging.Handler):
    """Queue lines and write them while the descriptor takes them.

    Lines of warnings and errors are dropped only when the queue is full; those of
    ordinary operation also beyond a rate. A line tells how many were dropped.

    Args:
        descriptor: Where lines are written.
    """

    def __init__(self, descriptor: int = 1) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._loop = asyncio.get_running_loop()
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._is_due = False
        self._second = 0
        self._n_in_second = 0
        self._n_dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        if not self._is_allowed(record):
            self._n_dropped += 1
            return
        if self._n_dropped:
            n_dropped, self._n_dropped = self._n_dropped, 0
            self._queue(record, f"event=log_dropped n_lines={n_dropped}")
        self._queue(record, record.getMessage())

    def close(self) -> None:
        """Write what the descriptor still takes."""
        self._write()
        super().close()

    def _is_allowed(self, record: logging.LogRecord) -> bool:
        if len(self._lines) >= MAX_LINES:
            return False
        if record.levelno >= logging.WARNING:
            return True
        second = int(self._loop.time())
        if second != self._second:
            self._second, self._n_in_second = second, 0
        self._n_in_second += 1
        return self._n_in_second <= MAX_INFO_LINES_PER_S

    def _queue(self, record: logging.LogRecord, text: str) -> None:
        level = record.levelname.lower()
        self._lines.append(f"time={record.created:.3f} level={level} {text}\n".encode())
        if not self._is_due:
            self._is_due = True
            self._loop.call_soon(self._write)

    def _write(self) -> None:
        self._is_due = False
        while self._rest or self._lines:
            while self._lines and len(self._rest) < WRITE_BYTES:
                self._rest += self._lines.popleft()
            try:
                n_written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                self._is_due = True
                self._loop.call_later(RETRY_S, self._write)
                return
            except OSError:
                # Nobody reads any more; the metrics page still tells the state.
                self._rest = b""
                self._lines.clear()
                return
            self._rest = self._rest[n_written:]
