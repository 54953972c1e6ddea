"""Notice that upstreams crashed while they ran a request."""

from msgspec import Struct

__all__ = ["PoisonNotice"]


class PoisonNotice(Struct, frozen=True, array_like=True, tag="p"):
    """Crashes of upstreams while they ran one request.

    Attributes:
        fingerprint: Digest that identifies the request.
        crashes: Ids of the crashes: upstream, separator and number.
        cleared: Ids of crashes not caused by the request, as it later completed.
        ttl_s: How long the notice is in force, seconds.
        n_trials: Trials of the request since it was first blocked.
        n_trials_cleared: Number of these up to the last one that was answered.
    """

    fingerprint: str
    crashes: list[str]
    cleared: list[str]
    ttl_s: float
    n_trials: int = 0
    n_trials_cleared: int = 0
