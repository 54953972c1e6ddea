"""Settings of a router process, read from YAML and validated on load."""

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
    """Base of all sections; unknown fields are rejected."""


class PlatformSettings(_Section, kw_only=True):
    """Access to the platform.

    Attributes:
        url: Base URL of the platform's HTTP interface.
        token: Credential sent to the platform.
        request_timeout_s: Timeout of one call, seconds.
        vm_list_period_s: Interval between reads of the list of VMs, seconds.
        log_wait_s: Maximum wait of one read at the end of a stream, seconds.
    """

    url: Text
    token: Secret
    request_timeout_s: Positive = 2.0
    vm_list_period_s: Positive = 2.0
    log_wait_s: Positive = 5.0


class LinkSettings(_Section, kw_only=True):
    """Links between routers.

    Attributes:
        host: IP address that peers connect to.
        port: TCP port that peers connect to; 0 selects a free one.
        key: Shared secret that signs messages between routers.
        budget_bytes_per_s: Bandwidth limit of control traffic on the wire, both
            directions together, bytes/s.
        min_period_s: Minimum interval between reports on one link, seconds.
        silence_s: Time without a message after which a link is reconnected,
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
    """Limits on callers.

    Attributes:
        n_connections: Maximum number of open connections from callers.
        body_bytes: Maximum size of a request body, bytes.
        queue_per_share: Requests that an organisation may queue at one router per
            unit of its share.
        queue_min: Requests that any organisation may queue at one router.
        attempts: Maximum number of attempts for one idempotent request.
        extra_attempt_ratio: Maximum ratio of retries and hedges to all requests.
    """

    n_connections: Count = 2000
    body_bytes: Count = 1_000_000
    queue_per_share: Count = 64
    queue_min: Count = 16
    attempts: Count = 3
    extra_attempt_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1


class TimeoutSettings(_Section, kw_only=True):
    """Deadlines and timeouts, all in seconds.

    Attributes:
        default_deadline_s: Deadline of a request whose caller gave none.
        max_deadline_s: Longest deadline that a caller may request.
        connect_s: Time to open a connection to an upstream.
        first_byte_s: Time from sending a request to the first byte of the response.
        between_bytes_s: Time between two chunks of a response.
        drain_s: Hard time limit of a graceful shutdown; 0 sets no limit.
        address_lifetime_s: Time for which a caller may cache an address response.
    """

    default_deadline_s: Positive = 60.0
    max_deadline_s: Positive = 600.0
    connect_s: Positive = 1.0
    first_byte_s: Positive = 10.0
    between_bytes_s: Positive = 5.0
    drain_s: Annotated[float, Meta(ge=0)] = 0.0
    address_lifetime_s: Positive = 10.0


class MetricSettings(_Section, kw_only=True):
    """Export of metrics.

    Attributes:
        host: IP address of the statsd daemon; nothing is sent if absent.
        port: UDP port of the statsd daemon.
        prefix: First component of every metric name.
    """

    host: str | None = None
    port: Port = 8125
    prefix: Text = "chicorylead"


class RouterSettings(_Section, kw_only=True):
    """All settings of one router.

    Attributes:
        id: Name of this router, unique in the fleet.
        zone: Availability zone of this VM.
        host: IP address that callers connect to.
        port: TCP port that callers connect to; 0 selects a free one.
        operator_token: Credential for the operators' interface.
        platform: Access to the platform.
        link: Links between routers.
        limits: Limits on callers.
        timeouts: Deadlines and timeouts.
        metrics: Export of metrics.
        log_level: One of debug, info, warning, error.
        sharing: `fleet` shares slots between routers; `grants`, `alone` and
            `local` are baselines for comparison.
        seed: Seed of the random number generator.
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
        source: Name of the document in error messages.

    Raises:
        Refusal: BAD_REQUEST, naming the invalid field.
    """
    try:
        return msgspec.yaml.decode(text, type=RouterSettings)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise Refusal(ErrorKind.BAD_REQUEST, f"{source}: {exc}") from exc


def load_settings(path: Path) -> RouterSettings:
    """Read settings from a file.

    Raises:
        Refusal: BAD_REQUEST if the file cannot be read or is invalid.
    """
    try:
        text = path.read_bytes()
    except OSError as exc:
        reason = exc.strerror or str(exc)
        raise Refusal(ErrorKind.BAD_REQUEST, f"{path}: {reason}") from exc
    return parse_settings(text, str(path))
