"""How one send of a request to an upstream ended."""

from dataclasses import dataclass

from chicorylead.upstream.connection import Failure

__all__ = ["Broken", "NotRun", "Rejected", "SendOutcome", "Served"]


@dataclass(frozen=True, slots=True)
class Served:
    """The caller has the upstream's whole answer."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream certainly did not run the request.

    Attributes:
        was_received: Whether the request reached an upstream at all.
    """

    detail: str
    was_received: bool


@dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream ran the request and failed; its answer is kept for the caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Broken:
    """There is no whole answer, and the request may have run."""

    failure: Failure


SendOutcome = Served | NotRun | Rejected | Broken
