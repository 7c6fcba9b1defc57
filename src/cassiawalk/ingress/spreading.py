"""Spreads requests without a prompt over upstreams.

The load is that of many hosts, each with a small part of the requests, before a few upstreams. What
hosts hear of each other is older than such a request takes. The upstream that seems to have the
fewest requests is then the choice of all hosts at once, until they hear of it. So each host spreads
its own requests, which it can count.
"""

import collections.abc as cabc
import random

from cassiawalk.storeview.upstream import Upstream

FREE_ENOUGH = 0.5  # an upstream with this part of its slots free is as good as an idle one
MIN_FREE_RATIO = 0.05  # of a full upstream, as reports of its load may be wrong


def spread(upstreams: cabc.Sequence[Upstream], rng: random.Random) -> Upstream:
    """Return one of the upstreams at which this host has the fewest requests of its own.

    Upstreams whose answers fail are left out if there are others. Of equal ones, those are taken
    to which a connection is open and idle, unless they refuse requests.

    Where upstreams differ in speed, a request counts at each as the time that it takes there, and
    of equal ones each is chosen in proportion to its speed. A slow upstream has no advantage from
    an idle connection if another one is faster.
    """
    sound = [found for found in upstreams if not found.health.paused] or upstreams
    fewest = _with_fewest_own(sound)
    connected = [found for found in fewest if found.pool.has_idle and not found.health.has_refused]
    if connected and _least_slowness(connected) <= _least_slowness(fewest):
        fewest = connected
    return _by_speed(fewest, rng)


def choose_equal(upstreams: cabc.Sequence[Upstream], rng: random.Random) -> Upstream:
    """Return one of several upstreams of equal cost, at which this host has the fewest requests.

    Of these, each is chosen in proportion to its speed and to the part of its slots that is free.
    Answers take longer than the reports of other hosts, so the free slots are about those now; and
    as the choice changes in proportion, not all hosts choose the same upstream.
    """
    fewest = _with_fewest_own(upstreams)
    weights = [_free_ratio(found) / found.slowness_now for found in fewest]
    return rng.choices(fewest, weights=weights)[0]


def _free_ratio(upstream: Upstream) -> float:
    used = (upstream.load.own + upstream.load.others_expected) / max(1, upstream.slots)
    return max(MIN_FREE_RATIO, min(1.0, (1.0 - used) / FREE_ENOUGH))


def _with_fewest_own(upstreams: cabc.Sequence[Upstream]) -> cabc.Sequence[Upstream]:
    """Return the upstreams at which this host's requests take the least time."""
    slowness = [found.slowness_now for found in upstreams]
    if len(set(slowness)) == 1:
        slowness = [1.0] * len(slowness)
    own = [found.load.own * factor for found, factor in zip(upstreams, slowness, strict=True)]
    fewest = min(own)
    return [found for found, count in zip(upstreams, own, strict=True) if count < fewest + 1.0]


def _by_speed(upstreams: cabc.Sequence[Upstream], rng: random.Random) -> Upstream:
    """Return one of the upstreams; a fast one is chosen more often, in proportion to its speed."""
    slowness = [found.slowness_now for found in upstreams]
    if len(set(slowness)) == 1:
        return rng.choice(upstreams)
    return rng.choices(upstreams, weights=[1.0 / factor for factor in slowness])[0]


def _least_slowness(upstreams: cabc.Iterable[Upstream]) -> float:
    return min(found.slowness_now for found in upstreams)
