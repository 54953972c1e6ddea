"""Claims: a non-idempotent request runs only after its claim won the key in the log.

The state of a key depends only on the order of the log, so all routers that have read
to the same offset agree on it. A claim never expires: its holder may be paused for any
time, and no other attempt runs the request instead.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec
from msgspec import Struct

from chicorylead.ids import Incarnation, Offset, RouterId

__all__ = [
    "Claim",
    "ClaimEvent",
    "ClaimIndex",
    "KeyState",
    "Outcome",
    "OutcomeState",
    "Void",
    "decode_events",
    "encode_events",
]


class Claim(Struct, frozen=True, tag="claim"):
    """An attempt to acquire the exclusive right to run a request.

    Attributes:
        key: Organisation, service and idempotency key.
        request_hash: Digest of the request, to detect reuse of the key for another
            request.
        attempt: Id of this attempt, unique across all routers.
        router: Router that made the attempt.
        incarnation: Incarnation of that router.
    """

    key: str
    request_hash: str
    attempt: str
    router: RouterId
    incarnation: Incarnation


class Void(Struct, frozen=True, tag="void"):
    """States that an attempt did not run and will not; its key is free again.

    Attributes:
        by_operator: Whether an operator issued the event. Only then does it free a
            key whose outcome is unknown.
    """

    key: str
    attempt: str
    by_operator: bool = False


class OutcomeState(Enum):
    """How a claimed request ended."""

    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Outcome(Struct, frozen=True, tag="outcome"):
    """States how a claimed request ended.

    Attributes:
        body: Answer as text; None if it was too large to store.
        by_operator: Whether an operator issued the event.
    """

    key: str
    attempt: str
    state: OutcomeState
    status: int = 0
    content_type: str = ""
    body: str | None = None
    by_operator: bool = False


ClaimEvent = Claim | Void | Outcome
_decoder = msgspec.json.Decoder(list[ClaimEvent])


def encode_events(events: list[ClaimEvent]) -> str:
    """Return a batch of events encoded as one log entry."""
    return msgspec.json.encode(events).decode()


def decode_events(data: str) -> list[ClaimEvent]:
    """Return the events of a log entry; an empty list if it is malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return []


@dataclass(slots=True)
class KeyState:
    """State of one key according to the log.

    Attributes:
        claim: The claim that holds the key.
        offset: Offset of that claim.
        outcome: How the request ended; None while that is not in the log.
    """

    claim: Claim
    offset: Offset
    outcome: Outcome | None = None


class ClaimIndex:
    """State of all keys of one partition, computed from its events in order.

    Attributes:
        next_offset: Offset of the next entry to apply.
    """

    def __init__(self) -> None:
        self.next_offset = Offset(1)
        self._keys: dict[str, KeyState] = {}
        self._voided: dict[str, Offset] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, key: str) -> KeyState | None:
        """Return the state of a key, or None if no claim holds it."""
        return self._keys.get(key)

    def apply(self, offset: Offset, events: list[ClaimEvent]) -> None:
        """Apply the entry at an offset; ignore it if it was applied before."""
        if offset < self.next_offset:
            return
        self.next_offset = Offset(offset + 1)
        for event in events:
            self._apply_event(offset, event)

    def _apply_event(self, offset: Offset, event: ClaimEvent) -> None:
        state = self._keys.get(event.key)
        match event:
            case Claim(attempt=attempt):
                if state is None and attempt not in self._voided:
                    self._keys[event.key] = KeyState(event, offset)
            case Void():
                self._apply_void(offset, state, event)
            case Outcome():
                self._apply_outcome(state, event)

    def _apply_void(self, offset: Offset, state: KeyState | None, void: Void) -> None:
        # Recorded because the claim may be appended after its own void.
        self._voided[void.attempt] = offset
        if state is None or state.claim.attempt != void.attempt:
            return
        outcome = state.outcome
        is_unknown = outcome is not None and outcome.state is OutcomeState.UNKNOWN
        if outcome is None or (is_unknown and void.by_operator):
            del self._keys[void.key]

    def _apply_outcome(self, state: KeyState | None, outcome: Outcome) -> None:
        if state is None or state.claim.attempt != outcome.attempt:
            return
        current = state.outcome
        if current is None or current.state is OutcomeState.UNKNOWN:
            state.outcome = outcome

    def discard_before(self, first: Offset) -> None:
        """Discard keys and voids whose entries the log no longer retains."""
        if self._keys and next(iter(self._keys.values())).offset >= first:
            return
        for key in [k for k, s in self._keys.items() if s.offset < first]:
            del self._keys[key]
        for attempt in [a for a, at in self._voided.items() if at < first]:
            del self._voided[attempt]
