"""Keeps the engines of a pool in the state that the configuration asks for."""

import asyncio
import dataclasses

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import HostRole
from cassiawalk.clients.engine import EngineOrder
from cassiawalk.clients.engine import OrderOutcome
from cassiawalk.clock import Clock
from cassiawalk.control import ControlFollower
from cassiawalk.control import Freshness
from cassiawalk.control.state import Pool
from cassiawalk.control.state import PoolType
from cassiawalk.dispatch import Connector
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.leases.manager import LeaseManager
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView
from cassiawalk.routing.upstream import UpstreamState

STEP_INTERVAL_S = 1.0
REPEAT_INTERVAL_S = 20.0
MAX_CONCURRENT_ORDERS = 16
LOAD_MODEL = "load_model"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _CompletedOrder:
    """The last order from this process that an engine completed.

    ``at`` is the time of completion in monotonic seconds.
    """

    fence: Offset
    address: str
    model: str
    at: float


class OrderController(Component):
    """Sends orders to the engines of pools for which this host ranks first by rendezvous hashing.

    An order only names the state that an engine must be in and is derived from the configuration,
    so a new lease holder can repeat it without knowing which orders the previous one sent. Each
    order is repeated every ``REPEAT_INTERVAL_S``, because an engine that does not check fencing
    numbers may since have followed an order of a previous holder.
    """

    def __init__(
        self,
        *,
        host: HostId,
        leases: LeaseManager,
        control: ControlFollower,
        membership: Membership,
        table: UpstreamTable,
        connector: Connector,
        clock: Clock,
    ) -> None:
        self._host = host
        self._leases = leases
        self._control = control
        self._membership = membership
        self._table = table
        self._connector = connector
        self._clock = clock
        self._completed: dict[UpstreamId, _CompletedOrder] = {}

    async def start(self) -> None:
        """Start to control the engines of pools."""
        self.keep_running(self._run, name="orders")

    async def step(self) -> None:
        """Claim or renew the leases that are due, then send the orders that are due under them."""
        pools = self._pools()
        if not pools:
            return
        if await self._leases.read():
            fenced = {name for name, pool in pools.items() if pool.checks_fencing}
            await self._leases.claim(pools, fenced=fenced)
            await self._leases.read()
        for name, pool in pools.items():
            if self._leases.held(name) is not None:
                await self._reconcile_pool(name, pool)

    async def _run(self) -> None:
        while True:
            await self.step()
            await self._clock.sleep(STEP_INTERVAL_S)

    def _pools(self) -> dict[PoolName, Pool]:
        """Return the engine pools that this host controls; none if the config may be stale."""
        hosts = self._membership.reachable_entry_hosts()
        if self._control.freshness is not Freshness.FRESH or not hosts:
            return {}
        return {
            name: pool
            for name, pool in self._control.state.pools.items()
            if pool.type is PoolType.ENGINE
            and pool.model
            and rank(f"orders-{name}", hosts)[0] == self._host
        }

    async def _reconcile_pool(self, name: PoolName, pool: Pool) -> None:
        listed = {view.upstream_id for view in self._table.all()}
        self._completed = {key: done for key, done in self._completed.items() if key in listed}
        limit = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        engines = [
            view
            for view in self._table.in_pool(name)
            if view.entry.role is HostRole.ENGINE
            and view.state not in (UpstreamState.LEAVING, UpstreamState.GONE)
        ]
        await asyncio.gather(*(self._reconcile_engine(name, pool, view, limit) for view in engines))

    async def _reconcile_engine(
        self, name: PoolName, pool: Pool, view: UpstreamView, limit: asyncio.Semaphore
    ) -> None:
        async with limit:
            # The lease may have expired while earlier orders were in progress.
            lease = self._leases.held(name)
            if lease is None or not self._is_due(view, lease.fence, pool.model):
                return
            order = EngineOrder(fence=lease.fence, action=LOAD_MODEL, argument=pool.model)
            outcome = await self._connector.engine(view).order(order)
        eliot.log_message(
            message_type="orders:given",
            engine=view.upstream_id,
            fence=order.fence,
            model=order.argument,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.STALE_FENCE:
            self._leases.drop(name)
        if outcome is OrderOutcome.DONE:
            self._completed[view.upstream_id] = _CompletedOrder(
                fence=lease.fence,
                address=view.entry.address,
                model=pool.model,
                at=self._clock.monotonic(),
            )

    def _is_due(self, view: UpstreamView, fence: Offset, model: str) -> bool:
        done = self._completed.get(view.upstream_id)
        if done is None or self._clock.monotonic() - done.at >= REPEAT_INTERVAL_S:
            return True
        return (done.fence, done.address, done.model) != (fence, view.entry.address, model)
