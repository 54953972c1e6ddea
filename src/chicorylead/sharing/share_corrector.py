"""Correct shares at the root by each organisation's lag in virtual time.

The water level splits slots by current demand only. Service that an organisation
missed or had in excess earlier is compensated by raising or lowering its share while
it is backlogged. The correction is slow compared with the delay of reports, which
damps it.
"""

from dataclasses import dataclass, field

__all__ = ["ShareCorrector", "OrganisationUsage"]

HORIZON_S = 4.0
HORIZON_DELAYS = 3.0
MAX_FACTOR = 2.0
MIN_FACTOR = 0.05
RATE_SMOOTHING = 0.3
UNIT_FACTOR = 1.0


@dataclass(frozen=True, slots=True)
class OrganisationUsage:
    """Usage of one organisation in a round of reports.

    Attributes:
        share: Share of the organisation.
        served: Service over the whole fleet, in cost units; monotonic.
        outstanding: Charged cost of requests in flight, not yet delivered.
        is_backlogged: Whether its demand exceeds its allowance.
    """

    share: float
    served: int
    outstanding: int
    is_backlogged: bool


@dataclass(slots=True)
class ShareCorrector:
    """Virtual times over the whole fleet, and the share factors derived from them.

    Attributes:
        virtual_time: Mean of the backlogged organisations, weighted by share.
    """

    virtual_time: float = 0.0
    _times: dict[int, float] = field(default_factory=dict)
    _served: dict[int, int] = field(default_factory=dict)
    _rate: float = 0.0
    _updated_at: float | None = None

    def update(
        self, usages: dict[int, OrganisationUsage], now: float, delay_s: float
    ) -> dict[int, float]:
        """Apply a round of reports and return share factors of the backlogged.

        Args:
            usages: Usage of each reported organisation, by organisation number.
            now: Event-loop time, seconds.
            delay_s: Time that a report takes to the root and back, seconds.
        """
        before = self.virtual_time
        for number, usage in usages.items():
            self._advance(number, usage)
        backlogged = {n: u for n, u in usages.items() if u.is_backlogged}
        weight = sum(usage.share for usage in backlogged.values())
        committed = 0.0
        if weight:
            total = sum(u.share * self._times[n] for n, u in backlogged.items())
            self.virtual_time = max(before, total / weight)
            committed = sum(u.outstanding for u in backlogged.values()) / weight
        self._update_rate(self.virtual_time - before, now)
        for number, usage in usages.items():
            if not usage.is_backlogged:
                # Without a backlog it gains no credit, but excess service still counts.
                time = self._times[number]
                self._times[number] = max(time, self.virtual_time)
        horizon_s = HORIZON_S + HORIZON_DELAYS * delay_s
        return {
            number: self._factor(
                self.virtual_time
                + committed
                - self._times[number]
                - usage.outstanding / usage.share,
                horizon_s,
            )
            for number, usage in backlogged.items()
        }

    def _advance(self, number: int, usage: OrganisationUsage) -> None:
        growth = usage.served - self._served.get(number, usage.served)
        self._served[number] = usage.served
        time = self._times.get(number, self.virtual_time)
        self._times[number] = time + max(0, growth) / usage.share

    def _update_rate(self, growth: float, now: float) -> None:
        if self._updated_at is not None and now > self._updated_at:
            rate = growth / (now - self._updated_at)
            self._rate += RATE_SMOOTHING * (rate - self._rate)
        self._updated_at = now

    def _factor(self, lag: float, horizon_s: float) -> float:
        if self._rate <= 0:
            return UNIT_FACTOR
        factor = UNIT_FACTOR + lag / (self._rate * horizon_s)
        return min(MAX_FACTOR, max(MIN_FACTOR, factor))
