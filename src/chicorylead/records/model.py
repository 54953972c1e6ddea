"""Model of configuration records, independent of their schema version."""

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from chicorylead.ids import OrganisationId, ServiceName, UpstreamId, ZoneName

__all__ = [
    "Contract",
    "Model",
    "Objective",
    "Operation",
    "Organisation",
    "Policy",
    "RecordKind",
    "Service",
    "ServiceAccess",
    "ServiceType",
    "Upstream",
]

Positive = Annotated[float, Meta(gt=0)]


class RecordKind(Enum):
    """Kinds of configuration record."""

    ORGANISATION = "organisation"
    CONTRACT = "contract"
    SERVICE = "service"
    UPSTREAM = "upstream"
    POLICY = "policy"


class ServiceType(Enum):
    """Protocol of the upstreams of a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class Organisation(Struct, frozen=True):
    """An organisation that sends requests.

    Attributes:
        token_sha256: Hexadecimal SHA-256 digests of its valid credentials.
    """

    name: OrganisationId
    token_sha256: tuple[str, ...]


class ServiceAccess(Struct, frozen=True):
    """Operations of a service that a contract allows; `*` stands for all."""

    service: ServiceName
    operations: tuple[str, ...] = ("*",)

    def allows(self, operation: str) -> bool:
        """Return whether an operation is allowed."""
        return "*" in self.operations or operation in self.operations


class Objective(Struct, frozen=True):
    """A service-level objective.

    Attributes:
        first_byte_s: Time to the first part of the response, seconds.
        whole_answer_s: Time to the end of the response, seconds.
        target: Fraction of the requests that must meet both.
    """

    first_byte_s: Positive = 1.6
    whole_answer_s: Positive = 60.0
    target: Annotated[float, Meta(gt=0, lt=1)] = 0.95


class Contract(Struct, frozen=True):
    """Services that one organisation may use, and its share of their capacity.

    Attributes:
        share: Weight relative to other organisations; service is shared in this ratio.
        reach: Services that it may call.
        objective: Promised service level.
    """

    name: str
    organisation: OrganisationId
    share: Positive
    reach: tuple[ServiceAccess, ...]
    objective: Objective = Objective()

    def allows(self, service: ServiceName, operation: str) -> bool:
        """Return whether the organisation may call an operation."""
        return any(r.service == service and r.allows(operation) for r in self.reach)


class Operation(Struct, frozen=True):
    """One operation of a service.

    Attributes:
        idempotent: Whether it is safe to run twice.
        key_field: JSON field of the body that holds the idempotency key, for
            callers that cannot send the header.
    """

    idempotent: bool = True
    key_field: str | None = None


class Service(Struct, frozen=True):
    """A service and its pool of upstreams.

    Attributes:
        can_reconcile: Whether upstreams can be queried for the outcome of a key.
        model: Model that engines of the pool must serve; None sends no orders.
        adapters: Adapters that they must hold.
        role: Role that they must have.
    """

    name: ServiceName
    type: ServiceType
    operations: dict[str, Operation]
    can_reconcile: bool = False
    model: str | None = None
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


class Upstream(Struct, frozen=True):
    """One engine or service process that serves requests.

    Attributes:
        window: Number of concurrent requests that it serves without slowing down.
        checks_fencing: Whether it rejects orders with an outdated fencing token.
    """

    name: UpstreamId
    service: ServiceName
    host: str
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: ZoneName
    window: Annotated[int, Meta(ge=1)] = 8
    checks_fencing: bool = False


class Policy(Struct, frozen=True):
    """Fleet-wide settings of the operators.

    Attributes:
        poison_ttl_s: Time for which a poison fingerprint is rejected, seconds.
        hedging: Whether idempotent requests may be hedged.
    """

    name: str
    poison_ttl_s: Positive = 600.0
    hedging: bool = True


Model = Organisation | Contract | Service | Upstream | Policy
