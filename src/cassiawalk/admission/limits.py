"""Limits of workspaces, each enforced over all hosts together.

For each limited workspace, the first host in rendezvous order owns the limit and leases shares of
it to the other hosts. The leases are soft state: the share of a host that receives no new lease
decays to a floor.
"""

import asyncio
import collections
import collections.abc as cabc
import contextlib
import dataclasses

from cassiawalk.admission.limitowner import DECAY_S
from cassiawalk.admission.limitowner import LimitOwner
from cassiawalk.admission.shares import floor_count
from cassiawalk.admission.shares import floor_rate
from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.control.state import Limit
from cassiawalk.ids import HostId
from cassiawalk.ids import WorkspaceName
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.peer import LimitShare
from cassiawalk.peer import LimitShareCall
from cassiawalk.peer import LimitShareReply
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import WorkspaceDemand
from cassiawalk.requests.record import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

INTERVAL_S = 1.0
INTERVAL_PER_HOST_S = 0.01
LEASE_INTERVALS = 3.0
BURST_S = 1.0
CALL_TIMEOUT_S = 1.0
CONCURRENT_RETRY_AFTER_S = 1.0
NEW_DEMAND_DELAY_S = 0.1

Limits = cabc.Callable[[], cabc.Mapping[WorkspaceName, Limit]]


@dataclasses.dataclass(kw_only=True)
class _Usage:
    """One workspace on this host: its lease, token bucket and running requests.

    ``leased_at`` and ``filled_at`` are in monotonic seconds. ``arrivals`` counts the requests
    since the last renewal, and ``refused_concurrent`` those refused because too many were running.
    """

    lease: LimitShare | None = None
    leased_at: float = 0.0
    tokens: float = 1.0
    filled_at: float
    arrivals: int = 0
    refused_concurrent: int = 0
    running: collections.deque[RequestRecord] = dataclasses.field(default_factory=collections.deque)


