"""Chooses the upstream for a request."""

import random

from cassiawalk.ids import UpstreamId
from cassiawalk.requests.record import RequestRecord
from cassiawalk.routing.table import UpstreamTable
from cassiawalk.routing.upstream import UpstreamView

CHOICES = 2


class Router:
    """Takes the less loaded of a few random candidates."""

    def __init__(self, *, table: UpstreamTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng

    def choose(
        self, record: RequestRecord, *, exclude: frozenset[UpstreamId] = frozenset()
    ) -> UpstreamView | None:
        """Return an upstream with a free slot, or None if the request has to wait."""
        usable = [view for view in self._table.in_pool(record.pool) if view.takes_work]
        preferred = [view for view in usable if view.upstream_id not in exclude]
        free = [view for view in preferred or usable if len(view.own_running) < view.slots]
        if not free:
            return None
        candidates = self._rng.sample(free, min(CHOICES, len(free)))
        return min(candidates, key=_load)


def _load(view: UpstreamView) -> float:
    return len(view.own_running) / max(1, view.slots)
