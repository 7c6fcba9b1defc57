"""Simulates hosts that place requests of one service and exchange heartbeats, in virtual time."""

import abc
import collections.abc as cabc
import dataclasses
import functools
import heapq
import itertools
import random
import types
import typing as t

from cassiawalk.clock import Clock
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.decisions import Asked
from cassiawalk.ingress.decisions import Decision
from cassiawalk.ingress.decisions import Verdict
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.placement import Placer
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.prefixview import PrefixEstimator
from cassiawalk.ingress.replicas import PrefixDemand
from cassiawalk.ingress.rooms import RoomView
from cassiawalk.ingress.waiting import ServiceQueue
from cassiawalk.storeview.config import EngineTraits
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration
from cassiawalk.storeview.upstream import Upstream

SERVICE = ServiceName("models")
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_DELAY_S = 0.3  # age of a heartbeat's aggregate when it is received
START_TIME_S = 1000.0


class VirtualClock(Clock):
    """A clock that the simulation sets."""

    def __init__(self) -> None:
        self.now = START_TIME_S

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    async def sleep(self, delay_s: float) -> None:
        """Not available: a simulation schedules actions instead."""
        raise NotImplementedError


@dataclasses.dataclass(kw_only=True)
class SimulatedRequest:
    """A request at a host, from its arrival until it is sent or rejected.

    :param send: called with the placement once the request is sent.
    :param reject: called if it is rejected.
    """

    asked: Asked
    job: Job
    send: cabc.Callable[[Placement], None]
    reject: cabc.Callable[[Decision], None]
    placement: Placement | None = None


