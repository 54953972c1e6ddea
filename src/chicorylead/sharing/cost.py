"""Predict the cost of a request from the costs of earlier similar requests.

With too few samples from the organisation itself, the prediction uses the costs of
all organisations for the same operation and size class.
"""

from dataclasses import dataclass, field
from math import exp, log

from chicorylead.ids import OrganisationId

__all__ = ["CostModel", "CostEstimate"]

SMOOTHING = 0.1
MIN_SAMPLES = 3
MAX_MEANS = 20_000
LONG_RATIO = 4.0
CHARGE_RATIO = 3.0
ANY_ORGANISATION = ""


@dataclass(slots=True)
class _RunningMean:
    """Exponential moving mean of log cost; a plain mean for the first samples."""

    n_samples: int = 0
    mean_log: float = 0.0
    mean_sq_dev: float = 0.0

    def add(self, cost: float) -> None:
        value = log(max(cost, 1e-3))
        self.n_samples += 1
        rate = max(SMOOTHING, 1.0 / self.n_samples)
        deviation = value - self.mean_log
        self.mean_log += rate * deviation
        self.mean_sq_dev += rate * (deviation * deviation - self.mean_sq_dev)

    @property
    def typical(self) -> float:
        return exp(self.mean_log)


@dataclass(frozen=True, slots=True)
class CostEstimate:
    """Expected cost of a request.

    Attributes:
        cost: Expected cost, in cost units.
        initial_charge: Cost charged when a slot is granted. The rest is charged as it
            is delivered, so that a long request occupies one slot for long without
            costing its organisation the other slots.
        is_long: Whether it is expected to hold a slot much longer than most.
        long_threshold: Delivered cost above which a request is treated as long,
            whatever its expected cost.
    """

    cost: float
    initial_charge: float
    is_long: bool
    long_threshold: float


@dataclass(slots=True)
class CostModel:
    """Learns costs by organisation, operation and size class of the hint.

    Attributes:
        prior: Expected cost of a typical request before there are enough samples.
    """

    prior: float
    _means: dict[tuple[str, str, int], _RunningMean] = field(default_factory=dict)
    _all: _RunningMean = field(default_factory=_RunningMean)

    def predict(
        self, organisation: OrganisationId, operation: str, hint: float | None
    ) -> CostEstimate:
        """Return the expected cost of a request.

        Args:
            organisation: Organisation that sends it.
            operation: Operation of the service.
            hint: The caller's own estimate, in cost units; used as the expected cost
                only while there are too few samples.
        """
        size_class = _size_class(hint)
        own = self._means.get((organisation, operation, size_class))
        common = self._means.get((ANY_ORGANISATION, operation, size_class))
        for mean in (own, common):
            if mean is not None and mean.n_samples >= MIN_SAMPLES:
                return self._estimate(mean.typical)
        if hint is not None and hint > 0:
            return self._estimate(hint)
        return self._estimate(self._typical())

    def _estimate(self, cost: float) -> CostEstimate:
        typical = self._typical()
        initial_charge = min(cost, CHARGE_RATIO * typical)
        long_threshold = LONG_RATIO * typical
        return CostEstimate(cost, initial_charge, cost > long_threshold, long_threshold)

    def observe(
        self,
        organisation: OrganisationId,
        operation: str,
        hint: float | None,
        cost: float,
    ) -> None:
        """Record the observed cost of a request."""
        size_class = _size_class(hint)
        self._mean_for((organisation, operation, size_class)).add(cost)
        self._mean_for((ANY_ORGANISATION, operation, size_class)).add(cost)
        self._all.add(cost)

    def _mean_for(self, key: tuple[str, str, int]) -> _RunningMean:
        mean = self._means.get(key)
        if mean is None:
            if len(self._means) >= MAX_MEANS:
                self._means.pop(next(iter(self._means)))
            mean = self._means[key] = _RunningMean()
        return mean

    def _typical(self) -> float:
        return self._all.typical if self._all.n_samples >= MIN_SAMPLES else self.prior


def _size_class(hint: float | None) -> int:
    """Return the binary order of magnitude of a hint; -1 without one."""
    return -1 if hint is None or hint <= 0 else int(hint).bit_length()
