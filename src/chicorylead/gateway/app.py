"""The gateway: builds, starts, drains and stops its components."""

import asyncio
import resource
import signal
from collections.abc import Callable, Sequence
from random import Random

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.routing import Router as PathRouter

from chicorylead.admission.cold_shares import ColdBounds, ColdShares
from chicorylead.admission.fair_share import FairShare
from chicorylead.admission.permits import Permits
from chicorylead.application import Application
from chicorylead.errors import Refusal
from chicorylead.gateway.admission import AdmissionController
from chicorylead.gateway.cold_monitor import ColdMonitor
from chicorylead.gateway.crash_journal import CrashJournal
from chicorylead.gateway.crash_monitor import CrashMonitor
from chicorylead.gateway.directory import Directory
from chicorylead.gateway.eligibility import Eligibility
from chicorylead.gateway.evacuator import Evacuator
from chicorylead.gateway.follower import (
    OnRecord,
    OnSnapshot,
    Replaces,
    Revision,
    StreamFollower,
)
from chicorylead.gateway.forward import Forwarder
from chicorylead.gateway.ingress import Ingress
from chicorylead.gateway.local_router import GatewayRouter
from chicorylead.gateway.notices import NoticeRecorder
from chicorylead.gateway.peer_records import PeerRecords
from chicorylead.gateway.peer_state import PeerState, work_report
from chicorylead.gateway.prompt_trials import PromptTrials
from chicorylead.gateway.records_age import RecordsAge
from chicorylead.gateway.serving_routers import ServingRouters
from chicorylead.gateway.settings import GatewaySettings
from chicorylead.gateway.stream_journal import StreamJournal
from chicorylead.gateway.stream_witnesses import StreamWitnesses
from chicorylead.http_protocol import HttpLimits
from chicorylead.http_server import HttpServer
from chicorylead.ids import RegionName, RouterId, ServiceName, ZoneName
from chicorylead.logs import EventLog
from chicorylead.memory.allocator import (
    MemoryTrimmer,
    keep_large_blocks_apart,
    trim,
)
from chicorylead.memory.budget import Budget, CallerEnd, size_limits
from chicorylead.memory.end_log import CallerEndLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.poison import PoisonList
from chicorylead.outcome.prompt_quarantine import PromptQuarantine
from chicorylead.outcome.stream_origins import StreamOrigins
from chicorylead.peer.membership import Peer
from chicorylead.peer.protocol import PeerProtocol
from chicorylead.platform.configuration import (
    decode_configuration,
    revision_of_configuration,
)
from chicorylead.platform.operator_records import (
    evacuated_zone,
    is_configuration,
    is_evacuation,
)
from chicorylead.platform.plain_log import CrashLog, StreamLog
from chicorylead.platform.registry import decode_upstream, revision_of_upstream
from chicorylead.platform.store import StoreClient
from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.traffic.evacuation import Evacuations
from chicorylead.traffic.model import CallerLimits, Configuration
from chicorylead.traffic.request import PromptPart
from chicorylead.traffic.stream import (
    KnownOperatorRecords,
    KnownRecords,
    Stream,
    StreamRecord,
)
from chicorylead.upstream.intakes import Intakes
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.registry import Registry
from chicorylead.vm.rendezvous import pick

__all__ = ["Gateway"]

# Callers keep using an address for a few seconds after it is withdrawn.
DRAIN_SERVE_S = 2.5
# Fraction of the shutdown time, so that the process ends before it is killed.
DRAIN_END_FRACTION = 0.85
SHARES_LOG_INTERVAL_S = 1.0  # a quarter of the default window of shares
IDLE_SWEEP_INTERVAL_S = 1.0  # keep-alive times are whole seconds
METRICS_PATH = "/metrics"
# Refused callers retry on new connections and leave the old ones open. A process has a
# few thousand file descriptors, and each connection takes 10 kB.
MAX_KEPT_CONNECTIONS = 1_500
NS_PER_MS = 1_000_000
MAX_KEY_LOGGED = 60
# Of a VM whose settings do not tell.
DEFAULT_MEMORY_MB = 512.0
NO_FD_LIMIT = 1 << 20


