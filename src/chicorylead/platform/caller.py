"""Wire format of callers' requests and of a router's own responses."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import PromptPartId, RegionName, RequestId, ZoneName
from chicorylead.traffic.request import CallerHead, Prompt, PromptPart

__all__ = [
    "ADDRESS_PATH",
    "READINESS_PATH",
    "AddressQuery",
    "decode_address_query",
    "decode_head",
    "encode_addresses",
    "encode_refusal",
]

Headers = list[tuple[bytes, bytes]]

ADDRESS_PATH = "/api/resolve"
READINESS_PATH = "/api/readyz"

_REQUEST_ID = b"chicorylead-attempt-id"
# Time that the caller still waits, not a point in time.
_TIME_LEFT = b"chicorylead-deadline-ms"
# Prompt tokens, then the maximum number of output tokens.
_TOKEN_COUNTS = b"chicorylead-token-counts"
# Parts of the prompt with their lengths; despite the name, not a hash of the whole.
_PROMPT_PARTS = b"chicorylead-prefix-hash"
_OUTPUT_ESTIMATE = b"chicorylead-length-hint"
_LAST_EVENT_ID = b"last-event-id"
# The attempt that brought the first event, also after several broken answers.
_RESUMES = b"resumes"
_CREDENTIAL_SCHEME = b"token "

_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"host",
    )
)
# The router sets these itself; a caller's own value must not reach an upstream.
_ROUTER_HEADERS = frozenset(
    (
        b"authorization",
        b"chicorylead-tenant",
        b"chicorylead-expect-instance",
        b"chicorylead-kv-retain",
        b"chicorylead-pin-ms",
        b"chicorylead-kv-backup",
        b"kv-from",
        b"kv-fetch",
        _REQUEST_ID,
        _TIME_LEFT,
        _LAST_EVENT_ID,
    )
)
_NOT_FORWARDED = _CONNECTION_HEADERS | _ROUTER_HEADERS

_STATUS = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.UNAUTHORISED: 401,
    ErrorKind.FORBIDDEN: 403,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.TOO_LARGE: 413,
    # The callers' protocol promises "not run" with 429 and 503 only: 429 where the
    # caller's organisation has used its share, 503 where nobody could be served.
    ErrorKind.OVER_SHARE: 429,
    ErrorKind.QUEUE_FULL: 503,
    ErrorKind.DEADLINE_IN_QUEUE: 503,
    ErrorKind.NO_UPSTREAM: 503,
    ErrorKind.VERSION_GONE: 503,
    ErrorKind.STREAM_UNKNOWN: 503,
    ErrorKind.NOT_READY: 503,
    ErrorKind.ROUTER_BUSY: 503,
    ErrorKind.POISON: 503,
    ErrorKind.UPSTREAM_FAILED: 502,
    ErrorKind.UPSTREAM_TIMEOUT: 504,
    ErrorKind.INTERNAL: 502,
}


_DEFAULT_STATUS = 502
# More than any engine's memory; sums over many prompts still fit into a datagram.
MAX_TOKENS = 1_000_000_000


class AddressQuery(NamedTuple):
    """What a caller tells of itself when it looks up addresses.

    Attributes:
        host: Host that it is going to send requests to; empty if not told.
        region: Its region; None if not told.
        zone: Its availability zone; None if not told.
    """

    host: str
    region: RegionName | None
    zone: ZoneName | None


def decode_address_query(params: Mapping[str, str]) -> AddressQuery:
    """Decode the query of an address look-up."""
    region, zone = params.get("region"), params.get("zone")
    return AddressQuery(
        host=params.get("name", "").lower().partition(":")[0],
        region=RegionName(region) if region else None,
        zone=ZoneName(zone) if zone else None,
    )


def decode_head(method: str, target: bytes, headers: Iterable[tuple]) -> CallerHead:
    """Decode the head of a request.

    Args:
        method: Method of the request line.
        target: Target of the request line, as received.
        headers: Names in lower case, and values.

    Raises:
        Refusal: The head is malformed.
    """
    values: dict[bytes, bytes] = {}
    forwarded: list[tuple[bytes, bytes]] = []
    connection_options = _connection_options(headers)
    for name, value in headers:
        if name in values and name in (_REQUEST_ID, b"host", b"authorization"):
            raise Refusal(ErrorKind.BAD_REQUEST, f"header {name!r} is repeated")
        values[name] = value
        if name not in _NOT_FORWARDED and name not in connection_options:
            forwarded.append((name, value))
    request_id = values.get(_REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        raise Refusal(ErrorKind.BAD_REQUEST, "the request id is missing")
    host = values.get(b"host", b"").decode("latin-1").lower()
    last_event = values.get(_LAST_EVENT_ID)
    resumes = values.get(_RESUMES)
    return CallerHead(
        request_id=RequestId(request_id),
        method=method,
        target=target,
        path=target.partition(b"?")[0].decode("latin-1"),
        host=host.partition(":")[0],
        credential=_credential(values.get(b"authorization")),
        deadline_s=_parse_deadline(values.get(_TIME_LEFT)),
        prompt=_prompt(values),
        last_event_id=None if last_event is None else last_event.decode("latin-1"),
        resumes=None if resumes is None else RequestId(resumes.decode("latin-1")),
        forwarded=tuple(forwarded),
    )


def _connection_options(headers: Iterable[tuple]) -> frozenset[bytes]:
    """Return the headers that the sender limits to this connection."""
    names = [
        item.strip().lower()
        for name, value in headers
        if name == b"connection"
        for item in value.split(b",")
    ]
    return frozenset(names)


def _credential(value: bytes | None) -> str | None:
    if value is None or value[: len(_CREDENTIAL_SCHEME)].lower() != _CREDENTIAL_SCHEME:
        return None
    return value[len(_CREDENTIAL_SCHEME) :].strip().decode("latin-1")


def _parse_deadline(value: bytes | None) -> float | None:
    try:
        seconds = float(value) / 1000 if value is not None else None
    except ValueError as exc:
        raise Refusal(ErrorKind.BAD_REQUEST, f"invalid deadline {value!r}") from exc
    if seconds is not None and not 0 <= seconds < 1e6:
        raise Refusal(ErrorKind.BAD_REQUEST, f"invalid deadline {value!r}")
    return seconds


def _prompt(headers: dict[bytes, bytes]) -> Prompt | None:
    """Decode the prompt; a malformed one is left for the upstream to check."""
    try:
        n_tokens, _, max_output = headers[_TOKEN_COUNTS].partition(b",")
        estimate = headers.get(_OUTPUT_ESTIMATE)
        return Prompt(
            n_tokens=_n_tokens(n_tokens),
            max_output_tokens=_n_tokens(max_output),
            expected_output_tokens=None if estimate is None else _n_tokens(estimate),
            parts=_parts(headers.get(_PROMPT_PARTS, b"")),
        )
    except (KeyError, ValueError):
        return None


def _n_tokens(value: bytes) -> int:
    """Decode a number of tokens.

    Raises:
        ValueError: It is not a number that a prompt or an answer can have.
    """
    number = float(value)
    if not 0 <= number <= MAX_TOKENS:
        raise ValueError(f"{value[:40]!r} tokens")
    return int(number)


def _parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in filter(None, (part.strip() for part in value.split(b","))):
        digits, _, n_tokens = item.rpartition(b":")
        parts.append(PromptPart(_part_id(digits.decode("ascii")), _n_tokens(n_tokens)))
    return tuple(parts)


def _part_id(digits: str) -> PromptPartId:
    return PromptPartId(bytes.fromhex(digits.zfill(len(digits) + len(digits) % 2)))


def encode_refusal(refusal: Refusal) -> tuple[int, Headers, bytes]:
    """Return the status, headers and body of an error response."""
    # Only kinds in `_STATUS` may promise that the request has not run.
    status = _STATUS.get(refusal.kind, _DEFAULT_STATUS)
    body = msgspec.json.encode({"error": refusal.kind.value, "detail": refusal.detail})
    headers: Headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    retry_after_s = refusal.retry_after_s
    if retry_after_s is None:
        retry_after_s = refusal.response.retry_after_s
    if retry_after_s is not None and status in (429, 503):
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
    return status, headers, body


def encode_addresses(addresses: list[str], lifetime_s: float) -> bytes:
    """Return the body of a response that lists addresses to connect to."""
    return msgspec.json.encode({"addrs": addresses, "ttlS": lifetime_s})
