"""Finds the engine that holds what a prompt shares with others, so that another need not read it.

The load it answers is reading: engines come and go, and each that comes would read again what
another still holds.
"""

import collections.abc as cabc

from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.codec import PromptPart
from cassiawalk.ingress.directory import Upstream
from cassiawalk.membership.rendezvous import rank

LEAST_FETCHED_TOKENS = 1000  # fewer are read sooner than fetched
OLDER_BY_S = 1.0
NEWLY_STARTED_S = 30.0  # after that, an engine holds what it is the home of


def home_order(
    parts: cabc.Sequence[PromptPart], upstreams: cabc.Iterable[Upstream]
) -> list[UpstreamId]:
    """Return the order in which all hosts prefer ``upstreams`` for a prompt's shared parts."""
    if not parts:
        return []
    return rank(parts[-1].part_id, [found.upstream_id for found in upstreams])


def likely_holder(
    parts: cabc.Sequence[PromptPart],
    chosen: Upstream,
    present: cabc.Sequence[Upstream],
    now_ms: float,
) -> Upstream | None:
    """Return an upstream that ``chosen`` may fetch the parts from, or None.

    :param present: the service's upstreams, leaving ones too.
    :param now_ms: the time of day, as upstreams state their starts.
    """
    if sum(part.tokens for part in parts) < LEAST_FETCHED_TOKENS:
        return None
    if chosen.load.uncached_tokens(parts) == 0:
        return None
    others = {
        found.upstream_id: found
        for found in present
        if found is not chosen and not found.health.paused
    }
    for found in others.values():
        if found.load.uncached_tokens(parts) == 0:
            return found
    return _former_home(parts, chosen, others, now_ms)


def _former_home(
    parts: cabc.Sequence[PromptPart],
    chosen: Upstream,
    others: cabc.Mapping[UpstreamId, Upstream],
    now_ms: float,
) -> Upstream | None:
    """Return the home before ``chosen`` came, or the home if ``chosen`` is not it."""
    order = home_order(parts, [chosen, *others.values()])
    started_ms = chosen.registration.started_ms
    if order[0] != chosen.upstream_id:
        return others[order[0]]
    if now_ms - started_ms > NEWLY_STARTED_S * 1000:
        return None
    before_ms = started_ms - OLDER_BY_S * 1000
    ranked = (others[name] for name in order[1:])
    return next((found for found in ranked if found.registration.started_ms < before_ms), None)
