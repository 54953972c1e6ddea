"""Log events as lines of key=value pairs, written through absl.logging."""

from enum import Enum

from absl import logging as absl_logging

__all__ = ["EventLog"]

_QUOTED_CHARS = frozenset(" \"='\n\r\t")


def _format_value(value: object) -> str:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not _QUOTED_CHARS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


class EventLog:
    """Logs events with a fixed set of leading key=value pairs.

    Args:
        **context: Pairs on every line, such as the router id.
    """

    def __init__(self, **context: object) -> None:
        self._context = context

    def bind(self, **context: object) -> "EventLog":
        """Return a log with additional leading pairs."""
        return EventLog(**{**self._context, **context})

    def debug(self, event: str, **fields: object) -> None:
        """Log an event that is useful only for debugging."""
        if absl_logging.level_debug():
            absl_logging.debug("%s", self._line(event, fields))

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        absl_logging.info("%s", self._line(event, fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that may require action by an operator."""
        absl_logging.warning("%s", self._line(event, fields))

    def error(self, event: str, **fields: object) -> None:
        """Log an event that indicates a defect or loss of service."""
        absl_logging.error("%s", self._line(event, fields))

    def _line(self, event: str, fields: dict[str, object]) -> str:
        pairs = {"event": event, **self._context, **fields}
        return " ".join(f"{key}={_format_value(val)}" for key, val in pairs.items())
