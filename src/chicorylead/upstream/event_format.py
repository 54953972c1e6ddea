"""The format of one event of a stream, strict enough to tell a wrong byte.

An event consists of lines `name: value`, with one number as its id and at least one
line of data. One wrong byte can turn the blank line between two events into the first
character of a name, or a name into that of a field which callers ignore.
"""

import re
from collections.abc import Collection

from chicorylead.upstream.wrong_byte import NearNames

__all__ = ["EventFormat", "MalformedStream"]

_FIELD = re.compile(rb"([a-z][a-z0-9-]*):(.*)", re.DOTALL)
_NUMBER = re.compile(rb"(?:0|[1-9][0-9]{0,17})")
# What nearly all events look like.
_PLAIN_EVENT = re.compile(rb"id: (0|[1-9][0-9]{0,17})\ndata: [^\n]*")
# Possessive, so that a block of many lines needs no memory for backtracking.
_COMMENTS = re.compile(rb"\n*+(?::[^\n]*+(?:\n++|\Z))*+")
_ID, _DATA, _RETRY = b"id", b"data", b"retry"
_FIELDS = frozenset((_ID, _DATA, _RETRY, b"event"))


class MalformedStream(Exception):
    """The bytes received are not a valid event stream."""


class EventFormat:
    """Reads the id of an event.

    Callers ignore fields whose names they do not know, so that upstreams may add some.
    Names that one wrong byte makes of a known name are refused. No check tells a wrong
    byte in a text, nor one in place of the line end between two lines of data.

    Args:
        number_fields: Names of fields with a number that upstreams add to the standard
            ones.
    """

    def __init__(self, number_fields: Collection[bytes] = ()) -> None:
        self._number_fields = frozenset((_ID, _RETRY, *number_fields))
        self._known = _FIELDS | self._number_fields
        self._near_known = NearNames(self._known)

    def read_id(self, block: bytes) -> str | None:
        """Return the id of an event, or None for comments and blank lines alone.

        Args:
            block: The bytes before the blank line that ends an event.

        Raises:
            MalformedStream: The bytes are no event with a number as its id.
        """
        _check_text(block)
        if (plain := _PLAIN_EVENT.fullmatch(block)) is not None:
            return plain[1].decode()
        if _COMMENTS.fullmatch(block) is not None:
            return None
        lines = [line for line in block.split(b"\n") if line]
        fields = [self._read_field(line) for line in lines]
        ids = [value for name, value in fields if name == _ID]
        if len(ids) != 1:
            raise MalformedStream(f"{len(ids)} ids in an event: {lines[0][:40]!r}")
        if not any(name == _DATA for name, _ in fields):
            raise MalformedStream(f"no data in an event: {lines[0][:40]!r}")
        _check_spaces(fields)
        return ids[0].strip(b" ").decode()

    def _read_field(self, line: bytes) -> tuple[bytes, bytes]:
        """Return the name of a field, and the bytes after the colon.

        Raises:
            MalformedStream: It is not a field, or has a wrong byte.
        """
        found = _FIELD.fullmatch(line)
        if found is None:
            if line == _DATA:
                return _DATA, b""
            raise MalformedStream(f"not a field: {line[:40]!r}")
        name, value = found[1], found[2]
        if name in self._number_fields:
            if not _NUMBER.fullmatch(value.removeprefix(b" ")):
                raise MalformedStream(f"not a number: {line[:40]!r}")
        elif len(name) == 1 or name in self._near_known:
            # One letter: the line end before a comment was the wrong byte.
            raise MalformedStream(f"a wrong byte in a name: {line[:40]!r}")
        return name, value


def _check_text(block: bytes) -> None:
    """Check the characters of an event.

    Raises:
        MalformedStream: The bytes are not UTF-8, or readers see other lines in them.
    """
    try:
        block.decode()
    except UnicodeDecodeError as exc:
        raise MalformedStream(f"not UTF-8: {exc.reason}") from exc
    if b"\r" in block:
        raise MalformedStream(f"a carriage return in an event: {block[:40]!r}")


def _check_spaces(fields: list[tuple[bytes, bytes]]) -> None:
    """Check that a space follows each colon, if one follows that of the id.

    Raises:
        MalformedStream: Another byte stands there.
    """
    standard = [(name, value) for name, value in fields if name in _FIELDS and value]
    if not dict(standard)[_ID].startswith(b" "):
        return
    for name, value in standard:
        if not value.startswith(b" "):
            raise MalformedStream(f"no space after the name: {name!r}")
