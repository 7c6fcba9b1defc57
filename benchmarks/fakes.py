"""Fakes of the platform's interfaces for simulations in virtual time."""

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import heapq
import itertools

from cassiawalk.clients import CallAnswered
from cassiawalk.clients import CallFailed
from cassiawalk.clients import CallOutcome
from cassiawalk.clients import EngineRequest
from cassiawalk.clients import Finished
from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostList
from cassiawalk.clients import Interrupted
from cassiawalk.clients import LoadReport
from cassiawalk.clients import PlainService
from cassiawalk.clients import ServiceCall
from cassiawalk.clients import Tokens
from cassiawalk.clients.cloud import CloudApi
from cassiawalk.clients.cloud import HostStarted
from cassiawalk.clients.cloud import MachineOffer
from cassiawalk.clients.cloud import ReclaimNotice
from cassiawalk.clients.cloud import StartRefused
from cassiawalk.clients.engine import CacheRemoved
from cassiawalk.clients.engine import CacheStored
from cassiawalk.clients.engine import Engine
from cassiawalk.clients.engine import EngineEvent
from cassiawalk.clients.engine import EngineNotice
from cassiawalk.clients.engine import EngineOrder
from cassiawalk.clients.engine import InterruptReason
from cassiawalk.clients.engine import OrderOutcome
from cassiawalk.clock import Clock
from cassiawalk.dispatch import Connector
from cassiawalk.ids import RequestId
from cassiawalk.routing import UpstreamView
from standins.prefix_cache import PrefixCache
from standins.prefix_cache import prompt_blocks

TOKENS_PER_EVENT = 8
CRASH_MARKER = "CRASH"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """Speed and capacity of an engine, and the delay and loss of its notices.

    :param token_s: the seconds to generate one token.
    :param prefill_token_s: the seconds to prefill one prompt token.
    :param cache_blocks: the number of blocks that the prefix cache holds.
    :param report_lag_s: the delay of load reports and cache events, in seconds.
    :param event_loss: the share of cache events that are lost.
    """

    slots: int = 8
    token_s: float = 0.025
    prefill_token_s: float = 0.0003
    cache_blocks: int = 900
    report_lag_s: float = 0.5
    report_interval_s: float = 0.5
    event_loss: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Usage:
    """The slot time that an engine used and the tokens that it computed.

    :param busy_slot_s: the sum over slots of the seconds in which they ran a request.
    :param recomputed_tokens: the tokens computed for requests that an engine had computed before.
    """

    busy_slot_s: float = 0.0
    computed_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0


