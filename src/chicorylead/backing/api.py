"""What the system needs from a platform; another platform is another class."""

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

    After an append it says nothing about whether the entry was taken.
    """


class VmRole(Enum):
    """What a VM runs."""

    ROUTER = "router"
    UPSTREAM = "upstream"


class VmState(Enum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(Struct, frozen=True):
    """One VM of the platform's list.

    Attributes:
        id: Router id or upstream id.
        address: IP number and port for callers.
        link: IP number and port for peers; empty for an upstream.
    """

    id: str
    role: VmRole
    state: VmState
    zone: ZoneName
    address: str = ""
    link: str = ""


class VmList(Struct, frozen=True):
    """The platform's list, or its changes; it lags behind what happens.

    Attributes:
        version: Grows with each change.
        vms: VMs that are new or changed since the version asked for.
        removed: Ids that left the list since then.
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
    """Part of a stream.

    Attributes:
        first: Lowest offset that the log still keeps.
        end: Offset that the next entry will get.
        entries: Entries in order of offset.
    """

    first: Offset
    end: Offset
    entries: list[LogEntry]


class Platform(Protocol):
    """The seam between the system and the platform.

    Every method raises PlatformUnavailable when no answer came in time.

    Attributes:
        n_bytes: Wire bytes so far, by what they were for.
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
        """Ask for a transfer of weights; return the wait in seconds, 0 if granted."""

    async def close(self) -> None:
        """Release connections."""
