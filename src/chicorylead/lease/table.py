"""Leases for exclusive actions, decided by the order of the log.

An entry names its predecessor; of two entries with the same predecessor, only the
first in the log counts. The offset of the entry that acquired a lease is its fencing
token. Each router measures durations by its own clock: the holder from before it
sent its entry, a contender from when it read the entry, so that the holder always
stops before a contender starts.
"""

from dataclasses import dataclass

import msgspec
from msgspec import Struct

from chicorylead.ids import Offset, RouterId

__all__ = ["LeaseEntry", "LeaseState", "LeaseTable", "decode_entry", "encode_entry"]


class LeaseEntry(Struct, frozen=True):
    """A log entry that acquires, renews or releases a lease.

    Attributes:
        name: Name of the lease.
        router: Router that appended the entry.
        attempt: Id of one acquisition; its renewals and its release repeat it.
        previous: Offset of the preceding entry of the lease; 0 for the first.
        duration_s: Duration of the lease, seconds.
        is_release: Whether the holder releases the lease before it expires.
    """

    name: str
    router: RouterId
    attempt: str
    previous: Offset
    duration_s: float
    is_release: bool = False


_decoder = msgspec.json.Decoder(LeaseEntry)


def encode_entry(entry: LeaseEntry) -> str:
    """Return an entry encoded for the log."""
    return msgspec.json.encode(entry).decode()


def decode_entry(data: str) -> LeaseEntry | None:
    """Return the lease entry in the data of a log entry, or None if malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None


@dataclass(slots=True)
class LeaseState:
    """State of one lease.

    Attributes:
        entry: The newest entry.
        fencing: Fencing token: offset of the entry that acquired the lease.
        last: Offset of the newest entry.
        read_at: Event-loop time at which the newest entry was read, seconds.
    """

    entry: LeaseEntry
    fencing: Offset
    last: Offset
    read_at: float

    def is_available(self, now: float, margin_s: float) -> bool:
        """Tell whether a contender may acquire the lease."""
        if self.entry.is_release:
            return now >= self.read_at + margin_s
        return now >= self.read_at + self.entry.duration_s + margin_s


class LeaseTable:
    """State of all leases, computed from the log entries in order.

    Attributes:
        next_offset: Offset of the next entry to apply.
    """

    def __init__(self) -> None:
        self.next_offset = Offset(1)
        self._leases: dict[str, LeaseState] = {}

    def get(self, name: str) -> LeaseState | None:
        """Return the state of a lease, or None if it was never held."""
        return self._leases.get(name)

    def apply(self, offset: Offset, entry: LeaseEntry | None, now: float) -> None:
        """Apply the entry at an offset, read at time `now`; ignore it if it is old."""
        if offset < self.next_offset:
            return
        self.next_offset = Offset(offset + 1)
        if entry is None:
            return
        state = self._leases.get(entry.name)
        last = state.last if state is not None else Offset(0)
        if entry.previous != last:
            return
        is_renewal = state is not None and state.entry.attempt == entry.attempt
        fencing = state.fencing if state is not None and is_renewal else offset
        self._leases[entry.name] = LeaseState(entry, fencing, offset, now)
