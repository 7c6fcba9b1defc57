"""Scores of upstreams: the expected cost of sending a request to one, in seconds."""

import dataclasses
import math

from cassiawalk.control.state import KindMode
from cassiawalk.control.state import Pool
from cassiawalk.requests.record import RequestRecord
from cassiawalk.routing.prefix import prompt_blocks
from cassiawalk.routing.upstream import UpstreamView

PREFILL_TOKEN_S = 0.0003
TOKEN_INTERVAL_S = 0.03
PLAIN_CALL_S = 0.1
LEARNING_RATE = 0.05
WAIT_SMOOTHING_S = 0.05
MAX_WAIT_FACTOR = 10.0
SECONDS_PER_PRICE_UNIT = 0.02
RECLAIMS_PER_S = 1 / 600

_ENGINE_PRIORITIES = {KindMode.QUICK: 0, KindMode.AT_MOST_ONCE: 0, KindMode.MUST_ARRIVE: 1}


def engine_priority(record: RequestRecord) -> int:
    """Return the priority in an engine's own queue; a lower value runs first."""
    return _ENGINE_PRIORITIES[record.kind.mode]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScoreWeights:
    """Weights of the parts of a score.

    ``queue`` and ``prefill`` multiply expected seconds. ``price`` multiplies the price of the slot,
    and ``recompute`` the expected cost of recomputing the request after a reclaim; both include
    the pool's configured weights. ``busy`` is the number of seconds by which a full upstream is
    slower than an idle one.

    The number of other hosts' requests on an upstream is taken from its last report. As the report
    ages, the mean over the pool replaces it: the weight of the report decays exponentially with the
    time constant ``report_decay_s``, in seconds.
    """

    queue: float = 1.0
    prefill: float = 1.0
    price: float = 1.0
    recompute: float = 1.0
    busy: float = 0.3
    report_decay_s: float = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """The work of a request: the blocks of its prompt and the tokens to prefill."""

    blocks: tuple[str, ...]
    tokens: int

    @classmethod
    def of(cls, record: RequestRecord) -> "Demand":
        """Return the demand of a request; tokens of the answer so far are included."""
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
        """Return the expected time from sending to the first token, in seconds."""
        return self.wait_s + self.prefill_s


class HoldTimes:
    """Learns the time that requests hold a slot, by service and kind."""

    def __init__(self) -> None:
        self._by_kind: dict[str, float] = {}
        self._mean: float | None = None

    def note(self, record: RequestRecord, hold_s: float) -> None:
        """Record that a request held a slot for ``hold_s`` seconds."""
        name = f"{record.service}/{record.kind_name}"
        before = self._by_kind.get(name, hold_s)
        self._by_kind[name] = before + LEARNING_RATE * (hold_s - before)
        mean = hold_s if self._mean is None else self._mean
        self._mean = mean + LEARNING_RATE * (hold_s - mean)

    def expected_s(self, record: RequestRecord) -> float:
        """Return the time that a request is expected to hold a slot, in seconds."""
        known = self._by_kind.get(f"{record.service}/{record.kind_name}")
        if known is not None:
            return known
        if not record.prompt:
            return PLAIN_CALL_S
        return record.kind.max_tokens * TOKEN_INTERVAL_S

    def mean_s(self, record: RequestRecord) -> float:
        """Return the mean over all requests, or this request's expected time if none is learnt."""
        return self.expected_s(record) if self._mean is None else self._mean


class WaitCorrection:
    """Learns the ratio of measured to expected waits in upstreams, by priority.

    Upstreams serve by priority, but reports count the waiting requests of all priorities together,
    so the ratio differs between priorities.
    """

    def __init__(self) -> None:
        self._expected: dict[int, float] = {}
        self._actual: dict[int, float] = {}

    def note(self, priority: int, expected_s: float, actual_s: float) -> None:
        """Record the expected and the measured wait of a request, in seconds."""
        for means, value in ((self._expected, expected_s), (self._actual, actual_s)):
            before = means.get(priority, 0.0)
            means[priority] = before + LEARNING_RATE * (max(0.0, value) - before)

    def factor(self, priority: int) -> float:
        """Return the factor by which to multiply an expected wait."""
        expected_s = self._expected.get(priority, 0.0) + WAIT_SMOOTHING_S
        actual_s = self._actual.get(priority, 0.0) + WAIT_SMOOTHING_S
        return min(max(actual_s / expected_s, 1 / MAX_WAIT_FACTOR), MAX_WAIT_FACTOR)


class Scorer:
    """Estimates times and scores upstreams for the requests of one pool."""

    def __init__(self, *, weights: ScoreWeights | None = None) -> None:
        self.weights = weights or ScoreWeights()
        self.config: Pool | None = None
        self.hold_times = HoldTimes()
        self.wait_correction = WaitCorrection()

    def estimate(
        self, view: UpstreamView, record: RequestRecord, demand: Demand, mean_others: float
    ) -> Estimate:
        """Return the expected times and the score of an upstream for a request.

        :param mean_others: mean number of other hosts' requests over the pool's upstreams.
        """
        weights = self.weights
        occupancy = self.occupancy(view, mean_others)
        slowness = self._slowness(view)
        waiting = max(0.0, occupancy + 1 - view.slots)
        wait_s = waiting * self.hold_times.mean_s(record) * slowness / view.slots
        prefill_s = self._prefill_s(view, demand) * slowness
        hold_s = self.hold_times.expected_s(record)
        score = weights.queue * wait_s + weights.prefill * prefill_s
        score += weights.busy * occupancy / view.slots
        score += (slowness - 1.0) * hold_s
        score += weights.price * SECONDS_PER_PRICE_UNIT * view.entry.price * hold_s
        if view.entry.reclaimable:
            recomputed_tokens = demand.tokens + record.kind.max_tokens
            lost_s = RECLAIMS_PER_S * hold_s * recomputed_tokens * PREFILL_TOKEN_S
            score += weights.recompute * lost_s
        return Estimate(
            wait_s=wait_s,
            prefill_s=prefill_s,
            hold_s=hold_s * slowness,
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
        """Return the ratio of the reported to the nominal token interval; at least 1."""
        interval_s = 0.0 if view.report is None else view.report.token_interval_s
        return max(1.0, interval_s / TOKEN_INTERVAL_S) if math.isfinite(interval_s) else 1.0
