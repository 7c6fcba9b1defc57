"""Estimates what a prompt's shared prefix costs at an upstream: cached, fetched or prefilled again.

One estimate covers all three, so that upstreams can be compared by it. It runs without a network
and without a clock: all times are arguments. The load it is made for is one of many prefixes that
together take most of the engines' memory, some of which are asked for far more often than others.
"""

import collections.abc as cabc
import dataclasses
import enum
import math

# How much the prefill of a token costs the requests that run beside it on a full engine.
BESIDE_WEIGHT = 1.0
# How much a copy costs, in prefills, on an engine that is not meant to have the prefix: other hosts
# don't know of it and have the prefix prefilled elsewhere too. With 1 or less, caches of engines
# that are too few break, see docs/design/prefix-reuse.md.
COPY_WEIGHT = 2.0
# A usual wait at the candidates that makes a copy cost one prefill more. Where all engines are
# behind, what counts is that each prefix is prefilled once, and not where the wait is shorter.
WAIT_PER_COPY_WEIGHT_S = 0.05
# How much the memory of a copy costs if it is full, in prefills: what is evicted is needed again.
MEMORY_WEIGHT = 1.0
# An engine that is guessed to have a prefix has it with this probability once it has run for
# ``GUESS_AFTER_S``; in proportion before.
GUESS = 0.95
GUESS_AFTER_S = 30.0
# Until an owner has run for this time, a falling part of what it is believed to have counts as
# still to be prefilled: in the expected time to the first token and in what other hosts hear of its
# pending tokens, but not in its cost.
OWNER_FILLED_AFTER_S = 10.0
# A part is likely to be cached up to this part of the time that unused parts last, and not after
# the other one. That time is a mean over the service's engines.
SURE_UNTIL = 0.5
GONE_AFTER = 1.5


class Way(enum.Enum):
    """How an upstream comes to have a prompt's shared prefix."""

    CACHED = "cached"
    FETCH = "fetch"
    PREFILL = "prefill"


class Knowledge(enum.Enum):
    """What a host knows of a prefix at an upstream.

    - KNOWN: the host has sent it there.
    - BELIEVED: it is to be cached there, and no other upstream has had it before.
    - GUESSED: it is or was to be cached there; whether it has been sent there is open.
    - UNKNOWN: nothing; it counts as not cached.
    """

    KNOWN = "known"
    BELIEVED = "believed"
    GUESSED = "guessed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Memory:
    """The memory of an engine, which running requests and cached parts share.

    :param capacity_tokens: 0 if it is not known.
    :param running_tokens: the tokens of the requests that run there.
    :param added_per_s: the tokens of new parts that requests add in a second.
    :param uptime_s: how long the engine has run.
    """

    capacity_tokens: float
    running_tokens: float
    added_per_s: float
    uptime_s: float

    @property
    def _room_tokens(self) -> float:
        return max(0.0, self.capacity_tokens - self.running_tokens)

    @property
    def lifetime_s(self) -> float:
        """Return how long a part stays that is not used; the least recently used is evicted."""
        if self.capacity_tokens <= 0 or self.added_per_s <= 0:
            return math.inf
        return self._room_tokens / self.added_per_s

    @property
    def pressure(self) -> float:
        """Return the probability that a new part evicts another one; 1.0 if nothing is known."""
        if self.capacity_tokens <= 0 or self._room_tokens <= 0:
            return 1.0
        return min(1.0, self.added_per_s * self.uptime_s / self._room_tokens)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Holding:
    """What is known of the shared prefix at one upstream.

    :param age_s: the time since the host sent it there; 0 if it did not.
    """

    knowledge: Knowledge
    memory: Memory
    age_s: float = 0.0

    def probability(self, after_s: float = 0.0) -> float:
        """Return the probability that the prefix is cached there after some more seconds."""
        if self.knowledge is Knowledge.UNKNOWN:
            return 0.0
        if self.knowledge is Knowledge.BELIEVED:
            return 1.0
        if self.knowledge is Knowledge.GUESSED:
            return GUESS * min(1.0, self.memory.uptime_s / GUESS_AFTER_S)
        lifetime_s = self.memory.lifetime_s
        if math.isinf(lifetime_s):
            return 1.0
        if lifetime_s <= 0.0:
            return 0.0
        used = (self.age_s + after_s) / lifetime_s
        return min(1.0, max(0.0, (GONE_AFTER - used) / (GONE_AFTER - SURE_UNTIL)))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Source:
    """An upstream that the prefix may be fetched from.

    :param probability: that the prefix is cached there, see ``Holding.probability``.
    :param fetch_s: the time of the fetch, with transfers before it.
    """

    probability: float
    fetch_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """An upstream that may run the request.

    :param is_owner: whether the prefix is to be cached there, by its demand.
    :param token_s: the time to prefill a token there, with the upstream's slowness, in seconds.
    :param wait_s: the time until the request's prefill begins there.
    :param busy_ratio: the part of its slots that are taken.
    :param usual_wait_s: the median of the waits that other hosts report of the candidates.
    """

    holding: Holding
    is_owner: bool
    token_s: float
    wait_s: float
    busy_ratio: float
    usual_wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrefixCost:
    """The cheapest way to have the prefix at a candidate.

    :param source: the index of the source to fetch from, or None.
    :param fetch_s: the time of the fetch, if there is one.
    :param uncached_tokens: the tokens of the prefix that it is expected to prefill.
    :param delay_s: the expected time until the prefix is there, beyond the wait.
    :param cost_s: the delay, and what the requests beside it and evicted parts lose.
    :param saving_s: the prefill time that is saved.
    """

    way: Way
    uncached_tokens: int
    delay_s: float
    cost_s: float
    saving_s: float
    source: int | None = None
    fetch_s: float = 0.0


