"""Applies the decisions about prompts in doubt to the requests of this router.

New requests whose prompt may not run now are refused at once. Those that were sent
already, and lost their engine or were withdrawn from it, wait for the trial that
decides about their prompt.
"""

import asyncio
from collections.abc import Iterable
from random import Random

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.gateway.sender import Sender
from chicorylead.ids import PromptPartId, TrialId, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.prompt_quarantine import (
    Blocked,
    Free,
    Held,
    PromptQuarantine,
    Trial,
)
from chicorylead.traffic.request import ForwardRequest

__all__ = ["PromptTrials", "format_parts"]

# Routers that lose requests in one crash start a trial each, unless one is told first.
START_SPREAD_S = 0.04
MAX_WAIT_S = 1.5  # several times what a trial takes


class PromptTrials:
    """Holds, tries and withdraws requests whose prompt may crash engines.

    Args:
        quarantine: Decides which prompts may run.
        rng: Spreads the starts of trials.
    """

    def __init__(
        self,
        quarantine: PromptQuarantine,
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._quarantine = quarantine
        self._quarantine.on_doubt = self._withdraw
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._in_flight: dict[PromptPartId, set[Sender]] = {}

    # -- decisions

    def check(self, req: ForwardRequest) -> None:
        """Check that a new request may run, or may be a trial.

        Raises:
            Refusal: Its prompt is blocked, or another request is the trial.
        """
        decision = self._quarantine.decide(req.shared_parts)
        if isinstance(decision, Held | Blocked):
            raise self._refusal(req, decision)

    def is_free(self, req: ForwardRequest) -> bool:
        """Return whether no part of a request's prompt is in doubt."""
        return isinstance(self._quarantine.decide(req.shared_parts), Free)

    async def wait(self, req: ForwardRequest, was_sent: bool) -> Free | Trial:
        """Wait until a request may run, while another one is the trial.

        Args:
            req: The request.
            was_sent: Whether an upstream may have run it.

        Raises:
            Refusal: The prompt is blocked, or the trial takes too long.
        """
        ends_at = min(self._clock() + MAX_WAIT_S, req.answer_deadline)
        await asyncio.sleep(self._rng.uniform(0.0, START_SPREAD_S))
        while True:
            decision = self._quarantine.decide(req.shared_parts)
            left_s = ends_at - self._clock()
            match decision:
                case Free() | Trial():
                    return decision
                case Held() if left_s > 0:
                    await self._quarantine.wait_for_change(left_s)
                case Held() | Blocked():
                    refusal = self._refusal(req, decision)
                    if was_sent:
                        raise Refusal(ErrorKind.UPSTREAM_FAILED, refusal.detail)
                    raise refusal

    def upstreams(self) -> frozenset[UpstreamId]:
        """Return the engines on which a trial runs, at any router."""
        return self._quarantine.trial_upstreams()

    def _refusal(self, req: ForwardRequest, decision: Held | Blocked) -> Refusal:
        match decision:
            case Held():
                reason, n_crashes = "held", 0
                detail = "a part of this prompt is checked after a crash of an engine"
            case Blocked():
                reason, n_crashes = "blocked", decision.n_crashes
                detail = "engines crashed under a part of this prompt"
        self._metrics.count("prompts.refused", reason=reason)
        self._log.warning(
            "prompt_refused",
            request=req.id,
            operation=req.operation.name,
            organisation=req.organisation,
            reason=reason,
            parts=format_parts(decision.parts),
            n_crashes=n_crashes,
            retry_after_s=decision.retry_after_s,
        )
        return Refusal(ErrorKind.POISON, detail, decision.retry_after_s)

    # -- sends

    def begin(
        self,
        req: ForwardRequest,
        decision: Free | Trial,
        sender: Sender,
        can_run_again: bool,
    ) -> TrialId | None:
        """Record a send; return the id of the trial if it is one.

        Only requests that can run again are withdrawn: the others would fail, though
        their prompt is likely sound.
        """
        match decision:
            case Trial(parts=parts):
                return self._start(req, parts, sender.upstream_id)
            case Free() if can_run_again:
                for part in req.shared_parts:
                    self._in_flight.setdefault(part, set()).add(sender)
        return None

    def end(self, req: ForwardRequest, sender: Sender, trial: TrialId | None) -> None:
        """Record the end of a send, and of its trial."""
        self._remove_in_flight(req, sender)
        if trial is not None:
            self._quarantine.end_trial(trial)

    def record_answering(self, req: ForwardRequest, sender: Sender) -> None:
        """Record that an upstream is past the start of its answer."""
        self._remove_in_flight(req, sender)
        self._quarantine.record_answer(req.shared_parts)

    def _start(
        self, req: ForwardRequest, parts: frozenset[PromptPartId], upstream: UpstreamId
    ) -> TrialId:
        trial = self._quarantine.start_trial(parts, upstream)
        self._metrics.count("prompts.trials")
        self._log.warning(
            "prompt_trial",
            request=req.id,
            trial=trial,
            upstream=upstream,
            parts=format_parts(parts),
        )
        return trial

    def _withdraw(self, parts: Iterable[PromptPartId]) -> None:
        """Withdraw requests with parts in doubt from engines, before they begin."""
        for part in parts:
            for sender in list(self._in_flight.get(part, ())):
                self._metrics.count("prompts.withdrawn")
                sender.withdraw()

    def _remove_in_flight(self, req: ForwardRequest, sender: Sender) -> None:
        for part in req.shared_parts:
            senders = self._in_flight.get(part)
            if senders is None:
                continue
            senders.discard(sender)
            if not senders:
                del self._in_flight[part]


def format_parts(parts: Iterable[PromptPartId]) -> str:
    """Format the ids of parts for a log line."""
    return ",".join(sorted(part.hex() for part in parts)) or "-"
