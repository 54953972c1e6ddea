"""Reads the lines of key=value pairs that routers write."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

__all__ = ["LogLine", "read_lines"]

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")
_PLAIN = {"n": "\n", "r": "\r"}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line.

    Attributes:
        at: Wall-clock time on its VM, seconds.
        event: What happened.
        router: Who wrote it.
        fields: All pairs.
    """

    at: float
    event: str
    router: str
    fields: dict[str, str]

    def number(self, name: str) -> float:
        """Return a field as a number; 0 where it holds none."""
        try:
            return float(self.fields.get(name, "0"))
        except ValueError:
            return 0.0


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that tell an event; what else stands in a file is left out.

    Args:
        texts: Lines, with any text before the first pair.
    """
    for text in texts:
        if "event=" not in text:
            continue
        fields = {name: _value(value) for name, value in _PAIR.findall(text)}
        try:
            at = float(fields.get("time", ""))
        except ValueError:
            continue
        yield LogLine(at, fields["event"], fields.get("router", "?"), fields)


def _value(text: str) -> str:
    if len(text) < 2 or not text.startswith('"'):
        return text
    return _ESCAPED.sub(lambda m: _PLAIN.get(m[1], m[1]), text[1:-1])
