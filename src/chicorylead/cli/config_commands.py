"""Commands on configuration records and settings."""

import argparse
import os
import sys
from pathlib import Path
from typing import Any

import msgspec

from chicorylead.backing.api import PlatformUnavailable
from chicorylead.backing.http import HttpPlatform
from chicorylead.cli.client import RouterClient
from chicorylead.cli.table import print_json, print_table
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import Offset
from chicorylead.platform.settings_file import read_settings
from chicorylead.records.log import CONFIG_STREAM
from chicorylead.records.schema import Record, to_model
from chicorylead.report.settings_page import settings_page
from chicorylead.settings import load_settings

__all__ = [
    "check",
    "history",
    "operator_token",
    "publish",
    "read_records",
    "reference",
    "show",
    "validate",
]

TOKEN_VARIABLE = "CHICORYLEAD_OPERATOR_TOKEN"


def operator_token(args: argparse.Namespace) -> str:
    """Return the operator credential from the flags or the environment.

    Raises:
        Refusal: Neither contains a credential.
    """
    token = args.token or os.environ.get(TOKEN_VARIABLE, "")
    if not token:
        raise Refusal(ErrorKind.UNAUTHORISED, f"give --token or set {TOKEN_VARIABLE}")
    return token


def read_records(path: Path) -> list[Record]:
    """Read one or more records from a YAML or JSON file.

    Raises:
        Refusal: The file cannot be read, or a record is invalid.
    """
    try:
        text = path.read_bytes()
    except OSError as exc:
        raise Refusal(ErrorKind.BAD_REQUEST, f"{path}: {exc.strerror}") from exc
    try:
        body: Any = msgspec.yaml.decode(text)
        items = body if isinstance(body, list) else [body]
        records = msgspec.convert(items, list[Record])
    except msgspec.MsgspecError as exc:
        raise Refusal(ErrorKind.BAD_REQUEST, f"{path}: {exc}") from exc
    for record in records:
        if not record.deleted:
            to_model(record)
    return records


async def validate(args: argparse.Namespace) -> int:
    """Check the records of a file."""
    records = read_records(Path(args.file))
    sys.stdout.write(f"{len(records)} records are valid\n")
    return 0


async def publish(args: argparse.Namespace) -> int:
    """Publish the records of a file in order, and stop at the first failure."""
    records = read_records(Path(args.file))
    rows = []
    failure = ""
    async with RouterClient(args.router, operator_token(args)) as client:
        for record in records:
            body = msgspec.json.encode(record)
            answer = await client.post("/admin/v1/records", body)
            if answer.is_err():
                failure = f"{record.kind} {record.name!r}: {answer.unwrap_err().text}"
                break
            rows.append((answer.unwrap()["offset"], record.kind, record.name))
    if args.json:
        print_json([{"offset": o, "kind": k, "name": n} for o, k, n in rows])
    else:
        print_table(("OFFSET", "KIND", "NAME"), rows)
    if failure:
        sys.stderr.write(f"chicorylead: {failure}\n")
        return 1
    return 0


async def show(args: argparse.Namespace) -> int:
    """Print the records in force on one router or on all routers."""
    token = operator_token(args)
    addresses = [args.router]
    if args.all_routers:
        addresses = await _member_addresses(args.router, token)
    pages = []
    n_failed = 0
    for address in addresses:
        async with RouterClient(address, token) as client:
            answer = await client.get("/admin/v1/records")
        if answer.is_err():
            sys.stderr.write(f"chicorylead: {answer.unwrap_err().text}\n")
            n_failed += 1
            continue
        pages.append(answer.unwrap())
    if args.json:
        print_json(pages)
    else:
        _print_records(pages)
    return 1 if n_failed else 0


def _print_records(pages: list[dict[str, Any]]) -> None:
    rows = [
        (
            page["router"],
            item["offset"],
            item["record"]["kind"],
            item["record"]["name"],
            item["record"]["schema"],
            "deleted" if item["record"]["deleted"] else "in force",
        )
        for page in pages
        for item in page["records"]
    ]
    print_table(("ROUTER", "OFFSET", "KIND", "NAME", "SCHEMA", "STATE"), rows)


async def _member_addresses(router: str, token: str) -> list[str]:
    async with RouterClient(router, token) as client:
        answer = await client.get("/admin/v1/status")
    if answer.is_err():
        raise Refusal(ErrorKind.NOT_READY, answer.unwrap_err().text)
    members = answer.unwrap()["members"]
    return [m["address"] for m in members if m["state"] != "gone"]


async def history(args: argparse.Namespace) -> int:
    """Print the configuration changes in the log."""
    cfg = load_settings(Path(args.settings))
    platform = HttpPlatform(cfg.platform, "history")
    entries = []
    try:
        start = Offset(1)
        while True:
            page = await platform.read(CONFIG_STREAM, start)
            entries += page.entries
            if not page.entries or page.entries[-1].offset + 1 >= page.end:
                break
            start = Offset(page.entries[-1].offset + 1)
    except PlatformUnavailable as exc:
        sys.stderr.write(f"chicorylead: {exc}\n")
        return 1
    finally:
        await platform.close()
    decoded = [(entry.offset, msgspec.json.decode(entry.data)) for entry in entries]
    if args.json:
        print_json([{"offset": offset, **body} for offset, body in decoded])
        return 0
    rows = [(offset, body["type"], *_entry_columns(body)) for offset, body in decoded]
    print_table(("OFFSET", "ENTRY", "KIND", "NAME", "IF VERSION"), rows)
    return 0


def _entry_columns(body: dict[str, Any]) -> tuple[object, object, object]:
    record = body.get("record")
    if record is None:
        return ("-", f"covers {body.get('covers')}", None)
    return (record["kind"], record["name"], record.get("if_version"))


async def check(args: argparse.Namespace) -> int:
    """Check a settings file of this project or of the users' platform."""
    path = Path(args.file)
    cfg = read_settings(path) if path.suffix == ".json" else load_settings(path)
    sys.stdout.write(f"settings of router {cfg.id!r} are valid\n")
    return 0


async def reference(args: argparse.Namespace) -> int:
    """Print the settings reference."""
    sys.stdout.write(settings_page())
    return 0
