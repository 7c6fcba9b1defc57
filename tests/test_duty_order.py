"""The order of calls at a platform that does not check fencing numbers.

It accepts each call, so the hosts alone keep the order. Virtual time; each host has its own log
connection and connection to the platform, which may stall, and may be suspended or restarted.
"""

import asyncio
import dataclasses
import random

import pytest

from cassiawalk.clients import Appended
from cassiawalk.clients import AppendOutcome
from cassiawalk.clients import AppendUnknown
from cassiawalk.clients import LogEntry
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadBatch
from cassiawalk.clients import ReadFailed
from cassiawalk.clients import ReadOutcome
from cassiawalk.clock import LoopClock
from cassiawalk.duties import CALL_LIMIT_S
from cassiawalk.duties import DutyOutcome
from cassiawalk.duties import FencingToken
from cassiawalk.duties.holder import ACT_MARGIN_S
from cassiawalk.duties.holder import DUTY_STREAM
from cassiawalk.duties.holder import Duty
from cassiawalk.duties.holder import DutyHolder
from cassiawalk.duties.holder import duty_lease_times
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.leases import LeaseManager

HOSTS = 3
MIN_TERM_S = 3.0
LOG_DELAY_S = 0.004
QUIET_S = 12.0  # enough for a takeover with nothing in the way
RUN_S = 40.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A call that reached the platform."""

    at: float
    holder: HostId
    fence: int


class World:
    """The log, the platform and the hosts' processes."""

    def __init__(self, *, seed: int, fenced: bool = False) -> None:
        self.rng = random.Random(seed)
        self.fenced = fenced
        self.payloads: list[bytes] = []
        self.arrivals: list[Arrival] = []
        self.hosts = [HostProcess(self, HostId(f"h-{number}")) for number in range(HOSTS)]

    def faults_end(self) -> None:
        for host in self.hosts:
            host.cut_off = host.slow = host.lossy = False
            host.thaw()


class HostProcess(LogService, Duty):
    """One host: its view of the log, its duty of calling the platform, and its faults."""

    def __init__(self, world: World, host: HostId) -> None:
        self._world = world
        self._host = host
        self._running = asyncio.Event()
        self._running.set()
        self._restarts = 0
        self.cut_off = False
        self.slow = False
        self.lossy = False
        self.holder: DutyHolder | None = None

    async def start(self) -> None:
        """Start a new process under the same name."""
        self._restarts += 1
        leases = LeaseManager(
            host=self._host,
            holder=f"{self._host}/{self._restarts}",
            log=self,
            clock=LoopClock(),
            times=duty_lease_times(fenced=self._world.fenced),
            stream=DUTY_STREAM,
        )
        self.holder = DutyHolder(
            host=self._host,
            leases=leases,
            duties=[self],
            is_candidate=lambda: True,
            fenced=self._world.fenced,
            min_term_s=MIN_TERM_S,
            clock=LoopClock(),
            rng=self._world.rng,
        )
        await self.holder.start()

    async def kill(self) -> None:
        assert self.holder is not None
        await self.holder.stop()

    async def leave(self) -> None:
        """Stop as planned, and end."""
        assert self.holder is not None
        await self.holder.begin_drain()
        await asyncio.sleep(1.0)
        await self.holder.stop()

    def freeze(self) -> None:
        self._running.clear()

    def thaw(self) -> None:
        self._running.set()

    async def append(self, *, stream: str, payload: bytes) -> AppendOutcome:
        await asyncio.sleep(LOG_DELAY_S)
        if self.cut_off:
            await asyncio.sleep(1.0)
            return AppendUnknown(reason="cut off")
        self._world.payloads.append(payload)
        offset = Offset(len(self._world.payloads) - 1)
        await self._running.wait()
        return AppendUnknown(reason="lost") if self.lossy else Appended(offset=offset)

    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadOutcome:
        await asyncio.sleep(LOG_DELAY_S)
        await self._running.wait()
        if self.cut_off:
            await asyncio.sleep(1.0)
            return ReadFailed(reason="cut off")
        entries = tuple(
            LogEntry(offset=Offset(offset), payload=payload)
            for offset, payload in enumerate(self._world.payloads)
            if offset >= start
        )
        end = Offset(len(self._world.payloads))
        return ReadBatch(entries=entries, first_offset=Offset(0), end_offset=end)

    async def step(self, by: FencingToken) -> DutyOutcome:
        """Call the platform once, over a connection that has to be opened first."""
        delay_s = self._world.rng.uniform(0.5, 1.0) * CALL_LIMIT_S if self.slow else LOG_DELAY_S
        await self._running.wait()
        if not by.may_send():
            return DutyOutcome.UNKNOWN
        await asyncio.sleep(delay_s)
        self._world.arrivals.append(
            Arrival(at=asyncio.get_running_loop().time(), holder=self._host, fence=by.fence)
        )
        if self.lossy:
            await asyncio.sleep(CALL_LIMIT_S - delay_s)
            return DutyOutcome.UNKNOWN
        return DutyOutcome.DONE


