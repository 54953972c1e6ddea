"""The regions in which a request may run.

Failure: data of an organisation, or of a route, leaves the regions that it was promised
to stay in, because an upstream elsewhere was faster or the only one left.
"""

from collections.abc import Mapping

from chicorylead.ids import RegionName, ZoneName
from chicorylead.traffic.model import Operation, Organisation

__all__ = ["common_homes", "is_at_home"]


def common_homes(
    operation: Operation, organisation: Organisation | None
) -> frozenset[RegionName] | None:
    """Return the home regions of a request; None if it may run anywhere.

    Returns:
        What the route and the organisation have in common, which may be nothing.
    """
    homes = operation.home_regions
    if organisation is None or organisation.home_regions is None:
        return homes
    return (
        organisation.home_regions
        if homes is None
        else (homes & organisation.home_regions)
    )


def is_at_home(
    zone: ZoneName,
    homes: frozenset[RegionName],
    regions: Mapping[ZoneName, RegionName],
) -> bool:
    """Return whether a zone is in a home region; an unknown zone is in no region."""
    region = regions.get(zone)
    return region is not None and region in homes
