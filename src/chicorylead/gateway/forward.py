"""Forwards admitted requests to upstreams, with retries and stream resumption."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from chicorylead.admission.cost import pool_demand
from chicorylead.admission.placement import Placement
from chicorylead.admission.retry_budget import RetryBudget
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.gateway.admission import (
    NO_UPSTREAM_RETRY_S,
    AdmissionController,
    Admitted,
)
from chicorylead.gateway.crash_monitor import CrashMonitor, fingerprint_of_request
from chicorylead.gateway.notices import NoticeRecorder
from chicorylead.gateway.outcome import Broken, NotRun, Rejected, Served
from chicorylead.gateway.prompt_trials import PromptTrials
from chicorylead.gateway.reply import CallerReply
from chicorylead.gateway.sender import OnSent, Sender, Timeouts
from chicorylead.gateway.settings import Bounds
from chicorylead.gateway.stream_journal import StreamJournal
from chicorylead.ids import ServiceName, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.poison import PoisonList
from chicorylead.outcome.prompt_quarantine import Free, Trial
from chicorylead.platform.upstream_wire import EVENT_NUMBER_FIELDS
from chicorylead.traffic.model import RepeatPolicy
from chicorylead.traffic.request import ForwardRequest
from chicorylead.upstream.answer import AnswerHead
from chicorylead.upstream.connection import Connection, Failure, FailureKind
from chicorylead.upstream.event_format import EventFormat
from chicorylead.upstream.events import EventSplitter
from chicorylead.upstream.live import LiveUpstream

__all__ = ["Accepted", "Forwarder"]

MAX_SENDS = 4  # bounds the full or silent upstreams that a request tries
REFUSED_AT_ONCE_S = 0.05  # a connection that fails sooner costs a request no time
STALL_TIMEOUT_FACTOR = 3.0  # times the expected wait; slower counts as stalled
# Longer than any pause that operators allow between events, and shorter than the two
# seconds after which callers leave.
EVENT_TIMEOUT_S = 1.5
BODY_TIMEOUT_S = 0.5  # a lost segment is sent again twice within it
STALL_TIMEOUT_MIN_S = 0.8  # twice a typical latency objective
MIN_REMAINING_S = 0.03  # with less time left, no upstream can answer


@dataclass(slots=True)
class _Progress:
    """State of a request across its attempts."""

    events: EventSplitter
    fingerprint: str
    share_ratio: float
    excluded: set[UpstreamId] = field(default_factory=set)
    used: set[Connection] = field(default_factory=set)
    n_sends: int = 0
    n_refused_at_once: int = 0  # of these, by upstreams not tried before
    n_runs: int = 0
    has_retry: bool = False  # taken from the budget before the upstream was abandoned
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
        trials: Decides about prompts that may crash engines.
        crashes: Records under which requests upstreams crashed.
        notices: Records what upstreams state in their answers.
        journal: Records at which software versions streams begin.
        bounds: Limits of the retry budget.
        on_sent: Called with each prompt that is sent to an engine.
        n_routers: Returns the number of routers that share the retry budget.
    """

    def __init__(
        self,
        admission: AdmissionController,
        poison: PoisonList,
        trials: PromptTrials,
        crashes: CrashMonitor,
        notices: NoticeRecorder,
        journal: StreamJournal,
        bounds: Bounds,
        on_sent: OnSent,
        n_routers: Callable[[], int],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._admission = admission
        self._poison = poison
        self._bounds = bounds
        self._on_sent = on_sent
        self._n_routers = n_routers
        self._log = log
        self._metrics = metrics
        self._clock = asyncio.get_running_loop().time
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._trials = trials
        self._crashes = crashes
        self._notices = notices
        self._journal = journal
        self._event_format = EventFormat(EVENT_NUMBER_FIELDS)

    def accept(self, req: ForwardRequest) -> Accepted:
        """Admit a request and select its first upstream, without waiting.

        Raises:
            Refusal: The request is not admitted.
        """
        fingerprint = fingerprint_of_request(req)
        self._crashes.check_blocked(fingerprint)
        self._trials.check(req)
        self._budget(req.service).record_request()
        try:
            admitted = self._admission.admit(req)
        except Refusal:
            self._count_share(req, "refused")
            raise
        self._crashes.record_accepted(fingerprint)
        self._count_share(req, "admitted")
        events = EventSplitter(req.head.last_event_id, self._event_format)
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
                decision: Free | Trial = Free()
                if not self._trials.is_free(req):
                    decision = await self._trials.wait(req, progress.n_runs > 0)
                    placement = self._place_trial(req, decision, progress)
                elif placement is None:
                    placement = self._place_again(req, progress)
                version = placement.upstream.entry.version
                if await self._send(req, placement, decision, progress, reply):
                    return
                if req.version is None and progress.events.n_events > 0:
                    # What two versions write does not fit together.
                    req = replace(req, version=version)
                placement = None
        except Refusal:
            # If an upstream has answered, even with an error, forward that answer.
            if progress.rejected is None or reply.is_started:
                raise
            await self._forward_rejected(progress.rejected, reply)
        finally:
            # Exceptions may refer to the frames that refer to these.
            progress.events.restart()
            progress.rejected = None

    def _place_again(self, req: ForwardRequest, progress: _Progress) -> Placement:
        placement = self._admission.place(req, progress.share_ratio, progress.excluded)
        if placement is None:
            raise self._unplaced(req, progress)
        return placement

    def _unplaced(self, req: ForwardRequest, progress: _Progress) -> Refusal:
        refusal = self._admission.no_upstream(req, progress.share_ratio)
        if progress.n_runs > 0:
            return self._final_refusal(progress, refusal.kind, refusal.detail)
        return refusal

    def _place_trial(
        self, req: ForwardRequest, decision: Free | Trial, progress: _Progress
    ) -> Placement:
        """Place a trial where a crash ends few requests, and no other trial."""
        if isinstance(decision, Free):
            return self._place_again(req, progress)
        excluded = progress.excluded | self._trials.upstreams()
        placement = self._admission.place_apart(req, progress.share_ratio, excluded)
        return placement or self._place_again(req, progress)

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
        timeouts = self._timeouts(req, placement, progress, remaining_s)
        sender = Sender(
            req,
            placement,
            self._admission.response_times(req.service),
            progress.events,
            progress.used,
            reply,
            timeouts,
            lambda: self._may_abandon(req, placement.upstream, progress),
            self._on_sent,
            lambda: self._journal.begin(req, placement.upstream.entry.version),
            lambda: self._record_answering(req, progress, sender),
            self._notices,
        )
        progress.n_sends += 1
        started = self._clock()
        runs_left = req.operation.max_attempts - progress.n_runs - 1
        can_run_again = req.may_repeat and runs_left > 0
        trial = self._trials.begin(req, decision, sender, can_run_again)
        try:
            after_event = progress.events.last_id
            outcome = await sender.send()
            self._log_send(
                req, placement, progress, outcome, started, sender, after_event
            )
            if _is_broken(outcome):
                await self._crashes.check(placement.upstream, req, sender, trial)
        finally:
            self._trials.end(req, sender, trial)
        match outcome:
            case Served():
                self._journal.end(req)
                return True
            case NotRun():
                took_s = self._clock() - started
                self._handle_not_run(placement.upstream, progress, outcome, took_s)
            case Rejected():
                placement.upstream.record_failure()
                progress.rejected = outcome
                reply.hold(len(outcome.body))
                progress.n_runs += 1
                if not self._may_run_again(req, progress, progress.n_runs):
                    await self._forward_rejected(outcome, reply)
                    return True
            case Broken(failure=failure):
                self._handle_broken(req, placement.upstream, progress, failure, reply)
        progress.excluded.add(placement.upstream.id)
        return False

    def _record_answering(
        self, req: ForwardRequest, progress: _Progress, sender: Sender
    ) -> None:
        self._trials.record_answering(req, sender)
        self._crashes.record_answer(progress.fingerprint)

    def _timeouts(
        self,
        req: ForwardRequest,
        placement: Placement,
        progress: _Progress,
        remaining_s: float,
    ) -> Timeouts:
        """Return the times after which an answer counts as stalled.

        A request that may not run elsewhere waits until its deadline, as it gains
        nothing by abandoning an upstream.
        """
        runs_left = req.operation.max_attempts - progress.n_runs - 1
        if not req.may_repeat or runs_left <= 0:
            return Timeouts(remaining_s, remaining_s, remaining_s)
        first_s = max(STALL_TIMEOUT_MIN_S, STALL_TIMEOUT_FACTOR * placement.wait_s)
        return Timeouts(first_s, EVENT_TIMEOUT_S, BODY_TIMEOUT_S)

    def _handle_not_run(
        self,
        upstream: LiveUpstream,
        progress: _Progress,
        outcome: NotRun,
        took_s: float,
    ) -> None:
        if (
            not outcome.was_received
            and took_s < REFUSED_AT_ONCE_S
            and upstream.id not in progress.excluded
        ):
            progress.n_refused_at_once += 1
        if not outcome.was_received or outcome.is_elsewhere:
            if upstream.record_failure(is_unreachable=True):
                self._record_ejection(upstream, outcome.detail)
        else:
            upstream.record_inconclusive()
        if progress.n_sends - progress.n_refused_at_once >= MAX_SENDS:
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
        if self._may_run_again(req, progress, progress.n_runs):
            return
        if reply.is_started:
            raise failure
        kind = ErrorKind.UPSTREAM_FAILED
        if failure.kind is FailureKind.SILENT:
            kind = ErrorKind.UPSTREAM_TIMEOUT
        raise Refusal(kind, failure.detail)

    def _may_abandon(
        self, req: ForwardRequest, upstream: LiveUpstream, progress: _Progress
    ) -> bool:
        """Return whether a request leaves a silent upstream, with a retry taken for it.

        One that can't run elsewhere waits on, as the upstream may go on.
        """
        excluded = progress.excluded | {upstream.id}
        if not self._admission.has_other(req, progress.share_ratio, excluded):
            return False
        progress.has_retry = self._may_run_again(req, progress, progress.n_runs + 1)
        return progress.has_retry

    def _may_run_again(
        self, req: ForwardRequest, progress: _Progress, n_runs: int
    ) -> bool:
        if req.operation.repeat is RepeatPolicy.ONCE:
            return False
        if n_runs >= req.operation.max_attempts:
            return False
        if self._poison.is_blocked(progress.fingerprint):
            return False
        if req.answer_deadline - self._clock() < MIN_REMAINING_S:
            return False
        if progress.has_retry:
            progress.has_retry = False
            return True
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

    def _log_send(
        self,
        req: ForwardRequest,
        placement: Placement,
        progress: _Progress,
        outcome: Served | NotRun | Rejected | Broken,
        started: float,
        sender: Sender,
        after_event: str | None,
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
            version=placement.upstream.entry.version,
            resumes=req.head.resumes,
            after_event=after_event,
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


def _is_broken(outcome: Served | NotRun | Rejected | Broken) -> bool:
    match outcome:
        case Broken(failure=failure):
            return failure.kind is FailureKind.BROKEN
        case _:
            return False
