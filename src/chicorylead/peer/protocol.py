"""Exchanges state between routers in UDP datagrams.

There is no connection that could stall unnoticed: a router that is cut off or frozen is
detected within a second. Heartbeats go to the few routers that watch this one, and
presences to all in turn, so that neither grows with the fleet. Routers that serve
callers, whether these are told to use them or not, also tell each other what they do:
beacons hold the full state and are sent twice a second, and deltas report prompts sent
to engines within milliseconds, as routers that learn late of each other's sends all
fill the same engine. Deltas include the usage of organisations: if routers learn late
what an organisation got elsewhere, each grants its share again.

Traffic between zones is billed. A zone with several serving routers gets one copy of
each broadcast, relayed by its routers in turn.
"""

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

import msgspec

from chicorylead.decoding import decode_msgpack
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.crash_news import CrashNews
from chicorylead.peer.confirmation import Confirmation
from chicorylead.peer.datagram import (
    Beacon,
    BegunStreams,
    ColdReport,
    Heartbeat,
    NoticeReport,
    NoticeReports,
    Presence,
    RelayedDatagram,
    SendReport,
    StateDelta,
    StreamAnswer,
    StreamQuestion,
    Suspicion,
    UsageReport,
    WorkReport,
)
from chicorylead.peer.membership import (
    HEARTBEAT_INTERVAL_S,
    SUSPICION_TIMEOUT_S,
    Membership,
    Peer,
)
from chicorylead.traffic.stream import (
    START,
    KnownOperatorRecords,
    KnownRecords,
)
from chicorylead.vm.heard_routers import HeardRouters

__all__ = ["LocalRouter", "PeerProtocol"]

CONFIRM_CHECK_S = 0.01  # a few times the round trip within a zone
JITTER = 0.2  # fraction; spreads the sends of routers that start together
# A process that did not run for so long has not heard its peers either.
PAUSE_S = 0.4
HEARTBEATS_PER_BEACON = 4  # demand of organisations is measured over seconds
HEARTBEATS_PER_CLAIM = 4  # a claim holds for six times as long
CLAIMS_PER_BROADCAST = 4  # to peers without claims, in case they missed the first ones
HEARTBEATS_PER_EVICTION = 10
# What seldom changes is told at once, some times, and then now and then: an idle router
# of the largest fleet sends close to the 2 KB a second that users allow.
OPERATOR_NEWS_S = 0.6
HEARTBEATS_PER_OPERATOR = 8
ROUNDS_PER_FULL_PRESENCE = 4
# Of each announcement: until its turn comes, a peer that misses it sends callers to a
# router that is about to stop.
N_ANNOUNCEMENTS = 3
PROBES_PER_HEARTBEAT = 12
PEERS_PER_PRESENCE = 4
PEERS_PER_REPLY = 64  # a newcomer learns of the others from several replies
DELTA_DELAY_PER_PEER_S = 0.001  # batches the sends of a few milliseconds
NOTICE_DELAY_S = 0.002  # batches the answers of upstreams that are limited together
NOTICES_PER_DATAGRAM = 25  # below the size at which networks split datagrams
SUSPECTS_PER_DATAGRAM = 10  # the same; a notice is larger
CRASH_NEWS_DELAY_S = 0.002  # batches the requests that break in one crash
# Of all news of crashes: a router that misses it sends such requests to upstreams until
# the next beacon.
N_CRASH_NEWS = 3
USAGE_INTERVAL_S = 0.1  # 1/40 of the default window of shares
# A router that sends deltas serves callers, even if it is not one that they are told.
DELTA_SENDER_S = 5.0
# Two routers that callers are not told of, but use, would not hear of each other.
MIN_STATE_REQUESTS_PER_S = 1.0
# Per zone: a lost relay costs its zone a third of the broadcasts at most.
MIN_PEERS_FOR_RELAY = 3
MAX_DATAGRAM_BYTES = 60_000  # below the UDP limit


@dataclass(slots=True)
class _RepeatedNews:
    """News of crashes that is sent again some times.

    Attributes:
        made_at: Event-loop time at which it was made, seconds.
        host: IP address of the router that is told; None for all live ones.
        n_left: Times that it is still to be sent.
    """

    news: CrashNews
    made_at: float
    host: str | None = None
    n_left: int = N_CRASH_NEWS - 1

    def at(self, now: float) -> CrashNews:
        """Return the news with the ages of its crashes at a later time."""
        return self.news.aged(round(1000 * (now - self.made_at)))


