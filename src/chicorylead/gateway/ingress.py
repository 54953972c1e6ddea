"""Receives requests of callers, checks them and has them forwarded."""

import asyncio
import traceback
from collections.abc import Callable
from random import Random

from starlette.types import Receive, Scope, Send

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.gateway.forward import Accepted, Forwarder
from chicorylead.gateway.reply import CallerReply
from chicorylead.gateway.stream_journal import StreamJournal
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.platform.caller import decode_head, encode_refusal
from chicorylead.traffic.home_regions import common_homes
from chicorylead.traffic.model import (
    CallerLimits,
    Configuration,
    Operation,
    Organisation,
)
from chicorylead.traffic.request import CallerHead, ForwardRequest
from chicorylead.upstream.connection import Failure

__all__ = ["Ingress"]

# Deadlines of first attempts vary by a seventh; only a shorter one indicates a retry.
DEADLINE_SPREAD = 0.15
# Of a request that is not admitted, `request_refused` tells more; an overloaded router
# writes one `router_overloaded` a second.
_KINDS_WITH_OWN_LINES = (
    ErrorKind.QUEUE_FULL,
    ErrorKind.OVER_SHARE,
    ErrorKind.ROUTER_BUSY,
)
DRAIN_RETRY_S = 0.05  # another router accepts the request at once


