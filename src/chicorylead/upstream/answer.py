"""What an upstream says at the head of its answer."""

from dataclasses import dataclass

__all__ = ["AnswerHead", "UpstreamLoad"]


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream states with an answer.

    Attributes:
        n_running: Requests that it runs.
        n_waiting: Requests that wait in it.
        n_slots: Requests that it runs at once.
        slowness: Time that work takes now, relative to the usual.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    slowness: float


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an answer.

    Attributes:
        request_id: The request that it answers; None where it does not say.
        is_not_run: Whether the upstream states that it did not run the request.
        is_wrong_upstream: Whether another upstream has taken over the address.
        is_sealed: Whether the upstream vouches for the answer.
        keep_alive_s: Time for which the connection is kept, seconds.
        closes: Whether the upstream closes the connection after the answer.
        headers: Header lines for the caller.
    """

    status: int
    request_id: str | None
    is_not_run: bool
    is_wrong_upstream: bool
    is_sealed: bool
    load: UpstreamLoad | None
    keep_alive_s: float | None
    closes: bool
    headers: tuple[tuple[bytes, bytes], ...]

    @property
    def is_success(self) -> bool:
        """Tell whether the request was answered with success."""
        return 200 <= self.status < 300
