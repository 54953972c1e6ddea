"""Chooses which of the serving routers a caller is told, by region.

Failure: callers use any of the addresses that they are told, whatever their order. A
router of another region sees the bodies of requests that are to stay at home, and is
further away. Callers are therefore told of their own region alone, as long as one of
its routers serves.
"""

from collections.abc import Collection, Mapping, Sequence

from chicorylead.ids import RegionName

__all__ = ["choose_nearby"]


def choose_nearby(
    addresses: Sequence[str],
    regions: Mapping[str, RegionName],
    region: RegionName | None,
    homes: Collection[RegionName],
) -> Sequence[str]:
    """Return the addresses that a caller is told.

    Args:
        addresses: Addresses of the serving routers.
        regions: Region of each address. One that is not known, as its router runs an
            earlier release, counts as the caller's.
        region: Region of the caller; None if it is not known.
        homes: Regions in which the requests of the caller have to run, if it is known.
    """
    if region is None:
        return addresses
    if region in map(regions.get, addresses):
        return [a for a in addresses if regions.get(a, region) == region]
    return [a for a in addresses if regions.get(a) in homes] or addresses