def estimate(tokens: int, candidate: Candidate, sources: cabc.Sequence[Source] = ()) -> PrefixCost:
    """Return the cheapest way to have a prefix of so many tokens at a candidate.

    An owner's memory is meant for the prefix, so neither its copy nor its first prefill counts
    against it, and the way with the least delay is taken. Otherwise all upstreams would cost the
    same while caches are cold, and each host would have the prefix prefilled on another one.

    :param sources: the upstreams other than the candidate that may have the prefix.
    """
    whole_s = tokens * candidate.token_s
    cached = candidate.holding.probability(candidate.wait_s)
    stays = _without_source(tokens, candidate, cached)
    options = [stays]
    options += [
        _fetched(tokens, candidate, cached, source, index)
        for index, source in enumerate(sources)
        if source.fetch_s < whole_s
    ]
    if candidate.is_owner:
        return min(options, key=lambda option: option.delay_s)
    return min(options, key=lambda option: option.cost_s)


def _without_source(tokens: int, candidate: Candidate, cached: float) -> PrefixCost:
    holding = candidate.holding
    missing = (1.0 - cached) * tokens
    if holding.knowledge is Knowledge.BELIEVED:
        missing = max(0.0, 1.0 - holding.memory.uptime_s / OWNER_FILLED_AFTER_S) * tokens
    prefill_s = missing * candidate.token_s
    return PrefixCost(
        way=Way.CACHED if cached >= 0.5 else Way.PREFILL,
        uncached_tokens=round(missing),
        delay_s=prefill_s,
        cost_s=0.0 if candidate.is_owner else prefill_s * _prefill_weight(candidate),
        saving_s=cached * tokens * candidate.token_s,
    )


def _fetched(
    tokens: int, candidate: Candidate, cached: float, source: Source, index: int
) -> PrefixCost:
    """Return what a fetch costs; it goes on while the request waits."""
    missing = (1.0 - cached) * tokens
    missing_s = missing * candidate.token_s
    there = source.probability
    late_s = max(0.0, source.fetch_s - candidate.wait_s) * (1.0 - cached)
    delay_s = there * late_s + (1.0 - there) * missing_s
    copied_s = there * missing_s * _copy_weight(candidate)
    lost_s = (1.0 - there) * missing_s * _prefill_weight(candidate)
    return PrefixCost(
        way=Way.FETCH,
        uncached_tokens=round((1.0 - there) * missing),
        delay_s=delay_s,
        cost_s=0.0 if candidate.is_owner else there * late_s + copied_s + lost_s,
        saving_s=(cached + (1.0 - cached) * there) * tokens * candidate.token_s,
        source=index,
        fetch_s=source.fetch_s,
    )


def _prefill_weight(candidate: Candidate) -> float:
    """Return what a prefill costs all together, as a multiple of its own time."""
    beside = BESIDE_WEIGHT * min(1.0, candidate.busy_ratio)
    return 1.0 + beside + _copy_weight(candidate)


def _copy_weight(candidate: Candidate) -> float:
    behind = candidate.usual_wait_s / WAIT_PER_COPY_WEIGHT_S
    return COPY_WEIGHT + behind + MEMORY_WEIGHT * candidate.holding.memory.pressure
