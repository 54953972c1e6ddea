"""Keeps the news of crashes in the store, for the loss of all routers that know it.

Load pattern: a few crashes of upstreams a day, each noticed by some dozens of routers;
when a zone is lost, hundreds within a second, at all routers. A router appends its news
at once and then seldom enough for the store. Nothing waits for the log: requests run
before it is read, and routers tell each other the same news sooner.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from itertools import islice
from random import Random
from typing import Protocol

from msgspec.structs import replace

from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.crash_news import CrashNews, LoggedCrashes, replay
from chicorylead.traffic.stream import StoreUnavailable, StreamTrimmed

__all__ = ["CrashJournal"]

MAX_QUEUED = 100  # news that is kept while the store is away; the newest matter most
NEWS_PER_RECORD = 10  # of usual size, a tenth of the store's limit for a record
NEWS_TTL_S = 600.0  # as long as a block; also ends the appends of what is refused
APPEND_INTERVAL_S = 1.0
MAX_APPENDS_PER_S = 50.0  # of the whole fleet: an eighth of what the store takes
RETRY_MIN_S = 1.0
RETRY_MAX_S = 4.0


class LogOfCrashes(Protocol):
    """The log of crashes."""

    async def append(self, items: Sequence[LoggedCrashes]) -> None:
        """Append news as one record.

        Raises:
            StoreUnavailable: The store gave no usable response.
        """

    async def read(self) -> list[LoggedCrashes]:
        """Return the news that was appended since the last call.

        Raises:
            StoreUnavailable: The store gave no usable response.
        """


class CrashJournal:
    """Appends the news of crashes to the log, and reads the log after a start.

    Args:
        crash_log: The log.
        apply: Applies what still holds of the news in the log.
        n_routers: Returns the number of routers that serve.
        started_ms: Wall-clock time of the start, milliseconds.
        rng: Source of the pauses between calls.
    """

    def __init__(
        self,
        crash_log: LogOfCrashes,
        apply: Callable[[CrashNews], None],
        n_routers: Callable[[], int],
        started_ms: int,
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._crash_log = crash_log
        self._apply = apply
        self._n_routers = n_routers
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._zero_ms = started_ms - self._clock() * 1000
        self._queue: deque[LoggedCrashes] = deque(maxlen=MAX_QUEUED)
        self._has_news = asyncio.Event()

    def _now_ms(self) -> int:
        return round(self._zero_ms + self._clock() * 1000)

    def add(self, news: CrashNews) -> None:
        """Queue news of this router."""
        if not news.crashes and not news.answered and not news.suspects:
            return
        if len(self._queue) == MAX_QUEUED:
            self._metrics.count("crash_log.dropped")
        lasting = replace(news, trials=[])
        self._queue.append(LoggedCrashes(self._now_ms(), lasting))
        self._has_news.set()

    async def read(self) -> None:
        """Read the log once, as soon as the store answers."""
        retry_s = RETRY_MIN_S
        while True:
            try:
                logged = await self._crash_log.read()
                break
            except (StoreUnavailable, StreamTrimmed) as exc:
                self._report_error("read", exc)
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(RETRY_MAX_S, 2 * retry_s)
        news = replay(logged, self._now_ms())
        self._apply(news)
        self._log.info(
            "crash_log_read",
            n_logged=len(logged),
            n_crashes=len(news.crashes),
            n_suspects=len(news.suspects),
        )

    async def write(self) -> None:
        """Append the news of this router as it comes."""
        retry_s = RETRY_MIN_S
        while True:
            await self._has_news.wait()
            # After an error one by one, as a single one may be what the store refuses.
            limit = NEWS_PER_RECORD if retry_s == RETRY_MIN_S else 1
            items = list(islice(self._queue, limit))
            try:
                await self._crash_log.append(items)
            except (StoreUnavailable, StreamTrimmed) as exc:
                self._report_error("append", exc)
                await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
                retry_s = min(RETRY_MAX_S, 2 * retry_s)
                self._drop_expired()
                continue
            retry_s = RETRY_MIN_S
            self._remove(items)
            interval_s = self._n_routers() / MAX_APPENDS_PER_S
            await asyncio.sleep(max(APPEND_INTERVAL_S, interval_s))

    def _remove(self, items: Sequence[LoggedCrashes]) -> None:
        # While they were appended, newer ones may have displaced some of them.
        for item in items:
            if self._queue and self._queue[0] is item:
                self._queue.popleft()
        if not self._queue:
            self._has_news.clear()

    def _drop_expired(self) -> None:
        since_ms = self._now_ms() - NEWS_TTL_S * 1000
        self._remove([item for item in self._queue if item.at_ms < since_ms])

    def _report_error(self, call: str, exc: Exception) -> None:
        self._metrics.count("crash_log.errors", call=call)
        self._log.warning("crash_log_failed", call=call, reason=exc)
