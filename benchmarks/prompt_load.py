"""Simulates many hosts that place requests with shared prompt prefixes, in virtual time.

``python -m benchmarks.prompt_load`` prints the times to the first token and the computed prompt
tokens: under constant conditions, while engines are reclaimed and replaced, and with few engines.
"""

import argparse
import collections
import collections.abc as cabc
import dataclasses
import functools
import heapq
import itertools
import json
import random
import types
import typing as t

from benchmarks.batch_engine import BatchEngine
from benchmarks.batch_engine import EngineRun
from benchmarks.prompt_kinds import EngineChange
from benchmarks.prompt_kinds import Load
from benchmarks.prompt_kinds import PromptKind
from cassiawalk.clock import Clock
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.placement import Placer
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.directory import Presence
from cassiawalk.storeview.directory import Registration
from cassiawalk.storeview.directory import Upstream
from cassiawalk.storeview.promptparts import PartId
from cassiawalk.storeview.promptparts import PromptPart

SERVICE = ServiceName("models")
FAILURE_DOMAIN = FailureDomain("here")
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_DELAY_S = 0.3  # age of a heartbeat's aggregate when it is received
RECLAIM_NOTICE_S = 2.0
START_TIME_S = 1000.0


@dataclasses.dataclass(kw_only=True)
class LoadResult:
    """What one run measured.

    :param first_token_s: by kind, the times from each request to its first token, in seconds.
    :param requested: by kind, the number of requests.
    :param within_target: by kind, the number of first tokens within the latency target.
    :param prefilled_tokens: the prompt tokens that engines prefilled.
    :param recomputed_tokens: the tokens of shared prefixes that an engine had to prefill although
        an earlier request had the same prefix.
    :param fetched_tokens: the prompt tokens that engines fetched from one another.
    """

    first_token_s: dict[str, list[float]]
    requested: collections.Counter[str]
    within_target: collections.Counter[str]
    prefilled_tokens: int
    recomputed_tokens: int
    fetched_tokens: int

    @property
    def share_within_target(self) -> float:
        """Return the share of all requests whose first token met its latency target."""
        return sum(self.within_target.values()) / max(1, sum(self.requested.values()))


class _Clock(Clock):
    def __init__(self) -> None:
        self.now = START_TIME_S

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, delay_s: float) -> None:
        raise NotImplementedError


class _Host:
    def __init__(self, *, number: int, clock: _Clock, fetches_prefixes: bool) -> None:
        self.directory = Directory(clock=clock)
        self.placer = Placer(
            directory=self.directory,
            failure_domain=FAILURE_DOMAIN,
            fetches_prefixes=lambda service: fetches_prefixes,
            now=clock.monotonic,
        )
        self.number = number

    def upstreams(self) -> list[Upstream]:
        return self.directory.upstreams()


@dataclasses.dataclass(kw_only=True)
class _SentRequest:
    kind: PromptKind
    sent_at: float
    upstream: Upstream


