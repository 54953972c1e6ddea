"""Read and validate a caller's HTTP request, and look up the records it needs."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from msgspec import Struct
from starlette.requests import Request

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import IdempotencyKey, OrganisationId, RequestId, ServiceName
from chicorylead.outcome.poison import fingerprint_of
from chicorylead.records.model import Operation, Service
from chicorylead.records.store import RecordStore
from chicorylead.request import CallerRequest
from chicorylead.router.auth import organisation_of
from chicorylead.settings import RouterSettings

__all__ = ["RequestReader"]

MAX_KEY_LENGTH = 200
MAX_REQUEST_ID_LENGTH = 64
CLASS_HINTS = {"short": 16.0, "long": 1024.0}
PREFIX_CHARS = 64


class _RoutingFields(Struct):
    """The fields of a body that the router itself reads."""

    prompt: str = ""


_routing_decoder = msgspec.json.Decoder(_RoutingFields)


class RequestReader:
    """Converts HTTP requests to requests of organisations.

    Args:
        cfg: Settings of the router.
        store: Records in force.
        is_ready: Tells whether a complete configuration is in force.
        rng: Source of request ids.
    """

    def __init__(
        self,
        cfg: RouterSettings,
        store: RecordStore,
        is_ready: Callable[[], bool],
        rng: Random,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._is_ready = is_ready
        self._rng = rng
        self._clock = asyncio.get_running_loop().time

    async def read(self, request: Request) -> CallerRequest:
        """Return the validated request of a caller.

        Raises:
            Refusal: The request is refused; it did not run.
        """
        organisation = organisation_of(
            request.headers.get("authorization"), self._store
        )
        if not self._is_ready():
            raise Refusal(ErrorKind.NOT_READY, "no complete configuration is in force")
        service = self._service(request)
        operation = request.path_params["operation"]
        rules = service.operations.get(operation)
        if rules is None:
            raise Refusal(
                ErrorKind.NOT_FOUND,
                f"service {service.name!r} has no operation {operation[:64]!r}",
            )
        self._check_contract(organisation, service, operation)
        body = await self._read_body(request)
        prefix = self._read_prefix(body)
        key = self._key(request, rules, body)
        deadline_s = self._deadline_s(request)
        return CallerRequest(
            id=self._request_id(request),
            organisation=organisation,
            share=self._store.share(organisation),
            service=service,
            operation=operation,
            rules=rules,
            body=body,
            deadline=self._clock() + deadline_s,
            fingerprint=fingerprint_of(service.name, operation, body),
            key=key,
            cost_hint=_cost_hint(request),
            prefix=prefix,
        )

    def _service(self, request: Request) -> Service:
        name = ServiceName(request.path_params["service"])
        service = self._store.service(name)
        if service is None:
            raise Refusal(ErrorKind.NOT_FOUND, f"no service {name[:64]!r}")
        return service

    def _check_contract(
        self, organisation: OrganisationId, service: Service, operation: str
    ) -> None:
        contracts = self._store.contracts(organisation)
        if not any(c.allows(service.name, operation) for c in contracts):
            raise Refusal(
                ErrorKind.FORBIDDEN,
                f"organisation {organisation!r} has no contract for "
                f"{service.name}/{operation}",
            )

    async def _read_body(self, request: Request) -> bytes:
        limit = self._cfg.limits.body_bytes
        declared = request.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > limit:
            raise Refusal(ErrorKind.TOO_LARGE, f"the body exceeds {limit} bytes")
        parts: list[bytes] = []
        n_bytes = 0
        async for part in request.stream():
            n_bytes += len(part)
            if n_bytes > limit:
                raise Refusal(ErrorKind.TOO_LARGE, f"the body exceeds {limit} bytes")
            parts.append(part)
        return b"".join(parts)

    def _read_prefix(self, body: bytes) -> str:
        try:
            return _routing_decoder.decode(body).prompt[:PREFIX_CHARS]
        except (msgspec.DecodeError, RecursionError) as exc:
            raise Refusal(ErrorKind.BAD_REQUEST, f"body: {exc}") from exc

    def _key(
        self, request: Request, rules: Operation, body: bytes
    ) -> IdempotencyKey | None:
        key = request.headers.get("idempotency-key")
        if key is None and rules.key_field is not None:
            value = msgspec.json.decode(body).get(rules.key_field)
            key = None if value is None else str(value)
        if key is None:
            return None
        if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isprintable():
            raise Refusal(
                ErrorKind.BAD_REQUEST,
                f"idempotency key must have 1 to {MAX_KEY_LENGTH} printable characters",
            )
        return IdempotencyKey(key)

    def _deadline_s(self, request: Request) -> float:
        timeouts = self._cfg.timeouts
        text = request.headers.get("chicorylead-deadline-ms")
        if text is None:
            return timeouts.default_deadline_s
        if not text.isdigit() or not 0 < int(text) <= timeouts.max_deadline_s * 1000:
            raise Refusal(
                ErrorKind.BAD_REQUEST,
                f"Chicorylead-Deadline-Ms must be 1 to {timeouts.max_deadline_s:.0f}000"
                f", not {text[:32]!r}",
            )
        return int(text) / 1000.0

    def _request_id(self, request: Request) -> RequestId:
        given = request.headers.get("chicorylead-request-id")
        if given is None:
            return RequestId(f"{self._rng.getrandbits(64):016x}")
        if not 0 < len(given) <= MAX_REQUEST_ID_LENGTH or not given.isalnum():
            raise Refusal(
                ErrorKind.BAD_REQUEST,
                f"Chicorylead-Request-Id must have 1 to {MAX_REQUEST_ID_LENGTH} "
                "letters and digits",
            )
        return RequestId(given)


def _cost_hint(request: Request) -> float | None:
    text = request.headers.get("chicorylead-cost-hint")
    if text is not None:
        try:
            value = float(text)
        except ValueError:
            value = 0.0
        if not 0 < value < 1e9:
            raise Refusal(
                ErrorKind.BAD_REQUEST,
                f"Chicorylead-Cost-Hint must be a positive number, not {text[:32]!r}",
            )
        return value
    label = request.headers.get("chicorylead-class")
    if label is None:
        return None
    if label not in CLASS_HINTS:
        raise Refusal(
            ErrorKind.BAD_REQUEST,
            f"Chicorylead-Class must be short or long, not {label[:32]!r}",
        )
    return CLASS_HINTS[label]
