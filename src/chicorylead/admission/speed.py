"""How fast the upstreams of a service work, learned from their answers."""

__all__ = ["ServiceSpeed"]

READ_TOKENS_PER_S = 50_000.0  # a large engine that also generates; until measured
ANSWER_S = 0.1  # a short call of a plain service; until measured
SMOOTHING = 0.05  # the last twenty answers count for two thirds
MIN_TOKENS = 3000.0  # below this the fixed part of the time to an event prevails
FIRST_EVENT_S = 0.06  # steps between the end of a prompt and its first event
MAX_RATIO = 4.0  # one sample moves the estimate by a fifth at most


class ServiceSpeed:
    """Smoothed speeds of the upstreams of one service.

    Attributes:
        read_tokens_per_s: Prompt tokens that one engine reads, tokens/s.
        answer_s: Time of one request at a plain upstream that is not crowded, seconds.
        first_event_s: Time to a first event beyond the reading of prompts, seconds.
    """

    def __init__(self) -> None:
        self.read_tokens_per_s = READ_TOKENS_PER_S
        self.answer_s = ANSWER_S
        self.first_event_s = FIRST_EVENT_S

    def note_first_event(self, unread_tokens: float, seconds: float) -> None:
        """Learn from a first event.

        Args:
            unread_tokens: Tokens that the engine had to read when the request was
                sent, its own prompt included.
            seconds: Time from the sending to the first event.
        """
        if unread_tokens < MIN_TOKENS:
            excess = seconds - unread_tokens / self.read_tokens_per_s
            sample = min(max(excess, 0.0), MAX_RATIO * self.first_event_s)
            self.first_event_s += SMOOTHING * (sample - self.first_event_s)
            return
        reading_s = max(seconds - self.first_event_s, seconds / MAX_RATIO)
        expected_s = unread_tokens / self.read_tokens_per_s
        ratio = min(max(reading_s / expected_s, 1 / MAX_RATIO), MAX_RATIO)
        self.read_tokens_per_s /= 1.0 + SMOOTHING * (ratio - 1.0)

    def note_answer(self, seconds: float) -> None:
        """Learn from a plain upstream's answer."""
        sample = min(seconds, MAX_RATIO * self.answer_s)
        self.answer_s += SMOOTHING * (sample - self.answer_s)
