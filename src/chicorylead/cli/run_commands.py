"""Commands that run a router, stand-ins and the demonstration."""

import argparse
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from absl import logging as absl_logging

from chicorylead import __version__
from chicorylead.application import Application
from chicorylead.demo import run as run_demonstration
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.logs import EventLog
from chicorylead.router.app import Router
from chicorylead.settings import load_settings
from chicorylead.standin.engine import EngineSettings, StandinEngine
from chicorylead.standin.network import FaultProxy
from chicorylead.standin.platform import StandinPlatform, StandinPlatformSettings
from chicorylead.standin.service import ServiceSettings, StandinService

__all__ = ["print_version", "run_demo", "run_router", "run_standin"]


async def print_version(args: argparse.Namespace) -> int:
    """Print the version."""
    sys.stdout.write(f"chicorylead {__version__}\n")
    return 0


async def run_router(args: argparse.Namespace) -> int:
    """Run a router until a signal arrives, then drain it."""
    cfg = load_settings(Path(args.settings))
    absl_logging.set_verbosity(cfg.log_level)
    # The router's only reading of the wall clock: a restart needs a higher incarnation
    # than before, and the VM stores nothing.
    router = Router(cfg, incarnation=int(time.time() * 1000))
    await router.run()
    return 0


async def run_demo(args: argparse.Namespace) -> int:
    """Run the demonstration in one process."""
    absl_logging.set_verbosity(absl_logging.ERROR)
    return await run_demonstration(args.json)


async def run_standin(args: argparse.Namespace) -> int:
    """Run a stand-in until a signal arrives; the first line it prints is its port."""
    absl_logging.set_verbosity(absl_logging.WARNING)
    fields = _parse_pairs(args.set)
    standin: Any
    match args.kind:
        case "platform":
            standin = StandinPlatform(_convert(fields, StandinPlatformSettings))
        case "engine":
            standin = StandinEngine(_convert(fields, EngineSettings))
        case "service":
            standin = StandinService(_convert(fields, ServiceSettings))
        case _:
            standin = FaultProxy(int(fields.get("port", 0)))
    app = Application(EventLog(standin=args.kind))
    app.add(standin.start, standin.stop)
    app.add(start=lambda: _print_port(standin.port))
    await app.run()
    return 0


async def _print_port(port: int) -> None:
    sys.stdout.write(f"{port}\n")
    sys.stdout.flush()


def _parse_pairs(pairs: list[str]) -> dict[str, str]:
    fields = {}
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals:
            raise Refusal(ErrorKind.BAD_REQUEST, f"--set {pair}: expected FIELD=VALUE")
        fields[name] = value
    return fields


def _convert(fields: dict[str, str], type_: type) -> Any:
    try:
        return msgspec.convert(fields, type_, strict=False)
    except msgspec.ValidationError as exc:
        raise Refusal(ErrorKind.BAD_REQUEST, f"--set: {exc}") from exc
