"""One line of key=value pairs for each event, written through absl.logging."""

from enum import Enum

from absl import logging as absl_logging

__all__ = ["EventLog"]

_NEEDS_QUOTES = frozenset(" \"='\n\r\t")


def _format_value(value: object) -> str:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not _NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


class EventLog:
    """Write events with a fixed set of leading pairs.

    Args:
        **context: Pairs that stand on every line, such as the router id.
    """

    def __init__(self, **context: object) -> None:
        self._context = context

    def bind(self, **context: object) -> "EventLog":
        """Return a log with further leading pairs."""
        return EventLog(**{**self._context, **context})

    def debug(self, event: str, **fields: object) -> None:
        """Write an event that is of use only while a fault is searched for."""
        if absl_logging.level_debug():
            absl_logging.debug("%s", self._line(event, fields))

    def info(self, event: str, **fields: object) -> None:
        """Write an event of ordinary operation."""
        absl_logging.info("%s", self._line(event, fields))

    def warning(self, event: str, **fields: object) -> None:
        """Write an event that an operator may need to act on."""
        absl_logging.warning("%s", self._line(event, fields))

    def error(self, event: str, **fields: object) -> None:
        """Write an event that means a defect or lost service."""
        absl_logging.error("%s", self._line(event, fields))

    def _line(self, event: str, fields: dict[str, object]) -> str:
        pairs = {"event": event, **self._context, **fields}
        return " ".join(f"{key}={_format_value(val)}" for key, val in pairs.items())