class SimulatedHost:
    """The part of a host that decides about requests and places them.

    ``hears`` is whether heartbeats of other hosts reach it.

    :param schedule: runs an action after a delay in seconds.
    :param traits: the engines' properties, if prompts are placed by the estimate of prefixes.
    """

    def __init__(
        self,
        *,
        clock: VirtualClock,
        failure_domain: FailureDomain,
        fetches_prefixes: bool,
        rng: random.Random,
        hosts: int,
        queueing: bool,
        schedule: cabc.Callable[[float, cabc.Callable[[], None]], None],
        traits: EngineTraits | None = None,
    ) -> None:
        self._traits = traits
        self.failure_domain = failure_domain
        self._clock = clock
        self._schedule = schedule
        self._fetches_prefixes = fetches_prefixes
        self._rng = rng
        self._hosts = hosts
        self._queueing = queueing
        self.start(())

    def restart(self) -> None:
        """Forget all but the upstreams' entries; requests that wait are lost."""
        self.start([found.registration for found in self.directory.upstreams()])

    def start(self, registrations: cabc.Iterable[Registration]) -> None:
        """Start with nothing but the upstreams' entries."""
        self.directory = Directory(clock=self._clock)
        for registration in registrations:
            self.directory.put(registration, Offset(0))
        self.placer = Placer(
            directory=self.directory,
            failure_domain=self.failure_domain,
            fetches_prefixes=lambda service: self._fetches_prefixes,
            now=self._clock.monotonic,
            rng=self._rng,
            prefix_demand=PrefixDemand(hosts=lambda: self._hosts, clock=self._clock),
            prefix_estimator=self._prefix_estimator(),
        )
        self.queue = ServiceQueue(rng=self._rng, is_enabled=self._queueing)
        self.hears = True
        self._sent: set[Asked] = set()
        self._rooms = RoomView(
            directory=self.directory, hosts=lambda: self._hosts, clock=self._clock
        )
        self._requests: dict[Asked, SimulatedRequest] = {}
        self._wakes_at = 0.0

    def _prefix_estimator(self) -> PrefixEstimator | None:
        if self._traits is None:
            return None
        return PrefixEstimator(
            traits=lambda service: self._traits,
            hosts=lambda: self._hosts,
            now_s=self._clock.monotonic,
            clock=self._clock,
        )

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams that the host knows."""
        return self.directory.upstreams()

    def ask(
        self,
        asked: Asked,
        demand: Demand,
        unshared_tokens: int,
        *,
        send: cabc.Callable[[Placement], None],
        reject: cabc.Callable[[Decision], None],
    ) -> None:
        """Decide about a request; it is sent or rejected now or later."""
        # The placer reads only these attributes of a job.
        job = t.cast(
            Job,
            types.SimpleNamespace(
                service=SERVICE,
                demand=demand,
                tried=set(),
                unshared_tokens=unshared_tokens,
                is_prefix_counted=False,
            ),
        )
        request = SimulatedRequest(asked=asked, job=job, send=send, reject=reject)
        first_s = self._find_first_s(request)
        decision = self.queue.arrive(
            asked, self._rooms.get(SERVICE), self._clock.now, first_s=first_s
        )
        if decision.verdict is Verdict.WAIT:
            self._requests[asked] = request
            self.release()
        else:
            self._apply(request, decision)

    def note_ended(self, asked: Asked, held_s: float | None) -> None:
        """Record that a request that was sent has ended."""
        if asked not in self._sent:
            return  # it was sent before a restart
        self._sent.discard(asked)
        self.queue.note_ended(asked, self._clock.now, held_s=held_s)
        self.release()

    def note_peer_load(self, loads: cabc.Mapping[UpstreamId, cabc.Sequence[int]]) -> None:
        """Take in what the other hosts have at the upstreams, unless it hears nothing."""
        if not self.hears:
            return
        for upstream in self.upstreams():
            requests, pending_tokens = loads.get(upstream.upstream_id, (0, 0))
            upstream.load.note_peer(HostId("rest"), requests, pending_tokens)
        self._rooms.forget()
        self.release()

    def release(self) -> None:
        """Send or reject what waits, as far as that can be decided now."""
        if not self.queue:
            return
        room = self._rooms.get(SERVICE)
        decisions = self.queue.release(
            room, self._clock.now, lambda asked: self._find_first_s(self._requests[asked])
        )
        for decision in decisions:
            self._apply(self._requests.pop(decision.asked), decision)
        self._schedule_wake()

    def _find_first_s(self, request: SimulatedRequest) -> float | None:
        placement = self.placer.place(request.job)
        request.placement = placement
        if placement is None or not self.placer.has_room(request.job, placement):
            return float("inf")
        return placement.first_s if request.asked.is_stream else None

    def _apply(self, request: SimulatedRequest, decision: Decision) -> None:
        if decision.verdict is Verdict.REJECT:
            request.reject(decision)
            return
        assert request.placement is not None
        self._sent.add(request.asked)
        request.send(request.placement)

    def _schedule_wake(self) -> None:
        at = self.queue.next_at(self._rooms.get(SERVICE))
        if at is None or self._clock.now < self._wakes_at <= at:
            return
        self._wakes_at = wakes_at = max(at, self._clock.now + 0.001)
        self._schedule(wakes_at - self._clock.now, lambda: self._wake(wakes_at))

    def _wake(self, at: float) -> None:
        if at == self._wakes_at:
            self.release()


class FleetSimulation(abc.ABC):
    """Runs actions in the order of their times; hosts hear of each other's load with a delay.

    :param domains: the failure domains, which hosts and upstreams take in turn.
    :param heartbeat_delay_s: the age of what hosts hear of each other's load, in seconds.
    :param traits: see ``SimulatedHost``.
    :param queueing: whether requests may wait on hosts.
    """

    def __init__(
        self,
        *,
        hosts: int,
        domains: int = 1,
        duration_s: float,
        seed: int,
        fetches_prefixes: bool = False,
        heartbeat_delay_s: float = HEARTBEAT_DELAY_S,
        traits: EngineTraits | None = None,
        queueing: bool = True,
    ) -> None:
        self._heartbeat_delay_s = heartbeat_delay_s
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.domains = [FailureDomain(f"domain-{number}") for number in range(domains)]
        self._duration_s = duration_s
        self._events: list[tuple[float, int, cabc.Callable[[], None]]] = []
        self.numbers = itertools.count()
        self._offsets = itertools.count(1)
        self.hosts = [
            SimulatedHost(
                clock=self.clock,
                failure_domain=self.domains[number % domains],
                fetches_prefixes=fetches_prefixes,
                rng=random.Random(seed * hosts + number),
                hosts=hosts,
                queueing=queueing,
                schedule=self.schedule,
                traits=traits,
            )
            for number in range(hosts)
        ]

    @property
    def elapsed_s(self) -> float:
        """Return the virtual seconds since the start."""
        return self.clock.now - START_TIME_S

    @abc.abstractmethod
    def begin(self) -> None:
        """Schedule the first actions."""

    def simulate(self) -> None:
        """Run the actions until ``duration_s`` has passed."""
        self.begin()
        for host in self.hosts:
            self.schedule(
                HEARTBEAT_INTERVAL_S * self.rng.random(),
                functools.partial(self._collect_peer_load, host),
            )
        while self._events and self._events[0][0] < START_TIME_S + self._duration_s:
            due_at, _, action = heapq.heappop(self._events)
            self.clock.now = due_at
            action()

    def schedule(self, delay_s: float, action: cabc.Callable[[], None]) -> None:
        """Run an action after ``delay_s`` virtual seconds."""
        heapq.heappush(self._events, (self.clock.now + delay_s, next(self.numbers), action))

    def register(
        self, name: UpstreamId, *, slots: int, presence: Presence, started_ms: int = 0
    ) -> None:
        """Tell all hosts of an upstream's state."""
        offset = Offset(next(self._offsets))
        known = self.hosts[0].directory.get(name)
        if known is None:
            domain = self.domains[(offset - 1) % len(self.domains)]
        else:
            domain = known.failure_domain
            started_ms = known.registration.started_ms
        registration = Registration(
            upstream_id=name,
            service=SERVICE,
            address=f"{name}:1",
            failure_domain=domain,
            slots=slots,
            presence=presence,
            started_ms=started_ms,
        )
        for host in self.hosts:
            host.directory.put(registration, offset)

    def unregister(self, name: UpstreamId) -> None:
        """Tell all hosts that an upstream is gone."""
        for host in self.hosts:
            host.directory.remove(name, Offset(next(self._offsets)))

    def _collect_peer_load(self, host: SimulatedHost) -> None:
        loads: dict[UpstreamId, list[int]] = {}
        if host is not self.hosts[0]:
            self._share_speeds(host)
        for other in self.hosts:
            if other is host:
                continue
            for upstream in other.upstreams():
                load = upstream.load
                if load.own:
                    counts = loads.setdefault(upstream.upstream_id, [0, 0])
                    counts[0] += load.own
                    counts[1] += load.own_pending_tokens
        self.schedule(self._heartbeat_delay_s, lambda: host.note_peer_load(loads))
        self.schedule(HEARTBEAT_INTERVAL_S, lambda: self._collect_peer_load(host))

    def _share_speeds(self, host: SimulatedHost) -> None:
        """Exchange with the first host, the hub of all others, what is known of speeds."""
        hub = self.hosts[0].directory
        samples = [(found.upstream_id, found.speed.shared_sample()) for found in host.upstreams()]
        slowness = [(found.upstream_id, found.speed.slowness) for found in hub.upstreams()]
        self.schedule(
            self._heartbeat_delay_s,
            lambda: self._apply_speeds(host, samples, slowness),
        )

    def _apply_speeds(
        self,
        host: SimulatedHost,
        samples: list[tuple[UpstreamId, tuple[int, int] | None]],
        slowness: list[tuple[UpstreamId, float]],
    ) -> None:
        hub = self.hosts[0].directory
        for name, sample in samples:
            found = hub.get(name)
            if found is not None and sample is not None:
                found.speed.note_shared(str(id(host)), *sample)
        for name, published in slowness:
            found = host.directory.get(name)
            if found is not None:
                found.speed.note_published(published)
