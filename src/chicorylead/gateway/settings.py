"""Settings of a gateway: addresses and operational bounds."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from chicorylead.ids import RegionName, RouterId, ZoneName

__all__ = ["Address", "Bounds", "GatewaySettings"]

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the operators promise to their users.

    Attributes:
        shutdown_s: Time between the termination signal and the kill, seconds.
        retry_ratio: Retries allowed per request of a service.
        retry_window_s: Window over which retries are counted, seconds.
        retry_slack: Additional retries allowed, over the whole fleet.
        share_window_s: Window over which organisations are owed their shares, seconds.
        address_lifetime_s: Longest time for which callers keep an address, seconds.
        cold_overshoot: In any second, a cold upstream receives at most this multiple of
            the rate that it tolerates, and the slack.
        cold_slack: Requests that it may receive in addition.
    """

    shutdown_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    share_window_s: float = 4.0
    address_lifetime_s: float = 5.0
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process.

    Attributes:
        callers: Address for requests of callers.
        readiness: Address for the platform's readiness checks.
        control: Address at which peers fetch records that the store does not supply.
        directory: Address at which callers look up routers.
        peers: Address for datagrams of peers; the same port on every VM.
        metrics: Address at which counters and histograms are read.
        seeds: IP addresses of some peers.
        store: Address of the platform's store.
        cores: Processor capacity of the VM, cores.
        processor_limit: Processor time that the process may use in a second, seconds;
            0 if the settings state none.
        memory_mb: Memory of the VM, MB; 0 if the settings state none.
        max_fds: Descriptors that the process may open; 0 if the settings state none.
        seed: Seed of the random numbers.
        regions: Region of each zone of the deployment.
    """

    id: RouterId
    zone: ZoneName
    region: RegionName
    callers: Address
    readiness: Address
    control: Address
    directory: Address
    peers: Address
    metrics: Address
    seeds: tuple[str, ...]
    store: Address
    cores: float = 1.0
    processor_limit: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0
    seed: int = 1
    bounds: Bounds = field(default_factory=Bounds)
    regions: Mapping[ZoneName, RegionName] = field(default_factory=dict)
