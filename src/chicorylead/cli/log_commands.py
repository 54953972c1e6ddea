"""Commands that read the logs of routers."""

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from chicorylead.cli.table import print_json, print_table
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.report.explanation import explain_request
from chicorylead.report.load import LoadRow, load_report
from chicorylead.report.log_lines import LogLine, read_lines
from chicorylead.report.plot import draw_lines
from chicorylead.report.shares import share_report

__all__ = ["explain", "report_load", "report_shares"]

EXIT_NOT_FOUND = 1
MAX_PLOTTED = 8  # more lines are hard to tell apart


async def explain(args: argparse.Namespace) -> int:
    """Print how a request ended, and why."""
    explanation = explain_request(args.request, list(_read_logs(args.logs)))
    if explanation is None:
        sys.stderr.write(f"chicorylead: no line names request {args.request}\n")
        return EXIT_NOT_FOUND
    out = [f"request {args.request}", *explanation.steps]
    if explanation.context:
        out += ["", "its routers and upstreams at that time:", *explanation.context]
    out += ["", f"cause: {explanation.cause}"]
    sys.stdout.write("\n".join(out) + "\n")
    return 0


async def report_load(args: argparse.Namespace) -> int:
    """Print the load of organisations and upstreams."""
    report = load_report(_read_logs(args.logs))
    if args.plot:
        names = [row.name for row in report.organisations[:MAX_PLOTTED]]
        draw_lines(
            Path(args.plot),
            "Answered requests by organisation",
            "requests/s",
            "seconds",
            report.times,
            {name: report.served[name] for name in names},
        )
    if args.json:
        print_json(report)
        return 0
    _print_rows("ORGANISATION", report.organisations)
    sys.stdout.write("\n")
    _print_rows("UPSTREAM", report.upstreams)
    return 0


async def report_shares(args: argparse.Namespace) -> int:
    """Print organisations that got too little while others were served."""
    found = share_report(_read_logs(args.logs))
    if args.json:
        print_json(found)
        return 0
    header = ("POOL", "ORGANISATION", "FROM SECOND", "ASKED", "GOT", "OWED", "BEST GOT")
    print_table(
        header,
        [
            (
                r.pool,
                r.organisation,
                r.second,
                round(r.asked),
                round(r.got),
                round(r.owed),
                round(r.best),
            )
            for r in found
        ],
    )
    return 0


def _print_rows(heading: str, rows: list[LoadRow]) -> None:
    header = (heading, "SERVED", "REFUSED", "FAILED", "FIRST S", "99 IN 100", "PAUSE S")
    print_table(
        header,
        [
            (
                r.name,
                r.served,
                r.refused,
                r.failed,
                r.first_s,
                r.first_late_s,
                r.pause_s,
            )
            for r in rows
        ],
    )


def _read_logs(paths: list[str]) -> Iterator[LogLine]:
    for path in paths:
        try:
            with Path(path).open(errors="replace") as file:
                yield from read_lines(file)
        except OSError as exc:
            raise Refusal(ErrorKind.BAD_REQUEST, f"log {path}: {exc}") from exc
