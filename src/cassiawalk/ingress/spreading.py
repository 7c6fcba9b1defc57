"""Spreads requests without a prompt over upstreams, and decides how many of them to refuse.

The load is that of many hosts, each with a small part of the requests, before a few upstreams. What
hosts hear of each other is older than such a request takes. The upstream that seems to have the
fewest requests is then the choice of all hosts at once, until they hear of it. So each host spreads
its own requests, which it can count, and uses what it hears only for the sum over all upstreams,
which changes slowly.
"""

import collections.abc as cabc
import random

from cassiawalk.storeview.directory import Upstream

# Requests per slot over all upstreams: up to the first nothing is refused, from the second on
# everything. A step instead would be taken by all hosts at once, back and forth.
UNREFUSED_REQUESTS_PER_SLOT = 2.5
REFUSED_REQUESTS_PER_SLOT = 5.5


def spread(upstreams: cabc.Sequence[Upstream], rng: random.Random) -> Upstream:
    """Return one of the upstreams at which this host has the fewest requests of its own.

    Upstreams whose answers fail are left out if there are others. Of equal ones, those are taken
    to which a connection is open and idle.
    """
    sound = [found for found in upstreams if not found.health.paused] or upstreams
    fewest = min(found.load.own for found in sound)
    equal = [found for found in sound if found.load.own == fewest]
    connected = [found for found in equal if found.pool.has_idle]
    return rng.choice(connected or equal)


def refusal_ratio(upstreams: cabc.Iterable[Upstream]) -> float:
    """Return the share of new requests to refuse, from 0 to 1."""
    requests = slots = 0
    for upstream in upstreams:
        requests += upstream.load.total
        slots += upstream.slots
    per_slot = requests / max(1, slots)
    margin = REFUSED_REQUESTS_PER_SLOT - UNREFUSED_REQUESTS_PER_SLOT
    return min(1.0, max(0.0, (per_slot - UNREFUSED_REQUESTS_PER_SLOT) / margin))
