"""``python -m soak``: runs consecutive seeds; a failed run does not stop the later ones."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from soak.run import RunSize
from soak.run import SoakRun
from soak.stops import StopRun


def parse_args() -> argparse.Namespace:
    """Return the command-line arguments."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; default: a random one")
    parser.add_argument("--runs", type=int, default=1, help="number of consecutive seeds to run")
    parser.add_argument(
        "--seconds",
        type=float,
        default=RunSize.seconds,
        help="how long faults are injected in each run",
    )
    parser.add_argument("--hosts", type=int, default=RunSize.hosts)
    parser.add_argument("--upstreams", type=int, default=RunSize.upstreams)
    parser.add_argument("--callers", type=int, default=RunSize.callers)
    parser.add_argument(
        "--planned", action="store_true", help="only planned work, in which nothing may be lost"
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, help="directory in which the logs of the hosts are kept"
    )
    return parser.parse_args()


def _new_run(args: argparse.Namespace, seed: int, directory: pathlib.Path) -> SoakRun | StopRun:
    if args.planned:
        return StopRun(
            seed=seed,
            directory=directory,
            hosts=args.hosts,
            callers=args.callers,
            seconds=args.seconds,
        )
    size = RunSize(
        hosts=args.hosts, upstreams=args.upstreams, callers=args.callers, seconds=args.seconds
    )
    return SoakRun(seed=seed, size=size, directory=directory)


def main() -> int:
    """Run all seeds; return exit status 1 if any run violated a guarantee, else 0."""
    args = parse_args()
    first = random.SystemRandom().randrange(1_000_000) if args.seed is None else args.seed
    failed = 0
    for seed in range(first, first + args.runs):
        with tempfile.TemporaryDirectory() as scratch:
            directory = pathlib.Path(scratch) if args.logs is None else args.logs / str(seed)
            directory.mkdir(parents=True, exist_ok=True)
            violations = asyncio.run(_new_run(args, seed, directory).run())
        failed += bool(violations)
        print(
            f"seed {seed}: {'passed' if not violations else f'{len(violations)} violations'}",
            flush=True,
        )
        for line in violations[:20]:
            print(f"  {line}", flush=True)
    print(f"{args.runs} runs, {failed} with violated guarantees")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
