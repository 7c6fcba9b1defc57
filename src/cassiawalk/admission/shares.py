"""How a workspace's limit over all hosts is shared out to them."""

import collections.abc as cabc
import math

from cassiawalk.ids import HostId

FLOOR_SHARE = 0.25


def share_out(
    limit: float, demands: cabc.Mapping[HostId, float], *, floor_share: float = FLOOR_SHARE
) -> dict[HostId, float]:
    """Return each host's part of a limit; the parts add up to the limit at most.

    Every host is given a floor, so that a host whose demand begins can serve at once. The rest
    goes to demand above the floor, in equal steps until each demand is met; what no demand asks
    for is spread evenly, as headroom.

    :param demands: each host's recent demand, in the limit's unit.
    :param floor_share: the part of an equal share that a host has without any demand.
    """
    if not demands:
        return {}
    floor = floor_share * limit / len(demands)
    wanted = {host: max(0.0, demand - floor) for host, demand in demands.items()}
    extra = _fill(limit - floor * len(demands), wanted)
    return {host: floor + extra[host] for host in demands}


def _fill(total: float, wanted: cabc.Mapping[HostId, float]) -> dict[HostId, float]:
    """Share ``total`` max-min fairly by what is wanted, and any rest evenly."""
    given = dict.fromkeys(wanted, 0.0)
    left = total
    open_hosts = sorted(wanted, key=lambda host: (wanted[host], host))
    for position, host in enumerate(open_hosts):
        given[host] = min(wanted[host], left / (len(open_hosts) - position))
        left -= given[host]
    rest = max(0.0, left) / max(1, len(wanted))
    return {host: part + rest for host, part in given.items()}


def whole_parts(limit: int, shares: cabc.Mapping[HostId, float]) -> dict[HostId, int]:
    """Return shares as whole numbers that add up to ``limit`` at most, largest remainder first."""
    parts = {host: math.floor(share) for host, share in shares.items()}
    left = limit - sum(parts.values())
    by_rest = sorted(shares, key=lambda host: (math.floor(shares[host]) - shares[host], host))
    for host in by_rest[: max(0, left)]:
        parts[host] += 1
    return parts


def floor_rate(limit: float, hosts: int) -> float:
    """Return the part of a rate limit that a host may use without a lease."""
    return FLOOR_SHARE * limit / max(1, hosts)


def floor_count(limit: int, position: int, hosts: int) -> int:
    """Return the part of a limit on requests at once that a host may use without a lease.

    :param position: the host's place in an order that all hosts agree on.
    """
    base, rest = divmod(math.floor(FLOOR_SHARE * limit), max(1, hosts))
    return base + (1 if position < rest else 0)
