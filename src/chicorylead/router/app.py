"""The router: builds, connects, starts, drains and stops its components."""

import asyncio
from random import Random

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Mount, Route
from starlette.routing import Router as PathRouter
from starlette.types import Receive, Scope, Send

from chicorylead.application import Application
from chicorylead.backing.api import Platform, PlatformUnavailable
from chicorylead.backing.http import HttpPlatform
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.http_server import HttpServer
from chicorylead.ids import (
    Incarnation,
    Offset,
    OrganisationId,
    RouterId,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from chicorylead.lease.orders import OrderIssuer
from chicorylead.link.hub import LinkHub
from chicorylead.link.message import (
    Notice,
    RecordsAnswer,
    UpstreamNotice,
)
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.claimer import Claimer
from chicorylead.outcome.poison import PoisonList
from chicorylead.outcome.poison_notice import PoisonNotice
from chicorylead.outcome.reconcile import Reconciler
from chicorylead.records.log import ConfigReader, Publisher
from chicorylead.records.model import RecordKind
from chicorylead.records.store import RecordStore
from chicorylead.report.levels import LevelCounter
from chicorylead.router.answers import error_response, json_response
from chicorylead.router.callers import CallerInterface
from chicorylead.router.dispatch import Dispatcher
from chicorylead.router.operators import OperatorInterface
from chicorylead.settings import RouterSettings
from chicorylead.sharing.aggregator import FleetAggregator, organisation_number
from chicorylead.sharing.fair_queue import SharingMode
from chicorylead.upstream.exchange import ExchangeClient
from chicorylead.upstream.load_report_poller import LoadReportPoller
from chicorylead.upstream.pool import UpstreamPool
from chicorylead.upstream.state import UpstreamState
from chicorylead.vm.rendezvous import pick
from chicorylead.vm.view import FleetView, Member, MemberState

__all__ = ["Router"]

CATCH_UP_PERIOD_S = 0.5
CHECKPOINT_PERIOD_S = 5.0
CHECKPOINT_INTERVAL_ENTRIES = 500
FLUSH_TIMEOUT_S = 5.0
GAUGE_PERIOD_S = 5.0
VM_LIST_JITTER = 0.2


class Router:
    """One router with all its components.

    Args:
        cfg: Settings.
        incarnation: Number that increases with each start of the same router.
        platform: Platform; by default the one in the settings, over HTTP.
    """

    def __init__(
        self,
        cfg: RouterSettings,
        incarnation: int,
        platform: Platform | None = None,
    ) -> None:
        self._cfg = cfg
        rng = Random(f"{cfg.seed}/{cfg.id}/{incarnation}")
        self._rng = rng
        self.log = EventLog(router=cfg.id)
        self._metrics = Metrics(cfg.metrics.host, cfg.metrics.port, cfg.metrics.prefix)
        self.app = Application(self.log)
        self._platform = platform or HttpPlatform(cfg.platform, cfg.id)
        own = Member(
            RouterId(cfg.id),
            ZoneName(cfg.zone),
            address="",
            link="",
            incarnation=Incarnation(incarnation),
        )
        self.store = RecordStore()
        self.view = FleetView(own, lambda notice: self.hub.broadcast_member(notice))
        self.reader = ConfigReader(
            self._platform, self.store, self.log, rng, cfg.platform.log_wait_s
        )
        self._publisher = Publisher(self._platform, self.store, self.reader, rng)
        self._client = ExchangeClient(cfg.timeouts)
        self.poison = PoisonList(rng)
        self._claimer = Claimer(
            self._platform,
            own.id,
            own.incarnation,
            self.log,
            self._metrics,
            rng,
        )
        self._reconciler = Reconciler(self.store, self.view, self._client)
        mode = SharingMode(cfg.sharing)
        self.dispatcher = Dispatcher(
            self.store,
            self._client,
            self._claimer,
            self._reconciler,
            self.poison,
            cfg.limits,
            mode,
            self.log,
            self._metrics,
            rng,
        )
        self._shares: dict[int, float] = {}
        self._aggregator = FleetAggregator(
            own.id, own.incarnation, self._share_of, self._n_slots
        )
        self.hub = LinkHub(cfg.link, self._aggregator, self.log, self._metrics, rng)
        self._levels = LevelCounter(self.store)
        self._load_report_poller = LoadReportPoller(
            self.store, self.view, self._client, self._upstream_state, self.log, rng
        )
        self._issuer = OrderIssuer(
            self._platform,
            self.store,
            self.view,
            self._client,
            self.view.upstream_address,
            self.log,
            self._metrics,
            rng,
        )
        self._complete_from_peer = False
        self._is_update_scheduled = False
        self._server = HttpServer(
            self._path_router(),
            cfg.host,
            cfg.port,
            n_connections=cfg.limits.n_connections,
        )
        self._connect_components()

    @property
    def port(self) -> int:
        """Return the port on which callers connect."""
        return self._server.port

    @property
    def link_address(self) -> str:
        """Return the address on which peers connect."""
        return self.hub.address

    @property
    def is_ready(self) -> bool:
        """Tell whether a complete configuration is in force.

        It is complete once the log was read to its end, or once a peer with a
        complete configuration has sent its records.
        """
        return self.reader.caught_up.is_set() or self._complete_from_peer

    # -- building

    def _path_router(self) -> PathRouter:
        callers = CallerInterface(
            self._cfg,
            self.store,
            self.view,
            self.dispatcher,
            self._claimer,
            self._levels,
            lambda: self.is_ready,
            self.log,
            self._metrics,
            self._rng,
        )
        operators = OperatorInterface(
            self._cfg.operator_token,
            self._publisher,
            self.store,
            self.view,
            self.dispatcher,
            self._claimer,
            self._reconciler,
            self.poison,
            self._levels,
            self.hub,
            self._platform.n_bytes,
            self.log,
            self._metrics,
        )
        routes = [
            Route("/health", self._health),
            *operators.routes(),
            *callers.routes(),
            Mount("/", app=_not_found),
        ]
        # A plain path router suffices: the handlers convert their own errors, so
        # the middleware of a Starlette application around each send is not needed.
        return PathRouter(routes=routes)

    def _connect_components(self) -> None:
        """Register the callbacks between components and their start and stop."""
        self.store.on_change(self._schedule_records_update)
        self.hub.config_offset = lambda: self.store.covered
        self.hub.on_config_ahead = self._on_config_ahead
        self.hub.answer_records = self._answer_records
        self.hub.on_records = self._on_records
        self.hub.needs_records = lambda: not self.is_ready
        self.hub.on_notice = self._on_notice
        self.dispatcher.on_poison_notice = self.hub.broadcast
        self.dispatcher.on_demand_change = self.hub.report_soon
        self._load_report_poller.on_leaving = lambda u: self.hub.broadcast(
            UpstreamNotice(u)
        )
        self.app.add(stop=self._platform.close)
        self.app.add(stop=self._client.close)
        self.app.add(stop=self._claimer.close)
        self.app.add(stop=self._issuer.close)
        self.app.add(start=self._start_links, stop=self.hub.stop)
        self.app.add(start=self._start_tasks)
        self.app.add(start=self._server.start, stop=self._stop_server)

    async def _start_links(self) -> None:
        self.view.own.link = self.hub.listen()
        self.view.own.address = f"{self._cfg.host}:{self.port}"
        self.hub.start(self.view)

    async def _start_tasks(self) -> None:
        self.app.spawn(self.reader.run, "config_reader")
        self.app.spawn(self._read_vm_list, "vm_list")
        self.app.spawn(self._catch_up_from_peers, "peer_catch_up")
        self.app.spawn(self._append_checkpoints, "checkpoints")
        self.app.spawn(self._load_report_poller.run, "upstream_watch")
        self.app.spawn(self._issuer.run, "orders")
        self.app.spawn(self._send_gauges, "gauges")
        self.log.info(
            "router_started",
            address=self.view.own.address,
            link=self.link_address,
            incarnation=self.view.own.incarnation,
        )

    async def _stop_server(self) -> None:
        await self._server.stop(grace_s=1.0)
        self._metrics.close()

    # -- life cycle

    async def start(self) -> None:
        """Start all components; for embedding."""
        await self.app.start()

    async def stop(self) -> None:
        """Stop immediately, without draining; for embedding."""
        await self.app.stop()

    async def run(self) -> None:
        """Run until a termination signal arrives, then drain."""
        await self.app.run(self.drain)

    async def drain(self) -> None:
        """Leave the fleet without interrupting requests in flight.

        Address answers omit this router at once. Callers that cached its address are
        served for longer than the lifetime of address answers. Then the router waits
        until no request is in flight, and stops accepting connections.
        """
        self.log.info("drain_begins", in_flight=self.dispatcher.n_waiting_or_running())
        self.view.declare(self.view.own.id, MemberState.LEAVING)
        limit_s = self._cfg.timeouts.drain_s or None
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(1.5 * self._cfg.timeouts.address_lifetime_s)
                while self.dispatcher.n_waiting_or_running():
                    await asyncio.sleep(0.05)
                await self._server.stop()
        except TimeoutError:
            self.log.warning(
                "drain_cut", in_flight=self.dispatcher.n_waiting_or_running()
            )
        await self._claimer.flush(FLUSH_TIMEOUT_S)
        self.view.declare(self.view.own.id, MemberState.GONE)
        await asyncio.sleep(min(1.0, 2 * self.hub.period_s))
        self.log.info("drain_ends")

    # -- records

    def _schedule_records_update(self) -> None:
        """Schedule one update for all records that were read together."""
        if not self._is_update_scheduled:
            self._is_update_scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_records)

    def _apply_records(self) -> None:
        """Update pools and shares from the records in force."""
        self._is_update_scheduled = False
        self._shares = {
            organisation_number(OrganisationId(item.record.name)): self.store.share(
                OrganisationId(item.record.name)
            )
            for item in self.store.versions()
            if item.record.kind == RecordKind.ORGANISATION.value
        }
        for service in self.store.services():
            if self.dispatcher.pool(service.name) is None:
                upstreams = UpstreamPool(
                    service.name,
                    self.store,
                    self.view,
                    self.log,
                    self._metrics,
                    self._rng,
                )
                pool = self.dispatcher.add_pool(service.name, upstreams)
                self._aggregator.add_pool(pool.queue)
        for pool in self.dispatcher.pools():
            pool.upstreams.refresh()

    def _upstream_state(
        self, service: ServiceName, upstream: UpstreamId
    ) -> UpstreamState | None:
        pool = self.dispatcher.pool(service)
        return pool.upstreams.state(upstream) if pool is not None else None

    def _share_of(self, number: int) -> float:
        return self._shares.get(number, 0.0)

    def _n_slots(self, service: ServiceName) -> float:
        pool = self.dispatcher.pool(service)
        return pool.upstreams.n_slots() if pool is not None else 0.0

    def _on_config_ahead(self, sender: RouterId, offset: Offset) -> None:
        if not self.reader.log_ok:
            self.hub.query_records(self.store.covered)

    def _answer_records(self, after: Offset) -> RecordsAnswer:
        records = self.store.versions(after)
        return RecordsAnswer(self.store.covered, self.is_ready, records)

    def _on_records(self, answer: RecordsAnswer) -> None:
        n_new = self.store.merge(answer.records)
        if answer.complete and not self._complete_from_peer:
            self._complete_from_peer = True
        if answer.complete:
            self.store.covered = max(self.store.covered, answer.covered)
        if n_new:
            self.log.info("records_from_peer", n_new=n_new, covered=answer.covered)

    async def _catch_up_from_peers(self) -> None:
        """Query peers for records until a complete configuration is in force."""
        while not self.is_ready:
            await asyncio.sleep(CATCH_UP_PERIOD_S * self._rng.uniform(0.8, 1.2))
            if not self.is_ready:
                self.hub.query_records(Offset(0))

    async def _append_checkpoints(self) -> None:
        """Append a checkpoint well before the log discards the records it covers."""
        while True:
            await asyncio.sleep(CHECKPOINT_PERIOD_S * self._rng.uniform(0.8, 1.2))
            live = [member.id for member in self.view.live()]
            is_responsible = pick("checkpoint", live) == self.view.own.id
            n_entries = self.store.covered - self.reader.newest_checkpoint
            if (
                not is_responsible
                or not self.reader.log_ok
                or n_entries < CHECKPOINT_INTERVAL_ENTRIES
            ):
                continue
            try:
                covers = await self._publisher.append_checkpoint()
                self.log.info("checkpoint_appended", covers=covers)
            except PlatformUnavailable as exc:
                self.log.warning("checkpoint_failed", reason=exc)

    # -- members

    async def _read_vm_list(self) -> None:
        period_s = self._cfg.platform.vm_list_period_s
        while True:
            try:
                listed = await self._platform.list_vms(self.view.list_version)
                self.view.apply_vm_list(listed)
                if listed.vms or listed.removed:
                    for pool in self.dispatcher.pools():
                        pool.upstreams.refresh()
            except PlatformUnavailable as exc:
                self.log.debug("vm_list_unavailable", reason=exc)
            jitter = self._rng.uniform(1 - VM_LIST_JITTER, 1 + VM_LIST_JITTER)
            await asyncio.sleep(period_s * jitter)

    def _on_notice(self, notice: Notice) -> None:
        match notice:
            case UpstreamNotice(upstream=upstream):
                if self.view.mark_upstream_leaving(upstream):
                    self.hub.broadcast(notice)
            case PoisonNotice(fingerprint=fingerprint):
                if self.poison.merge(notice):
                    self.hub.broadcast(self.poison.notice(fingerprint))

    # -- pages and gauges

    async def _health(self, request: Request) -> Response:
        body = {
            "router": self._cfg.id,
            "ready": self.is_ready,
            "state": self.view.own.state.name.lower(),
        }
        return json_response(body, 200 if self.is_ready else 503)

    async def _send_gauges(self) -> None:
        while True:
            await asyncio.sleep(GAUGE_PERIOD_S)
            for pool in self.dispatcher.pools():
                name = pool.queue.service
                self._metrics.gauge(f"pool.{name}.waiting", pool.queue.n_waiting())
                self._metrics.gauge(f"pool.{name}.in_flight", pool.queue.n_in_flight)
                self._metrics.gauge(f"pool.{name}.limit", pool.queue.limit())
            self._metrics.gauge("link.bytes_sent", self.hub.budget.bytes_sent)
            self._metrics.gauge("link.bytes_received", self.hub.budget.bytes_received)
            self._metrics.gauge("view.live", len(self.view.live()))


async def _not_found(scope: Scope, receive: Receive, send: Send) -> None:
    path = scope["path"][:64]
    refusal = Refusal(ErrorKind.NOT_FOUND, f"no such page or method: {path!r}")
    await error_response(refusal)(scope, receive, send)
