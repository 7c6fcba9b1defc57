"""Loads and faults that the policies meet."""

import asyncio
import collections.abc as cabc
import dataclasses
import random

from benchmarks.fakes import CRASH_TEXT
from benchmarks.fakes import EngineSpec
from benchmarks.simulation import NOTICE_S
from benchmarks.simulation import Simulation
from benchmarks.workloads import Arrival

FAULT_AT_S = 12.0
OUTAGE_S = 8.0
START_S = 10.0


async def _nothing(simulation: Simulation) -> None:
    """Leave all as it is."""


async def _slow(simulation: Simulation) -> None:
    await asyncio.sleep(FAULT_AT_S)
    simulation.connector.engines["engine-0"].slow_factor = 4.0


async def _outage(simulation: Simulation) -> None:
    await asyncio.sleep(FAULT_AT_S)
    for engine in simulation.connector.engines.values():
        engine.refusing = True
    await asyncio.sleep(OUTAGE_S)
    for engine in simulation.connector.engines.values():
        engine.refusing = False


def _reclaim(
    *, refused_starts: bool
) -> cabc.Callable[[Simulation], cabc.Coroutine[None, None, None]]:
    async def script(simulation: Simulation) -> None:
        await asyncio.sleep(FAULT_AT_S)
        domain = simulation.deployment.domains[1]
        names = simulation.engines_of(domain)
        simulation.announce(names)
        await asyncio.sleep(NOTICE_S)
        simulation.kill(names)
        if refused_starts:
            return
        await asyncio.sleep(START_S)
        for _ in names:
            simulation.add_engine(simulation.deployment.domains[2])

    return script


async def _crash(simulation: Simulation) -> None:
    """Restart each engine that died a while later."""
    while True:
        await asyncio.sleep(1.0)
        dead = [
            name for name, engine in simulation.connector.engines.items() if engine.dead.is_set()
        ]
        for name in [name for name in dead if name in simulation.hosts.entries]:
            domain = simulation.hosts.entries.pop(name).failure_domain
            asyncio.get_running_loop().call_later(START_S, simulation.add_engine, domain)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """A load over time, the engines' notices, and a fault."""

    name: str
    load: cabc.Callable[[float], float] = lambda _: 0.75
    spec: EngineSpec = EngineSpec()
    script: cabc.Callable[[Simulation], cabc.Coroutine[None, None, None]] = _nothing
    duration_s: float = 30.0
    crashing: int = 0

    def arrivals(self, found: list[Arrival], rng: random.Random) -> list[Arrival]:
        """Return the arrivals with some made to crash their engine."""
        engine_asks = [number for number, item in enumerate(found) if not item.spec.plain]
        for number in rng.sample(engine_asks, self.crashing):
            found[number] = dataclasses.replace(found[number], prompt=CRASH_TEXT)
        return found


def _burst(now: float) -> float:
    return 1.6 if 10.0 <= now % 20.0 < 14.0 else 0.6


def _peak(level: float) -> cabc.Callable[[float], float]:
    return lambda now: level if 6.0 <= now < 22.0 else 0.6


LATE = EngineSpec(report_lag_s=2.0)
LATEST = EngineSpec(report_lag_s=5.0)
LOSSY = EngineSpec(report_lag_s=2.0, event_loss=0.2)

SCENARIOS = (
    Scenario(name="steady"),
    Scenario(name="burst", load=_burst, duration_s=40.0),
    Scenario(name="lag-2s", spec=LATE, load=lambda _: 0.85),
    Scenario(name="lag-5s", spec=LATEST, load=lambda _: 0.85),
    Scenario(name="cache-gaps", spec=LOSSY),
    Scenario(name="slow-engine", script=_slow),
    Scenario(name="reclaim", script=_reclaim(refused_starts=False), duration_s=40.0),
    Scenario(name="reclaim-refused", script=_reclaim(refused_starts=True), duration_s=40.0),
    Scenario(name="outage", script=_outage, duration_s=40.0),
    Scenario(name="crash", script=_crash, crashing=2),
    Scenario(name="overload-1.5", load=_peak(1.5), duration_s=40.0),
    Scenario(name="overload-3", load=_peak(3.0), duration_s=40.0),
)
