"""Which live peers have shown lately that they are alive.

Failure: a router is lost while another one is frozen or cut off from those that notice
the loss. They have told everybody else; this one goes on to regard the lost router as
live until its presence is overdue, which takes minutes in a large fleet, and sends
callers to it. What it reads first after a pause was sent before, by whoever has been
lost since.

Callers are therefore told only of peers that are confirmed. Peers that are about to be
named and were not heard lately are probed.
"""

from collections.abc import Iterable

from chicorylead.peer.membership import Peer

__all__ = ["Confirmation"]

# With the wait for an answer, well below the 6 s after which no lost router is named.
MAX_UNHEARD_S = 2.5
REFRESH_S = 1.5  # answers to probes come before the limit, so that nobody waits
# Most routers that serve hear each other more often than that, without a probe.
PROBE_PAUSE_S = 0.25
# Shorter pauses cannot make a router too late. They come with the load of a machine.
LONG_PAUSE_S = 1.5
# The datagrams that wait in a socket's buffer, some hundreds, are read within it.
STALE_INPUT_S = 0.3


class Confirmation:
    """Decides whose signs of life count.

    Args:
        now: Event-loop time, seconds.
    """

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self.trusted_from = float("-inf")

    def record_tick(self, now: float) -> None:
        """Record that this process runs; called several times a second."""
        self.detect_pause(now)
        self._ticked_at = now

    def detect_pause(self, now: float) -> None:
        """Disregard what was heard before the end of a long pause of this process.

        Called before anything is concluded from what was heard, as the first tick after
        a pause may come later.
        """
        if now - self._ticked_at > LONG_PAUSE_S:
            self._ticked_at = now
            self.trusted_from = now + STALE_INPUT_S

    def is_input_stale(self, now: float) -> bool:
        """Return whether what arrives now may have been sent long ago."""
        self.detect_pause(now)
        return now < self.trusted_from

    def is_confirmed(self, peer: Peer, now: float) -> bool:
        """Return whether a peer was heard lately."""
        self.detect_pause(now)
        return peer.heard_at >= max(self.trusted_from, now - MAX_UNHEARD_S)

    def due(self, peers: Iterable[Peer], now: float) -> list[Peer]:
        """Return the peers that are to be probed now, and note that they are."""
        self.detect_pause(now)
        since = max(self.trusted_from, now - REFRESH_S)
        due = [
            peer
            for peer in peers
            if peer.heard_at < since and now - peer.probed_at >= PROBE_PAUSE_S
        ]
        for peer in due:
            peer.probed_at = now
        return due
