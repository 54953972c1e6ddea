"""Operations, services and organisations of one version of the configuration."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from chicorylead.ids import OrganisationId, RegionName, ServiceName
from chicorylead.upstream.warm_up import NEVER_COLD, ColdRule

__all__ = [
    "CallerLimits",
    "Configuration",
    "Engine",
    "Operation",
    "Organisation",
    "RepeatPolicy",
    "Service",
]


class RepeatPolicy(Enum):
    """Whether a request of an operation may run again."""

    IDEMPOTENT = "idempotent"
    RESUMABLE = "resumable"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class Operation:
    """Requests for one host below one path.

    Attributes:
        path_prefix: Start of the path, with a slash at both ends.
        is_stream: Whether the answer is a stream of events.
        timeout_s: Longest time until a caller gets its final answer, seconds.
        objective_s: Target time to the answer, or to a stream's first event, set by
            the operator, seconds.
        max_attempts: Largest number of upstreams that one request may be sent to.
        is_public: Whether no credential is required.
        has_prompt: Whether requests describe a prompt.
        split: Services and their weights.
        home_regions: Regions in which its requests may run; None for any.
    """

    name: str
    host: str
    path_prefix: str
    repeat: RepeatPolicy
    is_stream: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    is_public: bool
    has_prompt: bool
    split: tuple[tuple[ServiceName, float], ...]
    home_regions: frozenset[RegionName] | None = None

    def pick_service(self, rng: Random) -> ServiceName:
        """Return a random service of the split, by weight."""
        if len(self.split) == 1:
            return self.split[0][0]
        names = [name for name, _ in self.split]
        return rng.choices(names, [weight for _, weight in self.split])[0]


@dataclass(frozen=True, slots=True)
class Engine:
    """Configuration of the engines of a service.

    Attributes:
        n_slots: Largest number of requests that one engine runs at once.
        kv_tokens: Tokens that fit into one engine's KV memory.
        tokens_per_event: Tokens of one stream event.
    """

    n_slots: int
    kv_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that do the same work.

    Attributes:
        cold: What its cold upstreams tolerate.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    engine: Engine | None
    cold: ColdRule = NEVER_COLD


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation and the credentials of its callers.

    Attributes:
        home_regions: Regions in which its requests may run; None for any.
    """

    name: OrganisationId
    credentials: frozenset[str]
    priority: int | None
    home_regions: frozenset[RegionName] | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what callers may send.

    Attributes:
        head_bytes: Largest request head, bytes.
        body_bytes: Largest request body, bytes.
        head_timeout_s: Time within which a request head has to arrive, seconds.
        idle_timeout_s: Time for which an idle connection is kept open, seconds.
        tokens_per_s: Token throughput of all engines; None if not given.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    tokens_per_s: float | None = None


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration, with indexes for request lookup.

    Attributes:
        version: Increases with each change.
        organisations: None if callers need no credential.
        faults: What of it was ignored, as it is invalid.
    """

    version: int
    operations: tuple[Operation, ...]
    services: dict[ServiceName, Service]
    organisations: tuple[Organisation, ...] | None
    limits: CallerLimits
    faults: tuple[str, ...] = ()
    _by_host: dict[str, list[Operation]] = field(init=False, repr=False)
    _by_credential: dict[str, Organisation] = field(init=False, repr=False)
    _objectives: dict[ServiceName, float] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Operation]] = {}
        for operation in self.operations:
            by_host.setdefault(operation.host, []).append(operation)
        for operations in by_host.values():
            operations.sort(key=lambda op: len(op.path_prefix), reverse=True)
        by_credential = {
            credential: organisation
            for organisation in self.organisations or ()
            for credential in organisation.credentials
        }
        objectives: dict[ServiceName, float] = {}
        for operation in self.operations:
            for service, _ in operation.split:
                shortest = objectives.get(service, operation.objective_s)
                objectives[service] = min(shortest, operation.objective_s)
        object.__setattr__(self, "_objectives", objectives)
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_credential", by_credential)

    def operation(self, host: str, path: str) -> Operation | None:
        """Return the operation with the longest prefix of a path."""
        for operation in self._by_host.get(host, ()):
            if path.startswith(operation.path_prefix):
                return operation
        return None

    def organisation(self, credential: str) -> Organisation | None:
        """Return the organisation that holds a credential."""
        return self._by_credential.get(credential)

    def home_regions_at(self, host: str) -> frozenset[RegionName]:
        """Return the regions in which all operations of a host may run.

        Operations without home regions do not count; empty if there is none in common.
        """
        homes = [op.home_regions for op in self._by_host.get(host, ())]
        named = [regions for regions in homes if regions is not None]
        return frozenset.intersection(*named) if named else frozenset()

    def shortest_objective_s(self, service: ServiceName) -> float:
        """Return the shortest objective of the operations of a service, seconds."""
        return self._objectives.get(service, 1.0)
