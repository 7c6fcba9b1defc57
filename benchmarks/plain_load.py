"""Simulates many hosts that place plain requests on a few upstreams, in virtual time.

``python -m benchmarks.plain_load`` prints how many requests were answered within their target.
"""

import collections
import dataclasses
import functools
import math
import random
import typing as t

from benchmarks.fleet_simulation import HEARTBEAT_DELAY_S
from benchmarks.fleet_simulation import FleetSimulation
from benchmarks.fleet_simulation import SimulatedHost
from benchmarks.load_command import print_figures
from benchmarks.noise import SLOW_FACTOR
from benchmarks.noise import Noise
from benchmarks.noise import NoiseModel
from benchmarks.noise import busiest_to_mean
from benchmarks.noise import is_slow
from benchmarks.noise import slow_to_fast
from cassiawalk.ids import RequestId
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.decisions import Asked
from cassiawalk.ingress.decisions import Decision
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.storeview.load import ReportedLoad
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Upstream

DEADLINE_RATIO = 4.0  # of a target
WORK_SPREAD = 0.5  # sigma of the log-normal distribution of work


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainLoad:
    """Hosts, upstreams and requests of one run.

    :param domains: the failure domains, which hosts and upstreams take in turn.
    :param work_s: the mean time for which a request takes a slot.
    :param utilization: the share of all slots that the requests take on average.
    :param peak: how many times as many requests come in the middle third.
    :param target_s: the time within which an answer should come.
    :param slow_one_in: one in so many upstreams takes ``SLOW_FACTOR`` times as long; 0 for none.
    :param noise: how neighbours slow the upstreams at times, or None.
    :param reports: whether the upstreams state their load and pace in the heads of their answers.
    :param queueing: whether requests may wait on hosts.
    :param heartbeat_delay_s: the age of what hosts hear of each other's load, in seconds.
    """

    hosts: int = 80
    upstreams: int = 4
    domains: int = 4
    slots: int = 6
    queue: int = 24
    work_s: float = 0.08
    utilization: float = 0.5
    peak: float = 1.0
    target_s: float = 0.385
    duration_s: float = 30.0
    seed: int = 1
    slow_one_in: int = 0
    noise: NoiseModel | None = None
    reports: bool = True
    queueing: bool = True
    heartbeat_delay_s: float = HEARTBEAT_DELAY_S


@dataclasses.dataclass(kw_only=True)
class PlainResult:
    """What one run measured; ``answer_s`` are the times to the answers, in seconds.

    ``refused`` counts rejections by hosts, ``shed`` those by upstreams, ``crossed`` the requests
    that left their failure domain.
    """

    requested: int = 0
    within_target: int = 0
    refused: int = 0
    shed: int = 0
    crossed: int = 0
    answer_s: list[float] = dataclasses.field(default_factory=list)
    sends: collections.Counter[UpstreamId] = dataclasses.field(default_factory=collections.Counter)
    slow: set[UpstreamId] = dataclasses.field(default_factory=set)

    @property
    def share_within_target(self) -> float:
        """Return the share of all requests that were answered within the target."""
        return self.within_target / max(1, self.requested)

    @property
    def busiest_to_mean(self) -> float:
        """Return how many times as many requests as the mean the busiest upstream got."""
        return busiest_to_mean(self.sends)

    @property
    def slow_to_fast(self) -> float:
        """Return the ratio of the mean requests of slow upstreams to that of the others."""
        return slow_to_fast(self.sends, self.slow)


@dataclasses.dataclass(kw_only=True)
class _Request:
    request_id: RequestId
    asked: Asked
    host: SimulatedHost
    sent_at: float
    placement: Placement

    @property
    def upstream(self) -> Upstream:
        return self.placement.upstream


@dataclasses.dataclass(kw_only=True)
class _Server:
    noise: Noise
    slowness: float
    running: int = 0
    waiting: collections.deque[_Request] = dataclasses.field(default_factory=collections.deque)


