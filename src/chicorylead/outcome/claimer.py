"""Append claims, voids and outcomes to the platform's log in batches."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from chicorylead.backing.api import Platform, PlatformUnavailable
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import Incarnation, Offset, RouterId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.claim import (
    Claim,
    ClaimEvent,
    ClaimIndex,
    KeyState,
    Outcome,
    Void,
    decode_events,
    encode_events,
)
from chicorylead.vm.rendezvous import hash64

__all__ = ["Claimer", "Lost", "ClaimResult", "Won", "partition_of"]

N_PARTITIONS = 16
BATCH_DELAY_S = 0.004
MAX_BATCH = 200
RETRY_BASE_S = 0.05
RETRY_CAP_S = 2.0
READ_LIMIT = 500
POLL_WAIT_S = 1.0


def partition_of(key: str) -> int:
    """Return the number of the partition whose stream holds the events of a key."""
    return hash64("claim", key) % N_PARTITIONS


@dataclass(frozen=True, slots=True)
class Won:
    """The claim holds the key; the request may run now, once."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Lost:
    """Another attempt holds the key."""

    state: KeyState


ClaimResult = Won | Lost


@dataclass(eq=False, slots=True)
class _Pending:
    """An event waiting to be appended.

    Attributes:
        appended: Resolves to the offset of the log entry.
    """

    event: ClaimEvent
    appended: "asyncio.Future[Offset]"


@dataclass(slots=True)
class _Partition:
    """Append queue and key index of one partition."""

    number: int
    index: ClaimIndex = field(default_factory=ClaimIndex)
    queue: list[_Pending] = field(default_factory=list)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    writer: asyncio.Task[None] | None = None

    @property
    def stream(self) -> str:
        return f"claims-{self.number}"


