"""Plays requests with shared prompt parts over many hosts' own placing, in virtual time.

``python -m benchmarks.prompt_load`` prints what callers get: on a calm day, and while engines
are taken back and come anew.
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
from benchmarks.prompt_kinds import Change
from benchmarks.prompt_kinds import Kind
from benchmarks.prompt_kinds import Load
from cassiawalk.clock import Clock
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.codec import PartId
from cassiawalk.ingress.codec import PromptPart
from cassiawalk.ingress.directory import Directory
from cassiawalk.ingress.directory import Presence
from cassiawalk.ingress.directory import Registration
from cassiawalk.ingress.directory import Upstream
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.placement import Placer

SERVICE = ServiceName("models")
HERE = FailureDomain("here")
BEAT_S = 0.5
WORD_AGE_S = 0.3  # how old a beat's sum is when it arrives
NOTICE_S = 2.0
START_S = 1000.0


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What callers got; times from the caller's request, in seconds."""

    first_s: dict[str, list[float]]
    asked: collections.Counter[str]
    in_aim: collections.Counter[str]
    read: int
    read_again: int
    fetched: int

    @property
    def share_in_aim(self) -> float:
        """Return the part of all requests whose first token came in its aim."""
        return sum(self.in_aim.values()) / max(1, sum(self.asked.values()))


class _Clock(Clock):
    def __init__(self) -> None:
        self.now = START_S

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
            failure_domain=HERE,
            fetches_prefixes=lambda service: fetches_prefixes,
            now=clock.monotonic,
        )
        self.number = number

    def upstreams(self) -> list[Upstream]:
        return self.directory.upstreams()


@dataclasses.dataclass(kw_only=True)
class _Sent:
    kind: Kind
    at: float
    upstream: Upstream


