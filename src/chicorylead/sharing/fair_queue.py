"""Fair queue of one upstream pool at one router.

The split of slots over the fleet limits the requests that the router may have in
flight. The organisation with the lowest virtual time goes first. Within an
organisation a long request is ordered as if it had arrived later by a fixed penalty.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import ceil, floor, inf

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import OrganisationId, ServiceName
from chicorylead.sharing.cost import CostEstimate
from chicorylead.sharing.ledger import Ledger
from chicorylead.sharing.split import allowance

__all__ = ["FairQueue", "FleetState", "SharingMode", "Ticket"]

LONG_PENALTY_S = 3.0
MAX_LONG_FRACTION = 0.6
SHORT_FRACTION = 0.8
MIN_SHORT_SLOTS = 3
ROUND_UP_FROM = 0.25
ROUNDING_BIAS = 0.1
EXCESS_FRACTION = 0.25


class SharingMode(Enum):
    """How routers share the slots of a pool.

    FLEET is the default; the others are baselines for comparison.

    Attributes:
        FLEET: The root's water level, applied to the current demand at this router.
        GRANTS: The root's split of the last reported demands as a total, at least one
            slot.
        ALONE: An equal fraction of the slots; fair queueing by the service of this
            router alone.
        LOCAL: The same fraction; first come, first served.
    """

    FLEET = "fleet"
    GRANTS = "grants"
    ALONE = "alone"
    LOCAL = "local"


@dataclass(slots=True)
class FleetState:
    """State of a pool over the whole fleet, as last reported to this router.

    Attributes:
        level: Water level, in slots per unit of share; infinity when all demand fits.
        n_slots: Slots of the pool.
        demand: Demand over the fleet, in slots.
        n_routers: Routers that report demand.
        demands: Demand over the fleet by organisation, in slots.
        own_demands: Demand that this router contributed to `demands`.
        factors: Factors that correct shares for service missed earlier.
        dither: Added before rounding down; evenly distributed over 0 to 1.
    """

    level: float = inf
    n_slots: float = 0.0
    demand: float = 0.0
    n_routers: int = 1
    demands: dict[OrganisationId, float] = field(default_factory=dict)
    own_demands: dict[OrganisationId, float] = field(default_factory=dict)
    factors: dict[OrganisationId, float] = field(default_factory=dict)
    dither: float = 0.5


@dataclass(eq=False, slots=True)
class Ticket:
    """A request that waits for a slot or holds one.

    Attributes:
        queued_at: Event-loop time, seconds.
        granted: Resolves when the request may be sent to an upstream.
        delivered: Cost delivered so far, in cost units.
        outstanding: Charged cost that is not yet delivered, in cost units.
        wait_reason: Why another request was last preferred.
    """

    organisation: OrganisationId
    share: float
    estimate: CostEstimate
    queued_at: float
    granted: asyncio.Future[None]
    holds_slot: bool = False
    is_long: bool = False
    delivered: float = 0.0
    outstanding: float = 0.0
    wait_reason: str = ""

    @property
    def order(self) -> float:
        """Return the sort key within an organisation: arrival plus any penalty."""
        penalty_s = LONG_PENALTY_S if self.is_long else 0.0
        return self.queued_at + penalty_s


class _OrganisationQueue:
    """Waiting requests of one organisation, in separate short and long queues."""

    def __init__(self) -> None:
        self.short: deque[Ticket] = deque()
        self.long: deque[Ticket] = deque()
        self.n_in_flight = 0

    def __len__(self) -> int:
        return len(self.short) + len(self.long)

    def add(self, ticket: Ticket) -> None:
        (self.long if ticket.is_long else self.short).append(ticket)

    def remove(self, ticket: Ticket) -> None:
        queue = self.long if ticket.is_long else self.short
        try:
            queue.remove(ticket)
        except ValueError:
            pass

    def head(self, short_only: bool) -> Ticket | None:
        if short_only or not self.long:
            return self.short[0] if self.short else None
        if not self.short:
            return self.long[0]
        return min(self.short[0], self.long[0], key=lambda ticket: ticket.order)


class FairQueue:
    """Fair queue of one upstream pool at one router.

    Args:
        service: Service whose upstreams form the pool.
        mode: How routers share its slots.

    Attributes:
        ledger: Service received by each organisation.
        fleet: Last reported state of the whole fleet.
        n_in_flight: Requests at this router that hold a slot.
        n_long: Long requests among them.
        on_queued: Called after a request was queued and free slots were granted.
    """

    def __init__(self, service: ServiceName, mode: SharingMode) -> None:
        self.service = service
        self.mode = mode
        self.ledger = Ledger()
        self.fleet = FleetState()
        self.n_in_flight = 0
        self.n_long = 0
        self.on_queued: Callable[[], None] = lambda: None
        self._queues: dict[OrganisationId, _OrganisationQueue] = {}
        self._clock = asyncio.get_running_loop().time
        self._shares: dict[OrganisationId, float] = {}

    # -- request lifecycle

    async def acquire(
        self,
        organisation: OrganisationId,
        share: float,
        estimate: CostEstimate,
        deadline: float,
        max_waiting: int,
    ) -> Ticket:
        """Wait for a slot.

        Args:
            organisation: Organisation that sends the request.
            share: Its share.
            estimate: Expected cost of the request.
            deadline: Event-loop time until which it may wait, seconds.
            max_waiting: Requests that the organisation may have waiting here.

        Raises:
            Refusal: QUEUE_FULL or DEADLINE_IN_QUEUE; the request did not run.
        """
        queue = self._queues.setdefault(organisation, _OrganisationQueue())
        if len(queue) >= max_waiting:
            raise Refusal(
                ErrorKind.QUEUE_FULL,
                f"organisation {organisation!r} has {len(queue)} requests waiting",
                retry_after_s=self._retry_after_s(queue),
            )
        self._shares[organisation] = share
        if not queue and not queue.n_in_flight:
            self.ledger.reactivate(organisation, list(self.waiting_by_organisation()))
        fut = asyncio.get_running_loop().create_future()
        ticket = Ticket(
            organisation, share, estimate, self._clock(), fut, is_long=estimate.is_long
        )
        queue.add(ticket)
        self.grant_slots()
        self.on_queued()
        try:
            async with asyncio.timeout_at(deadline):
                await fut
        except TimeoutError:
            self._withdraw(ticket)
            raise Refusal(
                ErrorKind.DEADLINE_IN_QUEUE,
                f"waited {self._clock() - ticket.queued_at:.3f} s for a slot; "
                f"{ticket.wait_reason or 'no slot became free'}",
            ) from None
        except asyncio.CancelledError:
            self._withdraw(ticket)
            raise
        return ticket

    def record_cost(self, ticket: Ticket, cost: float) -> bool:
        """Record cost delivered for a request in flight.

        Returns:
            Whether this cost reclassified the request as long.
        """
        account = self.ledger.account(ticket.organisation)
        account.served += cost
        covered = min(ticket.outstanding, cost)
        ticket.outstanding -= covered
        account.outstanding -= covered
        ticket.delivered += cost
        if ticket.is_long or ticket.delivered <= ticket.estimate.long_threshold:
            return False
        ticket.is_long = True
        self.n_long += 1 if ticket.holds_slot else 0
        return True

    def release(self, ticket: Ticket) -> None:
        """Release the slot of a request, if it holds one."""
        if not ticket.holds_slot:
            return
        ticket.holds_slot = False
        account = self.ledger.account(ticket.organisation)
        account.outstanding = max(0.0, account.outstanding - ticket.outstanding)
        ticket.outstanding = 0.0
        self.n_in_flight -= 1
        self.n_long -= 1 if ticket.is_long else 0
        self._queues[ticket.organisation].n_in_flight -= 1
        self.grant_slots()

    def _withdraw(self, ticket: Ticket) -> None:
        if ticket.holds_slot:
            self.release(ticket)
        else:
            self._queues[ticket.organisation].remove(ticket)

    def _retry_after_s(self, queue: _OrganisationQueue) -> int:
        oldest = queue.head(short_only=False)
        waited = self._clock() - oldest.queued_at if oldest else 1.0
        return max(1, min(30, ceil(waited)))

    # -- scheduling

    def grant_slots(self) -> None:
        """Grant free slots to waiting requests."""
        limit = self.limit()
        while (ticket := self._next_ticket(limit)) is not None:
            self._grant(ticket)

    def _grant(self, ticket: Ticket) -> None:
        queue = self._queues[ticket.organisation]
        queue.remove(ticket)
        queue.n_in_flight += 1
        self.n_in_flight += 1
        self.n_long += 1 if ticket.is_long else 0
        ticket.holds_slot = True
        ticket.outstanding = ticket.estimate.initial_charge
        self.ledger.account(
            ticket.organisation
        ).outstanding += ticket.estimate.initial_charge
        if not ticket.granted.done():
            ticket.granted.set_result(None)

    def _next_ticket(self, limit: float) -> Ticket | None:
        if self.n_in_flight < limit:
            long_at_limit = self.n_long >= max(1.0, MAX_LONG_FRACTION * limit)
            if long_at_limit:
                return self._pick(short_only=True) or self._pick(short_only=False)
            return self._pick(short_only=False)
        # Long requests must not block short ones. Short ones have a reserved number
        # of slots, beyond the limit if necessary, which slows the engine a little.
        n_short = self.n_in_flight - self.n_long
        if n_short < max(MIN_SHORT_SLOTS, SHORT_FRACTION * limit):
            return self._pick(short_only=True)
        return None

    def _pick(self, short_only: bool) -> Ticket | None:
        heads = [queue.head(short_only) for queue in self._queues.values()]
        waiting = [ticket for ticket in heads if ticket is not None]
        if not waiting:
            return None
        if self.mode is SharingMode.LOCAL:
            return min(waiting, key=lambda ticket: ticket.queued_at)
        now = self._clock()
        times = {ticket: self._virtual_time(ticket, now) for ticket in waiting}
        best = min(waiting, key=times.__getitem__)
        for ticket in waiting:
            if ticket is not best:
                ticket.wait_reason = (
                    f"{best.organisation} had received less service for its share"
                )
        return best

    def _virtual_time(self, ticket: Ticket, now: float) -> float:
        if self.mode is SharingMode.ALONE:
            account = self.ledger.account(ticket.organisation)
            return (account.served + account.outstanding) / ticket.share
        return self.ledger.virtual_time(ticket.organisation, ticket.share, now)

    # -- limit on requests in flight

    def limit(self) -> float:
        """Return how many requests this router may have in flight."""
        fleet = self.fleet
        match self.mode:
            case SharingMode.LOCAL | SharingMode.ALONE:
                return max(1.0, fleet.n_slots / max(1, fleet.n_routers))
            case SharingMode.GRANTS:
                return self._granted_slots()
        demand = reported = total = excess = 0.0
        for organisation, queue in self._queues.items():
            own = float(len(queue) + queue.n_in_flight)
            if not own:
                continue
            last_reported = fleet.own_demands.get(organisation, 0.0)
            others = max(0.0, fleet.demands.get(organisation, 0.0) - last_reported)
            share = self._shares[organisation] * fleet.factors.get(organisation, 1.0)
            allowed = allowance(own, others + own, share, fleet.level)
            total += allowed
            # Slots in use beyond the allowance cannot be reclaimed, and must not
            # reduce the slots of other organisations.
            excess += max(0.0, queue.n_in_flight - max(1.0, allowed))
            demand += own
            reported += min(own, last_reported)
        if fleet.level == inf:
            spare = max(0.0, fleet.n_slots - fleet.demand) / max(1, fleet.n_routers)
            total = min(demand, reported + max(1.0, spare))
        total += min(excess, EXCESS_FRACTION * total + 1.0)
        if fleet.level == inf:
            return float(ceil(total - ROUND_UP_FROM))
        # Dithering grants a fraction of a slot as a whole slot for that fraction of
        # the time.
        return float(floor(total + fleet.dither + ROUNDING_BIAS))

    def _granted_slots(self) -> float:
        """Return the slots granted from the last reports; at least one."""
        fleet = self.fleet
        total = 0.0
        for organisation, own in fleet.own_demands.items():
            fleet_demand = fleet.demands.get(organisation, own)
            share = self._shares[organisation] * fleet.factors.get(organisation, 1.0)
            total += allowance(own, fleet_demand, share, fleet.level)
        return max(1.0, float(floor(total + fleet.dither)))

    # -- demand, for reports

    def demands(self) -> dict[OrganisationId, float]:
        """Return the slots that each organisation could use at this router."""
        demands = {}
        for organisation, queue in self._queues.items():
            own = len(queue) + queue.n_in_flight
            if own:
                demands[organisation] = float(own)
        return demands

    def n_waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def waiting_by_organisation(self) -> dict[OrganisationId, tuple[int, int]]:
        """Return the numbers of requests waiting and in flight, by organisation."""
        return {
            organisation: (len(queue), queue.n_in_flight)
            for organisation, queue in self._queues.items()
            if len(queue) or queue.n_in_flight
        }
