"""Leases of shares of the limits of the workspaces that this host owns."""

import collections.abc as cabc
import dataclasses

from cassiawalk.admission.shares import allocate_shares
from cassiawalk.admission.shares import floor_count
from cassiawalk.admission.shares import floor_rate
from cassiawalk.admission.shares import integer_shares
from cassiawalk.clock import Clock
from cassiawalk.control.state import Limit
from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.peer import LimitShare
from cassiawalk.peer import WorkspaceDemand

DECAY_S = 5.0


@dataclasses.dataclass(kw_only=True)
class _Grant:
    """A host's last demand and lease; ``until`` is the lease's end in monotonic seconds."""

    demand: WorkspaceDemand
    rate: float = 0.0
    concurrent: int = 0
    until: float = 0.0


class LimitOwner:
    """Grants leases on the limits of workspaces, never more than a limit in total.

    Before a grant, it subtracts what the other hosts may be using. A host without a lease uses its
    floor. A host whose lease has expired counts with the larger of its share and its floor for
    ``DECAY_S``, because its share decays to the floor during that time. A new owner does not know
    the leases of its predecessor, so the hosts' total can exceed a limit for the length of one
    lease plus ``DECAY_S``.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._grants: dict[WorkspaceName, dict[HostId, _Grant]] = {}

    def grant(
        self,
        host: HostId,
        demand: WorkspaceDemand,
        limit: Limit,
        *,
        hosts: cabc.Sequence[HostId],
        lease_s: float,
    ) -> LimitShare:
        """Return a new lease for a host.

        :param demand: the host's demand since its last call.
        :param hosts: all live hosts in the workspace's rendezvous order.
        :param lease_s: duration of the lease in seconds.
        """
        now = self._clock.monotonic()
        grants = self._grants.setdefault(demand.workspace, {})
        for departed in [name for name in grants if name not in hosts]:
            if grants[departed].until + DECAY_S < now:
                del grants[departed]
        own = grants.setdefault(host, _Grant(demand=demand))
        own.demand = demand
        own.rate = self._rate(host, limit, grants, hosts, now)
        own.concurrent = self._concurrent(host, limit, grants, hosts, now)
        own.until = now + lease_s
        return LimitShare(
            workspace=demand.workspace, rate=own.rate, concurrent=own.concurrent, lease_s=lease_s
        )

    def _rate(
        self,
        host: HostId,
        limit: Limit,
        grants: dict[HostId, _Grant],
        hosts: cabc.Sequence[HostId],
        now: float,
    ) -> float:
        demands = {name: grants[name].demand.rate if name in grants else 0.0 for name in hosts}
        wanted = allocate_shares(limit.requests_per_s, demands).get(host, 0.0)
        floor = floor_rate(limit.requests_per_s, len(hosts))
        used = 0.0
        for name in {*hosts, *grants} - {host}:
            used += _in_use(grants.get(name), lambda grant: grant.rate, floor, now)
        return max(0.0, min(wanted, limit.requests_per_s - used))

    def _concurrent(
        self,
        host: HostId,
        limit: Limit,
        grants: dict[HostId, _Grant],
        hosts: cabc.Sequence[HostId],
        now: float,
    ) -> int:
        demands = {
            name: float(grants[name].demand.concurrent) if name in grants else 0.0 for name in hosts
        }
        wanted = integer_shares(limit.concurrent, allocate_shares(limit.concurrent, demands)).get(
            host, 0
        )
        used = 0
        for name in {*hosts, *grants} - {host}:
            position = hosts.index(name) if name in hosts else len(hosts)
            floor = floor_count(limit.concurrent, position, len(hosts))
            used += round(
                _in_use(grants.get(name), lambda grant: float(grant.concurrent), floor, now)
            )
        return max(0, min(wanted, limit.concurrent - used))


def _in_use(
    grant: _Grant | None, part: cabc.Callable[[_Grant], float], floor: float, now: float
) -> float:
    """Return the part of a limit that another host may be using."""
    if grant is None or grant.until + DECAY_S < now:
        return floor
    return part(grant) if now <= grant.until else max(part(grant), floor)