class Player:
    """Plays one load; the placing is the product's own, one for each host."""

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
        self._gone: list[BatchEngine] = []
        self._sent: dict[RequestId, _Sent] = {}
        self._events: list[tuple[float, int, cabc.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._offsets = itertools.count()
        self._known_parts: set[PartId] = set()
        self.outcome = Outcome(
            first_s=collections.defaultdict(list),
            asked=collections.Counter(),
            in_aim=collections.Counter(),
            read=0,
            read_again=0,
            fetched=0,
        )

    def run(self) -> Outcome:
        """Play the load to its end and return what callers got."""
        self._join(self._load.engines)
        for kind in self._load.kinds:
            self._at(self._rng.expovariate(kind.per_s), functools.partial(self._arrive, kind))
        for host in self._hosts:
            self._at(BEAT_S * self._rng.random(), functools.partial(self._beat, host))
        for change in self._load.changes:
            self._at(change.at_s, functools.partial(self._change, change))
        while self._events and self._events[0][0] < START_S + self._load.seconds:
            at, _, action = heapq.heappop(self._events)
            self._clock.now = at
            action()
        engines = [*self._engines.values(), *self._gone]
        self.outcome.read = sum(engine.read_tokens for engine in engines)
        self.outcome.fetched = sum(engine.fetched_tokens for engine in engines)
        return self.outcome

    def _at(self, delay_s: float, action: cabc.Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._clock.now + delay_s, next(self._numbers), action))

    def _change(self, change: Change) -> None:
        if change.count > 0:
            self._join(change.count)
            return
        staying = sorted(set(self._engines) - self._leaving)
        for name in staying[: -change.count]:
            self._leaving.add(name)
            self._register(name, Presence.LEAVING)
            self._at(NOTICE_S, functools.partial(self._remove, name))

    def _join(self, count: int) -> None:
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
                address="127.0.0.1:1",
                failure_domain=HERE,
                slots=self._load.model.slots,
                presence=presence,
                started_ms=started_ms if known is None else known.registration.started_ms,
            )
            host.directory.put(registration, offset)

    def _remove(self, name: UpstreamId) -> None:
        self._gone.append(self._engines.pop(name))
        for host in self._hosts:
            host.directory.remove(name, Offset(next(self._offsets)))

    def _beat(self, host: _Host) -> None:
        words: dict[UpstreamId, list[int]] = {}
        for other in self._hosts:
            if other is host:
                continue
            for upstream in other.upstreams():
                load = upstream.load
                if load.own:
                    word = words.setdefault(upstream.upstream_id, [0, 0])
                    word[0] += load.own
                    word[1] += load.own_pending_tokens
        self._at(WORD_AGE_S, lambda: self._hear(host, words))
        self._at(BEAT_S, lambda: self._beat(host))

    def _hear(self, host: _Host, words: dict[UpstreamId, list[int]]) -> None:
        for upstream in host.upstreams():
            requests, unread = words.get(upstream.upstream_id, [0, 0])
            upstream.load.note_peer(HostId("rest"), requests, unread)

    def _arrive(self, kind: Kind) -> None:
        self._at(self._rng.expovariate(kind.per_s), lambda: self._arrive(kind))
        number = next(self._numbers)
        parts = (
            PromptPart(
                part_id=PartId(f"{kind.name}-{self._rng.randrange(kind.things)}"),
                tokens=kind.shared,
            ),
            PromptPart(part_id=PartId(f"own-{number}"), tokens=kind.own),
        )
        demand = Demand(
            request_id=RequestId(str(number)),
            parts=parts,
            prompt_tokens=kind.shared + kind.own,
            output_tokens=kind.output,
        )
        self.outcome.asked[kind.name] += 1
        self._place(self._rng.choice(self._hosts), kind, demand)

    def _place(self, host: _Host, kind: Kind, demand: Demand) -> None:
        # The placing reads no more of a job than this.
        job = t.cast(
            Job,
            types.SimpleNamespace(
                service=SERVICE, demand=demand, tried=set(), unshared_tokens=kind.own
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
        self._sent[demand.request_id] = _Sent(kind=kind, at=self._clock.now, upstream=upstream)
        holder = placement.holder
        source = None if holder is None else self._engines.get(holder.upstream_id)
        self._note_read_again(engine, source, demand)
        run = EngineRun(
            request_id=demand.request_id,
            urgency=kind.urgency,
            unread=demand.prompt_tokens,
            tokens_left=kind.output,
        )
        idle = engine.due_at is None
        engine.begin(run=run, parts=demand.parts, now=self._clock.now, holder=source)
        if idle:
            self._schedule(engine)

    def _note_read_again(
        self, engine: BatchEngine, source: BatchEngine | None, demand: Demand
    ) -> None:
        shared = demand.shared_prefix
        held = max(engine.holds(shared), 0 if source is None else source.holds(shared))
        missing = sum(part.tokens for part in shared) - held
        if all(part.part_id in self._known_parts for part in shared):
            self.outcome.read_again += missing
        self._known_parts.update(part.part_id for part in shared)

    def _schedule(self, engine: BatchEngine) -> None:
        if engine.due_at is not None:
            self._at(engine.due_at - self._clock.now, lambda: self._step(engine))

    def _step(self, engine: BatchEngine) -> None:
        begun, ended = engine.step(self._clock.now)
        for run in begun:
            self._note_first(run)
        for run in ended:
            sent = self._sent.pop(run.request_id)
            sent.upstream.load.note_ended(run.request_id)
        if engine.name in self._engines:
            self._schedule(engine)

    def _note_first(self, run: EngineRun) -> None:
        sent = self._sent[run.request_id]
        sent.upstream.load.note_first_token(run.request_id)
        first_s = self._clock.now - sent.at
        self.outcome.first_s[sent.kind.name].append(first_s)
        self.outcome.in_aim[sent.kind.name] += first_s <= sent.kind.aim_s


# Three failure domains taken back within seconds, and engines of another price bought for them.
WAVES = (
    Change(at_s=6.0, count=-6),
    Change(at_s=8.0, count=-6),
    Change(at_s=10.0, count=6),
    Change(at_s=11.0, count=-6),
    Change(at_s=12.0, count=6),
    Change(at_s=15.0, count=6),
)
LOADS = {
    "calm": Load(),
    "waves": Load(changes=WAVES),
    "waves, nothing fetched": Load(changes=WAVES, fetches_prefixes=False),
    "few engines": Load(engines=16),
}


def figures(outcome: Outcome) -> dict[str, t.Any]:
    """Return an outcome's figures by name."""
    times = {kind: sorted(values) for kind, values in outcome.first_s.items()}
    return {
        "asked": sum(outcome.asked.values()),
        "in_aim": round(outcome.share_in_aim, 3),
        "in_aim_by_kind": {
            kind: round(outcome.in_aim[kind] / count, 3) for kind, count in outcome.asked.items()
        },
        "median_s": {kind: round(values[len(values) // 2], 3) for kind, values in times.items()},
        "p95_s": {
            kind: round(values[int(0.95 * len(values))], 3) for kind, values in times.items()
        },
        "read": outcome.read,
        "read_again": outcome.read_again,
        "fetched": outcome.fetched,
    }


def main() -> None:
    """Print the figures of each load, for some seeds, as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.prompt_load", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="runs of each load")
    parser.add_argument("--loads", nargs="+", choices=list(LOADS), default=list(LOADS))
    args = parser.parse_args()
    for name in args.loads:
        for seed in range(1, args.seeds + 1):
            outcome = Player(dataclasses.replace(LOADS[name], seed=seed)).run()
            print(json.dumps({"load": name, "seed": seed, **figures(outcome)}), flush=True)


if __name__ == "__main__":
    main()
