"""Splits an event stream into whole events and their ids.

What is passed on is exactly the events up to `last_id`, in order: bytes that are not an
event are held back, or end the run, so that the next one can go on after `last_id`.
"""

import re

from chicorylead.upstream.event_format import EventFormat, MalformedStream

__all__ = ["EventSplitter", "MalformedStream", "StreamGap"]

_END = b"\n\n"
_NUMBER = re.compile(r"[ \t]*[0-9]{1,18}[ \t]*", re.ASCII)

# Number with which streams usually begin; another one may be a wrong byte.
FIRST_ID = 1
# Bytes without a new event: more than any event of a few tokens, and more than the
# events that a run resumed on another upstream may repeat.
MAX_BYTES_WITHOUT_EVENT = 262_144


class StreamGap(MalformedStream):
    """An event is missing."""


class EventSplitter:
    """Passes on whole events once and in order, over several runs of a request.

    The events of a run are numbered one after the other. A run that resumes a stream
    may repeat some. The number of the first event of a stream is confirmed by the next
    event, or by another run that begins with it, unless it is `FIRST_ID`.

    Args:
        last_id: Id after which the stream goes on; None for a new stream.
        event_format: Reads the ids of events; by default of standard fields alone.

    Attributes:
        last_id: Id of the last event passed on; None before the first.
        n_events: Events passed on.
        fault: Why nothing after the last event of this run can be used, if so.
    """

    def __init__(
        self, last_id: str | None = None, event_format: EventFormat | None = None
    ) -> None:
        self._format = event_format or EventFormat()
        self.last_id = last_id
        self.n_events = 0
        self.fault: MalformedStream | None = None
        # Buffers that grow in place: bytes that are no event come in many small pieces.
        self._partial = bytearray()
        # Comments and blank lines, which are passed on with the event after them; also
        # a first event that is not confirmed.
        self._held = bytearray()
        self._unconfirmed: int | None = None
        # The same of the run before, which confirms the number if it is equal.
        self._unconfirmed_before: int | None = None
        # Number of the last event of this run, also of one that was repeated.
        self._last_of_run: int | None = None
        self._has_new_event = False
        self._n_bytes_without_event = 0

    @property
    def has_partial(self) -> bool:
        """Return whether bytes of an incomplete event are buffered."""
        return bool(self._partial.strip(b"\n"))

    @property
    def n_held(self) -> int:
        """Return the number of bytes that are kept until more arrive."""
        return len(self._partial) + len(self._held)

    def feed(self, data: bytes) -> bytes:
        """Return the new whole events; `fault` tells whether they are the last ones."""
        if self.fault is not None:
            return b""
        self._n_bytes_without_event += len(data)
        events = self._pass_on(self._pop_blocks(data))
        if self.fault is None and self._n_bytes_without_event > MAX_BYTES_WITHOUT_EVENT:
            self.fault = MalformedStream(
                f"{self._n_bytes_without_event} bytes without an event"
            )
        return events

    def end(self) -> bytes:
        """Return what follows the last event; `fault` tells whether the end is proved.

        A wrong number is seen at the event after it. Without one, neither the number
        of an only event is proved, nor that all events of a run were repeated ones.
        """
        if self._unconfirmed is not None:
            if self._unconfirmed != self._unconfirmed_before:
                self.fault = StreamGap(f"event {self._unconfirmed} is the only one")
                return b""
            self._record(str(self._unconfirmed), n_events=1)
        elif self._last_of_run is not None and not self._has_new_event:
            self.fault = StreamGap(f"run ends at repeated event {self._last_of_run}")
            return b""
        return bytes(self._held + self._partial)

    def restart(self) -> None:
        """Discard a partial event; the next run resumes after the last whole one."""
        self.fault = None
        self._partial.clear()
        self._held.clear()
        self._unconfirmed_before = self._unconfirmed
        self._unconfirmed = None
        self._last_of_run = None
        self._has_new_event = False
        self._n_bytes_without_event = 0

    def _pop_blocks(self, data: bytes) -> list[bytes]:
        """Add bytes; return the blocks that are complete, without their ends."""
        # Only new bytes are searched: a block may arrive in many small parts.
        searched = max(0, len(self._partial) - 1)
        self._partial += data
        if self._partial.find(_END, searched) < 0:
            return []
        *blocks, rest = bytes(self._partial).split(_END)
        self._partial[:] = rest
        return blocks

    def _pass_on(self, blocks: list[bytes]) -> bytes:
        events = []
        for block in blocks:
            if not block:
                self._held += _END
                continue
            try:
                event_id = self._format.read_id(block)
                events.append(self._take(block, event_id))
            except MalformedStream as exc:
                self.fault = exc
                break
        return b"".join(events)

    def _take(self, block: bytes, event_id: str | None) -> bytes:
        """Return what can be passed on after one more block.

        Raises:
            StreamGap: The event does not follow the one before it.
        """
        self._held += block
        self._held += _END
        if event_id is None:
            return b""
        number = int(event_id)
        if self._last_of_run is not None and number != self._last_of_run + 1:
            raise StreamGap(f"event {number} follows {self._last_of_run}")
        is_first_of_run = self._last_of_run is None
        self._last_of_run = number
        if _is_number(self.last_id):
            if number > int(self.last_id) + 1:
                raise StreamGap(f"event {number} follows {self.last_id}")
            if number <= int(self.last_id):
                self._held.clear()
                return b""
        elif self.last_id is None and is_first_of_run and number != FIRST_ID:
            self._unconfirmed = number
            return b""
        data = bytes(self._held)
        self._held.clear()
        self._record(event_id, n_events=1 if self._unconfirmed is None else 2)
        return data

    def _record(self, event_id: str, n_events: int) -> None:
        self.n_events += n_events
        self._unconfirmed = None
        self._has_new_event = True
        self.last_id = event_id
        self._n_bytes_without_event = 0


def _is_number(event_id: str | None) -> bool:
    """Return whether an id, which a caller may have sent, is a number of an event."""
    return event_id is not None and _NUMBER.fullmatch(event_id) is not None
