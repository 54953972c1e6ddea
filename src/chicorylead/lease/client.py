"""Acquire, renew and release one lease through the platform's log."""

import asyncio
from random import Random

from chicorylead.backing.api import Platform, PlatformUnavailable
from chicorylead.ids import Offset, RouterId
from chicorylead.lease.table import (
    LeaseEntry,
    LeaseState,
    LeaseTable,
    decode_entry,
    encode_entry,
)
from chicorylead.logs import EventLog

__all__ = ["LEASE_STREAM", "LeaseClient"]

LEASE_STREAM = "leases"
DURATION_S = 10.0
RENEW_AFTER_FRACTION = 0.4
HOLDER_MARGIN_S = 1.0
READ_LIMIT = 500


class LeaseClient:
    """Acquires and holds one lease on behalf of one router.

    Args:
        platform: Platform whose log stores the lease.
        name: Name of the lease.
        router: Id of this router.
        max_transit_s: Longest time for which an order of the previous holder may
            still be in transit; a contender waits that much longer. Seconds.
        rng: Source of attempt ids.
        duration_s: Duration of the lease, seconds.

    Attributes:
        fencing: Fencing token of the lease when it was last held.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        router: RouterId,
        max_transit_s: float,
        log: EventLog,
        rng: Random,
        duration_s: float = DURATION_S,
    ) -> None:
        self._platform = platform
        self._name = name
        self._router = router
        self._max_transit_s = max_transit_s
        self._log = log
        self._duration_s = duration_s
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._table = LeaseTable()
        self._attempt = ""
        self._held_until = float("-inf")
        self.fencing = Offset(0)

    def time_left_s(self) -> float:
        """Return for how many seconds the lease is still held, by the local clock."""
        return self._held_until - self._clock()

    async def acquire_or_renew(self) -> bool:
        """Acquire the lease, or renew it when due; return whether it is held.

        Raises:
            PlatformUnavailable: The log did not answer. A lease that is held remains
                held until it expires.
        """
        if self.time_left_s() > (1.0 - RENEW_AFTER_FRACTION) * self._duration_s:
            return True
        await self._read()
        state = self._table.get(self._name)
        is_own = state is not None and state.entry.attempt == self._attempt
        margin_s = self._max_transit_s + HOLDER_MARGIN_S
        has_other_holder = not is_own and state is not None
        if has_other_holder and not state.is_available(self._clock(), margin_s):
            return False
        if not is_own:
            self._attempt = f"{self._router}-{self._rng.getrandbits(48):012x}"
        await self._append(state, is_release=False)
        return self.time_left_s() > 0

    async def release(self) -> None:
        """Release the lease if it is held and the log answers."""
        state = self._table.get(self._name)
        if self.time_left_s() <= 0 or state is None:
            return
        self._held_until = float("-inf")
        try:
            await self._append(state, is_release=True)
        except PlatformUnavailable as exc:
            self._log.debug("lease_release_failed", lease=self._name, reason=exc)

    async def _append(self, state: LeaseState | None, is_release: bool) -> None:
        started = self._clock()
        previous = state.last if state is not None else Offset(0)
        entry = LeaseEntry(
            self._name,
            self._router,
            self._attempt,
            previous,
            self._duration_s,
            is_release,
        )
        offset = await self._platform.append(LEASE_STREAM, encode_entry(entry))
        while self._table.next_offset <= offset:
            await self._read()
        current = self._table.get(self._name)
        if current is None or current.entry.attempt != self._attempt or is_release:
            return
        if self.fencing != current.fencing:
            self._log.info("lease_taken", lease=self._name, fencing=current.fencing)
        self.fencing = current.fencing
        self._held_until = started + self._duration_s - HOLDER_MARGIN_S

    async def _read(self) -> None:
        start = self._table.next_offset
        page = await self._platform.read(LEASE_STREAM, start, READ_LIMIT)
        now = self._clock()
        for entry in page.entries:
            self._table.apply(entry.offset, decode_entry(entry.data), now)