class Ingress:
    """The interface for callers, as an ASGI application.

    Args:
        forwarder: Forwards requests to upstreams.
        journal: Knows at which software version a stream goes on.
        configuration: Returns the configuration in force, or None.
        should_close: Returns whether to close connections after their answers.
        is_refusing: Returns whether new requests are refused.
        on_arrival: Called with each request of a known operation.
        check_load: Raises a refusal when this router is overloaded.

    Attributes:
        n_in_flight: Requests that wait for their answer.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        journal: StreamJournal,
        configuration: Callable[[], Configuration | None],
        should_close: Callable[[], bool],
        is_refusing: Callable[[], bool],
        on_arrival: Callable[[], None],
        check_load: Callable[[], None],
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._forwarder = forwarder
        self._journal = journal
        self._configuration = configuration
        self._should_close = should_close
        self._is_refusing = is_refusing
        self._on_arrival = on_arrival
        self._check_load = check_load
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._longest_deadlines: dict[str, float] = {}
        self.n_in_flight = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        self.n_in_flight += 1
        try:
            await self._answer(scope, receive, send)
        finally:
            self.n_in_flight -= 1

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        started = self._clock()
        reply = CallerReply(send, self._should_close(), scope["chicorylead.account"])
        head: CallerHead | None = None
        req: ForwardRequest | None = None
        try:
            await self._refuse_if_overloaded(receive)
            head = decode_head(
                scope["method"], scope["chicorylead.target"], scope["headers"]
            )
            req = await self._read_request(head, receive)
            req = await self._journal.pin(req)
            # An overloaded router reads requests whose callers have left; the close
            # of their connections shows in the next iteration of the event loop.
            await asyncio.sleep(0)
            if not scope["chicorylead.before_run"]():
                raise _CallerGone
            accepted = self._forwarder.accept(req)
            await self._forward_while_connected(accepted, reply, receive)
            outcome = "answered"
        except Refusal as exc:
            outcome = exc.kind.value
            await self._send_refusal(exc, head, reply)
        except Failure as exc:
            outcome = "cut"
            self._log.warning(
                "answer_cut", request=head.request_id if head else None, reason=exc
            )
        except _CallerGone:
            outcome = "caller_gone"
            self._log.info(
                "caller_gone",
                request=head.request_id if head else None,
                after_s=self._clock() - started,
            )
        except Exception as exc:
            outcome = "defect"
            await self._handle_defect(exc, head, reply)
        finally:
            reply.release()
        self._record_metrics(req, outcome, self._clock() - started)

    def _record_metrics(
        self, req: ForwardRequest | None, outcome: str, seconds: float
    ) -> None:
        operation = req.operation.name if req is not None else "none"
        organisation = (req.organisation if req is not None else None) or "none"
        self._metrics.timing("request", seconds, operation=operation, outcome=outcome)
        self._metrics.timing(
            "organisation_request", seconds, organisation=organisation, outcome=outcome
        )

    async def _handle_defect(
        self, exc: Exception, head: CallerHead | None, reply: CallerReply
    ) -> None:
        """Answer after an internal error, without stating whether the request ran."""
        self._log.error(
            "request_defect",
            request=head.request_id if head else None,
            reason=repr(exc),
            where=_innermost_frame(exc),
        )
        if not reply.is_started:
            await reply.send_response(
                *encode_refusal(Refusal(ErrorKind.INTERNAL, "internal error"))
            )

    async def _send_refusal(
        self, exc: Refusal, head: CallerHead | None, reply: CallerReply
    ) -> None:
        if exc.kind not in _KINDS_WITH_OWN_LINES:
            self._log.warning(
                "request_ended",
                request=head.request_id if head else None,
                kind=exc.kind,
                detail=exc.detail,
                started=reply.is_started,
            )
        if not reply.is_started:
            await reply.send_response(*encode_refusal(exc))

    # -- reading

    async def _refuse_if_overloaded(self, receive: Receive) -> None:
        """Refuse a request unread while this router is overloaded.

        Its body is discarded as it arrives, as an answer amid a body would be followed
        by bytes that are no request, or be lost if the connection is closed.

        Raises:
            Refusal: The router is overloaded.
        """
        try:
            self._check_load()
        except Refusal:
            self._on_arrival()
            limits = _caller_limits(self._configuration())
            await _discard_body(receive, limits.body_bytes)
            raise

    async def _read_request(self, head: CallerHead, receive: Receive) -> ForwardRequest:
        """Read the body, and look up the operation and organisation of the request.

        Raises:
            Refusal: The request is not allowed.
        """
        limits = _caller_limits(self._configuration())
        body = await _read_body(receive, limits.body_bytes)
        arrived_at = self._clock()
        # The configuration may have changed while the body was read.
        cfg = self._configuration()
        if cfg is None:
            raise Refusal(
                ErrorKind.NOT_READY, "no configuration has been loaded yet", 0.3
            )
        if self._is_refusing():
            raise Refusal(
                ErrorKind.NOT_READY, "the router is shutting down", DRAIN_RETRY_S
            )
        operation = cfg.operation(head.host, head.path)
        if operation is None:
            raise Refusal(
                ErrorKind.NOT_FOUND, f"no operation matches path {head.path!r}"
            )
        self._on_arrival()
        organisation = _organisation(cfg, operation, head)
        answer_deadline, waited_s = self._deadline_and_wait(head, operation, arrived_at)
        return ForwardRequest(
            head=head,
            body=body,
            operation=operation,
            service=operation.pick_service(self._rng),
            organisation=None if organisation is None else organisation.name,
            arrived_at=arrived_at,
            answer_deadline=answer_deadline,
            waited_s=waited_s,
            home_regions=common_homes(operation, organisation),
            priority=_priority(operation, organisation),
        )

    def _deadline_and_wait(
        self, head: CallerHead, operation: Operation, arrived_at: float
    ) -> tuple[float, float]:
        """Return when the answer is due, and how long the caller has waited already.

        A caller that retries sends a shorter deadline than at its first attempt.
        """
        if head.deadline_s is None:
            return arrived_at + operation.timeout_s, 0.0
        longest_s = self._longest_deadlines.get(operation.name, 0.0)
        if head.deadline_s > longest_s:
            self._longest_deadlines[operation.name] = longest_s = head.deadline_s
        waited_s = max(0.0, (1.0 - DEADLINE_SPREAD) * longest_s - head.deadline_s)
        return arrived_at + min(head.deadline_s, operation.timeout_s), waited_s

    # -- forwarding

    async def _forward_while_connected(
        self, accepted: Accepted, reply: CallerReply, receive: Receive
    ) -> None:
        """Forward a request; cancel it when the caller closes its connection."""
        forward = asyncio.ensure_future(self._forwarder.forward(accepted, reply))
        disconnect = asyncio.ensure_future(receive())
        try:
            async with asyncio.timeout_at(accepted.req.answer_deadline):
                await asyncio.wait(
                    (forward, disconnect), return_when=asyncio.FIRST_COMPLETED
                )
            if not forward.done():
                raise _CallerGone
            forward.result()
        except TimeoutError:
            raise Refusal(
                ErrorKind.UPSTREAM_TIMEOUT, "the operation has timed out"
            ) from None
        finally:
            disconnect.cancel()
            if not forward.done():
                forward.cancel()
            await asyncio.gather(forward, disconnect, return_exceptions=True)


class _CallerGone(Exception):
    """The caller closed its connection before the answer was complete."""


async def _read_body(receive: Receive, limit: int) -> bytes:
    # A list of parts would take several times the size of very small ones.
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _CallerGone
        part = message.get("body", b"")
        if len(body) + len(part) > limit:
            raise Refusal(ErrorKind.TOO_LARGE, f"the body exceeds {limit} bytes")
        if not message.get("more_body"):
            return bytes(body + part) if body else part
        body += part


async def _discard_body(receive: Receive, limit: int) -> None:
    n_bytes = 0
    while n_bytes <= limit:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _CallerGone
        n_bytes += len(message.get("body", b""))
        if not message.get("more_body"):
            return


def _caller_limits(cfg: Configuration | None) -> CallerLimits:
    return cfg.limits if cfg is not None else CallerLimits()


def _innermost_frame(exc: Exception) -> str:
    """Return the file and line at which an exception was raised."""
    frames = traceback.extract_tb(exc.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""


def _priority(operation: Operation, organisation: Organisation | None) -> int:
    if organisation is None or organisation.priority is None:
        return operation.priority
    return organisation.priority


def _organisation(
    cfg: Configuration, operation: Operation, head: CallerHead
) -> Organisation | None:
    """Return the organisation of a request; None if it needs no credential.

    Raises:
        Refusal: The credential is missing or unknown.
    """
    if cfg.organisations is None:
        return None
    found = cfg.organisation(head.credential) if head.credential else None
    if found is not None:
        return found
    if operation.is_public:
        return None
    raise Refusal(ErrorKind.UNAUTHORISED, "the credential is missing or unknown")
