"""What an upstream stand-in actually ran: the judge of tests and benches."""

import msgspec
from msgspec import Struct
from starlette.requests import Request
from starlette.responses import Response

__all__ = ["Run", "RunLog"]

BUCKET_S = 0.1


class Run(Struct):
    """One execution.

    Attributes:
        marker: Text by which the sender knows its request.
        exchange: Id that the router gave to the exchange.
        key: Idempotency key, if any.
        started: Event-loop time at the start, seconds.
        cost: Tokens, or slot-seconds, delivered so far.
        done: Whether it ended by itself.
        from_event: First event asked for; above 0 for a resumed stream.
    """

    marker: str
    exchange: str
    key: str
    started: float
    cost: float = 0.0
    done: bool = False
    from_event: int = 0


class RunLog:
    """Keep every execution, and the cost delivered in each bucket of time."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self._usage: dict[int, dict[str, float]] = {}

    def start(self, run: Run) -> Run:
        """Note the start of an execution."""
        self.runs.append(run)
        return run

    def charge(self, run: Run, cost: float, now: float) -> None:
        """Note cost that was delivered to the sender of a request."""
        run.cost += cost
        sender = run.marker.partition("/")[0]
        bucket = self._usage.setdefault(int(now / BUCKET_S), {})
        bucket[sender] = bucket.get(sender, 0.0) + cost

    async def handle(self, request: Request) -> Response:
        """Answer with all runs and usage, as JSON."""
        usage = {str(bucket): senders for bucket, senders in self._usage.items()}
        body = {"bucket_s": BUCKET_S, "runs": self.runs, "usage": usage}
        return Response(msgspec.json.encode(body))
