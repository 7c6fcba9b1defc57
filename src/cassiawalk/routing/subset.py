"""Which upstreams of a large pool a host talks to.

Each upstream is dealt to an equal number of hosts and at most a tenth more, nearest hosts first:
pairs in one failure domain, then pairs in one region, then any. Within a ring the pairs are taken
in the order of a hash of both names, so that a host or upstream that comes or goes moves few
others. All hosts compute the same deal from the same view; different views only shift some load.

The deal of equal shares by distance follows the ring deal of the paper "Exact Claim to Ring Deal",
there for connections and processors.
"""

import collections.abc as cabc
import dataclasses
import heapq
import math
import zlib

SUBSET_SIZE = 28
QUOTA_HEADROOM = 1.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Endpoint:
    """A host or upstream and where it is."""

    name: str
    failure_domain: str
    region: str


def subsets(
    hosts: cabc.Sequence[Endpoint], upstreams: cabc.Sequence[Endpoint], *, size: int = SUBSET_SIZE
) -> dict[str, list[str]]:
    """Return the upstreams of each host, ``size`` or all if there are no more.

    :param size: how many upstreams a host talks to.
    """
    names = [upstream.name for upstream in upstreams]
    if len(upstreams) <= size:
        return {host.name: list(names) for host in hosts}
    deal = _Deal(hosts, upstreams, size)
    deal.deal_ring(lambda place: place.failure_domain)
    deal.deal_ring(lambda place: place.region)
    deal.deal_rest()
    return deal.found


class _Deal:
    """The state of one deal."""

    def __init__(
        self, hosts: cabc.Sequence[Endpoint], upstreams: cabc.Sequence[Endpoint], size: int
    ) -> None:
        self._hosts = hosts
        self._upstreams = upstreams
        self._size = size
        self.found: dict[str, list[str]] = {host.name: [] for host in hosts}
        quota = math.ceil(QUOTA_HEADROOM * len(hosts) * size / len(upstreams))
        self._owed = {upstream.name: quota for upstream in upstreams}

    def deal_ring(self, key: cabc.Callable[[Endpoint], str]) -> None:
        """Deal the pairs whose places have the same key."""
        hosts: dict[str, list[str]] = {}
        for host in self._hosts:
            hosts.setdefault(key(host), []).append(host.name)
        upstreams: dict[str, list[str]] = {}
        for upstream in self._upstreams:
            if self._owed[upstream.name] > 0:
                upstreams.setdefault(key(upstream), []).append(upstream.name)
        for group, names in hosts.items():
            self._deal_pairs(names, upstreams.get(group, []))

    def deal_rest(self) -> None:
        """Deal what is left, whatever the distance: most owed first, to keep shares equal."""
        for host in sorted(self._hosts, key=lambda place: place.name):
            have = self.found[host.name]
            missing = self._size - len(have)
            if missing <= 0:
                continue
            taken = set(have)
            open_names = [name for name in self._owed if name not in taken]
            best = heapq.nsmallest(
                missing, open_names, key=lambda name: (-self._owed[name], _score(host.name, name))
            )
            for name in best:
                self._give(host.name, name)

    def _deal_pairs(self, hosts: list[str], upstreams: list[str]) -> None:
        wanting = [host for host in hosts if len(self.found[host]) < self._size]
        pairs = [
            (_score(host, upstream), host, upstream) for host in wanting for upstream in upstreams
        ]
        pairs.sort()
        for _, host, upstream in pairs:
            have = self.found[host]
            if self._owed[upstream] > 0 and len(have) < self._size and upstream not in have:
                self._give(host, upstream)

    def _give(self, host: str, upstream: str) -> None:
        self.found[host].append(upstream)
        self._owed[upstream] -= 1


def _score(host: str, upstream: str) -> int:
    return zlib.crc32(f"{host}\0{upstream}".encode())
