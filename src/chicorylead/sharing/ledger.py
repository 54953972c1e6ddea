"""Service received by each organisation, over the whole fleet.

Each organisation has a virtual time: service received divided by its share. Among
organisations with waiting requests the one with the lowest goes first. Reports
carry monotonic totals, and each report adds its difference to the last one from the
same source, so that lost, repeated and late reports are harmless.
"""

from collections import deque
from dataclasses import dataclass, field

from chicorylead.ids import OrganisationId

__all__ = ["Account", "Ledger"]

MAX_LAG_S = 60.0
HISTORY_S = 10.0


@dataclass(slots=True)
class Account:
    """Service of one organisation, as known to this router.

    Attributes:
        served: Cost that this router delivered, in cost units; monotonic.
        fleet_virtual_time: Virtual time from service reported by the whole fleet.
        last_fleet_served: Fleet-wide service in the last report, in cost units.
        outstanding: Charged cost of requests in flight here, not yet delivered.
        reported_outstanding: Value of `outstanding` in the last report.
        remote_outstanding: Outstanding cost at other routers.
        reported: Times and values of `served` at recent reports, which
            `fleet_virtual_time` may not include yet.
    """

    served: float = 0.0
    fleet_virtual_time: float = 0.0
    last_fleet_served: float | None = None
    outstanding: float = 0.0
    reported_outstanding: float = 0.0
    remote_outstanding: float = 0.0
    reported: deque[tuple[float, float]] = field(default_factory=deque)

    def unreported(self, now: float, delay_s: float) -> float:
        """Return the cost delivered here in about the last `delay_s` seconds."""
        base = self.served
        for at, total in reversed(self.reported):
            base = total
            if at <= now - delay_s:
                break
        return self.served - base


class Ledger:
    """Virtual times of one pool.

    Attributes:
        delay_s: Delay until a report is included in the fleet's totals, seconds.
        min_virtual_time: Minimum virtual time of a reactivated organisation.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.min_virtual_time = 0.0
        self._accounts: dict[OrganisationId, Account] = {}
        self._source: object = None

    def account(self, organisation: OrganisationId) -> Account:
        """Return the account of an organisation, creating it if necessary."""
        found = self._accounts.get(organisation)
        if found is None:
            found = self._accounts[organisation] = Account()
        return found

    def accounts(self) -> dict[OrganisationId, Account]:
        """Return all accounts."""
        return self._accounts

    def charge(self, organisation: OrganisationId, cost: float) -> None:
        """Record cost delivered by this router."""
        self.account(organisation).served += cost

    def virtual_time(
        self, organisation: OrganisationId, share: float, now: float
    ) -> float:
        """Return the virtual time used to choose the next request."""
        account = self.account(organisation)
        recent = account.unreported(now, self.delay_s)
        committed = account.outstanding + account.remote_outstanding
        return account.fleet_virtual_time + (recent + committed) / share

    def record_report(self, now: float) -> None:
        """Record the totals that are about to be reported."""
        for account in self._accounts.values():
            account.reported.append((now, account.served))
            while account.reported and account.reported[0][0] < now - HISTORY_S:
                account.reported.popleft()

    def apply_fleet_totals(
        self,
        source: object,
        totals: dict[OrganisationId, float],
        outstanding: dict[OrganisationId, float],
        shares: dict[OrganisationId, float],
    ) -> None:
        """Advance virtual times by the growth of the fleet's totals.

        Args:
            source: Identity of the root that computed the totals. Totals of
                different sources are not compared.
            totals: Service over the whole fleet, in cost units.
            outstanding: Outstanding cost of requests in flight over the whole fleet.
            shares: Share of each organisation.
        """
        same_source = source == self._source
        self._source = source
        for organisation, total in totals.items():
            account = self.account(organisation)
            if same_source and account.last_fleet_served is not None:
                growth = max(0.0, total - account.last_fleet_served)
                account.fleet_virtual_time += growth / max(
                    shares.get(organisation, 0.0), 1e-9
                )
            account.last_fleet_served = total
            total_cost = outstanding.get(organisation, 0.0)
            account.remote_outstanding = max(
                0.0, total_cost - account.reported_outstanding
            )

    def reactivate(
        self, organisation: OrganisationId, active: list[OrganisationId]
    ) -> None:
        """Raise the virtual time of a formerly idle organisation to the pool's minimum.

        An organisation gains no credit for the time for which it is idle.

        Args:
            organisation: Organisation that becomes active.
            active: Organisations with requests waiting or in flight here.
        """
        times = [self.account(other).fleet_virtual_time for other in active]
        if times:
            self.min_virtual_time = max(self.min_virtual_time, min(times))
        account = self.account(organisation)
        account.fleet_virtual_time = max(
            account.fleet_virtual_time, self.min_virtual_time
        )
