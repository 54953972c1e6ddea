"""Aggregate demand and service of pools over the fleet along the reporting tree.

Routers report sums of demand and service to their parent. Parents report the water
level of each pool, and the fleet's totals for the organisations that the child
reported. No message is sent per request.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

from chicorylead.ids import Incarnation, OrganisationId, RouterId, ServiceName
from chicorylead.link.message import (
    FleetPoolReport,
    FleetReport,
    OrganisationSums,
    SubtreePoolReport,
    SubtreeReport,
)
from chicorylead.sharing.fair_queue import FairQueue, FleetState
from chicorylead.sharing.share_corrector import OrganisationUsage, ShareCorrector
from chicorylead.sharing.split import water_level
from chicorylead.vm.rendezvous import hash64

__all__ = ["FleetAggregator", "organisation_number"]

HUNDREDTHS = 100
PERCENT = 100
CONTENDED_FRACTION = 0.5
GOLDEN_RATIO = 0.618034
ALL_ORGANISATIONS = 0  # number under which uncontended demand is reported
CHILD_REPORT_TTL_S = 6.0
ACTIVE_WINDOW_S = 5.0


def organisation_number(organisation: OrganisationId) -> int:
    """Return the number that identifies an organisation in reports."""
    return 1 + hash64("organisation", organisation) % 0xFFFFFFFF


@dataclass(slots=True)
class _ChildReport:
    """Last report of one child about one pool.

    Attributes:
        received_at: Event-loop time, seconds.
        n_routers: Routers that the sums cover.
        demands: Demand by organisation number, in slots.
        served: Service by organisation number, in cost units; monotonic.
        outstanding: Outstanding cost by organisation number, in cost units.
    """

    received_at: float
    incarnation: Incarnation
    n_routers: int = 0
    demands: dict[int, int] = field(default_factory=dict)
    served: dict[int, int] = field(default_factory=dict)
    outstanding: dict[int, int] = field(default_factory=dict)


class _PoolSums:
    """Sums of one pool over this router and all routers below it in the tree.

    Attributes:
        children: Last report of each child.
        served: Service by organisation number, in cost units; monotonic.
        fleet_report: Last report on the whole fleet.
        names: Organisation by number.
        reported_demands: Demand of this router alone in its last report, in slots.
    """

    def __init__(self, pool: FairQueue) -> None:
        self.pool = pool
        self.children: dict[RouterId, _ChildReport] = {}
        self.served: dict[int, int] = {}
        self.fleet_report: FleetPoolReport | None = None
        self.share_corrector = ShareCorrector()
        self._own_served: dict[int, int] = {}
        self._changed_at: dict[int, float] = {}
        self.names: dict[int, OrganisationId] = {}
        self.reported_demands: dict[OrganisationId, float] = {}

    def apply_subtree_report(
        self,
        child: RouterId,
        incarnation: Incarnation,
        sums: SubtreePoolReport,
        now: float,
    ) -> None:
        report = self.children.get(child)
        if report is None or report.incarnation != incarnation:
            report = self.children[child] = _ChildReport(now, incarnation)
        report.received_at = now
        report.n_routers = sums.n_routers
        report.demands = {}
        report.outstanding = {}
        for number, (demand, served, outstanding) in sums.organisations.items():
            report.demands[number] = demand
            report.outstanding[number] = outstanding
            last_served = report.served.get(number, served)
            report.served[number] = max(last_served, served)
            self._add_served(number, max(0, served - last_served), now)

    def remove_child(self, child: RouterId) -> None:
        self.children.pop(child, None)

    def is_contended(self) -> bool:
        """Return whether reports must list organisations separately."""
        fleet = self.pool.fleet
        is_busy = fleet.demand >= CONTENDED_FRACTION * fleet.n_slots
        return is_busy or self.pool.n_waiting() > 0

    def add_own_service(self, now: float) -> dict[int, int]:
        """Add this router's service to the sums and return its demand.

        Without contention only the total demand is reported, and service is not
        charged to organisations, as no other request had to wait for it.
        """
        is_contended = self.is_contended()
        for organisation, account in self.pool.ledger.accounts().items():
            number = self._register(organisation)
            served = int(account.served)
            if is_contended:
                self._add_served(number, served - self._own_served.get(number, 0), now)
            self._own_served[number] = served
        if not is_contended:
            demand = int(sum(self.pool.demands().values()))
            return {ALL_ORGANISATIONS: demand} if demand else {}
        return {
            self._register(organisation): int(demand)
            for organisation, demand in self.pool.demands().items()
        }

    def sums(self, now: float) -> tuple[int, dict[int, OrganisationSums]]:
        """Return the number of routers and the sums by organisation."""
        demands = self.add_own_service(now)
        outstanding = self._record_outstanding()
        self.reported_demands = {
            self.names[number]: float(demand)
            for number, demand in demands.items()
            if number != ALL_ORGANISATIONS
        }
        n_routers = 1
        for child, report in list(self.children.items()):
            if report.received_at < now - CHILD_REPORT_TTL_S:
                del self.children[child]
                continue
            n_routers += report.n_routers
            for number, demand in report.demands.items():
                demands[number] = demands.get(number, 0) + demand
            for number, cost in report.outstanding.items():
                outstanding[number] = outstanding.get(number, 0) + cost
        active = {n for n, at in self._changed_at.items() if at > now - ACTIVE_WINDOW_S}
        active.update(demands)
        sums = {
            n: (demands.get(n, 0), self.served.get(n, 0), outstanding.get(n, 0))
            for n in active
        }
        return n_routers, sums

    def _record_outstanding(self) -> dict[int, int]:
        """Return the outstanding cost at this router and record it as reported."""
        costs = {}
        for organisation, account in self.pool.ledger.accounts().items():
            account.reported_outstanding = account.outstanding
            if account.outstanding >= 1.0 and self.is_contended():
                costs[self._register(organisation)] = int(account.outstanding)
        return costs

    def _add_served(self, number: int, growth: int, now: float) -> None:
        if growth > 0 or number not in self.served:
            self.served[number] = self.served.get(number, 0) + growth
            self._changed_at[number] = now

    def _register(self, organisation: OrganisationId) -> int:
        number = organisation_number(organisation)
        self.names[number] = organisation
        return number


class FleetAggregator:
    """Builds and applies the sections of reports about pools.

    Args:
        router: This router.
        incarnation: Its incarnation.
        share_of: Returns the share of an organisation number; 0 when unknown.
        n_slots: Returns the slots of a pool.

    Attributes:
        round_trip_s: Time that a report takes to the root and back, seconds.
    """

    def __init__(
        self,
        router: RouterId,
        incarnation: Incarnation,
        share_of: Callable[[int], float],
        n_slots: Callable[[ServiceName], float],
    ) -> None:
        self._router = router
        self._incarnation = incarnation
        self._share_of = share_of
        self._n_slots = n_slots
        self._sums: dict[ServiceName, _PoolSums] = {}
        self._clock = asyncio.get_running_loop().time
        self._sent_demand = 0.0
        self.round_trip_s = 0.0

    def add_pool(self, pool: FairQueue) -> None:
        """Include a pool in reports."""
        self._sums[pool.service] = _PoolSums(pool)

    def pools(self) -> Iterable[FairQueue]:
        """Iterate over the pools."""
        return [sums.pool for sums in self._sums.values()]

    # -- reports to the parent

    def build_subtree_report(self) -> dict[str, SubtreePoolReport]:
        """Return the sums of each pool for the report to the parent."""
        now = self._clock()
        pools: dict[str, SubtreePoolReport] = {}
        for service, sums in self._sums.items():
            n_routers, organisations = sums.sums(now)
            sums.pool.ledger.record_report(now)
            if organisations:
                pools[service] = SubtreePoolReport(n_routers, organisations)
        self._sent_demand = self._demand()
        return pools

    def apply_subtree_report(
        self, child: RouterId, incarnation: Incarnation, subtree_report: SubtreeReport
    ) -> None:
        """Apply the report of a child."""
        now = self._clock()
        for service, sums in self._sums.items():
            pool_report = subtree_report.pools.get(service) or SubtreePoolReport(1, {})
            sums.apply_subtree_report(child, incarnation, pool_report, now)

    def remove_child(self, child: RouterId) -> None:
        """Remove the demand of a child that is gone or has another parent."""
        for sums in self._sums.values():
            sums.remove_child(child)

    def demand_changed(self) -> bool:
        """Return whether demand changed enough to report before the period ends."""
        demand = self._demand()
        return abs(demand - self._sent_demand) > max(2.0, 0.25 * self._sent_demand)

    def _demand(self) -> float:
        return sum(sum(s.pool.demands().values()) for s in self._sums.values())

    # -- reports from the parent, or computed at the root

    def run_root_round(self) -> None:
        """Act as the root: compute and apply water levels from this router's sums."""
        now = self._clock()
        for service, sums in self._sums.items():
            n_routers, organisations = sums.sums(now)
            sums.pool.ledger.record_report(now)
            fleet_report = self._compute_fleet_report(
                service, sums, n_routers, organisations, now
            )
            self._apply(sums, fleet_report, (self._router, self._incarnation), 0.0)
        self._sent_demand = self._demand()

    def _compute_fleet_report(
        self,
        service: ServiceName,
        sums: _PoolSums,
        n_routers: int,
        organisations: dict[int, OrganisationSums],
        now: float,
    ) -> FleetPoolReport:
        """Compute the water level of a pool, with shares corrected for lag."""
        n_slots = self._n_slots(service)
        shares = {number: self._share_of(number) for number in organisations}
        known = {n: d for n, d in organisations.items() if shares[n] > 0}
        level = water_level(
            [(float(d), shares[n]) for n, (d, *_) in known.items()], n_slots
        )
        usages = {
            n: OrganisationUsage(
                shares[n],
                served,
                outstanding,
                level < inf and demand > shares[n] * level,
            )
            for n, (demand, served, outstanding) in known.items()
        }
        factors = sums.share_corrector.update(usages, now, self.round_trip_s)
        corrected = [
            (float(demand), shares[n] * factors.get(n, 1.0))
            for n, (demand, *_) in known.items()
        ]
        level = water_level(corrected, n_slots)
        totals = {
            n: (*sums_of, int(factors.get(n, 1.0) * PERCENT))
            for n, sums_of in known.items()
        }
        return FleetPoolReport(
            -1 if level == inf else int(level * HUNDREDTHS),
            int(n_slots * HUNDREDTHS),
            sum(demand for demand, *_ in organisations.values()),
            n_routers,
            totals,
        )

    def apply_fleet_report(self, fleet_report: FleetReport) -> None:
        """Apply the report of the parent."""
        source = (fleet_report.root, fleet_report.root_incarnation)
        delay_s = (fleet_report.depth + 1) * fleet_report.period_ms / 1000.0
        self.round_trip_s = delay_s
        for service, pool_report in fleet_report.pools.items():
            sums = self._sums.get(ServiceName(service))
            if sums is not None:
                self._apply(sums, pool_report, source, delay_s)

    def build_fleet_report(self, child: RouterId) -> dict[str, FleetPoolReport]:
        """Return water levels, and totals of the organisations the child reported."""
        pools: dict[str, FleetPoolReport] = {}
        for service, sums in self._sums.items():
            fleet_report = sums.fleet_report
            if fleet_report is None:
                continue
            report = sums.children.get(child)
            reported = report.served if report is not None else {}
            totals = {
                number: total
                for number, total in fleet_report.organisations.items()
                if number in reported
            }
            pools[service] = FleetPoolReport(
                fleet_report.level,
                fleet_report.n_slots,
                fleet_report.demand,
                fleet_report.n_routers,
                totals,
            )
        return pools

    def _apply(
        self,
        sums: _PoolSums,
        fleet_report: FleetPoolReport,
        source: object,
        delay_s: float,
    ) -> None:
        sums.fleet_report = fleet_report
        pool = sums.pool
        pool.ledger.delay_s = delay_s
        known = {
            sums.names[number]: total
            for number, total in fleet_report.organisations.items()
            if number in sums.names
        }
        shares = {name: self._share_of(organisation_number(name)) for name in known}
        served = {name: float(total[1]) for name, total in known.items()}
        outstanding = {name: float(total[2]) for name, total in known.items()}
        pool.ledger.apply_fleet_totals(source, served, outstanding, shares)
        pool.fleet = FleetState(
            level=inf if fleet_report.level < 0 else fleet_report.level / HUNDREDTHS,
            n_slots=fleet_report.n_slots / HUNDREDTHS,
            demand=float(fleet_report.demand),
            n_routers=fleet_report.n_routers,
            demands={name: float(total[0]) for name, total in known.items()},
            own_demands=dict(sums.reported_demands),
            dither=(pool.fleet.dither + GOLDEN_RATIO) % 1.0,
            factors={name: total[3] / PERCENT for name, total in known.items()},
        )
        pool.grant_slots()