class FakeEngine(Engine):
    """An engine with slots, a priority queue, a prefix cache and delayed notices.

    It prefills one prompt at a time.

    :param computed_before: the requests that some engine has computed; all engines share the set.
    """

    def __init__(
        self, *, host: str, spec: EngineSpec, clock: Clock, computed_before: set[RequestId]
    ) -> None:
        self.host = host
        self.spec = spec
        self.usage = Usage()
        self.slow_factor = 1.0
        self.leaving = False
        self.refusing = False
        self.dead = asyncio.Event()
        self._clock = clock
        self._computed_before = computed_before
        self._cache = PrefixCache(limit_blocks=spec.cache_blocks)
        self._running = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._prefill = asyncio.Lock()
        self._events: list[tuple[float, EngineNotice]] = []
        self._seq = 0

    def die(self) -> None:
        """Simulate the end of the process: interrupt all streams and refuse connections."""
        self.dead.set()
        for _, _, waiter in self._waiting:
            if not waiter.done():
                waiter.set_result(None)

    async def generate(self, req: EngineRequest) -> cabc.AsyncGenerator[EngineEvent, None]:
        """Yield the first token, then groups of tokens, then the end of the answer."""
        refusal = self._refusal(req)
        if refusal is not None:
            yield refusal
            return
        await self._acquire_slot(req.priority)
        began = self._clock.monotonic()
        try:
            computed, cached = await self._compute(req)
            done = req.resume_tokens
            while done < req.max_tokens and not self.dead.is_set():
                count = 1 if done == req.resume_tokens else TOKENS_PER_EVENT
                count = min(count, req.max_tokens - done)
                await asyncio.sleep(self.spec.token_s * self.slow_factor * count)
                if not self.dead.is_set():
                    done += count
                    yield Tokens(count=count, text="t " * count)
            if self.dead.is_set():
                yield Interrupted(reason=InterruptReason.CONNECTION_LOST, sent=True)
                return
            yield Finished(completion_tokens=done, computed_tokens=computed, cached_tokens=cached)
        finally:
            self.usage.busy_slot_s += self._clock.monotonic() - began
            self._release_slot()

    async def notices(self) -> cabc.AsyncGenerator[EngineNotice, None]:
        """Yield load reports and cache events, each delayed by ``report_lag_s``."""
        position = len(self._events)
        reports: collections.deque[LoadReport] = collections.deque()
        while not self.dead.is_set():
            reports.append(self._report())
            await asyncio.sleep(self.spec.report_interval_s)
            cutoff_s = self._clock.wall() - self.spec.report_lag_s
            while reports and reports[0].measured_s <= cutoff_s:
                yield reports.popleft()
            while position < len(self._events) and self._events[position][0] <= cutoff_s:
                yield self._events[position][1]
                position += 1

    async def export_kv(self, request_id: RequestId) -> bytes | None:
        """Return None, as the simulation has no KV transfer."""
        return None

    async def import_kv(self, blob: bytes) -> str | None:
        """Return None, as the simulation has no KV transfer."""
        return None

    async def order(self, order: EngineOrder) -> OrderOutcome:
        """Confirm the order without an effect."""
        return OrderOutcome.DONE

    def _refusal(self, req: EngineRequest) -> Interrupted | None:
        if CRASH_MARKER in req.prompt and not self.dead.is_set():
            self.die()
            return Interrupted(reason=InterruptReason.CONNECTION_LOST, sent=True)
        if self.dead.is_set():
            return Interrupted(reason=InterruptReason.CONNECT_FAILED, sent=False)
        if self.refusing:
            return Interrupted(reason=InterruptReason.REFUSED, sent=False, retry_after_s=1.0)
        if self.leaving:
            return Interrupted(reason=InterruptReason.LEAVING, sent=False)
        return None

    async def _acquire_slot(self, priority: int) -> None:
        if self._running < self.spec.slots:
            self._running += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._numbers), waiter))
        await waiter

    def _release_slot(self) -> None:
        while self._waiting:
            waiter = heapq.heappop(self._waiting)[2]
            if not waiter.done():
                waiter.set_result(None)
                return
        self._running -= 1

    async def _compute(self, req: EngineRequest) -> tuple[int, int]:
        blocks = prompt_blocks(req.prompt)
        needed = req.prompt.count(" ") + 1 + req.resume_tokens
        async with self._prefill:
            cached = self._cache.cached_tokens(blocks)
            computed = needed - cached
            await asyncio.sleep(computed * self.spec.prefill_token_s * self.slow_factor)
        added, removed = self._cache.store(blocks)
        self._add_cache_event(CacheStored, added)
        self._add_cache_event(CacheRemoved, removed)
        self.usage.computed_tokens += computed
        self.usage.cached_tokens += cached
        if req.request_id in self._computed_before:
            self.usage.recomputed_tokens += computed
        self._computed_before.add(req.request_id)
        return computed, cached

    def _add_cache_event(
        self, event_type: type[CacheStored] | type[CacheRemoved], blocks: list[str]
    ) -> None:
        if not blocks:
            return
        self._seq += 1
        # Drops every n-th event, not a random one, so that runs with one seed drop the same events.
        lost = self.spec.event_loss > 0 and self._seq % round(1 / self.spec.event_loss) == 0
        if not lost:
            self._events.append(
                (self._clock.wall(), event_type(seq=self._seq, blocks=tuple(blocks)))
            )

    def _report(self) -> LoadReport:
        return LoadReport(
            slots=self.spec.slots,
            running=self._running,
            waiting=len(self._waiting),
            measured_s=self._clock.wall(),
            token_interval_s=self.spec.token_s * self.slow_factor,
        )


class FakePlain(PlainService):
    """Answers each call after ``answer_s`` seconds."""

    def __init__(self, *, answer_s: float) -> None:
        self.dead = False
        self._answer_s = answer_s

    async def call(self, call: ServiceCall) -> CallOutcome:
        """Return an answer, or a refused connection if the service is dead."""
        if self.dead:
            return CallFailed(reason="connection refused", sent=False)
        await asyncio.sleep(self._answer_s)
        return CallAnswered(status=200, body=b"{}")

    async def look_up(self, *, path: str, workspace: str, key: str) -> CallOutcome:
        """Return status 404, as outcomes are not stored."""
        return CallAnswered(status=404, body=b"")


class FakeHosts(HostList):
    """The host list of a simulation, shared by all hosts."""

    def __init__(self) -> None:
        self.entries: dict[str, HostEntry] = {}

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the current entries."""
        return tuple(self.entries.values())


class FakeConnector(Connector):
    """Returns the fake client of an upstream."""

    def __init__(self) -> None:
        self.engines: dict[str, FakeEngine] = {}
        self.plain_services: dict[str, FakePlain] = {}
        self.computed_before: set[RequestId] = set()

    def engine(self, upstream: UpstreamView) -> Engine:
        """Return the fake engine."""
        return self.engines[upstream.upstream_id]

    def plain(self, upstream: UpstreamView) -> PlainService:
        """Return the fake plain service."""
        return self.plain_services[upstream.upstream_id]


class FakeCloud(CloudApi):
    """A cloud API without notices and offers that refuses to start hosts."""

    async def notices(self, *, after: int, wait_s: float) -> tuple[ReclaimNotice, ...] | None:
        """Return no notices after the whole wait."""
        await asyncio.sleep(wait_s)
        return ()

    async def offers(self) -> tuple[MachineOffer, ...] | None:
        """Return no offers."""
        return ()

    async def start_host(self, offer: MachineOffer) -> HostStarted | StartRefused | None:
        """Refuse to start a host."""
        return StartRefused(reason="a simulation starts no hosts through the cloud API")
