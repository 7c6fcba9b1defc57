"""Collects what a host knows of a prompt's shared prefix, for the estimate of each candidate."""

import collections.abc as cabc
import dataclasses
import heapq
import math

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.holders import MIN_FETCH_TOKENS
from cassiawalk.ingress.holders import MIN_HEAD_START_S
from cassiawalk.ingress.holders import WARMUP_S
from cassiawalk.ingress.holders import rendezvous_order
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.prefixestimate import Candidate
from cassiawalk.ingress.prefixestimate import Holding
from cassiawalk.ingress.prefixestimate import Knowledge
from cassiawalk.ingress.prefixestimate import Memory
from cassiawalk.ingress.prefixestimate import PrefixCost
from cassiawalk.ingress.prefixestimate import Source
from cassiawalk.ingress.prefixestimate import Way
from cassiawalk.ingress.prefixestimate import estimate
from cassiawalk.ingress.prefixlearning import FetchTimes
from cassiawalk.ingress.prefixlearning import MemoryUse
from cassiawalk.storeview.config import EngineTraits
from cassiawalk.storeview.upstream import Upstream

# Upstreams that a fetch is estimated from, for each candidate: the best of those that this host
# has sent the prefix to, and the guessed one.
MAX_KNOWN_SOURCES = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrefixChoice:
    """The way that was found for an upstream, and the upstream to fetch from."""

    cost: PrefixCost
    holder: Upstream | None


class _Service:
    def __init__(self) -> None:
        self.memory = MemoryUse()
        self.fetches = FetchTimes()


class PrefixEstimator:
    """Estimates the ways to a shared prefix by what this host has sent and seen.

    :param traits: returns the properties of a service's engines, or None.
    :param hosts: returns the number of hosts that the requests come to.
    :param now_s: returns the time on the clock of upstreams' start times, in seconds.
    """

    def __init__(
        self,
        *,
        traits: cabc.Callable[[ServiceName], EngineTraits | None],
        hosts: cabc.Callable[[], int],
        now_s: cabc.Callable[[], float],
        clock: Clock,
    ) -> None:
        self._traits = traits
        self._hosts = hosts
        self._now_s = now_s
        self._clock = clock
        self._services: dict[ServiceName, _Service] = {}

    def view(
        self,
        job: Job,
        upstreams: cabc.Sequence[Upstream],
        *,
        order: cabc.Sequence[UpstreamId],
        owners: cabc.Sequence[UpstreamId],
        usual_pending: float,
    ) -> "PrefixView | None":
        """Return what is known of a job's prefix; None if that is too little for an estimate.

        :param upstreams: the service's upstreams, including those that are leaving.
        :param order: the rendezvous order of those that accept requests; used again if it is that
            of all upstreams to fetch from, as it takes longer than the rest.
        :param owners: the upstreams that are to have the prefix cached.
        :param usual_pending: the median of pending tokens that other hosts report of the upstreams
            compared.
        """
        traits = self._traits(job.service)
        if traits is None or traits.memory_tokens <= 0:
            return None
        if traits.moves and (traits.token_bytes <= 0 or traits.link_mbps <= 0):
            return None  # a fetch has no known time
        if sum(part.tokens for part in job.demand.shared_prefix) < MIN_FETCH_TOKENS:
            return None  # what it costs is less than what costs are known by
        return PrefixView(
            job=job,
            upstreams=upstreams,
            order=order,
            owners=owners,
            usual_pending=usual_pending,
            traits=traits,
            fetches=self._of(job.service).fetches,
            memory_of=self._memories(job.service, traits, len(upstreams)),
            now=self._clock.monotonic(),
            now_s=self._now_s(),
        )

    def note_sent(self, job: Job, placement: Placement) -> None:
        """Record that a request was sent, and that its fetch takes the links of both engines."""
        now = self._clock.monotonic()
        demand = job.demand
        new_tokens = placement.unread_tokens + demand.output_tokens
        prefix, holder = placement.prefix, placement.holder
        if holder is not None and prefix is not None and prefix.way is Way.FETCH:
            new_tokens = demand.prompt_tokens + demand.output_tokens
            ends_at = now + prefix.fetch_s
            for load in (placement.upstream.load, holder.load):
                load.link_free_at = max(load.link_free_at, ends_at)
        held_tokens = demand.prompt_tokens + demand.output_tokens
        self._of(job.service).memory.note(new_tokens, held_tokens, now)

    def note_fetched(self, job: Job, expected_s: float, took_s: float) -> None:
        """Record how long a fetch took according to an answer."""
        self._of(job.service).fetches.note(expected_s, took_s)

    def _of(self, service: ServiceName) -> _Service:
        return self._services.setdefault(service, _Service())

    def _memories(
        self, service: ServiceName, traits: EngineTraits, upstreams: int
    ) -> cabc.Callable[[Upstream, float], Memory]:
        """Return what tells the memory of an upstream that runs so many requests."""
        use = self._of(service).memory
        added = use.added_per_s(self._clock.monotonic()) * max(1, self._hosts())
        now_s = self._now_s()

        def memory_of(upstream: Upstream, requests: float) -> Memory:
            return Memory(
                capacity_tokens=traits.memory_tokens,
                running_tokens=requests * use.mean_tokens,
                added_per_s=added / max(1, upstreams),
                uptime_s=max(0.0, now_s - upstream.registration.started_ms / 1000),
            )

        return memory_of


