"""Bring engines to the state declared in the records, one issuer for each pool.

For each pool, rendezvous hashing selects one live router, which tries to hold the
pool's lease; only the holder gives orders. Orders are idempotent and contain the whole
desired state. The lease is checked right before an order is sent, and the engine's
state is read back afterwards.
"""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from msgspec import Struct

from chicorylead.backing.api import Platform, PlatformUnavailable
from chicorylead.ids import Offset, ServiceName
from chicorylead.lease.client import LeaseClient
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.records.model import Service, ServiceType, Upstream
from chicorylead.records.store import RecordStore
from chicorylead.upstream.exchange import Break, ExchangeClient
from chicorylead.vm.rendezvous import pick
from chicorylead.vm.view import FleetView

__all__ = ["OrderIssuer"]

PERIOD_S = 1.0
ORDER_TIMEOUT_S = 1.0
UNFENCED_TRANSIT_S = 10.0
FENCED_TRANSIT_S = 0.0
READ_TIMEOUT_S = 1.0


class _EngineState(Struct):
    """State that an engine reports at `/orders`."""

    fencing: int = 0
    models: list[str] = []
    adapters: list[str] = []
    role: str = "mixed"


class OrderIssuer:
    """Gives orders for the pools whose lease this router holds.

    Args:
        address_of: Returns the current address of an upstream.
    """

    def __init__(
        self,
        platform: Platform,
        store: RecordStore,
        view: FleetView,
        client: ExchangeClient,
        address_of: Callable[[Upstream], str],
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._platform = platform
        self._store = store
        self._view = view
        self._client = client
        self._address_of = address_of
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._lease_clients: dict[ServiceName, LeaseClient] = {}

    async def run(self) -> None:
        """Give orders until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S * self._rng.uniform(0.8, 1.2))
            for service in list(self._store.services()):
                if service.type is ServiceType.ENGINE and service.model is not None:
                    await self._reconcile_service(service)

    async def close(self) -> None:
        """Release all leases."""
        for lease in self._lease_clients.values():
            await lease.release()

    async def _reconcile_service(self, service: Service) -> None:
        live = [member.id for member in self._view.live()]
        lease = self._lease_clients.get(service.name)
        if pick(f"orders/{service.name}", live) != self._view.own.id:
            if lease is not None:
                await lease.release()
            return
        if lease is None:
            lease = self._lease_clients[service.name] = self._new_lease_client(service)
        try:
            if await lease.acquire_or_renew():
                await self._order_pool(service, lease)
        except PlatformUnavailable as exc:
            self._log.debug("lease_unavailable", service=service.name, reason=exc)

    def _new_lease_client(self, service: Service) -> LeaseClient:
        upstreams = self._store.upstreams(service.name)
        all_fenced = all(upstream.checks_fencing for upstream in upstreams)
        max_transit_s = FENCED_TRANSIT_S if all_fenced else UNFENCED_TRANSIT_S
        return LeaseClient(
            self._platform,
            f"orders/{service.name}",
            self._view.own.id,
            max_transit_s,
            self._log,
            self._rng,
        )

    async def _order_pool(self, service: Service, lease: LeaseClient) -> None:
        """Give an order to at most one engine, so that the others continue to serve."""
        states = {}
        for upstream in self._store.upstreams(service.name):
            state = await self._read_state(upstream)
            if state is not None:
                states[upstream] = state
        outdated = [
            u for u, state in states.items() if not _matches_record(service, state)
        ]
        for upstream in outdated:
            if len(states) > 1 or not states[upstream].models:
                await self._order(service, upstream, lease)
                return

    async def _read_state(self, upstream: Upstream) -> _EngineState | None:
        try:
            body = await self._client.get(
                self._address_of(upstream), "/orders", READ_TIMEOUT_S
            )
            return msgspec.json.decode(body, type=_EngineState)
        except (Break, msgspec.DecodeError):
            return None

    async def _order(
        self, service: Service, upstream: Upstream, lease: LeaseClient
    ) -> None:
        assert service.model is not None
        wait_s = await self._platform.reserve_weights(service.model)
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        # This process may have been paused at any point above.
        if lease.time_left_s() < 2 * ORDER_TIMEOUT_S:
            return
        order = {
            "fencing": lease.fencing,
            "models": [service.model],
            "adapters": list(service.adapters),
            "role": service.role,
        }
        body = msgspec.json.encode(order)
        try:
            await self._client.post(
                self._address_of(upstream), "/orders", body, ORDER_TIMEOUT_S
            )
        except Break as exc:
            self._log.info("order_failed", upstream=upstream.name, reason=exc.detail)
        after = await self._read_state(upstream)
        done = after is not None and _matches_record(service, after)
        self._metrics.count("orders.done" if done else "orders.open")
        self._log.info(
            "order_given",
            upstream=upstream.name,
            fencing=Offset(lease.fencing),
            model=service.model,
            done=done,
        )


def _matches_record(service: Service, state: _EngineState) -> bool:
    return (
        service.model in state.models
        and set(service.adapters) <= set(state.adapters)
        and state.role == service.role
    )