def out_of_order(arrivals: list[Arrival]) -> list[str]:
    """Return each call with a lower fencing number than one before it."""
    found, highest = [], -1
    for arrival in arrivals:
        if arrival.fence < highest:
            found.append(f"{arrival} after {highest}")
        highest = max(highest, arrival.fence)
    return found


def returns(arrivals: list[Arrival]) -> list[str]:
    """Return each host that acts, after another one, within ``MIN_TERM_S`` of its last call."""
    found = []
    last: dict[HostId, Arrival] = {}
    previous: Arrival | None = None
    for arrival in arrivals:
        own = last.get(arrival.holder)
        other = previous is not None and previous.holder != arrival.holder
        if own is not None and other and arrival.at - own.at < MIN_TERM_S:
            found.append(f"{arrival} after {own}")
        last[arrival.holder] = previous = arrival
    return found


async def run_faults(world: World) -> None:
    """Disturb hosts at random for ``RUN_S``, the one that acted last most often."""
    loop = asyncio.get_running_loop()
    end = loop.time() + RUN_S
    while loop.time() < end:
        await asyncio.sleep(world.rng.uniform(0.2, 3.0))
        last = world.arrivals[-1].holder if world.arrivals else None
        acting = [host for host in world.hosts if host._host == last]
        host = acting[0] if acting and world.rng.random() < 0.7 else world.rng.choice(world.hosts)
        match world.rng.choice(["cut", "slow", "lossy", "freeze", "kill", "leave", "heal"]):
            case "cut":
                host.cut_off = True
            case "slow":
                host.slow = True
            case "lossy":
                host.lossy = True
            case "freeze":
                host.freeze()
                loop.call_later(world.rng.uniform(0.5, 7.0), host.thaw)
            case "kill":
                await host.kill()
                await asyncio.sleep(0.3)
                await host.start()
            case "leave":
                await host.leave()
                await host.start()
            case _:
                world.faults_end()


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(60))
async def test_calls_arrive_in_the_order_of_their_fencing_numbers(seed: int) -> None:
    world = World(seed=seed)
    for host in world.hosts:
        await host.start()
    await run_faults(world)
    world.faults_end()
    before = len(world.arrivals)
    await asyncio.sleep(QUIET_S)
    assert out_of_order(world.arrivals) == []
    assert returns(world.arrivals) == []
    assert len(world.arrivals) > before
    for host in world.hosts:
        await host.kill()


@pytest.mark.looptime
async def test_next_holder_need_not_wait_for_the_lease_of_one_that_left() -> None:
    world = World(seed=1)
    for host in world.hosts:
        await host.start()
    await asyncio.sleep(10.0)
    first = world.arrivals[-1].holder
    leaving = next(host for host in world.hosts if host._host == first)
    left_at = asyncio.get_running_loop().time()
    await leaving.leave()
    await asyncio.sleep(1.0)
    after = [arrival for arrival in world.arrivals if arrival.at > left_at + 0.5]
    assert {arrival.holder for arrival in after} and first not in {a.holder for a in after}
    for host in world.hosts:
        await host.kill()


def test_every_call_ends_before_another_host_may_take_over() -> None:
    """The sum of times that docs/PROOFS.md states."""
    times = duty_lease_times(fenced=False)
    last_call_ends_s = times.lease_s - ACT_MARGIN_S + CALL_LIMIT_S
    next_holder_s = times.lease_s + times.margin_s
    assert next_holder_s - last_call_ends_s >= 0.5
    assert times.lease_s - ACT_MARGIN_S > times.renew_after_s
