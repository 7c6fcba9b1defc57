"""Scenarios of the simulation: the load over time and the faults."""

import asyncio
import collections.abc as cabc
import dataclasses
import random

from benchmarks.fakes import CRASH_MARKER
from benchmarks.fakes import EngineSpec
from benchmarks.simulation import RECLAIM_NOTICE_S
from benchmarks.simulation import Simulation
from benchmarks.workloads import Arrival

FAULT_AT_S = 12.0
OUTAGE_S = 8.0
ENGINE_START_S = 10.0


async def _no_fault(simulation: Simulation) -> None:
    """Cause no fault."""


async def _slow_engine(simulation: Simulation) -> None:
    await asyncio.sleep(FAULT_AT_S)
    simulation.connector.engines["engine-0"].slow_factor = 4.0


async def _engine_outage(simulation: Simulation) -> None:
    await asyncio.sleep(FAULT_AT_S)
    for engine in simulation.connector.engines.values():
        engine.refusing = True
    await asyncio.sleep(OUTAGE_S)
    for engine in simulation.connector.engines.values():
        engine.refusing = False


def _reclaim_domain(
    *, refused_starts: bool
) -> cabc.Callable[[Simulation], cabc.Coroutine[None, None, None]]:
    async def script(simulation: Simulation) -> None:
        await asyncio.sleep(FAULT_AT_S)
        domain = simulation.deployment.domains[1]
        names = simulation.reclaimable_engines(domain)
        simulation.announce_reclaim(names)
        await asyncio.sleep(RECLAIM_NOTICE_S)
        simulation.kill_engines(names)
        if refused_starts:
            return
        await asyncio.sleep(ENGINE_START_S)
        for _ in names:
            simulation.add_engine(simulation.deployment.domains[2])

    return script


async def _replace_crashed_engines(simulation: Simulation) -> None:
    """Replace each crashed engine by a new one after ``ENGINE_START_S``."""
    while True:
        await asyncio.sleep(1.0)
        dead = [
            name for name, engine in simulation.connector.engines.items() if engine.dead.is_set()
        ]
        for name in [name for name in dead if name in simulation.hosts.entries]:
            domain = simulation.hosts.entries.pop(name).failure_domain
            asyncio.get_running_loop().call_later(ENGINE_START_S, simulation.add_engine, domain)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """The load, the engines' properties and the faults of a run.

    :param load: returns the load at a time in seconds, as a ratio of the deployment's rate.
    :param script: causes the faults.
    :param crashing_requests: the number of requests that crash the engine that runs them.
    """

    name: str
    load: cabc.Callable[[float], float] = lambda _: 0.75
    spec: EngineSpec = EngineSpec()
    script: cabc.Callable[[Simulation], cabc.Coroutine[None, None, None]] = _no_fault
    duration_s: float = 30.0
    crashing_requests: int = 0

    def with_crashing_requests(self, arrivals: list[Arrival], rng: random.Random) -> list[Arrival]:
        """Make ``crashing_requests`` random engine requests crash their engine; return the list."""
        engine_requests = [number for number, item in enumerate(arrivals) if not item.spec.plain]
        for number in rng.sample(engine_requests, self.crashing_requests):
            arrivals[number] = dataclasses.replace(arrivals[number], prompt=CRASH_MARKER)
        return arrivals


def _burst(now_s: float) -> float:
    return 1.6 if 10.0 <= now_s % 20.0 < 14.0 else 0.6


def _peak(level: float) -> cabc.Callable[[float], float]:
    return lambda now_s: level if 6.0 <= now_s < 22.0 else 0.6


LAG_2S = EngineSpec(report_lag_s=2.0)
LAG_5S = EngineSpec(report_lag_s=5.0)
LOSSY_EVENTS = EngineSpec(report_lag_s=2.0, event_loss=0.2)

SCENARIOS = (
    Scenario(name="steady"),
    Scenario(name="burst", load=_burst, duration_s=40.0),
    Scenario(name="lag-2s", spec=LAG_2S, load=lambda _: 0.85),
    Scenario(name="lag-5s", spec=LAG_5S, load=lambda _: 0.85),
    Scenario(name="cache-gaps", spec=LOSSY_EVENTS),
    Scenario(name="slow-engine", script=_slow_engine),
    Scenario(name="reclaim", script=_reclaim_domain(refused_starts=False), duration_s=40.0),
    Scenario(name="reclaim-refused", script=_reclaim_domain(refused_starts=True), duration_s=40.0),
    Scenario(name="outage", script=_engine_outage, duration_s=40.0),
    Scenario(name="crash", script=_replace_crashed_engines, crashing_requests=2),
    Scenario(name="overload-1.5", load=_peak(1.5), duration_s=40.0),
    Scenario(name="overload-3", load=_peak(3.0), duration_s=40.0),
)