class PlainSimulation(FleetSimulation):
    """Simulates one load; each host has a placer of the product of its own."""

    def __init__(self, load: PlainLoad) -> None:
        super().__init__(
            hosts=load.hosts,
            domains=load.domains,
            duration_s=load.duration_s,
            seed=load.seed,
            heartbeat_delay_s=load.heartbeat_delay_s,
            queueing=load.queueing,
        )
        noise_rng = random.Random(load.seed)
        self._load = load
        self._noise_rng = noise_rng
        self._servers: dict[UpstreamId, _Server] = {}
        self.result = PlainResult()

    def run(self) -> PlainResult:
        """Simulate the load to its end and return the measured result."""
        self.simulate()
        return self.result

    def begin(self) -> None:
        """Start the upstreams and schedule the first request."""
        for number in range(self._load.upstreams):
            name = UpstreamId(f"u-{number}")
            slow = is_slow(number + 1, self._load.slow_one_in)
            if slow:
                self.result.slow.add(name)
            self._servers[name] = _Server(
                noise=Noise(model=self._load.noise, rng=self._noise_rng),
                slowness=SLOW_FACTOR if slow else 1.0,
            )
            self.register(name, slots=self._load.slots, presence=Presence.READY)
        self._arrive()

    def _rate(self) -> float:
        load = self._load
        rate = load.utilization * load.upstreams * load.slots / load.work_s
        passed = self.elapsed_s / load.duration_s
        return rate * load.peak if 1 / 3 < passed < 2 / 3 else rate

    def _arrive(self) -> None:
        self.schedule(self.rng.expovariate(self._rate()), self._arrive)
        self.result.requested += 1
        self._place(self.rng.choice(self.hosts))

    def _place(self, host: SimulatedHost) -> None:
        request_id = RequestId(str(next(self.numbers)))
        demand = Demand(request_id=request_id, parts=(), prompt_tokens=0, output_tokens=0)
        now = self.clock.now
        asked = Asked(
            workspace=WorkspaceName("all"),
            rank=0,
            work=1.0,
            is_stream=False,
            base_s=0.0,
            target_at=now + self._load.target_s,
            ends_at=now + DEADLINE_RATIO * self._load.target_s,
            arrived_at=now,
        )
        host.ask(
            asked,
            demand,
            0,
            send=functools.partial(self._send, host, asked, request_id),
            reject=self._reject,
        )

    def _reject(self, decision: Decision) -> None:
        self.result.refused += 1

    def _send(
        self, host: SimulatedHost, asked: Asked, request_id: RequestId, placement: Placement
    ) -> None:
        upstream = placement.upstream
        self.result.crossed += upstream.failure_domain != host.failure_domain
        server = self._servers[upstream.upstream_id]
        self.result.sends[upstream.upstream_id] += 1
        if len(server.waiting) >= self._load.queue:
            self.result.shed += 1
            self.schedule(0.0, functools.partial(host.note_ended, asked, None))
            return
        upstream.load.note_sent(request_id, 0)
        request = _Request(
            request_id=request_id,
            asked=asked,
            host=host,
            sent_at=self.clock.now,
            placement=placement,
        )
        server.waiting.append(request)
        self._begin_next(server)

    def _begin_next(self, server: _Server) -> None:
        if server.running >= self._load.slots or not server.waiting:
            return
        request = server.waiting.popleft()
        server.running += 1
        mean = math.log(self._load.work_s) - WORK_SPREAD**2 / 2
        usual_s = self.rng.lognormvariate(mean, WORK_SPREAD)
        work_s = usual_s * server.slowness * server.noise.pace(self.clock.now)
        self.schedule(work_s, functools.partial(self._end, server, request))

    def _end(self, server: _Server, request: _Request) -> None:
        server.running -= 1
        if self._load.reports:
            request.upstream.load.note_reported_load(
                ReportedLoad(
                    running=server.running,
                    waiting=len(server.waiting),
                    slots=self._load.slots,
                    pace=server.noise.pace(self.clock.now),
                )
            )
        request.placement.note_answer(self.clock.now - request.sent_at)
        request.upstream.load.note_ended(request.request_id)
        answer_s = self.clock.now - request.asked.arrived_at
        self.result.answer_s.append(answer_s)
        self.result.within_target += answer_s <= self._load.target_s
        self._begin_next(server)
        request.host.note_ended(request.asked, self.clock.now - request.sent_at)


LOADS = {
    "7 hosts, half": PlainLoad(hosts=7, work_s=0.09),
    "7 hosts, peak": PlainLoad(hosts=7, work_s=0.09, peak=1.8),
    "80 hosts, half": PlainLoad(),
    "80 hosts, peak": PlainLoad(peak=1.8),
    "80 hosts, overload": PlainLoad(peak=2.6),
    "80 hosts, overload, no queue": PlainLoad(peak=2.6, queueing=False),
    "80 hosts, unequal": PlainLoad(slow_one_in=4),
    "80 hosts, unequal, peak": PlainLoad(slow_one_in=4, peak=1.5),
    "80 hosts, noise": PlainLoad(noise=NoiseModel()),
    "80 hosts, unequal, noise": PlainLoad(slow_one_in=4, noise=NoiseModel()),
    "7 hosts, unequal, noise": PlainLoad(hosts=7, work_s=0.09, slow_one_in=4, noise=NoiseModel()),
    "195 hosts, third": PlainLoad(
        hosts=195, upstreams=6, domains=6, work_s=0.045, target_s=0.21, utilization=0.33
    ),
}


def figures(result: PlainResult) -> dict[str, t.Any]:
    """Return the figures of a result by name; times are in seconds."""
    times = sorted(result.answer_s)
    return {
        "asked": result.requested,
        "in_aim": round(result.share_within_target, 3),
        "refused": result.refused,
        "shed": result.shed,
        "busiest_to_mean": round(result.busiest_to_mean, 3),
        "slow_to_fast": round(result.slow_to_fast, 3),
        "crossed": round(result.crossed / max(1, result.requested), 3),
        "median_s": round(times[len(times) // 2], 3),
        "p95_s": round(times[int(0.95 * len(times))], 3),
    }


def main() -> None:
    """Print the figures of each load and seed as JSON lines."""
    print_figures(
        prog="python -m benchmarks.plain_load",
        description=__doc__,
        loads=LOADS,
        simulate=lambda load, seed: figures(
            PlainSimulation(dataclasses.replace(load, seed=seed)).run()
        ),
    )


if __name__ == "__main__":
    main()
