"""Polls the load reports of upstreams; one router polls each upstream."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from msgspec import Struct

from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.records.model import Upstream
from chicorylead.records.store import RecordStore
from chicorylead.upstream.exchange import Break, ExchangeClient
from chicorylead.upstream.state import UpstreamState
from chicorylead.vm.rendezvous import pick
from chicorylead.vm.view import FleetView

__all__ = ["LoadReportPoller"]

PERIOD_S = 2.0
TIMEOUT_S = 1.0


class _LoadReport(Struct):
    """The fields of a load report that are used."""

    age_s: float = 0.0
    n_active: int = 0
    leaving: bool = False


class LoadReportPoller:
    """Records the load of upstreams, and which of them are leaving.

    Attributes:
        on_leaving: Called with each upstream found to be leaving.
    """

    def __init__(
        self,
        store: RecordStore,
        view: FleetView,
        client: ExchangeClient,
        state_of: Callable[[ServiceName, UpstreamId], UpstreamState | None],
        log: EventLog,
        rng: Random,
    ) -> None:
        self._store = store
        self._view = view
        self._client = client
        self._state_of = state_of
        self._log = log
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self.on_leaving: Callable[[UpstreamId], None] = lambda upstream: None

    async def run(self) -> None:
        """Poll reports until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S * self._rng.uniform(0.9, 1.1))
            assigned = self._assigned()
            await asyncio.gather(*(self._read(record) for record in assigned))

    def _assigned(self) -> list[Upstream]:
        live = [member.id for member in self._view.live()]
        return [
            record
            for service in self._store.services()
            for record in self._store.upstreams(service.name)
            if pick(record.name, live) == self._view.own.id
        ]

    async def _read(self, record: Upstream) -> None:
        state = self._state_of(record.service, record.name)
        if state is None:
            return
        try:
            body = await self._client.get(state.address, "/load", TIMEOUT_S)
            report = msgspec.json.decode(body, type=_LoadReport)
        except (Break, msgspec.DecodeError) as exc:
            self._log.debug("load_report_missing", upstream=record.name, reason=exc)
            return
        state.reported_active = report.n_active
        state.reported_at = self._clock() - report.age_s
        if report.leaving and self._view.mark_upstream_leaving(record.name):
            self._log.info("upstream_leaving", upstream=record.name)
            self.on_leaving(record.name)
