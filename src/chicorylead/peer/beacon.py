"""Datagrams in which routers tell each other their state.

A beacon holds the whole state of its sender, so that lost, repeated and late ones
do no harm: the newest of a sender's incarnation holds. No connection can go silent
unnoticed, and a router that is cut off or frozen is missed within a second. Between
beacons, reports of what was sent to engines go out within milliseconds: routers that
learn of each other's sends only with the next beacon all fill the same engine.
"""

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

import msgspec
from msgspec import Struct

from chicorylead.link.message import PoisonNotice
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics

__all__ = [
    "Beacon",
    "BeaconLink",
    "Peer",
    "SendReport",
    "Sends",
    "UsageReport",
    "WorkReport",
]

PERIOD_S = 0.1  # a quarter of the shortest usual objective
PERIOD_PER_PEER_S = 0.0125  # keeps the messages a second bounded in larger fleets
JITTER = 0.2  # keeps routers that start together from sending together
SILENCE_PERIODS = 6  # with 3 datagrams in 100 lost, a false alarm in 10^9
SILENCE_MIN_S = 0.7  # a caller that meets a dead address loses up to a second
PROBE_S = 1.0  # a router that returns is heard of within a second
FORGET_S = 120.0  # of the order of the time for which a VM is replaced
SENDS_DELAY_PER_PEER_S = 0.001  # joins the sends of some milliseconds
MAX_DATAGRAM_BYTES = 60_000  # below the limit of UDP


class WorkReport(Struct, frozen=True, array_like=True):
    """Work that the sender has at one upstream.

    Attributes:
        sent_tokens: Prompt tokens that it ever sent there.
    """

    upstream: str
    sent_tokens: float
    held_tokens: float
    n_requests: int


class UsageReport(Struct, frozen=True, array_like=True):
    """What one organisation asked for and got at the sender within the window."""

    organisation: str
    asked: float
    admitted: float


class SendReport(Struct, frozen=True, array_like=True):
    """What the sender sent to one upstream.

    Attributes:
        sent_tokens: Prompt tokens that it ever sent there.
        parts: Shared parts of the prompts since its last report, with their lengths.
    """

    upstream: str
    sent_tokens: float
    parts: list[tuple[str, int]]


class Sends(Struct, frozen=True, array_like=True, tag="s"):
    """What a router sent to some upstreams."""

    id: str
    incarnation: int
    reports: list[SendReport]


class Beacon(Struct, frozen=True, array_like=True, tag="b"):
    """State of a router.

    Attributes:
        host: IP number at which datagrams reach the sender.
        incarnation: Another number at each start of the sender.
        sequence: Grows with each datagram.
        callers: Address for callers.
        control: Address at which peers ask for records.
        is_ready: Whether callers may be sent to it.
        ends: Offsets up to which it knows the streams, by name.
        peers: IP numbers of routers that it knows.
        suspects: Requests under which upstreams crashed.
    """

    id: str
    host: str
    incarnation: int
    sequence: int
    zone: str
    callers: str
    control: str
    is_ready: bool
    ends: dict[str, int]
    work: list[WorkReport]
    usage: list[UsageReport]
    peers: list[str]
    suspects: list[PoisonNotice] = []


class Peer:
    """What is known of a router.

    Attributes:
        beacon: Its newest datagram.
        heard_at: Event-loop time of that datagram, seconds.
        is_live: Whether it was heard lately.
    """

    def __init__(self, beacon: Beacon, now: float) -> None:
        self.beacon = beacon
        self.heard_at = now
        self.is_live = True
        self._past: set[int] = set()

    def is_newer(self, beacon: Beacon) -> bool:
        """Tell whether a datagram is newer than all before.

        Incarnations have no order: the wall clock of a VM may jump.
        """
        if beacon.incarnation == self.beacon.incarnation:
            return beacon.sequence > self.beacon.sequence
        return beacon.incarnation not in self._past

    def take(self, beacon: Beacon, now: float) -> None:
        """Take over a newer datagram."""
        if beacon.incarnation != self.beacon.incarnation:
            self._past.add(self.beacon.incarnation)
        self.beacon = beacon
        self.heard_at = now
        self.is_live = True


