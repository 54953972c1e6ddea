"""Settings of a gateway: addresses, bounds and the limits of its own."""

from dataclasses import dataclass, field

from chicorylead.ids import RouterId, ZoneName

__all__ = ["Address", "Bounds", "GatewaySettings"]

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures that the operators promise to their users.

    Attributes:
        shutdown_s: Time between the signal to end and the kill, seconds.
        retry_ratio: Repeated sends allowed for each request of a service.
        retry_window_s: Span over which repeated sends are counted, seconds.
        retry_slack: Repeated sends allowed besides, over the whole fleet.
        share_window_s: Span over which organisations' shares are owed, seconds.
        address_lifetime_s: Longest time for which callers keep an address, seconds.
    """

    shutdown_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    share_window_s: float = 4.0
    address_lifetime_s: float = 5.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What one gateway process is told at its start.

    Attributes:
        callers: Where requests arrive.
        readiness: Where the platform asks whether the router is ready.
        control: Where peers ask for configuration that the store does not give.
        directory: Where callers ask for addresses.
        peers: Where datagrams of peers arrive; the same port on every VM.
        metrics: Where counters and histograms are read.
        seeds: IP numbers of some peers.
        store: The platform's store.
        seed: Start of the random numbers.
    """

    id: RouterId
    zone: ZoneName
    region: str
    callers: Address
    readiness: Address
    control: Address
    directory: Address
    peers: Address
    metrics: Address
    seeds: tuple[str, ...]
    store: Address
    seed: int = 1
    bounds: Bounds = field(default_factory=Bounds)
