"""A store that falls silent for a while and never answers the calls of that time."""

import asyncio
from random import Random

import pytest

from chicorylead.gateway.follower import StreamFollower
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.platform.configuration import revision_of_configuration
from chicorylead.traffic.stream import StoreUnavailable, Stream, StreamPage


class _Store:
    """Answers one read, and fails the next after some time."""

    def __init__(self, silent_s: float) -> None:
        self._silent_s = silent_s
        self._n_reads = 0

    async def newest(self, stream: Stream) -> StreamPage:
        return StreamPage([], 0, 0)

    async def read(self, stream: Stream, start: int, wait_s: float) -> StreamPage:
        self._n_reads += 1
        if self._n_reads > 1:
            await asyncio.sleep(self._silent_s)
            raise StoreUnavailable("log-read: silent")
        return StreamPage([], 0, 0)


def _follower(store: _Store) -> StreamFollower:
    return StreamFollower(
        store,
        Stream.CONFIGURATION,
        lambda record: None,
        lambda records: None,
        lambda: True,
        lambda: None,
        revision_of_configuration,
        lambda era: None,
        EventLog(),
        Metrics(),
        Random(1),
    )


def test_the_line_of_a_lost_store_tells_when_it_was_asked_and_answered(log_capture):
    async def main() -> None:
        log_capture.open()
        task = asyncio.create_task(_follower(_Store(silent_s=0.3)).run())
        await asyncio.sleep(0.4)
        task.cancel()

    asyncio.run(main())
    (line,) = log_capture.lines("store_lost")
    assert float(line["asked_s"]) == pytest.approx(0.3, abs=0.08)
    assert float(line["answered_s"]) >= float(line["asked_s"])
