"""Estimates of the work that a request puts on an upstream before it has run."""

from dataclasses import dataclass

from chicorylead.ids import PoolName, ServiceName
from chicorylead.traffic.request import Prompt
from chicorylead.upstream.work import Work

__all__ = [
    "ENGINES",
    "GENERATED_WEIGHT",
    "PoolDemand",
    "expected_output_tokens",
    "expected_work",
    "pool_demand",
]

ENGINES = PoolName("engines")
GENERATED_WEIGHT = 2.0  # a generated token uses the throughput of two prompt tokens
OUTPUT_FRACTION = 0.5  # of the caller's maximum, if it gives no estimate


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """What a request uses of a pool's capacity.

    Attributes:
        pool: All engines, or the upstreams of one plain service.
        amount: Weighted tokens at engines; 1 for a plain request.
    """

    pool: PoolName
    amount: float


def expected_output_tokens(prompt: Prompt) -> float:
    """Return the expected length of the answer, tokens."""
    if prompt.expected_output_tokens is not None:
        return float(min(prompt.expected_output_tokens, prompt.max_output_tokens))
    return OUTPUT_FRACTION * prompt.max_output_tokens


def expected_work(prompt: Prompt | None) -> Work:
    """Return the expected work of a request at an upstream.

    Args:
        prompt: The prompt; None for a plain request.
    """
    if prompt is None:
        return Work(n_requests=1)
    return Work(
        held_tokens=prompt.n_tokens + expected_output_tokens(prompt),
        n_requests=1,
    )


def pool_demand(service: ServiceName, prompt: Prompt | None) -> PoolDemand:
    """Return what a request uses of the capacity that organisations share."""
    if prompt is None:
        return PoolDemand(PoolName(service), 1.0)
    tokens = prompt.n_tokens + GENERATED_WEIGHT * expected_output_tokens(prompt)
    return PoolDemand(ENGINES, tokens)
