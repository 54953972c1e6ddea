"""Simulates the admission decisions under a load pattern, in virtual time.

Engines read prompts one after the other at a fixed rate; reports between routers
arrive with a delay, as on the platform.
"""

import asyncio
import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from chicorylead.admission.cost import ENGINES
from chicorylead.admission.fair_share import FairShare, ShareKey, Usage
from chicorylead.admission.gate import Admit, Demand, decide
from chicorylead.admission.placement import Placement, place
from chicorylead.admission.speed import ResponseTimes
from chicorylead.ids import (
    OrganisationId,
    PromptPartId,
    ServiceName,
    SoftwareVersion,
    UpstreamId,
    ZoneName,
)
from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.report.shares import SecondUsage
from chicorylead.traffic.request import Prompt, PromptPart
from chicorylead.upstream.backlog import PrefillBacklog, PrefillRate
from chicorylead.upstream.intake import Intake
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.registered import ListedState, RegisteredUpstream
from chicorylead.upstream.send_counts import SendCounts
from chicorylead.upstream.work import Work

__all__ = ["Arrival", "LoadSimulation", "make_prompt", "make_upstream"]

READ_TOKENS_PER_S = 40_000.0
SHARE_WINDOW_S = 4.0


Decide = Callable[[Placement, Demand, Random], object]


@dataclass(frozen=True)
class Arrival:
    """A request of a load pattern."""

    at: float
    organisation: str
    prompt: Prompt
    objective_s: float = 0.4
    router: int | None = None  # a random one if None


