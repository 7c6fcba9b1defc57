"""Simulates many hosts that place requests with shared prompt prefixes, in virtual time.

``python -m benchmarks.prompt_load`` prints the times to the first token and the computed prompt
tokens: under constant conditions, while engines are reclaimed and replaced, and with few engines.
"""

import collections
import dataclasses
import functools
import random
import typing as t

from benchmarks.batch_engine import BatchEngine
from benchmarks.batch_engine import EngineRun
from benchmarks.batch_engine import PlannedEngine
from benchmarks.fleet_simulation import FleetSimulation
from benchmarks.fleet_simulation import SimulatedHost
from benchmarks.load_command import print_figures
from benchmarks.memory_engine import MemoryEngine
from benchmarks.noise import SLOW_FACTOR
from benchmarks.noise import Noise
from benchmarks.noise import busiest_to_mean
from benchmarks.noise import is_slow
from benchmarks.noise import slow_to_fast
from benchmarks.prompt_kinds import EngineChange
from benchmarks.prompt_kinds import Load
from benchmarks.prompt_kinds import PromptKind
from benchmarks.prompt_loads import LOADS
from cassiawalk.ids import RequestId
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.decisions import Asked
from cassiawalk.ingress.decisions import Decision
from cassiawalk.ingress.decisions import work_of
from cassiawalk.ingress.placement import prefill_s
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.prefixestimate import Way
from cassiawalk.storeview.config import EngineTraits
from cassiawalk.storeview.promptparts import PartId
from cassiawalk.storeview.promptparts import PromptPart
from cassiawalk.storeview.upstream import Presence

RECLAIM_NOTICE_S = 2.0
DEADLINE_S = 10.0
TOKEN_BYTES = 1024  # only its ratio to the link's speed matters


@dataclasses.dataclass(kw_only=True)
class LoadResult:
    """What one run measured.

    :param first_token_s: by kind, the times from each request to its first token, in seconds.
    :param requested: by kind, the number of requests.
    :param within_target: by kind, the number of first tokens within the latency target.
    :param rejected: by kind, the number of requests that hosts rejected.
    :param prefilled_tokens: the prompt tokens that engines prefilled.
    :param recomputed_tokens: the tokens of shared prefixes that an engine had to prefill although
        an earlier request had the same prefix.
    :param fetched_tokens: the prompt tokens that engines fetched from one another.
    :param evicted_tokens: the cached prompt tokens that engines evicted, if they share memory.
    :param ways: by the way that the estimate found, the number of requests that were sent.
    :param sends: by engine, the number of requests that were sent to it.
    :param slow_engines: the engines that take ``SLOW_FACTOR`` times as long.
    """

    first_token_s: dict[str, list[float]]
    requested: collections.Counter[str]
    within_target: collections.Counter[str]
    rejected: collections.Counter[str]
    prefilled_tokens: int
    recomputed_tokens: int
    fetched_tokens: int
    evicted_tokens: int = 0
    ways: collections.Counter[Way | None] = dataclasses.field(default_factory=collections.Counter)
    sends: collections.Counter[UpstreamId] = dataclasses.field(default_factory=collections.Counter)
    slow_engines: set[UpstreamId] = dataclasses.field(default_factory=set)

    @property
    def share_within_target(self) -> float:
        """Return the share of all requests whose first token met its latency target."""
        return sum(self.within_target.values()) / max(1, sum(self.requested.values()))

    @property
    def busiest_to_mean(self) -> float:
        """Return how many times as many requests as the mean the busiest engine got."""
        return busiest_to_mean(self.sends)

    @property
    def slow_to_fast(self) -> float:
        """Return the ratio of the mean requests of slow engines to that of the others."""
        return slow_to_fast(self.sends, self.slow_engines)


def _traits(load: Load) -> EngineTraits:
    """Return what operators declare of the engines of a load."""
    token_bits = TOKEN_BYTES * 8
    return EngineTraits(
        slots=load.model.slots,
        memory_tokens=load.model.cache_tokens,
        moves=load.fetches_prefixes,
        backups=False,
        event_feed_callers=0,
        token_bytes=TOKEN_BYTES,
        link_mbps=load.model.fetch_tokens_per_s * token_bits / 1e6,
    )


