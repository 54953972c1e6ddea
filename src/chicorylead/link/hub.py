"""Links to the parent and the children in the reporting tree.

One task per peer sends reports at a period that keeps within the byte budget, and one
task receives all messages. A peer that stays silent is dialled again on a new socket
and then declared gone.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import pynng

from chicorylead.ids import Incarnation, Offset, RouterId
from chicorylead.link.budget import ByteBudget
from chicorylead.link.direct_sender import DirectSender, dial
from chicorylead.link.message import (
    BadMessage,
    Codec,
    Envelope,
    FleetPoolReport,
    FleetReport,
    Notice,
    Payload,
    Probe,
    RecordsAnswer,
    RecordsQuery,
    RouterNotice,
    SubtreePoolReport,
    SubtreeReport,
)
from chicorylead.link.replay import ReplayGuard
from chicorylead.link.tree import parent_of
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.settings import LinkSettings
from chicorylead.vm.view import FleetView, Member, MemberNotice, MemberState

__all__ = ["LinkHub", "ReportSource"]

URGENT_GAP_S = 0.05
URGENT_CREDIT_PER_PERIOD = 0.25
MAX_URGENT_CREDIT = 3.0
NOTICE_REPEATS = 3
MAX_NOTICES = 24
NOTICE_MEMORY_S = 10.0
CHILD_TIMEOUT_S = 6.0


class ReportSource(Protocol):
    """Builds and applies the sections of reports about pools.

    Attributes:
        round_trip_s: Time that a report takes to the root and back, seconds.
    """

    round_trip_s: float

    def build_subtree_report(self) -> dict[str, SubtreePoolReport]:
        """Return the sections of a report to the parent, by service."""

    def build_fleet_report(self, child: RouterId) -> dict[str, FleetPoolReport]:
        """Return the sections of a report to a child, by service."""

    def apply_subtree_report(
        self, child: RouterId, incarnation: Incarnation, subtree_report: SubtreeReport
    ) -> None:
        """Apply a report of a child."""

    def apply_fleet_report(self, fleet_report: FleetReport) -> None:
        """Apply a report of the parent."""

    def run_root_round(self) -> None:
        """Act as the root: compute and apply the totals of the fleet."""

    def remove_child(self, child: RouterId) -> None:
        """Remove the reports of a child."""

    def demand_changed(self) -> bool:
        """Return whether demand changed enough to report before the period ends."""


@dataclass(eq=False, slots=True)
class _Peer:
    """State of the link to one peer.

    Attributes:
        urgent: Set when a report should be sent before the period ends, and for a
            child when its report is to be answered.
        notices: Notices to send, with the number of reports still to repeat them in.
        last_heard_at: Event-loop time of the last message from the peer, seconds.
        acked_sequence: Last sequence number that was acknowledged: to a parent by
            this router, or to this router by a child.
        confirmed_at: Event-loop time when a child last acknowledged a message on the
            current socket, seconds.
        period_s: Report period of a parent, seconds.
        urgent_credit: Early reports to a parent that may still be sent.
    """

    id: RouterId
    address: str
    is_parent: bool
    urgent: asyncio.Event = field(default_factory=asyncio.Event)
    notices: deque[tuple[Notice, int]] = field(default_factory=deque)
    last_heard_at: float = 0.0
    acked_sequence: int = 0
    confirmed_at: float = 0.0
    period_s: float = 0.0
    urgent_credit: float = MAX_URGENT_CREDIT
    task: asyncio.Task[None] | None = None


class LinkHub:
    """All links of one router.

    Args:
        cfg: Settings of links.
        source: Source and receiver of the sections of reports.
        log: Log for events.
        metrics: Metrics for counters.
        rng: Random generator for choices and jitter.

    Attributes:
        budget: Bytes of control traffic, and the report period.
        address: Address on which this router receives messages.
        on_notice: Called with each notice that is not about a router.
        on_records: Called with configuration that another router sent.
        on_config_ahead: Called when a peer reports a higher configuration offset.
        answer_records: Returns the answer to a query; None ignores queries.
        needs_records: Tells whether to query the senders of probes for configuration.
        config_offset: Returns the configuration offset of this router.
    """

    def __init__(
        self,
        cfg: LinkSettings,
        source: ReportSource,
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._cfg = cfg
        self._source = source
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._codec = Codec(cfg.key)
        self._clock = asyncio.get_running_loop().time
        self._peers: dict[RouterId, _Peer] = {}
        self._sequence = 0
        self._replay_guard = ReplayGuard()
        self._recent_notices: deque[tuple[float, Notice]] = deque(maxlen=200)
        self._tasks: list[asyncio.Task[None]] = []
        self._listener: pynng.Pull0 | None = None
        self._view: FleetView | None = None
        self._direct_sender: DirectSender | None = None
        self._root: tuple[RouterId, Incarnation, int] | None = None
        self.budget = ByteBudget(cfg.budget_bytes_per_s, cfg.min_period_s)
        self.address = ""
        self.on_notice: Callable[[Notice], None] = lambda notice: None
        self.on_records: Callable[[RecordsAnswer], None] = lambda answer: None
        self.on_config_ahead: Callable[[RouterId, Offset], None] = lambda r, o: None
        self.answer_records: Callable[[Offset], RecordsAnswer] | None = None
        self.needs_records: Callable[[], bool] = lambda: False
        self.config_offset: Callable[[], Offset] = lambda: Offset(0)

    # -- life cycle

    def listen(self) -> str:
        """Open the listening socket and return its address."""
        self._listener = pynng.Pull0(recv_max_size=4_000_000)
        listener = self._listener.listen(f"tcp://{self._cfg.host}:{self._cfg.port}")
        self.address = str(listener.local_address)
        return self.address

    def start(self, view: FleetView) -> None:
        """Start to send and receive messages."""
        self._view = view
        self._direct_sender = DirectSender(view, self.address, self._send, self._rng)
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._maintain_links()),
            asyncio.create_task(self._direct_sender.probe_lost()),
        ]

    async def stop(self) -> None:
        """Close all links."""
        tasks = [*self._tasks, *(p.task for p in self._peers.values() if p.task)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._direct_sender is not None:
            await self._direct_sender.stop()
        if self._listener is not None:
            self._listener.close()

    # -- notices

    def broadcast(self, notice: Notice, received_from: RouterId | None = None) -> None:
        """Send a notice on every link except the one on which it was received."""
        self._recent_notices.append((self._clock(), notice))
        for peer in self._peers.values():
            if peer.id != received_from:
                peer.notices.append((notice, NOTICE_REPEATS))
                peer.urgent.set()

    def broadcast_member(self, notice: MemberNotice) -> None:
        """Log the new state of a router and send it on every link."""
        self._metrics.count("view.changes")
        self._log.info(
            "member_state",
            router=notice.router,
            state=notice.state.name.lower(),
            incarnation=notice.incarnation,
            version=notice.version,
        )
        self.broadcast(RouterNotice(notice))

    def query_records(self, after: Offset) -> bool:
        """Ask one present router for configuration above an offset."""
        return self._direct_sender is not None and self._direct_sender.query_records(
            after
        )

    def report_soon(self) -> None:
        """Send a report to the parent early if demand changed and credit is left."""
        if not self._source.demand_changed():
            return
        parent = self._parent()
        if parent is not None and parent.urgent_credit >= 1.0:
            parent.urgent_credit -= 1.0
            parent.urgent.set()

    # -- the tree

    @property
    def period_s(self) -> float:
        """Return the period of reports on each link, seconds."""
        return self.budget.period_s(len(self._peers))

    @property
    def root(self) -> RouterId | None:
        """Return the root of the tree, as last reported."""
        return self._root[0] if self._root else None

    def _parent(self) -> _Peer | None:
        return next((p for p in self._peers.values() if p.is_parent), None)

    async def _maintain_links(self) -> None:
        """Periodically match links to the view; act as root if there is no parent."""
        while True:
            self._update_links()
            if self._parent() is None:
                self._root = (self._own.id, self._own.incarnation, 0)
                self._source.run_root_round()
            await asyncio.sleep(max(0.1, self.period_s / 2))

    @property
    def _own(self) -> Member:
        assert self._view is not None
        return self._view.own

    def _update_links(self) -> None:
        assert self._view is not None
        present = {(m.id, m.zone) for m in self._view.present()}
        present.add((self._own.id, self._own.zone))
        parent = parent_of(self._own.id, self._own.zone, present, self._cfg.fan_out)
        cutoff = self._clock() - CHILD_TIMEOUT_S
        for peer in list(self._peers.values()):
            stale_child = not peer.is_parent and peer.last_heard_at < cutoff
            if stale_child or (peer.is_parent and peer.id != parent):
                self._close_link(peer)
        if parent is not None and parent not in self._peers:
            member = self._view.member(parent)
            assert member is not None
            self._open_link(parent, member.link, is_parent=True)
        elif parent is not None:
            self._peers[parent].is_parent = True

    def _open_link(self, router: RouterId, address: str, is_parent: bool) -> _Peer:
        now = self._clock()
        peer = _Peer(router, address, is_parent, last_heard_at=now, confirmed_at=now)
        self._peers[router] = peer
        cutoff = now - NOTICE_MEMORY_S
        for at, notice in self._recent_notices:
            if at > cutoff:
                peer.notices.append((notice, NOTICE_REPEATS))
        peer.task = asyncio.create_task(self._report_to_peer(peer))
        self._log.info("link_open", peer=router, parent=is_parent, address=address)
        return peer

    def _close_link(self, peer: _Peer) -> None:
        del self._peers[peer.id]
        if peer.task is not None:
            peer.task.cancel()
        self._source.remove_child(peer.id)
        self._log.info("link_close", peer=peer.id, parent=peer.is_parent)

    # -- one peer

    async def _report_to_peer(self, peer: _Peer) -> None:
        """Send reports to one peer until its link is closed or it is gone."""
        opened_at = self._clock()
        n_dials = 0
        while True:
            n_dials += 1
            with dial(self._address_of(peer)) as sock:
                await self._report_until_silent(peer, sock)
            self._metrics.count("link.redials")
            silent_s = self._clock() - max(peer.last_heard_at, opened_at)
            self._log.warning("link_silent", peer=peer.id, silent_s=silent_s)
            if n_dials > 1 and silent_s > 2 * self._max_silence_s(peer):
                self._declare_gone(peer)
                return

    def _address_of(self, peer: _Peer) -> str:
        """Return the current address of a peer; a replaced VM has a new one."""
        assert self._view is not None
        member = self._view.member(peer.id)
        return member.link if member is not None and member.link else peer.address

    def _declare_gone(self, peer: _Peer) -> None:
        assert self._view is not None
        peer.task = None
        self._close_link(peer)
        self._view.declare(peer.id, MemberState.GONE)

    def _max_silence_s(self, peer: _Peer) -> float:
        return max(self._cfg.silence_s, 3.0 * max(peer.period_s, self.period_s))

    async def _report_until_silent(self, peer: _Peer, sock: pynng.Push0) -> None:
        """Report to a parent periodically, and to a child in answer to its reports."""
        dialled_at = self._clock()
        first_sequence = self._sequence + 1
        while True:
            if peer.is_parent:
                self._send_report(peer, sock)
            elif peer.urgent.is_set():
                peer.urgent.clear()
                self._send_report(peer, sock)
                if peer.acked_sequence >= first_sequence:
                    peer.confirmed_at = self._clock()
            last_confirmed_at = max(dialled_at, self._last_confirmed_at(peer))
            if self._clock() - last_confirmed_at > self._max_silence_s(peer):
                return
            if peer.is_parent:
                await asyncio.sleep(URGENT_GAP_S)
            await self._wait_for_next_report(peer)

    def _last_confirmed_at(self, peer: _Peer) -> float:
        """Return when the link was last known to work in both directions."""
        return peer.last_heard_at if peer.is_parent else peer.confirmed_at

    async def _wait_for_next_report(self, peer: _Peer) -> None:
        """Wait for the longer period of the two ends, or for an urgent report."""
        period_s = max(self.period_s, peer.period_s) * self._rng.uniform(0.9, 1.1)
        try:
            async with asyncio.timeout(max(0.0, period_s - URGENT_GAP_S)):
                await peer.urgent.wait()
        except TimeoutError:
            credit = peer.urgent_credit + URGENT_CREDIT_PER_PERIOD
            peer.urgent_credit = min(MAX_URGENT_CREDIT, credit)
        if peer.is_parent:
            peer.urgent.clear()

    def _send_report(self, peer: _Peer, sock: pynng.Push0) -> None:
        notices = self._next_notices(peer)
        config = self.config_offset()
        if peer.is_parent:
            # A parent that has not answered may not have this router listed yet.
            is_known = self._own.listed and peer.acked_sequence > 0
            link = "" if is_known else self.address
            pools = self._source.build_subtree_report()
            self._send(
                sock, SubtreeReport(link, peer.acked_sequence, config, pools, notices)
            )
            return
        if self._root is None:
            return
        root, incarnation, depth = self._root
        period_ms = int(self.period_s * 1000)
        pools = self._source.build_fleet_report(peer.id)
        fleet_report = FleetReport(
            root, incarnation, depth, period_ms, config, pools, notices
        )
        self._send(sock, fleet_report)

    def _next_notices(self, peer: _Peer) -> list[Notice]:
        notices: list[Notice] = []
        for _ in range(min(len(peer.notices), MAX_NOTICES)):
            notice, n_left = peer.notices.popleft()
            notices.append(notice)
            if n_left > 1:
                peer.notices.append((notice, n_left - 1))
        return notices

    def _send(self, sock: pynng.Push0, payload: Payload) -> bool:
        self._sequence += 1
        own = self._own
        data = self._codec.encode(
            Envelope(own.id, own.incarnation, self._sequence, payload)
        )
        try:
            sock.send(data, block=False)
        except (pynng.TryAgain, pynng.Timeout):
            self._metrics.count("link.send_blocked")
            return False
        self.budget.record(len(data), sent=True)
        return True

    # -- receiving

    async def _receive(self) -> None:
        assert self._listener is not None
        while True:
            data = await self._listener.arecv()
            self.budget.record(len(data), sent=False)
            try:
                envelope = self._codec.decode(data)
            except BadMessage as exc:
                self._metrics.count("link.bad_messages")
                self._log.debug("link_bad_message", reason=exc)
                continue
            self._handle(envelope)

    def _handle(self, envelope: Envelope) -> None:
        assert self._view is not None
        assert self._direct_sender is not None
        sender = envelope.sender
        is_report = isinstance(envelope.payload, SubtreeReport | FleetReport)
        if sender == self._own.id or not self._replay_guard.is_fresh(
            sender, envelope.incarnation, envelope.sequence, is_report
        ):
            self._metrics.count("link.stale_messages")
            return
        member = self._view.record_message(sender, envelope.incarnation, self._clock())
        peer = self._peers.get(sender)
        if peer is not None:
            peer.last_heard_at = self._clock()
            if peer.is_parent:
                peer.acked_sequence = envelope.sequence
        match envelope.payload:
            case SubtreeReport() as subtree_report:
                self._handle_subtree_report(envelope, subtree_report, member)
            case FleetReport() as fleet_report:
                self._handle_fleet_report(sender, fleet_report)
            case Probe(link=link, notices=notices):
                has_wrong_state = self._direct_sender.has_wrong_state(notices)
                self._apply_notices(notices, sender)
                self._direct_sender.answer_probe(sender, link, has_wrong_state)
                if self.needs_records():
                    # With the platform down, peers become known through probes.
                    self._direct_sender.query_records_at(link, Offset(0))
            case RecordsQuery(link=link, after=after):
                if self.answer_records is not None:
                    self._direct_sender.send_once(link, self.answer_records(after))
            case RecordsAnswer() as answer:
                self.on_records(answer)

    def _handle_subtree_report(
        self, envelope: Envelope, subtree_report: SubtreeReport, member: Member | None
    ) -> None:
        sender = envelope.sender
        peer = self._peers.get(sender)
        if peer is None:
            address = (
                member.link
                if member is not None and member.link
                else subtree_report.link
            )
            if not address:
                return
            peer = self._open_link(sender, address, is_parent=False)
        if peer.is_parent:
            return
        peer.acked_sequence = subtree_report.acked_sequence
        self._source.apply_subtree_report(sender, envelope.incarnation, subtree_report)
        if self._parent() is None:
            self._source.round_trip_s = 2.0 * self.period_s
            self._source.run_root_round()
        peer.urgent.set()
        self._check_config_offset(sender, subtree_report.config)
        self._apply_notices(subtree_report.notices, sender)

    def _handle_fleet_report(self, sender: RouterId, fleet_report: FleetReport) -> None:
        peer = self._peers.get(sender)
        self._check_config_offset(sender, fleet_report.config)
        self._apply_notices(fleet_report.notices, sender)
        if peer is None or not peer.is_parent:
            return
        peer.period_s = fleet_report.period_ms / 1000.0
        self._root = (
            fleet_report.root,
            fleet_report.root_incarnation,
            fleet_report.depth + 1,
        )
        self._source.apply_fleet_report(fleet_report)

    def _apply_notices(self, notices: list[Notice], sender: RouterId) -> None:
        assert self._view is not None
        for notice in notices:
            if isinstance(notice, RouterNotice):
                self._view.apply_notice(notice.member)
            else:
                self.on_notice(notice)

    def _check_config_offset(self, sender: RouterId, offset: Offset) -> None:
        if offset > self.config_offset():
            self.on_config_ahead(sender, offset)
