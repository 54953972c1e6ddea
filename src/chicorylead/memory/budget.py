"""The owner of the memory and descriptors that a process holds for callers.

Every place that keeps bytes for a caller takes them from the account of the caller's
connection first, and gives them back on every way out. The budget drops callers when
the sum would exceed its limits; `memory.eviction` decides which.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from chicorylead.memory.eviction import Holding, choose_idle, choose_largest

__all__ = [
    "Account",
    "Budget",
    "BudgetLimits",
    "CallerEnd",
    "DropReason",
    "size_limits",
]

# A process holds this much before its first caller, with a margin for its own state.
PROCESS_BYTES = 64_000_000
# The rest holds freed memory that the allocator keeps, short-lived copies, and what
# arrives before dropped callers have given back: with 160 MB, 200 callers with unread
# answers of 4 MB take 124 MB.
USABLE_RATIO = 0.35
MIN_BYTES = 4_000_000
# Callers are dropped until this much of the limit is in use, so that the holdings are
# not sorted again for each read.
TARGET_RATIO = 0.9
RESERVED_FDS = 200  # for the store, peers, and idle connections to upstreams
# Measured: a connection without a request, and what a request takes beside its bytes.
CONNECTION_BYTES = 10_000
REQUEST_BYTES = 40_000


class DropReason(Enum):
    """Why a caller was refused, or its connection closed."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    HEAD_SIZE = "head_size"
    HEAD_TIME = "head_time"
    FRAMING = "framing"
    BODY_SIZE = "body_size"
    PIPELINE = "pipeline"


@dataclass(frozen=True, slots=True)
class CallerEnd:
    """A refused or closed caller, for logs and counters.

    Attributes:
        caller: Its address.
        reason: Why.
        n_bytes: What it held, bytes.
        n_total: What all callers held, bytes.
    """

    caller: str
    reason: DropReason
    n_bytes: int
    n_total: int


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits of one process.

    Attributes:
        n_bytes: Memory for callers and their answers, bytes.
        n_fds: Descriptors for callers and for their requests at upstreams.
    """

    n_bytes: float = math.inf
    n_fds: float = math.inf


def size_limits(memory_mb: float, max_fds: int) -> BudgetLimits:
    """Return the limits of a process on a VM.

    Args:
        memory_mb: Memory of the VM, MB.
        max_fds: Descriptors that the process may open.
    """
    usable = USABLE_RATIO * (memory_mb * 1_000_000 - PROCESS_BYTES)
    return BudgetLimits(
        n_bytes=max(MIN_BYTES, usable), n_fds=max(1, max_fds - RESERVED_FDS)
    )


class Account:
    """What is held for one connection of a caller.

    Args:
        budget: The owner.
        caller: Address of the caller.
        on_drop: Called to refuse the caller or close its connection.
        poll: Called to bring up to date what the caller has not read.

    Attributes:
        n_bytes: Memory held, bytes.
        n_requests: Requests being received, run or answered.
        progress_at: Event-loop time of the last progress, seconds.
        is_open: Whether the connection is open, and was not dropped.
    """

    __slots__ = (
        "_budget",
        "caller",
        "is_open",
        "n_bytes",
        "n_requests",
        "on_drop",
        "poll",
        "progress_at",
    )

    def __init__(
        self,
        budget: "Budget",
        caller: str,
        on_drop: Callable[[DropReason], None],
        poll: Callable[[], None],
    ) -> None:
        self._budget = budget
        self.caller = caller
        self.on_drop = on_drop
        self.poll = poll
        self.n_bytes = 0
        self.n_requests = 0
        self.progress_at = 0.0
        self.is_open = True

    def take(self, n_bytes: int) -> bool:
        """Take bytes; return whether the caller may go on.

        If the budget is short, callers are dropped, possibly this one.
        """
        self.n_bytes += n_bytes
        budget = self._budget
        budget.n_bytes += n_bytes
        if budget.n_bytes > budget.highest:
            budget.highest = budget.n_bytes
        if budget.n_bytes > budget.limits.n_bytes:
            budget.shrink()
        return self.is_open

    @property
    def has_room(self) -> bool:
        """Return whether more may be taken before dropped callers have given back."""
        return self.is_open and self._budget.n_bytes <= self._budget.limits.n_bytes

    def give(self, n_bytes: int) -> None:
        """Give bytes back that were taken."""
        self.n_bytes -= n_bytes
        self._budget.n_bytes -= n_bytes

    def record_progress(self) -> None:
        """Record that the caller sent or read something."""
        self.progress_at = self._budget.clock()

    def begin_request(self) -> None:
        """Record that a request begins, which needs an upstream's descriptor."""
        self.n_requests += 1
        self._budget.n_requests += 1
        self.take(REQUEST_BYTES)
        self._budget.free_fds()

    def end_request(self) -> None:
        """Record that the application is done with a request."""
        self.n_requests -= 1
        self._budget.n_requests -= 1
        self.give(REQUEST_BYTES)


