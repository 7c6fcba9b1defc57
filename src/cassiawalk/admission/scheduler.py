"""Gives queued requests a slot on an upstream."""

import asyncio
import dataclasses

from cassiawalk.admission.fairqueue import FairQueue
from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.requests.record import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView

QUEUE_LIMIT = 2000
QUEUE_FULL_RETRY_S = 2.0

_PRIORITIES = {KindMode.AT_MOST_ONCE: 0, KindMode.QUICK: 0, KindMode.MUST_ARRIVE: 1}


@dataclasses.dataclass(kw_only=True, eq=False)
class SlotLease:
    """The right to send one request to one upstream; give it back with ``release``."""

    upstream: UpstreamView
    record: RequestRecord
    granted_at: float


@dataclasses.dataclass(kw_only=True, eq=False)
class _Waiter:
    """A queued request and the future of its slot."""

    record: RequestRecord
    exclude: frozenset[UpstreamId]
    slot: asyncio.Future[SlotLease]


class Scheduler(Component):
    """One fair queue for each pool, served whenever a slot may have become free."""

    def __init__(self, *, table: UpstreamTable, router: Router, clock: Clock) -> None:
        self._table = table
        self._router = router
        self._clock = clock
        self._queues: dict[PoolName, FairQueue[_Waiter]] = {}
        table.add_listener(self.pump_all)

    def refusal(self, record: RequestRecord) -> Refusal | None:
        """Return why a new request can't be queued now, or None."""
        queue = self._queues.get(record.pool)
        if queue is not None and len(queue) >= QUEUE_LIMIT:
            return Refusal(
                code=ResultCode.QUEUE_FULL,
                detail=f"{len(queue)} requests wait for pool {record.pool}",
                retry_after_s=QUEUE_FULL_RETRY_S,
            )
        return None

    def waiting(self, pool: PoolName) -> int:
        """Return how many requests wait for a pool."""
        return len(self._queues.get(pool, ()))

    async def acquire(
        self, record: RequestRecord, *, exclude: frozenset[UpstreamId] = frozenset()
    ) -> SlotLease | Refusal:
        """Wait for a slot until the request's deadline.

        :param exclude: upstreams that this request must not be sent to again.
        """
        slot: asyncio.Future[SlotLease] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(record=record, exclude=exclude, slot=slot)
        queue = self._queues.setdefault(record.pool, FairQueue())
        queue.push(
            waiter,
            workspace=record.workspace,
            share=record.share,
            cost=float(record.kind.max_tokens),
            priority=_PRIORITIES[record.kind.mode] - (1 if record.attempt else 0),
        )
        self._pump(record.pool)
        try:
            async with asyncio.timeout(max(0.0, record.deadline_s - self._clock.wall())):
                return await slot
        except asyncio.CancelledError:
            self._give_back(slot)
            raise
        except TimeoutError:
            self._give_back(slot)
            return Refusal(
                code=ResultCode.DEADLINE_PASSED_WAITING,
                detail="no upstream had a free slot before the deadline",
                retry_after_s=QUEUE_FULL_RETRY_S,
            )
        finally:
            self._withdraw(queue, waiter)

    def release(self, lease: SlotLease) -> None:
        """Give a slot back and serve the queue."""
        hold_s = self._clock.monotonic() - lease.granted_at
        self._router.note_ended(lease.upstream, lease.record, hold_s)
        self._pump(lease.record.pool)

    def _give_back(self, slot: asyncio.Future[SlotLease]) -> None:
        """Release a slot that was granted in the moment in which its waiter gave up."""
        if slot.done() and not slot.cancelled():
            self.release(slot.result())

    def pump_all(self) -> None:
        """Serve all queues after upstreams or their reports changed."""
        for pool in self._queues:
            self._pump(pool)

    def _withdraw(self, queue: FairQueue[_Waiter], waiter: _Waiter) -> None:
        queue.remove(waiter)
        cancelled = not waiter.slot.done()
        if cancelled:
            waiter.slot.cancel()

    def _pump(self, pool: PoolName) -> None:
        queue = self._queues.get(pool)
        if queue is None:
            return
        while (waiter := queue.peek()) is not None:
            upstream = self._router.choose(waiter.record, exclude=waiter.exclude)
            if upstream is None:
                return
            queue.remove(waiter)
            self._router.note_sent(upstream, waiter.record)
            lease = SlotLease(
                upstream=upstream, record=waiter.record, granted_at=self._clock.monotonic()
            )
            waiter.slot.set_result(lease)
