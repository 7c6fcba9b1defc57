"""The command line of the load simulations."""

import argparse
import collections.abc as cabc
import json
import typing as t

_Load = t.TypeVar("_Load")


def print_figures(
    *,
    prog: str,
    description: str | None,
    loads: cabc.Mapping[str, _Load],
    simulate: cabc.Callable[[_Load, int], dict[str, t.Any]],
) -> None:
    """Print the figures of each load and seed that the arguments name, as JSON lines.

    :param simulate: returns the figures of one run of a load with a seed.
    """
    parser = argparse.ArgumentParser(prog=prog, description=description)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of runs of each load, with seeds from 1"
    )
    parser.add_argument("--loads", nargs="+", choices=list(loads), default=list(loads))
    args = parser.parse_args()
    for name in args.loads:
        for seed in range(1, args.seeds + 1):
            found = simulate(loads[name], seed)
            print(json.dumps({"load": name, "seed": seed, **found}), flush=True)
