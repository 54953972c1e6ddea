"""Commands that show the state of the fleet, send requests and resolve outcomes."""

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Any

import msgspec
from result import Result

from chicorylead.cli.client import CallError, RouterClient
from chicorylead.cli.config_commands import operator_token
from chicorylead.cli.table import print_json, print_table
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.report.burn import BurnReport, RouterLevels, burn_report, plot_burn

__all__ = ["address", "report_burn", "request", "resolve", "shares", "status"]


def _unwrap(answer: Result[Any, CallError]) -> Any:
    if answer.is_err():
        error = answer.unwrap_err()
        kind = ErrorKind.UNAUTHORISED if error.status == 401 else ErrorKind.NOT_READY
        raise Refusal(kind, error.text)
    return answer.unwrap()


async def address(args: argparse.Namespace) -> int:
    """Print the addresses of the routers that callers should use."""
    async with RouterClient(args.router) as client:
        answer = _unwrap(await client.addresses())
    if args.json:
        print_json(answer)
        return 0
    print_table(("ADDRESS", "ZONE"), [(e.address, e.zone) for e in answer.addresses])
    sys.stdout.write(f"valid for {answer.lifetime_s:g} s\n")
    return 0


async def status(args: argparse.Namespace) -> int:
    """Print a router's view of the fleet and its configuration offset."""
    async with RouterClient(args.router, operator_token(args)) as client:
        body = _unwrap(await client.get("/admin/v1/status"))
    if args.json:
        print_json(body)
        return 0
    rows = [(m["router"], m["zone"], m["address"], m["state"]) for m in body["members"]]
    print_table(("ROUTER", "ZONE", "ADDRESS", "STATE"), rows)
    sys.stdout.write(
        f"as seen by {body['router']}; configuration up to offset {body['covered']}; "
        f"root of the report tree {body['root']}\n"
    )
    return 0


async def shares(args: argparse.Namespace) -> int:
    """Print shares, queued and running requests by organisation and service."""
    async with RouterClient(args.router, operator_token(args)) as client:
        body = _unwrap(await client.get("/admin/v1/shares"))
    if args.json:
        print_json(body)
        return 0
    rows = [
        (
            pool["service"],
            org["organisation"],
            org["share"],
            org["n_waiting"],
            org["n_in_flight"],
            org["fleet_demand"],
            org["served"],
        )
        for pool in body["pools"]
        for org in pool["organisations"]
    ]
    header = (
        "SERVICE",
        "ORGANISATION",
        "SHARE",
        "WAITING",
        "RUNNING",
        "FLEET",
        "SERVED",
    )
    print_table(header, rows)
    return 0


async def request(args: argparse.Namespace) -> int:
    """Look up an address, send a request to it and print the answer."""
    async with RouterClient(args.router) as client:
        answer = _unwrap(await client.addresses())
    target = answer.addresses[0].address if answer.addresses else args.router
    headers = {"Idempotency-Key": args.key} if args.key else {}
    caller = (args.organisation, args.organisation_token)
    path = f"/v2/{args.service}/{args.operation}"
    async with RouterClient(target) as client:
        result = await client.post(path, args.body.encode(), headers, caller)
    if result.is_err():
        sys.stderr.write(f"chicorylead: {result.unwrap_err().text}\n")
        return 1
    print_json(result.unwrap())
    return 0


async def resolve(args: argparse.Namespace) -> int:
    """Record whether a request with an unknown outcome ran."""
    body = {
        "organisation": args.organisation,
        "service": args.service,
        "key": args.key,
        "ran": args.ran,
    }
    async with RouterClient(args.router, operator_token(args)) as client:
        _unwrap(await client.post("/admin/v1/resolve", msgspec.json.encode(body)))
    sys.stdout.write(f"key {args.key!r} is resolved\n")
    return 0


async def report_burn(args: argparse.Namespace) -> int:
    """Print burn rates of the error budgets, over the whole fleet."""
    token = operator_token(args)
    async with RouterClient(args.router, token) as client:
        state = _unwrap(await client.get("/admin/v1/status"))
    members = [m for m in state["members"] if m["state"] != "gone"]
    answers = await asyncio.gather(
        *(_fetch_levels(m["address"], token) for m in members)
    )
    levels = [answer for answer in answers if answer is not None]
    async with RouterClient(args.router, token) as client:
        records = _unwrap(await client.get("/admin/v1/records"))
    report = burn_report(levels, len(members), records["records"])
    if args.plot:
        plot_burn(report, Path(args.plot))
    if args.json:
        print_json(report)
    else:
        _print_burn(report)
    return 0


async def _fetch_levels(address: str, token: str) -> RouterLevels | None:
    async with RouterClient(address, token) as client:
        answer = await client.get("/admin/v1/levels")
    if answer.is_err():
        sys.stderr.write(f"chicorylead: {answer.unwrap_err().text}\n")
        return None
    return msgspec.convert(answer.unwrap(), RouterLevels)


def _print_burn(report: BurnReport) -> None:
    header = ("ORGANISATION", "OPERATION", "REQUESTS", "TARGET", "MET", "BUDGET LEFT")
    windows = tuple(f"BURN {name}" for name in report.windows)
    rows = [
        (
            row.organisation,
            row.operation,
            row.n_requests,
            row.target,
            row.met,
            row.budget_left,
            *row.burn,
        )
        for row in report.rows
    ]
    print_table((*header, *windows), rows)
    sys.stdout.write(
        f"from {report.n_routers} of {report.n_members} routers, "
        f"at least {report.history_s:.0f} s of history\n"
    )
