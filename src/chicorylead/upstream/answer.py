"""The head of an upstream's answer, and the load that it states."""

from dataclasses import dataclass

from chicorylead.upstream.notice import Notice

__all__ = ["AnswerHead", "UpstreamLoad"]


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream reports with an answer.

    Attributes:
        n_running: Requests that it runs.
        n_waiting: Requests queued in it.
        n_slots: Largest number of requests that it runs at once.
        slowness: Current time that work takes, relative to the usual time.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    slowness: float


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an answer.

    Attributes:
        request_id: Id of the answered request; None if the answer does not state it.
        is_not_run: Whether the upstream states that it did not run the request.
        is_unproved_refusal: Whether the status promises that the request did not run,
            while the upstream does not state it.
        is_wrong_upstream: Whether another upstream has taken over the address.
        is_sealed: Whether the answer carries the upstream's seal.
        notice: What the upstream states about the work that it takes.
        keep_alive_s: Time for which an idle connection is kept open, seconds.
        closes: Whether the upstream closes the connection after the answer.
        headers: Header lines for the caller.
    """

    status: int
    request_id: str | None
    is_not_run: bool
    is_unproved_refusal: bool
    is_wrong_upstream: bool
    is_sealed: bool
    notice: Notice
    load: UpstreamLoad | None
    keep_alive_s: float | None
    closes: bool
    headers: tuple[tuple[bytes, bytes], ...]

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300
