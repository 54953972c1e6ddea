"""Bring engines to the state that the records declare, one issuer for each pool.

The router that a pool's name prefers among the live ones tries to hold the pool's
lease; only its holder gives orders. Orders are idempotent and name the whole state
wanted; each is checked against the lease right before it is sent and read back after.
"""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from msgspec import Struct

from chicorylead.backing.api import Platform, PlatformUnavailable
from chicorylead.ids import Offset, ServiceName
from chicorylead.lease.keeper import LeaseKeeper
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
UNCHECKED_FLIGHT_S = 10.0
CHECKED_FLIGHT_S = 0.0
READ_TIMEOUT_S = 1.0


class _State(Struct):
    """What an engine says of its orders."""

    fencing: int = 0
    models: list[str] = []
    adapters: list[str] = []
    role: str = "mixed"


class OrderIssuer:
    """Give orders for the pools whose lease this router holds.

    Args:
        address_of: Returns where an upstream is now.
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
        self._keepers: dict[ServiceName, LeaseKeeper] = {}

    async def run(self) -> None:
        """Give orders until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S * self._rng.uniform(0.8, 1.2))
            for service in list(self._store.services()):
                if service.type is ServiceType.ENGINE and service.model is not None:
                    await self._tend(service)

    async def close(self) -> None:
        """Give all leases up."""
        for keeper in self._keepers.values():
            await keeper.release()

    async def _tend(self, service: Service) -> None:
        live = [member.id for member in self._view.live()]
        keeper = self._keepers.get(service.name)
        if pick(f"orders/{service.name}", live) != self._view.own.id:
            if keeper is not None:
                await keeper.release()
            return
        if keeper is None:
            keeper = self._keepers[service.name] = self._keeper(service)
        try:
            if await keeper.keep():
                await self._order_pool(service, keeper)
        except PlatformUnavailable as exc:
            self._log.debug("lease_unavailable", service=service.name, reason=exc)

    def _keeper(self, service: Service) -> LeaseKeeper:
        upstreams = self._store.upstreams(service.name)
        all_check = all(upstream.checks_fencing for upstream in upstreams)
        flight_s = CHECKED_FLIGHT_S if all_check else UNCHECKED_FLIGHT_S
        return LeaseKeeper(
            self._platform,
            f"orders/{service.name}",
            self._view.own.id,
            flight_s,
            self._log,
            self._rng,
        )

    async def _order_pool(self, service: Service, keeper: LeaseKeeper) -> None:
        """Order at most one engine, so that the others go on to serve."""
        states = {}
        for upstream in self._store.upstreams(service.name):
            state = await self._read_state(upstream)
            if state is not None:
                states[upstream] = state
        wrong = [u for u, state in states.items() if not _is_wanted(service, state)]
        for upstream in wrong:
            if len(states) > 1 or not states[upstream].models:
                await self._order(service, upstream, keeper)
                return

    async def _read_state(self, upstream: Upstream) -> _State | None:
        try:
            body = await self._client.get(
                self._address_of(upstream), "/orders", READ_TIMEOUT_S
            )
            return msgspec.json.decode(body, type=_State)
        except (Break, msgspec.DecodeError):
            return None

    async def _order(
        self, service: Service, upstream: Upstream, keeper: LeaseKeeper
    ) -> None:
        assert service.model is not None
        wait_s = await self._platform.reserve_weights(service.model)
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        # A pause of this process may have come at any point above.
        if keeper.time_left_s() < 2 * ORDER_TIMEOUT_S:
            return
        order = {
            "fencing": keeper.fencing,
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
        done = after is not None and _is_wanted(service, after)
        self._metrics.count("orders.done" if done else "orders.open")
        self._log.info(
            "order_given",
            upstream=upstream.name,
            fencing=Offset(keeper.fencing),
            model=service.model,
            done=done,
        )


def _is_wanted(service: Service, state: _State) -> bool:
    return (
        service.model in state.models
        and set(service.adapters) <= set(state.adapters)
        and state.role == service.role
    )