class Budget:
    """Limits what is held for all callers together.

    Args:
        limits: The limits.
        clock: Returns the time of the event loop, seconds.
        on_end: Called with each caller that is refused or closed.

    Attributes:
        limits: The limits.
        n_bytes: Memory held for all callers, bytes.
        n_requests: Requests being received, run or answered.
        highest: Most that was held since it was last reset, bytes.
        clock: Returns the time of the event loop, seconds.
    """

    def __init__(
        self,
        limits: BudgetLimits,
        clock: Callable[[], float],
        on_end: Callable[[CallerEnd], None] = lambda end: None,
    ) -> None:
        self.limits = limits
        self.clock = clock
        self._on_end = on_end
        self._accounts: set[Account] = set()
        self.n_bytes = 0
        self.n_requests = 0
        self.highest = 0

    def open(
        self,
        caller: str,
        on_drop: Callable[[DropReason], None],
        poll: Callable[[], None] = lambda: None,
    ) -> Account:
        """Return the account of a new connection; `is_open` is False if it must go."""
        account = Account(self, caller, on_drop, poll)
        account.record_progress()
        self._accounts.add(account)
        account.take(CONNECTION_BYTES)
        self.free_fds()
        return account

    def close(self, account: Account) -> None:
        """Close the account of a connection that was lost."""
        account.is_open = False
        account.on_drop, account.poll = _ignore_drop, _ignore_poll
        account.give(CONNECTION_BYTES)
        self._accounts.remove(account)

    def report(self, account: Account, reason: DropReason) -> None:
        """Report a caller that its connection has refused or closed."""
        end = CallerEnd(account.caller, reason, account.n_bytes, self.n_bytes)
        self._on_end(end)

    def shrink(self) -> None:
        """Drop callers until the memory held is below its limit."""
        self.poll()
        held = sum(account.n_bytes for account in self._accounts if account.is_open)
        excess = int(held - TARGET_RATIO * self.limits.n_bytes)
        for account in choose_largest(self._holdings(), excess, self.clock()):
            self._drop(account, DropReason.MEMORY)

    def poll(self) -> None:
        """Bring up to date what callers have not read, and who makes progress."""
        for account in self._accounts:
            account.poll()

    def free_fds(self) -> None:
        """Drop idle connections, or the newest one, if descriptors run short."""
        excess = len(self._accounts) + self.n_requests - self.limits.n_fds
        if excess <= 0:
            return
        excess -= sum(not account.is_open for account in self._accounts)
        if excess > 0:
            for account in choose_idle(self._holdings(), math.ceil(excess)):
                self._drop(account, DropReason.DESCRIPTORS)

    def _holdings(self) -> Iterator[Holding[Account]]:
        return (
            Holding(a, a.n_bytes, a.progress_at, a.n_requests > 0)
            for a in self._accounts
            if a.is_open
        )

    def _drop(self, account: Account, reason: DropReason) -> None:
        account.is_open = False
        self.report(account, reason)
        account.on_drop(reason)


def _ignore_drop(reason: DropReason) -> None:
    """Do nothing, as the connection was lost."""


def _ignore_poll() -> None:
    """Do nothing, as the connection was lost."""
