"""Which routers exist and which of them are live, as seen by this one.

Failure pattern: one of hundreds of routers is lost, and callers must not be sent to it
for longer than a second, at a cost for each router that does not grow with the fleet.
A router is watched by a few others (`vm.ring`). One that falls silent is suspected, all
routers probe it themselves, and each that gets no answer regards it as lost: a cut path
between two routers does not remove either from the view of the others.
"""

from collections.abc import Iterable

from msgspec.structs import replace

from chicorylead.peer.datagram import Heartbeat, Presence
from chicorylead.vm.ring import Ring

__all__ = ["Membership", "Peer"]

HEARTBEAT_INTERVAL_S = 0.12
SILENCE_TIMEOUT_S = 0.5  # four heartbeats; whoever is suspected wrongly answers a probe
# Peers send to this router about thirty times a second; if none does, this router's own
# path is cut.
ISOLATION_TIMEOUT_S = 0.8
# Several round trips between zones, and longer than the usual pauses of a process.
SUSPICION_TIMEOUT_S = 0.3
PRESENCES_PER_S = 10.0  # bounds the bytes that a router sends, whatever the fleet
PRESENCE_MIN_INTERVAL_S = 2.0  # to each peer
MISSED_PRESENCES_LIMIT = 3.5  # at 3 % loss, a needless probe in 10^4
PROBE_INTERVAL_S = 1.0  # a returning router is found within a second
EVICT_AFTER_S = 120.0  # about the time that replacing a VM takes


