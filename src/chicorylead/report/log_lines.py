"""Parse the log lines of routers: key=value pairs."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

__all__ = ["LogLine", "read_lines"]

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE = re.compile(r"\\(.)")
_CONTROL_CHARACTERS = {"n": "\n", "r": "\r"}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a router.

    Attributes:
        at: Wall-clock time of its VM, seconds.
        event: Name of the event.
        router: Router that wrote the line; `?` if the line does not name it.
        fields: All pairs of the line.
    """

    at: float
    event: str
    router: str
    fields: dict[str, str]

    def number(self, name: str) -> float:
        """Return a field as a number, or 0 if it is missing or not a number."""
        try:
            return float(self.fields.get(name, "0"))
        except ValueError:
            return 0.0


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that contain an event and a time; skip all other lines.

    Args:
        texts: Lines; any text may precede the first pair.
    """
    for text in texts:
        if "event=" not in text:
            continue
        fields = {name: _unquote(value) for name, value in _PAIR.findall(text)}
        try:
            at = float(fields.get("time", ""))
        except ValueError:
            continue
        yield LogLine(at, fields["event"], fields.get("router", "?"), fields)


def _unquote(text: str) -> str:
    if len(text) < 2 or not text.startswith('"'):
        return text
    return _ESCAPE.sub(lambda m: _CONTROL_CHARACTERS.get(m[1], m[1]), text[1:-1])
