"""Subcommands, their flags and their exit codes.

Exit codes: 0 success, 1 the command failed, 2 the command line or a file is invalid.
"""

import argparse
import asyncio
import sys
from collections.abc import Callable, Coroutine
from importlib import import_module
from typing import Any

import uvloop
from absl import app as absl_app
from absl import logging as absl_logging
from absl.flags import argparse_flags

from chicorylead.errors import Refusal

__all__ = ["main"]

DEFAULT_ROUTER = "127.0.0.1:8080"
EXIT_FAILED = 1
EXIT_USAGE = 2

Command = Callable[[argparse.Namespace], Coroutine[Any, Any, int]]


def main() -> None:
    """Run the command line interface and exit."""
    absl_logging.use_absl_handler()
    absl_app.run(_run, flags_parser=_parse)


def _run(args: argparse.Namespace) -> int:
    command: Command = args.command
    try:
        return uvloop.run(command(args))
    except Refusal as exc:
        sys.stderr.write(f"chicorylead: {exc.detail}\n")
        return EXIT_USAGE
    except OSError as exc:
        sys.stderr.write(f"chicorylead: {exc}\n")
        return EXIT_FAILED
    except (KeyboardInterrupt, asyncio.CancelledError):
        return EXIT_FAILED


def _parse(argv: list[str]) -> argparse.Namespace:
    parser = argparse_flags.ArgumentParser(
        prog="chicorylead",
        description="Router fleet for organisations that share model capacity.",
        inherited_absl_flags=None,
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_run_commands(commands)
    _add_config_commands(commands)
    _add_fleet_commands(commands)
    return parser.parse_args(argv[1:])


def _add(
    commands: Any, name: str, help_text: str, function: str
) -> argparse.ArgumentParser:
    """Add a command that is run by a function of a module of this package.

    The module is imported when the command runs: a gateway starts on a small fraction
    of a core, and most of that time is imports.
    """
    parser = commands.add_parser(name, help=help_text, description=help_text)
    parser.set_defaults(command=lambda args: _load(function)(args))
    return parser


def _load(function: str) -> Command:
    module, _, name = function.partition(".")
    return getattr(import_module(f"chicorylead.cli.{module}"), name)


def _add_operator_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--router", default=DEFAULT_ROUTER, help="IP address and port of any router"
    )
    parser.add_argument(
        "--token",
        default=None,
        help="operator credential; by default from CHICORYLEAD_OPERATOR_TOKEN",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_run_commands(commands: Any) -> None:
    router = _add(commands, "router", "run a router", "run_commands.run_router")
    router.add_argument("--settings", required=True, help="YAML file")
    gateway = _add(
        commands,
        "gateway",
        "run a router on the platform",
        "gateway_command.run_gateway",
    )
    gateway.add_argument(
        "--settings",
        help="JSON file; by default the one that CHICORYLEAD_NODE_FILE names",
    )
    demo = _add(
        commands,
        "demo",
        "run the demonstration in one process",
        "run_commands.run_demo",
    )
    demo.add_argument("--json", action="store_true", help="print JSON")
    _add(commands, "version", "print the version", "run_commands.print_version")
    standin = commands.add_parser(
        "standin", help="run a stand-in for a neighbouring system"
    )
    kinds = standin.add_subparsers(metavar="KIND", required=True)
    for kind in ("platform", "engine", "service", "network"):
        parser = _add(kinds, kind, f"run a {kind}", "run_commands.run_standin")
        parser.set_defaults(kind=kind)
        parser.add_argument(
            "--set",
            action="append",
            default=[],
            metavar="FIELD=VALUE",
            help="set a field of the settings of the stand-in",
        )


def _add_config_commands(commands: Any) -> None:
    config = commands.add_parser("config", help="manage configuration records")
    actions = config.add_subparsers(metavar="ACTION", required=True)
    validate = _add(
        actions, "validate", "check the records of a file", "config_commands.validate"
    )
    validate.add_argument("file", help="YAML or JSON, one or more records")
    publish = _add(
        actions, "publish", "publish the records of a file", "config_commands.publish"
    )
    publish.add_argument("file", help="YAML or JSON, one or more records")
    _add_operator_flags(publish)
    show = _add(actions, "show", "print the records in force", "config_commands.show")
    show.add_argument("--all-routers", action="store_true", help="ask every router")
    _add_operator_flags(show)
    history = _add(
        actions, "history", "print the changes in the log", "config_commands.history"
    )
    history.add_argument("--settings", required=True, help="YAML file of a router")
    history.add_argument("--json", action="store_true", help="print JSON")
    settings = commands.add_parser("settings", help="check or describe settings")
    actions = settings.add_subparsers(metavar="ACTION", required=True)
    check = _add(actions, "check", "check a settings file", "config_commands.check")
    _add(actions, "reference", "print all settings", "config_commands.reference")
    check.add_argument("file", help="YAML file, or JSON file of the users' platform")


def _add_fleet_commands(commands: Any) -> None:
    address = _add(
        commands, "address", "print addresses of routers", "fleet_commands.address"
    )
    _add_operator_flags(address)
    status = _add(
        commands,
        "status",
        "print the fleet as seen by a router",
        "fleet_commands.status",
    )
    _add_operator_flags(status)
    shares = _add(
        commands,
        "shares",
        "print shares and queues of a router",
        "fleet_commands.shares",
    )
    _add_operator_flags(shares)
    request = _add(commands, "request", "send a request", "fleet_commands.request")
    _add_operator_flags(request)
    request.add_argument("--organisation", required=True)
    request.add_argument("--organisation-token", required=True)
    request.add_argument("--key", help="idempotency key")
    request.add_argument("service")
    request.add_argument("operation")
    request.add_argument("body", help="JSON text")
    resolve = _add(
        commands, "resolve", "resolve an unknown outcome", "fleet_commands.resolve"
    )
    _add_operator_flags(resolve)
    resolve.add_argument("--organisation", required=True)
    resolve.add_argument("--service", required=True)
    resolve.add_argument("--key", required=True)
    outcome = resolve.add_mutually_exclusive_group(required=True)
    outcome.add_argument("--ran", action="store_true", dest="ran")
    outcome.add_argument("--not-run", action="store_false", dest="ran")
    report = commands.add_parser("report", help="print reports")
    actions = report.add_subparsers(metavar="REPORT", required=True)
    burn = _add(
        actions, "burn", "burn rates of error budgets", "fleet_commands.report_burn"
    )
    burn.add_argument("--plot", metavar="FILE", help="write a chart (PNG)")
    _add_operator_flags(burn)
    load = _add(
        actions, "load", "load by organisation, from logs", "log_commands.report_load"
    )
    load.add_argument("logs", nargs="+", metavar="LOG", help="logs of routers")
    load.add_argument("--plot", metavar="FILE", help="write a chart (PNG)")
    load.add_argument("--json", action="store_true", help="print JSON")
    shares = _add(
        actions,
        "shares",
        "shortfalls of shares, from logs",
        "log_commands.report_shares",
    )
    shares.add_argument("logs", nargs="+", metavar="LOG", help="logs of routers")
    shares.add_argument("--json", action="store_true", help="print JSON")
    explain = _add(
        commands, "explain", "explain how a request ended", "log_commands.explain"
    )
    explain.add_argument("request", help="id that the caller gave to the attempt")
    explain.add_argument("logs", nargs="+", metavar="LOG", help="logs of routers")
