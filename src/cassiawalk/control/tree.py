"""The tree in which hosts relay the ``control`` stream.

A few roots tail the log. Each host relays to at most ``FAN_OUT`` others of its region. All hosts
compute the tree from their own view of the membership. If views differ, the tree is less efficient,
but states stay correct: heartbeat replies show how up to date a relay is.
"""

import collections.abc as cabc
import dataclasses

from cassiawalk.ids import HostId
from cassiawalk.membership import rank

RELAY_ROOTS = 3
RELAY_ROOTS_LIMIT = 8
FAN_OUT = 8
ALTERNATE_PARENTS = 2
_KEY = "control"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TreeHost:
    """A host that takes part in the tree."""

    host: HostId
    region: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TreePosition:
    """A host's position: whether it tails the log, and the hosts it may subscribe to.

    The first of ``candidates`` is the preferred one.
    """

    is_root: bool
    candidates: tuple[HostId, ...]


def position_of(host: TreeHost, hosts: cabc.Iterable[TreeHost]) -> TreePosition:
    """Return the position of ``host`` among ``hosts``; a host not yet listed is a leaf."""
    regions = {item.host: item.region for item in hosts}
    if len(set(regions.values())) > RELAY_ROOTS_LIMIT:
        # A root in each region would exceed the allowed number of log readers.
        regions = dict.fromkeys(regions, "")
    region = regions.get(host.host, host.region)
    order = rank(_KEY, regions)
    roots = _roots(order, regions)
    if host.host in roots:
        return TreePosition(is_root=True, candidates=_root_candidates(host.host, order, roots))
    region_roots = [item for item in roots if regions[item] == region] or roots
    region_hosts = [item for item in order if regions[item] == region]
    region_order = region_roots + [item for item in region_hosts if item not in roots]
    index = region_order.index(host.host) if host.host in region_order else len(region_order)
    return TreePosition(
        is_root=False,
        candidates=_leaf_candidates(host.host, region_order, index, region_roots, roots),
    )


def _roots(order: cabc.Sequence[HostId], regions: cabc.Mapping[HostId, str]) -> list[HostId]:
    """Return the highest-ranked host of each region, and others until there are ``RELAY_ROOTS``."""
    first_by_region: dict[str, HostId] = {}
    for host in order:
        first_by_region.setdefault(regions[host], host)
    chosen = list(first_by_region.values())[:RELAY_ROOTS_LIMIT]
    for host in order:
        if len(chosen) >= RELAY_ROOTS:
            break
        if host not in chosen:
            chosen.append(host)
    return chosen


def _root_candidates(
    host: HostId, order: cabc.Sequence[HostId], roots: cabc.Sequence[HostId]
) -> tuple[HostId, ...]:
    others = [item for item in roots if item != host]
    non_roots = [item for item in order if item not in roots]
    return tuple(others + non_roots[:ALTERNATE_PARENTS])


def _leaf_candidates(
    host: HostId,
    region_order: cabc.Sequence[HostId],
    index: int,
    region_roots: cabc.Sequence[HostId],
    roots: cabc.Sequence[HostId],
) -> tuple[HostId, ...]:
    """Return the parent, then alternates that precede the host in its region, then roots."""
    if index == 0:
        return ()
    parent = region_order[min((index - len(region_roots)) // FAN_OUT, index - 1)]
    preceding = [
        item
        for item in region_order[: max(1, index // FAN_OUT + len(region_roots))]
        if item != host
    ]
    alternates = rank(f"{_KEY}-{host}", preceding)[:ALTERNATE_PARENTS]
    return tuple(dict.fromkeys([parent, *alternates, *region_roots, *roots]))
