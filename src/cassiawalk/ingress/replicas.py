"""Decides over how many upstreams the requests with a shared prefix are spread.

All requests with a prefix go to its preferred upstream, so that it is cached once. A prefix that
many requests have would be more than that upstream can prefill. It is spread over as many as its
demand needs, and over fewer again when the demand falls; each copy evicts other prefixes.

A host sees a small part of the requests. It takes the other hosts' demand for as high as its own,
and counts only the requests after the first: of a fleet's rare prefixes, each host sees some once.
The load this is made for is one of up to 80 hosts with one or two requests a second each.
"""

import collections
import collections.abc as cabc
import math

from cassiawalk.clock import Clock
from cassiawalk.storeview.promptparts import PartId

TIME_CONSTANT_S = 15.0
# The part of an upstream's time that requests with one prefix may take.
MAX_SHARE_OF_UPSTREAM = 0.2
MAX_REPLICAS = 32
MAX_PREFIXES = 4096


class PrefixDemand:
    """Counts this host's requests with each shared prefix; old ones count for less.

    :param hosts: returns the number of hosts that the requests come to.
    """

    def __init__(self, *, hosts: cabc.Callable[[], int], clock: Clock) -> None:
        self._hosts = hosts
        self._clock = clock
        self._counts: collections.OrderedDict[PartId, tuple[float, float]] = (
            collections.OrderedDict()
        )

    def note(self, prefix: PartId) -> None:
        """Count a request with a prefix, which its last shared part names."""
        count = self._count(prefix) + 1.0
        self._counts.pop(prefix, None)
        self._counts[prefix] = (count, self._clock.monotonic())
        while len(self._counts) > MAX_PREFIXES:
            self._counts.popitem(last=False)

    def rate_per_s(self, prefix: PartId) -> float:
        """Return the expected rate of requests with a prefix over all hosts."""
        return max(0.0, self._count(prefix) - 1.0) / TIME_CONSTANT_S * max(1, self._hosts())

    def replicas(self, prefix: PartId, work_s: float) -> int:
        """Return over how many upstreams the requests with a prefix are to be spread.

        :param work_s: the time that one of them takes an upstream which has the prefix cached.
        """
        needed = self.rate_per_s(prefix) * work_s / MAX_SHARE_OF_UPSTREAM
        return max(1, min(MAX_REPLICAS, math.ceil(needed)))

    def _count(self, prefix: PartId) -> float:
        count, at = self._counts.get(prefix, (0.0, 0.0))
        return count * math.exp((at - self._clock.monotonic()) / TIME_CONSTANT_S)
