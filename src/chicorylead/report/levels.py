"""Count how many requests met their service-level objective, per time slot.

A router keeps one hour in memory. The burn report sums the counts of the routers and
states how much history and how many routers it covers.
"""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

from msgspec import Struct

from chicorylead.errors import ErrorKind
from chicorylead.ids import OrganisationId
from chicorylead.records.model import Objective
from chicorylead.records.store import RecordStore
from chicorylead.request import CallerRequest

__all__ = ["LevelCounter", "LevelCount"]

SLOT_S = 10.0
N_SLOTS = 360

# Errors and cancellations caused by the caller say nothing about the service.
_NOT_COUNTED = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNAUTHORISED,
        ErrorKind.FORBIDDEN,
        ErrorKind.NOT_FOUND,
        ErrorKind.TOO_LARGE,
        ErrorKind.KEY_CONFLICT,
        ErrorKind.CALLER_GONE,
        ErrorKind.POISON,
    }
)


class LevelCount(Struct):
    """Counts of one organisation and operation in one time slot.

    Attributes:
        age_s: Age of the slot when it was read, seconds.
        n_good: Requests within the objective.
        n_slow: Requests answered, but later than the objective.
        n_refused: Requests refused or failed.
    """

    organisation: OrganisationId
    operation: str
    age_s: float
    n_good: int = 0
    n_slow: int = 0
    n_refused: int = 0


@dataclass(slots=True)
class _Counts:
    n_good: int = 0
    n_slow: int = 0
    n_refused: int = 0


class LevelCounter:
    """Counts the requests of one router.

    Args:
        store: Records in force; contracts contain the objectives.
    """

    def __init__(self, store: RecordStore) -> None:
        self._store = store
        self._clock = asyncio.get_running_loop().time
        self._started = self._clock()
        self._slots: OrderedDict[int, dict[tuple[OrganisationId, str], _Counts]] = (
            OrderedDict()
        )

    @property
    def history_s(self) -> float:
        """Return the time that the counts cover, seconds."""
        return min(N_SLOTS * SLOT_S, self._clock() - self._started)

    def record(
        self,
        req: CallerRequest,
        first_byte_s: float | None,
        whole_s: float,
        error: ErrorKind | None,
    ) -> None:
        """Count one request that ended."""
        if error in _NOT_COUNTED:
            return
        counts = self._current_counts(
            req.organisation, f"{req.service.name}/{req.operation}"
        )
        if error is not None:
            counts.n_refused += 1
            return
        objective = self._objective(req.organisation)
        is_good = whole_s <= objective.whole_answer_s and (
            first_byte_s is None or first_byte_s <= objective.first_byte_s
        )
        counts.n_good += 1 if is_good else 0
        counts.n_slow += 0 if is_good else 1

    def _objective(self, organisation: OrganisationId) -> Objective:
        contracts = self._store.contracts(organisation)
        return contracts[0].objective if contracts else Objective()

    def _current_counts(self, organisation: OrganisationId, operation: str) -> _Counts:
        number = int(self._clock() / SLOT_S)
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = {}
            while len(self._slots) > N_SLOTS:
                self._slots.popitem(last=False)
        return slot.setdefault((organisation, operation), _Counts())

    def counts(self) -> list[LevelCount]:
        """Return all counts, with the age of their time slot."""
        now = self._clock()
        return [
            LevelCount(
                organisation,
                operation,
                now - number * SLOT_S,
                counts.n_good,
                counts.n_slow,
                counts.n_refused,
            )
            for number, slot in self._slots.items()
            for (organisation, operation), counts in slot.items()
        ]
