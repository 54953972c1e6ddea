"""Response times of the upstreams of a service, learned from their answers."""

__all__ = ["ResponseTimes"]

INITIAL_ANSWER_S = 0.1  # a short call of a plain service
INITIAL_FIRST_EVENT_S = 0.05  # engine steps from the end of prefill to the first event
SMOOTHING = 0.05  # the last twenty answers have two thirds of the weight
MAX_SAMPLE_RATIO = 4.0  # one sample changes an estimate by a fifth at most


class ResponseTimes:
    """Smoothed response times of the upstreams of one service.

    Attributes:
        answer_s: Time of one request at an uncontended plain upstream, seconds.
        first_event_s: Time to the first event after prefill, seconds.
        run_s: Time for which a stream uses a slot, seconds; None before the first one.
    """

    def __init__(self) -> None:
        self.answer_s = INITIAL_ANSWER_S
        self.first_event_s = INITIAL_FIRST_EVENT_S
        self.run_s: float | None = None
        self._n_runs = 0

    def record_first_event(self, beyond_prefill_s: float) -> None:
        """Learn from the time to a first event less the expected prefill, seconds."""
        sample = min(
            max(beyond_prefill_s, 0.0), MAX_SAMPLE_RATIO * INITIAL_FIRST_EVENT_S
        )
        self.first_event_s += SMOOTHING * (sample - self.first_event_s)

    def record_answer(self, seconds: float) -> None:
        """Learn from a plain upstream's answer."""
        sample = min(seconds, MAX_SAMPLE_RATIO * self.answer_s)
        self.answer_s += SMOOTHING * (sample - self.answer_s)

    def record_run(self, seconds: float) -> None:
        """Learn from the time from the sending to the end of a stream."""
        self._n_runs += 1
        mean_s = seconds if self.run_s is None else self.run_s
        weight = max(SMOOTHING, 1.0 / self._n_runs)
        self.run_s = mean_s + weight * (seconds - mean_s)