class LocalRouter(Protocol):
    """What the protocol tells about this router, and where it reports its peers."""

    def make_presence(self, sequence: int, peers: list[str]) -> Presence:
        """Return the presence of this router."""

    def make_beacon(self, presence: Presence) -> Beacon:
        """Return the state of this router."""

    def known_records(self) -> KnownRecords:
        """Return how far this router knows the streams."""

    def records_age_s(self) -> float:
        """Return the time since this router's records were known to be current."""

    def pop_changed_usage(self) -> list[UsageReport]:
        """Return the usage that changed since the last call."""

    def pop_answered_parts(self) -> list[bytes]:
        """Return the prompt parts that peers may not know to be answered."""

    def make_crash_news(self) -> CrashNews:
        """Return the news of crashes since the last call."""

    def known_crashes(self) -> CrashNews:
        """Return all that is known of crashes, for a router that has just started."""

    def apply_crash_news(self, peer: str, news: CrashNews) -> None:
        """Apply a live peer's news of crashes."""

    def news_of_notices(self) -> list[NoticeReport]:
        """Return what upstreams stated in the last moments."""

    def current_notices(self) -> list[NoticeReport]:
        """Return what upstreams stated that holds, for a router that has started."""

    def apply_notices(self, peer: str, reports: Sequence[NoticeReport]) -> None:
        """Apply what upstreams stated in answers to a live peer."""

    def refresh_claims(self) -> None:
        """Take note of the routers that are heard now."""

    def make_claims(self, is_broadcast: bool) -> list[str]:
        """Return the services whose cold upstreams this router has requests for.

        Args:
            is_broadcast: Whether they are sent to all live peers.
        """

    def claimants(self) -> Collection[str]:
        """Return the ids of the peers that hear each claim."""

    def has_new_claim(self) -> bool:
        """Return whether all live peers are to hear the claims."""

    def cold_reports(self) -> list[ColdReport]:
        """Return what was observed lately of upstreams that started again."""

    def apply_claims(
        self, peer: str, claims: Sequence[str], cold: Sequence[ColdReport]
    ) -> None:
        """Apply the claims of a live peer, and what it observed of upstreams."""

    def handle_streams(
        self, message: BegunStreams | StreamQuestion | StreamAnswer, sender: str
    ) -> None:
        """Handle what a router tells or asks about streams.

        Args:
            message: The message.
            sender: IP address of the router, which need not be a known peer.
        """

    def is_serving(self, peer: Peer) -> bool:
        """Return whether callers are told to use a peer."""

    def has_state(self) -> bool:
        """Return whether this router's state matters to others."""

    def apply_beacon(self, beacon: Beacon) -> None:
        """Replace the state of a peer."""

    def apply_delta(self, peer: str, delta: StateDelta) -> None:
        """Apply changes of the state of a live peer."""

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Learn from a peer how current the records are."""

    def drop_peer(self, peer: str) -> None:
        """Remove the state of a lost peer."""


class PeerProtocol(asyncio.DatagramProtocol):
    """Sends this router's state to its peers, and receives theirs.

    Args:
        incarnation: Differs at each start.
        zone: Availability zone of this router.
        address: Local address of the socket; peers use the same port.
        seeds: IP addresses of some routers.
        router: This router.
        clock: Returns the time of the event loop, seconds.
    """

    def __init__(
        self,
        incarnation: int,
        zone: str,
        address: tuple[str, int],
        seeds: tuple[str, ...],
        router: LocalRouter,
        clock: Callable[[], float],
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._incarnation = incarnation
        self._zone = zone
        self._host, self._port = address
        self._router = router
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._members = Membership(self._host, seeds, clock())
        self._confirmation = Confirmation(clock())
        self._sequence = 0
        self._n_ticks = 0
        self._n_broadcasts = 0
        self._n_claims = 0
        self._n_presences = 0
        self._n_rounds = 0
        self._told_operator = KnownOperatorRecords()
        self._operator_changed_at = float("-inf")
        self._presence_credit = 0.0
        self._n_announcements_left = 0
        self._had_state = False
        self._has_heard = False
        self._usage_sent_at = -USAGE_INTERVAL_S
        self._pending_reports: dict[str, SendReport] = {}
        self._has_crash_news = False
        self._has_notices = False
        self._has_cold_news = False
        self._repeated_news: list[_RepeatedNews] = []
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(
            Beacon
            | BegunStreams
            | Heartbeat
            | NoticeReports
            | Presence
            | CrashNews
            | RelayedDatagram
            | StateDelta
            | StreamAnswer
            | StreamQuestion
            | Suspicion
        )

    def live(self) -> list[Peer]:
        """Return the peers that were heard from recently."""
        return self._members.live()

    def heard_routers(self) -> HeardRouters:
        """Return how many routers are heard, of those known lately."""
        return HeardRouters(
            len(self.live()), self._members.n_known(self._clock()), self._has_heard
        )

    def known_hosts(self) -> list[str]:
        """Return the IP addresses at which routers may answer."""
        return self._members.known_hosts()

    def state_peers(self) -> list[Peer]:
        """Return the peers that are told of this router's state."""
        now = self._clock()
        return [
            peer
            for peer in self.live()
            if now - peer.last_delta_at < DELTA_SENDER_S
            or peer.presence.requests_per_s >= MIN_STATE_REQUESTS_PER_S
            or self._router.is_serving(peer)
        ]

    # -- signs of life, before callers are told of peers

    def is_confirmed(self, peer: Peer) -> bool:
        """Return whether a peer was heard lately."""
        return self._confirmation.is_confirmed(peer, self._clock())

    def probe_unconfirmed(self, peers: Iterable[Peer]) -> bool:
        """Probe peers that were not heard lately; return whether all are confirmed."""
        peers = list(peers)
        now = self._clock()
        due = self._confirmation.due(peers, now)
        # After a gap, the presence tells as well whether callers may still use it.
        unconfirmed = [p for p in due if not self._confirmation.is_confirmed(p, now)]
        if due:
            self._metrics.count("peer.probes", len(due))
            hosts = [p.presence.host for p in due if p not in unconfirmed]
            self._send_heartbeat(hosts, wants_reply=True)
            self._send_presence(
                [p.presence.host for p in unconfirmed], wants_reply=True
            )
        return all(self._confirmation.is_confirmed(peer, now) for peer in peers)

    async def confirm(self, peers: Iterable[Peer]) -> None:
        """Wait until peers are confirmed, or until they would have answered."""
        peers = list(peers)
        # After a long pause, answers count from a little later on.
        self._confirmation.detect_pause(self._clock())
        from_s = max(self._clock(), self._confirmation.trusted_from)
        while not self.probe_unconfirmed(peers):
            if self._clock() >= from_s + SUSPICION_TIMEOUT_S:
                return
            await asyncio.sleep(CONFIRM_CHECK_S)

    # -- life cycle

    async def start(self) -> None:
        """Open the socket."""
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    async def stop(self) -> None:
        """Send a last presence and close the socket."""
        self.announce()
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send what is due and detect lost peers, until cancelled."""
        last = self._clock()
        while True:
            now = self._clock()
            if now - last > PAUSE_S:
                self._members.forgive(now - last)
                self.announce()
            last = now
            self.tick()
            jitter = self._rng.uniform(1 - JITTER, 1 + JITTER)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * jitter)

    def tick(self) -> None:
        """Send what is due and detect lost peers; called once per heartbeat."""
        now = self._clock()
        self._confirmation.record_tick(now)
        self._detect_losses(now)
        self.send_heartbeats()
        if self._n_ticks % HEARTBEATS_PER_BEACON == 0:
            self.send_beacon()
        if self._n_ticks % HEARTBEATS_PER_EVICTION == 0:
            self._members.evict(now)
        self._n_ticks += 1
        self._repeat_announcement()
        self._repeat_crash_news()
        self.send_notices()
        self._router.refresh_claims()
        if self._n_ticks % HEARTBEATS_PER_CLAIM == 0:
            self._send_due_claims()
        self._send_presences()
        self._probe(now)

    # -- sending

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the routers that watch this one."""
        watchers = self._members.watchers(self._clock())
        if watchers:
            self._send_heartbeat(watchers)

    def _send_heartbeat(self, hosts: Iterable[str], wants_reply: bool = False) -> None:
        self._sequence += 1
        known = self._router.known_records()
        heartbeat = Heartbeat(
            self._incarnation,
            self._sequence,
            known.without_operator,
            min(round(self._router.records_age_s() * 1000), 2**31),
            wants_reply,
            self._operator_news(known.operator),
        )
        data = self._encoder.encode(heartbeat)
        for host in hosts:
            self._send_to(host, data)

    def _operator_news(
        self, operator: KnownOperatorRecords
    ) -> KnownOperatorRecords | None:
        """Return how far the operator's records are known, if peers may not know it."""
        now = self._clock()
        if operator != self._told_operator:
            self._told_operator = operator
            self._operator_changed_at = now
        is_new = now - self._operator_changed_at < OPERATOR_NEWS_S
        is_due = self._n_ticks % HEARTBEATS_PER_OPERATOR == 0
        is_known = operator.evacuated is not None
        return operator if is_known and (is_new or is_due) else None

    def send_beacon(self) -> None:
        """Send the full state to the peers that use it, if there is any."""
        has_state = self._router.has_state()
        if has_state or self._had_state:
            beacon = self._router.make_beacon(self._make_presence([]))
            data = self._encoder.encode(beacon)
            if len(data) > MAX_DATAGRAM_BYTES:
                self._metrics.count("beacon.too_large")
                self._log.error("beacon_too_large", n_bytes=len(data))
                return
            self._broadcast(data)
        self._had_state = has_state

    def announce(self) -> None:
        """Send a presence to all live peers at once, and again some times."""
        self._n_announcements_left = N_ANNOUNCEMENTS
        self._repeat_announcement()

    def _repeat_announcement(self) -> None:
        if self._n_announcements_left > 0:
            self._n_announcements_left -= 1
            self._send_presence([peer.presence.host for peer in self.live()])

    def _send_presences(self) -> None:
        """Send a presence to the peers whose turn it is."""
        live = self.live()
        if not live:
            return
        interval_s = self._members.presence_interval_s
        self._presence_credit += HEARTBEAT_INTERVAL_S * len(live) / interval_s
        n_due = int(self._presence_credit)
        self._presence_credit -= n_due
        if n_due == 0:
            return
        hosts = []
        for _ in range(min(n_due, len(live))):
            self._n_presences += 1
            hosts.append(live[self._n_presences % len(live)].presence.host)
        self._n_rounds += 1
        is_short = self._n_rounds % ROUNDS_PER_FULL_PRESENCE != 0
        peers = self._sample_hosts(PEERS_PER_PRESENCE)
        self._send_presence(hosts, peers, is_short=is_short)

    def _sample_hosts(self, limit: int) -> list[str]:
        live = self.live()
        sample = self._rng.sample(live, min(limit, len(live)))
        return [peer.presence.host for peer in sample]

    def _probe(self, now: float) -> None:
        """Send a presence to hosts without a live router."""
        due = self._members.hosts_to_probe(now, PROBES_PER_HEARTBEAT)
        if due:
            self._send_presence(due, wants_reply=True)

    def _send_presence(
        self,
        hosts: Iterable[str],
        peers: Sequence[str] = (),
        wants_reply: bool = False,
        is_short: bool = False,
    ) -> None:
        presence = self._make_presence(list(peers))
        if is_short:
            presence = msgspec.structs.replace(presence, operator=None, region="")
        if wants_reply:
            presence = msgspec.structs.replace(presence, wants_reply=True)
        data = self._encoder.encode(presence)
        for host in hosts:
            self._send_to(host, data)

    def _make_presence(self, peers: list[str]) -> Presence:
        self._sequence += 1
        return self._router.make_presence(self._sequence, peers)

    def _broadcast(self, data: bytes) -> None:
        """Send a datagram to the serving peers, via one relay per large remote zone."""
        zones: dict[str, list[str]] = {}
        for peer in self.state_peers():
            zones.setdefault(peer.presence.zone, []).append(peer.presence.host)
        self._n_broadcasts += 1
        for zone, hosts in zones.items():
            if zone == self._zone or len(hosts) < MIN_PEERS_FOR_RELAY:
                for host in hosts:
                    self._send_to(host, data)
                continue
            relay = hosts[self._n_broadcasts % len(hosts)]
            message = RelayedDatagram(self._host, data, is_final=False)
            self._send_to(relay, self._encoder.encode(message))

    def queue_report(self, work: WorkReport, parts: list[tuple[bytes, int]]) -> None:
        """Queue a report of a prompt sent to an upstream for the next delta.

        Args:
            work: This router's current work at the upstream.
            parts: Ids of the parts of the prompt, with their lengths in tokens.
        """
        if not self._pending_reports:
            delay_s = DELTA_DELAY_PER_PEER_S * len(self.state_peers())
            self._loop.call_later(delay_s, self.send_delta)
        known = self._pending_reports.get(work.upstream)
        if known is not None:
            parts = [*known.parts, *parts]
        self._pending_reports[work.upstream] = SendReport(work, parts)

    def send_delta(self) -> None:
        """Send the queued reports to the serving peers."""
        if not self._pending_reports:
            return
        reports = list(self._pending_reports.values())
        self._pending_reports.clear()
        usage: list[UsageReport] = []
        now = self._clock()
        if now - self._usage_sent_at >= USAGE_INTERVAL_S:
            self._usage_sent_at = now
            usage = self._router.pop_changed_usage()
        answered = self._router.pop_answered_parts()
        delta = StateDelta(self._incarnation, reports, usage, answered)
        self._broadcast(self._encoder.encode(delta))

    def queue_crash_news(self) -> None:
        """Send the news of crashes to all live peers, some milliseconds later.

        Peers that callers are not told to use get requests as well, from callers with
        an old list, and are told to callers as soon as another one is lost.
        """
        if not self._has_crash_news:
            self._has_crash_news = True
            self._loop.call_later(CRASH_NEWS_DELAY_S, self.send_crash_news)

    def send_crash_news(self) -> None:
        """Send the news of crashes to all live peers, and again some times."""
        self._has_crash_news = False
        news = self._router.make_crash_news()
        self._send_to_live(news)
        # A repeated start of a trial could follow its end.
        repeated = msgspec.structs.replace(news, trials=[])
        if repeated.crashes or repeated.answered or repeated.suspects:
            self._repeated_news.append(_RepeatedNews(repeated, self._clock()))

    def _repeat_crash_news(self) -> None:
        now = self._clock()
        for repeated in self._repeated_news:
            news = repeated.at(now)
            if repeated.host is None:
                self._send_to_live(news)
            else:
                self._send_news([repeated.host], news)
            repeated.n_left -= 1
        self._repeated_news = [r for r in self._repeated_news if r.n_left > 0]

    def send_streams(
        self,
        hosts: Iterable[str],
        message: BegunStreams | StreamQuestion | StreamAnswer,
    ) -> None:
        """Tell or ask routers about streams."""
        data = self._encoder.encode(message)
        for host in hosts:
            self._send_to(host, data)

    def queue_notices(self) -> None:
        """Tell all live peers what upstreams stated, some milliseconds later."""
        if not self._has_notices:
            self._has_notices = True
            self._loop.call_later(NOTICE_DELAY_S, self.send_notices)

    def send_notices(self) -> None:
        """Tell all live peers what upstreams stated in the last moments."""
        self._has_notices = False
        hosts = [peer.presence.host for peer in self.live()]
        self._send_notices(hosts, self._router.news_of_notices())

    def send_claims(self) -> None:
        """Tell all live peers which services this router has requests for."""
        hosts = [peer.presence.host for peer in self.live()]
        self._send_claims(hosts, is_broadcast=True)

    def _send_due_claims(self) -> None:
        """Tell the peers that divide rates with this one, and at times all others."""
        self._n_claims += 1
        if self._n_claims % CLAIMS_PER_BROADCAST == 0 or self._router.has_new_claim():
            self.send_claims()
            return
        claimants = self._router.claimants()
        live = self.live()
        self._send_claims(
            [peer.presence.host for peer in live if peer.presence.id in claimants]
        )

    def _send_claims(self, hosts: Sequence[str], is_broadcast: bool = False) -> None:
        claims = self._router.make_claims(is_broadcast)
        cold = self._router.cold_reports()
        if not claims and not cold:
            return
        for first in range(0, max(1, len(cold)), NOTICES_PER_DATAGRAM):
            part = cold[first : first + NOTICES_PER_DATAGRAM]
            message = NoticeReports(self._incarnation, [], claims, part)
            data = self._encoder.encode(message)
            for host in hosts:
                self._send_to(host, data)

    def queue_claims(self) -> None:
        """Tell the peers of a start that was observed, some milliseconds later."""
        if not self._has_cold_news:
            self._has_cold_news = True
            self._loop.call_later(NOTICE_DELAY_S, self._send_cold_news)

    def _send_cold_news(self) -> None:
        self._has_cold_news = False
        self.send_claims()

    def _send_notices(
        self, hosts: Sequence[str], notices: Sequence[NoticeReport]
    ) -> None:
        for first in range(0, len(notices), NOTICES_PER_DATAGRAM):
            part = list(notices[first : first + NOTICES_PER_DATAGRAM])
            data = self._encoder.encode(NoticeReports(self._incarnation, part))
            for host in hosts:
                self._send_to(host, data)

    def _send_crashes(self, host: str) -> None:
        """Tell a router that has started, or was away, what is known of crashes."""
        news = self._router.known_crashes()
        if news.crashes or news.suspects:
            self._send_news([host], news)
            self._repeated_news.append(_RepeatedNews(news, self._clock(), host))

    def _send_to_live(self, news: CrashNews) -> None:
        self._send_news([peer.presence.host for peer in self.live()], news)

    def _send_news(self, hosts: Sequence[str], news: CrashNews) -> None:
        for first in range(0, max(1, len(news.suspects)), SUSPECTS_PER_DATAGRAM):
            suspects = news.suspects[first : first + SUSPECTS_PER_DATAGRAM]
            part = msgspec.structs.replace(news, suspects=suspects)
            if first > 0:
                part = CrashNews(self._incarnation, [], [], [], suspects)
            data = self._encoder.encode(part)
            for host in hosts:
                self._send_to(host, data)

    def _send_to(self, host: str, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        # The peer detects a failed path by this router's silence.
        with contextlib.suppress(OSError):
            self._transport.sendto(data, (host, self._port))

    # -- detection of losses

    def _detect_losses(self, now: float) -> None:
        is_isolated = self._members.is_isolated(now)
        for peer in self._members.suspects():
            if now - peer.suspected_at <= SUSPICION_TIMEOUT_S:
                self._send_heartbeat([peer.presence.host], wants_reply=True)
                continue
            # Each of its watchers tells once more, as a first notice may be lost.
            if self._members.watches(peer) and not is_isolated:
                self._tell_suspicion(peer)
            self._handle_lost(peer, now)
        for peer in self._members.silent(now):
            self._suspect(peer, now)
            if not is_isolated:
                self._tell_suspicion(peer)

    def _tell_suspicion(self, peer: Peer) -> None:
        """Ask all other routers to check whether a peer is lost."""
        suspicion = Suspicion(peer.presence.host, peer.presence.incarnation)
        data = self._encoder.encode(suspicion)
        for other in self.live():
            if other is not peer:
                self._send_to(other.presence.host, data)

    def _suspect(self, peer: Peer, now: float) -> None:
        peer.suspected_at = now
        self._send_heartbeat([peer.presence.host], wants_reply=True)

    def _handle_lost(self, peer: Peer, now: float) -> None:
        self._members.mark_lost(peer)
        self._log.warning(
            "peer_silent", peer=peer.presence.id, heard_s=now - peer.last_heard_at
        )
        self._router.drop_peer(peer.presence.id)

    # -- transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram from a peer."""
        self._handle_datagram(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Count a failed send; a lost peer is detected by its silence."""
        self._metrics.count("beacon.send_errors")

    def _handle_datagram(self, data: bytes, origin: str) -> None:
        try:
            message = decode_msgpack(self._decoder, data)
        except ValueError as exc:
            self._metrics.count("beacon.malformed")
            self._log.warning("beacon_malformed", sender=origin, reason=exc)
            return
        match message:
            case Beacon():
                if self._handle_presence(message.presence, origin):
                    self._router.apply_beacon(message)
            case Presence():
                self._handle_presence(message, origin)
            case Heartbeat():
                self._handle_heartbeat(message, origin)
            case NoticeReports():
                self._handle_notices(message, origin)
            case CrashNews():
                self._handle_crash_news(message, origin)
            case RelayedDatagram():
                self._handle_relayed(message, origin)
            case StateDelta():
                self._handle_delta(message, origin)
            case BegunStreams() | StreamQuestion() | StreamAnswer():
                self._router.handle_streams(message, origin)
            case Suspicion():
                self._handle_suspicion(message, origin)

    def _handle_presence(self, presence: Presence, sender: str) -> bool:
        """Apply a presence; return whether it is newer than all before."""
        if presence.host != sender or sender == self._host:
            return False
        known = self._members.by_id(presence.id)
        is_newer = known is None or known.is_newer(presence)
        if is_newer:
            is_restarted = (
                known is not None
                and known.is_live
                and known.presence.incarnation != presence.incarnation
            )
            if is_restarted:
                self._router.drop_peer(presence.id)
            if self._members.apply_presence(presence, self._clock()):
                self._has_heard = True
                self._log.info("peer_heard", peer=presence.id, host=sender)
                if not presence.wants_reply:
                    self._send_presence([sender])
                    self._send_crashes(sender)
                self._send_claims([sender])
        if presence.wants_reply:
            self._send_presence([sender], self._sample_hosts(PEERS_PER_REPLY))
            self._send_crashes(sender)
            self._send_notices([sender], self._router.current_notices())
        return is_newer

    def _handle_heartbeat(self, heartbeat: Heartbeat, sender: str) -> None:
        peer = self._members.by_host(sender)
        if peer is None or not peer.apply_heartbeat(heartbeat, self._clock()):
            return
        if not peer.is_live:
            self._members.mark_live(peer)
            self._log.info("peer_heard", peer=peer.presence.id, host=sender)
            # It ignores the news of a router that it regards as lost.
            self._send_presence([sender])
            self._send_crashes(sender)
            self._send_claims([sender])
        if peer.known.operator.position != START:
            operator = peer.known.operator
            heartbeat = msgspec.structs.replace(heartbeat, operator=operator)
        self._router.apply_heartbeat(heartbeat)
        if heartbeat.wants_reply:
            self._send_heartbeat([sender])

    def _handle_crash_news(self, news: CrashNews, sender: str) -> None:
        peer = self._members.by_host(sender)
        if peer is None or not peer.is_live:
            return
        if peer.presence.incarnation == news.incarnation:
            self._router.apply_crash_news(peer.presence.id, news)

    def _handle_notices(self, reports: NoticeReports, sender: str) -> None:
        peer = self._members.by_host(sender)
        if peer is None or not peer.is_live:
            return
        if peer.presence.incarnation == reports.incarnation:
            self._router.apply_notices(peer.presence.id, reports.notices)
            if reports.claims or reports.cold:
                self._router.apply_claims(
                    peer.presence.id, reports.claims, reports.cold
                )

    def _handle_suspicion(self, suspicion: Suspicion, sender: str) -> None:
        """Probe a router that a peer suspects to be lost."""
        teller = self._members.by_host(sender)
        peer = self._members.by_host(suspicion.host)
        if teller is None or not teller.is_live or peer is None or not peer.is_live:
            return
        if peer.presence.incarnation != suspicion.incarnation:
            return
        now = self._clock()
        is_silent = now - peer.last_heard_at > 2 * HEARTBEAT_INTERVAL_S
        if peer.suspected_at is None and is_silent:
            self._suspect(peer, now)

    def _handle_relayed(self, message: RelayedDatagram, sender: str) -> None:
        """Handle a relayed datagram, and forward it within this router's zone."""
        peer = self._members.by_host(sender)
        origin = self._members.by_host(message.origin)
        # A relay that was frozen passes on what those sent that have been lost since.
        if peer is None or not peer.is_live or origin is None or not origin.is_live:
            return
        if self._confirmation.is_input_stale(self._clock()):
            return
        if not message.is_final:
            final = RelayedDatagram(message.origin, message.data, is_final=True)
            data = self._encoder.encode(final)
            for other in self.state_peers():
                if other.presence.zone == self._zone:
                    self._send_to(other.presence.host, data)
        self._handle_datagram(message.data, message.origin)

    def _handle_delta(self, delta: StateDelta, sender: str) -> None:
        peer = self._members.by_host(sender)
        if peer is None or not peer.is_live:
            return
        if peer.presence.incarnation == delta.incarnation:
            peer.last_delta_at = self._clock()
            self._router.apply_delta(peer.presence.id, delta)
