"""Which upstreams a request may be sent to at all, beside those that accept new work.

Every way to an upstream asks here: first sends, repeats, trials, take-ups and the
question whether another upstream would do.
"""

from collections.abc import Mapping, Sequence

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import RegionName, ZoneName
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.traffic.evacuation import Evacuations
from chicorylead.traffic.home_regions import is_at_home
from chicorylead.traffic.request import ForwardRequest
from chicorylead.upstream.live import LiveUpstream

__all__ = ["Eligibility"]

# The end of an evacuation, or another upstream, is not announced; routers know of it
# in less than a second.
RETRY_S = 1.0


class Eligibility:
    """Excludes the upstreams of evacuated zones, and those outside home regions.

    Args:
        evacuations: The evacuated zones.
        regions: Region of each zone.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        regions: Mapping[ZoneName, RegionName],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._evacuations = evacuations
        self._regions = regions
        self._log = log
        self._metrics = metrics

    def select(
        self, req: ForwardRequest, ready: Sequence[LiveUpstream]
    ) -> Sequence[LiveUpstream]:
        """Return those of the ready upstreams that a request may be sent to."""
        zones = self._evacuations.zones
        if zones:
            ready = [u for u in ready if u.entry.zone not in zones]
        return self._at_home(req, ready)

    def _at_home(
        self, req: ForwardRequest, ready: Sequence[LiveUpstream]
    ) -> Sequence[LiveUpstream]:
        homes = req.home_regions
        if homes is None:
            return ready
        return [u for u in ready if is_at_home(u.entry.zone, homes, self._regions)]

    def refusal(
        self, req: ForwardRequest, ready: Sequence[LiveUpstream]
    ) -> Refusal | None:
        """Return the refusal of a request that no ready upstream may get, if so."""
        if not ready or self.select(req, ready):
            return None
        reason, detail = self._reason(req, ready)
        zones = ",".join(sorted({u.entry.zone for u in ready}))
        homes = ",".join(sorted(req.home_regions or ())) or "-"
        self._metrics.count("requests.ineligible", reason=reason)
        self._log.warning(
            "request_ineligible",
            request=req.id,
            operation=req.operation.name,
            organisation=req.organisation,
            reason=reason,
            n_ready=len(ready),
            zones=zones,
            homes=homes,
            retry_after_s=RETRY_S,
        )
        return Refusal(ErrorKind.NO_UPSTREAM, detail, RETRY_S)

    def _reason(
        self, req: ForwardRequest, ready: Sequence[LiveUpstream]
    ) -> tuple[str, str]:
        """Return why no upstream may get a request: a word, and a sentence."""
        if req.home_regions is not None and not req.home_regions:
            return "no_home", "the route and the organisation share no home region"
        if not self._at_home(req, ready):
            names = ", ".join(sorted(req.home_regions or ()))
            return "home", f"no upstream of service {req.service!r} is in {names}"
        # Those at home are in evacuated zones, and others are not at home.
        where = "at home " if req.home_regions is not None else ""
        return (
            "evacuated",
            f"all upstreams {where}of service {req.service!r} are in evacuated zones",
        )
