"""Assigns slots on upstreams to queued requests."""

import asyncio
import collections
import dataclasses

from cassiawalk.admission.fairqueue import FairQueue
from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.metrics import Metrics
from cassiawalk.requests.record import RequestRecord
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView
from cassiawalk.routing.score import Estimate

MAX_QUEUED = 2000
SECONDS_PER_HOUR = 3600.0
QUEUE_FULL_RETRY_AFTER_S = 2.0
MISS_LEARNING_RATE = 0.1

_RESUMED_PRIORITY = 0
_PRIORITIES = {KindMode.AT_MOST_ONCE: 0, KindMode.QUICK: 0, KindMode.MUST_ARRIVE: 1}


@dataclasses.dataclass(kw_only=True, eq=False)
class SlotLease:
    """The right to send one request to one upstream; return it with ``Scheduler.release``.

    ``granted_at`` is in monotonic seconds.
    """

    upstream: UpstreamView
    record: RequestRecord
    granted_at: float
    expected: Estimate


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forecast:
    """Expected time of a new request's first token and of its end, in seconds from now.

    ``queued`` tells whether the request is expected to wait for other requests.
    """

    first_s: float
    end_s: float
    queued: bool


@dataclasses.dataclass(kw_only=True, eq=False)
class _Waiter:
    """A queued request and the future that is set to its slot."""

    record: RequestRecord
    exclude: frozenset[UpstreamId]
    slot: asyncio.Future[SlotLease]


