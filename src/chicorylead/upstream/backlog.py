"""Estimates an engine's prefill backlog between its answers, in prompt tokens.

Load pattern: several routers fill the same engines at a load near capacity. A first
event shows that everything sent before it has been prefilled; until then the backlog
shrinks at the engine's prefill rate. Otherwise routers would regard an engine as busy
until the next answer or datagram, and leave it idle meanwhile. The backlog from peers
is bounded by the tokens that they report as pending: a router that sends nothing
itself measures no rate, and would regard an engine that its peers keep busy as full
forever. The rate depends on concurrent generation; it is measured from one first event
to the next while the engine has something to prefill.
"""

import math
from collections import OrderedDict
from typing import NamedTuple, NewType

__all__ = ["PendingId", "PrefillBacklog", "PrefillRate"]

PendingId = NewType("PendingId", int)  # a prompt of this router in a backlog

INITIAL_TOKENS_PER_S = 40_000.0  # a large engine that also generates
PRIOR_WEIGHT_S = 0.3  # weight of the initial rate, as observation time
DECAY_S = 2.0  # time constant; demand and neighbours change the rate within seconds
MIN_TOKENS_PER_S = 2_000.0  # limits the effect of a stalled engine on the estimate
MAX_TOKENS_PER_S = 1_000_000.0  # above that of any engine


class PrefillRate:
    """Prefill rate of one engine over the last seconds in which it was busy.

    Attributes:
        tokens_per_s: The rate, tokens/s.
    """

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS_PER_S * PRIOR_WEIGHT_S
        self._seconds = PRIOR_WEIGHT_S
        self.tokens_per_s = INITIAL_TOKENS_PER_S

    def record(self, tokens: float, seconds: float) -> None:
        """Record tokens that were prefilled within a time."""
        decay = math.exp(-seconds / DECAY_S)
        self._tokens = decay * self._tokens + tokens
        self._seconds = decay * self._seconds + seconds
        rate = self._tokens / self._seconds
        self.tokens_per_s = min(max(rate, MIN_TOKENS_PER_S), MAX_TOKENS_PER_S)


class _PendingPrompt(NamedTuple):
    """A prompt of this router without its first event.

    Attributes:
        tokens: Tokens that the engine has to prefill.
        total: Tokens sent to the engine so far, including this prompt.
        sent_at: Event-loop time at which it was sent, seconds.
    """

    tokens: float
    total: float
    sent_at: float


class PrefillBacklog:
    """Prefill backlog of one engine, from this router and its peers.

    Engines prefill in order of arrival.

    Args:
        rate: Prefill rate of the engine.

    Attributes:
        own_sent_tokens: Total of tokens that this router has sent to the engine.
    """

    def __init__(self, rate: PrefillRate | None = None) -> None:
        self.own_sent_tokens = 0.0
        self._total = 0.0
        self._backlog = 0.0
        self._drained_at = 0.0
        self._n_added = 0
        self._pending: OrderedDict[PendingId, _PendingPrompt] = OrderedDict()
        self._own_pending_tokens = 0.0
        self._peer_totals: dict[str, float] = {}
        self._peer_pending_tokens: dict[str, float] = {}
        self._peers_pending_tokens = 0.0
        self._rate = rate or PrefillRate()
        self._last_prefilled = 0.0
        self._last_prefilled_at = -math.inf

    @property
    def own_pending_tokens(self) -> float:
        """Return the tokens of this router's prompts without a first event."""
        return self._own_pending_tokens

    @property
    def tokens_per_s(self) -> float:
        """Return the prefill rate of the engine, tokens/s."""
        return self._rate.tokens_per_s

    def add(self, tokens: float, now: float) -> PendingId:
        """Add a prompt that this router sends; return an id of it."""
        self._drain(now)
        self.own_sent_tokens += tokens
        self._add(tokens)
        self._n_added += 1
        pending_id = PendingId(self._n_added)
        self._pending[pending_id] = _PendingPrompt(tokens, self._total, now)
        self._own_pending_tokens += tokens
        return pending_id

    def set_peer(
        self, peer: str, total: float, pending_tokens: float, now: float
    ) -> None:
        """Update what a peer has sent to the engine.

        Args:
            peer: Id of the peer.
            total: Total of tokens that the peer has sent.
            pending_tokens: Tokens of its prompts without a first event.
            now: Event-loop time, seconds.
        """
        self._drain(now)
        previous = self._peer_totals.get(peer)
        self._peer_totals[peer] = total
        self._peers_pending_tokens += pending_tokens - self._peer_pending_tokens.get(
            peer, 0.0
        )
        self._peer_pending_tokens[peer] = pending_tokens
        if previous is None:
            self._add(pending_tokens)
        elif total != previous:
            # A counter that decreased was restarted from 0.
            self._add(total - previous if total > previous else total)

    def remove_peer(self, peer: str) -> None:
        """Remove a peer's pending tokens; its requests end with its connections."""
        self._peers_pending_tokens -= self._peer_pending_tokens.pop(peer, 0.0)

    def record_first_event(self, pending_id: PendingId, now: float) -> None:
        """Record that a prompt and everything sent before it was prefilled."""
        found = self._take(pending_id)
        if found is None:
            return
        prefilled, sent_at = found.total, found.sent_at
        self._drain(now)
        self._backlog = min(self._backlog, self._total - prefilled)
        if sent_at <= self._last_prefilled_at and prefilled >= self._last_prefilled:
            # The prompt was already waiting when the previous one was prefilled.
            self._rate.record(
                prefilled - self._last_prefilled, now - self._last_prefilled_at
            )
        self._last_prefilled = prefilled
        self._last_prefilled_at = now

    def discard(self, pending_id: PendingId) -> None:
        """Remove a request that ended without a first event."""
        self._take(pending_id)

    def tokens(self, now: float) -> float:
        """Return the estimated backlog, tokens."""
        self._drain(now)
        return self._backlog

    def wait_s(self, now: float) -> float:
        """Return the time until the engine has prefilled its backlog, seconds."""
        return self.tokens(now) / self._rate.tokens_per_s

    def _take(self, pending_id: PendingId) -> _PendingPrompt | None:
        found = self._pending.pop(pending_id, None)
        if found is not None:
            self._own_pending_tokens = sum(
                prompt.tokens for prompt in self._pending.values()
            )
        return found

    def _add(self, tokens: float) -> None:
        self._total += tokens
        self._backlog += tokens

    def _drain(self, now: float) -> None:
        if now == self._drained_at:
            return
        backlog = self._backlog - (now - self._drained_at) * self._rate.tokens_per_s
        self._drained_at = now
        min_backlog = 0.0
        for prompt in self._pending.values():
            # Prompts sent after one without its first event are not prefilled yet.
            min_backlog = self._total - prompt.total
            break
        max_backlog = self._own_pending_tokens + self._peers_pending_tokens
        self._backlog = max(min(backlog, max_backlog), min_backlog, 0.0)