class WorkspaceLimiter(Component):
    """Refuses requests over this host's share of a limit, and renews the shares.

    :param limits: returns the limits of the current configuration.
    """

    def __init__(
        self,
        *,
        host: HostId,
        limits: Limits,
        membership: Membership,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._host = host
        self._limits = limits
        self._membership = membership
        self._links = links
        self._clock = clock
        self._usages: dict[WorkspaceName, _Usage] = {}
        self._owner = LimitOwner(clock=clock)
        self._new_demand = asyncio.Event()
        self._renewed_at = clock.monotonic()

    async def start(self) -> None:
        """Start the task that renews the shares."""
        self.keep_running(self._renew_forever, name="limit-shares")

    @property
    def interval_s(self) -> float:
        """Return the time between renewals in seconds.

        It grows with the number of hosts, so that the load on an owner stays constant.
        """
        return max(INTERVAL_S, INTERVAL_PER_HOST_S * len(self._hosts()))

    def check(self, record: RequestRecord) -> Refusal | None:
        """Count a request; return a refusal if its workspace exceeds this host's share."""
        limit = self._limits().get(record.workspace)
        if limit is None:
            return None
        usage = self._usage(record.workspace)
        usage.arrivals += 1
        if limit.concurrent > 0 and self._count_running(usage) >= self._concurrent(limit, record):
            usage.refused_concurrent += 1
            return _over_limit(record, "requests at once", CONCURRENT_RETRY_AFTER_S)
        if limit.requests_per_s > 0:
            wait_s = self._take_token(usage, self._rate(limit, record.workspace))
            if wait_s > 0.0:
                return _over_limit(record, "requests a second", wait_s)
        if limit.concurrent > 0:
            usage.running.append(record)
        return None

    async def serve(self, call: LimitShareCall) -> LimitShareReply:
        """Grant a host its shares of the limits that this host owns."""
        limits = self._limits()
        shares = [
            self._owner.grant(
                call.host,
                demand,
                limits[demand.workspace],
                hosts=self._ranked(demand.workspace),
                lease_s=LEASE_INTERVALS * self.interval_s,
            )
            for demand in call.demands
            if demand.workspace in limits
        ]
        return LimitShareReply(shares=tuple(shares))

    async def renew(self) -> None:
        """Send this host's demands to the owners and apply the shares that they grant."""
        by_owner = self._demands_by_owner()
        await asyncio.gather(*(self._ask(host, demands) for host, demands in by_owner.items()))

    async def _renew_forever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.interval_s):
                    await self._new_demand.wait()
                    await self._clock.sleep(NEW_DEMAND_DELAY_S)
            self._new_demand.clear()
            await self.renew()

    async def _ask(self, owner: HostId, demands: list[WorkspaceDemand]) -> None:
        call = LimitShareCall(host=self._host, demands=tuple(demands))
        if owner == self._host:
            reply = await self.serve(call)
        else:
            answer = await self._links.call(owner, call, LimitShareReply, timeout_s=CALL_TIMEOUT_S)
            if not isinstance(answer, LimitShareReply):
                return
            reply = answer
        for share in reply.shares:
            usage = self._usage(share.workspace)
            usage.lease = share
            usage.leased_at = self._clock.monotonic()

    def _demands_by_owner(self) -> dict[HostId, list[WorkspaceDemand]]:
        now = self._clock.monotonic()
        span_s = max(INTERVAL_S / 10, now - self._renewed_at)
        self._renewed_at = now
        limits = self._limits()
        found: dict[HostId, list[WorkspaceDemand]] = {}
        for workspace, usage in list(self._usages.items()):
            ranked = self._ranked(workspace)
            if workspace not in limits or not ranked:
                del self._usages[workspace]
                continue
            demand = WorkspaceDemand(
                workspace=workspace,
                rate=usage.arrivals / span_s,
                concurrent=self._count_running(usage) + usage.refused_concurrent,
            )
            usage.arrivals = usage.refused_concurrent = 0
            found.setdefault(ranked[0], []).append(demand)
        return found

    def _usage(self, workspace: WorkspaceName) -> _Usage:
        usage = self._usages.get(workspace)
        if usage is None:
            usage = _Usage(filled_at=self._clock.monotonic())
            self._usages[workspace] = usage
            self._new_demand.set()
        return usage

    def _count_running(self, usage: _Usage) -> int:
        for _ in range(len(usage.running)):
            record = usage.running.popleft()
            if not record.is_final:
                usage.running.append(record)
        return len(usage.running)

    def _take_token(self, usage: _Usage, rate: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        now = self._clock.monotonic()
        size = max(1.0, rate * BURST_S)
        usage.tokens = min(size, usage.tokens + rate * (now - usage.filled_at))
        usage.filled_at = now
        if usage.tokens < 1.0:
            return (1.0 - usage.tokens) / rate if rate > 0.0 else self.interval_s
        usage.tokens -= 1.0
        return 0.0

    def _rate(self, limit: Limit, workspace: WorkspaceName) -> float:
        floor = floor_rate(limit.requests_per_s, len(self._hosts()))
        usage = self._usages[workspace]
        if usage.lease is None:
            return floor
        decay = self._decay(usage)
        return min(usage.lease.rate, limit.requests_per_s) * (1.0 - decay) + floor * decay

    def _concurrent(self, limit: Limit, record: RequestRecord) -> int:
        usage = self._usages[record.workspace]
        if usage.lease is not None and self._decay(usage) < 1.0:
            return min(usage.lease.concurrent, limit.concurrent)
        ranked = self._ranked(record.workspace)
        position = ranked.index(self._host) if self._host in ranked else len(ranked)
        return floor_count(limit.concurrent, position, len(ranked))

    def _decay(self, usage: _Usage) -> float:
        """Return how far an expired share has decayed: 0 is the full share, 1 the floor."""
        if usage.lease is None:
            return 1.0
        over_s = self._clock.monotonic() - usage.leased_at - usage.lease.lease_s
        return min(1.0, max(0.0, over_s / DECAY_S))

    def _hosts(self) -> list[HostId]:
        return self._membership.reachable_entry_hosts()

    def _ranked(self, workspace: WorkspaceName) -> list[HostId]:
        return rank(f"limit/{workspace}", self._hosts())


def _over_limit(record: RequestRecord, what: str, retry_after_s: float) -> Refusal:
    return Refusal(
        code=ResultCode.OVER_LIMIT,
        detail=f"workspace {record.workspace!r} is over its limit of {what}",
        retry_after_s=retry_after_s,
    )
