"""Work in flight at an upstream, by this router and by each peer."""

from dataclasses import dataclass

__all__ = ["NO_WORK", "Work", "WorkLedger"]


@dataclass(frozen=True, slots=True)
class Work:
    """Work of some requests at one upstream; no tokens are held without a request.

    Attributes:
        held_tokens: Tokens that the requests will hold in memory.
        n_requests: Requests in flight.
    """

    held_tokens: float = 0.0
    n_requests: int = 0

    def __add__(self, other: "Work") -> "Work":
        return Work(
            self.held_tokens + other.held_tokens,
            self.n_requests + other.n_requests,
        )

    def __sub__(self, other: "Work") -> "Work":
        return Work(
            max(0.0, self.held_tokens - other.held_tokens),
            max(0, self.n_requests - other.n_requests),
        )


NO_WORK = Work()


class WorkLedger:
    """Work in flight at one upstream, from this router and its peers.

    Attributes:
        own: Work of this router's requests.
    """

    def __init__(self) -> None:
        self.own = NO_WORK
        self._peers: dict[str, Work] = {}
        self._peers_sum = NO_WORK

    def set_peer(self, peer: str, work: Work) -> None:
        """Replace the work of a peer."""
        previous = self._peers.get(peer, NO_WORK)
        if work == previous:
            return
        if work.n_requests == 0:
            work = NO_WORK
            self._peers.pop(peer, None)
        else:
            self._peers[peer] = work
        self._peers_sum = self._peers_sum + work - previous

    @property
    def n_requests(self) -> int:
        """Return the number of requests in flight from all routers."""
        return self.own.n_requests + self._peers_sum.n_requests

    @property
    def held_tokens(self) -> float:
        """Return the tokens held in memory for the requests of all routers."""
        return self.own.held_tokens + self._peers_sum.held_tokens
