"""What a gateway tells its peers about itself, and what it does with their reports."""

from collections.abc import Callable, Collection, Sequence

from chicorylead.gateway.cold_monitor import ColdMonitor
from chicorylead.gateway.notices import NoticeRecorder
from chicorylead.gateway.peer_state import PeerState
from chicorylead.gateway.records_age import RecordsAge
from chicorylead.gateway.serving_routers import ServingRouters
from chicorylead.gateway.settings import GatewaySettings
from chicorylead.gateway.stream_witnesses import StreamMessage
from chicorylead.outcome.crash_news import CrashNews
from chicorylead.outcome.poison import PoisonList
from chicorylead.outcome.prompt_quarantine import PromptQuarantine
from chicorylead.peer.datagram import (
    Beacon,
    ColdReport,
    Heartbeat,
    NoticeReport,
    Presence,
    StateDelta,
    UsageReport,
)
from chicorylead.peer.membership import Peer
from chicorylead.traffic.stream import KnownRecords, Stream

__all__ = ["GatewayRouter"]

MAX_SUSPECTS_SENT = 20  # keeps beacons small; the newest matter most
MAX_SUSPECTS_TOLD = 100  # to a router that has just started
# Beacons go on for some time after the last request, as any of them may be lost.
STATE_HOLD_S = 3.0
MAX_AGE_S = 1e6  # an age that stands for no records at all


