"""The routers that callers are told to use, and those that read the store."""

from collections.abc import Callable

from chicorylead.gateway.settings import GatewaySettings
from chicorylead.ids import RegionName, RouterId, ZoneName
from chicorylead.logs import EventLog
from chicorylead.peer.datagram import RouterLoad
from chicorylead.peer.membership import Peer
from chicorylead.vm.serving import ArrivalRate, Candidate, DemandPeak, choose_serving

__all__ = ["ServingRouters"]

MAX_CHOICE_AGE_S = 0.1  # a tenth of the time in which a loss is noticed


class ServingRouters:
    """Evaluates `choose_serving` over this router and its live peers.

    Args:
        cfg: Settings of this router.
        peers: Returns the live peers.
        clock: Returns the time of the event loop, seconds.

    Attributes:
        is_ready: Whether callers may use this router.
        arrivals: Requests that arrive at this router.
        is_confirmed: Returns whether a peer has shown lately that it is alive.
        load: Size and load of this router's VM.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        peers: Callable[[], list[Peer]],
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._cfg = cfg
        self._log = log
        self._peers = peers
        self._clock = clock
        self._peak = DemandPeak()
        self._busy_peak = DemandPeak()
        self._chosen_at = float("-inf")
        self._serving: set[RouterId] = set()
        self._readers: set[RouterId] = set()
        self._basis: tuple[list[Candidate], float, float] = ([], 0.0, 0.0)
        self.is_ready = False
        self.arrivals = ArrivalRate(clock())
        self.load = RouterLoad()
        self.is_confirmed: Callable[[Peer], bool] = lambda peer: True

    def serving_peers(self) -> list[Peer]:
        """Return the peers that callers would be told to use."""
        serving = self._choose()
        return [
            peer
            for peer in self._peers()
            if peer.presence.is_ready and peer.presence.id in serving
        ]

    def addresses(self) -> list[str]:
        """Return the callers' addresses of the serving routers, without the lost."""
        serving = self._choose()
        addresses = [
            peer.presence.callers
            for peer in self.serving_peers()
            if self.is_confirmed(peer)
        ]
        if self.is_ready and self._cfg.id in serving:
            addresses.append("{}:{}".format(*self._cfg.callers))
        return addresses

    def regions(self) -> dict[str, RegionName]:
        """Return the region of each callers' address, where it is known."""
        regions = {
            peer.presence.callers: RegionName(peer.presence.region)
            for peer in self._peers()
            if peer.presence.region
        }
        regions["{}:{}".format(*self._cfg.callers)] = self._cfg.region
        return regions

    def is_serving(self, peer: Peer) -> bool:
        """Return whether callers are told to use a peer."""
        return peer.presence.id in self._choose()

    def is_own_serving(self) -> bool:
        """Return whether callers are told to use this router."""
        return self._cfg.id in self._choose()

    def is_reader(self) -> bool:
        """Return whether this router is one of those that read the store."""
        self._choose()
        return self._cfg.id in self._readers

    def handle_change(self) -> None:
        """Choose again, as a router was lost or changed its readiness."""
        self._chosen_at = float("-inf")

    def _choose(self) -> set[RouterId]:
        now = self._clock()
        if now - self._chosen_at < MAX_CHOICE_AGE_S:
            return self._serving
        self._chosen_at = now
        rate = self.arrivals.per_s(now)
        busy_cores = _busy_cores(self.load, self._cfg.cores)
        candidates: list[Candidate] = []
        if self.is_ready:
            candidates.append(
                _candidate(self._cfg.id, self._cfg.zone, self._cfg.cores, self.load)
            )
        for peer in self._peers():
            presence = peer.presence
            rate += presence.requests_per_s
            load = presence.load or RouterLoad()
            busy_cores += _busy_cores(load, presence.cores)
            if presence.is_ready:
                candidates.append(
                    _candidate(
                        RouterId(presence.id),
                        ZoneName(presence.zone),
                        presence.cores,
                        load,
                    )
                )
        peak = self._peak.record(rate, now)
        busy_peak = self._busy_peak.record(busy_cores, now)
        # The choice costs milliseconds in a fleet of hundreds; most of the time nothing
        # has changed.
        basis = (candidates, peak, busy_peak)
        if basis == self._basis:
            return self._serving
        self._basis = basis
        serving = choose_serving(candidates, peak, busy_peak)
        if serving != self._serving:
            self._log.info(
                "serving_routers",
                n_serving=len(serving),
                n_ready=len(candidates),
                requests_per_s=peak,
                busy_cores=busy_peak,
                n_near_limit=sum(c.is_near_limit for c in candidates),
                is_own=self._cfg.id in serving,
            )
        self._serving = serving
        # The fewest that leave each zone a reader when one is lost. Reading takes
        # little, so that those near their limits can go on.
        self._readers = choose_serving(
            [c._replace(is_near_limit=False) for c in candidates], 0.0
        )
        return self._serving


def _candidate(
    id_: RouterId, zone: ZoneName, cores: float, load: RouterLoad
) -> Candidate:
    return Candidate(id_, zone, cores, load.memory_mb, load.max_fds, load.is_near_limit)


def _busy_cores(load: RouterLoad, cores: float) -> float:
    return cores * load.processor_percent / 100
