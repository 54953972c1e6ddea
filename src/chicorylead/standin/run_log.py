"""Log of what an upstream stand-in executed, for checks by tests and benches."""

import msgspec
from msgspec import Struct
from starlette.requests import Request
from starlette.responses import Response

__all__ = ["Run", "RunLog"]

BUCKET_S = 0.1


class Run(Struct):
    """One execution.

    Attributes:
        marker: Text that identifies the request, as `sender/number`.
        exchange: Exchange id assigned by the router.
        key: Idempotency key, if any.
        started: Event-loop time of the start, seconds.
        cost: Tokens, or slot-seconds, delivered so far.
        done: Whether it ran to completion.
        from_event: Index of the first event requested; above 0 for a resumed stream.
    """

    marker: str
    exchange: str
    key: str
    started: float
    cost: float = 0.0
    done: bool = False
    from_event: int = 0


class RunLog:
    """Records every execution and the cost delivered in each time bucket."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self._usage: dict[int, dict[str, float]] = {}

    def start(self, run: Run) -> Run:
        """Record the start of an execution."""
        self.runs.append(run)
        return run

    def add_cost(self, run: Run, cost: float, now: float) -> None:
        """Record cost that was delivered to the sender of a request."""
        run.cost += cost
        sender = run.marker.partition("/")[0]
        bucket = self._usage.setdefault(int(now / BUCKET_S), {})
        bucket[sender] = bucket.get(sender, 0.0) + cost

    async def handle(self, request: Request) -> Response:
        """Return all runs and usage as JSON."""
        usage = {str(bucket): senders for bucket, senders in self._usage.items()}
        body = {"bucket_s": BUCKET_S, "runs": self.runs, "usage": usage}
        return Response(msgspec.json.encode(body))