@dataclasses.dataclass(kw_only=True)
class _SentRequest:
    kind: PromptKind
    asked: Asked
    host: SimulatedHost
    sent_at: float
    expected_s: float
    placement: Placement


class LoadSimulation(FleetSimulation):
    """Simulates one load; each host has a placer of the product of its own."""

    def __init__(self, load: Load) -> None:
        super().__init__(
            hosts=load.hosts,
            duration_s=load.duration_s,
            seed=load.seed,
            fetches_prefixes=load.fetches_prefixes,
            heartbeat_delay_s=load.heartbeat_delay_s,
            traits=_traits(load) if load.prefix_estimate else None,
        )
        self._load = load
        self._noise_rng = random.Random(load.seed)
        self._engines: dict[UpstreamId, BatchEngine] = {}
        self._leaving: set[UpstreamId] = set()
        self._removed_engines: list[BatchEngine] = []
        self._sent: dict[RequestId, _SentRequest] = {}
        self._seen_parts: set[PartId] = set()
        self.result = LoadResult(
            first_token_s=collections.defaultdict(list),
            requested=collections.Counter(),
            within_target=collections.Counter(),
            rejected=collections.Counter(),
            prefilled_tokens=0,
            recomputed_tokens=0,
            fetched_tokens=0,
        )

    def run(self) -> LoadResult:
        """Simulate the load to its end and return the measured result."""
        self.simulate()
        engines = [*self._engines.values(), *self._removed_engines]
        self.result.prefilled_tokens = sum(engine.prefilled_tokens for engine in engines)
        self.result.fetched_tokens = sum(engine.fetched_tokens for engine in engines)
        self.result.evicted_tokens = sum(
            engine.evicted_tokens for engine in engines if isinstance(engine, MemoryEngine)
        )
        return self.result

    def begin(self) -> None:
        """Start the engines and schedule the first requests and the changes."""
        self._add_engines(self._load.engines)
        for kind in self._load.kinds:
            self.schedule(
                self.rng.expovariate(kind.requests_per_s), functools.partial(self._arrive, kind)
            )
        for change in self._load.changes:
            self.schedule(change.at_s, functools.partial(self._apply_change, change))

    def _apply_change(self, change: EngineChange) -> None:
        if change.count > 0:
            self._add_engines(change.count)
            return
        staying = sorted(set(self._engines) - self._leaving)
        for name in staying[: -change.count]:
            self._leaving.add(name)
            self._register(name, Presence.LEAVING)
            self.schedule(RECLAIM_NOTICE_S, functools.partial(self._remove_engine, name))

    def _add_engines(self, count: int) -> None:
        for _ in range(count):
            name = UpstreamId(f"u-{next(self.numbers):05}")
            slow = is_slow(len(self._engines) + 1, self._load.slow_one_in)
            self._engines[name] = self._engine_type()(
                name=name,
                model=self._load.model,
                slowness=SLOW_FACTOR if slow else 1.0,
                noise=Noise(model=self._load.noise, rng=self._noise_rng),
            )
            if slow:
                self.result.slow_engines.add(name)
            self._register(name, Presence.READY, started_ms=int(self.clock.now * 1000))

    def _engine_type(self) -> type[BatchEngine]:
        if self._load.shares_memory:
            return MemoryEngine
        return PlannedEngine if self._load.plans_steps else BatchEngine

    def _register(self, name: UpstreamId, presence: Presence, started_ms: int = 0) -> None:
        slots = self._load.model.slots
        self.register(name, slots=slots, presence=presence, started_ms=started_ms)

    def _remove_engine(self, name: UpstreamId) -> None:
        self._removed_engines.append(self._engines.pop(name))
        self.unregister(name)

    def _arrive(self, kind: PromptKind) -> None:
        self.schedule(self.rng.expovariate(kind.requests_per_s), lambda: self._arrive(kind))
        number = next(self.numbers)
        parts = (
            PromptPart(
                part_id=PartId(f"{kind.name}-{self.rng.randrange(kind.prefixes)}"),
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
        self._place(self.rng.choice(self.hosts), kind, demand)

    def _place(self, host: SimulatedHost, kind: PromptKind, demand: Demand) -> None:
        now = self.clock.now
        asked = Asked(
            workspace=WorkspaceName("all"),
            rank=kind.urgency,
            work=work_of(demand, kind.unique_tokens),
            is_stream=True,
            base_s=prefill_s(kind.unique_tokens),
            target_at=now + kind.target_s,
            ends_at=now + DEADLINE_S,
            arrived_at=now,
        )
        host.ask(
            asked,
            demand,
            kind.unique_tokens,
            send=functools.partial(self._send, host, asked, kind, demand),
            reject=functools.partial(self._reject, kind),
        )

    def _reject(self, kind: PromptKind, decision: Decision) -> None:
        self.result.rejected[kind.name] += 1

    def _send(
        self,
        host: SimulatedHost,
        asked: Asked,
        kind: PromptKind,
        demand: Demand,
        placement: Placement,
    ) -> None:
        upstream = placement.upstream
        upstream.load.note_sent(demand.request_id, placement.unread_tokens)
        upstream.load.note_cached(demand.parts)
        placement.note_sent()
        self.result.ways[None if placement.prefix is None else placement.prefix.way] += 1
        engine = self._engines.get(upstream.upstream_id)
        if engine is None:
            upstream.load.note_ended(demand.request_id)
            self.schedule(0.0, functools.partial(host.note_ended, asked, None))
            return
        self._sent[demand.request_id] = _SentRequest(
            kind=kind,
            asked=asked,
            host=host,
            sent_at=self.clock.now,
            expected_s=placement.first_s,
            placement=placement,
        )
        self.result.sends[upstream.upstream_id] += 1
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
        engine.submit(run=run, parts=demand.parts, now=self.clock.now, holder=source)
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
            self.schedule(engine.next_step_at - self.clock.now, lambda: self._step(engine))

    def _step(self, engine: BatchEngine) -> None:
        started, ended = engine.step(self.clock.now)
        for run in started:
            self._record_first_token(engine, run)
        for run in ended:
            sent = self._sent.pop(run.request_id)
            sent.placement.upstream.load.note_ended(run.request_id)
            sent.host.note_ended(sent.asked, self.clock.now - sent.sent_at)
        if engine.name in self._engines:
            self._schedule_step(engine)

    def _record_first_token(self, engine: BatchEngine, run: EngineRun) -> None:
        sent = self._sent[run.request_id]
        sent.placement.upstream.load.note_first_token(run.request_id)
        if self._load.reports:
            sent.placement.upstream.load.note_reported_load(engine.load(self.clock.now))
        at_upstream_s = self.clock.now - sent.sent_at
        sent.placement.note_answer(at_upstream_s)
        sent.host.queue.note_first(sent.expected_s, at_upstream_s)
        first_token_s = self.clock.now - sent.asked.arrived_at
        self.result.first_token_s[sent.kind.name].append(first_token_s)
        self.result.within_target[sent.kind.name] += first_token_s <= sent.kind.target_s


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
        "rejected": {
            kind: round(result.rejected[kind] / count, 3)
            for kind, count in result.requested.items()
        },
        "median_s": {kind: round(values[len(values) // 2], 3) for kind, values in times.items()},
        "p95_s": {
            kind: round(values[int(0.95 * len(values))], 3) for kind, values in times.items()
        },
        "p99_s": {
            kind: round(values[int(0.99 * len(values))], 3) for kind, values in times.items()
        },
        "busiest_to_mean": round(result.busiest_to_mean, 3),
        "slow_to_fast": round(result.slow_to_fast, 3),
        "read": result.prefilled_tokens,
        "read_again": result.recomputed_tokens,
        "fetched": result.fetched_tokens,
        "ways": {way.value: count for way, count in result.ways.items() if way is not None},
        "evicted": result.evicted_tokens,
    }


def main() -> None:
    """Print the figures of each load and seed as JSON lines."""
    print_figures(
        prog="python -m benchmarks.prompt_load",
        description=__doc__,
        loads=LOADS,
        simulate=lambda load, seed: figures(
            LoadSimulation(dataclasses.replace(load, seed=seed)).run()
        ),
    )


if __name__ == "__main__":
    main()
