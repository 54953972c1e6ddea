"""Service received by each organisation, over the whole fleet.

Each organisation has a virtual time: service received divided by its share. Among
organisations with waiting requests the one with the lowest goes first. Reports
carry totals that only grow; what a message adds is the difference to the last one
on the same link, so that a lost, repeated or late report does no harm.
"""

from collections import deque
from dataclasses import dataclass, field

from chicorylead.ids import OrganisationId

__all__ = ["Account", "Ledger"]

MAX_LAG_S = 60.0
HISTORY_S = 10.0


@dataclass(slots=True)
class Account:
    """Service of one organisation, as this router knows it.

    Attributes:
        served: Cost that this router delivered, in cost units; only grows.
        fleet: Virtual time from service reported over the whole fleet.
        outstanding: Expected cost of requests in flight here, not yet delivered.
        reported_outstanding: What the last report said of it.
        elsewhere: Outstanding cost at other routers.
        reported: Recent totals of `served` that may not be in `fleet` yet.
    """

    served: float = 0.0
    fleet: float = 0.0
    fleet_total: float | None = None
    outstanding: float = 0.0
    reported_outstanding: float = 0.0
    elsewhere: float = 0.0
    reported: deque[tuple[float, float]] = field(default_factory=deque)

    def unreported(self, now: float, delay_s: float) -> float:
        """Return what was delivered here in the last `delay_s` seconds."""
        base = self.served
        for at, total in reversed(self.reported):
            base = total
            if at <= now - delay_s:
                break
        return self.served - base


class Ledger:
    """Virtual times of one pool.

    Attributes:
        delay_s: Time that a report takes to come back in the fleet's totals.
        floor: Virtual time at which organisations come back from idle.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.floor = 0.0
        self._accounts: dict[OrganisationId, Account] = {}
        self._source: object = None

    def account(self, organisation: OrganisationId) -> Account:
        """Return the account of an organisation, opened when it is new."""
        found = self._accounts.get(organisation)
        if found is None:
            found = self._accounts[organisation] = Account()
        return found

    def accounts(self) -> dict[OrganisationId, Account]:
        """Return all accounts."""
        return self._accounts

    def charge(self, organisation: OrganisationId, cost: float) -> None:
        """Note cost delivered by this router."""
        self.account(organisation).served += cost

    def virtual_time(
        self, organisation: OrganisationId, share: float, now: float
    ) -> float:
        """Return the virtual time by which the next request is chosen."""
        account = self.account(organisation)
        recent = account.unreported(now, self.delay_s)
        committed = account.outstanding + account.elsewhere
        return account.fleet + (recent + committed) / share

    def mark_report(self, now: float) -> None:
        """Remember the totals that a report is about to carry."""
        for account in self._accounts.values():
            account.reported.append((now, account.served))
            while account.reported and account.reported[0][0] < now - HISTORY_S:
                account.reported.popleft()

    def take_fleet_totals(
        self,
        source: object,
        totals: dict[OrganisationId, float],
        outstanding: dict[OrganisationId, float],
        shares: dict[OrganisationId, float],
    ) -> None:
        """Advance virtual times by the growth of the fleet's totals.

        Args:
            source: Identity of who added the totals up. Totals of different
                sources are not compared.
            totals: Service over the whole fleet, in cost units.
            outstanding: Cost still to come of requests in flight, fleet-wide.
            shares: Share of each organisation.
        """
        same_source = source == self._source
        self._source = source
        for organisation, total in totals.items():
            account = self.account(organisation)
            if same_source and account.fleet_total is not None:
                grown = max(0.0, total - account.fleet_total)
                account.fleet += grown / max(shares.get(organisation, 0.0), 1e-9)
            account.fleet_total = total
            whole = outstanding.get(organisation, 0.0)
            account.elsewhere = max(0.0, whole - account.reported_outstanding)

    def wake(self, organisation: OrganisationId, active: list[OrganisationId]) -> None:
        """Bring an organisation back from idle at the pool's virtual time.

        It may not claim service for the time in which it asked for none.

        Args:
            organisation: Who comes back.
            active: Organisations that wait or are served here.
        """
        times = [self.account(other).fleet for other in active]
        if times:
            self.floor = max(self.floor, min(times))
        account = self.account(organisation)
        account.fleet = max(account.fleet, self.floor)
