"""Wire format of requests to upstreams and of the heads of their responses."""

import math
from collections.abc import Mapping, Sequence

from chicorylead.ids import UpstreamId
from chicorylead.traffic.request import ForwardRequest
from chicorylead.upstream.answer import AnswerHead, UpstreamLoad
from chicorylead.upstream.notice import NO_NOTICE, Notice

__all__ = [
    "EVENT_NUMBER_FIELDS",
    "decode_answer",
    "decode_cold_left_s",
    "encode_request_head",
]

# Fields with a number that upstreams add to events: the version of the weights.
EVENT_NUMBER_FIELDS = (b"chicorylead-weight-versions",)

_REQUEST_ID = b"chicorylead-attempt-id"
_INSTANCE = b"chicorylead-instance-id"
_LOAD = b"chicorylead-instance-load"
_NOT_RUN = b"chicorylead-not-executed"
_SEAL = b"chicorylead-response-seal"
# Requests a second from all routers together, not from one.
_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
# Of health responses only.
_COLD_MS = b"chicorylead-cold-ms"
_WRONG_UPSTREAM = 421
# Statuses with which callers are promised that their request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_TURNED_AWAY = 503

_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


def encode_request_head(
    req: ForwardRequest,
    upstream: UpstreamId,
    time_left_s: float,
    last_event_id: str | None,
) -> bytes:
    """Return the head of a request.

    Args:
        req: The request.
        upstream: The only upstream that may run it.
        time_left_s: Time left for the response, seconds.
        last_event_id: Event after which a stream resumes.
    """
    head = req.head
    lines = [
        head.method.encode("latin-1") + b" " + head.target + b" HTTP/1.1",
        b"host: " + head.host.encode("latin-1"),
    ]
    lines.extend(name + b": " + value for name, value in head.forwarded)
    lines.append(_REQUEST_ID + b": " + req.id.encode("latin-1"))
    lines.append(b"chicorylead-deadline-ms: %d" % max(1, int(time_left_s * 1000)))
    lines.append(b"chicorylead-expect-instance: " + upstream.encode("latin-1"))
    if req.organisation is not None:
        lines.append(b"chicorylead-tenant: " + req.organisation.encode("latin-1"))
    if last_event_id is not None:
        lines.append(b"last-event-id: " + last_event_id.encode("latin-1"))
    if req.body or head.method in ("POST", "PUT", "PATCH"):
        lines.append(b"content-length: %d" % len(req.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def decode_answer(status: int, headers: Sequence[tuple[bytes, bytes]]) -> AnswerHead:
    """Decode the head of a response; header names are in lower case."""
    values = dict(headers)
    request_id = values.get(_REQUEST_ID)
    connection = values.get(b"connection", b"").lower()
    is_wrong_upstream = status == _WRONG_UPSTREAM
    is_not_run = is_wrong_upstream or _NOT_RUN in values
    return AnswerHead(
        status=status,
        request_id=None if request_id is None else request_id.decode("latin-1"),
        is_not_run=is_not_run,
        is_unproved_refusal=status in _NOT_RUN_STATUSES and not is_not_run,
        is_wrong_upstream=is_wrong_upstream,
        is_sealed=_SEAL in values,
        notice=NO_NOTICE if is_wrong_upstream else _notice(status, values),
        load=_load(values.get(_LOAD)),
        keep_alive_s=_keep_alive(values.get(b"keep-alive")),
        closes=b"close" in connection,
        headers=tuple(h for h in headers if h[0] not in _CONNECTION_HEADERS),
    )


def decode_cold_left_s(headers: Sequence[tuple[bytes, bytes]]) -> float | None:
    """Return for how long an upstream stays cold, by a health response, seconds.

    None if it does not tell.
    """
    cold_ms = _number(dict(headers).get(_COLD_MS))
    return None if cold_ms is None else cold_ms / 1000


def _notice(status: int, values: Mapping[bytes, bytes]) -> Notice:
    """Decode what the upstream states about the work that it takes."""
    limit_per_s = _number(values.get(_LIMIT))
    pause_s = _number(values.get(_RETRY_AFTER)) if status == _TURNED_AWAY else None
    return Notice(
        limit_per_s=limit_per_s,
        has_limit_statement=limit_per_s is not None or _LIMIT not in values,
        is_leaving=values.get(_LEAVING) == b"1",
        pause_s=pause_s or 0.0,
    )


def _number(value: bytes | None) -> float | None:
    """Decode a decimal number that is not negative; None if it is not one."""
    try:
        number = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _load(value: bytes | None) -> UpstreamLoad | None:
    """Decode running, waiting, slots and, if present, percent of the usual time."""
    if value is None:
        return None
    figures = [_number(item) for item in value.split(b",")]
    if len(figures) < 3 or None in figures:
        return None
    slowness = figures[3] / 100 if len(figures) > 3 and figures[3] > 0 else 1.0
    return UpstreamLoad(int(figures[0]), int(figures[1]), int(figures[2]), slowness)


def _keep_alive(value: bytes | None) -> float | None:
    for item in (value or b"").split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
