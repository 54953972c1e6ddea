"""Decides where a stream that has broken off goes on.

Load pattern: a release, during which upstreams of several software versions serve. What
two versions write does not fit together, and upstreams do not check it. Callers take
their streams up at any router, also just after all routers were restarted. A router
knows where a stream began, as it or another one remembers it, or can prove that it does
not matter, as only one version has served for as long as streams last; else it refuses
at once. A router that is cut off proves nothing from the records that it had.
"""

from collections.abc import Set
from dataclasses import dataclass

from chicorylead.ids import ServiceName, SoftwareVersion

__all__ = ["BegunAt", "GoOn", "ServingVersions", "Unprovable", "decide_take_up"]

SOLE_SOURCE = "sole_version"
# A router that has just started reads the log within some tens of milliseconds, and
# one that was cut off reads the records as soon.
NOT_READ_RETRY_S = 0.3
# A lost router is noticed within about a second, and one that is late has answered.
NOT_ANSWERED_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class ServingVersions:
    """What a router knows of the software versions of a service.

    Attributes:
        lately: Versions that served within the time for which streams last.
        is_complete: Whether no other version can have served within that time, as far
            as the records tell.
        is_current: Whether the records were read since the take-up has come, so that
            they hold all versions at which its stream can have begun.
        has_read_log: Whether the streams that the log holds are known.
    """

    lately: Set[SoftwareVersion]
    is_complete: bool
    is_current: bool
    has_read_log: bool

    @property
    def sole(self) -> SoftwareVersion | None:
        """Return the only version at which streams can have begun, if that is sure."""
        if len(self.lately) != 1 or not self.is_complete or not self.is_current:
            return None
        (version,) = self.lately
        return version

    @property
    def is_mixed(self) -> bool:
        """Return whether streams of several versions may be under way."""
        return len(self.lately) > 1


@dataclass(frozen=True, slots=True)
class BegunAt:
    """Where a stream began.

    Attributes:
        service: Its service; None if no upstream of this service and version served
            lately, as far as the records tell.
        version: Software version of the upstream that began it, with its service.
        source: How that is known.
    """

    service: ServiceName | None
    version: SoftwareVersion | None
    source: str


@dataclass(frozen=True, slots=True)
class GoOn:
    """Go on at the upstreams of one version.

    Attributes:
        source: How the version is known.
    """

    service: ServiceName
    version: SoftwareVersion
    source: str


@dataclass(frozen=True, slots=True)
class Unprovable:
    """Refuse, as the version is not known.

    Attributes:
        retry_after_s: Time after which it may be known, seconds; None for never.
    """

    detail: str
    retry_after_s: float | None


def decide_take_up(
    began: BegunAt | None,
    service: ServiceName,
    services: Set[ServiceName],
    serving: ServingVersions,
    has_all_answers: bool,
) -> GoOn | Unprovable:
    """Return where a stream goes on.

    Args:
        began: Where the stream began, if that is known.
        service: The service for a new request.
        services: The services that the operation may use.
        serving: Software versions of the service for a new request.
        has_all_answers: Whether all routers that may know the stream have answered.
    """
    if began is not None:
        return _go_on_where_it_began(began, services, serving)
    if serving.sole is not None:
        return GoOn(service, serving.sole, SOLE_SOURCE)
    if not serving.is_current:
        return Unprovable("the records are not current", NOT_READ_RETRY_S)
    if not serving.has_read_log:
        return Unprovable("the log has not been read yet", NOT_READ_RETRY_S)
    if not has_all_answers:
        return Unprovable("not all routers have answered", NOT_ANSWERED_RETRY_S)
    return Unprovable("nobody knows the version that began it", None)


def _go_on_where_it_began(
    began: BegunAt, services: Set[ServiceName], serving: ServingVersions
) -> GoOn | Unprovable:
    if began.service is None or began.version is None:
        retry_s = None if serving.is_current else NOT_READ_RETRY_S
        return Unprovable("no upstream of the version that began it is known", retry_s)
    if began.service not in services:
        return Unprovable(f"its service {began.service!r} is not used any more", None)
    return GoOn(began.service, began.version, began.source)
