"""Records what upstreams state about the work that they take, and tells peers.

Load pattern: an upstream in need tells the routers that happen to send to it, one after
the other, while the others go on as before. What one router is told reaches the others
within milliseconds.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from chicorylead.ids import UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.peer.datagram import NoticeReport
from chicorylead.upstream.intake import Intake, IntakeChange
from chicorylead.upstream.intakes import Intakes, UpstreamIncarnation
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.notice import Notice

__all__ = ["NoticeRecorder"]

# Three heartbeats: until its next answer, a router that misses a notice sends too much.
NEWS_S = 0.4


@dataclass(frozen=True, slots=True)
class _News:
    """A statement that peers may not know.

    Attributes:
        sent_at: Event-loop time at which the request was sent, seconds.
        answered_at: Event-loop time at which the answer began, seconds.
    """

    notice: Notice
    sent_at: float
    answered_at: float


class NoticeRecorder:
    """Applies the statements of upstreams, logs what is news and keeps it for peers.

    Args:
        intakes: What each incarnation of an upstream takes.

    Attributes:
        on_urgent_news: Called when there is news that peers should learn at once: an
            upstream leaves, or names a limit, or none any more.
    """

    def __init__(self, intakes: Intakes, log: EventLog, metrics: Metrics) -> None:
        self._intakes = intakes
        self._log = log
        self._metrics = metrics
        self._clock = asyncio.get_running_loop().time
        self._news: dict[UpstreamIncarnation, _News] = {}
        self.on_urgent_news: Callable[[], None] = lambda: None

    def record(self, upstream: LiveUpstream, notice: Notice, sent_at: float) -> None:
        """Record the statements of an answer that begins now.

        Args:
            upstream: The upstream that answers.
            notice: Its statements.
            sent_at: Event-loop time at which the request was sent, seconds.
        """
        now = self._clock()
        previous = upstream.intake.limit_per_s
        change = upstream.intake.apply(notice, sent_at, now)
        if not change:
            return
        entry = upstream.entry
        incarnation = UpstreamIncarnation(entry.id, entry.born_ms)
        self._log_change(incarnation, notice, previous, change, "answer")
        if change.leaving:
            upstream.close_idle()
        self._news[incarnation] = _News(notice, sent_at, now)
        # Other news goes out with the next heartbeat: limits may change all the time.
        is_limited = upstream.intake.limit is not None
        if change.leaving or is_limited != (previous is not None):
            self.on_urgent_news()

    # -- peers

    def news(self) -> list[NoticeReport]:
        """Return the statements of the last moments."""
        now = self._clock()
        self._news = {
            incarnation: news
            for incarnation, news in self._news.items()
            if now - news.answered_at < NEWS_S
        }
        return [_report(key, news, now) for key, news in self._news.items()]

    def current(self) -> list[NoticeReport]:
        """Return the statements that hold, for a router that has just started."""
        now = self._clock()
        return [
            _report(incarnation, _standing_news(intake, now), now)
            for incarnation, intake in self._intakes.listed()
            if intake.limit is not None or intake.is_leaving
        ]

    def apply_reports(self, peer: str, reports: Sequence[NoticeReport]) -> None:
        """Apply what upstreams stated in answers to a peer."""
        now = self._clock()
        for report in reports:
            incarnation = UpstreamIncarnation(
                UpstreamId(report.upstream), report.born_ms
            )
            intake = self._intakes.get(incarnation)
            notice = Notice(
                report.limit_per_s,
                report.has_limit_statement,
                report.is_leaving,
                report.pause_ms / 1000,
            )
            previous = intake.limit_per_s
            change = intake.apply_from_peer(
                notice,
                sent_at=now - report.sent_age_ms / 1000,
                answered_at=now - report.age_ms / 1000,
            )
            if change:
                self._log_change(incarnation, notice, previous, change, peer)

    # -- log

    def _log_change(
        self,
        incarnation: UpstreamIncarnation,
        notice: Notice,
        previous_limit: float | None,
        change: IntakeChange,
        source: str,
    ) -> None:
        for kind in ("limit", "leaving", "pause"):
            if getattr(change, kind):
                self._metrics.count("upstream.notices", kind=kind)
        self._log.info(
            "upstream_notice",
            upstream=incarnation.upstream,
            born_ms=incarnation.born_ms,
            source=source,
            limit_per_s=notice.limit_per_s,
            previous_limit=previous_limit,
            leaving=notice.is_leaving,
            pause_s=notice.pause_s,
        )


def _standing_news(intake: Intake, now: float) -> _News:
    if intake.limit is None:
        return _News(Notice(None, False, intake.is_leaving), now, now)
    notice = Notice(intake.limit.per_s, is_leaving=intake.is_leaving)
    return _News(notice, intake.named_at, intake.named_at)


def _report(incarnation: UpstreamIncarnation, news: _News, now: float) -> NoticeReport:
    notice = news.notice
    return NoticeReport(
        upstream=incarnation.upstream,
        born_ms=incarnation.born_ms,
        limit_per_s=notice.limit_per_s,
        has_limit_statement=notice.has_limit_statement,
        is_leaving=notice.is_leaving,
        pause_ms=round(1000 * notice.pause_s),
        sent_age_ms=round(1000 * (now - news.sent_at)),
        age_ms=round(1000 * (now - news.answered_at)),
    )
