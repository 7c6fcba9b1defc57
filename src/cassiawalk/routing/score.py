"""The expected cost of sending a request to an upstream, in seconds."""

import dataclasses
import math

from cassiawalk.control.state import KindMode
from cassiawalk.control.state import Pool
from cassiawalk.requests.record import RequestRecord
from cassiawalk.routing.prefix import prompt_blocks
from cassiawalk.routing.upstream import UpstreamView

PREFILL_TOKEN_S = 0.0003
TOKEN_INTERVAL_S = 0.03
PLAIN_ANSWER_S = 0.1
LEARNING_RATE = 0.05
LEAST_WAIT_S = 0.05
MAX_WAIT_FACTOR = 10.0
SECONDS_PER_PRICE = 0.02
RECLAIMS_PER_S = 1 / 600

_ENGINE_PRIORITIES = {KindMode.QUICK: 0, KindMode.AT_MOST_ONCE: 0, KindMode.MUST_ARRIVE: 1}


def engine_priority(record: RequestRecord) -> int:
    """Return the priority in an engine's own queue; the lower runs first."""
    return _ENGINE_PRIORITIES[record.kind.mode]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScoreWeights:
    """How much each part of a score counts.

    ``queue`` and ``prefill`` weigh expected seconds, ``price`` and ``recompute`` are the pool's
    configured weights, and ``busy`` the seconds by which a full upstream is slower than an idle
    one. A report is trusted less as it ages, over ``trust_s`` seconds: what it tells of other
    hosts' requests gives way to the mean over the pool.
    """

    queue: float = 1.0
    prefill: float = 1.0
    price: float = 1.0
    recompute: float = 1.0
    busy: float = 0.3
    report_decay_s: float = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """What a request asks of an upstream."""

    blocks: tuple[str, ...]
    tokens: int

    @classmethod
    def of(cls, record: RequestRecord) -> "Demand":
        """Return the demand of a request, the answer so far included."""
        prompt_tokens = record.prompt.count(" ") + 1 if record.prompt else 0
        return cls(blocks=prompt_blocks(record.prompt), tokens=prompt_tokens + record.tokens)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Estimate:
    """Expected times on one upstream, in seconds, and the score that ranks upstreams."""

    wait_s: float
    prefill_s: float
    hold_s: float
    score: float

    @property
    def first_s(self) -> float:
        """Return the expected time from sending to the first token."""
        return self.wait_s + self.prefill_s


class HoldTimes:
    """Learns how long requests hold a slot."""

    def __init__(self) -> None:
        self._by_kind: dict[str, float] = {}
        self._mean: float | None = None

    def note(self, record: RequestRecord, hold_s: float) -> None:
        """Note that a request held a slot for so long."""
        name = f"{record.service}/{record.kind_name}"
        before = self._by_kind.get(name, hold_s)
        self._by_kind[name] = before + LEARNING_RATE * (hold_s - before)
        mean = hold_s if self._mean is None else self._mean
        self._mean = mean + LEARNING_RATE * (hold_s - mean)

    def of(self, record: RequestRecord) -> float:
        """Return the expected hold of a request, in seconds."""
        known = self._by_kind.get(f"{record.service}/{record.kind_name}")
        if known is not None:
            return known
        if not record.prompt:
            return PLAIN_ANSWER_S
        return record.kind.max_tokens * TOKEN_INTERVAL_S

    def mean(self, record: RequestRecord) -> float:
        """Return the mean hold of all requests, or this one's while nothing is learnt."""
        return self.of(record) if self._mean is None else self._mean


class WaitError:
    """Learns how long requests really waited in upstreams against what was expected.

    Upstreams serve by priority, and reports count all that waits there together, so the factor
    differs between priorities.
    """

    def __init__(self) -> None:
        self._expected: dict[int, float] = {}
        self._actual: dict[int, float] = {}

    def note(self, priority: int, expected_s: float, actual_s: float) -> None:
        """Note one request's expected and real wait."""
        for means, value in ((self._expected, expected_s), (self._actual, actual_s)):
            before = means.get(priority, 0.0)
            means[priority] = before + LEARNING_RATE * (max(0.0, value) - before)

    def factor(self, priority: int) -> float:
        """Return by what an expected wait is to be multiplied."""
        expected_s = self._expected.get(priority, 0.0) + LEAST_WAIT_S
        actual_s = self._actual.get(priority, 0.0) + LEAST_WAIT_S
        return min(max(actual_s / expected_s, 1 / MAX_WAIT_FACTOR), MAX_WAIT_FACTOR)


class Scorer:
    """Estimates and scores upstreams for requests of one pool."""

    def __init__(self, *, weights: ScoreWeights | None = None) -> None:
        self.weights = weights or ScoreWeights()
        self.config: Pool | None = None
        self.holds = HoldTimes()
        self.waits = WaitError()

    def estimate(
        self, view: UpstreamView, record: RequestRecord, demand: Demand, mean_others: float
    ) -> Estimate:
        """Return what is to be expected of an upstream for a request.

        :param mean_others: the mean of other hosts' requests over the pool's upstreams.
        """
        weights = self.weights
        occupancy = self.occupancy(view, mean_others)
        speed = self._slowness(view)
        waiting = max(0.0, occupancy + 1 - view.slots)
        wait_s = waiting * self.holds.mean(record) * speed / view.slots
        prefill_s = self._prefill_s(view, demand) * speed
        hold_s = self.holds.of(record)
        score = weights.queue * wait_s + weights.prefill * prefill_s
        score += weights.busy * occupancy / view.slots
        score += (speed - 1.0) * hold_s
        score += weights.price * SECONDS_PER_PRICE * view.entry.price * hold_s
        if view.entry.reclaimable:
            at_stake = demand.tokens + record.kind.max_tokens
            lost_s = RECLAIMS_PER_S * hold_s * at_stake * PREFILL_TOKEN_S
            score += weights.recompute * lost_s
        return Estimate(
            wait_s=wait_s,
            prefill_s=prefill_s,
            hold_s=hold_s * speed,
            score=score,
        )

    def occupancy(self, view: UpstreamView, mean_others: float) -> float:
        """Return the estimated number of requests that run or wait at an upstream."""
        load = view.load
        report_weight = math.exp(-max(0.0, load.report_age_s) / self.weights.report_decay_s)
        return load.own + mean_others + report_weight * (load.others - mean_others)

    def _prefill_s(self, view: UpstreamView, demand: Demand) -> float:
        if not demand.blocks:
            return 0.0
        uncached = max(0.0, demand.tokens - view.cache.expected_tokens(demand.blocks))
        return uncached * PREFILL_TOKEN_S

    def _slowness(self, view: UpstreamView) -> float:
        """Return how many times slower than the nominal token interval the upstream is."""
        interval_s = 0.0 if view.report is None else view.report.token_interval_s
        return max(1.0, interval_s / TOKEN_INTERVAL_S) if math.isfinite(interval_s) else 1.0