class LoadSimulation:
    """Simulates one load; each host has a placer of the product of its own."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._rng = random.Random(load.seed)
        self._clock = _Clock()
        self._hosts = [
            _Host(number=number, clock=self._clock, fetches_prefixes=load.fetches_prefixes)
            for number in range(load.hosts)
        ]
        self._engines: dict[UpstreamId, BatchEngine] = {}
        self._leaving: set[UpstreamId] = set()
        self._removed_engines: list[BatchEngine] = []
        self._sent: dict[RequestId, _SentRequest] = {}
        self._events: list[tuple[float, int, cabc.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._offsets = itertools.count()
        self._seen_parts: set[PartId] = set()
        self.result = LoadResult(
            first_token_s=collections.defaultdict(list),
            requested=collections.Counter(),
            within_target=collections.Counter(),
            prefilled_tokens=0,
            recomputed_tokens=0,
            fetched_tokens=0,
        )

    def run(self) -> LoadResult:
        """Simulate the load to its end and return the measured result."""
        self._add_engines(self._load.engines)
        for kind in self._load.kinds:
            self._schedule(
                self._rng.expovariate(kind.requests_per_s), functools.partial(self._arrive, kind)
            )
        for host in self._hosts:
            self._schedule(
                HEARTBEAT_INTERVAL_S * self._rng.random(),
                functools.partial(self._collect_peer_load, host),
            )
        for change in self._load.changes:
            self._schedule(change.at_s, functools.partial(self._apply_change, change))
        while self._events and self._events[0][0] < START_TIME_S + self._load.duration_s:
            due_at, _, action = heapq.heappop(self._events)
            self._clock.now = due_at
            action()
        engines = [*self._engines.values(), *self._removed_engines]
        self.result.prefilled_tokens = sum(engine.prefilled_tokens for engine in engines)
        self.result.fetched_tokens = sum(engine.fetched_tokens for engine in engines)
        return self.result

    def _schedule(self, delay_s: float, action: cabc.Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._clock.now + delay_s, next(self._numbers), action))

    def _apply_change(self, change: EngineChange) -> None:
        if change.count > 0:
            self._add_engines(change.count)
            return
        staying = sorted(set(self._engines) - self._leaving)
        for name in staying[: -change.count]:
            self._leaving.add(name)
            self._register(name, Presence.LEAVING)
            self._schedule(RECLAIM_NOTICE_S, functools.partial(self._remove_engine, name))

    def _add_engines(self, count: int) -> None:
        for _ in range(count):
            name = UpstreamId(f"u-{next(self._numbers):05}")
            self._engines[name] = BatchEngine(name=name, model=self._load.model)
            self._register(name, Presence.READY, started_ms=int(self._clock.now * 1000))

    def _register(self, name: UpstreamId, presence: Presence, started_ms: int = 0) -> None:
        offset = Offset(next(self._offsets))
        for host in self._hosts:
            known = host.directory.get(name)
            registration = Registration(
                upstream_id=name,
                service=SERVICE,
                address=f"{name}:1",
                failure_domain=FAILURE_DOMAIN,
                slots=self._load.model.slots,
                presence=presence,
                started_ms=started_ms if known is None else known.registration.started_ms,
            )
            host.directory.put(registration, offset)

    def _remove_engine(self, name: UpstreamId) -> None:
        self._removed_engines.append(self._engines.pop(name))
        for host in self._hosts:
            host.directory.remove(name, Offset(next(self._offsets)))

    def _collect_peer_load(self, host: _Host) -> None:
        loads: dict[UpstreamId, list[int]] = {}
        for other in self._hosts:
            if other is host:
                continue
            for upstream in other.upstreams():
                load = upstream.load
                if load.own:
                    counts = loads.setdefault(upstream.upstream_id, [0, 0])
                    counts[0] += load.own
                    counts[1] += load.own_pending_tokens
        self._schedule(HEARTBEAT_DELAY_S, lambda: self._apply_peer_load(host, loads))
        self._schedule(HEARTBEAT_INTERVAL_S, lambda: self._collect_peer_load(host))

    def _apply_peer_load(self, host: _Host, loads: dict[UpstreamId, list[int]]) -> None:
        for upstream in host.upstreams():
            requests, pending_tokens = loads.get(upstream.upstream_id, [0, 0])
            upstream.load.note_peer(HostId("rest"), requests, pending_tokens)

    def _arrive(self, kind: PromptKind) -> None:
        self._schedule(self._rng.expovariate(kind.requests_per_s), lambda: self._arrive(kind))
        number = next(self._numbers)
        parts = (
            PromptPart(
                part_id=PartId(f"{kind.name}-{self._rng.randrange(kind.prefixes)}"),
                tokens=kind.prefix_tokens,
            ),
            PromptPart(part_id=PartId(f"own-{number}"), tokens=kind.unique_tokens),
        )
        demand = Demand(
            request_id=RequestId(str(number)),
            parts=parts,
            prompt_tokens=kind.prefix_tokens + kind.unique_tokens,
            output_tokens=kind.output_tokens,
        )
        self.result.requested[kind.name] += 1
        self._place(self._rng.choice(self._hosts), kind, demand)

    def _place(self, host: _Host, kind: PromptKind, demand: Demand) -> None:
        # The placer reads only these attributes of a job.
        job = t.cast(
            Job,
            types.SimpleNamespace(
                service=SERVICE, demand=demand, tried=set(), unshared_tokens=kind.unique_tokens
            ),
        )
        placement = host.placer.place(job)
        if placement is None or not host.placer.has_room(placement):
            return
        upstream = placement.upstream
        upstream.load.note_sent(demand.request_id, placement.unread_tokens)
        upstream.load.note_cached(demand.parts)
        engine = self._engines.get(upstream.upstream_id)
        if engine is None:
            upstream.load.note_ended(demand.request_id)
            return
        self._sent[demand.request_id] = _SentRequest(
            kind=kind, sent_at=self._clock.now, upstream=upstream
        )
        holder = placement.holder
        source = None if holder is None else self._engines.get(holder.upstream_id)
        self._count_recomputed(engine, source, demand)
        run = EngineRun(
            request_id=demand.request_id,
            urgency=kind.urgency,
            pending_tokens=demand.prompt_tokens,
            output_tokens_left=kind.output_tokens,
        )
        idle = engine.next_step_at is None
        engine.submit(run=run, parts=demand.parts, now=self._clock.now, holder=source)
        if idle:
            self._schedule_step(engine)

    def _count_recomputed(
        self, engine: BatchEngine, source: BatchEngine | None, demand: Demand
    ) -> None:
        shared = demand.shared_prefix
        cached = max(
            engine.cached_tokens(shared), 0 if source is None else source.cached_tokens(shared)
        )
        missing = sum(part.tokens for part in shared) - cached
        if all(part.part_id in self._seen_parts for part in shared):
            self.result.recomputed_tokens += missing
        self._seen_parts.update(part.part_id for part in shared)

    def _schedule_step(self, engine: BatchEngine) -> None:
        if engine.next_step_at is not None:
            self._schedule(engine.next_step_at - self._clock.now, lambda: self._step(engine))

    def _step(self, engine: BatchEngine) -> None:
        started, ended = engine.step(self._clock.now)
        for run in started:
            self._record_first_token(run)
        for run in ended:
            sent = self._sent.pop(run.request_id)
            sent.upstream.load.note_ended(run.request_id)
        if engine.name in self._engines:
            self._schedule_step(engine)

    def _record_first_token(self, run: EngineRun) -> None:
        sent = self._sent[run.request_id]
        sent.upstream.load.note_first_token(run.request_id)
        first_token_s = self._clock.now - sent.sent_at
        self.result.first_token_s[sent.kind.name].append(first_token_s)
        self.result.within_target[sent.kind.name] += first_token_s <= sent.kind.target_s


# Reclaims the engines of three failure domains within 5 s and starts engines of another price.
RECLAIM_WAVES = (
    EngineChange(at_s=6.0, count=-6),
    EngineChange(at_s=8.0, count=-6),
    EngineChange(at_s=10.0, count=6),
    EngineChange(at_s=11.0, count=-6),
    EngineChange(at_s=12.0, count=6),
    EngineChange(at_s=15.0, count=6),
)
LOADS = {
    "calm": Load(),
    "waves": Load(changes=RECLAIM_WAVES),
    "waves, nothing fetched": Load(changes=RECLAIM_WAVES, fetches_prefixes=False),
    "few engines": Load(engines=16),
}


def figures(result: LoadResult) -> dict[str, t.Any]:
    """Return the figures of a result by name; tokens are counted, times are in seconds."""
    times = {kind: sorted(values) for kind, values in result.first_token_s.items()}
    return {
        "asked": sum(result.requested.values()),
        "in_aim": round(result.share_within_target, 3),
        "in_aim_by_kind": {
            kind: round(result.within_target[kind] / count, 3)
            for kind, count in result.requested.items()
        },
        "median_s": {kind: round(values[len(values) // 2], 3) for kind, values in times.items()},
        "p95_s": {
            kind: round(values[int(0.95 * len(values))], 3) for kind, values in times.items()
        },
        "read": result.prefilled_tokens,
        "read_again": result.recomputed_tokens,
        "fetched": result.fetched_tokens,
    }


def main() -> None:
    """Print the figures of each load and seed as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.prompt_load", description=__doc__)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of runs of each load, with seeds from 1"
    )
    parser.add_argument("--loads", nargs="+", choices=list(LOADS), default=list(LOADS))
    args = parser.parse_args()
    for name in args.loads:
        for seed in range(1, args.seeds + 1):
            result = LoadSimulation(dataclasses.replace(LOADS[name], seed=seed)).run()
            print(json.dumps({"load": name, "seed": seed, **figures(result)}), flush=True)


if __name__ == "__main__":
    main()
