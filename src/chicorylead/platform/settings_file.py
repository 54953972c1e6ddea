"""Reads the settings file that the platform places on each VM."""

import os
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from chicorylead.decoding import decode_json
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.gateway.settings import Bounds, GatewaySettings
from chicorylead.ids import RegionName, RouterId, ZoneName

__all__ = ["SETTINGS_VARIABLE", "decode_settings", "read_settings", "settings_path"]

SETTINGS_VARIABLE = "CHICORYLEAD_NODE_FILE"

Port = Annotated[int, Meta(ge=1, le=65535)]


class _Camel(Struct, rename="camel", frozen=True):
    """Base of the file's sections; unknown fields are ignored."""


class _Listen(_Camel, frozen=True):
    frontend: str
    readiness: str
    control_plane: str
    directory: str


class _Bounds(_Camel, frozen=True):
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    quota_window_s: float = 4.0
    cold_overshoot: Annotated[float, Meta(ge=0)] = 1.5
    cold_slack: Annotated[float, Meta(ge=0)] = 5.0
    # Not in camel case, unlike the other names.
    ttl_max_s: float = msgspec.field(default=5.0, name="ttl_max_s")


class _Store(_Camel, frozen=True):
    address: str


class _Limits(_Camel, frozen=True):
    # Fraction of a core, and speed of that core relative to a usual one.
    cpu_share: Annotated[float, Meta(gt=0)] | None = None
    cores: Annotated[float, Meta(gt=0)] | None = None
    memory_mb: Annotated[float, Meta(ge=0)] = 0.0
    max_fds: Annotated[int, Meta(ge=0)] = 0

    @property
    def capacity_cores(self) -> float:
        return (self.cpu_share or 1.0) * (self.cores or 1.0)

    @property
    def processor_limit(self) -> float:
        if self.cpu_share is None and self.cores is None:
            return 0.0
        # Seconds of a usual core, as the platform counts processor time.
        return self.capacity_cores


class _File(_Camel, frozen=True):
    node_name: Annotated[str, Meta(min_length=1)]
    ip: str
    zone: str
    region: str
    listen: _Listen
    port_range: tuple[Port, Port]
    # Control addresses of some VMs, possibly including this one.
    seeds: list[str]
    platform: _Store
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    # Region of each zone.
    zones: dict[str, str] = {}


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises:
        Refusal: The environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise Refusal(ErrorKind.BAD_REQUEST, f"{SETTINGS_VARIABLE} is not set")
    return Path(path)


def read_settings(path: Path) -> GatewaySettings:
    """Read and check the settings file.

    Raises:
        Refusal: The file cannot be read, or a field is missing or invalid.
    """
    try:
        return decode_settings(path.read_bytes())
    except OSError as exc:
        raise Refusal(ErrorKind.BAD_REQUEST, f"settings {path}: {exc}") from exc
    except ValueError as exc:
        raise Refusal(ErrorKind.BAD_REQUEST, f"settings {path}: {exc}") from exc


def decode_settings(data: bytes) -> GatewaySettings:
    """Decode the content of the settings file.

    Raises:
        ValueError: A field is missing or invalid.
    """
    file = decode_json(data, _File)
    first_port, last_port = file.port_range
    if first_port > last_port:
        raise ValueError(f"portRange {first_port} to {last_port} is empty")
    return GatewaySettings(
        id=RouterId(file.node_name),
        zone=ZoneName(file.zone),
        region=RegionName(file.region),
        callers=_address(file.listen.frontend),
        readiness=_address(file.listen.readiness),
        control=_address(file.listen.control_plane),
        directory=_address(file.listen.directory),
        # The first port of the range receives datagrams of peers and serves the
        # metrics over TCP.
        peers=(file.ip, first_port),
        metrics=(file.ip, first_port),
        seeds=tuple(_address(seed)[0] for seed in file.seeds),
        store=_address(file.platform.address),
        cores=file.limits.capacity_cores,
        processor_limit=file.limits.processor_limit,
        memory_mb=file.limits.memory_mb,
        max_fds=file.limits.max_fds,
        bounds=Bounds(
            shutdown_s=file.bounds.grace_s,
            retry_ratio=file.bounds.retry_ratio,
            retry_window_s=file.bounds.retry_window_s,
            retry_slack=file.bounds.retry_slack,
            share_window_s=file.bounds.quota_window_s,
            address_lifetime_s=file.bounds.ttl_max_s,
            cold_overshoot=file.bounds.cold_overshoot,
            cold_slack=file.bounds.cold_slack,
        ),
        regions={ZoneName(z): RegionName(r) for z, r in file.zones.items()},
    )


def _address(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an IP address and a port")
    return host, int(port)