@dataclass
class RequestCounts:
    """Requests of one organisation by outcome."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0


class _KnownRate(PrefillRate):
    """The true rate at which the simulated engines read."""

    def __init__(self) -> None:
        super().__init__()
        self.tokens_per_s = READ_TOKENS_PER_S

    def record(self, tokens: float, seconds: float) -> None:
        """Keep the rate, which is exact from the start."""


@dataclass
class _Router:
    upstreams: list[LiveUpstream]
    shares: FairShare
    response_times: ResponseTimes = field(default_factory=ResponseTimes)


def make_prompt(
    name: str, n_tokens: int, shared: str = "", n_shared: int = 0
) -> Prompt:
    """Return a prompt with a part of its own, after a shared one if it is named."""
    own = PromptPart(PromptPartId(name.encode()), n_tokens - n_shared)
    part = PromptPart(PromptPartId(shared.encode()), n_shared)
    parts = (part, own) if shared else (own,)
    return Prompt(n_tokens, 10, 10, parts)


def make_upstream(name: str, n_slots: int = 64) -> LiveUpstream:
    """Return a live engine."""
    entry = RegisteredUpstream(
        UpstreamId(name),
        ServiceName("engines"),
        "127.0.0.1",
        1,
        ZoneName("a"),
        SoftwareVersion("v1"),
        n_slots,
        ListedState.READY,
        born_ms=1,
        sequence=1,
    )
    clock = asyncio.get_running_loop().time
    return LiveUpstream(entry, Intake(SendCounts(), clock), 500_000.0, decode_answer)


class LoadSimulation:
    """Routers that place the arrivals of a load pattern on engines.

    Args:
        n_routers: Number of routers; arrivals reach them at random.
        n_engines: Number of engines.
        work_delay_s: Time until peers know of a send, seconds.
        admission: The admission decision.
        n_slots: Requests that an engine runs at once.
        run_s: Time that a request runs after its first event, seconds.
        usage_delay_s: Time until peers know of usage, seconds.
        rates_known: Whether routers know from the start how fast engines read.

    Attributes:
        counts: Requests by organisation.
        read_tokens: Prompt tokens that engines have read.
        read_again_tokens: Of these, shared ones that some engine had read before.
    """

    def __init__(
        self,
        n_routers: int = 4,
        n_engines: int = 4,
        work_delay_s: float = 0.004,
        admission: Decide = decide,
        n_slots: int = 64,
        run_s: float = 0.0,
        usage_delay_s: float = 0.1,
        rates_known: bool = False,
    ) -> None:
        self._rng = Random(7)
        self._decide = admission
        self._work_delay_s = work_delay_s
        self._run_s = run_s
        self._usage_delay_s = usage_delay_s
        self._usage_report_pending = [False] * n_routers
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0
        self._free_at = [0.0] * n_engines
        self.counts: dict[str, RequestCounts] = {}
        self.seconds: dict[int, dict[str, SecondUsage]] = defaultdict(
            lambda: defaultdict(SecondUsage)
        )
        self.read_tokens = 0.0
        self.read_again_tokens = 0.0
        self._read_parts: set[PromptPartId] = set()
        self._routers = [
            _Router(
                [make_upstream(f"u{i}", n_slots) for i in range(n_engines)],
                FairShare(SHARE_WINDOW_S, lambda: self.now),
            )
            for _ in range(n_routers)
        ]
        if rates_known:
            for router in self._routers:
                for engine in router.upstreams:
                    engine.backlog = PrefillBacklog(_KnownRate())

    def run_arrivals(self, arrivals: Iterator[Arrival]) -> dict[str, RequestCounts]:
        """Run all arrivals and return the counts by organisation."""
        for arrival in arrivals:
            self._advance(arrival.at)
            self._handle_arrival(arrival)
        self._advance(float("inf"))
        return self.counts

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (when, self._n_events, action))

    def _advance(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end if end < float("inf") else self.now

    def _handle_arrival(self, arrival: Arrival) -> None:
        counts = self.counts.setdefault(arrival.organisation, RequestCounts())
        counts.asked += 1
        number = self._rng.randrange(len(self._routers))
        if arrival.router is not None:
            number = arrival.router
        second = self.seconds[int(self.now)][arrival.organisation]
        second.asked += arrival.prompt.n_tokens
        router = self._routers[number]
        key = ShareKey(ENGINES, OrganisationId(arrival.organisation))
        tokens = float(arrival.prompt.n_tokens)
        placement = place(
            router.upstreams, arrival.prompt, router.response_times, self.now
        )
        demand = Demand(
            shortest_objective_s=arrival.objective_s,
            share_ratio=router.shares.fleet_usage(key).share_ratio,
        )
        match self._decide(placement, demand, self._rng):
            case Admit():
                router.shares.record(key, asked=tokens, admitted=tokens)
                self._send(number, placement, arrival, counts)
            case _:
                router.shares.record(key, asked=tokens, admitted=0.0)
                counts.refused += 1
                second.refused += 1
        if not self._usage_report_pending[number]:
            self._usage_report_pending[number] = True
            self._schedule(
                self.now + self._usage_delay_s, lambda: self._report_usage(number)
            )

    def _send(
        self, number: int, placement: Placement, arrival: Arrival, counts: RequestCounts
    ) -> None:
        chosen = placement.upstream
        index = int(chosen.id[1:])
        pending_id = chosen.backlog.add(placement.prefill_tokens, self.now)
        chosen.work.own = chosen.work.own + Work(0.0, 1)
        chosen.prefixes.record_parts(arrival.prompt.parts)
        self._count_read(arrival.prompt, placement.prefill_tokens)
        reading_s = placement.prefill_tokens / READ_TOKENS_PER_S
        done_at = max(self._free_at[index], self.now) + reading_s
        self._free_at[index] = done_at
        self._report_work(number, index, arrival.prompt)

        def end_request() -> None:
            chosen.work.own = chosen.work.own - Work(0.0, 1)
            self._report_work(number, index, None)

        def handle_first_event() -> None:
            second = self.seconds[int(self.now)][arrival.organisation]
            second.got += arrival.prompt.n_tokens
            chosen.backlog.record_first_event(pending_id, self.now)
            self._schedule(self.now + self._run_s, end_request)
            if self.now - arrival.at <= arrival.objective_s:
                counts.in_time += 1
            else:
                counts.late += 1

        self._schedule(done_at, handle_first_event)

    def _count_read(self, prompt: Prompt, tokens: float) -> None:
        """Count prefilled tokens, and shared ones that some engine had read before."""
        self.read_tokens += tokens
        *shared, own = prompt.parts
        if not shared:
            return
        if shared[-1].id in self._read_parts:
            self.read_again_tokens += max(0.0, tokens - own.n_tokens)
        self._read_parts.add(shared[-1].id)

    def _report_work(self, sender: int, index: int, prompt: Prompt | None) -> None:
        """Report the work at an engine, and a prompt sent to it, to the peers."""
        own = self._routers[sender].upstreams[index]
        work, sent = own.work.own, own.backlog.own_sent_tokens
        unread = own.backlog.own_pending_tokens

        def deliver() -> None:
            for number, router in enumerate(self._routers):
                if number != sender:
                    engine = router.upstreams[index]
                    engine.work.set_peer(f"r{sender}", work)
                    engine.backlog.set_peer(f"r{sender}", sent, unread, self.now)
                    if prompt is not None:
                        engine.prefixes.record_parts(prompt.parts)

        self._schedule(self.now + self._work_delay_s, deliver)

    def _report_usage(self, sender: int) -> None:
        self._usage_report_pending[sender] = False
        usage = {
            key: Usage(used.asked, used.admitted)
            for key, used in self._routers[sender].shares.own().items()
        }
        for number, router in enumerate(self._routers):
            if number != sender:
                router.shares.set_peer(f"r{sender}", 1, usage)
