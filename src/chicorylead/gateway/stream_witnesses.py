"""Tells other routers where streams began, and asks them.

Load pattern: thousands of streams a second, of which few break off; when a router is
lost, all of its streams are taken up within a second or two, at any other router. Each
stream is told to two witnesses that any router finds by the key of the stream
(`vm.witnesses`), before its first event is forwarded, and nobody waits for them. Only a
take-up at a router that does not know the stream costs a question.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from chicorylead.ids import OriginMark, StreamKey, ZoneName
from chicorylead.metrics import Metrics
from chicorylead.outcome.stream_origins import KEY_BYTES, MARK_BYTES, StreamOrigins
from chicorylead.peer.datagram import BegunStreams, StreamAnswer, StreamQuestion
from chicorylead.peer.membership import Peer
from chicorylead.vm.heard_routers import HeardRouters
from chicorylead.vm.witnesses import Witness, WitnessRing

__all__ = ["StreamMessage", "StreamWitnesses"]

StreamMessage = BegunStreams | StreamQuestion | StreamAnswer

MAX_RING_AGE_S = 0.1
STREAMS_PER_DATAGRAM = 80  # below the size at which networks split datagrams
# All of a smaller fleet are asked at once.
MIN_ROUTERS_TO_SELECT = 8
# Several round trips between zones; whoever takes longer answers a later take-up.
ANSWER_TIMEOUT_S = 0.1
N_WAITS = 5  # into which it is divided
# Questions to all routers: each take-up of a stream that nobody began needs one.
ASK_ALL_INTERVAL_S = 0.25


class _Question:
    """A stream that is looked for.

    Attributes:
        asked: IP addresses of the routers that were asked.
        unanswered: Those of them that have not answered.
        changed: Set at each answer.
    """

    def __init__(self) -> None:
        self.asked: set[str] = set()
        self.unanswered: set[str] = set()
        self.changed = asyncio.Event()

    def add(self, hosts: Iterable[str]) -> None:
        """Record that routers are asked; one that has answered may be asked again."""
        new = set(hosts) - self.asked
        self.asked |= new
        self.unanswered |= new

    def record_answer(self, host: str) -> None:
        """Record that a router has answered."""
        self.unanswered.discard(host)
        self.changed.set()


class StreamWitnesses:
    """The exchange with the routers that remember where streams began.

    Args:
        origins: The streams that this router knows.
        peers: Returns the live peers.
        heard: Returns how many routers are heard, of those known lately.
        send: Sends a message to the routers at some IP addresses.
        clock: Returns the time of the event loop, seconds.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        peers: Callable[[], Sequence[Peer]],
        heard: Callable[[], HeardRouters],
        send: Callable[[Collection[str], StreamMessage], None],
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._origins = origins
        self._peers = peers
        self._heard = heard
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._ring = self._told_ring = WitnessRing([])
        self._ring_peers: Sequence[Peer] = []
        self._ring_is_ready: list[bool] = []
        self._ring_checked_at = float("-inf")
        self._questions: dict[StreamKey, _Question] = {}
        self._to_ask_all: list[StreamKey] = []
        self._asked_all_at = float("-inf")

    # -- telling

    def tell(self, key: StreamKey, mark: OriginMark) -> None:
        """Tell the witnesses of a stream where it began."""
        hosts = [witness.host for witness in self._current_ring().choose(key)]
        if hosts:
            self._send(hosts, BegunStreams([key + mark]))

    def tell_new_witnesses(self, streams: Mapping[StreamKey, OriginMark]) -> None:
        """Tell the witnesses that streams under way have got since the last call."""
        known, ring = self._told_ring, self._current_ring()
        if ring is known:
            return
        self._told_ring = ring
        to_tell: dict[str, list[bytes]] = {}
        for key, mark in streams.items():
            for witness in set(ring.choose(key)) - set(known.choose(key)):
                to_tell.setdefault(witness.host, []).append(key + mark)
        self._tell_all(to_tell)

    def hand_over(self) -> None:
        """Tell all that this router remembers, as it is about to stop."""
        ring = self._current_ring()
        to_tell: dict[str, list[bytes]] = {}
        for key, mark in self._origins.unambiguous():
            for witness in ring.choose(key):
                to_tell.setdefault(witness.host, []).append(key + mark)
        self._tell_all(to_tell)

    def _tell_all(self, to_tell: Mapping[str, Sequence[bytes]]) -> None:
        for host, streams in to_tell.items():
            self._metrics.count("streams.retold", len(streams))
            for first in range(0, len(streams), STREAMS_PER_DATAGRAM):
                part = list(streams[first : first + STREAMS_PER_DATAGRAM])
                self._send([host], BegunStreams(part))

    def _current_ring(self) -> WitnessRing:
        """Return the ring of the routers that callers may use, or of all without any.

        A router that is about to stop forgets soon.
        """
        now = self._clock()
        if now - self._ring_checked_at < MAX_RING_AGE_S:
            return self._ring
        self._ring_checked_at = now
        peers = self._peers()
        is_ready = [peer.presence.is_ready for peer in peers]
        # The list of live peers is another one after each change, and each restart.
        if peers is self._ring_peers and is_ready == self._ring_is_ready:
            return self._ring
        self._ring_peers, self._ring_is_ready = peers, is_ready
        ready = [peer for peer in peers if peer.presence.is_ready] or peers
        routers = frozenset(_witness(peer) for peer in ready)
        if routers != self._ring.routers:
            self._ring = WitnessRing(routers)
        return self._ring

    # -- asking

    async def ask(self, key: StreamKey) -> bool:
        """Ask others where a stream began, and remember what they know.

        Returns:
            Whether all routers that may know it have answered.
        """
        question = self._questions.get(key)
        if question is None:
            question = self._questions[key] = _Question()
            try:
                return await self._ask(key, question)
            finally:
                del self._questions[key]
        # Another take-up of the stream is asking.
        while self._questions.get(key) is question:
            await asyncio.sleep(ANSWER_TIMEOUT_S / 10)
        return not question.unanswered

    async def _ask(self, key: StreamKey, question: _Question) -> bool:
        live = {peer.presence.host for peer in self._peers()}
        if not live:
            # One that hears nobody may be cut off from those that know it.
            return self._heard().n_known == 0
        first = self._first_asked(key, live)
        question.add(first)
        self._metrics.count("streams.questions")
        self._send(first, StreamQuestion([key]))
        await self._wait(key, question)
        if self._is_known(key) or not question.unanswered | (live - first):
            return True
        await self._ask_all(key, question)
        return not question.unanswered

    def _first_asked(self, key: StreamKey, live: set[str]) -> set[str]:
        """Return the witnesses of a stream, for each choice that its router may make.

        The one that began it is no witness of its own, and may have missed that one of
        the others came or went.
        """
        if len(live) < MIN_ROUTERS_TO_SELECT:
            return live
        ring = self._current_ring()
        likely = ring.choose(key)
        likely += ring.choose(key, excluded=likely)
        return {witness.host for witness in likely}

    async def _ask_all(self, key: StreamKey, question: _Question) -> None:
        if not self._to_ask_all:
            due_at = self._asked_all_at + ASK_ALL_INTERVAL_S
            delay_s = max(0.0, due_at - self._clock())
            asyncio.get_running_loop().call_later(delay_s, self._send_to_all)
        self._to_ask_all.append(key)
        while key in self._to_ask_all:
            question.changed.clear()
            await question.changed.wait()
            if self._is_known(key):
                return
        await self._wait(key, question)

    def _send_to_all(self) -> None:
        self._asked_all_at = self._clock()
        keys, self._to_ask_all = self._to_ask_all, []
        hosts = {peer.presence.host for peer in self._peers()}
        wanted = [key for key in keys if key in self._questions]
        self._metrics.count("streams.questions_to_all")
        for first in range(0, len(wanted), STREAMS_PER_DATAGRAM):
            part = list(wanted[first : first + STREAMS_PER_DATAGRAM])
            self._send(hosts, StreamQuestion(part))
        for key in wanted:
            self._questions[key].add(hosts)
            self._questions[key].changed.set()

    async def _wait(self, key: StreamKey, question: _Question) -> None:
        """Wait until a stream is known, or all have answered, or will not.

        The time is counted in parts: after a pause of this process, the answers that
        have come meanwhile are read before the next part ends.
        """
        n_left = N_WAITS
        while n_left and question.unanswered and not self._is_known(key):
            question.changed.clear()
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S / N_WAITS):
                    await question.changed.wait()
            except TimeoutError:
                n_left -= 1
        if not n_left:
            self._metrics.count("streams.unanswered", len(question.unanswered))

    def _is_known(self, key: StreamKey) -> bool:
        return self._origins.find(key) is not None

    # -- messages

    def handle(self, message: StreamMessage, sender: str) -> None:
        """Handle a message.

        Args:
            message: The message.
            sender: IP address of the router that sent it.
        """
        match message:
            case BegunStreams(streams=streams):
                self._learn(streams, sender)
            case StreamQuestion(keys=keys):
                self._answer(keys, sender)
            case StreamAnswer(streams=streams, unknown=unknown):
                self._learn(streams, sender)
                for key in (*unknown, *(stream[:KEY_BYTES] for stream in streams)):
                    question = self._questions.get(StreamKey(key))
                    if question is not None:
                        question.record_answer(sender)

    def _learn(self, streams: Iterable[bytes], sender: str) -> None:
        for stream in streams:
            if len(stream) != KEY_BYTES + MARK_BYTES:
                self._metrics.count("streams.malformed")
                continue
            key = StreamKey(stream[:KEY_BYTES])
            self._origins.record(key, OriginMark(stream[KEY_BYTES:]), sender)
            # It may have been on its way while the question was asked.
            if key in self._questions:
                self._questions[key].changed.set()

    def _answer(self, keys: Iterable[bytes], sender: str) -> None:
        streams: list[bytes] = []
        unknown: list[bytes] = []
        for key in keys:
            origin = self._origins.find(StreamKey(key))
            if origin is None:
                unknown.append(key)
            else:
                streams.append(key + origin.mark)
        self._send([sender], StreamAnswer(streams, unknown))


def _witness(peer: Peer) -> Witness:
    presence = peer.presence
    return Witness(presence.host, presence.incarnation, ZoneName(presence.zone))
