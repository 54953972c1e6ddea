"""Reports a router's work and usage to its peers, and merges theirs."""

import asyncio
from collections.abc import Mapping, Sequence

from chicorylead.admission.fair_share import FairShare, ShareKey, Usage
from chicorylead.ids import OrganisationId, PoolName, PromptPartId, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.outcome.crash_news import CrashNews, CrashReport
from chicorylead.outcome.poison import PoisonList
from chicorylead.outcome.poison_notice import PoisonNotice
from chicorylead.outcome.prompt_quarantine import PromptQuarantine
from chicorylead.peer.datagram import Beacon, StateDelta, UsageReport, WorkReport
from chicorylead.traffic.request import PromptPart
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.registry import Registry
from chicorylead.upstream.work import NO_WORK, Work

__all__ = ["PeerState", "work_report"]

MAX_SUSPECTS_OF_NEWS = 100  # told at once; the loss of a zone makes some dozens


class PeerState:
    """Merges the state of peers with that of this router.

    Args:
        registry: Upstreams, with the work of each router there.
        shares: Usage of organisations.
        poison: Requests under which upstreams crashed.
        quarantine: Prompt parts under which engines crashed.
    """

    def __init__(
        self,
        registry: Registry,
        shares: FairShare,
        poison: PoisonList,
        quarantine: PromptQuarantine,
        log: EventLog,
    ) -> None:
        self._registry = registry
        self._shares = shares
        self._poison = poison
        self._quarantine = quarantine
        self._log = log
        self._clock = asyncio.get_running_loop().time

    def local_work(self) -> list[WorkReport]:
        """Return this router's work where it has any, or sends that others count."""
        return [
            work_report(upstream)
            for upstream in self._registry.all()
            if _has_own_work(upstream) or _has_limited_sends(upstream)
        ]

    def is_active(self) -> bool:
        """Return whether this router has work or usage that peers should know."""
        return bool(self._shares.own()) or any(
            _has_own_work(upstream) for upstream in self._registry.all()
        )

    def local_usage(self) -> list[UsageReport]:
        """Return the usage of organisations at this router."""
        return _encode_usage(self._shares.own())

    def pop_changed_usage(self) -> list[UsageReport]:
        """Return the usage that changed since the last call."""
        return _encode_usage(self._shares.pop_changed())

    def make_crash_news(self, incarnation: int) -> CrashNews:
        """Return the news of crashes since the last call."""
        suspects = self._poison.pop_news(MAX_SUSPECTS_OF_NEWS)
        return CrashNews(incarnation, *self._quarantine.pop_news(), suspects)

    def apply_crash_news(self, peer: str, news: CrashNews) -> None:
        """Apply a peer's news of crashes."""
        self._quarantine.apply_answered(news.answered)
        self._apply_crashes(peer, news.crashes)
        self._quarantine.apply_trials(news.trials)
        self._apply_suspects(peer, news.suspects)

    def _apply_crashes(self, peer: str, crashes: Sequence[CrashReport]) -> None:
        for crash in self._quarantine.apply_crashes(crashes):
            self._log.warning(
                "crash_told",
                peer=peer,
                crash=crash.crash,
                n_parts=len(crash.parts),
                is_trial=crash.is_trial,
                age_s=crash.age_ms / 1000,
            )

    def _apply_suspects(self, peer: str, notices: Sequence[PoisonNotice]) -> None:
        for notice in notices:
            if self._poison.merge(notice):
                self._log.warning(
                    "suspect_told", peer=peer, fingerprint=notice.fingerprint
                )

    def apply_beacon(self, beacon: Beacon) -> None:
        """Replace the state of a peer by the full state in a beacon."""
        peer = beacon.presence.id
        reported = {report.upstream: report for report in beacon.work}
        for upstream in self._registry.all():
            report = reported.get(upstream.id)
            if report is not None:
                self._apply_work(upstream, peer, report)
            else:
                _clear_work(upstream, peer)
        usage = _decode_usage(beacon.usage)
        self._shares.set_peer(peer, beacon.presence.incarnation, usage)
        self._apply_crashes(peer, beacon.crashes)
        self._apply_suspects(peer, beacon.suspects)

    def apply_delta(self, peer: str, delta: StateDelta) -> None:
        """Apply changes of a peer's work and usage."""
        usage = _decode_usage(delta.usage)
        self._shares.merge_peer(peer, delta.incarnation, usage)
        self._quarantine.apply_answered(delta.answered)
        for report in delta.reports:
            upstream = self._registry.get(UpstreamId(report.work.upstream))
            if upstream is None:
                continue
            self._apply_work(upstream, peer, report.work)
            if upstream.prefixes is not None:
                parts = [PromptPart(PromptPartId(id_), n) for id_, n in report.parts]
                upstream.prefixes.record_parts(parts)

    def drop_peer(self, peer: str) -> None:
        """Remove the work of a lost peer; it ends when its connections close."""
        for upstream in self._registry.all():
            _clear_work(upstream, peer)
            upstream.intake.sends.drop_peer(peer)
        self._shares.mark_peer_lost(peer)

    def _apply_work(
        self, upstream: LiveUpstream, peer: str, report: WorkReport
    ) -> None:
        work = Work(float(report.held_tokens), report.n_requests)
        upstream.work.set_peer(peer, work)
        upstream.intake.record_peer_sent(peer, report.n_sent)
        upstream.backlog.set_peer(
            peer, report.sent_tokens, report.pending_tokens, self._clock()
        )


def work_report(upstream: LiveUpstream) -> WorkReport:
    """Return this router's work at an upstream."""
    return WorkReport(
        upstream.id,
        round(upstream.backlog.own_sent_tokens),
        round(upstream.backlog.own_pending_tokens),
        round(upstream.work.own.held_tokens),
        upstream.work.own.n_requests,
        upstream.intake.sends.own,
    )


def _has_own_work(upstream: LiveUpstream) -> bool:
    return upstream.work.own.n_requests > 0 or upstream.backlog.own_pending_tokens > 0


def _has_limited_sends(upstream: LiveUpstream) -> bool:
    return upstream.intake.limit is not None and upstream.intake.sends.own > 0


def _clear_work(upstream: LiveUpstream, peer: str) -> None:
    upstream.work.set_peer(peer, NO_WORK)
    upstream.backlog.remove_peer(peer)


def _encode_usage(usage: Mapping[ShareKey, Usage]) -> list[UsageReport]:
    return [
        UsageReport(key.pool, key.organisation, round(used.asked), round(used.admitted))
        for key, used in usage.items()
    ]


def _decode_usage(reports: Sequence[UsageReport]) -> dict[ShareKey, Usage]:
    return {
        ShareKey(PoolName(report.pool), OrganisationId(report.organisation)): Usage(
            report.asked, report.admitted
        )
        for report in reports
    }
