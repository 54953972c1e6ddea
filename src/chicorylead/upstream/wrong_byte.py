"""Names that one wrong byte makes of others."""

import re
from collections.abc import Iterable

__all__ = ["NearNames"]


class NearNames:
    """Tells names that one wrong byte makes of known ones.

    The byte stands in place of a letter, which may have become a colon or a line end,
    or of the line end before the name.

    Load pattern: an upstream sends tens of thousands of different names a second.

    Args:
        known: The known names.
    """

    def __init__(self, known: Iterable[bytes]) -> None:
        self._known = frozenset(known)
        self._shortened = frozenset(
            part
            for name in self._known
            for part in (*(name[:length] for length in range(len(name))), name[1:])
        )
        with_other_letter = [
            re.escape(name[:at]) + b"." + re.escape(name[at + 1 :])
            for name in sorted(self._known)
            for at in range(len(name))
        ]
        self._with_other_letter = re.compile(b"|".join(with_other_letter), re.DOTALL)

    def __contains__(self, name: bytes) -> bool:
        """Return whether one wrong byte makes a name of a known one."""
        if name in self._known:
            return False
        return (
            name in self._shortened
            or name[1:] in self._known
            or self._with_other_letter.fullmatch(name) is not None
        )
