"""Order of the records of one key across the loss of acknowledged records.

Failure: the store comes back from an older copy, in a later history. What it shows of a
key may be older than what was known before, though its position is later: the copy has
an evacuation whose revocation was lost, or lacks an evacuation that is in force. The
record does not tell whether it was written before or after the copy was made.

A record that was written after a router had first read a history is newer than all of
earlier histories. Of those that were there already, one that is known to have been
replaced comes from the copy; it is recognised by its offset and value, which a copy
keeps. A removal at a lower offset than a known record of an earlier history comes from
the copy as well: it is the safe assumption, as the record stays in force.
"""

from msgspec.structs import replace

from chicorylead.traffic.stream import Position, StreamRecord

__all__ = ["is_newer", "removal", "superseding"]

# Bounds the record. A copy is some seconds old, in which a key changes a few times.
MAX_SUPERSEDED = 8


def is_newer(record: StreamRecord, known: StreamRecord, known_from: Position) -> bool:
    """Return whether a record replaces the known one of its key.

    Args:
        record: The record.
        known: The known record of the same key.
        known_from: End of the current history when this router first learned of it.
    """
    if record.era > known.era:
        return _replaces(record, known, known_from)
    if record.era < known.era:
        return not _replaces(known, record, known_from)
    if record.position == known.position:
        # A removal that a snapshot shows has no position of its own.
        return record.value is None and known.value is not None
    return record.position > known.position


def _replaces(later: StreamRecord, earlier: StreamRecord, known_from: Position) -> bool:
    """Return whether a record replaces one of an earlier history."""
    if later.position >= known_from or earlier.id in later.supersedes:
        return True
    if later.id in earlier.supersedes:
        return False
    if later.value is None and earlier.value is not None:
        return later.offset > earlier.offset
    return True


def superseding(record: StreamRecord, known: StreamRecord | None) -> StreamRecord:
    """Return a record that tells which ones it replaces."""
    if known is None:
        return record
    ids = dict.fromkeys((*known.supersedes, known.id, *record.supersedes))
    ids.pop(record.id, None)
    return replace(record, supersedes=tuple(ids)[-MAX_SUPERSEDED:])


def removal(known: StreamRecord, end: Position) -> StreamRecord:
    """Return the removal of a record that is missing from a snapshot.

    Args:
        known: The record, of the same history as the snapshot.
        end: End of the snapshot; a record that is written there is newer.
    """
    removed = StreamRecord(known.key, None, end.offset - 1, end.era)
    return superseding(removed, known)
