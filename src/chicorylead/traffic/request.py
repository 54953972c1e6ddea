"""One caller's request, decoded and joined with the configuration."""

from dataclasses import dataclass

from chicorylead.ids import (
    OrganisationId,
    PromptPartId,
    RegionName,
    RequestId,
    ServiceName,
    SoftwareVersion,
)
from chicorylead.traffic.model import Operation, RepeatPolicy

__all__ = ["CallerHead", "ForwardRequest", "Prompt", "PromptPart"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        id: Equal for equal content.
        n_tokens: Length, tokens.
    """

    id: PromptPartId
    n_tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """A caller's description of its prompt.

    Attributes:
        n_tokens: Length of the prompt, tokens.
        max_output_tokens: Largest number of tokens in the answer.
        expected_output_tokens: The caller's estimate; None if it gave none.
        parts: Parts in order; the last one belongs to this request or session.
    """

    n_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPartId, ...]:
        """Return the ids of the parts that other prompts may hold as well."""
        return tuple(part.id for part in self.parts[:-1])


@dataclass(frozen=True, slots=True)
class CallerHead:
    """The head of a caller's request.

    Attributes:
        target: Path and query, as received.
        deadline_s: Time that the caller waits, seconds; None if not given.
        forwarded: Header lines passed to the upstream unchanged.
        last_event_id: Id of the last event that the caller received.
        resumes: Id of the caller's attempt that brought the first event of the stream
            which it takes up.
    """

    request_id: RequestId
    method: str
    target: bytes
    path: str
    host: str
    credential: str | None
    deadline_s: float | None
    prompt: Prompt | None
    last_event_id: str | None
    resumes: RequestId | None
    forwarded: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """An authorised request that is to be sent to an upstream.

    Attributes:
        arrived_at: Event-loop time at which the request was received whole, seconds.
        answer_deadline: Event-loop time by which the final answer is due, seconds.
        waited_s: Time since the caller's first attempt, estimated from its
            deadline, seconds.
        version: The only software version that may run it, as it goes on with a
            stream; None for any.
        home_regions: The only regions in which it may run; None for any.
        priority: Of its organisation, or else of its operation; 0 is the highest.
    """

    head: CallerHead
    body: bytes
    operation: Operation
    service: ServiceName
    organisation: OrganisationId | None
    arrived_at: float
    answer_deadline: float
    waited_s: float
    version: SoftwareVersion | None = None
    home_regions: frozenset[RegionName] | None = None
    priority: int = 0

    @property
    def id(self) -> RequestId:
        """Return the id that the caller gave to this attempt."""
        return self.head.request_id

    @property
    def shared_parts(self) -> tuple[PromptPartId, ...]:
        """Return the ids of the shared parts of its prompt, if it has one."""
        return () if self.head.prompt is None else self.head.prompt.shared_parts

    @property
    def takes_up(self) -> bool:
        """Return whether it goes on with a stream that has broken off."""
        return self.operation.is_stream and self.head.last_event_id is not None

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may safely run twice."""
        return self.operation.repeat is not RepeatPolicy.ONCE
