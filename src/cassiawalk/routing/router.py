"""Selection of the upstream for a request."""

import collections.abc as cabc
import dataclasses
import random
import weakref

from cassiawalk.control.state import KindMode
from cassiawalk.control.state import Pool
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.requests.record import RequestRecord
from cassiawalk.routing.score import TOKEN_INTERVAL_S
from cassiawalk.routing.score import Demand
from cassiawalk.routing.score import Estimate
from cassiawalk.routing.score import Scorer
from cassiawalk.routing.score import ScoreWeights
from cassiawalk.routing.score import engine_priority
from cassiawalk.routing.table import UpstreamTable
from cassiawalk.routing.upstream import UpstreamView

CHOICES = 4
QUEUE_SHARE = 1.0
DEFERRABLE_SHARE = 0.85


Pools = cabc.Callable[[], cabc.Mapping[PoolName, Pool]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """The selected upstream, and the times expected on it."""

    upstream: UpstreamView
    estimate: Estimate


class Router:
    """Selects the upstream with the best score among a few candidates.

    The candidates are a random sample, and the upstream that caches most of the prompt.

    :param weights: weights of the parts of a score.
    :param choices: size of the random sample. Comparing all upstreams would make hosts that have
        the same outdated reports send to the same upstream.
    :param queue_share: requests that may wait in an upstream's own queue, as a share of its slots.
    :param deferrable_share: occupancy of a pool, as a share of its slots, from which new
        must-arrive requests wait, so that the remaining slots are free for quick requests.
    :param pools: returns the configured pools, whose weights multiply ``weights``.
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        rng: random.Random,
        weights: ScoreWeights | None = None,
        choices: int = CHOICES,
        queue_share: float = QUEUE_SHARE,
        deferrable_share: float = DEFERRABLE_SHARE,
        pools: Pools | None = None,
    ) -> None:
        self._table = table
        self._rng = rng
        self._choices = choices
        self._queue_share = queue_share
        self._deferrable_share = deferrable_share
        self._weights = weights or ScoreWeights()
        self._pools = pools
        self._scorers: dict[PoolName, Scorer] = {}
        self._demands: weakref.WeakKeyDictionary[RequestRecord, Demand] = (
            weakref.WeakKeyDictionary()
        )

    def choose(
        self, record: RequestRecord, *, exclude: frozenset[UpstreamId] = frozenset()
    ) -> Choice | None:
        """Return an upstream with room, or None if the request must wait."""
        usable = self._usable(record, exclude)
        mean = _mean_others(usable)
        if self._must_defer(record, usable, mean):
            return None
        demand = self._demand(record)
        candidates = self._candidates(usable, demand, mean)
        if not candidates:
            return None
        scorer = self._scorer(record.pool)
        estimates = [scorer.estimate(view, record, demand, mean) for view in candidates]
        best = min(range(len(candidates)), key=lambda index: estimates[index].score)
        return Choice(upstream=candidates[best], estimate=estimates[best])

    def predict(self, record: RequestRecord) -> Estimate | None:
        """Return the estimate with the earliest first token, or None if no upstream takes work."""
        usable = self._usable(record, frozenset())
        if not usable:
            return None
        demand = self._demand(record)
        mean = _mean_others(usable)
        candidates = self._sample(usable)
        cached = _best_cached(usable, demand)
        if cached is not None:
            candidates.append(cached)
        scorer = self._scorer(record.pool)
        estimates = [scorer.estimate(view, record, demand, mean) for view in candidates]
        return min(estimates, key=lambda estimate: estimate.first_s)

    def hold_s(self, record: RequestRecord) -> float:
        """Return the time that a request is expected to hold its slot, in seconds."""
        return self._scorer(record.pool).hold_times.expected_s(record)

    def note_sent(self, choice: Choice, record: RequestRecord) -> None:
        """Record that a request is sent to an upstream."""
        view = choice.upstream
        view.own_running.add(record.request_id)
        view.load.set_own_count(len(view.own_running))
        view.cache.note_sent(self._demand(record).blocks)

    def note_first_token(self, record: RequestRecord, expected: Estimate, first_s: float) -> None:
        """Learn from the measured time to the first token.

        :param expected: the estimate made when the request was sent.
        :param first_s: seconds from sending to the first token.
        """
        waited_s = first_s - expected.prefill_s - TOKEN_INTERVAL_S
        self._scorer(record.pool).wait_correction.note(
            engine_priority(record), expected.wait_s, waited_s
        )

    def wait_factor(self, record: RequestRecord) -> float:
        """Return the learnt factor that corrects the expected wait in an upstream."""
        return self._scorer(record.pool).wait_correction.factor(engine_priority(record))

    def note_ended(self, view: UpstreamView, record: RequestRecord) -> None:
        """Record that an attempt ended."""
        view.own_running.discard(record.request_id)
        view.load.set_own_count(len(view.own_running))

    def note_hold(self, record: RequestRecord, hold_s: float) -> None:
        """Learn the time that a request held its slot, in seconds."""
        self._scorer(record.pool).hold_times.note(record, hold_s)

    def _scorer(self, pool: PoolName) -> Scorer:
        """Return the pool's scorer with the current weights of the pool's configuration."""
        scorer = self._scorers.get(pool)
        if scorer is None:
            scorer = Scorer(weights=self._weights)
            self._scorers[pool] = scorer
        config = self._pools().get(pool) if self._pools is not None else None
        if config is not None and config is not scorer.config:
            scorer.config = config
            scorer.weights = dataclasses.replace(
                self._weights,
                price=self._weights.price * config.cost_weight,
                recompute=self._weights.recompute * config.recompute_weight,
            )
        return scorer

    def _usable(self, record: RequestRecord, exclude: frozenset[UpstreamId]) -> list[UpstreamView]:
        usable = [view for view in self._table.in_pool(record.pool) if view.takes_work]
        return [view for view in usable if view.upstream_id not in exclude] or usable

    def _must_defer(
        self, record: RequestRecord, usable: list[UpstreamView], mean_others: float
    ) -> bool:
        """Return whether the request must leave the pool's remaining slots to quick requests."""
        if record.kind.mode is not KindMode.MUST_ARRIVE or record.attempt > 0:
            return False
        own = sum(view.load.own for view in usable)
        slots = sum(view.slots for view in usable)
        return own + mean_others * len(usable) >= self._deferrable_share * slots

    def _candidates(
        self, usable: list[UpstreamView], demand: Demand, mean_others: float
    ) -> list[UpstreamView]:
        """Return a few upstreams with room; check all of them only if none in the sample has."""
        found = [view for view in self._sample(usable) if self._has_room(view, mean_others)]
        cached = _best_cached(usable, demand)
        if cached is not None and cached not in found and self._has_room(cached, mean_others):
            found.append(cached)
        if found or len(usable) <= self._choices:
            return found
        free = [view for view in usable if self._has_room(view, mean_others)]
        return self._sample(free)

    def _sample(self, views: list[UpstreamView]) -> list[UpstreamView]:
        return self._rng.sample(views, min(self._choices, len(views)))

    def _has_room(self, view: UpstreamView, mean_others: float) -> bool:
        return (
            self._scorer(view.pool).occupancy(view, mean_others)
            < (1.0 + self._queue_share) * view.slots
        )

    def _demand(self, record: RequestRecord) -> Demand:
        demand = self._demands.get(record)
        if demand is None:
            demand = Demand.of(record)
            self._demands[record] = demand
        return demand


def _mean_others(views: list[UpstreamView]) -> float:
    return sum(view.load.others for view in views) / max(1, len(views))


def _best_cached(views: list[UpstreamView], demand: Demand) -> UpstreamView | None:
    """Return the upstream expected to cache most of the prompt, or None if none caches any."""
    if not demand.blocks:
        return None
    holders = [view for view in views if demand.blocks[0] in view.cache]
    if not holders:
        return None
    return max(holders, key=lambda view: view.cache.expected_tokens(demand.blocks))
