"""Gives queued requests a slot on an upstream."""

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

QUEUE_LIMIT = 2000
SECONDS_PER_HOUR = 3600.0
QUEUE_FULL_RETRY_S = 2.0
MISS_RATE = 0.1

_URGENT = 0
_PRIORITIES = {KindMode.AT_MOST_ONCE: 0, KindMode.QUICK: 0, KindMode.MUST_ARRIVE: 1}


@dataclasses.dataclass(kw_only=True, eq=False)
class SlotLease:
    """The right to send one request to one upstream; give it back with ``release``."""

    upstream: UpstreamView
    record: RequestRecord
    granted_at: float
    expected: Estimate


@dataclasses.dataclass(frozen=True, kw_only=True)
class Expectation:
    """When a new request would have its first token and its end, in seconds from now.

    ``queued`` says whether any of that is waiting for others.
    """

    first_s: float
    end_s: float
    queued: bool


@dataclasses.dataclass(kw_only=True, eq=False)
class _Waiter:
    """A queued request and the future of its slot."""

    record: RequestRecord
    exclude: frozenset[UpstreamId]
    slot: asyncio.Future[SlotLease]


class Scheduler(Component):
    """One fair queue for each pool, served whenever a slot may have become free.

    :param correct_waits: whether expected waits are corrected by what requests really waited.
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
        self._misses: dict[PoolName, float] = {}
        self._running: collections.Counter[PoolName] = collections.Counter()
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

    def expect(self, record: RequestRecord) -> Expectation | None:
        """Return when a new request would be served, or None if no upstream takes work."""
        estimate = self._router.predict(record)
        if estimate is None:
            return None
        queued_s = self._queued_s(record)
        factor = self._router.wait_factor(record) if self._correct_waits else 1.0
        first_s = queued_s + estimate.wait_s * factor + estimate.prefill_s
        return Expectation(
            first_s=first_s,
            end_s=first_s + estimate.hold_s,
            queued=queued_s + estimate.wait_s > 0.0,
        )

    def misses(self, pool: PoolName) -> float:
        """Return the recent share of requests that missed their target, of those that have one."""
        return self._misses.get(pool, 0.0)

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
            cost=self._router.hold_s(record),
            priority=_priority(record),
        )
        queued_at = self._clock.monotonic()
        lease: SlotLease | None = None
        self._pump(record.pool)
        try:
            async with asyncio.timeout(max(0.0, record.deadline_s - self._clock.wall())):
                lease = await slot
        except TimeoutError:
            return Refusal(
                code=ResultCode.DEADLINE_PASSED_WAITING,
                detail="no upstream had a free slot before the deadline",
                retry_after_s=QUEUE_FULL_RETRY_S,
                execution=_execution(record),
            )
        finally:
            queue.remove(waiter)
            if lease is None:
                self._give_up(slot)
        if self._metrics is not None:
            self._metrics.note_queue_wait(record, self._clock.monotonic() - queued_at)
        return lease

    def release(self, lease: SlotLease) -> None:
        """Give a slot back and serve the queue."""
        self._learn(lease)
        self._note_cost(lease)
        self._running[lease.record.pool] -= 1
        self._router.note_ended(lease.upstream, lease.record)
        self._pump(lease.record.pool)

    def pump_all(self) -> None:
        """Serve all queues after upstreams or their reports changed."""
        for pool in self._queues:
            self._pump(pool)

    def _queued_s(self, record: RequestRecord) -> float:
        """Return the expected wait in this host's queue, from the work ahead and its slots."""
        queue = self._queues.get(record.pool)
        if not queue:
            return 0.0
        ahead_s = queue.ahead(
            workspace=record.workspace,
            share=record.share,
            cost=self._router.hold_s(record),
            priority=_priority(record),
        )
        return ahead_s / max(1, self._running[record.pool])

    def _learn(self, lease: SlotLease) -> None:
        """Learn times from an attempt that served; a quick failure tells nothing about them."""
        first_at = lease.record.first_text_at
        served = first_at is not None and first_at >= lease.granted_at
        if first_at is not None and served:
            self._router.note_first_token(lease.record, lease.expected, first_at - lease.granted_at)
            self._note_target(lease.record, first_at - lease.record.accepted_at)
        if served or not lease.record.prompt:
            self._router.note_hold(lease.record, self._clock.monotonic() - lease.granted_at)

    def _note_cost(self, lease: SlotLease) -> None:
        """Count the upstream's price for the time and the slot that the attempt took."""
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
        before = self._misses.get(record.pool, 0.0)
        self._misses[record.pool] = before + MISS_RATE * (missed - before)

    def _give_up(self, slot: asyncio.Future[SlotLease]) -> None:
        """Cancel a slot that is not taken, and give back one that was granted meanwhile."""
        if slot.done() and not slot.cancelled():
            self.release(slot.result())
        else:
            slot.cancel()

    def _pump(self, pool: PoolName) -> None:
        queue = self._queues.get(pool)
        if queue is not None:
            while any(self._grant(pool, queue, waiter) for waiter in queue.heads()):
                pass

    def _grant(self, pool: PoolName, queue: FairQueue[_Waiter], waiter: _Waiter) -> bool:
        """Give a waiter a slot; return False if no upstream has room for it."""
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
    """Return the lane of a request; one that ran before goes first wherever it goes on."""
    return _URGENT if record.attempt > 0 else _PRIORITIES[record.kind.mode]


def _execution(record: RequestRecord) -> Execution | None:
    """Return what is known of an earlier attempt, or None if there was none.

    An at-most-once request waits again only if nothing of it was sent.
    """
    if record.attempt == 0 or record.kind.mode is KindMode.AT_MOST_ONCE:
        return None
    return Execution.UNKNOWN
