"""Selects an upstream for each request, or refuses the request."""

import asyncio
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
from chicorylead.admission.gate import Admit, Demand, Refuse, decide
from chicorylead.admission.placement import Placement, place
from chicorylead.admission.speed import ResponseTimes
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.traffic.request import ForwardRequest
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.registry import Registry

__all__ = ["NO_UPSTREAM_RETRY_S", "AdmissionController", "Admitted"]

NO_UPSTREAM_RETRY_S = 0.5  # restarted upstreams are listed within about 1 s
NONE_EXCLUDED: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted request.

    Attributes:
        placement: The upstream for the first attempt.
        usage: Usage of its organisation at the time of admission.
    """

    placement: Placement
    usage: FleetUsage


class AdmissionController:
    """Selects upstreams for requests, and refuses requests that would be late.

    Args:
        registry: Upstreams that may get requests.
        shares: Usage and fair shares of organisations.
        shortest_objective_s: Returns a service's shortest latency objective, seconds.
    """

    def __init__(
        self,
        registry: Registry,
        shares: FairShare,
        shortest_objective_s: Callable[[ServiceName], float],
        log: EventLog,
        rng: Random,
    ) -> None:
        self._registry = registry
        self._shares = shares
        self._shortest_objective_s = shortest_objective_s
        self._log = log
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._response_times: dict[ServiceName, ResponseTimes] = {}

    def response_times(self, service: ServiceName) -> ResponseTimes:
        """Return the response times of a service, learned from its answers."""
        return self._response_times.setdefault(service, ResponseTimes())

    def place(
        self, req: ForwardRequest, excluded: Set[UpstreamId] = NONE_EXCLUDED
    ) -> Placement | None:
        """Return the best upstream; an excluded one only if no other is ready."""
        candidates = self._candidates(req.service, excluded)
        if not candidates:
            candidates = self._candidates(req.service, NONE_EXCLUDED)
        return place(
            candidates, req.head.prompt, self.response_times(req.service), self._clock()
        )

    def place_apart(
        self, req: ForwardRequest, excluded: Set[UpstreamId]
    ) -> Placement | None:
        """Return the upstream with the fewest requests; None if all are excluded."""
        candidates = self._candidates(req.service, excluded)
        fewest = min((u.work.n_requests for u in candidates), default=0)
        return place(
            [u for u in candidates if u.work.n_requests == fewest],
            req.head.prompt,
            self.response_times(req.service),
            self._clock(),
        )

    def admit(self, req: ForwardRequest) -> Admitted:
        """Return the upstream for a new request.

        Raises:
            Refusal: No upstream is ready, or none can start the request in time.
        """
        placement = self.place(req)
        if placement is None:
            raise Refusal(
                ErrorKind.NO_UPSTREAM,
                f"no upstream is ready for service {req.service!r}",
                NO_UPSTREAM_RETRY_S,
            )
        usage = self._fleet_usage(req)
        demand = Demand(self._shortest_objective_s(req.service), usage.share_ratio)
        verdict = decide(placement, demand, self._rng)
        self._record_usage(req, isinstance(verdict, Admit))
        match verdict:
            case Admit(placement=admitted):
                return Admitted(admitted, usage)
            case Refuse() as refuse:
                self._log_refused(req, placement, usage, refuse)
                is_over_share = refuse.is_over_share
                raise Refusal(
                    ErrorKind.OVER_SHARE if is_over_share else ErrorKind.QUEUE_FULL,
                    f"wait {placement.queue_s:.3f} s, limit {refuse.limit_s:.3f} s",
                    refuse.retry_after_s,
                )

    def _candidates(
        self, service: ServiceName, excluded: Set[UpstreamId]
    ) -> list[LiveUpstream]:
        now = self._clock()
        listed = [u for u in self._registry.ready(service) if u.id not in excluded]
        healthy = [upstream for upstream in listed if upstream.is_open(now)]
        # If all are ejected, the fault is elsewhere and any upstream will do.
        return healthy or listed

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
