"""HTTP interface for operators: records, state of the router, unknown outcomes."""

from collections.abc import Awaitable, Callable, Mapping

import msgspec
from msgspec import Struct
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from chicorylead.backing.api import PlatformUnavailable
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.link.hub import LinkHub
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.claim import (
    ClaimEvent,
    KeyState,
    Outcome,
    OutcomeState,
    Void,
)
from chicorylead.outcome.claimer import Claimer
from chicorylead.outcome.poison import PoisonList
from chicorylead.outcome.reconcile import Reconciler
from chicorylead.records.log import Publisher
from chicorylead.records.schema import Record, decode_record, to_model
from chicorylead.records.store import RecordStore
from chicorylead.report.levels import LevelCounter
from chicorylead.router.answers import json_response
from chicorylead.router.auth import check_operator
from chicorylead.router.callers import with_error_responses
from chicorylead.router.dispatch import Dispatcher, ServicePool
from chicorylead.vm.view import FleetView

__all__ = ["OperatorInterface"]


class _Resolution(Struct, forbid_unknown_fields=True):
    """An operator's decision on a key whose outcome is unknown."""

    organisation: str
    service: str
    key: str
    ran: bool


class OperatorInterface:
    """HTTP routes for operators, each protected by the operators' credential.

    Args:
        token: The operators' credential.
        publisher: Publishes records.
        platform_bytes: Bytes exchanged with the platform, by purpose.
    """

    def __init__(
        self,
        token: str,
        publisher: Publisher,
        store: RecordStore,
        view: FleetView,
        dispatcher: Dispatcher,
        claimer: Claimer,
        reconciler: Reconciler,
        poison: PoisonList,
        levels: LevelCounter,
        hub: LinkHub,
        platform_bytes: Mapping[str, int],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._token = token
        self._publisher = publisher
        self._store = store
        self._view = view
        self._dispatcher = dispatcher
        self._claimer = claimer
        self._reconciler = reconciler
        self._poison = poison
        self._levels = levels
        self._hub = hub
        self._platform_bytes = platform_bytes
        self._log = log
        self._metrics = metrics

    def routes(self) -> list[Route]:
        """Return the HTTP routes."""
        return [
            self._route("/admin/v1/records", self._publish, "POST"),
            self._route("/admin/v1/records", self._show_records, "GET"),
            self._route("/admin/v1/validate", self._validate, "POST"),
            self._route("/admin/v1/status", self._status, "GET"),
            self._route("/admin/v1/shares", self._shares, "GET"),
            self._route("/admin/v1/levels", self._show_levels, "GET"),
            self._route("/admin/v1/resolve", self._resolve, "POST"),
        ]

    def _route(
        self,
        path: str,
        handler: Callable[[Request], Awaitable[Response]],
        method: str,
    ) -> Route:
        async def checked(request: Request) -> Response:
            check_operator(request.headers.get("authorization"), self._token)
            return await handler(request)

        return Route(path, with_error_responses(checked, self._log), methods=[method])

    # -- records

    async def _publish(self, request: Request) -> Response:
        record = decode_record(await request.body())
        offset = await self._publisher.publish(record)
        self._log.info(
            "record_published", kind=record.kind, name=record.name, offset=offset
        )
        return json_response({"offset": offset, "name": record.name})

    async def _validate(self, request: Request) -> Response:
        record: Record = decode_record(await request.body())
        to_model(record)
        return json_response({"valid": True})

    async def _show_records(self, request: Request) -> Response:
        body = {
            "router": self._view.own.id,
            "covered": self._store.covered,
            "records": self._store.versions(),
        }
        return json_response(body)

    # -- state

    async def _status(self, request: Request) -> Response:
        members = [
            {
                "router": member.id,
                "zone": member.zone,
                "address": member.address,
                "state": member.state.name.lower(),
                "listed": member.listed,
            }
            for member in self._view.members()
        ]
        body = {
            "router": self._view.own.id,
            "incarnation": self._view.own.incarnation,
            "state": self._view.own.state.name.lower(),
            "covered": self._store.covered,
            "members": members,
            "root": self._hub.root,
            "report_period_s": self._hub.period_s,
            "control_bytes_sent": self._hub.budget.bytes_sent,
            "control_bytes_received": self._hub.budget.bytes_received,
            "platform_bytes": self._platform_bytes,
            "n_claim_keys": self._claimer.n_keys(),
            "poison": self._poison.blocked_fingerprints(),
            "counts": self._metrics.totals,
        }
        return json_response(body)

    async def _shares(self, request: Request) -> Response:
        pools = [self._pool_state(pool) for pool in self._dispatcher.pools()]
        return json_response({"router": self._view.own.id, "pools": pools})

    def _pool_state(self, pool: ServicePool) -> dict[str, object]:
        queue = pool.queue
        fleet = queue.fleet
        organisations = [
            {
                "organisation": name,
                "share": self._store.share(name),
                "n_waiting": n_waiting,
                "n_in_flight": n_in_flight,
                "fleet_demand": fleet.demands.get(name, 0.0),
                "served": queue.ledger.account(name).served,
            }
            for name, (n_waiting, n_in_flight) in sorted(
                queue.waiting_by_organisation().items()
            )
        ]
        upstreams = [
            {
                "upstream": state.record.name,
                "health": state.health.value,
                "leaving": self._view.is_upstream_leaving(state.record.name),
                "n_in_flight": state.n_in_flight,
                "first_byte_s": state.first_byte_s,
                "token_s": state.token_s,
            }
            for state in pool.upstreams.states()
        ]
        return {
            "service": queue.service,
            "limit": queue.limit(),
            "n_slots": fleet.n_slots,
            "fleet_demand": fleet.demand,
            "n_routers": fleet.n_routers,
            "organisations": organisations,
            "upstreams": upstreams,
        }

    async def _show_levels(self, request: Request) -> Response:
        body = {
            "router": self._view.own.id,
            "history_s": self._levels.history_s,
            "counts": self._levels.counts(),
        }
        return json_response(body)

    # -- outcomes

    async def _resolve(self, request: Request) -> Response:
        try:
            resolution = msgspec.json.decode(await request.body(), type=_Resolution)
        except msgspec.DecodeError as exc:
            raise Refusal(ErrorKind.BAD_REQUEST, f"body: {exc}") from exc
        key = f"{resolution.organisation}/{resolution.service}/{resolution.key}"
        try:
            state = await self._claimer.look_up(key)
            if state is None:
                raise Refusal(ErrorKind.NOT_FOUND, f"nothing is known of key {key!r}")
            self._check_resolvable(state)
            attempt = state.claim.attempt
            event: ClaimEvent = Void(key, attempt, by_operator=True)
            if resolution.ran:
                event = Outcome(
                    key, attempt, OutcomeState.ANSWERED, 200, by_operator=True
                )
            await self._claimer.append_event(event)
        except PlatformUnavailable as exc:
            raise Refusal(ErrorKind.LOG_UNAVAILABLE, str(exc)) from exc
        self._log.info("key_resolved", key=key, ran=resolution.ran)
        return json_response({"key": key, "ran": resolution.ran})

    def _check_resolvable(self, state: KeyState) -> None:
        """Refuse to resolve a key whose holder may still be running the request."""
        if state.outcome is None and not self._reconciler.is_holder_gone(state.claim):
            raise Refusal(
                ErrorKind.IN_PROGRESS,
                f"router {state.claim.router!r} still holds the request",
            )
