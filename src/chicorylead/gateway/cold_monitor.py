"""Finds out whether upstreams that started again are cold, and tells the peers.

Load pattern: an upstream crashes and is back before its next entry reaches the routers.
The first router that notices tells the others within milliseconds. A health response
tells how long the upstream stays cold; as these are billed, one router asks for it.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from chicorylead.admission.cold_shares import ColdShares
from chicorylead.http_client import HttpClient
from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.peer.datagram import ColdReport
from chicorylead.platform.upstream_wire import decode_cold_left_s
from chicorylead.upstream.connection import Failure
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.registry import Registry

__all__ = ["ColdMonitor"]

HEALTH_TIMEOUT_S = 0.5  # a live upstream answers within a few milliseconds
MAX_HEALTH_BYTES = 65_536  # what counts is in the head
HEALTH_INTERVAL_S = 5.0  # to each upstream
NEWS_S = 1.5  # three claims: a router that misses all of them notices by itself


@dataclass(frozen=True, slots=True)
class _Observed:
    """What this router has observed, for its peers.

    Attributes:
        until: Event-loop time until which the upstream is cold, seconds.
        at: Event-loop time of the observation, seconds.
    """

    born_ms: int
    until: float
    at: float


class ColdMonitor:
    """Handles starts of upstreams that their connections show.

    Args:
        registry: Live upstreams.
        shares: Divides what cold upstreams tolerate.
        health_path: Returns the path of a service's health requests.

    Attributes:
        shares: Divides what cold upstreams tolerate.
        on_news: Called when there is news for the peers.
    """

    def __init__(
        self,
        registry: Registry,
        shares: ColdShares,
        health_path: Callable[[ServiceName], str | None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.shares = shares
        self.on_news: Callable[[], None] = lambda: None
        self._registry = registry
        self._health_path = health_path
        self._log = log
        self._metrics = metrics
        self._clock = asyncio.get_running_loop().time
        self._observed: dict[UpstreamId, _Observed] = {}
        self._asked_at: dict[UpstreamId, float] = {}
        self._checks: set[asyncio.Task[None]] = set()
        registry.on_started = self.handle_started

    def handle_started(self, upstream: LiveUpstream) -> None:
        """Handle an upstream that accepts connections again.

        Connections that broke may have a cause on the way, so that only refused ones
        are told to the peers, and each router asks for itself.
        """
        warm_up = upstream.intake.warm_up
        self._log_cold(upstream, warm_up.source)
        if warm_up.source == "refused":
            self._tell(upstream, self._clock())
        if warm_up.source != "refused" or self.shares.is_first(upstream):
            self._ask(upstream)

    # -- peers

    def reports(self) -> list[ColdReport]:
        """Return what was observed lately."""
        if not self._observed:
            return []
        now = self._clock()
        self._observed = {
            upstream: observed
            for upstream, observed in self._observed.items()
            if now - observed.at < NEWS_S
        }
        return [
            ColdReport(
                upstream,
                observed.born_ms,
                round(1000 * max(0.0, observed.until - now)),
                round(1000 * (now - observed.at)),
            )
            for upstream, observed in self._observed.items()
        ]

    def apply_reports(self, peer: str, reports: Sequence[ColdReport]) -> None:
        """Apply what a peer has observed."""
        now = self._clock()
        for report in reports:
            upstream = self._registry.get(UpstreamId(report.upstream))
            if upstream is None or upstream.entry.born_ms != report.born_ms:
                continue
            left_s, age_s = max(0, report.left_ms) / 1000, max(0, report.age_ms) / 1000
            if not upstream.intake.warm_up.apply_from_peer(left_s, age_s, now):
                continue
            self._log_cold(upstream, peer)
            if left_s > 0 and self.shares.is_first(upstream):
                self._ask(upstream)

    def _tell(self, upstream: LiveUpstream, now: float) -> None:
        entry, until = upstream.entry, upstream.intake.warm_up.until
        self._observed[entry.id] = _Observed(entry.born_ms, until, now)
        self.on_news()

    # -- health

    def _ask(self, upstream: LiveUpstream) -> None:
        now = self._clock()
        path = self._health_path(upstream.entry.service)
        asked_at = self._asked_at.get(upstream.id, float("-inf"))
        if path is None or now - asked_at < HEALTH_INTERVAL_S:
            return
        since = now - HEALTH_INTERVAL_S
        self._asked_at = {key: at for key, at in self._asked_at.items() if at > since}
        self._asked_at[upstream.id] = now
        check = asyncio.ensure_future(self._check(upstream, path))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, upstream: LiveUpstream, path: str) -> None:
        entry = upstream.entry
        client = HttpClient(MAX_HEALTH_BYTES)
        try:
            response = await client.get(
                (entry.host, entry.port), path, {}, HEALTH_TIMEOUT_S
            )
        except Failure as exc:
            self._metrics.count("upstream.health", outcome="failed")
            self._log.info("upstream_health", upstream=entry.id, detail=exc)
            return
        finally:
            await client.close()
        left_s = decode_cold_left_s(response.headers)
        outcome = "unknown" if left_s is None else "cold" if left_s else "warm"
        self._metrics.count("upstream.health", outcome=outcome)
        if left_s is None:
            self._log.info("upstream_health", upstream=entry.id, detail="not told")
            return
        upstream.intake.warm_up.apply_health(left_s, self._clock())
        self._log_cold(upstream, "health")
        self._tell(upstream, self._clock())

    async def close(self) -> None:
        """Cancel the health requests under way."""
        for check in self._checks:
            check.cancel()
        await asyncio.gather(*self._checks, return_exceptions=True)

    def _log_cold(self, upstream: LiveUpstream, source: str) -> None:
        warm_up = upstream.intake.warm_up
        self._metrics.count("upstream.cold", source=warm_up.source)
        self._log.info(
            "upstream_cold",
            upstream=upstream.id,
            born_ms=upstream.entry.born_ms,
            source=source,
            left_s=warm_up.left_s(self._clock()),
            per_s=warm_up.rule.per_s,
        )
