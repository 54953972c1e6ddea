"""The availability zones that the operator has evacuated.

Failure: a zone is about to lose power, or misbehaves in a way that routers do not
detect. The operator evacuates it; from then on its upstreams get nothing, whatever else
selects them. The key of a record names the zone, so that any value counts.
"""

import zlib

from chicorylead.ids import ZoneName

__all__ = ["Evacuations"]


class Evacuations:
    """The evacuated zones, as far as this router knows.

    Attributes:
        zones: Names of the zones; they may have no upstream yet.
        checksum: Equal at all routers that know the same zones; 0 for none, None before
            the first record.
    """

    def __init__(self) -> None:
        self.zones: frozenset[ZoneName] = frozenset()
        self.checksum: int | None = None

    def apply(self, zone: ZoneName, is_evacuated: bool) -> bool:
        """Evacuate a zone or revoke that; return whether it is a change."""
        if (zone in self.zones) == is_evacuated:
            self.checksum = self.checksum or 0
            return False
        self.zones = self.zones ^ {zone}
        names = "\n".join(sorted(self.zones))
        # Never 0 for a zone, whatever its checksum.
        self.checksum = (zlib.crc32(names.encode()) or 1) if self.zones else 0
        return True
