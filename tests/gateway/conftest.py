"""Fixtures of the tests of a gateway."""

import os
from collections.abc import Iterator

import pytest
from absl import logging as absl_logging

from chicorylead.log_output import LogOutput

__all__ = ["LogCapture"]


class LogCapture:
    """Captures the log output through a pipe."""

    def __init__(self) -> None:
        self._reader, writer = os.pipe()
        os.set_blocking(self._reader, False)
        self._writer = writer
        self.output: LogOutput | None = None

    def open(self) -> None:
        """Start capturing; needs a running event loop."""
        self.output = LogOutput(self._writer)
        absl_logging.get_absl_logger().addHandler(self.output)

    def read(self) -> str:
        self.output.close()
        return os.read(self._reader, 1 << 20).decode()

    def lines(self, event: str) -> list[dict[str, str]]:
        """Return the fields of the lines of an event."""
        return [
            dict(pair.split("=", 1) for pair in line.split() if "=" in pair)
            for line in self.read().splitlines()
            if f"event={event} " in line
        ]

    def close(self) -> None:
        if self.output is not None:
            absl_logging.get_absl_logger().removeHandler(self.output)
        os.close(self._reader)
        os.close(self._writer)


@pytest.fixture
def log_capture() -> Iterator[LogCapture]:
    before = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.INFO)
    capture = LogCapture()
    yield capture
    capture.close()
    absl_logging.set_verbosity(before)
