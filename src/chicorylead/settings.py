"""Settings of a router process, read from YAML and checked on load."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from chicorylead.errors import ErrorKind, Refusal

__all__ = [
    "LimitSettings",
    "LinkSettings",
    "MetricSettings",
    "PlatformSettings",
    "RouterSettings",
    "TimeoutSettings",
    "load_settings",
    "parse_settings",
]

Port = Annotated[int, Meta(ge=0, le=65535)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Text = Annotated[str, Meta(min_length=1)]
Secret = Annotated[str, Meta(min_length=8)]


class _Section(Struct, forbid_unknown_fields=True, frozen=True):
    """Base of every section: an unknown field is an error, never ignored."""


class PlatformSettings(_Section, kw_only=True):
    """Where the platform is and how it is read.

    Attributes:
        url: Base URL of the platform's HTTP interface.
        token: Credential that the platform checks.
        request_timeout_s: Limit for one call, seconds.
        vm_list_period_s: Time between reads of the list of VMs, seconds.
        log_wait_s: Longest wait of one read at the end of a stream, seconds.
    """

    url: Text
    token: Secret
    request_timeout_s: Positive = 2.0
    vm_list_period_s: Positive = 2.0
    log_wait_s: Positive = 5.0


class LinkSettings(_Section, kw_only=True):
    """Links between routers.

    Attributes:
        host: IP number that peers dial.
        port: TCP port that peers dial; 0 takes a free one.
        key: Shared secret that signs messages between routers.
        budget_bytes_per_s: Wire bytes that control traffic may use, both
            directions together, bytes/s.
        min_period_s: Shortest time between two reports on one link, seconds.
        silence_s: A link without a message for this long is dialled again,
            seconds.
        fan_out: Mean number of children in the reporting tree.
    """

    host: Text = "127.0.0.1"
    port: Port = 0
    key: Secret
    budget_bytes_per_s: Positive = 2000.0
    min_period_s: Positive = 0.2
    silence_s: Positive = 2.0
    fan_out: Count = 4


class LimitSettings(_Section, kw_only=True):
    """Limits on what callers may hold.

    Attributes:
        n_connections: Open connections from callers.
        body_bytes: Largest request body, bytes.
        queue_per_share: Requests that an organisation may have waiting at one
            router for each unit of its share.
        queue_min: Requests that any organisation may have waiting.
        attempts: Most attempts at one idempotent request.
        extra_attempt_ratio: Retries and hedges as a part of all requests.
    """

    n_connections: Count = 2000
    body_bytes: Count = 1_000_000
    queue_per_share: Count = 64
    queue_min: Count = 16
    attempts: Count = 3
    extra_attempt_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1


class TimeoutSettings(_Section, kw_only=True):
    """Limits on waiting, all in seconds.

    Attributes:
        default_deadline_s: Time for a request whose caller gave no deadline.
        max_deadline_s: Longest deadline that a caller may ask for.
        connect_s: Opening a connection to an upstream.
        first_byte_s: From sending a request to the first byte of the answer.
        between_bytes_s: Between two parts of an answer.
        drain_s: Hard limit of a graceful shutdown; 0 sets no limit.
        address_lifetime_s: How long a caller may keep an address answer.
    """

    default_deadline_s: Positive = 60.0
    max_deadline_s: Positive = 600.0
    connect_s: Positive = 1.0
    first_byte_s: Positive = 10.0
    between_bytes_s: Positive = 5.0
    drain_s: Annotated[float, Meta(ge=0)] = 0.0
    address_lifetime_s: Positive = 10.0


class MetricSettings(_Section, kw_only=True):
    """Where metrics go.

    Attributes:
        host: IP number of the statsd daemon; absent sends nothing.
        port: UDP port of the statsd daemon.
        prefix: First part of every metric name.
    """

    host: str | None = None
    port: Port = 8125
    prefix: Text = "chicorylead"


class RouterSettings(_Section, kw_only=True):
    """All settings of one router.

    Attributes:
        id: Name of this router, unique in the fleet.
        zone: Availability zone that this VM stands in.
        host: IP number on which callers connect.
        port: TCP port on which callers connect; 0 takes a free one.
        operator_token: Credential of the operators' interface.
        platform: The platform's interface.
        link: Links between routers.
        limits: What callers may hold.
        timeouts: Limits on waiting.
        metrics: Where metrics go.
        log_level: One of debug, info, warning, error.
        sharing: `fleet` shares slots between routers; `grants`, `alone` and
            `local` are baselines to compare it with.
        seed: Seed of the random generator.
    """

    id: Text
    zone: Text
    host: Text = "127.0.0.1"
    port: Port = 0
    operator_token: Secret
    platform: PlatformSettings
    link: LinkSettings
    limits: LimitSettings = LimitSettings()
    timeouts: TimeoutSettings = TimeoutSettings()
    metrics: MetricSettings = MetricSettings()
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    sharing: Annotated[str, Meta(pattern="^(fleet|grants|alone|local)$")] = "fleet"
    seed: int = 0


def parse_settings(text: str | bytes, source: str = "settings") -> RouterSettings:
    """Decode settings from YAML.

    Args:
        text: YAML document.
        source: Name used in the error.

    Raises:
        Refusal: BAD_REQUEST, naming the offending field.
    """
    try:
        return msgspec.yaml.decode(text, type=RouterSettings)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise Refusal(ErrorKind.BAD_REQUEST, f"{source}: {exc}") from exc


def load_settings(path: Path) -> RouterSettings:
    """Read settings from a file.

    Raises:
        Refusal: BAD_REQUEST when the file cannot be read or does not check.
    """
    try:
        text = path.read_bytes()
    except OSError as exc:
        reason = exc.strerror or str(exc)
        raise Refusal(ErrorKind.BAD_REQUEST, f"{path}: {reason}") from exc
    return parse_settings(text, str(path))
