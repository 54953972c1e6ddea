"""Keeps prompts away from engines if one of their parts crashes engines.

Load pattern: a few requests in a hundred hold a part that crashes each engine which
begins to answer it. No two of them are alike; their other parts, and their
organisations, are those of sound requests. They arrive at all routers.

A crash puts in doubt the shared parts of the requests that had not begun their answer,
unless engines have answered these parts before. Of the requests with a part in doubt,
one at a time runs as a trial, on an engine without another trial. An answer ends the
doubt. A crash during a trial is attributed to the parts of that request alone, and
requests that hold them all are refused, until another trial is due. Parts are therefore
told apart by the requests that hold one without the other.

An engine that is lost for another reason puts parts in doubt as well; the trial clears
them. Parts that were answered before are in doubt only after several crashes without
an answer since the first.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from chicorylead.ids import CrashId, PromptPartId, RouterId, TrialId, UpstreamId
from chicorylead.outcome.answered_parts import AnsweredParts
from chicorylead.outcome.crash_news import CrashReport, TrialReport

__all__ = ["Blocked", "Decision", "Free", "Held", "PromptQuarantine", "Trial"]

Parts = frozenset[PromptPartId]
_CrashKey = tuple[CrashId, bool]  # id of the crash, and whether it ended a trial

N_CRASHES_TO_DOUBT = 3  # of parts that were answered before
# A part that this router saw answered more recently is in frequent use, and sound.
RECENTLY_ANSWERED_S = 1.0
RETRY_MIN_S = 10.0  # until the trial after the first failed one; doubles with each
RETRY_MAX_S = 600.0
DOUBT_TTL_S = 60.0  # callers retry such a request within seconds
# If the router that runs a trial is lost; a request waits for a shorter time to start.
TRIAL_TIMEOUT_S = 3.0
HELD_RETRY_S = 0.5  # a trial takes a few hundred milliseconds
ANSWERED_TELL_S = 60.0  # peers are told of a part that is answered once in this time
MAX_CRASHES = 200
MAX_PARTS_PER_CRASH = 64
MAX_CRASHES_TOLD = 20  # keeps beacons small; the newest matter most


@dataclass(frozen=True, slots=True)
class Free:
    """No part of the prompt is in doubt."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The request may run as a trial of the parts in doubt."""

    parts: Parts


@dataclass(frozen=True, slots=True)
class Held:
    """Another request runs as a trial of a part in doubt."""

    parts: Parts
    retry_after_s: float = HELD_RETRY_S


@dataclass(frozen=True, slots=True)
class Blocked:
    """Engines crashed in trials of the parts.

    Attributes:
        n_crashes: Number of these trials.
        retry_after_s: Time until the next trial, seconds.
    """

    parts: Parts
    n_crashes: int
    retry_after_s: float


Decision = Free | Trial | Held | Blocked


@dataclass(slots=True)
class _Crash:
    """One crash.

    Attributes:
        at: Event-loop time, seconds.
        parts: Parts that may have caused it and were not answered since.
    """

    id: CrashId
    is_trial: bool
    at: float
    parts: set[PromptPartId] = field(default_factory=set)

    @property
    def key(self) -> _CrashKey:
        """Return the key under which it is kept."""
        return self.id, self.is_trial


@dataclass(slots=True)
class _RunningTrial:
    """A trial at this router or a peer, until it ends or expires."""

    parts: Parts
    upstream: UpstreamId
    expires_at: float


