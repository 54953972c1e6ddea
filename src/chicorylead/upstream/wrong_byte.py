"""Names that one wrong byte makes of others."""

__all__ = ["is_nearly"]


def is_nearly(name: bytes, known: bytes) -> bool:
    """Return whether one wrong byte makes a name of a known one.

    It stands in place of a letter, which may have become a colon or a line end, or of
    the line end before the name.
    """
    if len(name) == len(known):
        return sum(a != b for a, b in zip(name, known, strict=True)) == 1
    return known.startswith(name) or known[1:] == name or name[1:] == known
