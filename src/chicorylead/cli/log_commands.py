"""Commands that read the logs of routers."""

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.report.log_lines import LogLine, read_lines
from chicorylead.report.story import tell

__all__ = ["explain"]

EXIT_NOT_FOUND = 1


async def explain(args: argparse.Namespace) -> int:
    """Print what became of a request."""
    story = tell(args.request, list(_read(args.logs)))
    if story is None:
        sys.stderr.write(f"chicorylead: no line names request {args.request}\n")
        return EXIT_NOT_FOUND
    out = [f"request {args.request}", *story.steps]
    if story.around:
        out += ["", "its routers and upstreams at that time", *story.around]
    out += ["", f"cause: {story.cause}"]
    sys.stdout.write("\n".join(out) + "\n")
    return 0


def _read(paths: list[str]) -> Iterator[LogLine]:
    for path in paths:
        try:
            with Path(path).open(errors="replace") as file:
                yield from read_lines(file)
        except OSError as exc:
            raise Refusal(ErrorKind.BAD_REQUEST, f"log {path}: {exc}") from exc
