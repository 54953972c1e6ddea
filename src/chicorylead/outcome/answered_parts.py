"""When each shared part of prompts was last in a prompt that an engine answered.

An engine that a prompt crashes does so as it begins the answer. A part of a prompt that
engines have answered is therefore an unlikely cause of a crash.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable

from chicorylead.ids import PromptPartId

__all__ = ["AnsweredParts"]

MAX_PARTS = 20_000  # a few megabytes; several shared parts for each organisation


class AnsweredParts:
    """Times at which shared parts were last answered, the oldest evicted first."""

    def __init__(self) -> None:
        self._clock = asyncio.get_running_loop().time
        self._answered_at: OrderedDict[PromptPartId, float] = OrderedDict()

    def record(self, parts: Iterable[PromptPartId]) -> None:
        """Record that a prompt with these parts is being answered."""
        now = self._clock()
        for part in parts:
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > MAX_PARTS:
            self._answered_at.popitem(last=False)

    def age_s(self, part: PromptPartId) -> float | None:
        """Return the time since a part was last answered, seconds; None if never."""
        answered_at = self._answered_at.get(part)
        return None if answered_at is None else self._clock() - answered_at
