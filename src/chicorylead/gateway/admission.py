"""Selects an upstream for each request, or refuses the request."""

import asyncio
import math
from collections.abc import Callable, Set
from dataclasses import dataclass
from random import Random

from chicorylead.admission.cost import pool_demand
from chicorylead.admission.fair_share import (
    NO_FLEET_USAGE,
    FairShare,
    FleetUsage,
    ShareKey,
)
from chicorylead.admission.gate import (
    Admit,
    Demand,
    Refuse,
    decide,
    decide_elsewhere,
    share_use,
)
from chicorylead.admission.permits import Permits
from chicorylead.admission.placement import Placement, place
from chicorylead.admission.return_times import ReturnTimes
from chicorylead.admission.speed import ResponseTimes
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.traffic.request import ForwardRequest
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.registry import Registry

__all__ = ["NO_UPSTREAM_RETRY_S", "AdmissionController", "Admitted"]

NO_UPSTREAM_RETRY_S = 0.5  # restarted upstreams are listed within about 1 s
RETURNS_PER_S = 10.0  # to upstreams that have paused and do not tell what they take
NONE_EXCLUDED: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted request.

    Attributes:
        placement: The upstream for the first attempt.
        usage: Usage of its organisation at the time of admission.
        is_elsewhere: Whether the best upstream did not admit it.
    """

    placement: Placement
    usage: FleetUsage
    is_elsewhere: bool = False


class AdmissionController:
    """Selects upstreams for requests, and refuses requests that would be late.

    Args:
        registry: Upstreams that may get requests.
        shares: Usage and fair shares of organisations.
        permits: Decides when this router may send to limited upstreams.
        shortest_objective_s: Returns a service's shortest latency objective, seconds.
    """

    def __init__(
        self,
        registry: Registry,
        shares: FairShare,
        permits: Permits,
        shortest_objective_s: Callable[[ServiceName], float],
        log: EventLog,
        rng: Random,
    ) -> None:
        self._registry = registry
        self._shares = shares
        self._permits = permits
        self._shortest_objective_s = shortest_objective_s
        self._log = log
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._returns: dict[ServiceName, ReturnTimes] = {}
        self._response_times: dict[ServiceName, ResponseTimes] = {}

    def response_times(self, service: ServiceName) -> ResponseTimes:
        """Return the response times of a service, learned from its answers."""
        return self._response_times.setdefault(service, ResponseTimes())

    def place(
        self,
        req: ForwardRequest,
        share_ratio: float,
        excluded: Set[UpstreamId] = NONE_EXCLUDED,
    ) -> Placement | None:
        """Return the best upstream to send a request to once more.

        Args:
            req: The request.
            share_ratio: What its organisation had of its share.
            excluded: Upstreams that get it only if no other is ready.
        """
        placement = self._best(req, share_ratio, excluded)
        if placement is not None:
            placement.upstream.intake.record_sent()
        return placement

    def place_apart(
        self, req: ForwardRequest, share_ratio: float, excluded: Set[UpstreamId]
    ) -> Placement | None:
        """Return the upstream with the fewest requests; None if all are excluded."""
        candidates = self._candidates(req, share_ratio, excluded)
        fewest = min((u.work.n_requests for u in candidates), default=0)
        placement = place(
            [u for u in candidates if u.work.n_requests == fewest],
            req.head.prompt,
            self.response_times(req.service),
            self._clock(),
        )
        if placement is not None:
            placement.upstream.intake.record_sent()
        return placement

    def has_other(
        self, req: ForwardRequest, share_ratio: float, excluded: Set[UpstreamId]
    ) -> bool:
        """Return whether another upstream takes a request now."""
        return bool(self._candidates(req, share_ratio, excluded))

    def admit(self, req: ForwardRequest) -> Admitted:
        """Return the upstream for a new request.

        Raises:
            Refusal: No upstream is ready, or none can start the request in time.
        """
        usage = self._fleet_usage(req)
        placement = self._best(req, usage.share_ratio, NONE_EXCLUDED)
        if placement is None:
            self._record_usage(req, is_admitted=False)
            raise self.no_upstream(req, usage.share_ratio)
        demand = Demand(self._shortest_objective_s(req.service), usage.share_ratio)
        verdict = decide(placement, demand, self._rng)
        if isinstance(verdict, Refuse):
            verdict = self._admit_elsewhere(req, placement, demand) or verdict
        self._record_usage(req, isinstance(verdict, Admit))
        match verdict:
            case Admit(placement=admitted):
                admitted.upstream.intake.record_sent()
                return Admitted(admitted, usage, admitted is not placement)
            case Refuse() as refuse:
                self._log_refused(req, placement, usage, refuse)
                is_over_share = refuse.is_over_share
                raise Refusal(
                    ErrorKind.OVER_SHARE if is_over_share else ErrorKind.QUEUE_FULL,
                    f"wait {placement.queue_s:.3f} s, limit {refuse.limit_s:.3f} s",
                    refuse.retry_after_s,
                )

    def _admit_elsewhere(
        self, req: ForwardRequest, refused: Placement, demand: Demand
    ) -> Admit | None:
        """Return whether another engine admits a request that the best one refused."""
        prompt = req.head.prompt
        if prompt is None or refused.upstream.prefixes is None:
            return None
        return decide_elsewhere(
            refused,
            self._candidates(req, demand.share_ratio, NONE_EXCLUDED),
            prompt,
            demand,
            self.response_times(req.service),
            self._clock(),
        )

    def no_upstream(self, req: ForwardRequest, share_ratio: float) -> Refusal:
        """Return the refusal of a request for which no upstream takes requests now."""
        ready = self._registry.ready(req.service, req.version)
        if not ready and req.version is not None:
            return Refusal(
                ErrorKind.VERSION_GONE,
                f"no upstream runs version {req.version!r}, which began the stream",
            )
        if not ready:
            return Refusal(
                ErrorKind.NO_UPSTREAM,
                f"no upstream is ready for service {req.service!r}",
                NO_UPSTREAM_RETRY_S,
            )
        used = share_use(share_ratio)
        waits = [self._wait_s(upstream, used) for upstream in ready]
        # Infinite where other routers send to all of the upstreams.
        wait_s = min(filter(math.isfinite, waits), default=0.0)
        is_over_share = any(self._wait_s(upstream, 0.0) == 0.0 for upstream in ready)
        limits = [u.intake.limit_per_s for u in ready if u.intake.limit is not None]
        per_s = sum(limits) / self._permits.n_routers or RETURNS_PER_S
        returns = self._returns.setdefault(req.service, ReturnTimes(self._rng))
        retry_after_s = returns.take_s(wait_s, per_s, self._clock())
        self._log.warning(
            "request_limited",
            request=req.id,
            operation=req.operation.name,
            organisation=req.organisation,
            n_ready=len(ready),
            n_limited=len(limits),
            limits_per_s=sum(limits),
            n_routers=self._permits.n_routers,
            wait_s=wait_s,
            standing=share_ratio,
            is_over_share=is_over_share,
            waited_s=req.waited_s,
            retry_after_s=retry_after_s,
        )
        return Refusal(
            ErrorKind.OVER_SHARE if is_over_share else ErrorKind.QUEUE_FULL,
            "upstreams take no more requests for now",
            retry_after_s,
        )

    def _best(
        self, req: ForwardRequest, share_ratio: float, excluded: Set[UpstreamId]
    ) -> Placement | None:
        """Return the best upstream; an excluded one only if no other is ready."""
        candidates = self._candidates(req, share_ratio, excluded)
        if not candidates and excluded:
            candidates = self._candidates(req, share_ratio, NONE_EXCLUDED)
        return place(
            candidates, req.head.prompt, self.response_times(req.service), self._clock()
        )

    def _candidates(
        self, req: ForwardRequest, share_ratio: float, excluded: Set[UpstreamId]
    ) -> list[LiveUpstream]:
        now = self._clock()
        used = share_use(share_ratio)
        ready = self._registry.ready(req.service, req.version)
        taking = [
            u for u in ready if u.id not in excluded and self._wait_s(u, used) == 0.0
        ]
        # If all are ejected, the fault is elsewhere and any upstream will do.
        preferred = (
            [u for u in taking if u.is_open(now) and now >= u.intake.avoided_until],
            [u for u in taking if u.is_open(now)],
        )
        return next(filter(None, preferred), taking)

    def _wait_s(self, upstream: LiveUpstream, used: float) -> float:
        """Return the time until an upstream takes a request of this router, seconds."""
        pause_s = upstream.intake.paused_until - self._clock()
        return max(0.0, pause_s, self._permits.wait_s(upstream, used))

    def _fleet_usage(self, req: ForwardRequest) -> FleetUsage:
        if req.organisation is None:
            return NO_FLEET_USAGE
        pool = pool_demand(req.service, req.head.prompt).pool
        return self._shares.fleet_usage(ShareKey(pool, req.organisation))

    def _record_usage(self, req: ForwardRequest, is_admitted: bool) -> None:
        """Record usage; a request counts as asked only at its first attempt."""
        if req.organisation is None:
            return
        demand = pool_demand(req.service, req.head.prompt)
        self._shares.record(
            ShareKey(demand.pool, req.organisation),
            asked=demand.amount if req.waited_s == 0.0 else 0.0,
            admitted=demand.amount if is_admitted else 0.0,
        )

    def _log_refused(
        self,
        req: ForwardRequest,
        placement: Placement,
        usage: FleetUsage,
        refuse: Refuse,
    ) -> None:
        demand = pool_demand(req.service, req.head.prompt)
        self._log.warning(
            "request_refused",
            request=req.id,
            operation=req.operation.name,
            organisation=req.organisation,
            upstream=placement.upstream.id,
            queue_s=placement.queue_s,
            limit_s=refuse.limit_s,
            has_room=placement.has_room,
            n_running=placement.upstream.work.n_requests,
            n_slots=placement.upstream.entry.n_slots,
            slots_used=placement.load.slots,
            prefilling=placement.load.prefill,
            read_again_s=placement.read_again_s,
            reason=refuse.reason,
            pool=demand.pool,
            amount=demand.amount,
            standing=usage.share_ratio,
            got=usage.admitted,
            asked=usage.asked,
            level=usage.level,
            usage_age_s=usage.usage_age_s,
            is_over_share=refuse.is_over_share,
            waited_s=req.waited_s,
            retry_after_s=refuse.retry_after_s,
        )
