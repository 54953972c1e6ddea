"""Which upstream gets a request.

Load pattern: prompts with shared parts at a load near capacity. A request goes
where its first event is expected soonest, counting what it makes others wait: an
engine that keeps the shared parts wins unless its backlog costs more than reading
them again elsewhere, so that a hot part spreads to a second engine by itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from chicorylead.admission.cost import expected_work
from chicorylead.admission.speed import ServiceSpeed
from chicorylead.traffic.request import Prompt
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.work import Work
from chicorylead.vm.rendezvous import hash64

__all__ = ["Placement", "place"]

# Reading delays every request behind it as well, so it weighs more than waiting.
READING_WEIGHT = 2.0
FAILURE_WEIGHT_S = 1.0  # what a failure costs a caller: about an objective
HOME_BIAS_S = 0.03  # less than reading a shared part of typical length again
FULL_WEIGHT_S = 5.0  # a full engine answers after requests that run for seconds
MEMORY_SHARE = 0.9  # beyond it engines preempt requests in the middle of a stream


@dataclass(frozen=True, slots=True)
class Placement:
    """An upstream for a request.

    Attributes:
        work: Work of the request there.
        unread_tokens: Tokens of its prompt that the upstream has to read.
        queue_s: Expected time until the upstream turns to the request, seconds.
        wait_s: Expected time to the first event, or to the answer, seconds.
        has_room: Whether it can start to run the request at once.
    """

    upstream: LiveUpstream
    work: Work
    unread_tokens: float
    queue_s: float
    wait_s: float
    has_room: bool


def place(
    candidates: Iterable[LiveUpstream],
    prompt: Prompt | None,
    speed: ServiceSpeed,
    now: float,
) -> Placement | None:
    """Return the best upstream for a request, or None if there is no candidate.

    Args:
        candidates: Upstreams that may get it.
        prompt: The prompt; None for a plain request.
        speed: Speeds of the service.
        now: Event-loop time, seconds.
    """
    best: Placement | None = None
    best_price = float("inf")
    home = _home_key(prompt)
    for upstream in candidates:
        placement = _at(upstream, prompt, speed, now)
        price = _price(placement, home, speed)
        if price < best_price:
            best, best_price = placement, price
    return best


def _at(
    upstream: LiveUpstream, prompt: Prompt | None, speed: ServiceSpeed, now: float
) -> Placement:
    work = expected_work(prompt, upstream.prefixes)
    there = upstream.work.total()
    n_slots = upstream.entry.n_slots
    if upstream.prefixes is None:
        one_s = speed.answer_s * upstream.slowness
        queue_s = one_s * max(0, there.n_requests + 1 - n_slots) / n_slots
        return Placement(upstream, work, 0.0, queue_s, queue_s + one_s, has_room=True)
    queue_s = upstream.backlog.wait_s(now)
    unread = float(upstream.prefixes.missing_tokens(prompt)) if prompt else 0.0
    reading_s = unread / upstream.backlog.tokens_per_s
    memory = MEMORY_SHARE * upstream.prefixes.memory_tokens
    has_room = (
        there.n_requests < n_slots and there.held_tokens + work.held_tokens <= memory
    )
    wait_s = queue_s + reading_s + speed.first_event_s
    return Placement(upstream, work, unread, queue_s, wait_s, has_room)


def _price(placement: Placement, home: str, speed: ServiceSpeed) -> float:
    upstream = placement.upstream
    price = placement.wait_s + FAILURE_WEIGHT_S * upstream.failure_rate
    if not placement.has_room:
        price += FULL_WEIGHT_S
    if upstream.prefixes is not None:
        reading_s = placement.unread_tokens / upstream.backlog.tokens_per_s
        price += (READING_WEIGHT - 1.0) * reading_s
        # All routers prefer the same engine for a part that none has sent yet.
        price += HOME_BIAS_S * _distance(home, upstream.id)
        price += upstream.work.total().n_requests * 1e-4
    else:
        price += speed.answer_s * upstream.work.total().n_requests * 1e-2
    return price


def _home_key(prompt: Prompt | None) -> str:
    """Return the longest part that requests share."""
    if prompt is None or len(prompt.parts) < 2:
        return ""
    return prompt.parts[-2].id


def _distance(key: str, upstream_id: str) -> float:
    """Return a fixed pseudo-random number below 1 for a part and an engine."""
    return hash64(key, upstream_id) / 2**64
