"""Notice that upstreams crashed while they ran a request."""

from msgspec import Struct
from msgspec.structs import replace

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
        spans_ms: Of each crash, the time since the request was sent, and since the
            crash was noticed, milliseconds; empty from an earlier release.
    """

    fingerprint: str
    crashes: list[str]
    cleared: list[str]
    ttl_s: float
    n_trials: int = 0
    n_trials_cleared: int = 0
    spans_ms: list[tuple[int, int] | None] = []

    def aged(self, age_ms: int) -> "PoisonNotice":
        """Return the notice some milliseconds later."""
        return replace(
            self,
            ttl_s=max(0.0, self.ttl_s - age_ms / 1000),
            spans_ms=[
                span and (span[0] + age_ms, span[1] + age_ms) for span in self.spans_ms
            ],
        )
