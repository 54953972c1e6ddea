"""Print tables for people and JSON for programs."""

import sys
from collections.abc import Sequence

import msgspec

__all__ = ["print_json", "print_table"]


def print_json(body: object) -> None:
    """Print an object as one indented JSON document."""
    text = msgspec.json.format(msgspec.json.encode(body), indent=2)
    sys.stdout.write(text.decode() + "\n")


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows below a header; each column is as wide as its longest cell."""
    cells = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max(len(heading), *(len(row[i]) for row in cells)) if cells else len(heading)
        for i, heading in enumerate(header)
    ]
    for row in [list(header), *cells]:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        sys.stdout.write("  ".join(padded).rstrip() + "\n")


def _format_cell(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:.3g}"
    return "-" if cell is None else str(cell)
