"""Decodes the operator's configuration from the platform's store."""

from typing import Annotated

from msgspec import Meta, Struct

from chicorylead.decoding import (
    Count,
    PositiveCount,
    decode_json,
    non_negative_number,
)
from chicorylead.ids import OrganisationId, RegionName, ServiceName
from chicorylead.traffic.model import (
    CallerLimits,
    Configuration,
    Engine,
    Operation,
    Organisation,
    RepeatPolicy,
    Service,
)
from chicorylead.traffic.stream import StreamRecord
from chicorylead.upstream.warm_up import ColdRule

__all__ = ["decode_configuration", "revision_of_configuration"]

MAX_COLD_START_S = 86_400.0
MAX_COLD_PER_S = 1e6  # beyond what a router can send
Number = Annotated[int, Meta(ge=-(2**53), le=2**53)]
Positive = Annotated[float, Meta(gt=0)]


class _Camel(Struct, rename="camel", frozen=True):
    """Base of the record's structures; unknown fields are ignored."""


class _Split(_Camel, frozen=True):
    service: str
    weight: float = 1.0


class _Route(_Camel, frozen=True):
    name: str
    host: str
    path_prefix: str
    # One of safe, unsafe and streaming; determines what may be repeated.
    route_kind: str
    # Maximum wait that the operator allows, not the caller's deadline.
    timeout_ms: Positive
    # Objective: time to the response, or to the first event of a stream.
    goal_ms: Positive = 1000.0
    # 0 is the highest priority.
    priority: Number = 0
    service: str | None = None
    split: list[_Split] = []
    # Upstreams that one request may be sent to, including the first.
    max_attempts: PositiveCount = 1
    public: bool = False
    # Requests carry a prompt; despite the name, none has to stay on one upstream.
    sticky: bool = False
    resumable: bool = False
    home_regions: list[str] | None = None


class _Engine(_Camel, frozen=True):
    slots: Count
    # KV cache of one engine, tokens.
    kv_capacity: Count
    # Tokens per stream event.
    stride: Count = 1


class _Service(_Camel, frozen=True):
    name: str
    health_path: str = "/healthz"
    # Total over all callers.
    max_conns: Count = 100
    # How long an upstream stays cold after its start, and the requests a second that it
    # tolerates meanwhile.
    cold_start_s: object = 0.0
    cold_per_s: object = 0.0
    engine: _Engine | None = None


class _Limits(_Camel, frozen=True):
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0
    # Throughput of all engines; an input token counts once, an output token twice.
    tokens_per_s: float | None = None


class _Organisation(_Camel, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: Number | None = None
    home_regions: list[str] | None = None


class _Config(_Camel, frozen=True):
    version: Count
    route_table: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Organisation] | None = None


class _Version(_Camel, frozen=True):
    version: Count


def revision_of_configuration(record: StreamRecord) -> tuple[int, ...] | None:
    """Return the version of a configuration; None if it is malformed."""
    try:
        return (decode_json(record.value or b"", _Version).version,)
    except ValueError:
        return None


def decode_configuration(data: bytes) -> Configuration:
    """Decode one version of the configuration.

    Raises:
        ValueError: The configuration is malformed.
    """
    config = decode_json(data, _Config)
    limits = config.limits
    organisations = None
    if config.tenants is not None:
        organisations = tuple(
            Organisation(
                OrganisationId(t.name),
                frozenset(t.api_keys),
                t.priority,
                _home_regions(t.home_regions),
            )
            for t in config.tenants
        )
    return Configuration(
        version=config.version,
        operations=tuple(_operation(route) for route in config.route_table),
        services={ServiceName(s.name): _service(s) for s in config.services},
        organisations=organisations,
        limits=CallerLimits(
            head_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
            tokens_per_s=limits.tokens_per_s,
        ),
        faults=tuple(fault for s in config.services for fault in _cold_faults(s)),
    )


def _operation(route: _Route) -> Operation:
    split = tuple((ServiceName(s.service), s.weight) for s in route.split)
    if not split and route.service is not None:
        split = ((ServiceName(route.service), 1.0),)
    if not split:
        raise ValueError(f"route {route.name!r} names no service")
    return Operation(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        repeat=_repeat(route),
        is_stream=route.route_kind == "streaming",
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.goal_ms / 1000,
        priority=route.priority,
        max_attempts=route.max_attempts,
        is_public=route.public,
        has_prompt=route.sticky,
        split=split,
        home_regions=_home_regions(route.home_regions),
    )


def _home_regions(names: list[str] | None) -> frozenset[RegionName] | None:
    """Return the home regions; None if none is named, as any region will do then."""
    return frozenset(map(RegionName, names)) if names else None


def _repeat(route: _Route) -> RepeatPolicy:
    match route.route_kind:
        case "safe":
            return RepeatPolicy.IDEMPOTENT
        case "streaming" if route.resumable:
            return RepeatPolicy.RESUMABLE
        case _:
            return RepeatPolicy.ONCE


def _service(service: _Service) -> Service:
    engine = None
    if service.engine is not None:
        engine = Engine(
            n_slots=service.engine.slots,
            kv_tokens=service.engine.kv_capacity,
            tokens_per_event=service.engine.stride,
        )
    return Service(
        ServiceName(service.name),
        service.health_path,
        service.max_conns,
        engine,
        ColdRule(
            non_negative_number(service.cold_start_s, MAX_COLD_START_S) or 0.0,
            non_negative_number(service.cold_per_s, MAX_COLD_PER_S) or 0.0,
        ),
    )


def _cold_faults(service: _Service) -> list[str]:
    """Return what is ignored of a service, as it is invalid."""
    values = (
        ("coldStartS", service.cold_start_s, MAX_COLD_START_S),
        ("coldPerS", service.cold_per_s, MAX_COLD_PER_S),
    )
    return [
        f"{name} {value!r} of service {service.name!r}"
        for name, value, largest in values
        if non_negative_number(value, largest) is None
    ]
