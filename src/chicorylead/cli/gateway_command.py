"""Command that runs a router on the users' platform."""

import argparse
import logging
import time
from pathlib import Path

from absl import logging as absl_logging

from chicorylead.gateway.app import Gateway
from chicorylead.log_output import LogOutput
from chicorylead.platform.settings_file import read_settings, settings_path

__all__ = ["run_gateway"]


async def run_gateway(args: argparse.Namespace) -> int:
    """Run a router on the users' platform until a signal arrives, then drain it."""
    path = Path(args.settings) if args.settings else settings_path()
    absl_logging.set_verbosity(absl_logging.INFO)
    output = LogOutput()
    logging.getLogger().handlers = [output]
    gateway = Gateway(
        read_settings(path),
        incarnation=time.time_ns(),
        read_settings=lambda: read_settings(path),
    )
    try:
        await gateway.run()
    finally:
        output.close()
    return 0
