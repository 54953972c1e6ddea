"""What configuration records mean, independent of the schema they came in."""

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
    "Reach",
    "RecordKind",
    "Service",
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
    """How the upstreams of a service are spoken to."""

    ENGINE = "engine"
    PLAIN = "plain"


class Organisation(Struct, frozen=True):
    """An organisation that sends requests.

    Attributes:
        token_sha256: Hexadecimal SHA-256 digests of its valid credentials.
    """

    name: OrganisationId
    token_sha256: tuple[str, ...]


class Reach(Struct, frozen=True):
    """One service that a contract opens; `*` stands for all operations."""

    service: ServiceName
    operations: tuple[str, ...] = ("*",)

    def allows(self, operation: str) -> bool:
        """Tell whether an operation is open."""
        return "*" in self.operations or operation in self.operations


class Objective(Struct, frozen=True):
    """A service-level objective.

    Attributes:
        first_byte_s: Time to the first part of the answer, seconds.
        whole_answer_s: Time to the end of the answer, seconds.
        target: Part of the requests that must meet both.
    """

    first_byte_s: Positive = 1.6
    whole_answer_s: Positive = 60.0
    target: Annotated[float, Meta(gt=0, lt=1)] = 0.95


class Contract(Struct, frozen=True):
    """What one organisation may use.

    Attributes:
        share: Weight against other organisations; service is shared in this ratio.
        reach: Services that it may call.
        objective: Service level that was promised.
    """

    name: str
    organisation: OrganisationId
    share: Positive
    reach: tuple[Reach, ...]
    objective: Objective = Objective()

    def allows(self, service: ServiceName, operation: str) -> bool:
        """Tell whether the organisation may call an operation."""
        return any(r.service == service and r.allows(operation) for r in self.reach)


class Operation(Struct, frozen=True):
    """One operation of a service.

    Attributes:
        idempotent: Whether running it twice does no harm.
        key_field: JSON field of the body that holds the idempotency key, for
            callers that cannot send the header.
    """

    idempotent: bool = True
    key_field: str | None = None


class Service(Struct, frozen=True):
    """A service and its pool of upstreams.

    Attributes:
        can_reconcile: Whether upstreams tell the outcome of a key when asked.
        model: Model that engines of the pool have to serve; None gives no orders.
        adapters: Adapters that they have to hold.
        role: Role that they have to play.
    """

    name: ServiceName
    type: ServiceType
    operations: dict[str, Operation]
    can_reconcile: bool = False
    model: str | None = None
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


class Upstream(Struct, frozen=True):
    """One runner or service process that answers requests.

    Attributes:
        window: Requests that it serves at once without slowing.
        checks_fencing: Whether it refuses orders with an old fencing number.
    """

    name: UpstreamId
    service: ServiceName
    host: str
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: ZoneName
    window: Annotated[int, Meta(ge=1)] = 8
    checks_fencing: bool = False


class Policy(Struct, frozen=True):
    """Fleet-wide choices of the operators.

    Attributes:
        poison_ttl_s: How long a convicted fingerprint is refused, seconds.
        hedging: Whether idempotent requests may be hedged.
    """

    name: str
    poison_ttl_s: Positive = 600.0
    hedging: bool = True


Model = Organisation | Contract | Service | Upstream | Policy