class GatewayRouter:
    """The `LocalRouter` of a gateway.

    Args:
        cfg: Settings of this router.
        incarnation: Differs at each start.
        state: Work and usage at this router and at its peers.
        serving: The routers that callers are told to use.
        records_age: Time since the records were known to be current.
        poison: Requests under which upstreams crashed.
        quarantine: Prompt parts under which engines crashed.
        notices: What upstreams state about the work that they take.
        cold: Cold upstreams, and the routers that may send to them.
        known: Returns how far this router knows the streams.
        on_news: Called when a peer knows records that this router lacks.
        clock: Returns the time of the event loop, seconds.

    Attributes:
        on_streams: Called with what a router tells or asks about streams, and its IP
            address.
        on_crash_news: Called with the news of crashes that peers are told.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        incarnation: int,
        state: PeerState,
        serving: ServingRouters,
        records_age: RecordsAge,
        poison: PoisonList,
        quarantine: PromptQuarantine,
        notices: NoticeRecorder,
        cold: ColdMonitor,
        known: Callable[[], KnownRecords],
        on_news: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._state = state
        self._serving = serving
        self._records_age = records_age
        self._poison = poison
        self._quarantine = quarantine
        self._notices = notices
        self._cold = cold
        self._known = known
        self._on_news = on_news
        self._clock = clock
        self._had_state_at = float("-inf")
        self.on_streams: Callable[[StreamMessage, str], None] = lambda *_: None
        self.on_crash_news: Callable[[CrashNews], None] = lambda news: None

    def make_presence(self, sequence: int, peers: list[str]) -> Presence:
        """Return the presence of this router."""
        known = self._known()
        return Presence(
            id=self._cfg.id,
            host=self._cfg.peers[0],
            incarnation=self._incarnation,
            sequence=sequence,
            zone=self._cfg.zone,
            callers="{}:{}".format(*self._cfg.callers),
            control="{}:{}".format(*self._cfg.control),
            cores=self._cfg.cores,
            is_ready=self._serving.is_ready,
            requests_per_s=round(self._serving.arrivals.per_s(self._clock()), 1),
            known=known.without_operator,
            peers=peers,
            operator=known.reported_operator,
            region=self._cfg.region,
        )

    def make_beacon(self, presence: Presence) -> Beacon:
        """Return the state of this router."""
        return Beacon(
            presence,
            self._state.local_work(),
            self._state.local_usage(),
            self._poison.notices(MAX_SUSPECTS_SENT),
            self._quarantine.crash_reports(),
        )

    def known_records(self) -> KnownRecords:
        """Return how far this router knows the streams."""
        return self._known()

    def records_age_s(self) -> float:
        """Return the time since this router's records were known to be current."""
        return min(self._records_age.seconds(), MAX_AGE_S)

    def pop_changed_usage(self) -> list[UsageReport]:
        """Return the usage that changed since the last call."""
        return self._state.pop_changed_usage()

    def pop_answered_parts(self) -> list[bytes]:
        """Return the prompt parts that peers may not know to be answered."""
        return self._quarantine.pop_answered()

    def make_crash_news(self) -> CrashNews:
        """Return the news of crashes since the last call."""
        news = self._state.make_crash_news(self._incarnation)
        self.on_crash_news(news)
        return news

    def known_crashes(self) -> CrashNews:
        """Return all that is known of crashes, for a router that has just started."""
        crashes = self._quarantine.crash_reports()
        suspects = self._poison.notices(MAX_SUSPECTS_TOLD)
        return CrashNews(self._incarnation, crashes, [], [], suspects)

    def apply_crash_news(self, peer: str, news: CrashNews) -> None:
        """Apply a live peer's news of crashes."""
        self._state.apply_crash_news(peer, news)

    def news_of_notices(self) -> list[NoticeReport]:
        """Return what upstreams stated in the last moments."""
        return self._notices.news()

    def current_notices(self) -> list[NoticeReport]:
        """Return what upstreams stated that holds, for a router that has started."""
        return self._notices.current()

    def apply_notices(self, peer: str, reports: Sequence[NoticeReport]) -> None:
        """Apply what upstreams stated in answers to a live peer."""
        self._notices.apply_reports(peer, reports)

    def refresh_claims(self) -> None:
        """Take note of the routers that are heard now."""
        self._cold.shares.refresh()

    def make_claims(self, is_broadcast: bool) -> list[str]:
        """Return the services whose cold upstreams this router has requests for."""
        return self._cold.shares.make_claims(is_broadcast)

    def claimants(self) -> Collection[str]:
        """Return the ids of the peers that hear each claim."""
        return self._cold.shares.claimants()

    def has_new_claim(self) -> bool:
        """Return whether all live peers are to hear the claims."""
        return self._cold.shares.is_settling()

    def cold_reports(self) -> list[ColdReport]:
        """Return what was observed lately of upstreams that started again."""
        return self._cold.reports()

    def apply_claims(
        self, peer: str, claims: Sequence[str], cold: Sequence[ColdReport]
    ) -> None:
        """Apply the claims of a live peer, and what it observed of upstreams."""
        self._cold.shares.apply_claims(peer, claims)
        self._cold.apply_reports(peer, cold)

    def handle_streams(self, message: StreamMessage, sender: str) -> None:
        """Handle what a router tells or asks about streams."""
        self.on_streams(message, sender)

    def is_serving(self, peer: Peer) -> bool:
        """Return whether callers are told to use a peer."""
        return self._serving.is_serving(peer)

    def has_state(self) -> bool:
        """Return whether this router's state matters to others.

        What it knows of crashes does not count: all routers know that, and those that
        stand by would all send beacons.
        """
        now = self._clock()
        if self._state.is_active():
            self._had_state_at = now
        return now - self._had_state_at < STATE_HOLD_S

    def apply_beacon(self, beacon: Beacon) -> None:
        """Replace the state of a peer."""
        self._learn_known(beacon.presence.records)
        self._state.apply_beacon(beacon)

    def apply_delta(self, peer: str, delta: StateDelta) -> None:
        """Apply changes of the state of a live peer."""
        self._state.apply_delta(peer, delta)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Learn from a peer how current the records are."""
        if not self._learn_known(heartbeat.records):
            self._records_age.learn(heartbeat.records_age_ms / 1000)

    def drop_peer(self, peer: str) -> None:
        """Remove the state of a lost peer."""
        self._serving.handle_change()
        self._state.drop_peer(peer)

    def _learn_known(self, theirs: KnownRecords) -> bool:
        """Learn how far a peer knows the streams; return whether this router lacks any.

        Records that are current at the peer are then not current here.
        """
        own = self._known()
        is_behind = any(theirs.is_ahead_of(own, stream) for stream in Stream)
        if is_behind:
            self._on_news()
        return is_behind