class Claimer:
    """Decides through the log which attempt may run a non-idempotent request.

    Args:
        platform: Platform whose log stores the claims.
        router: Id of this router.
        incarnation: Incarnation of this router.
        rng: Source of attempt ids and jitter.
    """

    def __init__(
        self,
        platform: Platform,
        router: RouterId,
        incarnation: Incarnation,
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._platform = platform
        self._router = router
        self._incarnation = incarnation
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._partitions: dict[int, _Partition] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def flush(self, limit_s: float) -> None:
        """Wait up to `limit_s` seconds for the appends that run in the background."""
        if self._background:
            await asyncio.wait(self._background, timeout=limit_s)

    async def close(self) -> None:
        """Stop all tasks."""
        writers = [p.writer for p in self._partitions.values() if p.writer]
        tasks = [*self._background, *writers]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # -- claims

    async def claim(self, key: str, request_hash: str, deadline: float) -> ClaimResult:
        """Try to claim a key.

        Args:
            key: Organisation, service and idempotency key.
            request_hash: Digest of the request.
            deadline: Event-loop time until which to try, seconds.

        Raises:
            Refusal: KEY_CONFLICT if the key belongs to another request;
                LOG_UNAVAILABLE if the log did not decide in time. The request
                did not run, and the claim is voided.
        """
        partition = self._partition(key)
        state = await self._refreshed_state(partition, key)
        if state is None:
            claim = Claim(
                key,
                request_hash,
                f"{self._router}-{self._incarnation}-{self._rng.getrandbits(48):012x}",
                self._router,
                self._incarnation,
            )
            state = await self._try_claim(partition, claim, deadline)
            if state.claim.attempt == claim.attempt:
                self._metrics.count("claim.won")
                return Won(claim)
        if state.claim.request_hash != request_hash:
            raise Refusal(
                ErrorKind.KEY_CONFLICT,
                "the idempotency key belongs to a request with different content",
            )
        self._metrics.count("claim.lost")
        return Lost(state)

    async def _refreshed_state(
        self, partition: _Partition, key: str
    ) -> KeyState | None:
        """Return the state of a key in the index, refreshed from the log if possible.

        Its holder or an operator may have appended a void or an outcome since.
        """
        state = partition.index.get(key)
        if state is None:
            return None
        try:
            return await self.look_up(key)
        except PlatformUnavailable:
            return state

    async def _try_claim(
        self, partition: _Partition, claim: Claim, deadline: float
    ) -> KeyState:
        try:
            async with asyncio.timeout_at(deadline):
                offset = await self._append(partition, claim)
                await self._read_past(partition, offset)
        except TimeoutError:
            self.void(claim)
            raise Refusal(
                ErrorKind.LOG_UNAVAILABLE, "the claim was not appended and read in time"
            ) from None
        except asyncio.CancelledError:
            self.void(claim)
            raise
        state = partition.index.get(claim.key)
        if state is None:
            # An earlier holder was voided after this claim was appended and before
            # it was read back.
            raise Refusal(
                ErrorKind.LOG_UNAVAILABLE,
                "an earlier claim held the key and was voided meanwhile",
            )
        return state

    def void(self, claim: Claim) -> None:
        """Append, in the background, that the request did not run."""
        self._metrics.count("claim.voided")
        self._append_in_background(Void(claim.key, claim.attempt))

    def settle(self, outcome: Outcome) -> None:
        """Append, in the background, how the request ended."""
        partition = self._partition(outcome.key)
        state = partition.index.get(outcome.key)
        if state is not None and state.claim.attempt == outcome.attempt:
            state.outcome = outcome
        self._append_in_background(outcome)

    async def append_event(self, event: ClaimEvent) -> None:
        """Append an event and read it back, on behalf of an operator.

        Raises:
            PlatformUnavailable: The log did not answer.
        """
        partition = self._partition(event.key)
        offset = await self._platform.append(partition.stream, encode_events([event]))
        await self._read_past(partition, offset)

    async def look_up(self, key: str) -> KeyState | None:
        """Return the state of a key after reading its stream to the end.

        Raises:
            PlatformUnavailable: The log did not answer.
        """
        partition = self._partition(key)
        while await self._read(partition):
            pass
        return partition.index.get(key)

    async def wait_for_change(self, key: str, known: KeyState) -> KeyState | None:
        """Wait up to `POLL_WAIT_S` for a change of a key, and return its state.

        Args:
            key: Organisation, service and idempotency key.
            known: State of the key that the caller has seen.

        Raises:
            PlatformUnavailable: The log did not answer.
        """
        partition = self._partition(key)
        if partition.index.get(key) is known and known.outcome is None:
            await self._read(partition, POLL_WAIT_S)
        return partition.index.get(key)

    def n_keys(self) -> int:
        """Return the number of keys in the index."""
        return sum(len(partition.index) for partition in self._partitions.values())

    # -- log

    def _partition(self, key: str) -> _Partition:
        number = partition_of(key)
        found = self._partitions.get(number)
        if found is None:
            found = self._partitions[number] = _Partition(number)
        return found

    def _append_in_background(self, event: ClaimEvent) -> None:
        task = asyncio.create_task(self._append_discarding_offset(event))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _append_discarding_offset(self, event: ClaimEvent) -> None:
        await self._append(self._partition(event.key), event)

    async def _append(self, partition: _Partition, event: ClaimEvent) -> Offset:
        """Append an event in a batch, retried until it succeeds; return its offset."""
        fut: asyncio.Future[Offset] = asyncio.get_running_loop().create_future()
        partition.queue.append(_Pending(event, fut))
        if partition.writer is None or partition.writer.done():
            partition.writer = asyncio.create_task(self._write(partition))
        return await fut

    async def _write(self, partition: _Partition) -> None:
        n_failures = 0
        while partition.queue:
            await asyncio.sleep(BATCH_DELAY_S)
            # Events whose sender gave up are skipped; their void follows.
            partition.queue = [p for p in partition.queue if not p.appended.done()]
            batch = partition.queue[:MAX_BATCH]
            if not batch:
                return
            data = encode_events([pending.event for pending in batch])
            try:
                offset = await self._platform.append(partition.stream, data)
            except PlatformUnavailable as exc:
                n_failures += 1
                self._metrics.count("claim.append_failures")
                self._log.debug("claim_append_failed", reason=exc)
                if await self._settle_from_log(partition, batch):
                    n_failures = 0
                    continue
                max_delay_s = min(RETRY_CAP_S, RETRY_BASE_S * 2**n_failures)
                await asyncio.sleep(self._rng.uniform(0, max_delay_s))
                continue
            n_failures = 0
            partition.queue = partition.queue[len(batch) :]
            for pending in batch:
                if not pending.appended.done():
                    pending.appended.set_result(offset)

    async def _settle_from_log(
        self, partition: _Partition, batch: list[_Pending]
    ) -> bool:
        """Resolve claims that the log holds though the answer to their append was lost.

        Another append of them would be harmless, but its answer may be lost as well.

        Returns:
            Whether any was resolved.
        """
        claims = [p for p in batch if isinstance(p.event, Claim)]
        if not claims:
            return False
        try:
            while await self._read(partition):
                pass
        except PlatformUnavailable:
            return False
        n_settled = 0
        for pending in claims:
            state = partition.index.get(pending.event.key)
            is_held = state is not None and state.claim == pending.event
            if is_held and not pending.appended.done():
                pending.appended.set_result(state.offset)
                n_settled += 1
        self._metrics.count("claim.settled_from_log", n_settled)
        return n_settled > 0

    async def _read_past(self, partition: _Partition, offset: Offset) -> None:
        n_failures = 0
        while partition.index.next_offset <= offset:
            try:
                await self._read(partition)
            except PlatformUnavailable:
                n_failures += 1
                max_delay_s = min(RETRY_CAP_S, RETRY_BASE_S * 2**n_failures)
                await asyncio.sleep(self._rng.uniform(0, max_delay_s))

    async def _read(self, partition: _Partition, wait_s: float = 0.0) -> bool:
        """Read and apply one page; return whether there are more."""
        start = partition.index.next_offset
        page = await self._platform.read(partition.stream, start, READ_LIMIT, wait_s)
        for entry in page.entries:
            partition.index.apply(entry.offset, decode_events(entry.data))
        partition.index.discard_before(page.first)
        return partition.index.next_offset < page.end