class Peer:
    """The last known state of another router.

    Attributes:
        presence: Its newest presence.
        sequence: Sequence number of its newest datagram.
        known: How far it knows the streams.
        last_heard_at: Event-loop time of that datagram, seconds.
        is_live: Whether it was heard from recently.
        suspected_at: Event-loop time since which it is suspected to be lost, seconds.
        last_delta_at: Event-loop time of its last delta, seconds.
        heard_at: Event-loop time at which a datagram of it was last received, seconds;
            pauses of this process are not forgiven.
        probed_at: Event-loop time at which it was last asked for a sign of life before
            callers are told of it, seconds.
    """

    def __init__(self, presence: Presence, now: float) -> None:
        self.presence = presence
        self.sequence = presence.sequence
        self.known = presence.records
        self.last_heard_at = now
        self.heard_at = now
        self.probed_at = float("-inf")
        self.is_live = True
        self.suspected_at: float | None = None
        self.last_delta_at = float("-inf")
        self._old_incarnations: set[int] = set()

    def is_newer(self, presence: Presence) -> bool:
        """Return whether a presence is newer than all before.

        Incarnations are not ordered, as the wall clock of a VM may jump.
        """
        if presence.incarnation == self.presence.incarnation:
            return presence.sequence > self.presence.sequence
        return presence.incarnation not in self._old_incarnations

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a heartbeat; return whether it is a new one of this incarnation."""
        if heartbeat.incarnation != self.presence.incarnation:
            return False
        if heartbeat.sequence <= self.sequence:
            return False
        self.sequence = heartbeat.sequence
        operator = heartbeat.operator or self.known.operator
        self.known = heartbeat.known._replace(operator=operator)
        self._mark_heard(now)
        return True

    def apply_presence(self, presence: Presence, now: float) -> None:
        """Apply a newer presence."""
        known = presence.records
        if presence.incarnation != self.presence.incarnation:
            self._old_incarnations.add(self.presence.incarnation)
            self.sequence = 0
        else:
            # Most presences leave out what seldom changes.
            known = known._replace(operator=presence.operator or self.known.operator)
            region = presence.region or self.presence.region
            load = presence.load or self.presence.load
            presence = replace(presence, region=region, load=load)
        self.presence = presence
        if presence.sequence > self.sequence:
            self.sequence = presence.sequence
            self.known = known
        self._mark_heard(now)

    def _mark_heard(self, now: float) -> None:
        self.last_heard_at = now
        self.heard_at = now
        self.suspected_at = None


class _Host:
    """An IP address at which a router may answer.

    Attributes:
        last_seen_at: Event-loop time at which a presence last came from it or listed
            it, seconds.
        last_probed_at: Event-loop time of the last probe, seconds.
    """

    def __init__(self, last_seen_at: float) -> None:
        self.last_seen_at = last_seen_at
        self.last_probed_at = float("-inf")


class Membership:
    """The known routers.

    Args:
        own_host: IP address of this router.
        seeds: IP addresses of some routers; they are never evicted.
        now: Event-loop time, seconds.
    """

    def __init__(self, own_host: str, seeds: Iterable[str], now: float) -> None:
        self._own_host = own_host
        self._seeds = frozenset(seeds)
        self._hosts = {host: _Host(now) for host in self._seeds}
        self._peers: dict[str, Peer] = {}
        self._by_host: dict[str, Peer] = {}
        self._live: list[Peer] | None = None
        self._watchers: list[str] = []
        self._watched_since: dict[str, float] = {}

    def live(self) -> list[Peer]:
        """Return the peers that were heard from recently."""
        if self._live is None:
            self._live = [peer for peer in self._peers.values() if peer.is_live]
        return self._live

    def known_hosts(self) -> list[str]:
        """Return the IP addresses at which routers may answer."""
        return sorted(self._hosts)

    def n_known(self, now: float) -> int:
        """Return the number of other routers that were live, or listed, lately.

        Seeds count until they have not answered for as long as others are kept.
        """
        return sum(
            address != self._own_host
            and (address in self._by_host or now - host.last_seen_at <= EVICT_AFTER_S)
            for address, host in self._hosts.items()
        )

    def by_host(self, host: str) -> Peer | None:
        """Return the peer at an IP address."""
        return self._by_host.get(host)

    def by_id(self, peer_id: str) -> Peer | None:
        """Return the peer with an id."""
        return self._peers.get(peer_id)

    def watchers(self, now: float) -> list[str]:
        """Return the IP addresses of the routers that watch this one."""
        self._update_ring(now)
        return self._watchers

    @property
    def presence_interval_s(self) -> float:
        """Return the time between presences to one peer, seconds."""
        return max(PRESENCE_MIN_INTERVAL_S, len(self.live()) / PRESENCES_PER_S)

    # -- what was received

    def apply_presence(self, presence: Presence, now: float) -> bool:
        """Apply a presence that is newer than what is known.

        Returns:
            Whether the router was not live before, or has restarted.
        """
        known = self._peers.get(presence.id)
        is_new = (
            known is None
            or not known.is_live
            or known.presence.incarnation != presence.incarnation
        )
        if known is None:
            known = self._peers[presence.id] = Peer(presence, now)
        else:
            if presence.host != known.presence.host:
                self._by_host.pop(known.presence.host, None)
            known.apply_presence(presence, now)
        self._by_host[presence.host] = known
        for host in (presence.host, *presence.peers):
            if host != self._own_host:
                self._hosts.setdefault(host, _Host(now)).last_seen_at = now
        if is_new:
            self.mark_live(known)
        return is_new

    def mark_live(self, peer: Peer) -> None:
        """Regard a peer as live."""
        peer.is_live = True
        self._handle_change()

    def forgive(self, seconds: float) -> None:
        """Disregard a time during which this process received nothing."""
        for peer in self.live():
            peer.last_heard_at += seconds
        for host in self._watched_since:
            self._watched_since[host] += seconds

    # -- detection of losses

    def is_isolated(self, now: float) -> bool:
        """Return whether no live peer was heard from recently."""
        live = self.live()
        newest = max((peer.last_heard_at for peer in live), default=now)
        return now - newest > ISOLATION_TIMEOUT_S

    def watches(self, peer: Peer) -> bool:
        """Return whether a peer sends its heartbeats to this router."""
        return peer.presence.host in self._watched_since

    def silent(self, now: float) -> list[Peer]:
        """Return the live peers that are to be suspected."""
        if self.is_isolated(now):
            return [peer for peer in self.live() if peer.suspected_at is None]
        self._update_ring(now)
        silent: list[Peer] = []
        for host, since in self._watched_since.items():
            peer = self._by_host.get(host)
            if peer is None or not peer.is_live or peer.suspected_at is not None:
                continue
            if now - max(peer.last_heard_at, since) > SILENCE_TIMEOUT_S:
                silent.append(peer)
        limit_s = MISSED_PRESENCES_LIMIT * self.presence_interval_s
        silent.extend(
            peer
            for peer in self.live()
            if peer.suspected_at is None
            and peer not in silent
            and now - peer.last_heard_at > limit_s
        )
        return silent

    def suspects(self) -> list[Peer]:
        """Return the live peers that are suspected to be lost."""
        return [peer for peer in self.live() if peer.suspected_at is not None]

    def mark_lost(self, peer: Peer) -> None:
        """Regard a peer as lost."""
        peer.is_live = False
        peer.suspected_at = None
        self._handle_change()

    # -- probes and eviction

    def hosts_to_probe(self, now: float, limit: int) -> list[str]:
        """Return addresses without a live router that are due for a probe."""
        due: list[str] = []
        for address, host in self._hosts.items():
            if len(due) == limit:
                break
            peer = self._by_host.get(address)
            if address == self._own_host or (peer is not None and peer.is_live):
                continue
            if now - host.last_probed_at >= PROBE_INTERVAL_S:
                host.last_probed_at = now
                due.append(address)
        return due

    def evict(self, now: float) -> None:
        """Remove peers and hosts unseen for long."""
        for peer_id, peer in list(self._peers.items()):
            if not peer.is_live and now - peer.last_heard_at > EVICT_AFTER_S:
                del self._peers[peer_id]
                if self._by_host.get(peer.presence.host) is peer:
                    del self._by_host[peer.presence.host]
        for address, host in list(self._hosts.items()):
            if now - host.last_seen_at > EVICT_AFTER_S and address not in self._seeds:
                del self._hosts[address]

    def _handle_change(self) -> None:
        self._live = None
        self._watchers = []

    def _update_ring(self, now: float) -> None:
        if self._watchers or not self.live():
            return
        ring = Ring(self._own_host, (peer.presence.host for peer in self.live()))
        self._watchers = ring.watchers()
        since = self._watched_since
        self._watched_since = {host: since.get(host, now) for host in ring.watched()}
