"""Error kinds and the HTTP response to each.

An error response tells the caller whether its request ran, whether to retry it and
what to correct. `ERROR_RESPONSES` defines the first two for each kind; the detail of
a `Refusal` names what to correct.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = ["ERROR_RESPONSES", "ErrorKind", "ErrorResponse", "Refusal", "RunState"]


class RunState(Enum):
    """Whether an upstream executed a request, as far as is known."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Kinds of error that chicorylead reports; the list is closed."""

    BAD_REQUEST = "bad_request"
    UNAUTHORISED = "unauthorised"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    VERSION_CONFLICT = "version_conflict"
    SCHEMA_UNKNOWN = "schema_unknown"
    KEY_CONFLICT = "key_conflict"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    QUEUE_FULL = "queue_full"
    OVER_SHARE = "over_share"
    DEADLINE_IN_QUEUE = "deadline_in_queue"
    NO_UPSTREAM = "no_upstream"
    VERSION_GONE = "version_gone"
    STREAM_UNKNOWN = "stream_unknown"
    LOG_UNAVAILABLE = "log_unavailable"
    PUBLISH_UNKNOWN = "publish_unknown"
    NOT_READY = "not_ready"
    ROUTER_BUSY = "router_busy"
    POISON = "poison"
    CALLER_GONE = "caller_gone"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """HTTP response to one error kind.

    Attributes:
        status: HTTP status code.
        run_state: Run state that is reported to the caller.
        retry_after_s: Suggested delay before a retry, seconds; None if a retry would
            not help.
    """

    status: int
    run_state: RunState
    retry_after_s: int | None = None


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, _NOT_RUN),
    ErrorKind.UNAUTHORISED: ErrorResponse(401, _NOT_RUN),
    ErrorKind.FORBIDDEN: ErrorResponse(403, _NOT_RUN),
    ErrorKind.NOT_FOUND: ErrorResponse(404, _NOT_RUN),
    ErrorKind.TOO_LARGE: ErrorResponse(413, _NOT_RUN),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(409, _NOT_RUN),
    ErrorKind.SCHEMA_UNKNOWN: ErrorResponse(422, _NOT_RUN),
    ErrorKind.KEY_CONFLICT: ErrorResponse(409, _NOT_RUN),
    ErrorKind.IN_PROGRESS: ErrorResponse(409, _UNKNOWN, 2),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(409, _UNKNOWN),
    ErrorKind.ANSWER_NOT_KEPT: ErrorResponse(409, RunState.RAN),
    ErrorKind.QUEUE_FULL: ErrorResponse(429, _NOT_RUN, 2),
    ErrorKind.OVER_SHARE: ErrorResponse(429, _NOT_RUN, 2),
    ErrorKind.DEADLINE_IN_QUEUE: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, _NOT_RUN, 2),
    # A stream goes on only at the software version that began it.
    ErrorKind.VERSION_GONE: ErrorResponse(503, _NOT_RUN),
    ErrorKind.STREAM_UNKNOWN: ErrorResponse(503, _NOT_RUN),
    ErrorKind.LOG_UNAVAILABLE: ErrorResponse(503, _NOT_RUN, 5),
    ErrorKind.PUBLISH_UNKNOWN: ErrorResponse(503, _UNKNOWN, 5),
    ErrorKind.NOT_READY: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.ROUTER_BUSY: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.POISON: ErrorResponse(422, _NOT_RUN),
    ErrorKind.CALLER_GONE: ErrorResponse(499, _UNKNOWN),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(502, _UNKNOWN, 2),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorResponse(504, _UNKNOWN, 2),
    ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN),
}


class Refusal(Exception):
    """Ends a request or command with an error kind.

    Attributes:
        kind: Kind of error.
        detail: One sentence for the caller, naming the invalid value.
        retry_after_s: Delay before a retry that overrides the one in
            `ERROR_RESPONSES`, seconds.
    """

    def __init__(
        self, kind: ErrorKind, detail: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s

    @property
    def response(self) -> ErrorResponse:
        """Return the entry of `ERROR_RESPONSES` for this kind."""
        return ERROR_RESPONSES[self.kind]
