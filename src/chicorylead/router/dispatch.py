"""Dispatch of one request: queue, slot, claim, attempts, outcome."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from chicorylead.backing.api import PlatformUnavailable
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import OrganisationId, ServiceName, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.claim import Claim, KeyState, Outcome, OutcomeState
from chicorylead.outcome.claimer import Claimer, Won
from chicorylead.outcome.poison import PoisonList
from chicorylead.outcome.poison_notice import PoisonNotice
from chicorylead.outcome.reconcile import Reconciler
from chicorylead.records.model import ServiceType
from chicorylead.records.store import RecordStore
from chicorylead.request import CallerRequest
from chicorylead.router.attempts import Attempts
from chicorylead.settings import LimitSettings
from chicorylead.sharing.cost import CostEstimate, CostModel
from chicorylead.sharing.fair_queue import FairQueue, SharingMode, Ticket
from chicorylead.upstream.exchange import ExchangeClient, PlainAnswer
from chicorylead.upstream.pool import AttemptBudget, UpstreamPool

__all__ = ["Dispatcher", "ServicePool"]

PRIOR_TOKENS = 64.0
PRIOR_PLAIN_MS = 50.0
MS_PER_S = 1000.0
MAX_KEPT_ANSWER_BYTES = 16_384
HOLDER_POLL_PERIOD_S = 0.5
UNSETTLED_MARGIN_S = 0.2
TIME_LEFT_FACTOR = 1.5
DATA_FIELD = "data: "


@dataclass(slots=True)
class ServicePool:
    """Queue, upstreams and cost model of one service on this router."""

    queue: FairQueue
    upstreams: UpstreamPool
    costs: CostModel


class Dispatcher:
    """Dispatches requests to upstreams.

    Args:
        store: Records in force.
        client: Opens exchanges.
        claimer: Decides which attempt runs a non-idempotent request.
        reconciler: Queries services for the outcome of a key.
        poison: Requests that crash upstreams.
        mode: How routers share slots.

    Attributes:
        on_poison_notice: Called with each notice that the other routers need.
        on_demand_change: Called when a request is queued or releases its slot.
    """

    def __init__(
        self,
        store: RecordStore,
        client: ExchangeClient,
        claimer: Claimer,
        reconciler: Reconciler,
        poison: PoisonList,
        limits: LimitSettings,
        mode: SharingMode,
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._store = store
        self._client = client
        self._claimer = claimer
        self._reconciler = reconciler
        self._poison = poison
        self._limits = limits
        self._mode = mode
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._budget = AttemptBudget(limits.extra_attempt_ratio)
        self._pools: dict[ServiceName, ServicePool] = {}
        self._running: set[asyncio.Task[PlainAnswer]] = set()
        self._suspect_claims: dict[str, Claim] = {}
        self.on_poison_notice: Callable[[PoisonNotice], None] = lambda notice: None
        self.on_demand_change: Callable[[], None] = lambda: None

    # -- pools

    def add_pool(self, service: ServiceName, upstreams: UpstreamPool) -> ServicePool:
        """Create the pool of a service, which makes the service available."""
        record = self._store.service(service)
        is_engine = record is not None and record.type is ServiceType.ENGINE
        prior = PRIOR_TOKENS if is_engine else PRIOR_PLAIN_MS
        queue = FairQueue(service, self._mode)
        queue.on_queued = lambda: self.on_demand_change()
        pool = ServicePool(queue, upstreams, CostModel(prior))
        self._pools[service] = pool
        return pool

    def pool(self, service: ServiceName) -> ServicePool | None:
        """Return the pool of a service, or None if there is none."""
        return self._pools.get(service)

    def pools(self) -> list[ServicePool]:
        """Return all pools."""
        return list(self._pools.values())

    def n_waiting_or_running(self) -> int:
        """Return the number of requests that are not yet answered."""
        queues = [pool.queue for pool in self._pools.values()]
        n_queued = sum(queue.n_waiting() + queue.n_in_flight for queue in queues)
        return n_queued + len(self._running)

    # -- engines

    async def stream(self, req: CallerRequest) -> AsyncIterator[bytes]:
        """Yield the events of an engine's answer.

        Raises:
            Refusal: The request was refused or its answer is incomplete.
        """
        pool = self._ready_pool(req)
        estimate = pool.costs.predict(req.organisation, req.operation, req.cost_hint)
        ticket = await self._acquire(pool, req, estimate)
        self._check_time_left(pool, req, ticket)
        cost = 0.0
        attempts = self._attempts(req, pool, estimate)
        try:
            async for data, n_events in attempts.stream():
                cost += n_events
                if pool.queue.record_cost(ticket, float(n_events)):
                    # Longer than predicted: learn the cost so far at once, for the
                    # prediction of other requests of this kind.
                    pool.costs.observe(
                        req.organisation, req.operation, req.cost_hint, cost
                    )
                yield data
            pool.costs.observe(req.organisation, req.operation, req.cost_hint, cost)
            self._clear_suspicion(req.fingerprint)
        finally:
            pool.queue.release(ticket)
            self.on_demand_change()

    # -- whole answers

    async def answer(self, req: CallerRequest) -> PlainAnswer:
        """Return the whole answer of an engine or a plain service.

        Raises:
            Refusal: The request was refused or has no complete answer.
        """
        if not req.is_once:
            return await self._run(req)
        if req.key is None:
            return await self._run_to_completion(self._run(req))
        return await self._run_to_completion(self._run_at_most_once(req))

    async def _run(self, req: CallerRequest) -> PlainAnswer:
        match req.service.type:
            case ServiceType.ENGINE:
                parts = [data async for data in self.stream(req)]
                return _join_events(req, b"".join(parts))
            case ServiceType.PLAIN:
                return await self._call(req)

    async def _run_to_completion(
        self, coro: Coroutine[Any, Any, PlainAnswer]
    ) -> PlainAnswer:
        """Run a request that must not be cut, even if its caller disconnects."""
        task = asyncio.create_task(coro)
        self._running.add(task)
        task.add_done_callback(self._discard_task)
        return await asyncio.shield(task)

    def _discard_task(self, task: "asyncio.Task[PlainAnswer]") -> None:
        self._running.discard(task)
        if not task.cancelled():
            task.exception()

    async def _call(self, req: CallerRequest) -> PlainAnswer:
        pool = self._ready_pool(req)
        estimate = pool.costs.predict(req.organisation, req.operation, req.cost_hint)
        ticket = await self._acquire(pool, req, estimate)
        started = self._clock()
        try:
            answer = await self._attempts(req, pool, estimate).call()
            self._clear_suspicion(req.fingerprint)
            return answer
        finally:
            cost = (self._clock() - started) * MS_PER_S
            pool.queue.record_cost(ticket, cost)
            pool.costs.observe(req.organisation, req.operation, req.cost_hint, cost)
            pool.queue.release(ticket)
            self.on_demand_change()

    # -- at most once

    async def _run_at_most_once(self, req: CallerRequest) -> PlainAnswer:
        """Run a request under a claim, or return the answer of an earlier run."""
        digest = req.fingerprint
        while True:
            result = await self._claimer.claim(req.claim_key, digest, req.deadline)
            if isinstance(result, Won):
                return await self._run_claimed(req, result)
            state = await self._wait_for_holder(req, result.state)
            if state is not None:
                return self._stored_answer(req, state)

    async def _run_claimed(self, req: CallerRequest, won: Won) -> PlainAnswer:
        claim = won.claim
        try:
            answer = await self._run(req)
        except Refusal as exc:
            if exc.kind in (ErrorKind.UPSTREAM_FAILED, ErrorKind.UPSTREAM_TIMEOUT):
                return await self._reconcile(req, claim.attempt, exc)
            self._claimer.void(claim)
            raise
        except asyncio.CancelledError:
            self._settle(claim.key, claim.attempt, None)
            raise
        self._settle(claim.key, claim.attempt, answer)
        return answer

    async def _reconcile(
        self, req: CallerRequest, attempt: str, exc: Refusal
    ) -> PlainAnswer:
        """Query the outcome of a request whose exchange broke, and settle its key.

        Raises:
            Refusal: `exc`, if the outcome is unknown.
        """
        found = await self._reconciler.query(req)
        self._settle(req.claim_key, attempt, found)
        if found is None:
            raise exc
        return found

    def _settle(self, key: str, attempt: str, answer: PlainAnswer | None) -> Outcome:
        """Append the outcome of a request in the background, and return it."""
        outcome = Outcome(key, attempt, OutcomeState.UNKNOWN)
        if answer is not None:
            is_kept = len(answer.body) <= MAX_KEPT_ANSWER_BYTES
            outcome = Outcome(
                key,
                attempt,
                OutcomeState.ANSWERED,
                answer.status,
                answer.content_type,
                answer.body.decode("latin-1") if is_kept else None,
            )
        self._claimer.settle(outcome)
        return outcome

    async def _wait_for_holder(
        self, req: CallerRequest, state: KeyState
    ) -> KeyState | None:
        """Wait until the holder of a key settles it; None if the key is free again."""
        current: KeyState | None = state
        while current is not None:
            outcome = current.outcome
            if outcome is not None and outcome.state is OutcomeState.ANSWERED:
                return current
            if outcome is not None or self._reconciler.is_holder_gone(current.claim):
                return await self._settle_for_holder(req, current)
            if self._clock() > req.deadline - UNSETTLED_MARGIN_S:
                raise Refusal(
                    ErrorKind.IN_PROGRESS, "an earlier attempt is still in progress"
                )
            try:
                current = await self._claimer.wait_for_change(req.claim_key, current)
            except PlatformUnavailable:
                await asyncio.sleep(HOLDER_POLL_PERIOD_S)
        return None

    async def _settle_for_holder(self, req: CallerRequest, state: KeyState) -> KeyState:
        """Settle a key on behalf of its holder, if the service reports the outcome."""
        found = await self._reconciler.query(req)
        if found is None:
            raise Refusal(
                ErrorKind.OUTCOME_UNKNOWN,
                "an earlier attempt may have run; an operator can resolve it",
            )
        outcome = self._settle(req.claim_key, state.claim.attempt, found)
        return KeyState(state.claim, state.offset, outcome)

    def _stored_answer(self, req: CallerRequest, state: KeyState) -> PlainAnswer:
        outcome = state.outcome
        if outcome is None or outcome.body is None:
            raise Refusal(
                ErrorKind.ANSWER_NOT_KEPT,
                "the request ran once; its answer was not kept",
            )
        self._metrics.count("claim.replayed")
        body = outcome.body.encode("latin-1")
        return PlainAnswer(outcome.status, outcome.content_type, body)

    # -- common

    def _ready_pool(self, req: CallerRequest) -> ServicePool:
        if self._poison.is_blocked(req.fingerprint):
            raise Refusal(ErrorKind.POISON, "this request crashed two upstreams")
        pool = self._pools.get(req.service.name)
        if pool is None:
            raise Refusal(
                ErrorKind.NO_UPSTREAM, f"service {req.service.name!r} has no upstream"
            )
        self._budget.record_request()
        return pool

    async def _acquire(
        self, pool: ServicePool, req: CallerRequest, estimate: CostEstimate
    ) -> Ticket:
        limits = self._limits
        max_waiting = max(limits.queue_min, int(limits.queue_per_share * req.share))
        started = self._clock()
        try:
            ticket = await pool.queue.acquire(
                req.organisation, req.share, estimate, req.deadline, max_waiting
            )
        except Refusal:
            self._metrics.count("queue.refused")
            raise
        self._metrics.timing("queue.wait", self._clock() - started)
        return ticket

    def _check_time_left(
        self, pool: ServicePool, req: CallerRequest, ticket: Ticket
    ) -> None:
        """Release the slot if too little time is left for the expected work.

        Raises:
            Refusal: DEADLINE_IN_QUEUE.
        """
        expected_s = ticket.estimate.cost * pool.upstreams.typical_token_s()
        left_s = req.deadline - self._clock()
        if left_s > TIME_LEFT_FACTOR * expected_s:
            return
        pool.queue.release(ticket)
        raise Refusal(
            ErrorKind.DEADLINE_IN_QUEUE,
            f"{left_s:.3f} s are left for about {expected_s:.3f} s of work",
        )

    def _attempts(
        self, req: CallerRequest, pool: ServicePool, estimate: CostEstimate
    ) -> Attempts:
        async def on_crash(upstream: UpstreamId) -> None:
            await self._record_crash(req, upstream)

        return Attempts(
            req,
            pool.upstreams,
            self._client,
            self._budget,
            self._limits.attempts,
            estimate.cost,
            self._store.policy.hedging,
            on_crash,
            self._log,
            self._metrics,
            self._rng,
        )

    async def _record_crash(self, req: CallerRequest, upstream: UpstreamId) -> None:
        """Mark a request as suspect; claim its one further run in the whole fleet.

        Raises:
            Refusal: The request is blocked, or another attempt claimed that run.
        """
        ttl_s = self._store.policy.poison_ttl_s
        notice = self._poison.record_crash(req.fingerprint, upstream, ttl_s)
        self._report_crash(notice, req.organisation)
        if self._poison.is_blocked(req.fingerprint):
            raise Refusal(ErrorKind.POISON, "this request crashed two upstreams")
        if req.is_once:
            return
        attempt_key = f"poison/{req.fingerprint}"
        result = await self._claimer.claim(attempt_key, "", req.deadline)
        if not isinstance(result, Won):
            raise Refusal(
                ErrorKind.UPSTREAM_FAILED,
                "an upstream crashed under this request; another attempt may retry it",
            )
        self._suspect_claims[req.fingerprint] = result.claim

    def _clear_suspicion(self, fingerprint: str) -> None:
        """Notify all routers that a suspect ran to completion."""
        notice = self._poison.clear(fingerprint)
        if notice is None:
            return
        self.on_poison_notice(notice)
        claim = self._suspect_claims.pop(fingerprint, None)
        if claim is not None:
            self._claimer.void(claim)

    def _report_crash(self, notice: PoisonNotice, organisation: OrganisationId) -> None:
        self._metrics.count("poison.crashes")
        self._log.warning(
            "upstream_crashed",
            fingerprint=notice.fingerprint,
            organisation=organisation,
            n_crashes=len(notice.crashes),
        )
        self.on_poison_notice(notice)


def _join_events(req: CallerRequest, events: bytes) -> PlainAnswer:
    """Return one JSON answer with the data of all events."""
    lines = events.decode("utf-8", "replace").split("\n")
    tokens = [line[len(DATA_FIELD) :] for line in lines if line.startswith(DATA_FIELD)]
    body = {"text": " ".join(tokens), "n_tokens": len(tokens), "request": req.id}
    return PlainAnswer(200, "application/json", msgspec.json.encode(body))
