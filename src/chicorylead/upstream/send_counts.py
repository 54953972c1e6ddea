"""Requests sent to one upstream, by this router and by its peers."""

from collections import deque

from chicorylead.upstream.warm_up import PermitWindow

__all__ = ["RECENT_S", "SendCounts"]

RECENT_S = 1.0  # an upstream that names a limit still works on the requests of so long


class SendCounts:
    """Counts the sends of all routers.

    Peers report totals, so that a lost report is made up for by the next.

    Attributes:
        own: Number of requests sent by this router.
        own_sent_at: Event-loop time of its last one, seconds.
        permits: Permits taken for it while it was cold, over all its incarnations.
    """

    def __init__(self) -> None:
        self.own = 0
        self.own_sent_at = float("-inf")
        self.permits = PermitWindow()
        self._peers: dict[str, int] = {}
        self._peer_sent_at: dict[str, float] = {}
        self._recent: deque[tuple[float, int, bool]] = deque()

    def record_own(self, now: float) -> None:
        """Record a send of this router."""
        self.own += 1
        self.own_sent_at = now
        self._add_recent(1, now, is_own=True)

    def set_peer(self, peer: str, n_sent: int, now: float) -> int:
        """Apply the total of a peer; return the number of its new sends.

        A total below the known one was overtaken on its way.
        """
        # What it sent before this router heard of it is unknown.
        known = self._peers.get(peer, max(n_sent - 1, 0))
        n_new = max(0, n_sent - known)
        self._peers[peer] = max(n_sent, known)
        if n_new > 0:
            self._peer_sent_at[peer] = now
            self._add_recent(n_new, now, is_own=False)
        return n_new

    def drop_peer(self, peer: str) -> None:
        """Forget the total of a peer that was lost, as it may start again at 0."""
        self._peers.pop(peer, None)
        self._peer_sent_at.pop(peer, None)

    def peer_sent_at(self, peer: str) -> float:
        """Return when a peer's last send was reported, seconds; -inf for never."""
        return self._peer_sent_at.get(peer, float("-inf"))

    def n_recent(self, now: float) -> int:
        """Return the number of sends of all routers within the last `RECENT_S`."""
        self._expire(now)
        return sum(n for _, n, _ in self._recent)

    def n_own_recent(self, now: float) -> int:
        """Return the number of this router's sends within the last `RECENT_S`."""
        self._expire(now)
        return sum(n for _, n, is_own in self._recent if is_own)

    def _add_recent(self, n: int, now: float, is_own: bool) -> None:
        self._expire(now)
        self._recent.append((now, n, is_own))

    def _expire(self, now: float) -> None:
        while self._recent and self._recent[0][0] < now - RECENT_S:
            self._recent.popleft()
