"""Attributes the crash of an upstream to the requests that may have caused it.

Load pattern: dozens of requests run on an upstream when one of them crashes it. A
request that does so crashes it as it begins the answer: those whose answer had begun
are not the cause, nor are those beside a trial of a prompt in doubt.
"""

import asyncio
from collections.abc import Callable

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.gateway.crash_probe import CrashProbe
from chicorylead.gateway.prompt_trials import format_parts
from chicorylead.gateway.sender import Sender
from chicorylead.ids import PromptPartId, TrialId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.poison import PoisonList, fingerprint_of
from chicorylead.outcome.prompt_quarantine import PromptQuarantine
from chicorylead.traffic.request import ForwardRequest
from chicorylead.upstream.live import LiveUpstream

__all__ = ["CrashMonitor", "fingerprint_of_request"]

SUSPECT_TTL_S = 60.0  # callers retry such a request within seconds
BLOCKED_TTL_S = 600.0  # after it has come for the last time
NOT_CHOSEN_RETRY_S = 1.0  # another router tries it meanwhile


class CrashMonitor:
    """Finds out whether upstreams crashed, and records under which requests.

    Args:
        poison: Requests under which upstreams crashed.
        quarantine: Prompt parts under which engines crashed.
        is_chosen: Returns whether this router is the one that tries a blocked request.
    """

    def __init__(
        self,
        poison: PoisonList,
        quarantine: PromptQuarantine,
        is_chosen: Callable[[str], bool],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._poison = poison
        self._quarantine = quarantine
        self._is_chosen = is_chosen
        self._log = log
        self._metrics = metrics
        self._probe = CrashProbe()
        self._checks: set[asyncio.Task[None]] = set()

    def check_blocked(self, fingerprint: str) -> None:
        """Refuse a request that has crashed several upstreams, but for its trials.

        Raises:
            Refusal: It is blocked.
        """
        if not self._poison.is_blocked(fingerprint):
            return
        due_s = self._poison.trial_due_s(fingerprint)
        if due_s == 0.0 and self._is_chosen(fingerprint):
            return
        self._poison.renew(fingerprint, BLOCKED_TTL_S)
        raise Refusal(
            ErrorKind.POISON,
            "this request has crashed upstreams",
            min(max(due_s, NOT_CHOSEN_RETRY_S), BLOCKED_TTL_S),
        )

    def record_accepted(self, fingerprint: str) -> None:
        """Record that a request is sent to an upstream: a trial if it is blocked."""
        if self._poison.is_blocked(fingerprint):
            self._poison.start_trial(fingerprint)
            n_trials = self._poison.notice(fingerprint).n_trials
            self._log.warning(
                "suspect_tried", fingerprint=fingerprint, n_trials=n_trials
            )

    async def check(
        self,
        upstream: LiveUpstream,
        req: ForwardRequest,
        sender: Sender,
        trial: TrialId | None,
    ) -> None:
        """Record whether an upstream crashed when the connection to it broke.

        A request that may have caused the crash waits for the result, so that it does
        not run again before its prompt is in doubt; others go on at once.
        """
        check = asyncio.ensure_future(self._record(upstream, req, sender, trial))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)
        if trial is not None or self._may_be_cause(req, sender):
            await asyncio.shield(check)

    def record_answer(self, fingerprint: str) -> None:
        """Record that an upstream answers a request, which therefore is not poison."""
        if self._poison.clear(fingerprint) is not None:
            self._log.info("suspect_cleared", fingerprint=fingerprint)

    def _may_be_cause(self, req: ForwardRequest, sender: Sender) -> bool:
        return not sender.is_answering and any(
            self._quarantine.answered_age_s(part) is None for part in req.shared_parts
        )

    async def _record(
        self,
        upstream: LiveUpstream,
        req: ForwardRequest,
        sender: Sender,
        trial: TrialId | None,
    ) -> None:
        if not await self._probe.has_crashed(upstream):
            return
        part_ages = self._part_ages(req)
        born_ms = upstream.entry.born_ms
        is_explained = self._quarantine.explains(upstream.id, born_ms)
        is_suspect = not sender.is_answering and (trial is not None or not is_explained)
        fingerprint = fingerprint_of_request(req)
        doubted: frozenset[PromptPartId] = frozenset()
        if is_suspect:
            doubted = self._quarantine.record_crash(
                upstream.id, born_ms, req.shared_parts, trial
            )
            self._poison.record_crash(
                fingerprint, upstream.id, SUSPECT_TTL_S, sender.sent_at
            )
            if self._poison.is_blocked(fingerprint):
                self._poison.renew(fingerprint, BLOCKED_TTL_S)
        self._metrics.count("upstream.crashes", suspect=str(is_suspect).lower())
        self._log.warning(
            "upstream_crashed",
            upstream=upstream.id,
            born_ms=born_ms,
            request=req.id,
            fingerprint=fingerprint,
            n_crashes=self._poison.n_crashes(fingerprint),
            is_suspect=is_suspect,
            first_event_s=sender.first_event_s,
            parts=part_ages,
            doubted=format_parts(doubted),
            trial=trial,
        )

    def _part_ages(self, req: ForwardRequest) -> str:
        """Format the shared parts, each with the time since it was last answered."""
        ages = ((p, self._quarantine.answered_age_s(p)) for p in req.shared_parts)
        return ",".join(
            f"{part.hex()}:{'never' if age_s is None else format(age_s, '.3f')}"
            for part, age_s in ages
        )


def fingerprint_of_request(req: ForwardRequest) -> str:
    """Return a digest of all that an upstream computes the answer from."""
    prompt = req.head.prompt
    parts = b",".join(part.id for part in prompt.parts) if prompt is not None else b""
    call = f"{req.head.method} {req.head.path}"
    return fingerprint_of(req.service, call, parts + b"\x00" + req.body)
