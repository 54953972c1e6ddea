"""Logging handler that writes to standard output without blocking the event loop."""

import asyncio
import logging
import os
from collections import deque

__all__ = ["LogOutput"]

MAX_LINES = 20_000  # a few seconds on the busiest router, about 8 MB
MAX_INFO_LINES_PER_S = 1_500  # three lines per request on a busy router
WRITE_BYTES = 65_536  # usual capacity of a pipe
RETRY_S = 0.02  # time for a slow reader to make room


class LogOutput(logging.Handler):
    """Queues lines and writes them as fast as the descriptor accepts them.

    Warnings and errors are dropped only when the queue is full, lower levels also
    above a rate limit. A `log_dropped` line reports how many lines were dropped.

    Args:
        descriptor: File descriptor to write to; made non-blocking.
    """

    def __init__(self, descriptor: int = 1) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._loop = asyncio.get_running_loop()
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._is_write_scheduled = False
        self._second = 0
        self._n_in_second = 0
        self._n_dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or count it as dropped."""
        if not self._is_allowed(record):
            self._n_dropped += 1
            return
        if self._n_dropped:
            n_dropped, self._n_dropped = self._n_dropped, 0
            self._enqueue(record, f"event=log_dropped n_lines={n_dropped}")
        self._enqueue(record, record.getMessage())

    def close(self) -> None:
        """Write as much of the queue as the descriptor accepts."""
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

    def _enqueue(self, record: logging.LogRecord, text: str) -> None:
        level = record.levelname.lower()
        self._lines.append(f"time={record.created:.3f} level={level} {text}\n".encode())
        if not self._is_write_scheduled:
            self._is_write_scheduled = True
            self._loop.call_soon(self._write)

    def _write(self) -> None:
        self._is_write_scheduled = False
        while self._unwritten or self._lines:
            while self._lines and len(self._unwritten) < WRITE_BYTES:
                self._unwritten += self._lines.popleft()
            try:
                n_written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                self._is_write_scheduled = True
                self._loop.call_later(RETRY_S, self._write)
                return
            except OSError:
                # The reader is gone; the state can still be read from the metrics.
                self._unwritten = b""
                self._lines.clear()
                return
            self._unwritten = self._unwritten[n_written:]
