"""Keeps the reading of long prompts away from streams beside them.

Load pattern: long prompts among many short ones that generate for seconds. While an
engine reads a long prompt, each of its other streams waits several times longer for
its next event. Long prompts therefore prefer a part of the engines, as large as
their part of the work, and all others prefer the rest.
"""

from collections.abc import Iterable

from chicorylead.ids import UpstreamId
from chicorylead.traffic.request import Prompt
from chicorylead.vm.rendezvous import hash64

__all__ = ["Lanes"]

LONG_PROMPT_TOKENS = 4000  # an engine reads it over several of its steps
GENERATED_COST = 4.0  # time of a generated token, in tokens that are read
SMOOTHING = 0.01  # the last hundred requests count for two thirds


class Lanes:
    """Split the engines of one service between long prompts and others.

    Attributes:
        long_share: Part of the work that long prompts make, 0 to 1.
    """

    def __init__(self) -> None:
        self.long_share = 0.5

    def is_long(self, prompt: Prompt) -> bool:
        """Tell whether a prompt delays the streams beside it."""
        return prompt.n_tokens >= LONG_PROMPT_TOKENS

    def note(self, prompt: Prompt, unread_tokens: float, output_tokens: float) -> None:
        """Note a request that is sent."""
        cost = unread_tokens + GENERATED_COST * output_tokens
        sample = 1.0 if self.is_long(prompt) else 0.0
        # Weighted by cost against a typical request of a few thousand tokens.
        weight = min(1.0, SMOOTHING * cost / LONG_PROMPT_TOKENS)
        self.long_share += weight * (sample - self.long_share)

    def preferred(
        self, prompt: Prompt, upstreams: Iterable[UpstreamId]
    ) -> frozenset[UpstreamId]:
        """Return the engines that a prompt prefers, alike on every router."""
        ranked = sorted(upstreams, key=lambda name: hash64("lane", name))
        if len(ranked) < 2:
            return frozenset(ranked)
        n_long = round(self.long_share * len(ranked))
        n_long = min(max(n_long, 1), len(ranked) - 1)
        return frozenset(ranked[:n_long] if self.is_long(prompt) else ranked[n_long:])
