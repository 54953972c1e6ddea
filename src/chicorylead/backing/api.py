"""Interface that the fleet needs from a platform; each platform is a class."""

from enum import Enum
from typing import Protocol

from msgspec import Struct

from chicorylead.ids import Offset, ZoneName

__all__ = [
    "LogEntry",
    "LogPage",
    "Platform",
    "PlatformUnavailable",
    "VmEntry",
    "VmList",
    "VmRole",
    "VmState",
]


class PlatformUnavailable(Exception):
    """A call to the platform failed or timed out.

    After a failed append it is unknown whether the entry was appended.
    """


class VmRole(Enum):
    """What a VM runs."""

    ROUTER = "router"
    UPSTREAM = "upstream"


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(Struct, frozen=True):
    """One VM in the platform's list.

    Attributes:
        id: Router id or upstream id.
        address: IP address and port for callers.
        link: IP address and port for peers; empty for an upstream.
    """

    id: str
    role: VmRole
    state: VmState
    zone: ZoneName
    address: str = ""
    link: str = ""


class VmList(Struct, frozen=True):
    """The platform's list of VMs, or its changes; it lags behind their real state.

    Attributes:
        version: Increases with each change.
        vms: VMs that are new or changed since the requested version.
        removed: Ids removed from the list since then.
        is_full: Whether `vms` is the whole list.
    """

    version: int
    vms: list[VmEntry]
    removed: list[str] = []
    is_full: bool = True


class LogEntry(Struct, frozen=True):
    """One entry of a stream."""

    offset: Offset
    data: str


class LogPage(Struct, frozen=True):
    """One page of a stream.

    Attributes:
        first: Lowest offset that the log retains.
        end: Offset that the next entry will get.
        entries: Entries in order of offset.
    """

    first: Offset
    end: Offset
    entries: list[LogEntry]


class Platform(Protocol):
    """Operations that the fleet needs from a platform.

    Every method raises PlatformUnavailable if there is no response in time.

    Attributes:
        n_bytes: Bytes on the wire so far, by subject.
    """

    n_bytes: dict[str, int]

    async def append(self, stream: str, data: str) -> Offset:
        """Append an entry and return its offset."""

    async def read(
        self, stream: str, start: Offset, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Read entries from an offset, waiting for one if there is none yet."""

    async def list_vms(self, since: int = 0) -> VmList:
        """Return the list of VMs, or what changed since a version."""

    async def reserve_weights(self, model: str) -> float:
        """Reserve a transfer of weights; return the wait in seconds, 0 if granted."""

    async def close(self) -> None:
        """Release connections."""
