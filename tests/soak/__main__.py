"""Run seeds: `python -m tests.soak --seeds 1-50`; exit code 1 on any violation."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from tests.soak.runner import run_seed


def main() -> int:
    """Run the seeds one after the other and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="one number, or FIRST-LAST")
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="time with faults, seconds"
    )
    parser.add_argument("--keep", help="folder for settings and logs of the routers")
    parser.add_argument("--routers", type=int, default=3, help="number of processes")
    parser.add_argument("--upstreams", type=int, default=4)
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    n_failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(args.keep or scratch) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(
                run_seed(seed, args.seconds, folder, args.routers, args.upstreams)
            )
        n_failed += bool(result.violations)
        sys.stdout.write(f"seed {seed}: {result}\n")
        sys.stdout.flush()
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())
