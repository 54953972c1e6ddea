"""Runs the command line from a checkout, with the packages under target/deps."""

import signal
import sys
from pathlib import Path

# Imports take a while, and until a router handles SIGHUP it would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from chicorylead.cli.main import main  # noqa: E402

main()
