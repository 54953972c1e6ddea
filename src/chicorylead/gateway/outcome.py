"""Outcomes of one attempt to send a request to an upstream."""

from dataclasses import dataclass

from chicorylead.upstream.connection import Failure

__all__ = ["Broken", "NotRun", "Rejected", "SendOutcome", "Served"]


@dataclass(frozen=True, slots=True)
class Served:
    """The caller has the upstream's complete answer."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream certainly did not run the request.

    Attributes:
        was_received: Whether the request reached the upstream.
        is_elsewhere: Whether another upstream is at the address of this one.
    """

    detail: str
    was_received: bool
    is_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream ran the request and failed; its answer is kept for the caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Broken:
    """There is no complete answer, and the request may have run."""

    failure: Failure


SendOutcome = Served | NotRun | Rejected | Broken
