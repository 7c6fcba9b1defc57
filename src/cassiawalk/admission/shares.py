"""Allocation of a workspace's limit to the hosts."""

import collections.abc as cabc
import math

from cassiawalk.ids import HostId

FLOOR_SHARE = 0.25


def allocate_shares(
    limit: float, demands: cabc.Mapping[HostId, float], *, floor_share: float = FLOOR_SHARE
) -> dict[HostId, float]:
    """Return each host's share of a limit; the shares add up to the limit at most.

    Every host gets a floor, so that it can serve immediately when its demand starts. The rest is
    allocated max-min fairly to the demand above the floor. What remains when all demands are met is
    divided equally, as headroom.

    :param demands: each host's recent demand, in the limit's unit.
    :param floor_share: the floor, as a part of an equal share of the limit.
    """
    if not demands:
        return {}
    floor = floor_share * limit / len(demands)
    wanted = {host: max(0.0, demand - floor) for host, demand in demands.items()}
    extra = _max_min_shares(limit - floor * len(demands), wanted)
    return {host: floor + extra[host] for host in demands}


def _max_min_shares(total: float, wanted: cabc.Mapping[HostId, float]) -> dict[HostId, float]:
    """Allocate ``total`` max-min fairly to ``wanted``, and divide any rest equally."""
    given = dict.fromkeys(wanted, 0.0)
    left = total
    by_demand = sorted(wanted, key=lambda host: (wanted[host], host))
    for position, host in enumerate(by_demand):
        given[host] = min(wanted[host], left / (len(by_demand) - position))
        left -= given[host]
    rest = max(0.0, left) / max(1, len(wanted))
    return {host: part + rest for host, part in given.items()}


def integer_shares(limit: int, shares: cabc.Mapping[HostId, float]) -> dict[HostId, int]:
    """Round shares to integers that add up to ``limit`` at most, by largest remainder."""
    parts = {host: math.floor(share) for host, share in shares.items()}
    left = limit - sum(parts.values())
    by_remainder = sorted(shares, key=lambda host: (math.floor(shares[host]) - shares[host], host))
    for host in by_remainder[: max(0, left)]:
        parts[host] += 1
    return parts


def floor_rate(limit: float, hosts: int) -> float:
    """Return the part of a rate limit that each host may use without a lease."""
    return FLOOR_SHARE * limit / max(1, hosts)


def floor_count(limit: int, position: int, hosts: int) -> int:
    """Return the part of a limit on concurrent requests that a host may use without a lease.

    :param position: the host's position in an order that is the same on all hosts.
    """
    base, rest = divmod(math.floor(FLOOR_SHARE * limit), max(1, hosts))
    return base + (1 if position < rest else 0)
