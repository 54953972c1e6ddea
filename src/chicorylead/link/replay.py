"""Drop replayed messages, and reports that arrive after newer ones."""

from dataclasses import dataclass, field

from chicorylead.ids import Incarnation, RouterId

__all__ = ["ReplayGuard"]

WINDOW = 1024


@dataclass(slots=True)
class _SenderState:
    """Sequence numbers received from one incarnation of one router."""

    incarnation: Incarnation
    highest: int = 0
    highest_report: int = 0
    recent: set[int] = field(default_factory=set)


class ReplayGuard:
    """Sliding-window check of sequence numbers, by sender.

    Messages outside the tree use other connections than reports and may arrive out
    of order. Only reports have to be newer than the last one.
    """

    def __init__(self) -> None:
        self._senders: dict[RouterId, _SenderState] = {}

    def is_fresh(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        sequence: int,
        is_report: bool,
    ) -> bool:
        """Record a message and return whether it may be handled."""
        state = self._senders.get(sender)
        if state is None or incarnation > state.incarnation:
            state = self._senders[sender] = _SenderState(incarnation)
        if incarnation < state.incarnation:
            return False
        if sequence in state.recent or sequence <= state.highest - WINDOW:
            return False
        if is_report and sequence <= state.highest_report:
            return False
        self._record(state, sequence, is_report)
        return True

    def _record(self, state: _SenderState, sequence: int, is_report: bool) -> None:
        state.highest = max(state.highest, sequence)
        if is_report:
            state.highest_report = sequence
        state.recent.add(sequence)
        if len(state.recent) > 2 * WINDOW:
            oldest = state.highest - WINDOW
            state.recent = {number for number in state.recent if number > oldest}
