"""Finds an engine that has a prompt's shared prefix cached, so that another engine can fetch it.

This saves prefill work while engines come and go: without it, each new engine would recompute
what another engine still has in its cache.
"""

import collections.abc as cabc

from cassiawalk.ids import UpstreamId
from cassiawalk.membership.rendezvous import rank
from cassiawalk.storeview.promptparts import PromptPart
from cassiawalk.storeview.upstream import Upstream

MIN_FETCH_TOKENS = 1000  # prefilling fewer tokens is faster than fetching them
# A former holder must have started at least this long before the chosen engine.
MIN_HEAD_START_S = 1.0
WARMUP_S = 30.0  # after that, an engine is assumed to have cached the prefixes it is preferred for


def rendezvous_order(
    parts: cabc.Sequence[PromptPart], upstreams: cabc.Iterable[Upstream]
) -> list[UpstreamId]:
    """Return ``upstreams`` in the order of preference for a prompt's shared prefix.

    The order is the same on all hosts; it is empty for a prompt without a shared prefix.
    """
    if not parts:
        return []
    return rank(parts[-1].part_id, [found.upstream_id for found in upstreams])


def likely_cache_holder(
    parts: cabc.Sequence[PromptPart],
    chosen: Upstream,
    upstreams: cabc.Sequence[Upstream],
    now_ms: float,
) -> Upstream | None:
    """Return an upstream that ``chosen`` may fetch the shared prefix from, or None.

    :param parts: the parts of the shared prefix.
    :param upstreams: the service's upstreams, including those that are leaving.
    :param now_ms: the time in milliseconds since the epoch, on the clock of ``started_ms``.
    """
    if sum(part.tokens for part in parts) < MIN_FETCH_TOKENS:
        return None
    if chosen.load.uncached_tokens(parts) == 0:
        return None
    others = {
        found.upstream_id: found
        for found in upstreams
        if found is not chosen and not found.health.paused
    }
    holders = [found for found in others.values() if found.load.uncached_tokens(parts) == 0]
    if holders:
        # A fetch takes time of the holder too. Of equal ones the first is taken.
        return min(holders, key=lambda found: (found.slowness_now, found.load.total))
    return _holder_by_rendezvous(parts, chosen, others, now_ms)


def _holder_by_rendezvous(
    parts: cabc.Sequence[PromptPart],
    chosen: Upstream,
    others: cabc.Mapping[UpstreamId, Upstream],
    now_ms: float,
) -> Upstream | None:
    """Return the upstream that is expected to have the prefix cached, or None.

    If ``chosen`` is not the preferred upstream, the preferred one is expected to have it. If
    ``chosen`` is preferred but has started recently, the upstream that was preferred before it is
    expected to have it. Otherwise ``chosen`` has the prefix itself.
    """
    order = rendezvous_order(parts, [chosen, *others.values()])
    started_ms = chosen.registration.started_ms
    if order[0] != chosen.upstream_id:
        return others[order[0]]
    if now_ms - started_ms > WARMUP_S * 1000:
        return None
    started_before_ms = started_ms - MIN_HEAD_START_S * 1000
    ranked = (others[name] for name in order[1:])
    return next(
        (found for found in ranked if found.registration.started_ms < started_before_ms), None
    )
