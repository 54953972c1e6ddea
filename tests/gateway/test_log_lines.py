"""What a gateway writes of requests, whatever it has to leave out."""

import os
from collections.abc import Iterator

import pytest
from absl import logging as absl_logging

from chicorylead import log_output
from chicorylead.log_output import LogOutput
from tests.gateway.fakes import KEY
from tests.gateway.test_gateway import Fleet, _reset, _run, _serve, _shed


class _Lines:
    """A log that keeps no line of ordinary operation."""

    def __init__(self) -> None:
        self._reader, writer = os.pipe()
        os.set_blocking(self._reader, False)
        self._writer = writer
        self.output: LogOutput | None = None

    def open(self) -> None:
        """Write to the log from now on; needs a running event loop."""
        self.output = LogOutput(self._writer)
        absl_logging.get_absl_logger().addHandler(self.output)

    def read(self) -> str:
        self.output.close()
        return os.read(self._reader, 1 << 20).decode()

    def close(self) -> None:
        if self.output is not None:
            absl_logging.get_absl_logger().removeHandler(self.output)
        os.close(self._reader)
        os.close(self._writer)


@pytest.fixture
def lines() -> Iterator[_Lines]:
    before = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.INFO)
    found = _Lines()
    yield found
    found.close()
    absl_logging.set_verbosity(before)


def test_lines_of_failures_are_kept_when_ordinary_ones_are_too_many(lines, monkeypatch):
    monkeypatch.setattr(log_output, "MAX_INFO_LINES_PER_S", 0)

    async def check(fleet: Fleet) -> None:
        lines.open()
        await fleet.call("/publish/a", method="POST", body=b"x")
        await fleet.call("/nothing/a")
        text = lines.read()
        assert "event=request_sent" in text and "outcome=NotRun" in text
        assert "event=request_ended" in text and "kind=not_found" in text

    _run([_shed], check)


def test_no_line_holds_a_credential(lines):
    unknown = "an-unknown-credential"

    async def check(fleet: Fleet) -> None:
        lines.open()
        for path in ("/look/a", "/publish/a", "/nothing/a"):
            await fleet.call(path, method="POST", body=b"x")
            await fleet.call(path, authorization=f"Token {unknown}")
        text = lines.read()
        assert text.count("event=request_sent") >= 2
        assert KEY not in text and unknown not in text

    _run([_serve, _reset], check)
