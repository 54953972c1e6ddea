"""Decides when a router may send to upstreams that take a limited rate.

Upstreams state a limit in answers, or are cold for some time after their start. The
division of what cold ones tolerate is in `admission.cold_shares`.

Load pattern: an upstream takes a few requests a second from all routers together, and
each of up to hundreds of routers has requests for it. An equal part for each router
would leave unused what some do not need, and is far below one request in the time over
which the upstream counts. All routers therefore count the sends of all. A permit is one
more send that the upstream takes. A report takes some milliseconds, in which several
routers may take the same permit; so they take turns in sending for organisations beyond
their share. The router that has sent to the upstream least recently may take a permit
at once, the next one after it has been left for some time. Only a few routers, the
same in the view of all, send to an upstream with a low limit, so that few can take the
same permit. The others send to other upstreams.

Load pattern: one organisation sends many times its usual amount to upstreams that are
limited. They run few requests and have no queue, which would admit all that comes. The
more an organisation has used its share, the longer it leaves a permit to others, at any
router: the callers of one organisation may all use one.
"""

from collections.abc import Callable, Collection, Iterable

from chicorylead.admission.cold_shares import ColdShares
from chicorylead.ids import RouterId
from chicorylead.upstream.intake import Intake
from chicorylead.upstream.live import LiveUpstream
from chicorylead.vm.rendezvous import hash64, mix

__all__ = ["Permits"]

TURN_S = 0.4  # after it, any of the routers may take a permit
OVER_SHARE_S = 0.1  # several times what reports between routers take
MAX_SHARE_USE = 5.0  # bounds the delay to half a second
TURN_EXCESS = 0.25  # use beyond the share from which turns hold in full
MIN_HOLDERS = 2  # an upstream keeps getting requests when a router is lost
ROUNDS = 2.0  # of turns; a router that sent nothing for so long has no requests
ROUTERS_AGE_S = 0.1  # a tenth of the time in which the loss of a router is noticed


class Permits:
    """Decides when this router may send to a limited or cold upstream.

    Args:
        own: Id of this router.
        peers: Returns the ids of the routers that tell this one of their sends.
        cold: Divides what cold upstreams tolerate.
        clock: Event-loop time, seconds.
    """

    def __init__(
        self,
        own: RouterId,
        peers: Callable[[], Iterable[str]],
        cold: ColdShares,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._peers = peers
        self._cold = cold
        self._clock = clock
        self._hashes: dict[str, int] = {}
        self._holders_of: dict[tuple[int, int], Collection[str]] = {}
        self._updated_at = float("-inf")

    def wait_s(self, upstream: LiveUpstream, share_use: float) -> float:
        """Return the time until a request may be sent, seconds; infinite for never.

        Args:
            upstream: The upstream.
            share_use: How far the organisation has used its share: 1 at the full share.
        """
        intake = upstream.intake
        limited_s = 0.0
        if intake.limit is not None:
            limited_s = self._limited_s(upstream, share_use)
        if intake.warm_up.rule.per_s <= 0:
            return limited_s
        self._cold.record_demand(upstream.entry.service)
        if not intake.warm_up.is_cold(self._clock()):
            return limited_s
        # Other organisations may use a permit at this router alone, which is why one
        # waits only for those beyond their share, and not for long.
        delay_s = OVER_SHARE_S * _excess(share_use)
        return max(limited_s, self._cold.wait_s(upstream) + delay_s)

    def per_s(self, upstream: LiveUpstream) -> float | None:
        """Return what an upstream takes a second from all routers; None for any."""
        intake = upstream.intake
        rates = [] if intake.limit is None else [intake.limit.per_s]
        if intake.warm_up.is_cold(self._clock()):
            rates.append(intake.warm_up.rule.per_s)
        return min(rates, default=None)

    def expected_s(self, upstream: LiveUpstream, share_use: float) -> float:
        """Return the time until a permit is expected at any router, seconds.

        It is infinite for a limited upstream to which only other routers send.
        """
        if not upstream.intake.warm_up.is_cold(self._clock()):
            return self.wait_s(upstream, share_use)
        return self._cold.expected_s(upstream)

    def _limited_s(self, upstream: LiveUpstream, share_use: float) -> float:
        intake = upstream.intake
        holders = self._holders(upstream.id_hash, n_holders(intake.limit.per_s))
        if self._own not in holders:
            return float("inf")
        turn_s = TURN_S * self._position(intake, holders) / len(holders)
        # An organisation below its share may be behind because its callers use few
        # routers, whose turns are soon over.
        delay_s = _excess(share_use) * turn_s
        delay_s += OVER_SHARE_S * min(share_use, MAX_SHARE_USE)
        return max(0.0, intake.limit.wait_s(self._clock()) + delay_s)

    @property
    def n_routers(self) -> int:
        """Return the number of routers that share the permits, with this one."""
        self._update_routers()
        return len(self._hashes)

    def _holders(self, upstream_hash: int, n: int) -> Collection[str]:
        """Return the routers that send to an upstream."""
        self._update_routers()
        if len(self._hashes) <= n:
            return self._hashes
        holders = self._holders_of.get((upstream_hash, n))
        if holders is None:
            order = sorted((mix(h, upstream_hash), r) for r, h in self._hashes.items())
            holders = self._holders_of[upstream_hash, n] = [r for _, r in order[:n]]
        return holders

    def _position(self, intake: Intake, holders: Collection[str]) -> int:
        """Return the number of routers whose turn comes before this one's."""
        sends = intake.sends
        round_s = len(holders) / intake.limit.per_s
        since = self._clock() - ROUNDS * round_s
        return sum(
            since <= sends.peer_sent_at(holder) < sends.own_sent_at
            for holder in holders
        )

    def _update_routers(self) -> None:
        now = self._clock()
        if now - self._updated_at < ROUTERS_AGE_S:
            return
        self._updated_at = now
        names = {self._own, *self._peers()}
        if names != self._hashes.keys():
            self._hashes = {name: hash64(name) for name in names}
            self._holders_of.clear()


def n_holders(limit_per_s: float) -> int:
    """Return the number of routers that may send to an upstream.

    If all of them take the same permit, the excess is one second of the limit at most.
    """
    return MIN_HOLDERS + int(limit_per_s)


def _excess(share_use: float) -> float:
    """Return how far an organisation is beyond its share, 0 to 1."""
    return min(max(0.0, (share_use - 1.0) / TURN_EXCESS), 1.0)
