"""State of an upstream at this router: entry, connections, work, health."""

import asyncio
from collections.abc import Callable, Collection

from chicorylead.ids import UpstreamId
from chicorylead.upstream.answer import UpstreamLoad
from chicorylead.upstream.backlog import PrefillBacklog
from chicorylead.upstream.connection import (
    Connection,
    DecodeHead,
    Failure,
    open_connection,
)
from chicorylead.upstream.intake import Intake
from chicorylead.upstream.prefix_cache import PrefixCacheEstimate
from chicorylead.upstream.registered import RegisteredUpstream
from chicorylead.upstream.work import WorkLedger
from chicorylead.vm.rendezvous import hash64

__all__ = ["LiveUpstream"]

CONNECT_TIMEOUT_S = 0.3  # many round trips between zones, but less than any objective
KEEP_ALIVE_DEFAULT_S = 4.0  # if the upstream states no keep-alive time
KEEP_ALIVE_MARGIN_S = 0.5  # avoids sending while the upstream closes the connection
BROKEN_TOGETHER_S = 0.5  # a crash breaks all connections within milliseconds
SMOOTHING = 0.2  # the last five answers have two thirds of the weight
EJECT_AT_FAILURES = 0.6  # three consecutive failures from a rate of 0
EJECT_S = 1.0  # a crashed upstream is back or unlisted within seconds
EJECT_MAX_S = 8.0  # about as long as the longest transient faults