class Gateway:
    """One router on the platform.

    Args:
        cfg: Settings.
        incarnation: Wall-clock time of the start, nanoseconds.
        read_settings: Reads the settings again.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        incarnation: int,
        read_settings: Callable[[], GatewaySettings],
    ) -> None:
        self._cfg = cfg
        self._read_settings = read_settings
        self._incarnation = incarnation
        rng = Random(f"{cfg.seed}/{cfg.id}/{incarnation}")
        self._clock = asyncio.get_running_loop().time
        self.log = EventLog(router=cfg.id)
        self._metrics = Metrics()
        self.app = Application(
            self.log,
            lambda name: self._metrics.count("task.failures", task=name),
        )
        self._configuration: Configuration | None = None
        self._is_draining = False
        self._is_refusing = False
        self._store = StoreClient(*cfg.store)
        self._intakes = Intakes(self._clock)
        self._registry = Registry(
            decode_upstream,
            decode_answer,
            self._intakes,
            self._outage_ended_at,
            self.log,
            self._metrics,
        )
        self._serving = ServingRouters(cfg, self._live_peers, self._clock, self.log)
        self._records_age = RecordsAge(
            lambda: self._followers.values(), self._clock, rng
        )
        self._followers = {
            Stream.CONFIGURATION: self._make_follower(
                Stream.CONFIGURATION,
                self._apply_operator_record,
                lambda _: None,
                revision_of_configuration,
                lambda _, is_later: not is_later,
                rng,
                is_evacuation,
            ),
            Stream.UPSTREAMS: self._make_follower(
                Stream.UPSTREAMS,
                self._registry.apply_record,
                self._registry.apply_snapshot,
                revision_of_upstream,
                self._registry.replaces,
                rng,
            ),
        }
        self._evacuations = Evacuations()
        self._evacuator = Evacuator(
            self._evacuations,
            self._registry,
            self._known_zones,
            self._describe_source,
            self.log,
            self._metrics,
        )
        self._shares = FairShare(cfg.bounds.share_window_s, self._clock)
        self._poison = PoisonList(rng)
        self._quarantine = PromptQuarantine(cfg.id)
        self._cold = ColdMonitor(
            self._registry,
            ColdShares(
                cfg.id,
                lambda: self._peers.heard_routers(),
                ColdBounds(cfg.bounds.cold_overshoot, cfg.bounds.cold_slack),
                self._clock,
            ),
            self._health_path,
            self.log,
            self._metrics,
        )
        self._notices = NoticeRecorder(self._intakes, self.log, self._metrics)
        self._peer_state = PeerState(
            self._registry, self._shares, self._poison, self._quarantine, self.log
        )
        self._directory = Directory(
            cfg,
            self._serving,
            self._home_regions_at,
            lambda peers: self._peers.confirm(peers),
        )
        self._peer_records = PeerRecords(
            self._followers,
            self._known_records,
            self._live_peers,
            cfg.zone,
            self.log,
            self._metrics,
        )
        self._router = GatewayRouter(
            cfg,
            incarnation,
            self._peer_state,
            self._serving,
            self._records_age,
            self._poison,
            self._quarantine,
            self._notices,
            self._cold,
            self._known_records,
            self._peer_records.wake,
            self._clock,
        )
        self._peers = PeerProtocol(
            incarnation,
            cfg.zone,
            cfg.peers,
            cfg.seeds,
            self._router,
            self._clock,
            self.log,
            self._metrics,
            rng,
        )
        self._serving.is_confirmed = self._peers.is_confirmed
        self._notices.on_urgent_news = self._peers.queue_notices
        self._cold.on_news = self._peers.queue_claims
        self._quarantine.on_news = self._peers.queue_crash_news
        self._poison.on_news = self._peers.queue_crash_news
        self._crash_journal = CrashJournal(
            CrashLog(self._store, self.log),
            lambda news: self._peer_state.apply_crash_news("store", news),
            lambda: 1 + len(self._peers.state_peers()),
            incarnation // NS_PER_MS,
            self.log,
            self._metrics,
            rng,
        )
        self._router.on_crash_news = self._crash_journal.add
        origins = StreamOrigins(self._clock)
        witnesses = StreamWitnesses(
            origins,
            self._live_peers,
            self._peers.heard_routers,
            self._peers.send_streams,
            self._clock,
            self._metrics,
        )
        self._router.on_streams = witnesses.handle
        self._journal = StreamJournal(
            origins,
            witnesses,
            self._registry,
            self._followers[Stream.UPSTREAMS],
            StreamLog(self._store, self.log),
            lambda: 1 + len(self._peers.state_peers()),
            incarnation // NS_PER_MS,
            self.log,
            self._metrics,
        )
        self._permits = Permits(
            cfg.id, self._state_peer_ids, self._cold.shares, self._clock
        )
        admission = AdmissionController(
            self._registry,
            self._shares,
            self._permits,
            self._shortest_objective_s,
            self.log,
            rng,
            Eligibility(self._evacuations, cfg.regions, self.log, self._metrics),
        )
        forwarder = Forwarder(
            admission,
            self._poison,
            PromptTrials(self._quarantine, self.log, self._metrics, rng),
            CrashMonitor(
                self._poison,
                self._quarantine,
                self._is_chosen,
                self.log,
                self._metrics,
            ),
            self._notices,
            self._journal,
            cfg.bounds,
            self._queue_report,
            lambda: 1 + len(self._peers.state_peers()),
            self.log,
            self._metrics,
        )
        self._ingress = Ingress(
            forwarder,
            self._journal,
            lambda: self._configuration,
            self._should_close,
            lambda: self._is_refusing,
            lambda: self._serving.arrivals.record(self._clock()),
            self.log,
            self._metrics,
            rng,
        )
        self._http_limits = _http_limits(CallerLimits())
        self._caller_log = CallerEndLog(self.log, self._clock)
        self._budget = Budget(
            size_limits(cfg.memory_mb or DEFAULT_MEMORY_MB, cfg.max_fds or _max_fds()),
            self._clock,
            self._record_caller_end,
        )
        self._trimmer = MemoryTrimmer(self._budget, trim, self._clock)
        self._caller_server = HttpServer(
            self._ingress,
            *cfg.callers,
            budget=self._budget,
            limits=lambda: self._http_limits,
        )
        self._internal_server = HttpServer(
            PathRouter(
                [
                    *self._directory.routes(),
                    *self._peer_records.routes(),
                    Route(METRICS_PATH, self._serve_metrics),
                ]
            ),
            *cfg.readiness,
            extra_addresses=[cfg.directory, cfg.control, cfg.metrics],
            budget=self._budget,
            limits=lambda: self._http_limits,
        )
        self._register_lifecycle()

    def _make_follower(
        self,
        stream: Stream,
        on_record: OnRecord,
        on_snapshot: OnSnapshot,
        revision: Revision,
        replaces: Replaces,
        rng: Random,
        is_kept: Callable[[str], bool] = lambda key: False,
    ) -> StreamFollower:
        return StreamFollower(
            self._store,
            stream,
            on_record,
            on_snapshot,
            lambda: self._serving.is_reader() or self._records_age.is_too_high,
            lambda: self._peers.send_heartbeats(),
            revision,
            replaces,
            self._handle_era,
            self._records_age.check_due_s,
            self.log,
            self._metrics,
            rng,
            is_kept,
        )

    def _register_lifecycle(self) -> None:
        self.app.add(stop=self._store.close)
        self.app.add(stop=self._cold.close)
        self.app.add(stop=self._peer_records.close)
        self.app.add(start=self._peers.start, stop=self._peers.stop)
        self.app.add(start=self._start_tasks)
        self.app.add(
            start=self._internal_server.start,
            stop=lambda: self._internal_server.stop(0.1),
        )
        self.app.add(
            start=self._caller_server.start, stop=lambda: self._caller_server.stop(0.1)
        )

    async def _start_tasks(self) -> None:
        for stream, follower in self._followers.items():
            self.app.spawn(follower.run, f"follow_{stream.value}")
        self.app.spawn(self._peers.run, "beacons")
        self.app.spawn(self._peer_records.run, "peer_records")
        self.app.spawn(self._journal.run, "stream_journal")
        self.app.spawn(self._crash_journal.read, "crash_log_reads")
        self.app.spawn(self._crash_journal.write, "crash_log_appends")
        self.app.spawn(self._close_stale_connections, "idle_connections")
        self.app.spawn(self._log_shares, "shares")
        self.log.info(
            "gateway_started",
            zone=self._cfg.zone,
            callers=self._cfg.callers,
            incarnation=self._incarnation,
        )

    # -- life cycle

    async def run(self) -> None:
        """Run until a termination signal, then drain."""
        keep_large_blocks_apart()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.app.run(self.drain)

    def _reload(self) -> None:
        """Check changed settings; addresses and bounds apply at the next start."""
        try:
            cfg = self._read_settings()
        except Refusal as exc:
            self.log.error("reload_failed", reason=exc.detail)
            return
        self.log.info("reload", changed=cfg != self._cfg)

    async def drain(self) -> None:
        """Shut down without interrupting a request.

        The address of this router is withdrawn at once. Requests that still arrive are
        served for a few seconds; then the router stops listening and completes those
        in flight.
        """
        started = self._clock()
        self.log.info("drain_begins", in_flight=self._ingress.n_in_flight)
        self._is_draining = True
        self._update_readiness()
        self._journal.hand_over()
        ends_at = started + DRAIN_END_FRACTION * self._cfg.bounds.shutdown_s
        await asyncio.sleep(DRAIN_SERVE_S)
        self._is_refusing = True
        await self._caller_server.stop(grace_s=max(0.0, ends_at - self._clock()))
        self.log.info(
            "drain_ends",
            in_flight=self._ingress.n_in_flight,
            took_s=self._clock() - started,
        )

    def _should_close(self) -> bool:
        """Return whether to close connections after their answers."""
        return (
            self._is_draining
            or self._caller_server.n_connections > MAX_KEPT_CONNECTIONS
        )

    def _record_caller_end(self, end: CallerEnd) -> None:
        self._metrics.count("callers.ended", reason=end.reason.value)
        self._caller_log.write(end)

    @property
    def n_upstreams(self) -> int:
        """Return the number of upstreams that are listed."""
        return len(list(self._registry.all()))

    async def _close_stale_connections(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SWEEP_INTERVAL_S)
            self._budget.poll()
            self._trimmer.check()
            for upstream in list(self._registry.all()):
                upstream.close_stale()

    async def _log_shares(self) -> None:
        """Log at intervals the shares of organisations as this router sees them."""
        while True:
            await asyncio.sleep(SHARES_LOG_INTERVAL_S)
            for level in self._shares.levels():
                self.log.info(
                    "share_level",
                    pool=level.pool,
                    level=level.level,
                    asked=level.asked,
                    admitted=level.admitted,
                    n_organisations=level.n_organisations,
                    n_peers=level.n_peers,
                    usage_age_s=level.usage_age_s,
                )
            for upstream in self._registry.all():
                self._log_limit(upstream)
                self._log_cold(upstream)

    def _log_cold(self, upstream: LiveUpstream) -> None:
        intake, now = upstream.intake, self._clock()
        if not intake.warm_up.is_cold(now):
            return
        entry, rule = upstream.entry, intake.warm_up.rule
        part = self._cold.shares.part(entry.service, upstream.id_hash, rule)
        self.log.info(
            "upstream_warming",
            upstream=upstream.id,
            source=intake.warm_up.source,
            left_s=intake.warm_up.left_s(now),
            per_s=rule.per_s,
            n_permits=part.n_permits,
            window_s=part.window_s,
            fraction=self._cold.shares.fraction(),
            n_own_recent=intake.sends.n_own_recent(now),
            n_recent=intake.sends.n_recent(now),
        )

    def _log_limit(self, upstream: LiveUpstream) -> None:
        intake = upstream.intake
        if intake.limit is None:
            return
        now = self._clock()
        self.log.info(
            "upstream_limit",
            upstream=upstream.id,
            limit_per_s=intake.limit.per_s,
            named_s=now - intake.named_at,
            load_ratio=intake.limit.load_ratio,
            n_recent=intake.sends.n_recent(now),
            n_own_recent=intake.sends.n_own_recent(now),
            wait_s=self._permits.wait_s(upstream, 0.0),
        )

    # -- records of the operator

    def _apply_operator_record(self, record: StreamRecord) -> None:
        zone = evacuated_zone(record.key)
        if zone is not None:
            self._evacuator.apply(zone, record)
        elif is_configuration(record.key):
            self._apply_configuration(record)
        else:
            self._metrics.count("operator_records.unknown")
            self.log.warning(
                "operator_record_unknown",
                key=record.key[:MAX_KEY_LOGGED],
                era=record.era,
                offset=record.offset,
            )

    def _apply_configuration(self, record: StreamRecord) -> None:
        if record.value is None:
            return
        try:
            cfg = decode_configuration(record.value)
        except ValueError as exc:
            self.log.error("configuration_malformed", offset=record.offset, reason=exc)
            return
        known = self._configuration
        if known is not None and cfg.version <= known.version:
            self.log.info(
                "configuration_old",
                version=cfg.version,
                era=record.era,
                offset=record.offset,
                in_force=known.version,
            )
            return
        self._configuration = cfg
        self._http_limits = _http_limits(cfg.limits)
        self._registry.apply_configuration(cfg)
        for fault in cfg.faults:
            self.log.warning("configuration_fault", version=cfg.version, ignored=fault)
        self._update_readiness()
        self.log.info(
            "configuration_in_force",
            version=cfg.version,
            era=record.era,
            offset=record.offset,
            **self._describe_source(),
            n_operations=len(cfg.operations),
            n_organisations=len(cfg.organisations or ()),
            tokens_per_s=cfg.limits.tokens_per_s,
        )

    def _describe_source(self) -> dict[str, object]:
        """Return where the operator's records came from, and how old they are."""
        return {
            "source": self._followers[Stream.CONFIGURATION].source,
            "behind_s": self._peer_records.behind_s(Stream.CONFIGURATION),
            "records_age_s": self._records_age.seconds(),
        }

    def _known_zones(self) -> set[ZoneName]:
        """Return the zones in which a VM or an upstream is known."""
        upstreams = {upstream.entry.zone for upstream in self._registry.all()}
        peers = {ZoneName(peer.presence.zone) for peer in self._live_peers()}
        return {self._cfg.zone, *upstreams, *peers}

    def _home_regions_at(self, host: str) -> frozenset[RegionName]:
        cfg = self._configuration
        return cfg.home_regions_at(host) if cfg is not None else frozenset()

    def _handle_era(self, era: int) -> None:
        for follower in self._followers.values():
            follower.handle_era(era)

    async def _serve_metrics(self, req: Request) -> Response:
        return Response(self._metrics.render(), media_type="text/plain; version=0.0.4")

    def _update_readiness(self) -> None:
        is_ready = self._configuration is not None and not self._is_draining
        if is_ready != self._serving.is_ready:
            self._serving.is_ready = is_ready
            self._serving.handle_change()
            self.log.info("readiness", ready=is_ready)
            self._peers.announce()

    def _shortest_objective_s(self, service: ServiceName) -> float:
        cfg = self._configuration
        return cfg.shortest_objective_s(service) if cfg is not None else 0.0

    def _health_path(self, service: ServiceName) -> str | None:
        cfg = self._configuration
        known = cfg.services.get(service) if cfg is not None else None
        return known.health_path if known is not None else None

    def _outage_ended_at(self) -> float:
        """Return when the store was back after its last outage, seconds."""
        return self._followers[Stream.UPSTREAMS].outage_ended_at

    # -- peers

    def _state_peer_ids(self) -> list[RouterId]:
        return [RouterId(peer.presence.id) for peer in self._peers.state_peers()]

    def _is_chosen(self, key: str) -> bool:
        """Return whether this router is the one of all that serve to do a thing."""
        return pick(key, [self._cfg.id, *self._state_peer_ids()]) == self._cfg.id

    def _live_peers(self) -> list[Peer]:
        return self._peers.live()

    def _known_records(self) -> KnownRecords:
        cfg = self._configuration
        version = cfg.version if cfg is not None else 0
        end = self._followers[Stream.CONFIGURATION].end
        operator = KnownOperatorRecords(*end, self._evacuations.checksum)
        return KnownRecords(version, *self._followers[Stream.UPSTREAMS].end, operator)

    def _queue_report(
        self, upstream: LiveUpstream, parts: Sequence[PromptPart]
    ) -> None:
        reported = [(part.id, part.n_tokens) for part in parts]
        self._peers.queue_report(work_report(upstream), reported)


def _http_limits(limits: CallerLimits) -> HttpLimits:
    # A limit that is not positive would close all connections.
    default = CallerLimits()
    return HttpLimits(
        head_bytes=limits.head_bytes or default.head_bytes,
        body_bytes=limits.body_bytes,
        head_timeout_s=(
            limits.head_timeout_s
            if limits.head_timeout_s > 0
            else default.head_timeout_s
        ),
        idle_timeout_s=(
            limits.idle_timeout_s
            if limits.idle_timeout_s > 0
            else default.idle_timeout_s
        ),
    )


def _max_fds() -> int:
    """Return how many descriptors the system allows this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft > 0 else NO_FD_LIMIT
