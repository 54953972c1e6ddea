"""Plain tables for people, JSON for machines."""

import sys
from collections.abc import Sequence

import msgspec

__all__ = ["print_json", "print_table"]


def print_json(body: object) -> None:
    """Print a body as one JSON document."""
    text = msgspec.json.format(msgspec.json.encode(body), indent=2)
    sys.stdout.write(text.decode() + "\n")


def print_table(heads: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under heads, columns as wide as their longest cell."""
    cells = [[_text(cell) for cell in row] for row in rows]
    widths = [
        max(len(head), *(len(row[i]) for row in cells)) if cells else len(head)
        for i, head in enumerate(heads)
    ]
    for row in [list(heads), *cells]:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        sys.stdout.write("  ".join(padded).rstrip() + "\n")


def _text(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:.3g}"
    return "-" if cell is None else str(cell)