class LiveUpstream:
    """One incarnation of an upstream.

    Args:
        entry: Its entry in the registry.
        intake: What it states about the work that it takes.
        memory_tokens: Memory of an engine, tokens; 0 for a plain service.
        decode: Decodes the head of an answer.

    Attributes:
        id_hash: Hash of the id, the same in every router.
        memory_tokens: Memory of an engine, tokens.
        work: Work in flight at the upstream.
        backlog: Prompt tokens that it still has to prefill.
        prefixes: Estimate of its prefix cache; None for a plain service.
        failure_rate: Smoothed fraction of failed exchanges, 0 to 1.
        slowness: Time that work takes there, relative to the usual time.
        ejected_until: Event-loop time until which it gets no work, seconds.
        on_started: Called when a start is seen by its connections.
    """

    def __init__(
        self,
        entry: RegisteredUpstream,
        intake: Intake,
        memory_tokens: float,
        decode: DecodeHead,
    ) -> None:
        self.entry = entry
        self.intake = intake
        self.work = WorkLedger()
        self.backlog = PrefillBacklog()
        self.prefixes = PrefixCacheEstimate(memory_tokens) if memory_tokens else None
        self.memory_tokens = memory_tokens
        self.id_hash = hash64(entry.id)
        self.failure_rate = 0.0
        self.slowness = 1.0
        self.ejected_until = 0.0
        self._eject_s = EJECT_S
        self.on_started: Callable[[LiveUpstream], None] = lambda upstream: None
        self._broken_at = float("-inf")
        self.decode = decode
        self._clock: Callable[[], float] = asyncio.get_running_loop().time
        self._idle: list[Connection] = []
        self._is_probing = False

    @property
    def id(self) -> UpstreamId:
        """Return its id."""
        return self.entry.id

    # -- health

    def is_open(self, now: float) -> bool:
        """Return whether it may get a request; after an ejection, a single probe."""
        if self.ejected_until == 0.0:
            return True
        return now >= self.ejected_until and not self._is_probing

    def record_sent(self) -> None:
        """Record that a request is sent."""
        if self.ejected_until:
            self._is_probing = True

    def record_answer(self, load: UpstreamLoad | None) -> None:
        """Record an answer that shows that the upstream is healthy."""
        self.failure_rate -= SMOOTHING * self.failure_rate
        self._is_probing = False
        self._broken_at = float("-inf")
        if self.ejected_until:
            self.ejected_until = 0.0
            self.failure_rate = 0.0
        self._eject_s = EJECT_S
        if load is not None:
            self.slowness += SMOOTHING * (load.slowness - self.slowness)

    def record_inconclusive(self) -> None:
        """Record an exchange that says nothing about the upstream's health."""
        self._is_probing = False

    def record_failure(self, is_unreachable: bool = False) -> bool:
        """Record a failed exchange; return whether the upstream is ejected now."""
        self.failure_rate += SMOOTHING * 1.5 * (1.0 - self.failure_rate)
        was_probe = self._is_probing
        self._is_probing = False
        if self.ejected_until and not was_probe:
            # A crash fails all requests in flight there; it counts as one failure.
            return False
        if not (was_probe or is_unreachable or self.failure_rate > EJECT_AT_FAILURES):
            return False
        self.ejected_until = self._clock() + self._eject_s
        self._eject_s = min(EJECT_MAX_S, 2 * self._eject_s)
        return True

    # -- connections

    async def connect(self, used: Collection[Connection] = ()) -> Connection:
        """Return an idle connection, or a new one.

        Args:
            used: Connections that carried an earlier send of the same attempt. A late
                copy of its answer there has the id of the next one as well.

        Raises:
            Failure: NOT_SENT.
        """
        while (conn := self._pop_idle(used)) is not None:
            if conn.is_reusable and self._clock() < self._usable_until(conn):
                return conn
            conn.close()
        conn = await self.open(CONNECT_TIMEOUT_S)
        conn.on_idle_loss = lambda: self._handle_idle_loss(conn)
        return conn

    async def open(self, timeout_s: float) -> Connection:
        """Open a connection, and note whether the upstream has started again.

        Raises:
            Failure: NOT_SENT.
        """
        host, port = self.entry.host, self.entry.port
        try:
            conn = await open_connection(host, port, timeout_s, self.decode)
        except Failure as exc:
            if isinstance(exc.__cause__, ConnectionRefusedError):
                self.intake.warm_up.record_down("refused", self._clock())
            raise
        if self.intake.warm_up.record_accepted(self._clock()):
            self.on_started(self)
        return conn

    def record_broken(self) -> None:
        """Record that the upstream broke a connection before the end of an answer.

        One broken connection is no sign of a start while others go on.
        """
        now = self._clock()
        has_others = self.work.own.n_requests > 1 or any(
            conn.is_reusable for conn in self._idle
        )
        if not has_others or now - self._broken_at < BROKEN_TOGETHER_S:
            self.intake.warm_up.record_down("broken", now)
        self._broken_at = now

    def _handle_idle_loss(self, conn: Connection) -> None:
        """Note a connection that the upstream closed before the time it had stated."""
        if conn not in self._idle or conn.keep_alive_s is None:
            return
        if self._clock() < self._usable_until(conn):
            self._idle.remove(conn)
            self.record_broken()

    def _pop_idle(self, used: Collection[Connection]) -> Connection | None:
        """Take the connection that was idle for the shortest time."""
        for conn in reversed(self._idle):
            if conn not in used:
                self._idle.remove(conn)
                return conn
        return None

    def release(self, conn: Connection) -> None:
        """Return a connection to the idle ones after an exchange."""
        conn.finish()
        if conn.is_reusable:
            self._idle.append(conn)

    def close_idle(self) -> None:
        """Close connections that are not in use."""
        while self._idle:
            self._idle.pop().close()

    def close_stale(self) -> None:
        """Close connections that the upstream is about to close."""
        now = self._clock()
        stale = [c for c in self._idle if now >= self._usable_until(c)]
        for conn in stale:
            self._idle.remove(conn)
            conn.close()

    def _usable_until(self, conn: Connection) -> float:
        keep_alive_s = conn.keep_alive_s
        if keep_alive_s is None:
            keep_alive_s = KEEP_ALIVE_DEFAULT_S
        return conn.idle_since + max(
            keep_alive_s / 2, keep_alive_s - KEEP_ALIVE_MARGIN_S
        )