class Scheduler(Component):
    """A fair queue for each pool, served whenever a slot may have become free.

    :param correct_waits: whether expected waits are corrected by the measured waits.
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        router: Router,
        clock: Clock,
        metrics: Metrics | None = None,
        correct_waits: bool = True,
    ) -> None:
        self._table = table
        self._router = router
        self._metrics = metrics
        self._correct_waits = correct_waits
        self._clock = clock
        self._queues: dict[PoolName, FairQueue[_Waiter]] = {}
        self._miss_shares: dict[PoolName, float] = {}
        self._running: collections.Counter[PoolName] = collections.Counter()
        table.add_listener(self.dispatch_all)

    def refusal(self, record: RequestRecord) -> Refusal | None:
        """Return a refusal if the pool's queue is full, or None."""
        queue = self._queues.get(record.pool)
        if queue is not None and len(queue) >= MAX_QUEUED:
            return Refusal(
                code=ResultCode.QUEUE_FULL,
                detail=f"{len(queue)} requests wait for pool {record.pool}",
                retry_after_s=QUEUE_FULL_RETRY_AFTER_S,
            )
        return None

    def forecast(self, record: RequestRecord) -> Forecast | None:
        """Return a new request's expected times, or None if no upstream takes work."""
        estimate = self._router.predict(record)
        if estimate is None:
            return None
        queued_s = self._expected_queue_wait_s(record)
        factor = self._router.wait_factor(record) if self._correct_waits else 1.0
        first_s = queued_s + estimate.wait_s * factor + estimate.prefill_s
        return Forecast(
            first_s=first_s,
            end_s=first_s + estimate.hold_s,
            queued=queued_s + estimate.wait_s > 0.0,
        )

    def miss_share(self, pool: PoolName) -> float:
        """Return the recent share of requests with a latency target that missed it."""
        return self._miss_shares.get(pool, 0.0)

    def waiting(self, pool: PoolName) -> int:
        """Return how many requests wait for a pool."""
        return len(self._queues.get(pool, ()))

    async def acquire(
        self, record: RequestRecord, *, exclude: frozenset[UpstreamId] = frozenset()
    ) -> SlotLease | Refusal:
        """Wait for a slot until the request's deadline.

        :param exclude: upstreams to use only if no other upstream of the pool takes work.
        :raises asyncio.CancelledError: if the caller is cancelled; a granted slot is released.
        """
        slot: asyncio.Future[SlotLease] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(record=record, exclude=exclude, slot=slot)
        queue = self._queues.setdefault(record.pool, FairQueue())
        queue.push(
            waiter,
            workspace=record.workspace,
            share=record.share,
            cost=self._router.hold_s(record),
            priority=_priority(record),
        )
        queued_at = self._clock.monotonic()
        lease: SlotLease | None = None
        self._dispatch(record.pool)
        try:
            async with asyncio.timeout(max(0.0, record.deadline_s - self._clock.wall())):
                lease = await slot
        except TimeoutError:
            return Refusal(
                code=ResultCode.DEADLINE_PASSED_WAITING,
                detail="no upstream had a free slot before the deadline",
                retry_after_s=QUEUE_FULL_RETRY_AFTER_S,
                execution=_execution(record),
            )
        finally:
            queue.remove(waiter)
            if lease is None:
                self._abandon(slot)
        if self._metrics is not None:
            self._metrics.note_queue_wait(record, self._clock.monotonic() - queued_at)
        return lease

    def release(self, lease: SlotLease) -> None:
        """Release a slot and serve the queue."""
        self._learn(lease)
        self._note_cost(lease)
        self._running[lease.record.pool] -= 1
        self._router.note_ended(lease.upstream, lease.record)
        self._dispatch(lease.record.pool)

    def dispatch_all(self) -> None:
        """Serve all queues; called after upstreams or their reports changed."""
        for pool in self._queues:
            self._dispatch(pool)

    def _expected_queue_wait_s(self, record: RequestRecord) -> float:
        """Return the expected wait in this host's queue, in seconds.

        It is the expected work of the requests ahead, divided by the slots that this host holds.
        """
        queue = self._queues.get(record.pool)
        if not queue:
            return 0.0
        ahead_s = queue.cost_ahead(
            workspace=record.workspace,
            share=record.share,
            cost=self._router.hold_s(record),
            priority=_priority(record),
        )
        return ahead_s / max(1, self._running[record.pool])

    def _learn(self, lease: SlotLease) -> None:
        """Learn the times of an attempt, unless it failed before its first token."""
        first_at = lease.record.first_text_at
        served = first_at is not None and first_at >= lease.granted_at
        if first_at is not None and served:
            self._router.note_first_token(lease.record, lease.expected, first_at - lease.granted_at)
            self._note_target(lease.record, first_at - lease.record.accepted_at)
        if served or not lease.record.prompt:
            self._router.note_hold(lease.record, self._clock.monotonic() - lease.granted_at)

    def _note_cost(self, lease: SlotLease) -> None:
        """Add the cost of the slot for the duration of the attempt to the metrics."""
        if self._metrics is None:
            return
        view = lease.upstream
        hold_s = self._clock.monotonic() - lease.granted_at
        slot_price = view.price / max(1, view.slots)
        self._metrics.note_cost(lease.record, slot_price * hold_s / SECONDS_PER_HOUR)

    def _note_target(self, record: RequestRecord, first_s: float) -> None:
        if record.kind.mode is KindMode.MUST_ARRIVE:
            return
        missed = 1.0 if first_s > record.kind.target_ms / 1000 else 0.0
        before = self._miss_shares.get(record.pool, 0.0)
        self._miss_shares[record.pool] = before + MISS_LEARNING_RATE * (missed - before)

    def _abandon(self, slot: asyncio.Future[SlotLease]) -> None:
        """Cancel the wait for a slot; release the slot if it was granted meanwhile."""
        if slot.done() and not slot.cancelled():
            self.release(slot.result())
        else:
            slot.cancel()

    def _dispatch(self, pool: PoolName) -> None:
        queue = self._queues.get(pool)
        if queue is not None:
            while any(self._grant(pool, queue, waiter) for waiter in queue.heads()):
                pass

    def _grant(self, pool: PoolName, queue: FairQueue[_Waiter], waiter: _Waiter) -> bool:
        """Assign a slot to a waiter; return False if no upstream has room for its request."""
        choice = self._router.choose(waiter.record, exclude=waiter.exclude)
        if choice is None:
            return False
        queue.remove(waiter, served=True)
        self._running[pool] += 1
        self._router.note_sent(choice, waiter.record)
        lease = SlotLease(
            upstream=choice.upstream,
            record=waiter.record,
            granted_at=self._clock.monotonic(),
            expected=choice.estimate,
        )
        waiter.slot.set_result(lease)
        return True


def _priority(record: RequestRecord) -> int:
    """Return the queue priority of a request; a request that was already sent comes first."""
    return _RESUMED_PRIORITY if record.attempt > 0 else _PRIORITIES[record.kind.mode]


def _execution(record: RequestRecord) -> Execution | None:
    """Return whether an earlier attempt may have run, or None if none was sent.

    An at-most-once request is queued again only if its earlier attempts were not sent.
    """
    if record.attempt == 0 or record.kind.mode is KindMode.AT_MOST_ONCE:
        return None
    return Execution.UNKNOWN
