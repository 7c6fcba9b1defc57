"""Compares policies in simulated scenarios: ``python -m benchmarks [--quick]``."""

import argparse
import dataclasses
import importlib.metadata
import json
import pathlib

from benchmarks.experiment import DEPLOYMENTS
from benchmarks.experiment import Cell
from benchmarks.experiment import run_cells
from benchmarks.policies import POLICIES
from benchmarks.scenarios import SCENARIOS
from benchmarks.stats import Figures
from benchmarks.stats import Spread
from benchmarks.stats import spreads

RESULTS_DIR = pathlib.Path("benchmarks/results")
DEFAULT_POLICIES = ("round-robin", "random-two", "queue-only", "product")
QUICK_SCENARIOS = ("steady", "overload-3")
DEFAULT_SEEDS = 5
COLUMNS = (
    "answered",
    "cost",
    "computed",
    "recomputed",
    "p50_s",
    "p95_s",
    "p99_s",
    "refused",
    "given_up",
    "must_arrive",
    "worst_share",
    "retries",
)

Groups = dict[tuple[str, str, str], dict[str, Spread]]


def parse_args() -> argparse.Namespace:
    """Return the command line's arguments, with the scenarios and seeds of ``--quick`` applied."""
    names = [scenario.name for scenario in SCENARIOS]
    parser = argparse.ArgumentParser(prog="python -m benchmarks", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="two scenarios, one seed")
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument(
        "--policies", nargs="+", choices=list(POLICIES), default=list(DEFAULT_POLICIES)
    )
    parser.add_argument("--scenarios", nargs="+", choices=names, default=names)
    parser.add_argument("--deployments", nargs="+", choices=list(DEPLOYMENTS))
    parser.add_argument("--plot", type=pathlib.Path, help="write the plot to this file")
    args = parser.parse_args()
    args.deployments = args.deployments or list(DEPLOYMENTS)
    if args.quick:
        args.seeds, args.scenarios = 1, list(QUICK_SCENARIOS)
    return args


def group_by_policy(results: dict[Cell, Figures]) -> Groups:
    """Return the spreads over seeds by deployment, scenario and policy."""
    runs: dict[tuple[str, str, str], list[Figures]] = {}
    for cell, run_figures in results.items():
        runs.setdefault((cell.deployment, cell.scenario, cell.policy), []).append(run_figures)
    return {key: spreads(values) for key, values in runs.items()}


def print_table(groups: Groups) -> None:
    """Print the medians over seeds, and the range of the figure ``answered``."""
    headings = " ".join(f"{name:>11}" for name in COLUMNS)
    print(f"{'deployment':14}{'scenario':16}{'policy':14}{'range of answered':>18} {headings}")
    for (deployment, scenario, policy), figures in groups.items():
        answered = figures["answered"]
        cells = " ".join(f"{figures[name].median:11.3f}" for name in COLUMNS)
        answered_range = f"{answered.low:.3f}-{answered.high:.3f}"
        print(f"{deployment:14}{scenario:16}{policy:14}{answered_range:>18} {cells}")


def write_json(groups: Groups, seeds: int) -> pathlib.Path:
    """Write the spreads to ``decisions.json`` and return its path."""
    RESULTS_DIR.mkdir(parents=True, exist_ok=True)
    path = RESULTS_DIR / "decisions.json"
    rows = [
        {
            "deployment": deployment,
            "scenario": scenario,
            "policy": policy,
            "figures": {name: dataclasses.asdict(spread) for name, spread in figures.items()},
        }
        for (deployment, scenario, policy), figures in groups.items()
    ]
    version = importlib.metadata.version("cassiawalk")
    text = json.dumps({"version": version, "seeds": seeds, "rows": rows}, indent=1)
    path.write_text(text + "\n")
    return path


def plot(groups: Groups, path: pathlib.Path) -> None:
    """Plot the share answered within target, as median and range, by scenario and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    deployments = sorted({key[0] for key in groups})
    figure, axes = pyplot.subplots(len(deployments), 1, figsize=(9, 3 * len(deployments)))
    for axis, deployment in zip(axes if len(deployments) > 1 else [axes], deployments, strict=True):
        scenarios = list(dict.fromkeys(key[1] for key in groups if key[0] == deployment))
        policies = list(dict.fromkeys(key[2] for key in groups if key[0] == deployment))
        for offset, policy in enumerate(policies):
            answered = [groups[deployment, scenario, policy]["answered"] for scenario in scenarios]
            positions = [index + 0.2 * offset for index in range(len(scenarios))]
            medians = [spread.median for spread in answered]
            errors = [
                [spread.median - spread.low for spread in answered],
                [spread.high - spread.median for spread in answered],
            ]
            axis.errorbar(positions, medians, yerr=errors, fmt="o", markersize=3, label=policy)
        axis.set_xticks(range(len(scenarios)), scenarios, rotation=30, fontsize=7)
        axis.set_ylabel("answered within target", fontsize=8)
        axis.set_title(deployment, fontsize=9)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main() -> None:
    """Run the simulations, print the table and write the results."""
    args = parse_args()
    cells = [
        Cell(deployment=deployment, scenario=scenario, policy=policy, seed=seed)
        for deployment in args.deployments
        for scenario in args.scenarios
        for policy in args.policies
        for seed in range(1, args.seeds + 1)
    ]
    groups = group_by_policy(run_cells(cells))
    print_table(groups)
    print(f"figures in {write_json(groups, args.seeds)}")
    if args.plot is not None:
        plot(groups, args.plot)


if __name__ == "__main__":
    main()
