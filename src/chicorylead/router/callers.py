"""HTTP interface for callers: requests (v1 and v2), router addresses, outcomes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import wraps
from random import Random

import msgspec
from starlette.requests import ClientDisconnect, Request
from starlette.responses import PlainTextResponse, Response, StreamingResponse
from starlette.routing import Route

from chicorylead.backing.api import PlatformUnavailable
from chicorylead.errors import ErrorKind, Refusal, RunState
from chicorylead.ids import OrganisationId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.claim import OutcomeState
from chicorylead.outcome.claimer import Claimer
from chicorylead.records.model import ServiceType
from chicorylead.records.store import RecordStore
from chicorylead.report.levels import LevelCounter
from chicorylead.request import CallerRequest
from chicorylead.router.answers import error_body, error_response, json_response
from chicorylead.router.auth import organisation_of
from chicorylead.router.dispatch import Dispatcher
from chicorylead.router.openapi import OPENAPI
from chicorylead.router.request_reader import RequestReader
from chicorylead.settings import RouterSettings
from chicorylead.vm.address import choose_addresses
from chicorylead.vm.view import FleetView

__all__ = ["CallerInterface"]


Handler = Callable[[Request], Awaitable[Response]]


class CallerInterface:
    """HTTP routes for callers.

    Args:
        cfg: Settings of the router.
        store: Records in force.
        view: View of the fleet.
        dispatcher: Dispatches requests to upstreams.
        claimer: Looks up the outcome of idempotency keys.
        levels: Records latencies and errors for the service levels.
        is_ready: Tells whether a complete configuration is in force.
        rng: Source of request ids.
    """

    def __init__(
        self,
        cfg: RouterSettings,
        store: RecordStore,
        view: FleetView,
        dispatcher: Dispatcher,
        claimer: Claimer,
        levels: LevelCounter,
        is_ready: Callable[[], bool],
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._view = view
        self._dispatcher = dispatcher
        self._claimer = claimer
        self._levels = levels
        self._reader = RequestReader(cfg, store, is_ready, rng)
        self._log = log
        self._metrics = metrics
        self._clock = asyncio.get_running_loop().time
        self._active: dict[tuple[OrganisationId, str], asyncio.Task[object]] = {}

    def routes(self) -> list[Route]:
        """Return the HTTP routes."""
        return [
            self._route("/v1/address", self._address, "GET"),
            self._route("/v1/address.txt", self._address_text, "GET"),
            self._route("/v1/{service}/{operation}", self._handle_v1, "POST"),
            self._route("/v2/requests/{id}", self._cancel, "DELETE"),
            self._route("/v2/outcomes/{service}/{key}", self._outcome, "GET"),
            self._route("/v2/{service}/{operation}", self._handle_v2, "POST"),
            self._route("/openapi.json", self._openapi, "GET"),
        ]

    def _route(self, path: str, handler: Handler, method: str) -> Route:
        return Route(path, with_error_responses(handler, self._log), methods=[method])

    # -- addresses

    async def _address(self, request: Request) -> Response:
        answer = choose_addresses(
            self._view,
            self._optional_organisation(request),
            request.query_params.get("zone"),
            self._cfg.timeouts.address_lifetime_s,
        )
        return json_response(answer)

    async def _address_text(self, request: Request) -> Response:
        answer = choose_addresses(
            self._view,
            self._optional_organisation(request),
            request.query_params.get("zone"),
            self._cfg.timeouts.address_lifetime_s,
        )
        lines = [entry.address for entry in answer.addresses]
        headers = {"Cache-Control": f"max-age={int(answer.lifetime_s)}"}
        return PlainTextResponse("\n".join(lines) + "\n", headers=headers)

    def _optional_organisation(self, request: Request) -> OrganisationId | None:
        try:
            return organisation_of(request.headers.get("authorization"), self._store)
        except Refusal:
            # Addresses are not secret: an operator, or a device with an outdated
            # credential, gets them too, but not ranked for its organisation.
            return None

    async def _openapi(self, request: Request) -> Response:
        return json_response(OPENAPI)

    # -- requests

    async def _handle_v1(self, request: Request) -> Response:
        req = await self._reader.read(request)
        return await self._answer_whole(request, req)

    async def _handle_v2(self, request: Request) -> Response:
        req = await self._reader.read(request)
        wants_stream = "text/event-stream" in request.headers.get("accept", "")
        # A request that runs at most once is answered whole, so that a retry with
        # the same key can get the same answer.
        is_engine = req.service.type is ServiceType.ENGINE
        if wants_stream and is_engine and not req.is_once:
            return await self._answer_stream(req)
        return await self._answer_whole(request, req)

    async def _answer_whole(self, request: Request, req: CallerRequest) -> Response:
        """Answer with one body; give up if the caller disconnects."""
        started = self._clock()
        task = asyncio.create_task(self._dispatcher.answer(req))
        disconnected = asyncio.create_task(_wait_for_disconnect(request))
        self._active[req.organisation, req.id] = task
        try:
            await asyncio.wait(
                [task, disconnected], return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                task.cancel()
                await asyncio.wait([task])
                raise Refusal(ErrorKind.CALLER_GONE, "the caller closed the connection")
            if task.cancelled():
                raise Refusal(ErrorKind.CALLER_GONE, "the request was cancelled")
            answer = task.result()
            self._record_end(req, started, self._clock() - started, None)
        except Refusal as exc:
            self._record_end(req, started, None, exc)
            return error_response(exc, req.id)
        finally:
            disconnected.cancel()
            task.cancel()
            self._active.pop((req.organisation, req.id), None)
        headers = {
            "Chicorylead-Request-Id": req.id,
            "Chicorylead-Run-State": RunState.RAN.value,
        }
        return Response(answer.body, answer.status, headers, answer.content_type)

    async def _answer_stream(self, req: CallerRequest) -> Response:
        """Answer with events; the status is sent once the first event has arrived."""
        started = self._clock()
        source = self._dispatcher.stream(req)
        try:
            first = await anext(source, b"")
        except Refusal as exc:
            self._record_end(req, started, None, exc)
            return error_response(exc, req.id)
        first_byte_s = self._clock() - started
        events = self._events(req, first, source, started, first_byte_s)
        headers = {"Chicorylead-Request-Id": req.id, "Cache-Control": "no-store"}
        return StreamingResponse(events, 200, headers, "text/event-stream")

    async def _events(
        self,
        req: CallerRequest,
        first: bytes,
        source: AsyncIterator[bytes],
        started: float,
        first_byte_s: float,
    ) -> AsyncIterator[bytes]:
        """Forward events, then send a final event with the result of the request."""
        task = asyncio.current_task()
        if task is not None:
            self._active[req.organisation, req.id] = task
        try:
            if first:
                yield first
            async for data in source:
                yield data
            yield _final_event("done", {"request": req.id})
            self._record_end(req, started, first_byte_s, None)
        except Refusal as exc:
            self._record_end(req, started, first_byte_s, exc)
            yield _final_event("error", error_body(exc, req.id))
        finally:
            self._active.pop((req.organisation, req.id), None)
            await source.aclose()  # type: ignore[attr-defined]

    def _record_end(
        self,
        req: CallerRequest,
        started: float,
        first_byte_s: float | None,
        exc: Refusal | None,
    ) -> None:
        whole_s = self._clock() - started
        kind = exc.kind if exc is not None else None
        self._metrics.count(f"request.{kind.value if kind else 'ok'}")
        self._metrics.timing("request.whole", whole_s)
        self._levels.record(req, first_byte_s, whole_s, kind)
        self._log.info(
            "request",
            request=req.id,
            organisation=req.organisation,
            service=req.service.name,
            operation=req.operation,
            error=kind or "none",
            whole_s=whole_s,
        )

    # -- cancellation and outcomes

    async def _cancel(self, request: Request) -> Response:
        organisation = organisation_of(
            request.headers.get("authorization"), self._store
        )
        request_id = request.path_params["id"]
        task = self._active.get((organisation, request_id))
        if task is None:
            raise Refusal(ErrorKind.NOT_FOUND, f"no request {request_id[:64]!r} here")
        task.cancel()
        return json_response({"cancelled": request_id})

    async def _outcome(self, request: Request) -> Response:
        organisation = organisation_of(
            request.headers.get("authorization"), self._store
        )
        service, key = request.path_params["service"], request.path_params["key"]
        try:
            state = await self._claimer.look_up(f"{organisation}/{service}/{key}")
        except PlatformUnavailable as exc:
            raise Refusal(ErrorKind.LOG_UNAVAILABLE, str(exc)) from exc
        if state is None:
            raise Refusal(ErrorKind.NOT_FOUND, f"nothing is known of key {key[:64]!r}")
        outcome = state.outcome
        if outcome is None:
            return json_response({"state": "in_progress"})
        if outcome.state is OutcomeState.UNKNOWN:
            return json_response({"state": "unknown"})
        body = {
            "state": "answered",
            "status": outcome.status,
            "content_type": outcome.content_type,
            "body": outcome.body,
        }
        return json_response(body)


def with_error_responses(handler: Handler, log: EventLog) -> Handler:
    """Wrap a handler so that each exception becomes its HTTP error response."""

    @wraps(handler)
    async def wrapped(request: Request) -> Response:
        try:
            return await handler(request)
        except Refusal as exc:
            return error_response(exc)
        except ClientDisconnect:
            return error_response(
                Refusal(ErrorKind.CALLER_GONE, "the caller closed the connection")
            )
        except Exception as exc:
            log.error("handler_failed", path=request.url.path, error=repr(exc))
            return error_response(Refusal(ErrorKind.INTERNAL, type(exc).__name__))

    return wrapped


async def _wait_for_disconnect(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass


def _final_event(event: str, body: dict[str, object]) -> bytes:
    return f"event: {event}\ndata: ".encode() + msgspec.json.encode(body) + b"\n\n"
