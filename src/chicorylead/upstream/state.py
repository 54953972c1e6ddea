"""Measurements and health of one upstream, as this router sees it."""

from dataclasses import dataclass
from enum import Enum

from chicorylead.records.model import Upstream

__all__ = ["Health", "UpstreamState"]

SMOOTHING = 0.2
EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 1.0
EJECT_CAP_S = 30.0


class Health(Enum):
    """Whether requests may be sent to an upstream."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(slots=True)
class UpstreamState:
    """Measurements and health of one upstream.

    Attributes:
        address: Current address; the platform's list may override the record.
        first_byte_s: Smoothed time to the first byte, seconds; 0 when unknown.
        token_s: Smoothed time between events, seconds; 0 when unknown.
        n_in_flight: Exchanges of this router.
        reported_active: Requests at the upstream by its last report, which is late.
        reported_at: Event-loop time of that report, seconds.
    """

    record: Upstream
    address: str
    first_byte_s: float = 0.0
    token_s: float = 0.0
    n_in_flight: int = 0
    n_failures: int = 0
    n_ejections: int = 0
    ejected_until: float = 0.0
    health: Health = Health.HEALTHY
    reported_active: int = 0
    reported_at: float = float("-inf")
    n_served: int = 0

    def record_first_byte(self, seconds: float) -> None:
        """Record a measured time to the first byte."""
        self.first_byte_s = _smoothed(self.first_byte_s, seconds)

    def record_token_time(self, seconds: float) -> None:
        """Record a measured time between events."""
        self.token_s = _smoothed(self.token_s, seconds)

    def record_success(self) -> None:
        """Record a successful exchange."""
        self.n_served += 1
        self.n_failures = 0
        self.n_ejections = max(0, self.n_ejections - 1)
        self.health = Health.HEALTHY

    def record_failure(self, now: float, may_eject: bool) -> bool:
        """Record a failed exchange; return whether the upstream is ejected now."""
        self.n_failures += 1
        is_probe = self.health is Health.PROBING
        if not may_eject or not (is_probe or self.n_failures >= EJECT_AFTER_FAILURES):
            return False
        self.n_ejections += 1
        ejected_s = min(EJECT_CAP_S, EJECT_BASE_S * 2 ** (self.n_ejections - 1))
        self.ejected_until = now + ejected_s
        self.health = Health.EJECTED
        return True

    def is_open(self, now: float) -> bool:
        """Return whether a request may be sent; half-open allows a single one."""
        match self.health:
            case Health.HEALTHY:
                return True
            case Health.PROBING:
                return False
            case Health.EJECTED:
                return now >= self.ejected_until

    def record_dispatch(self) -> None:
        """Record that a request is sent; an ejected upstream is now probing."""
        if self.health is Health.EJECTED:
            self.health = Health.PROBING


def _smoothed(old: float, new: float) -> float:
    return new if old == 0.0 else old + SMOOTHING * (new - old)
