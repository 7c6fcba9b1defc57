"""``python -m soak``: plays seeds one after the other and stops at none."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from soak.run import Size
from soak.run import SoakRun


def parse() -> argparse.Namespace:
    """Return the arguments."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="the first seed; at random if not given")
    parser.add_argument("--runs", type=int, default=1, help="how many seeds, one after the other")
    parser.add_argument("--seconds", type=float, default=Size.seconds, help="of faults a run")
    parser.add_argument("--hosts", type=int, default=Size.hosts)
    parser.add_argument("--upstreams", type=int, default=Size.upstreams)
    parser.add_argument("--callers", type=int, default=Size.callers)
    parser.add_argument("--logs", type=pathlib.Path, help="keep the hosts' logs in this folder")
    return parser.parse_args()


def main() -> int:
    """Play the seeds; return 1 if a promise was broken in one of them."""
    args = parse()
    size = Size(
        hosts=args.hosts, upstreams=args.upstreams, callers=args.callers, seconds=args.seconds
    )
    first = random.SystemRandom().randrange(1_000_000) if args.seed is None else args.seed
    failed = 0
    for seed in range(first, first + args.runs):
        with tempfile.TemporaryDirectory() as scratch:
            directory = pathlib.Path(scratch) if args.logs is None else args.logs / str(seed)
            directory.mkdir(parents=True, exist_ok=True)
            broken = asyncio.run(SoakRun(seed=seed, size=size, directory=directory).run())
        failed += bool(broken)
        print(f"seed {seed}: {'kept' if not broken else f'{len(broken)} broken'}", flush=True)
        for line in broken[:20]:
            print(f"  {line}", flush=True)
    print(f"{args.runs} runs, {failed} with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
