"""Runs the command line from a checkout, with the packages under target/deps."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from chicorylead.cli.main import main  # noqa: E402

main()
