"""Choose the routers that a caller should use.

Only live routers are returned, those in the caller's zone first. The order keeps the
requests of one organisation on few routers and balances the load of all.
"""

from msgspec import Struct

from chicorylead.ids import OrganisationId, ZoneName
from chicorylead.vm.rendezvous import rank
from chicorylead.vm.view import FleetView, Member

__all__ = ["AddressAnswer", "AddressEntry", "choose_addresses"]

MAX_ADDRESSES = 4


class AddressEntry(Struct, frozen=True):
    """Address of a router that the caller may use."""

    address: str
    zone: ZoneName


class AddressAnswer(Struct, frozen=True):
    """Routers in order of preference.

    Attributes:
        lifetime_s: How long the caller may cache the answer, seconds.
    """

    addresses: list[AddressEntry]
    lifetime_s: float


def choose_addresses(
    view: FleetView,
    organisation: OrganisationId | None,
    zone: ZoneName | None,
    lifetime_s: float,
) -> AddressAnswer:
    """Return the addresses for a caller.

    Args:
        view: View of the fleet.
        organisation: Organisation of the caller; its requests go to few routers.
        zone: Zone of the caller; by default the zone of this router.
        lifetime_s: How long the caller may cache the answer, seconds.
    """
    preferred_zone = zone or view.own.zone
    live = {member.id: member for member in view.live()}
    order = rank(organisation or "", live)
    chosen: list[Member] = [live[i] for i in order if live[i].zone == preferred_zone]
    chosen += [live[i] for i in order if live[i].zone != preferred_zone]
    entries = [AddressEntry(m.address, m.zone) for m in chosen[:MAX_ADDRESSES]]
    return AddressAnswer(entries, lifetime_s)