class BeaconLink(asyncio.DatagramProtocol):
    """Send the own state to all peers, and take in theirs.

    Args:
        router: Id of this router.
        incarnation: Another number at each start.
        address: Where datagrams are received; peers use the same port.
        seeds: IP numbers of some routers.
        make: Makes the own state from a sequence number and the known peers.
        on_beacon: Called with each newer state of a peer.
        on_sends: Called with what a live peer sent to upstreams.
        on_silent: Called with a peer that is no longer heard.
    """

    def __init__(
        self,
        router: str,
        incarnation: int,
        address: tuple[str, int],
        seeds: tuple[str, ...],
        make: Callable[[int, list[str]], Beacon],
        on_beacon: Callable[[Beacon], None],
        on_sends: Callable[[Sends], None],
        on_silent: Callable[[Beacon], None],
        log: EventLog,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._id = router
        self._incarnation = incarnation
        self._address = address
        self._make = make
        self._on_beacon = on_beacon
        self._on_sends = on_sends
        self._on_silent = on_silent
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._hosts: dict[str, float] = dict.fromkeys(seeds, 0.0)
        self._peers: dict[str, Peer] = {}
        self._sequence = 0
        self._new_sends: dict[str, SendReport] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Beacon | Sends)

    def live(self) -> list[Peer]:
        """Return the peers that were heard lately."""
        return [peer for peer in self._peers.values() if peer.is_live]

    @property
    def period_s(self) -> float:
        """Return the time between two datagrams to a peer, seconds."""
        return max(PERIOD_S, PERIOD_PER_PEER_S * len(self._peers))

    async def start(self) -> None:
        """Open the socket."""
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )

    async def stop(self) -> None:
        """Send the last state and close the socket."""
        self.send()
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            self._note_silence()
            self.send()
            jitter = self._rng.uniform(1 - JITTER, 1 + JITTER)
            await asyncio.sleep(self.period_s * jitter)

    def send(self) -> None:
        """Send the own state to all peers that are live or may be back."""
        now = self._loop.time()
        live_hosts = {peer.beacon.host for peer in self.live()}
        self._sequence += 1
        beacon = self._make(self._sequence, sorted(live_hosts))
        data = self._encoder.encode(beacon)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._metrics.count("beacon.too_large")
            self._log.error("beacon_too_large", n_bytes=len(data))
            return
        for host, probed_at in list(self._hosts.items()):
            if host == self._address[0]:
                continue
            if host not in live_hosts:
                if now - probed_at < PROBE_S:
                    continue
                self._hosts[host] = now
            self._send_to(host, data)

    def note_sent(
        self, upstream: str, total: float, parts: list[tuple[str, int]]
    ) -> None:
        """Tell live peers soon of a prompt that was sent to an upstream.

        Args:
            upstream: The upstream.
            total: Prompt tokens that were ever sent to it.
            parts: Shared parts of the prompt, with their lengths.
        """
        if not self._new_sends:
            delay_s = SENDS_DELAY_PER_PEER_S * len(self._peers)
            self._loop.call_later(delay_s, self._send_reports)
        known = self._new_sends.get(upstream)
        if known is not None:
            parts = [*known.parts, *parts]
        self._new_sends[upstream] = SendReport(upstream, total, parts)

    def _send_reports(self) -> None:
        reports = list(self._new_sends.values())
        self._new_sends.clear()
        data = self._encoder.encode(Sends(self._id, self._incarnation, reports))
        for peer in self.live():
            self._send_to(peer.beacon.host, data)

    def _send_to(self, host: str, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        with contextlib.suppress(OSError):
            self._transport.sendto(data, (host, self._address[1]))

    # -- transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in what a peer tells."""
        try:
            message = self._decoder.decode(data)
        except msgspec.DecodeError as exc:
            self._metrics.count("beacon.malformed")
            self._log.warning("beacon_malformed", sender=addr[0], reason=exc)
            return
        match message:
            case Beacon():
                self._take_beacon(message, addr[0])
            case Sends():
                self._take_sends(message)

    def _take_sends(self, sends: Sends) -> None:
        peer = self._peers.get(sends.id)
        if peer is None or not peer.is_live:
            return
        if peer.beacon.incarnation == sends.incarnation:
            self._on_sends(sends)

    def _take_beacon(self, beacon: Beacon, sender: str) -> None:
        if beacon.host != sender or beacon.host == self._address[0]:
            return
        known = self._peers.get(beacon.id)
        if known is not None and not known.is_newer(beacon):
            return
        self._note(beacon, known)

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be sent; the peer's silence tells more."""
        self._metrics.count("beacon.send_errors")

    def _note(self, beacon: Beacon, known: Peer | None) -> None:
        now = self._loop.time()
        if known is None or not known.is_live:
            self._log.info("peer_heard", peer=beacon.id, host=beacon.host)
        if known is None:
            self._peers[beacon.id] = Peer(beacon, now)
        else:
            known.take(beacon, now)
        self._hosts.setdefault(beacon.host, 0.0)
        for host in beacon.peers:
            self._hosts.setdefault(host, 0.0)
        self._on_beacon(beacon)

    def _note_silence(self) -> None:
        now = self._loop.time()
        silence_s = max(SILENCE_MIN_S, SILENCE_PERIODS * self.period_s)
        for peer_id, peer in list(self._peers.items()):
            if peer.is_live and now - peer.heard_at > silence_s:
                peer.is_live = False
                self._log.warning(
                    "peer_silent", peer=peer_id, heard_s=now - peer.heard_at
                )
                self._on_silent(peer.beacon)
            elif not peer.is_live and now - peer.heard_at > FORGET_S:
                del self._peers[peer_id]
                self._hosts.pop(peer.beacon.host, None)
