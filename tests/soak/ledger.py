"""What callers and upstreams saw of each request, and the promises that must hold."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Kind", "Ledger", "MAX_RUNS", "expected_body", "expected_events"]

N_EVENTS = 8
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
MAX_RUNS = {"look": 2, "publish": 1, "revise": 2}
Kind = str


def expected_body(request: str) -> bytes:
    """Return the body that belongs to a request."""
    return f"answer to {request} ".encode() * 20


def expected_events(request: str, first: int) -> list[bytes]:
    """Return the events of a stream from one number on."""
    return [
        f"id: {n}\ndata: {request}/{n}\n\n".encode() for n in range(first, N_EVENTS + 1)
    ]


@dataclass
class Ledger:
    """Runs by request, and what is wrong.

    Attributes:
        runs: Runs that upstreams began, by request.
        statuses: Statuses that callers got; 0 for none.
        faults: Promises that were broken.
    """

    runs: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    _told_not_run: dict[str, int] = field(default_factory=dict)
    _kinds: dict[str, Kind] = field(default_factory=dict)

    def note_sent(self, request: str, kind: Kind) -> None:
        """Note that a caller sends a request."""
        self._kinds[request] = kind

    def note_run(self, request: str) -> None:
        """Note that an upstream begins to run a request."""
        self.runs[request] += 1
        kind = self._kinds.get(request)
        if kind is None:
            self.faults.append(f"{request}: runs and was never sent")
        elif self.runs[request] > MAX_RUNS[kind]:
            self.faults.append(f"{request}: {kind} runs {self.runs[request]} times")

    def note_answer(self, request: str, status: int, body: bytes, whole: bool) -> None:
        """Note what a caller got."""
        self.statuses[status] += 1
        if status in PROMISES_NOT_RUN:
            self._told_not_run[request] = status
        if status != 200:
            return
        if self._kinds[request] == "revise":
            self._check_stream(request, body, whole)
        elif whole and body != expected_body(request):
            self.faults.append(f"{request}: answer {body[:60]!r} is not its own")

    def _check_stream(self, request: str, body: bytes, whole: bool) -> None:
        wanted = b"".join(expected_events(request, 1))
        if whole and body != wanted:
            self.faults.append(f"{request}: whole stream {body[:200]!r} is not its own")
        elif not wanted.startswith(body):
            self.faults.append(f"{request}: cut stream {body[:200]!r} is not its own")

    def check_end(self) -> None:
        """Check what can be told only when nothing runs any more."""
        for request, status in self._told_not_run.items():
            if self.runs[request]:
                self.faults.append(f"{request}: told {status}, and ran")
