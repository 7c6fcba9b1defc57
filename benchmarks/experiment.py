"""Runs policies through scenarios over seeds."""

import concurrent.futures
import dataclasses
import random

import looptime

from benchmarks.policies import POLICIES
from benchmarks.scenarios import SCENARIOS
from benchmarks.simulation import Simulation
from benchmarks.stats import Figures
from benchmarks.stats import figures
from benchmarks.workloads import CARE
from benchmarks.workloads import TIMBER
from benchmarks.workloads import arrivals

DEPLOYMENTS = {deployment.name: deployment for deployment in (CARE, TIMBER)}
NOOP_CYCLES = 1
WORKERS = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cell:
    """One run: which deployment, scenario, policy and seed."""

    deployment: str
    scenario: str
    policy: str
    seed: int


def run_cell(cell: Cell) -> Figures:
    """Run one cell on a loop of virtual time."""
    deployment = DEPLOYMENTS[cell.deployment]
    scenario = next(item for item in SCENARIOS if item.name == cell.scenario)
    rng = random.Random(f"{cell.deployment}-{cell.scenario}-{cell.seed}")
    found = arrivals(deployment, rng, duration_s=scenario.duration_s, load=scenario.load)
    found = scenario.arrivals(found, rng)

    async def play() -> Figures:
        simulation = Simulation(
            deployment=deployment,
            spec=scenario.spec,
            policy=POLICIES[cell.policy],
            seed=cell.seed,
        )
        await simulation.run(found, scenario.script)
        return figures(simulation)

    loop = looptime.new_event_loop(start=0.0, noop_cycles=NOOP_CYCLES)
    try:
        return loop.run_until_complete(play())
    finally:
        loop.close()


def run_cells(cells: list[Cell]) -> dict[Cell, Figures]:
    """Run cells over a few processes and return their figures."""
    with concurrent.futures.ProcessPoolExecutor(max_workers=WORKERS) as pool:
        return dict(zip(cells, pool.map(run_cell, cells, chunksize=1), strict=True))
