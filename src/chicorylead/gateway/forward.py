"""Forwards admitted requests to upstreams, with retries and stream resumption."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from chicorylead.admission.cost import pool_demand
from chicorylead.admission.placement import Placement
from chicorylead.admission.retry_budget import RetryBudget
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.gateway.admission import (
    NO_UPSTREAM_RETRY_S,
    AdmissionController,
    Admitted,
)
from chicorylead.gateway.crash_probe import CrashProbe
from chicorylead.gateway.outcome import Broken, NotRun, Rejected, Served
from chicorylead.gateway.reply import CallerReply
from chicorylead.gateway.sender import EVENT_TIMEOUT_S, OnSent, Sender
from chicorylead.gateway.settings import Bounds
from chicorylead.ids import PromptPartId, ServiceName, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.poison import PoisonList, fingerprint_of
from chicorylead.outcome.prompt_quarantine import (
    Blocked,
    Free,
    Held,
    PromptQuarantine,
    Trial,
)
from chicorylead.traffic.model import RepeatPolicy
from chicorylead.traffic.request import ForwardRequest
from chicorylead.upstream.answer import AnswerHead
from chicorylead.upstream.connection import Failure, FailureKind
from chicorylead.upstream.events import EventSplitter
from chicorylead.upstream.live import LiveUpstream

__all__ = ["Accepted", "Forwarder"]

MAX_SENDS = 4  # bounds the full or unreachable upstreams that a request tries
STALL_TIMEOUT_FACTOR = 3.0  # times the expected wait; slower counts as stalled
STALL_TIMEOUT_MIN_S = 0.8  # twice a typical latency objective
MIN_REMAINING_S = 0.03  # with less time left, no upstream can answer
SUSPECT_TTL_S = 60.0  # callers retry such a request within seconds
# Routers that lose requests in one crash start a trial each, unless one is told first.
TRIAL_SPREAD_S = 0.04
MAX_TRIAL_WAIT_S = 1.5  # for another request's trial; several times what one takes


@dataclass(slots=True)
class _Progress:
    """State of a request across its attempts."""

    events: EventSplitter
    fingerprint: str
    share_ratio: float
    excluded: set[UpstreamId] = field(default_factory=set)
    n_sends: int = 0
    n_runs: int = 0
    rejected: Rejected | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """An accepted request.

    Attributes:
        admitted: The upstream for the first attempt, and the usage it is based on.
    """

    req: ForwardRequest
    admitted: Admitted
    progress: _Progress


class Forwarder:
    """Forwards requests to upstreams, and retries failed attempts.

    Args:
        admission: Selects upstreams, and refuses requests that would be late.
        poison: Requests under which upstreams crashed.
        quarantine: Prompt parts under which engines crashed.
        bounds: Limits of the retry budget.
        on_sent: Called with each prompt that is sent to an engine.
        n_routers: Returns the number of routers that share the retry budget.
    """

    def __init__(
        self,
        admission: AdmissionController,
        poison: PoisonList,
        quarantine: PromptQuarantine,
        bounds: Bounds,
        on_sent: OnSent,
        n_routers: Callable[[], int],
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._admission = admission
        self._poison = poison
        self._bounds = bounds
        self._on_sent = on_sent
        self._n_routers = n_routers
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._probe = CrashProbe()
        self._crash_checks: set[asyncio.Task[None]] = set()
        self._quarantine = quarantine
        self._quarantine.on_doubt = self._withdraw
        self._in_flight: dict[PromptPartId, set[Sender]] = {}

    def accept(self, req: ForwardRequest) -> Accepted:
        """Admit a request and select its first upstream, without waiting.

        Raises:
            Refusal: The request is not admitted.
        """
        fingerprint = _fingerprint(req)
        if self._poison.is_blocked(fingerprint):
            raise Refusal(
                ErrorKind.POISON,
                "this request has crashed upstreams",
                self._poison.notice(fingerprint).ttl_s,
            )
        decision = self._quarantine.decide(req.shared_parts)
        if isinstance(decision, Held | Blocked):
            self._metrics.count("prompts.refused", reason=_reason(decision))
            raise self._quarantine_refusal(req, decision)
        self._budget(req.service).record_request()
        try:
            admitted = self._admission.admit(req)
        except Refusal:
            self._count_share(req, "refused")
            raise
        self._count_share(req, "admitted")
        events = EventSplitter(req.head.last_event_id)
        progress = _Progress(events, fingerprint, admitted.usage.share_ratio)
        return Accepted(req, admitted, progress)

    def _count_share(self, req: ForwardRequest, outcome: str) -> None:
        demand = pool_demand(req.service, req.head.prompt)
        self._metrics.count(
            "shares",
            round(demand.amount),
            pool=demand.pool,
            organisation=req.organisation or "none",
            outcome=outcome,
        )

    async def forward(self, accepted: Accepted, reply: CallerReply) -> None:
        """Forward a request, with retries, until the caller has its answer.

        Raises:
            Refusal: There is no answer; no part of one was sent.
            Failure: The answer was started and cannot be completed.
        """
        req, progress = accepted.req, accepted.progress
        placement: Placement | None = accepted.admitted.placement
        try:
            while True:
                decision = self._quarantine.decide(req.shared_parts)
                if not isinstance(decision, Free):
                    decision = await self._wait_for_trial(req, progress)
                    placement = self._place_trial(req, decision, progress)
                elif placement is None:
                    placement = self._place_again(req, progress)
                if await self._send(req, placement, decision, progress, reply):
                    return
                placement = None
        except Refusal:
            # If an upstream has answered, even with an error, forward that answer.
            if progress.rejected is None or reply.is_started:
                raise
            await self._forward_rejected(progress.rejected, reply)

    def _place_again(self, req: ForwardRequest, progress: _Progress) -> Placement:
        placement = self._admission.place(req, progress.excluded)
        if placement is None:
            raise self._final_refusal(
                progress, ErrorKind.NO_UPSTREAM, "no upstream is available"
            )
        return placement

    # -- prompts in doubt

    async def _wait_for_trial(
        self, req: ForwardRequest, progress: _Progress
    ) -> Free | Trial:
        """Wait while another request runs as a trial of parts of this one's prompt.

        Raises:
            Refusal: The prompt is blocked, or the trial takes too long.
        """
        ends_at = min(self._clock() + MAX_TRIAL_WAIT_S, req.answer_deadline)
        await asyncio.sleep(self._rng.uniform(0.0, TRIAL_SPREAD_S))
        while True:
            decision = self._quarantine.decide(req.shared_parts)
            left_s = ends_at - self._clock()
            match decision:
                case Free() | Trial():
                    return decision
                case Held() if left_s > 0:
                    await self._quarantine.wait_for_change(left_s)
                case _:
                    refusal = self._quarantine_refusal(req, decision)
                    if progress.n_runs == 0:
                        raise refusal
                    raise Refusal(ErrorKind.UPSTREAM_FAILED, refusal.detail)

    def _place_trial(
        self, req: ForwardRequest, decision: Free | Trial, progress: _Progress
    ) -> Placement:
        """Place a trial where a crash ends few requests, and no other trial."""
        if isinstance(decision, Free):
            return self._place_again(req, progress)
        excluded = progress.excluded | self._quarantine.trial_upstreams()
        placement = self._admission.place_apart(req, excluded)
        return placement or self._place_again(req, progress)

    def _quarantine_refusal(
        self, req: ForwardRequest, decision: Held | Blocked
    ) -> Refusal:
        reason = _reason(decision)
        self._log.warning(
            "prompt_refused",
            request=req.id,
            operation=req.operation.name,
            organisation=req.organisation,
            reason=reason,
            parts=_format_parts(decision.parts),
            n_crashes=decision.n_crashes if isinstance(decision, Blocked) else 0,
            retry_after_s=decision.retry_after_s,
        )
        detail = (
            "engines crashed under a part of this prompt"
            if isinstance(decision, Blocked)
            else "a part of this prompt is checked after a crash of an engine"
        )
        return Refusal(ErrorKind.POISON, detail, decision.retry_after_s)

    def _withdraw(self, parts: frozenset[PromptPartId]) -> None:
        """Withdraw requests with parts in doubt from engines, before they begin."""
        for part in parts:
            for sender in list(self._in_flight.get(part, ())):
                sender.withdraw()

    def _add_in_flight(self, req: ForwardRequest, sender: Sender) -> None:
        for part in req.shared_parts:
            self._in_flight.setdefault(part, set()).add(sender)

    def _remove_in_flight(self, req: ForwardRequest, sender: Sender) -> None:
        for part in req.shared_parts:
            senders = self._in_flight.get(part)
            if senders is not None:
                senders.discard(sender)
                if not senders:
                    del self._in_flight[part]

    def _budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_slack,
                self._bounds.retry_window_s,
                self._clock,
            )
        return budget

    # -- sends

    async def _send(
        self,
        req: ForwardRequest,
        placement: Placement,
        decision: Free | Trial,
        progress: _Progress,
        reply: CallerReply,
    ) -> bool:
        """Make one attempt; return whether the caller has its answer.

        Raises:
            Refusal: There is no answer, and no further attempt is allowed.
            Failure: The same, after a part of the answer was forwarded.
        """
        remaining_s = req.answer_deadline - self._clock()
        if remaining_s < MIN_REMAINING_S:
            raise self._final_refusal(
                progress,
                ErrorKind.UPSTREAM_TIMEOUT,
                "too little time is left before the deadline",
            )
        first_s, event_s = self._timeouts(req, placement, progress, remaining_s)
        sender = Sender(
            req,
            placement,
            self._admission.response_times(req.service),
            progress.events,
            reply,
            first_s,
            event_s,
            self._on_sent,
            lambda: self._record_answering(req, sender),
        )
        progress.n_sends += 1
        started = self._clock()
        trial = self._start_trial(req, placement, decision)
        try:
            if trial is None and req.may_repeat:
                self._add_in_flight(req, sender)
            outcome = await sender.send()
            self._log_send(req, placement, progress, outcome, started, sender)
            if _is_broken(outcome):
                await self._check_crash(
                    placement.upstream, req, progress, sender, trial
                )
        finally:
            self._remove_in_flight(req, sender)
            if trial is not None:
                self._quarantine.end_trial(trial)
        match outcome:
            case Served():
                return True
            case NotRun():
                self._handle_not_run(placement.upstream, progress, outcome)
            case Rejected():
                placement.upstream.record_failure()
                progress.rejected = outcome
                progress.n_runs += 1
                if not self._may_run_again(req, progress):
                    await self._forward_rejected(outcome, reply)
                    return True
            case Broken(failure=failure):
                self._handle_broken(req, placement.upstream, progress, failure, reply)
        progress.excluded.add(placement.upstream.id)
        return False

    def _timeouts(
        self,
        req: ForwardRequest,
        placement: Placement,
        progress: _Progress,
        remaining_s: float,
    ) -> tuple[float, float]:
        """Return the timeouts for the first part and between parts, seconds.

        A request that may not run elsewhere waits until its deadline, as it gains
        nothing by abandoning an upstream.
        """
        runs_left = req.operation.max_attempts - progress.n_runs - 1
        if not req.may_repeat or runs_left <= 0:
            return remaining_s, remaining_s
        first_s = max(STALL_TIMEOUT_MIN_S, STALL_TIMEOUT_FACTOR * placement.wait_s)
        return first_s, EVENT_TIMEOUT_S

    def _handle_not_run(
        self, upstream: LiveUpstream, progress: _Progress, outcome: NotRun
    ) -> None:
        if not outcome.was_received:
            if upstream.record_failure(is_unreachable=True):
                self._record_ejection(upstream, outcome.detail)
        else:
            upstream.record_inconclusive()
        if progress.n_sends >= MAX_SENDS:
            raise self._final_refusal(progress, ErrorKind.NO_UPSTREAM, outcome.detail)
        service = upstream.entry.service
        if outcome.was_received and not self._take_retry(service):
            raise self._final_refusal(progress, ErrorKind.NO_UPSTREAM, outcome.detail)

    def _handle_broken(
        self,
        req: ForwardRequest,
        upstream: LiveUpstream,
        progress: _Progress,
        failure: Failure,
        reply: CallerReply,
    ) -> None:
        progress.n_runs += 1
        progress.events.restart()
        if failure.kind is FailureKind.WITHDRAWN:
            upstream.record_inconclusive()
        elif upstream.record_failure():
            self._record_ejection(upstream, failure.detail)
        if self._may_run_again(req, progress):
            return
        if reply.is_started:
            raise failure
        kind = ErrorKind.UPSTREAM_FAILED
        if failure.kind is FailureKind.SILENT:
            kind = ErrorKind.UPSTREAM_TIMEOUT
        raise Refusal(kind, failure.detail)

    def _may_run_again(self, req: ForwardRequest, progress: _Progress) -> bool:
        if req.operation.repeat is RepeatPolicy.ONCE:
            return False
        if progress.n_runs >= req.operation.max_attempts:
            return False
        if self._poison.is_blocked(progress.fingerprint):
            return False
        if req.answer_deadline - self._clock() < MIN_REMAINING_S:
            return False
        return self._take_retry(req.service)

    def _take_retry(self, service: ServiceName) -> bool:
        is_allowed = self._budget(service).take(self._n_routers())
        self._metrics.count("repeats.allowed" if is_allowed else "repeats.denied")
        return is_allowed

    async def _forward_rejected(self, rejected: Rejected, reply: CallerReply) -> None:
        length = (b"content-length", str(len(rejected.body)).encode())
        await reply.send_response(
            rejected.status, (*rejected.headers, length), rejected.body
        )

    def _final_refusal(
        self, progress: _Progress, kind: ErrorKind, detail: str
    ) -> Refusal:
        """Return the refusal of a request that is not sent again.

        A request that may have run is never reported as not run.
        """
        if progress.n_runs > 0 and kind is not ErrorKind.UPSTREAM_TIMEOUT:
            kind = ErrorKind.UPSTREAM_FAILED
        retry_after_s = NO_UPSTREAM_RETRY_S if kind is ErrorKind.NO_UPSTREAM else None
        return Refusal(kind, detail, retry_after_s)

    # -- health

    def _record_ejection(self, upstream: LiveUpstream, reason: str) -> None:
        self._metrics.count("upstream.ejections")
        self._log.warning(
            "upstream_ejected",
            upstream=upstream.id,
            failure_rate=upstream.failure_rate,
            for_s=upstream.ejected_until - self._clock(),
            reason=reason,
        )

    async def _check_crash(
        self,
        upstream: LiveUpstream,
        req: ForwardRequest,
        progress: _Progress,
        sender: Sender,
        trial: str | None,
    ) -> None:
        """Record whether an upstream crashed under a request.

        A request that may have caused the crash waits for the result, so that it does
        not run again before its parts are in doubt.
        """
        check = asyncio.ensure_future(
            self._record_crash(upstream, req, progress.fingerprint, sender, trial)
        )
        self._crash_checks.add(check)
        check.add_done_callback(self._crash_checks.discard)
        may_be_cause = not sender.is_answering and any(
            self._quarantine.answered_age_s(part) is None for part in req.shared_parts
        )
        if trial is not None or may_be_cause:
            await asyncio.shield(check)

    async def _record_crash(
        self,
        upstream: LiveUpstream,
        req: ForwardRequest,
        fingerprint: str,
        sender: Sender,
        trial: str | None,
    ) -> None:
        if not await self._probe.has_crashed(upstream):
            return
        part_ages = self._part_ages(req)
        born_ms = upstream.entry.born_ms
        is_explained = self._quarantine.explains(upstream.id, born_ms)
        is_suspect = not sender.is_answering and (trial is not None or not is_explained)
        doubted: frozenset[PromptPartId] = frozenset()
        if is_suspect:
            doubted = self._quarantine.record_crash(
                upstream.id, born_ms, req.shared_parts, trial
            )
            self._poison.record_crash(fingerprint, upstream.id, SUSPECT_TTL_S)
        self._log.warning(
            "upstream_crashed",
            upstream=upstream.id,
            born_ms=born_ms,
            request=req.id,
            fingerprint=fingerprint,
            n_crashes=len(self._poison.crashed_upstreams(fingerprint)),
            is_suspect=is_suspect,
            first_event_s=sender.first_event_s,
            parts=part_ages,
            doubted=_format_parts(doubted),
            trial=trial,
        )

    def _record_answering(self, req: ForwardRequest, sender: Sender) -> None:
        self._remove_in_flight(req, sender)
        self._quarantine.record_answer(req.shared_parts)

    def _start_trial(
        self, req: ForwardRequest, placement: Placement, decision: Free | Trial
    ) -> str | None:
        if isinstance(decision, Free):
            return None
        upstream = placement.upstream.id
        trial = self._quarantine.start_trial(decision.parts, upstream)
        self._metrics.count("prompts.trials")
        self._log.warning(
            "prompt_trial",
            request=req.id,
            trial=trial,
            upstream=upstream,
            parts=_format_parts(decision.parts),
        )
        return trial

    def _part_ages(self, req: ForwardRequest) -> str:
        """Format the shared parts, each with the time since it was last answered."""
        ages = ((p, self._quarantine.answered_age_s(p)) for p in req.shared_parts)
        return ",".join(
            f"{part.hex()}:{'never' if age_s is None else format(age_s, '.3f')}"
            for part, age_s in ages
        )

    def _log_send(
        self,
        req: ForwardRequest,
        placement: Placement,
        progress: _Progress,
        outcome: Served | NotRun | Rejected | Broken,
        started: float,
        sender: Sender,
    ) -> None:
        name = type(outcome).__name__.lower()
        self._metrics.count("sends", upstream=placement.upstream.id, outcome=name)
        if sender.first_event_s is not None:
            self._metrics.timing(
                "first_event", sender.first_event_s, upstream=placement.upstream.id
            )
            self._metrics.timing(
                "longest_pause",
                sender.longest_pause_s,
                operation=req.operation.name,
            )
        demand = pool_demand(req.service, req.head.prompt)
        # Unlike info lines, warnings are not rate-limited.
        write = self._log.info if name == "served" else self._log.warning
        write(
            "request_sent",
            request=req.id,
            operation=req.operation.name,
            organisation=req.organisation,
            upstream=placement.upstream.id,
            send=progress.n_sends,
            pool=demand.pool,
            amount=demand.amount,
            standing=progress.share_ratio,
            waited_s=req.waited_s,
            queue_s=placement.queue_s,
            expected_s=placement.wait_s,
            unread=placement.prefill_tokens,
            load=_load(sender.head),
            first_event_s=sender.first_event_s,
            longest_pause_s=sender.longest_pause_s,
            took_s=self._clock() - started,
            outcome=type(outcome).__name__,
            detail=_detail(outcome),
        )


def _load(head: AnswerHead | None) -> str:
    """Format running, waiting and slowness as reported by the upstream."""
    if head is None or head.load is None:
        return "-"
    load = head.load
    return f"{load.n_running}/{load.n_waiting}/{load.slowness:.2f}"


def _detail(outcome: Served | NotRun | Rejected | Broken) -> str:
    match outcome:
        case Served(status=status) | Rejected(status=status):
            return f"status {status}"
        case NotRun(detail=detail):
            return detail
        case Broken(failure=failure):
            return str(failure)


def _fingerprint(req: ForwardRequest) -> str:
    """Return a digest of all that an upstream computes the answer from."""
    prompt = req.head.prompt
    parts = b",".join(part.id for part in prompt.parts) if prompt is not None else b""
    call = f"{req.head.method} {req.head.path}"
    return fingerprint_of(req.service, call, parts + b"\x00" + req.body)


def _is_broken(outcome: Served | NotRun | Rejected | Broken) -> bool:
    match outcome:
        case Broken(failure=failure):
            return failure.kind is FailureKind.BROKEN
        case _:
            return False


def _reason(decision: Held | Blocked) -> str:
    return type(decision).__name__.lower()


def _format_parts(parts: Iterable[PromptPartId]) -> str:
    return ",".join(sorted(part.hex() for part in parts)) or "-"
