"""An upstream's entry in the registry."""

from dataclasses import dataclass
from enum import Enum

from chicorylead.ids import ServiceName, SoftwareVersion, UpstreamId, ZoneName

__all__ = ["ListedState", "RegisteredUpstream"]


class ListedState(Enum):
    """Whether an upstream accepts new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class RegisteredUpstream:
    """One entry of the registry.

    Attributes:
        host: IP address; may be reused by another upstream later.
        version: Version of its software, not of a model's weights.
        n_slots: Largest number of requests that it runs at once.
        born_ms: Wall-clock time of its start, milliseconds; 0 if not given. An
            upstream restarted under the same id has lost all its state.
        sequence: Sequence number of the entry within one incarnation.
        cold_left_s: Time for which it stays cold, at the time of writing, seconds;
            None if not given.
        fault: What of the entry was ignored, as it is invalid.
    """

    id: UpstreamId
    service: ServiceName
    host: str
    port: int
    zone: ZoneName
    version: SoftwareVersion
    n_slots: int
    state: ListedState
    born_ms: int
    sequence: int
    cold_left_s: float | None = None
    fault: str = ""
