"""Work that a request puts on an upstream, before it has run."""

from chicorylead.traffic.request import Prompt
from chicorylead.upstream.work import Work

__all__ = ["GENERATED_WEIGHT", "expected_output_tokens", "expected_work", "service_of"]

GENERATED_WEIGHT = 2.0  # a generated token takes the throughput of two that are read
OUTPUT_SHARE = 0.5  # of the caller's upper limit, where it gives no estimate


def expected_output_tokens(prompt: Prompt) -> float:
    """Return the expected length of the answer, tokens."""
    if prompt.expected_output_tokens is not None:
        return float(min(prompt.expected_output_tokens, prompt.max_output_tokens))
    return OUTPUT_SHARE * prompt.max_output_tokens


def expected_work(prompt: Prompt | None) -> Work:
    """Return the work of a request at an upstream.

    Args:
        prompt: The prompt; None for a plain request.
    """
    if prompt is None:
        return Work(n_requests=1)
    return Work(
        held_tokens=prompt.n_tokens + expected_output_tokens(prompt),
        n_requests=1,
    )


def service_of(prompt: Prompt | None) -> float:
    """Return what a request takes of the fleet's token throughput, tokens."""
    if prompt is None:
        return 0.0
    return prompt.n_tokens + GENERATED_WEIGHT * expected_output_tokens(prompt)