class PromptQuarantine:
    """Decides which prompts may run, from the crashes and answers of all routers.

    Args:
        router: Id of this router; trials are named after it.

    Attributes:
        on_news: Called when there is news for the peers.
        on_doubt: Called with parts that came into doubt and were never answered.
    """

    def __init__(self, router: RouterId) -> None:
        self._router = router
        self._clock = asyncio.get_running_loop().time
        self.on_news: Callable[[], None] = lambda: None
        self.on_doubt: Callable[[Parts], None] = lambda parts: None
        self._answered = AnsweredParts()
        self._crashes: dict[_CrashKey, _Crash] = {}
        self._by_part: dict[PromptPartId, set[_CrashKey]] = {}
        self._trials: dict[TrialId, _RunningTrial] = {}
        self._n_trials = 0
        self._changed = asyncio.Event()
        self._crash_news: set[_CrashKey] = set()
        self._trial_news: dict[TrialId, TrialReport] = {}
        self._answered_news: set[PromptPartId] = set()
        self._answered_queue: set[PromptPartId] = set()

    # -- decisions

    def decide(self, parts: Sequence[PromptPartId]) -> Decision:
        """Decide whether a prompt with these shared parts may run now."""
        if not self._crashes:
            return Free()
        self._expire()
        doubted = frozenset(part for part in parts if self._is_in_doubt(part))
        if not doubted:
            return Free()
        blocked = self._blocked(doubted)
        if blocked is not None:
            return blocked
        if any(trial.parts & doubted for trial in self._trials.values()):
            return Held(doubted)
        return Trial(doubted)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a decision may differ from the last one, or for a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def trial_upstreams(self) -> frozenset[UpstreamId]:
        """Return the engines on which a trial runs."""
        self._expire()
        return frozenset(trial.upstream for trial in self._trials.values())

    def explains(self, upstream: UpstreamId, born_ms: int) -> bool:
        """Return whether a trial is the likely cause of an engine's crash."""
        crash_id = _crash_id(upstream, born_ms)
        return (crash_id, True) in self._crashes or upstream in self.trial_upstreams()

    def answered_age_s(self, part: PromptPartId) -> float | None:
        """Return the time since a part was last answered, seconds; None if never."""
        return self._answered.age_s(part)

    def _is_in_doubt(self, part: PromptPartId) -> bool:
        keys = self._by_part.get(part)
        if not keys:
            return False
        if self._answered.age_s(part) is None:
            return True
        return len({crash_id for crash_id, _ in keys}) >= N_CRASHES_TO_DOUBT

    def _suspects(self, crash: _Crash) -> Parts:
        return frozenset(part for part in crash.parts if self._is_in_doubt(part))

    def _blocked(self, doubted: Parts) -> Blocked | None:
        keys = set().union(*(self._by_part[part] for part in doubted))
        failed = [
            self._crashes[key]
            for key in keys
            if key[1] and self._suspects(self._crashes[key]) <= doubted
        ]
        if not failed:
            return None
        retry_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** (len(failed) - 1))
        left_s = max(crash.at for crash in failed) + retry_s - self._clock()
        if left_s <= 0:
            return None
        parts = frozenset().union(*(self._suspects(crash) for crash in failed))
        return Blocked(parts, len(failed), left_s)

    def _expire(self) -> None:
        now = self._clock()
        for crash in list(self._crashes.values()):
            ttl_s = 2 * RETRY_MAX_S if crash.is_trial else DOUBT_TTL_S
            if now - crash.at > ttl_s:
                self._remove_crash(crash)
        for trial_id, trial in list(self._trials.items()):
            if now > trial.expires_at:
                del self._trials[trial_id]

    # -- events at this router

    def start_trial(self, parts: Parts, upstream: UpstreamId) -> TrialId:
        """Record that a request runs as a trial; return the id of the trial."""
        self._n_trials += 1
        trial_id = TrialId(f"{self._router}:{self._n_trials}")
        self._set_trial(trial_id, parts, upstream)
        self._tell_trial(trial_id, parts, upstream)
        return trial_id

    def end_trial(self, trial_id: TrialId) -> None:
        """Record the end of a trial of this router."""
        trial = self._trials.pop(trial_id, None)
        if trial is not None:
            self._tell_trial(trial_id, trial.parts, UpstreamId(""))
            self._wake()

    def record_answer(self, parts: Sequence[PromptPartId]) -> None:
        """Record that an engine answers a prompt with these shared parts."""
        for part in parts:
            age_s = self._answered.age_s(part)
            if age_s is None or age_s > ANSWERED_TELL_S:
                self._answered_queue.add(part)
        cleared = [part for part in parts if part in self._by_part]
        self._apply_answers(parts)
        if cleared:
            self._answered_news.update(cleared)
            self.on_news()

    def record_crash(
        self,
        upstream: UpstreamId,
        born_ms: int,
        parts: Sequence[PromptPartId],
        trial_id: TrialId | None = None,
    ) -> Parts:
        """Record that an engine crashed under a request that had not begun its answer.

        Args:
            upstream: The engine.
            born_ms: Time of its start, which tells its incarnations apart.
            parts: Shared parts of the request.
            trial_id: The trial as which it ran, if any.

        Returns:
            The parts that the crash puts in doubt; none if a trial explains it.
        """
        trial = self._trials.get(trial_id) if trial_id is not None else None
        if trial is None and self.explains(upstream, born_ms):
            return frozenset()
        if trial is not None:
            candidates = trial.parts
        else:
            candidates = frozenset(p for p in parts if not self._is_in_frequent_use(p))
        crash_id = _crash_id(upstream, born_ms)
        crash = _Crash(crash_id, trial is not None, self._clock())
        if self._merge_crash(crash, candidates):
            self._crash_news.add(crash.key)
            self.on_news()
        return frozenset(part for part in candidates if self._is_in_doubt(part))

    def _is_in_frequent_use(self, part: PromptPartId) -> bool:
        age_s = self._answered.age_s(part)
        return age_s is not None and age_s < RECENTLY_ANSWERED_S

    # -- merged state

    def _merge_crash(self, reported: _Crash, parts: Iterable[PromptPartId]) -> bool:
        """Merge a crash; return whether it brings parts that were not known."""
        if not reported.is_trial and (reported.id, True) in self._crashes:
            return False  # the trial explains it
        crash = self._crashes.get(reported.key, reported)
        crash.at = min(crash.at, reported.at)  # a late report makes a crash look newer
        unanswered = {part for part in parts if not self._is_answered(part, crash.at)}
        room = MAX_PARTS_PER_CRASH - len(crash.parts)
        new = sorted(unanswered - crash.parts)[:room]
        if not new:
            return False
        self._add_crash(crash, new)
        never_answered = (p for p in new if self._answered.age_s(p) is None)
        doubted = frozenset(never_answered)
        if doubted:
            self.on_doubt(doubted)
        self._wake()
        return True

    def _add_crash(self, crash: _Crash, parts: Iterable[PromptPartId]) -> None:
        explained = self._crashes.get((crash.id, False)) if crash.is_trial else None
        if explained is not None:
            self._remove_crash(explained)
        if crash.key not in self._crashes and len(self._crashes) >= MAX_CRASHES:
            self._remove_crash(next(iter(self._crashes.values())))
        self._crashes[crash.key] = crash
        for part in parts:
            crash.parts.add(part)
            self._by_part.setdefault(part, set()).add(crash.key)

    def _remove_crash(self, crash: _Crash) -> None:
        for part in list(crash.parts):
            self._remove_part(crash, part)
        self._crashes.pop(crash.key, None)

    def _remove_part(self, crash: _Crash, part: PromptPartId) -> None:
        crash.parts.discard(part)
        keys = self._by_part[part]
        keys.discard(crash.key)
        if not keys:
            del self._by_part[part]

    def _is_answered(self, part: PromptPartId, since: float) -> bool:
        age_s = self._answered.age_s(part)
        return age_s is not None and self._clock() - age_s >= since

    def _apply_answers(self, parts: Iterable[PromptPartId]) -> None:
        is_changed = False
        for part in parts:
            for key in list(self._by_part.get(part, ())):
                is_changed = True
                crash = self._crashes[key]
                self._remove_part(crash, part)
                if not crash.parts:
                    del self._crashes[key]
        self._answered.record(parts)
        if is_changed:
            self._wake()

    def _set_trial(self, trial_id: TrialId, parts: Parts, upstream: UpstreamId) -> None:
        expires_at = self._clock() + TRIAL_TIMEOUT_S
        self._trials[trial_id] = _RunningTrial(parts, upstream, expires_at)

    def _tell_trial(
        self, trial_id: TrialId, parts: Parts, upstream: UpstreamId
    ) -> None:
        self._trial_news[trial_id] = TrialReport(trial_id, sorted(parts), upstream)
        self.on_news()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # -- exchange with peers

    def apply_crashes(self, reports: Iterable[CrashReport]) -> list[CrashReport]:
        """Merge crashes that a peer knows of; return those that bring new parts."""
        now = self._clock()
        new = []
        for report in reports:
            at = now - report.age_ms / 1000
            crash = _Crash(CrashId(report.crash), report.is_trial, at)
            if self._merge_crash(crash, [PromptPartId(part) for part in report.parts]):
                new.append(report)
        return new

    def apply_trials(self, reports: Iterable[TrialReport]) -> None:
        """Merge the start or end of trials at a peer."""
        for report in reports:
            if report.upstream:
                parts = frozenset(PromptPartId(part) for part in report.parts)
                upstream = UpstreamId(report.upstream)
                self._set_trial(TrialId(report.trial), parts, upstream)
            elif self._trials.pop(TrialId(report.trial), None) is not None:
                self._wake()

    def apply_answered(self, answered: Iterable[bytes]) -> None:
        """Merge the parts that engines answer at a peer."""
        parts = [PromptPartId(part) for part in answered]
        self._answered_queue.difference_update(parts)
        self._answered_news.difference_update(parts)
        self._apply_answers(parts)

    def pop_news(self) -> tuple[list[CrashReport], list[TrialReport], list[bytes]]:
        """Return the crashes, trials and answered parts that peers must learn now."""
        known = (self._crashes.get(key) for key in sorted(self._crash_news))
        crashes = [self._report(crash) for crash in known if crash is not None]
        trials = list(self._trial_news.values())
        answered: list[bytes] = sorted(self._answered_news)
        self._crash_news.clear()
        self._trial_news.clear()
        self._answered_news.clear()
        return crashes, trials, answered

    def pop_answered(self) -> list[bytes]:
        """Return the parts that peers may not know to be answered."""
        answered: list[bytes] = sorted(self._answered_queue)
        self._answered_queue.clear()
        return answered

    def crash_reports(self) -> list[CrashReport]:
        """Return the newest crashes with parts that were not answered since."""
        self._expire()
        newest = list(reversed(self._crashes.values()))[:MAX_CRASHES_TOLD]
        return [self._report(crash) for crash in newest]

    def _report(self, crash: _Crash) -> CrashReport:
        age_ms = round(1000 * (self._clock() - crash.at))
        return CrashReport(crash.id, sorted(crash.parts), crash.is_trial, age_ms)


def _crash_id(upstream: UpstreamId, born_ms: int) -> CrashId:
    """Return an id that all routers give to the crash of one incarnation."""
    return CrashId(f"{upstream}@{born_ms}")