class PrefixView:
    """What is known of one job's prefix at the upstreams of a service."""

    def __init__(
        self,
        *,
        job: Job,
        upstreams: cabc.Sequence[Upstream],
        order: cabc.Sequence[UpstreamId],
        owners: cabc.Sequence[UpstreamId],
        usual_pending: float,
        traits: EngineTraits,
        fetches: FetchTimes,
        memory_of: cabc.Callable[[Upstream, float], Memory],
        now: float,
        now_s: float,
    ) -> None:
        self._parts = job.demand.shared_prefix
        self._tokens = sum(part.tokens for part in self._parts)
        self._owners = frozenset(owners)
        self._memory_of = memory_of
        self._usual_pending = usual_pending
        self._now = now
        self._now_s = now_s
        self._copy_s = fetches.expected_s(self._tokens, traits) if traits.moves else math.inf
        sound = {found.upstream_id: found for found in upstreams if not found.health.paused}
        self._ages = {
            found: age_s
            for found in sound.values()
            if (age_s := found.load.cached_age_s(self._parts)) is not None
        }
        if len(order) != len(sound) or any(name not in sound for name in order):
            order = rendezvous_order(self._parts, sound.values())
        self._order = [sound[name] for name in order]
        self._oldest_ms = min(
            (found.registration.started_ms for found in sound.values()), default=0
        )
        self._known = self._best_known()
        self._probabilities: dict[Upstream, float] = {}

    def choose(
        self, upstream: Upstream, *, token_s: float, wait_s: float, requests: float
    ) -> PrefixChoice:
        """Return the cheapest way to have the prefix at an upstream.

        :param token_s: the time to prefill a token there, in seconds.
        :param wait_s: the time until the request's prefill begins there.
        :param requests: the number of requests there.
        """
        candidate = Candidate(
            holding=self._holding(upstream, self._memory_of(upstream, requests)),
            is_owner=upstream.upstream_id in self._owners,
            token_s=token_s,
            wait_s=wait_s,
            usual_wait_s=self._usual_pending * token_s,
            busy_ratio=requests / max(1, upstream.slots),
        )
        is_known = candidate.holding.knowledge is Knowledge.KNOWN
        if self._copy_s == math.inf or (is_known and candidate.holding.probability(wait_s) == 1.0):
            return PrefixChoice(cost=estimate(self._tokens, candidate), holder=None)
        holders = self._holders(upstream)
        sources = [self._source(found, upstream) for found in holders]
        cost = estimate(self._tokens, candidate, sources)
        index = cost.source
        if index is None and not is_known:
            index = self._fallback(sources, self._tokens * token_s)
        return PrefixChoice(cost=cost, holder=None if index is None else holders[index])

    def _best_known(self) -> list[Upstream]:
        """Return the best upstreams that this host has sent the prefix to.

        One is left for the candidate that is one of them itself.
        """
        if len(self._ages) <= 1:
            return list(self._ages)

        def key(found: Upstream) -> tuple[float, float, int]:
            load = found.load
            return found.slowness_now, max(0.0, load.link_free_at - self._now), load.total

        return heapq.nsmallest(MAX_KNOWN_SOURCES + 1, self._ages, key=key)

    def _fallback(self, sources: cabc.Sequence[Source], prefill_s: float) -> int | None:
        """Return the source for a prefix that is believed to be cached, but may not be.

        An engine that has the prefix fetches nothing, so it costs nothing to name a source.
        """
        fetches = [(source.fetch_s, index) for index, source in enumerate(sources)]
        fetch_s, index = min(fetches, default=(math.inf, 0))
        return index if fetch_s < prefill_s else None

    def _holders(self, upstream: Upstream) -> list[Upstream]:
        known = [found for found in self._known if found is not upstream][:MAX_KNOWN_SOURCES]
        if self._order and self._order[0] is not upstream:
            guessed: Upstream | None = self._order[0]
        else:
            guessed = self._older(upstream)
        return known if guessed is None or guessed in known else [*known, guessed]

    def _older(self, upstream: Upstream) -> Upstream | None:
        """Return the upstream that had the prefix before a new one came, or None."""
        before_ms = upstream.registration.started_ms - MIN_HEAD_START_S * 1000
        is_warm = self._now_s * 1000 - upstream.registration.started_ms > WARMUP_S * 1000
        if self._oldest_ms >= before_ms or is_warm:
            return None
        ranked = (found for found in self._order if found is not upstream)
        return next((found for found in ranked if found.registration.started_ms < before_ms), None)

    def _source(self, found: Upstream, upstream: Upstream) -> Source:
        slowness = max(found.slowness_now, upstream.slowness_now)
        free_at = max(found.load.link_free_at, upstream.load.link_free_at)
        turn_s = max(0.0, free_at - self._now)
        probability = self._probabilities.get(found)
        if probability is None:
            memory = self._memory_of(found, found.load.total)
            holding = self._known_holding(found, memory)
            if holding is None:
                holding = Holding(knowledge=Knowledge.GUESSED, memory=memory)
            probability = self._probabilities[found] = holding.probability()
        return Source(probability=probability, fetch_s=turn_s + self._copy_s * slowness)

    def _holding(self, found: Upstream, memory: Memory) -> Holding:
        """Return what is known of the prefix at a candidate."""
        known = self._known_holding(found, memory)
        if found.upstream_id not in self._owners:
            return known or Holding(knowledge=Knowledge.UNKNOWN, memory=memory)
        is_new = self._older(found) is not None
        knowledge = Knowledge.GUESSED if is_new else Knowledge.BELIEVED
        owned = Holding(knowledge=knowledge, memory=memory)
        if known is not None and known.probability() >= owned.probability():
            return known
        return owned

    def _known_holding(self, found: Upstream, memory: Memory) -> Holding | None:
        age_s = self._ages.get(found)
        if age_s is None:
            return None
        return Holding(knowledge=Knowledge.KNOWN, memory=memory, age_s=age_s)
