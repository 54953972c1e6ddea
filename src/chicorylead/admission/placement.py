"""Chooses the upstream of a request.

Load pattern: prompts with shared parts at a load near capacity. A request gets
the upstream where its first event is expected soonest, including the delay that it
causes to others: an engine that caches the shared parts is chosen unless its backlog
costs more than another prefill elsewhere, so that parts in frequent use are cached by
a second engine as well.

Load pattern: hundreds of shared parts on dozens of engines with few places each. All
routers order the engines in the same way for a part, and prefer the first ones by as
much as reading the part once more costs. A part whose first engine is full is then read
on the second or third, where later requests find it, rather than on any of them. An
engine without a free slot costs the time until one is free: waiting for it is cheaper
than reading a long part elsewhere, and dearer than reading a short one.

Load pattern: many routers fill the memory of the same engines, and know what peers hold
there from reports that are some time old. Headroom is left for what they sent since.

Load pattern: the engine that affinity prefers does not admit a request, while others
could begin it in time. The cheapest of those within the limits of the gate gets it.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from chicorylead.admission.cost import expected_work
from chicorylead.admission.speed import ResponseTimes
from chicorylead.traffic.request import Prompt
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.work import Work
from chicorylead.vm.rendezvous import mix

__all__ = ["FULL", "Placement", "PoolLoad", "place", "place_within"]

# Prefill also delays every request behind it, so it weighs more than waiting.
PREFILL_WEIGHT = 3.0
# A limited engine has few requests behind, and takes as many of any length.
LIMITED_PREFILL_WEIGHT = 1.0
PERMIT_COST_S = 0.05
# Steps of an engine that is slowed down by its neighbours add up to pauses in its
# streams.
SLOWNESS_WEIGHT = 1.0
FAILURE_PENALTY_S = 1.0  # cost of a failure to a caller: about one objective
# Of the time that the shared parts take to prefill, for the last engine in their order.
AFFINITY_WEIGHT = 5.0
# Cost of an engine without memory, which first finishes requests that run for seconds,
# and of one without a slot while the time of runs is not known.
FULL_PENALTY_S = 5.0
MAX_MEMORY_FRACTION = 0.9  # above it engines preempt requests during a stream
# Age of the peers' reports, sent within milliseconds of a request, if some are lost.
REPORT_AGE_S = 0.1
RUNNING_PENALTY_S = 1e-4  # time that one more request adds to an engine step
# Running requests up to which more of them hardly slow an engine. Fuller ones count as
# full when organisations above their share are refused.
MAX_STREAMS = 24
RUNNING_PENALTY = 0.01  # of the answer time; breaks ties between plain upstreams


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """How busy the upstreams are that may get a request.

    Attributes:
        slots: Fraction of their slots in use.
        streams: The same, if no upstream counts for more than MAX_STREAMS slots.
        prefill: Fraction of them that have something to prefill; 0 for plain ones.
    """

    slots: float
    streams: float
    prefill: float


FULL = PoolLoad(1.0, 1.0, 1.0)


@dataclass(frozen=True, slots=True)
class Placement:
    """An upstream chosen for a request.

    Attributes:
        work: Work of the request at the upstream.
        prefill_tokens: Tokens of its prompt that the upstream has to prefill.
        queue_s: Expected time until the upstream starts the request, seconds.
        wait_s: Expected time to the first event, or to the answer, seconds.
        has_room: Whether the upstream has memory for the request.
        load: Load of all candidates; that of full ones where it is not known.
        read_again_s: Time to prefill what another candidate has cached, seconds.
    """

    upstream: LiveUpstream
    work: Work
    prefill_tokens: float
    queue_s: float
    wait_s: float
    has_room: bool
    load: PoolLoad = FULL
    read_again_s: float = 0.0


class Limits(Protocol):
    """What the gate allows a request; all times in seconds."""

    @property
    def queue_s(self) -> float:
        """Return the longest queue."""

    @property
    def elsewhere_s(self) -> float:
        """Return the longest time to read shared parts at an engine without them."""

    def max_running(self, n_slots: int) -> float:
        """Return the most requests that an upstream may run beside the request."""


class _Affinity:
    """The order of the engines for a prompt's shared parts.

    Args:
        prompt: The prompt; None for a plain request.
        n_engines: Number of candidates.
    """

    def __init__(self, prompt: Prompt | None, n_engines: int) -> None:
        self._n_engines = n_engines
        self._shared_tokens = 0
        self._key = 0
        if prompt is not None and len(prompt.parts) > 1:
            self._shared_tokens = prompt.n_tokens - prompt.parts[-1].n_tokens
            self._key = int.from_bytes(prompt.parts[-2].id, "big")

    def bias_tokens(self, upstream: LiveUpstream) -> float:
        """Return a part of the shared tokens that grows with the engine's position.

        The position is estimated from a fixed pseudo-random number. Its logarithm
        counts, so that the first engines differ from each other as much as from the
        many behind them.
        """
        if self._shared_tokens == 0:
            return 0.0
        number = mix(self._key, upstream.id_hash)
        position = number / 2**64 * self._n_engines
        scale = math.log1p(self._n_engines)
        return self._shared_tokens * math.log1p(position) / scale


def place(
    candidates: Sequence[LiveUpstream],
    prompt: Prompt | None,
    response_times: ResponseTimes,
    now: float,
) -> Placement | None:
    """Return the best upstream for a request, or None if there is no candidate.

    Args:
        candidates: Upstreams that may get the request.
        prompt: The prompt; None for a plain request.
        response_times: Response times of the service.
        now: Event-loop time, seconds.
    """
    work = expected_work(prompt)
    affinity = _Affinity(prompt, len(candidates))
    best: LiveUpstream | None = None
    best_cost = float("inf")
    n_running = n_slots = n_streams = n_useful = n_prefilling = 0
    least_uncached = math.inf
    for upstream in candidates:
        n_own_slots = upstream.entry.n_slots
        n_requests = upstream.work.n_requests
        n_busy = n_requests if n_requests < n_own_slots else n_own_slots
        n_slots += n_own_slots
        n_running += n_busy
        n_useful += n_own_slots if n_own_slots < MAX_STREAMS else MAX_STREAMS
        n_streams += n_busy if n_busy < MAX_STREAMS else MAX_STREAMS
        if upstream.prefixes is None:
            cost = _plain_cost_s(upstream, response_times)
        else:
            queue_s = upstream.backlog.wait_s(now)
            if queue_s > 0.0:
                n_prefilling += 1
            if n_requests >= n_own_slots:
                queue_s += _slot_wait_s(upstream, response_times)
            uncached = upstream.prefixes.uncached_tokens(prompt) if prompt else 0
            if uncached < least_uncached:
                least_uncached = uncached
            cost = _engine_cost_s(
                upstream, uncached, work, affinity, queue_s, response_times
            )
        if cost < best_cost:
            best, best_cost = upstream, cost
    if best is None:
        return None
    load = PoolLoad(
        n_running / n_slots, n_streams / n_useful, n_prefilling / len(candidates)
    )
    return _placement(best, prompt, work, response_times, now, load, least_uncached)


def place_within(
    candidates: Sequence[LiveUpstream],
    prompt: Prompt,
    response_times: ResponseTimes,
    now: float,
    limits: Limits,
    load: PoolLoad,
) -> Placement | None:
    """Return the cheapest engine within limits, or None if there is none.

    Args:
        candidates: Engines that may get the request.
        prompt: The prompt.
        response_times: Response times of the service.
        now: Event-loop time, seconds.
        limits: Limits of the queue and of the running requests.
        load: Load of all candidates.
    """
    work = expected_work(prompt)
    affinity = _Affinity(prompt, len(candidates))
    best: LiveUpstream | None = None
    best_cost = float("inf")
    n_own = prompt.parts[-1].n_tokens if prompt.parts else prompt.n_tokens
    for upstream in candidates:
        if upstream.work.n_requests > limits.max_running(upstream.entry.n_slots):
            continue
        queue_s = upstream.backlog.wait_s(now) + _slot_wait_s(upstream, response_times)
        if queue_s > limits.queue_s or not _has_room(upstream, work, response_times):
            continue
        uncached = upstream.prefixes.uncached_tokens(prompt)
        if uncached - n_own > limits.elsewhere_s * upstream.backlog.tokens_per_s:
            continue
        cost = _engine_cost_s(
            upstream, uncached, work, affinity, queue_s, response_times
        )
        if cost < best_cost:
            best, best_cost = upstream, cost
    if best is None:
        return None
    return _placement(best, prompt, work, response_times, now, load, n_own)


def _placement(
    upstream: LiveUpstream,
    prompt: Prompt | None,
    work: Work,
    response_times: ResponseTimes,
    now: float,
    load: PoolLoad,
    least_uncached: float,
) -> Placement:
    if upstream.prefixes is None:
        queue_s = _plain_queue_s(upstream, response_times)
        wait_s = queue_s + response_times.answer_s * upstream.slowness
        return Placement(upstream, work, 0.0, queue_s, wait_s, True, load)
    queue_s = upstream.backlog.wait_s(now) + _slot_wait_s(upstream, response_times)
    uncached = upstream.prefixes.uncached_tokens(prompt) if prompt else 0
    prefill_s = uncached / upstream.backlog.tokens_per_s
    wait_s = queue_s + prefill_s + response_times.first_event_s
    read_again_s = max(0.0, uncached - least_uncached) / upstream.backlog.tokens_per_s
    return Placement(
        upstream,
        work,
        float(uncached),
        queue_s,
        wait_s,
        _has_room(upstream, work, response_times),
        load,
        read_again_s,
    )


def _has_room(
    upstream: LiveUpstream, work: Work, response_times: ResponseTimes
) -> bool:
    """Return whether an engine has memory for a request.

    Peers replace what an engine holds for them once in the time of a run; what they
    sent since their last reports is estimated from that rate.
    """
    load = upstream.work
    memory = MAX_MEMORY_FRACTION * upstream.memory_tokens
    if 2.0 * load.held_tokens + work.held_tokens <= memory:
        return True  # peers sent at most as much again as they hold
    sent_since = 0.0
    if response_times.run_s is not None:
        peers_held = load.held_tokens - load.own.held_tokens
        n_turns = min(REPORT_AGE_S / max(response_times.run_s, REPORT_AGE_S), 1.0)
        sent_since = n_turns * peers_held
    return load.held_tokens + sent_since + work.held_tokens <= memory


def _slot_wait_s(upstream: LiveUpstream, response_times: ResponseTimes) -> float:
    """Return the time until an engine has a slot for one more request, seconds."""
    n_slots = upstream.entry.n_slots
    n_before = upstream.work.n_requests + 1 - n_slots
    if n_before <= 0:
        return 0.0
    if response_times.run_s is None:
        return FULL_PENALTY_S
    return n_before * response_times.run_s / n_slots


def _plain_queue_s(upstream: LiveUpstream, response_times: ResponseTimes) -> float:
    n_slots = upstream.entry.n_slots
    n_before = max(0, upstream.work.n_requests + 1 - n_slots)
    return response_times.answer_s * upstream.slowness * n_before / n_slots


def _plain_cost_s(upstream: LiveUpstream, response_times: ResponseTimes) -> float:
    slowdown = upstream.slowness + RUNNING_PENALTY * upstream.work.n_requests
    return (
        _plain_queue_s(upstream, response_times)
        + response_times.answer_s * slowdown
        + FAILURE_PENALTY_S * upstream.failure_rate
    )


def _engine_cost_s(
    upstream: LiveUpstream,
    uncached: int,
    work: Work,
    affinity: _Affinity,
    queue_s: float,
    response_times: ResponseTimes,
) -> float:
    backlog = upstream.backlog
    prefill_s = uncached / backlog.tokens_per_s
    is_limited = upstream.intake.limit is not None
    prefill_weight = LIMITED_PREFILL_WEIGHT if is_limited else PREFILL_WEIGHT
    cost = (
        queue_s
        + is_limited * PERMIT_COST_S
        + prefill_s * (prefill_weight + SLOWNESS_WEIGHT * (upstream.slowness - 1.0))
        # One failure should not move shared parts to another engine; a series should.
        + FAILURE_PENALTY_S * upstream.failure_rate**2
        + AFFINITY_WEIGHT * affinity.bias_tokens(upstream) / backlog.tokens_per_s
        + RUNNING_PENALTY_S * upstream.work.n_requests
    )
    return cost if _has_room(upstream, work, response_times) else cost + FULL_PENALTY_S
