"""Runs simulations for combinations of deployment, scenario, policy and seed."""

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
WORKER_PROCESSES = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cell:
    """The deployment, scenario, policy and seed of one run."""

    deployment: str
    scenario: str
    policy: str
    seed: int


def run_cell(cell: Cell) -> Figures:
    """Simulate one cell on an event loop with virtual time and return its figures."""
    deployment = DEPLOYMENTS[cell.deployment]
    scenario = next(item for item in SCENARIOS if item.name == cell.scenario)
    rng = random.Random(f"{cell.deployment}-{cell.scenario}-{cell.seed}")
    arriving = arrivals(deployment, rng, duration_s=scenario.duration_s, load=scenario.load)
    arriving = scenario.with_crashing_requests(arriving, rng)

    async def run_simulation() -> Figures:
        simulation = Simulation(
            deployment=deployment,
            spec=scenario.spec,
            policy=POLICIES[cell.policy],
            seed=cell.seed,
        )
        await simulation.run(arriving, scenario.script)
        return figures(simulation)

    loop = looptime.new_event_loop(start=0.0, noop_cycles=NOOP_CYCLES)
    try:
        return loop.run_until_complete(run_simulation())
    finally:
        loop.close()


def run_cells(cells: list[Cell]) -> dict[Cell, Figures]:
    """Simulate cells in ``WORKER_PROCESSES`` processes and return their figures."""
    with concurrent.futures.ProcessPoolExecutor(max_workers=WORKER_PROCESSES) as pool:
        return dict(zip(cells, pool.map(run_cell, cells, chunksize=1), strict=True))
