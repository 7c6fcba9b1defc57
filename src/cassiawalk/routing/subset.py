"""Assignment of a subset of a large pool's upstreams to each host.

Each upstream is assigned to an equal number of hosts, plus at most a tenth. Pairs in the same
failure domain are assigned first, then pairs in the same region, then any pairs. Within each of
these steps the pairs are ordered by a hash of both names, so that a host or upstream that joins or
leaves moves few others. All hosts compute the same assignment from the same view; hosts with
different views only shift some load.

The assignment of equal shares by distance follows the paper "Exact Claim to Ring Deal", which
describes it for connections and processors.
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
    """A host or an upstream, with its location."""

    name: str
    failure_domain: str
    region: str


def subsets(
    hosts: cabc.Sequence[Endpoint], upstreams: cabc.Sequence[Endpoint], *, size: int = SUBSET_SIZE
) -> dict[str, list[str]]:
    """Return the upstreams of each host: ``size`` of them, or all if there are no more.

    :param size: how many upstreams a host sends requests to.
    """
    names = [upstream.name for upstream in upstreams]
    if len(upstreams) <= size:
        return {host.name: list(names) for host in hosts}
    assignment = _Assignment(hosts, upstreams, size)
    assignment.assign_by(lambda endpoint: endpoint.failure_domain)
    assignment.assign_by(lambda endpoint: endpoint.region)
    assignment.assign_rest()
    return assignment.found


class _Assignment:
    """State of one computation of the assignment."""

    def __init__(
        self, hosts: cabc.Sequence[Endpoint], upstreams: cabc.Sequence[Endpoint], size: int
    ) -> None:
        self._hosts = hosts
        self._upstreams = upstreams
        self._size = size
        self.found: dict[str, list[str]] = {host.name: [] for host in hosts}
        quota = math.ceil(QUOTA_HEADROOM * len(hosts) * size / len(upstreams))
        self._remaining = {upstream.name: quota for upstream in upstreams}

    def assign_by(self, key: cabc.Callable[[Endpoint], str]) -> None:
        """Assign pairs of a host and an upstream that have the same key."""
        hosts: dict[str, list[str]] = {}
        for host in self._hosts:
            hosts.setdefault(key(host), []).append(host.name)
        upstreams: dict[str, list[str]] = {}
        for upstream in self._upstreams:
            if self._remaining[upstream.name] > 0:
                upstreams.setdefault(key(upstream), []).append(upstream.name)
        for group, names in hosts.items():
            self._assign_pairs(names, upstreams.get(group, []))

    def assign_rest(self) -> None:
        """Fill the hosts' subsets regardless of distance, upstreams with most quota left first."""
        for host in sorted(self._hosts, key=lambda endpoint: endpoint.name):
            have = self.found[host.name]
            missing = self._size - len(have)
            if missing <= 0:
                continue
            taken = set(have)
            open_names = [name for name in self._remaining if name not in taken]
            best = heapq.nsmallest(
                missing,
                open_names,
                key=lambda name: (-self._remaining[name], _score(host.name, name)),
            )
            for name in best:
                self._assign(host.name, name)

    def _assign_pairs(self, hosts: list[str], upstreams: list[str]) -> None:
        wanting = [host for host in hosts if len(self.found[host]) < self._size]
        pairs = [
            (_score(host, upstream), host, upstream) for host in wanting for upstream in upstreams
        ]
        pairs.sort()
        for _, host, upstream in pairs:
            have = self.found[host]
            if self._remaining[upstream] > 0 and len(have) < self._size and upstream not in have:
                self._assign(host, upstream)

    def _assign(self, host: str, upstream: str) -> None:
        self.found[host].append(upstream)
        self._remaining[upstream] -= 1


def _score(host: str, upstream: str) -> int:
    return zlib.crc32(f"{host}\0{upstream}".encode())
