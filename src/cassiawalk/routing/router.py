"""Chooses the upstream for a request."""

import random
import weakref

from cassiawalk.ids import UpstreamId
from cassiawalk.requests.record import RequestRecord
from cassiawalk.routing.score import Demand
from cassiawalk.routing.score import Estimate
from cassiawalk.routing.score import Scorer
from cassiawalk.routing.score import ScoreWeights
from cassiawalk.routing.table import UpstreamTable
from cassiawalk.routing.upstream import UpstreamView

CHOICES = 4
LEAD_SHARE = 4.0


class Router:
    """Takes the best score among a few random candidates and the best cached one.

    :param choices: how many upstreams are compared, so that hosts with the same old reports do
        not all send to the same one.
    :param lead_share: requests that may wait in an upstream's own queue, as a share of its slots.
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        rng: random.Random,
        weights: ScoreWeights | None = None,
        choices: int = CHOICES,
        lead_share: float = LEAD_SHARE,
    ) -> None:
        self._table = table
        self._rng = rng
        self._choices = choices
        self._lead_share = lead_share
        self.scorer = Scorer(weights=weights)
        self._demands: weakref.WeakKeyDictionary[RequestRecord, Demand] = (
            weakref.WeakKeyDictionary()
        )

    def choose(
        self, record: RequestRecord, *, exclude: frozenset[UpstreamId] = frozenset()
    ) -> UpstreamView | None:
        """Return an upstream with room, or None if the request has to wait."""
        usable = self._usable(record, exclude)
        mean = _mean_others(usable)
        free = [view for view in usable if self._has_room(view, mean)]
        if not free:
            return None
        demand = self._demand(record)
        candidates = self._candidates(free, demand)
        return min(
            candidates, key=lambda view: self.scorer.estimate(view, record, demand, mean).score
        )

    def predict(self, record: RequestRecord) -> Estimate | None:
        """Return the best estimate over the pool, or None if no upstream takes work."""
        usable = self._usable(record, frozenset())
        if not usable:
            return None
        demand = self._demand(record)
        mean = _mean_others(usable)
        estimates = [self.scorer.estimate(view, record, demand, mean) for view in usable]
        return min(estimates, key=lambda estimate: estimate.first_s)

    def note_sent(self, view: UpstreamView, record: RequestRecord) -> None:
        """Note that a request goes to an upstream."""
        view.own_running.add(record.request_id)
        view.load.note_own(len(view.own_running))
        view.cache.note_sent(self._demand(record).blocks)

    def note_ended(self, view: UpstreamView, record: RequestRecord, hold_s: float) -> None:
        """Note that an attempt ended after it held its slot for ``hold_s`` seconds."""
        view.own_running.discard(record.request_id)
        view.load.note_own(len(view.own_running))
        self.scorer.holds.note(record, hold_s)

    def _usable(self, record: RequestRecord, exclude: frozenset[UpstreamId]) -> list[UpstreamView]:
        usable = [view for view in self._table.in_pool(record.pool) if view.takes_work]
        return [view for view in usable if view.upstream_id not in exclude] or usable

    def _has_room(self, view: UpstreamView, mean_others: float) -> bool:
        lead = max(1.0, self._lead_share * view.slots)
        return self.scorer.occupancy(view, mean_others) < view.slots + lead

    def _candidates(self, free: list[UpstreamView], demand: Demand) -> list[UpstreamView]:
        sample = self._rng.sample(free, min(self._choices, len(free)))
        if not demand.blocks or len(sample) == len(free):
            return sample
        cached = max(free, key=lambda view: view.cache.expected_tokens(demand.blocks))
        return [*sample, cached]

    def _demand(self, record: RequestRecord) -> Demand:
        demand = self._demands.get(record)
        if demand is None:
            demand = Demand.of(record)
            self._demands[record] = demand
        return demand


def _mean_others(views: list[UpstreamView]) -> float:
    return sum(view.load.others for view in views) / max(1, len(views))
