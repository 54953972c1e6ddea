"""Attempts at a request that holds a slot: upstream choice, resumption, hedging."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import ExchangeId, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.request import CallerRequest
from chicorylead.upstream.exchange import (
    Break,
    BreakKind,
    Exchange,
    ExchangeClient,
    PlainAnswer,
)
from chicorylead.upstream.pool import AttemptBudget, UpstreamPool
from chicorylead.upstream.state import UpstreamState

__all__ = ["Attempts"]

HEDGE_RATIO = 4.0
MIN_HEDGE_S = 0.25
SLOW_RATIO = 3.0
SLOW_MIN_EVENTS = 4
SLOW_MIN_REMAINING = 4.0
RETRY_JITTER_S = 0.02
PROBE_TIMEOUT_S = 0.5

_CRASH_KINDS = frozenset({BreakKind.LOST, BreakKind.TRUNCATED})
Part = tuple[bytes, int]  # part of an answer, and the number of its events


class Attempts:
    """All attempts at one request.

    Args:
        req: The request.
        pool: Upstreams of its service.
        client: Opens exchanges.
        budget: Limits the extra attempts of all requests together.
        max_attempts: Number of broken attempts after which the request fails.
        expected_cost: Expected cost, in cost units.
        may_hedge: Whether a late first byte may cause a second, parallel attempt.
        on_crash: Called with the upstream if it crashed under the request.

    Attributes:
        was_sent: Whether a byte of the request may have reached an upstream.
    """

    def __init__(
        self,
        req: CallerRequest,
        pool: UpstreamPool,
        client: ExchangeClient,
        budget: AttemptBudget,
        max_attempts: int,
        expected_cost: float,
        may_hedge: bool,
        on_crash: Callable[[UpstreamId], Awaitable[None]],
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._req = req
        self._pool = pool
        self._client = client
        self._budget = budget
        self._max_attempts = max_attempts
        self._expected_cost = expected_cost
        self._may_hedge = may_hedge and not req.is_once
        self._on_crash = on_crash
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._excluded: set[UpstreamId] = set()
        self._n_breaks = 0
        self._n_exchanges = 0
        self.was_sent = False

    # -- engines

    async def stream(self) -> AsyncIterator[Part]:
        """Yield the parts of an engine's answer, each event once and in order.

        Raises:
            Refusal: The request was refused or its answer is incomplete.
        """
        n_received = 0
        while True:
            state = self._choose_upstream()
            try:
                async for part in self._stream_from(state, n_received):
                    n_received += part[1]
                    yield part
                return
            except Break as exc:
                await self._handle_break(exc, state, n_received)

    async def _stream_from(
        self, state: UpstreamState, n_received: int
    ) -> AsyncIterator[Part]:
        """Yield parts from one upstream, or from a hedged attempt if it is faster."""
        started = self._clock()
        source = self._attempt(state, n_received)
        first = asyncio.ensure_future(anext(source, None))
        hedge_s = self._hedge_s()
        try:
            if hedge_s is not None:
                await asyncio.wait([first], timeout=hedge_s)
                if not first.done():
                    source, first = await self._hedge(source, first, state, n_received)
            part = await first
            if n_received == 0:
                self._metrics.timing("engine.first_byte", self._clock() - started)
            while part is not None:
                yield part
                part = await anext(source, None)
        finally:
            first.cancel()
            await _close(source)

    def _hedge_s(self) -> float | None:
        if not self._may_hedge:
            return None
        typical_s = self._pool.typical_first_byte_s()
        return max(MIN_HEDGE_S, HEDGE_RATIO * typical_s) if typical_s else None

    async def _hedge(
        self,
        source: AsyncIterator[Part],
        first: "asyncio.Future[Part | None]",
        state: UpstreamState,
        n_received: int,
    ) -> "tuple[AsyncIterator[Part], asyncio.Future[Part | None]]":
        """Start a second attempt; return the attempt that yields a part first."""
        exclude = frozenset({*self._excluded, state.record.name})
        other = self._pool.choose(self._expected_cost, exclude)
        if other is None or not self._budget.take():
            return source, first
        self._metrics.count("upstream.hedges")
        second_source = self._attempt(other, n_received)
        second = asyncio.ensure_future(anext(second_source, None))
        done, _ = await asyncio.wait(
            [first, second], return_when=asyncio.FIRST_COMPLETED
        )
        second_won = second in done and second.exception() is None and first not in done
        loser = (source, first) if second_won else (second_source, second)
        loser[1].cancel()
        await asyncio.gather(loser[1], return_exceptions=True)
        await _close(loser[0])
        return (second_source, second) if second_won else (source, first)

    async def _attempt(
        self, state: UpstreamState, n_received: int
    ) -> AsyncIterator[Part]:
        """Yield the parts of one exchange, and record its latencies."""
        exchange = self._new_exchange(state, n_received)
        started = last = self._clock()
        n_events = 0
        ok: bool | None = None
        self._pool.exchange_started(state)
        try:
            async for part in self._client.stream(exchange):
                now = self._clock()
                if n_events == 0:
                    state.record_first_byte(now - started)
                else:
                    state.record_token_time((now - last) / part[1])
                last = now
                n_events += part[1]
                yield part
                if self._is_slow(state, n_events, n_received + n_events):
                    raise Break(BreakKind.SLOW, "upstream is much slower than others")
            ok = True
        except Break as exc:
            self.was_sent |= exc.kind is not BreakKind.NOT_SENT
            ok = None if exc.kind is BreakKind.SLOW else False
            raise
        except GeneratorExit:
            self.was_sent = True
            raise
        finally:
            self._pool.exchange_ended(state, ok)

    def _is_slow(self, state: UpstreamState, n_events: int, n_total: int) -> bool:
        if n_events < SLOW_MIN_EVENTS or self._req.is_once:
            return False
        typical_s = self._pool.typical_token_s()
        if not typical_s or state.token_s < SLOW_RATIO * typical_s:
            return False
        if self._expected_cost - n_total < SLOW_MIN_REMAINING:
            return False
        return self._budget.take()

    # -- plain services

    async def call(self) -> PlainAnswer:
        """Return the answer of a plain service.

        Raises:
            Refusal: The request was refused or has no complete answer. For a
                request that must not run twice, `was_sent` tells whether it may
                have run.
        """
        while True:
            state = self._choose_upstream()
            try:
                return await self._call_once(state)
            except Break as exc:
                await self._handle_break(exc, state, 0)

    async def _call_once(self, state: UpstreamState) -> PlainAnswer:
        started = self._clock()
        ok: bool | None = None
        self._pool.exchange_started(state)
        try:
            answer = await self._client.call(self._new_exchange(state, 0))
            self.was_sent = True
            state.record_first_byte(self._clock() - started)
            ok = True
            return answer
        except Break as exc:
            self.was_sent |= exc.kind is not BreakKind.NOT_SENT
            ok = False
            raise
        except asyncio.CancelledError:
            self.was_sent = True
            raise
        finally:
            self._pool.exchange_ended(state, ok)

    # -- common

    def _choose_upstream(self) -> UpstreamState:
        state = self._pool.choose(
            self._expected_cost, frozenset(self._excluded), self._req.prefix
        )
        if state is None and self._excluded:
            # No other upstream is left; one that failed before may have recovered.
            self._excluded.clear()
            state = self._pool.choose(self._expected_cost)
        if state is None:
            raise Refusal(
                self._failure_kind(), f"no upstream of {self._req.service.name!r} is up"
            )
        return state

    def _new_exchange(self, state: UpstreamState, n_received: int) -> Exchange:
        self._n_exchanges += 1
        return Exchange(
            id=ExchangeId(f"{self._req.id}.{self._n_exchanges}"),
            address=state.address,
            operation=self._req.operation,
            body=self._req.body,
            deadline=self._req.deadline,
            key=self._req.claim_key if self._req.key else "",
            from_event=n_received,
            once=self._req.is_once,
        )

    async def _handle_break(
        self, exc: Break, state: UpstreamState, n_received: int
    ) -> None:
        """Record a failed attempt; return after a delay if a retry is allowed.

        Raises:
            Refusal: No further attempt is allowed.
        """
        name = state.record.name
        self._n_breaks += 1
        self._excluded.add(name)
        self._metrics.count(f"upstream.break.{exc.kind.value}")
        self._log.info(
            "exchange_broken",
            request=self._req.id,
            organisation=self._req.organisation,
            upstream=name,
            kind=exc.kind,
            detail=exc.detail,
            n_events=n_received,
        )
        # A request that crashes upstreams does so before the first event.
        may_be_cause = n_received == 0 and exc.kind in _CRASH_KINDS
        if may_be_cause and await self._is_down(state):
            await self._on_crash(name)
        self._check_may_retry(exc, n_received)
        await asyncio.sleep(self._rng.uniform(0, RETRY_JITTER_S * self._n_breaks))

    def _check_may_retry(self, exc: Break, n_received: int) -> None:
        is_overdue = self._clock() >= self._req.deadline
        if is_overdue and exc.kind is BreakKind.SILENT:
            raise Refusal(ErrorKind.UPSTREAM_TIMEOUT, exc.detail)
        if is_overdue:
            raise Refusal(self._failure_kind(), exc.detail)
        if self._req.is_once and self.was_sent:
            raise Refusal(ErrorKind.UPSTREAM_FAILED, exc.detail)
        if exc.kind is BreakKind.NOT_SENT:
            if self._n_breaks > 2 * len(self._pool.states()):
                raise Refusal(self._failure_kind(), exc.detail)
            return
        if self._n_breaks >= self._max_attempts:
            raise Refusal(self._failure_kind(), exc.detail)
        # Resuming a stream repeats no work; starting it again does, so it is budgeted.
        if (
            n_received == 0
            and exc.kind is not BreakKind.SLOW
            and not self._budget.take()
        ):
            raise Refusal(self._failure_kind(), f"{exc.detail}; no retries left")
        self._metrics.count("upstream.extra_attempts")

    def _failure_kind(self) -> ErrorKind:
        return ErrorKind.UPSTREAM_FAILED if self.was_sent else ErrorKind.NO_UPSTREAM

    async def _is_down(self, state: UpstreamState) -> bool:
        try:
            await self._client.get(state.address, "/health", PROBE_TIMEOUT_S)
        except Break as exc:
            return exc.kind in (BreakKind.NOT_SENT, BreakKind.LOST)
        return False


async def _close(source: AsyncIterator[Part]) -> None:
    close = getattr(source, "aclose", None)
    if close is not None:
        await close()
