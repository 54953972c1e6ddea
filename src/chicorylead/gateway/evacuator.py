"""Puts the operator's evacuations of zones in force at this router."""

import asyncio
from collections.abc import Callable, Set

from chicorylead.ids import ZoneName
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.traffic.evacuation import Evacuations
from chicorylead.traffic.stream import StreamRecord
from chicorylead.upstream.registry import Registry

__all__ = ["Evacuator"]

# A router that has just started knows its peers and the upstreams within a second.
ZONE_CHECK_S = 2.0
MAX_VALUE_LOGGED = 60  # bytes; the value has no meaning


class Evacuator:
    """Applies evacuations and their revocations.

    Runs that are in progress continue; idle connections to the zone are closed.

    Args:
        evacuations: The evacuated zones.
        registry: The upstreams.
        known_zones: Returns the zones in which a VM or an upstream is known.
        describe: Returns fields of the log that tell where the record came from.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        registry: Registry,
        known_zones: Callable[[], Set[ZoneName]],
        describe: Callable[[], dict[str, object]],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._evacuations = evacuations
        self._registry = registry
        self._known_zones = known_zones
        self._describe = describe
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def apply(self, zone: ZoneName, record: StreamRecord) -> None:
        """Apply a record whose key names a zone; its value only counts as present."""
        is_evacuated = record.value is not None
        if not self._evacuations.apply(zone, is_evacuated):
            return
        upstreams = [u for u in self._registry.all() if u.entry.zone == zone]
        if is_evacuated:
            for upstream in upstreams:
                upstream.close_idle()
            self._loop.call_later(ZONE_CHECK_S, self._check_zone, zone)
        event = "evacuation_begins" if is_evacuated else "evacuation_ends"
        self._metrics.count("evacuations", event="begin" if is_evacuated else "end")
        self._log.warning(
            event,
            zone=zone,
            value=repr((record.value or b"")[:MAX_VALUE_LOGGED]),
            era=record.era,
            offset=record.offset,
            n_upstreams=len(upstreams),
            n_running=sum(u.work.own.n_requests for u in upstreams),
            **self._describe(),
        )

    def _check_zone(self, zone: ZoneName) -> None:
        """Write a line if an evacuated zone is known from nothing else."""
        if zone not in self._evacuations.zones or zone in self._known_zones():
            return
        self._metrics.count("evacuations", event="unknown_zone")
        self._log.warning(
            "evacuation_zone_unknown",
            zone=zone,
            known=",".join(sorted(self._known_zones())),
        )
