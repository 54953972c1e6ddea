"""The upstreams of one service, and the choice between them."""

import asyncio
from collections.abc import Callable
from random import Random

from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.records.store import RecordStore
from chicorylead.upstream.state import Health, UpstreamState
from chicorylead.vm.rendezvous import hash64
from chicorylead.vm.view import FleetView

__all__ = ["AttemptBudget", "UpstreamPool"]

MIN_HEALTHY_FRACTION = 0.5
BUDGET_BURST = 10.0
AFFINITY_MAX_RATIO = 1.25
TYPICAL_TOKENS = 32.0
MAX_CACHED_PREFIXES = 4096


class AttemptBudget:
    """Limits extra attempts, both retries and hedges, to a fraction of all requests.

    Args:
        ratio: Extra attempts allowed for each request.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._balance = BUDGET_BURST

    def record_request(self) -> None:
        """Record a first attempt."""
        self._balance = min(BUDGET_BURST, self._balance + self._ratio)

    def take(self) -> bool:
        """Take one extra attempt if the budget has one left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class UpstreamPool:
    """All upstreams of one service at one router.

    Args:
        service: Name of the service.
        store: Records in force.
        view: View of the fleet, including the leaving upstreams.
        rng: Breaks ties.
    """

    def __init__(
        self,
        service: ServiceName,
        store: RecordStore,
        view: FleetView,
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self.service = service
        self._store = store
        self._view = view
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._states: dict[UpstreamId, UpstreamState] = {}
        self._prefixes: dict[int, UpstreamId] = {}
        self.on_free: Callable[[], None] = lambda: None

    def refresh(self) -> None:
        """Apply the upstreams of the records in force."""
        wanted = {record.name: record for record in self._store.upstreams(self.service)}
        for name in [*self._states]:
            if name not in wanted:
                del self._states[name]
        for name, record in wanted.items():
            address = self._view.upstream_address(record)
            state = self._states.get(name)
            if state is None:
                self._states[name] = UpstreamState(record, address)
                continue
            if state.address != address:
                self._states[name] = UpstreamState(
                    record, address, n_in_flight=state.n_in_flight
                )
            state.record = record

    def states(self) -> list[UpstreamState]:
        """Return the states of all upstreams, ordered by name."""
        return [self._states[name] for name in sorted(self._states)]

    def state(self, upstream: UpstreamId) -> UpstreamState | None:
        """Return the state of one upstream."""
        return self._states.get(upstream)

    def n_slots(self) -> float:
        """Return the slots of all upstreams that may get new work."""
        return float(sum(state.record.window for state in self.usable()))

    def usable(self) -> list[UpstreamState]:
        """Return upstreams that are not leaving."""
        return [
            state
            for name, state in self._states.items()
            if not self._view.is_upstream_leaving(name)
        ]

    # -- choice

    def choose(
        self,
        expected_cost: float = TYPICAL_TOKENS,
        exclude: frozenset[UpstreamId] = frozenset(),
        prefix: str = "",
    ) -> UpstreamState | None:
        """Return the upstream that is expected to finish a request first.

        Args:
            expected_cost: Expected number of events in the answer.
            exclude: Upstreams that must not be chosen.
            prefix: Start of the prompt, for the prefix cache.
        """
        now = self._clock()
        usable = [s for s in self.usable() if s.record.name not in exclude]
        probes = [s for s in usable if s.health is Health.EJECTED and s.is_open(now)]
        if probes:
            return probes[0]
        available = [s for s in usable if s.is_open(now)]
        if len(available) < MIN_HEALTHY_FRACTION * len(usable):
            # With so many failures none is an outlier: use ejected upstreams as well.
            available = usable
        if not available:
            return None
        best = min(
            available, key=lambda s: (self._expected_s(s, expected_cost), s.n_served)
        )
        return self._prefer_cached(prefix, best, available, expected_cost)

    def _prefer_cached(
        self,
        prefix: str,
        best: UpstreamState,
        available: list[UpstreamState],
        expected_cost: float,
    ) -> UpstreamState:
        """Prefer the upstream that has the prefix cached, unless it is much slower."""
        if not prefix:
            return best
        digest = hash64(prefix)
        cached = self._states.get(self._prefixes.get(digest, UpstreamId("")))
        limit_s = AFFINITY_MAX_RATIO * self._expected_s(best, expected_cost)
        if (
            cached is not None
            and cached in available
            and self._expected_s(cached, expected_cost) <= limit_s
        ):
            return cached
        self._prefixes[digest] = best.record.name
        if len(self._prefixes) > MAX_CACHED_PREFIXES:
            self._prefixes.pop(next(iter(self._prefixes)))
        return best

    def _expected_s(self, state: UpstreamState, expected_cost: float) -> float:
        token_s = state.token_s or self.typical_token_s()
        first_byte_s = state.first_byte_s or token_s
        utilisation = (state.n_in_flight + 1) / state.record.window
        return (first_byte_s + token_s * expected_cost) * (1.0 + utilisation)

    def typical_token_s(self) -> float:
        """Return the median time between events in the pool, seconds."""
        known = sorted(s.token_s for s in self._states.values() if s.token_s > 0)
        return known[len(known) // 2] if known else 0.0

    def typical_first_byte_s(self) -> float:
        """Return the median time to the first byte in the pool, seconds."""
        known = sorted(s.first_byte_s for s in self._states.values() if s.first_byte_s)
        return known[len(known) // 2] if known else 0.0

    # -- results

    def exchange_started(self, state: UpstreamState) -> None:
        """Record the start of an exchange."""
        state.record_dispatch()
        state.n_in_flight += 1

    def exchange_ended(self, state: UpstreamState, ok: bool | None) -> None:
        """Record the end of an exchange; `ok` is None if the result is inconclusive."""
        state.n_in_flight -= 1
        if ok is None:
            if state.health is Health.PROBING:
                state.health = Health.EJECTED
            return
        if ok:
            state.record_success()
            return
        self._metrics.count("upstream.failures")
        n_ejected = sum(1 for s in self._states.values() if s.health is Health.EJECTED)
        may_eject = n_ejected + 1 <= len(self._states) * (1 - MIN_HEALTHY_FRACTION)
        if state.record_failure(self._clock(), may_eject):
            self._metrics.count("upstream.ejections")
            self._log.warning(
                "upstream_ejected",
                upstream=state.record.name,
                for_s=state.ejected_until - self._clock(),
            )
