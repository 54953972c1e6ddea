"""A caller's validated request, with the records that apply to it."""

from dataclasses import dataclass

from chicorylead.ids import IdempotencyKey, OrganisationId, RequestId
from chicorylead.records.model import Operation, Service

__all__ = ["CallerRequest"]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request of a caller.

    Attributes:
        share: Share of the organisation.
        rules: Declared properties of the operation.
        deadline: Event-loop time by which the caller expects the answer, seconds.
        cost_hint: The caller's own estimate of the cost, in cost units.
        prefix: Start of the prompt, for the prefix cache.
        fingerprint: Digest of the content, the same for all organisations.
    """

    id: RequestId
    organisation: OrganisationId
    share: float
    service: Service
    operation: str
    rules: Operation
    body: bytes
    deadline: float
    fingerprint: str
    key: IdempotencyKey | None = None
    cost_hint: float | None = None
    prefix: str = ""

    @property
    def is_once(self) -> bool:
        """Tell whether the request must run at most once."""
        return not self.rules.idempotent

    @property
    def claim_key(self) -> str:
        """Return the key of the claim on this request."""
        return f"{self.organisation}/{self.service.name}/{self.key}"
