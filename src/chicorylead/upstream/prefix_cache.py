"""Estimates which prompt parts an engine has in its prefix cache."""

from collections import OrderedDict
from collections.abc import Sequence

from chicorylead.ids import PromptPartId
from chicorylead.traffic.request import Prompt, PromptPart

__all__ = ["PrefixCacheEstimate"]

# Prompts of running requests are counted with the others; the rest of an engine's
# memory holds the tokens that it generates.
CACHE_FRACTION = 0.85


class PrefixCacheEstimate:
    """Prompt parts that were sent to one engine, least recently used first.

    The engine's answers don't state what it caches, and its cache events arrive late
    and with gaps; what was sent to it is known at once.

    Args:
        memory_tokens: Memory of the engine, tokens.
    """

    def __init__(self, memory_tokens: float) -> None:
        self._capacity = CACHE_FRACTION * memory_tokens
        self._parts: OrderedDict[PromptPartId, int] = OrderedDict()
        self._n_tokens = 0

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that the engine has to prefill."""
        cached = 0
        for part in prompt.parts:
            if part.id not in self._parts:
                break
            cached += part.n_tokens
        # The last token is always computed again, to generate the answer's first token.
        return max(1, prompt.n_tokens - cached)

    def record_parts(self, parts: Sequence[PromptPart]) -> None:
        """Record that the parts of a prompt were sent to the engine."""
        # The first parts are touched last, so that a prompt is evicted from its end.
        for part in reversed(parts):
            self._insert(part)
        while self._n_tokens > self._capacity and self._parts:
            _, n_tokens = self._parts.popitem(last=False)
            self._n_tokens -= n_tokens

    def _insert(self, part: PromptPart) -> None:
        known = self._parts.pop(part.id, None)
        if known is not None:
            self._n_tokens -= known
        self._parts[part.id] = part.n_tokens
        self._n_tokens += part.n_tokens
