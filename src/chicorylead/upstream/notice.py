"""What an upstream states about the work that it takes."""

from dataclasses import dataclass

__all__ = ["NO_NOTICE", "Notice"]


@dataclass(frozen=True, slots=True)
class Notice:
    """Statements in the head of one answer.

    Attributes:
        limit_per_s: Requests a second that it takes from all routers together; None if
            it names no limit.
        has_limit_statement: Whether the answer tells if there is a limit. It does not
            if its limit cannot be read.
        is_leaving: Whether it will stop soon.
        pause_s: Time for which it wants no more requests from this router, seconds;
            0 if it names none.
    """

    limit_per_s: float | None = None
    has_limit_statement: bool = True
    is_leaving: bool = False
    pause_s: float = 0.0


# Of an answer that does not come from the upstream that was asked.
NO_NOTICE = Notice(has_limit_statement=False)
