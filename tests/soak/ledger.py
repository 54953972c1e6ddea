"""Record of what callers and upstreams saw of each request, with its checks."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = [
    "MAX_RUNS",
    "N_EVENTS",
    "RELEASE_VERSION",
    "VERSIONS",
    "Kind",
    "Ledger",
    "expected_body",
    "expected_events",
]

N_EVENTS = 8
VERSIONS = ("v1", "v2")  # of the upstreams' software
RELEASE_VERSION = "v3"  # appears as a router is lost
MIN_TAKEN_UP = 12  # fewer tell nothing about a share
# Of a part of prompts that crashes upstreams: crashes from which it must be known, and
# the requests with it that may reach upstreams later.
N_CRASHES_TO_KNOW = 5
MAX_DEADLY_AFTER = 3
# Of what upstreams state, in seconds: the time from which a limit holds, its window,
# the time within which requests to a leaving upstream end, and that in which one to a
# pausing one may be on its way.
STABLE_S = 3.0
WINDOW_S = 4.0
DRAIN_S = 2.0
PAUSE_LAG_S = 0.5
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAX_RUNS = {"look": 2, "publish": 1, "revise": 2}
Kind = str


def expected_body(request: str) -> bytes:
    """Return the body of the answer to a request."""
    return f"answer to {request} ".encode() * 20


def expected_events(request: str, first: int, version: str) -> list[bytes]:
    """Return the events of a stream from the event `first` on.

    Args:
        request: Id of the caller's attempt that brought the first event.
        first: Number of the first event.
        version: Software version of the upstream that writes them.
    """
    return [
        f"id: {n}\ndata: {version} {request}/{n}\n\n".encode()
        for n in range(first, N_EVENTS + 1)
    ]


@dataclass
class Ledger:
    """Records runs and answers of all requests, and violations of the guarantees.

    Attributes:
        clock: Returns the time, seconds.
        runs: Number of runs that upstreams started, by request.
        statuses: Number of answers by status; status 0 means no answer.
        n_streams: Number of whole streams that callers received.
        n_taken_up: Number of these that had broken off and were taken up.
        violations: Descriptions of violated guarantees.
        deadly_at: Times at which a request that crashes upstreams reached one.
        crashed_at: Times of these crashes.
        arrivals: Times at which requests reached each upstream, with their ids.
        noticed_at: Time at which each upstream first stated what it takes.
        disturbed: Upstreams whose path was disturbed.
    """

    clock: Callable[[], float] = lambda: 0.0
    runs: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    n_streams: int = 0
    n_taken_up: int = 0
    violations: list[str] = field(default_factory=list)
    deadly_at: list[float] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)
    arrivals: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    noticed_at: dict[str, float] = field(default_factory=dict)
    disturbed: set[str] = field(default_factory=set)
    _cold: list[tuple[str, float, float]] = field(default_factory=list)
    _sent_at: dict[str, float] = field(default_factory=dict)
    _sent_to: dict[str, tuple[str, int]] = field(default_factory=dict)
    _reported_not_run: dict[str, int] = field(default_factory=dict)
    _kinds: dict[str, Kind] = field(default_factory=dict)

    def record_sent(self, request: str, kind: Kind) -> None:
        """Record that a caller sends a request."""
        self._sent_at[request] = self.clock()
        self._kinds[request] = kind

    def record_router(self, request: str, address: tuple[str, int]) -> None:
        """Record the router that a request is sent to."""
        self._sent_to[request] = address

    def record_arrival(self, upstream: str, request: str) -> None:
        """Record that a request reaches an upstream."""
        now = self.clock()
        self.arrivals.setdefault(upstream, []).append((now, request))

    def record_notice(self, upstream: str) -> None:
        """Record that an upstream states in an answer what it takes."""
        now = self.clock()
        self.noticed_at.setdefault(upstream, now)

    def record_cold(self, upstream: str, start: float, end: float) -> None:
        """Record that an upstream is cold from one time to another."""
        self._cold.append((upstream, start, end))

    def record_run(self, request: str) -> None:
        """Record that an upstream starts to run a request, and check the limit."""
        self.runs[request] += 1
        kind = self._kinds.get(request)
        if kind is None:
            self.violations.append(f"{request}: ran but was never sent")
        elif self.runs[request] > MAX_RUNS[kind]:
            self.violations.append(f"{request}: {kind} ran {self.runs[request]} times")

    def record_answer(
        self,
        request: str,
        status: int,
        body: bytes,
        whole: bool,
        resumes: str | None = None,
    ) -> None:
        """Record and check what a caller received.

        Args:
            request: Id of the request.
            status: HTTP status; 0 for no answer.
            body: What was received of the body, with what came before of a stream that
                was taken up.
            whole: Whether the body is complete.
            resumes: Id of the attempt whose stream was taken up, if any.
        """
        self.statuses[status] += 1
        if status in NOT_RUN_STATUSES:
            self._reported_not_run[request] = status
        if status != 200:
            return
        if self._kinds[request] == "revise":
            self._check_stream(resumes or request, body, whole)
            self.n_taken_up += whole and resumes is not None
        elif whole and body != expected_body(request):
            self.violations.append(f"{request}: unexpected body {body[:60]!r}")

    def _check_stream(self, request: str, body: bytes, whole: bool) -> None:
        all_versions = (*VERSIONS, RELEASE_VERSION)
        versions = [v for v in all_versions if b"data: %s " % v.encode() in body]
        if len(versions) > 1:
            self.violations.append(f"{request}: stream of versions {versions}")
            return
        version = versions[0] if versions else VERSIONS[0]
        expected = b"".join(expected_events(request, 1, version))
        self.n_streams += whole and body == expected
        if whole and body != expected:
            self.violations.append(
                f"{request}: unexpected complete stream {body[:200]!r}"
            )
        elif not expected.startswith(body):
            self.violations.append(
                f"{request}: unexpected partial stream {body[:200]!r}"
            )

    def check_taken_up(
        self, n_gone_on: int, n_taken_up: int, n_begun: int, n_new: int
    ) -> None:
        """Check that streams go on at least half as often as new ones begin.

        Args:
            n_gone_on: Streams that went on.
            n_taken_up: Streams that callers took up.
            n_begun: New streams that began meanwhile at the same router.
            n_new: Requests for new streams.
        """
        if n_taken_up < MIN_TAKEN_UP:
            return
        if n_gone_on / n_taken_up < n_begun / n_new / 2:
            self.violations.append(
                f"{n_gone_on} of {n_taken_up} streams went on at another router, and "
                f"{n_begun} of {n_new} new ones began"
            )

    def check_limit(self, upstream: str, per_s: float) -> None:
        """Check that no window has too many requests for a limit that is named."""
        since = self.noticed_at[upstream] + STABLE_S
        times = [at for at, _ in self.arrivals.get(upstream, [])]
        ends = [at for at in times if at >= since]
        most = max((sum(e - WINDOW_S < t <= e for t in times) for e in ends), default=0)
        if most > 1.5 * per_s * WINDOW_S + 5:
            self.violations.append(
                f"{upstream}: {most} requests in {WINDOW_S} s at {per_s} requests/s"
            )

    def check_cold(self, per_s: float) -> None:
        """Check that no upstream got too many requests in a second while cold."""
        for upstream, start, end in self._cold:
            if upstream in self.disturbed:
                continue
            times = [t for t, _ in self.arrivals.get(upstream, []) if start <= t < end]
            most = max((sum(e - 1.0 < t <= e for t in times) for e in times), default=0)
            if most > 1.5 * per_s + 5:
                self.violations.append(f"{upstream}: {most} requests in 1 s while cold")

    def check_leaving(self, upstream: str) -> None:
        """Check that nothing that was sent later reaches an upstream that leaves."""
        until = self.noticed_at[upstream] + DRAIN_S
        late = [
            r for _, r in self.arrivals.get(upstream, []) if self._sent_at[r] > until
        ]
        if late:
            self.violations.append(
                f"{upstream}: {late[0]} reached it as it was leaving"
            )

    def check_removed(
        self, upstream: str, removed_at: float, router: tuple[str, int]
    ) -> None:
        """Check that a router sends nothing to an upstream that was removed."""
        late = [
            (at - removed_at, request)
            for at, request in self.arrivals.get(upstream, [])
            if at > removed_at + DRAIN_S and self._sent_to.get(request) == router
        ]
        if late:
            self.violations.append(
                f"{upstream}: {late[0][1]} reached it {late[0][0]:.2f} s after its "
                "removal"
            )

    def check_evacuated(self, upstream: str, since: float, until: float) -> None:
        """Check that nothing reaches an upstream of an evacuated zone."""
        late = [
            (at - since, request)
            for at, request in self.arrivals.get(upstream, [])
            if since < at < until
        ]
        if late:
            self.violations.append(
                f"{upstream}: {late[0][1]} reached its evacuated zone {late[0][0]:.2f} "
                "s after the target"
            )

    def has_arrivals(self, upstream: str, since: float) -> bool:
        """Return whether a request has reached an upstream after a time."""
        return any(at > since for at, _ in self.arrivals.get(upstream, []))

    def check_pause(self, upstream: str, pause_s: float, n_routers: int) -> None:
        """Check that few requests reach an upstream in the pause that it asked for.

        Each router is turned away once; its pause begins with the last of these.
        """
        start = self.noticed_at[upstream] + PAUSE_LAG_S
        end = self.noticed_at[upstream] + pause_s
        n_arrivals = sum(start < at < end for at, _ in self.arrivals.get(upstream, []))
        if n_arrivals > 2 * n_routers:
            self.violations.append(f"{upstream}: {n_arrivals} requests in its pause")

    def check_deadly(self, since: float) -> None:
        """Check that few requests that crash upstreams reach any once they are known.

        Args:
            since: Time from which all routers run and reach each other.
        """
        if len(self.crashed_at) < N_CRASHES_TO_KNOW:
            return
        start = max(since, sorted(self.crashed_at)[N_CRASHES_TO_KNOW - 1])
        n_after = sum(at > start for at in self.deadly_at)
        if n_after > MAX_DEADLY_AFTER:
            self.violations.append(
                f"{n_after} requests with a part that crashes upstreams reached them "
                f"after {len(self.crashed_at)} crashes"
            )

    def check_end(self) -> None:
        """Check that no request ran that was reported as not run.

        Valid only when no request runs any more.
        """
        for request, status in self._reported_not_run.items():
            if self.runs[request]:
                self.violations.append(f"{request}: answered with {status}, but ran")
