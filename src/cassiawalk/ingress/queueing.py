"""The queues of a host's services, and the tasks of the requests that wait in them."""

import asyncio
import collections.abc as cabc
import dataclasses
import math
import random

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.decisions import Asked
from cassiawalk.ingress.decisions import Decision
from cassiawalk.ingress.decisions import Reason
from cassiawalk.ingress.decisions import Verdict
from cassiawalk.ingress.decisions import work_of
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.permitting import PermittedPlacer
from cassiawalk.ingress.placement import prefill_s
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.refusing import ReturnKey
from cassiawalk.ingress.report import IngressReport
from cassiawalk.ingress.rooms import RoomView
from cassiawalk.ingress.stopping import StopPlan
from cassiawalk.ingress.waiting import ServiceQueue
from cassiawalk.results import ResultCode
from cassiawalk.storeview.directory import Directory

NO_WORKSPACE = WorkspaceName("")  # anonymous callers share one
HEADER_BYTES = 64  # per header of a request that waits, for its two objects
MIN_WAKE_S = 0.001

CODES = {
    Reason.TARGET: ResultCode.DEADLINE_UNREACHABLE,
    Reason.DEADLINE: ResultCode.DEADLINE_UNREACHABLE,
    Reason.FULL: ResultCode.QUEUE_FULL,
    Reason.UPSTREAMS: ResultCode.QUEUE_FULL,
}


@dataclasses.dataclass(kw_only=True, eq=False)
class Turn:
    """A request's place in the queue of its service, and later at its upstream.

    :param placement: where it is sent if it is served; None if that has to be found yet.
    :param ended: set to the decision once the request need not wait any more; to None if it can't
        be sent at all, as its caller has left or this host stops.
    """

    job: Job
    asked: Asked
    decision: Decision
    placement: Placement | None
    ended: asyncio.Future[Decision | None] | None = None
    served_at: float = 0.0
    expected_s: float = 0.0
    answered: bool = False
    first_s: float | None = None

    @property
    def has_waited(self) -> bool:
        """Return whether the request had to wait."""
        return self.ended is not None

    def note_attempt(self, *, answered: bool, first_s: float | None) -> None:
        """Record how the attempt ended, and the time to a stream's first event, if one came."""
        self.answered = answered
        self.first_s = first_s


class RequestQueues:
    """Decides for each attempt whether it is made now, later or not, see ``waiting``.

    :param hosts: returns the number of hosts of the fleet.
    :param is_enabled: see ``ServiceQueue``.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        placer: PermittedPlacer,
        hosts: cabc.Callable[[], int],
        stopping: StopPlan,
        clock: Clock,
        report: IngressReport,
        rng: random.Random,
        is_enabled: bool = True,
    ) -> None:
        self._is_enabled = is_enabled
        self._placer = placer
        self._stopping = stopping
        self._clock = clock
        self._report = report
        self._rng = rng
        self._rooms = RoomView(directory=directory, hosts=hosts, clock=clock)
        self._queues: dict[ServiceName, ServiceQueue] = {}
        self._waiting: dict[ServiceName, dict[Asked, Turn]] = {}
        self._wakes: dict[ServiceName, asyncio.TimerHandle] = {}

    def ask(self, job: Job, placement: Placement) -> Turn:
        """Return the decision about an attempt; if the request has to wait, see ``wait``."""
        now = self._clock.monotonic()
        queue = self._queue(job.service)
        asked = _asked(job, now)
        room = self._rooms.get(job.service)
        if placement.permit is not None:
            # The upstream's own limit has granted the request its place.
            decision = queue.take(asked, room, now)
        else:
            decision = queue.arrive(asked, room, now, first_s=self._first_s(job, placement))
        turn = Turn(job=job, asked=asked, decision=decision, placement=placement)
        self._note(turn, decision, now)
        if decision.verdict is Verdict.WAIT:
            turn.ended = asyncio.get_running_loop().create_future()
            self._waiting.setdefault(job.service, {})[asked] = turn
            self._release(job.service)
        return turn

    async def wait(self, turn: Turn) -> Decision | None:
        """Wait until a request is to be sent or rejected; None if it can't be sent at all.

        :raises asyncio.CancelledError: if the caller left; the request is removed from the queue.
        """
        assert turn.ended is not None
        try:
            return await turn.ended
        except asyncio.CancelledError:
            self._abandon(turn)
            raise

    def end(self, turn: Turn) -> None:
        """Record that an attempt that was served has ended, and serve the requests that wait."""
        service = turn.job.service
        now = self._clock.monotonic()
        queue = self._queue(service)
        held_s = now - turn.served_at if turn.answered else None
        queue.note_ended(turn.asked, now, held_s=held_s)
        if turn.first_s is not None and turn.asked.is_stream:
            queue.note_first(turn.expected_s, turn.first_s)
        self._release(service)

    def note_load_changed(self) -> None:
        """Decide anew about the requests that wait, as other hosts have reported their load."""
        if any(self._waiting.values()):
            self._rooms.forget()
            self.release_all()

    def release_all(self) -> None:
        """Decide anew about all requests that wait."""
        for service in self._waiting:
            self._release(service)

    def close(self) -> None:
        """Cancel the timers."""
        for wake in self._wakes.values():
            wake.cancel()

    def _queue(self, service: ServiceName) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(rng=self._rng, is_enabled=self._is_enabled)
        return queue

    def _first_s(self, job: Job, placement: Placement | None) -> float | None:
        if placement is None or not self._placer.has_room(job, placement):
            return math.inf
        return placement.first_s if job.route.rule.is_stream else None

    def _find_first_s(self, turn: Turn) -> float | None:
        """Place a request that waits, and return when its first event is expected."""
        if self._placer.is_limited(turn.job.service):
            turn.placement = None  # it takes a permit, which is borrowed once it is served
            return turn.asked.base_s if turn.asked.is_stream else None
        turn.placement = self._placer.place_now(turn.job)
        return self._first_s(turn.job, turn.placement)

    def _release(self, service: ServiceName) -> None:
        waiting = self._waiting.get(service)
        if not waiting:
            return
        queue = self._queue(service)
        now = self._clock.monotonic()
        for turn in [turn for turn in waiting.values() if not self._can_be_sent(turn.job)]:
            queue.leave(turn.asked)
            self._resolve(turn, None, now)
        room = self._rooms.get(service)
        for decision in queue.release(room, now, lambda asked: self._find_first_s(waiting[asked])):
            self._resolve(waiting[decision.asked], decision, now)
        self._schedule_wake(service, queue.next_at(room), now)

    def _can_be_sent(self, job: Job) -> bool:
        return not job.exchange.caller_left and self._stopping.can_finish(job.ends_at)

    def _resolve(self, turn: Turn, decision: Decision | None, now: float) -> None:
        del self._waiting[turn.job.service][turn.asked]
        self._report.note_waited(turn.job, now - turn.asked.arrived_at, decision)
        if decision is not None:
            self._note(turn, decision, now)
        assert turn.ended is not None
        if not turn.ended.done():  # it is cancelled if the task is, which then ends the turn
            turn.ended.set_result(decision)

    def _note(self, turn: Turn, decision: Decision, now: float) -> None:
        turn.decision = decision
        if decision.verdict is Verdict.SERVE:
            turn.served_at = now
            turn.expected_s = 0.0 if turn.placement is None else turn.placement.first_s
        else:
            self._report.note_decision(turn.job, decision)

    def _abandon(self, turn: Turn) -> None:
        service = turn.job.service
        now = self._clock.monotonic()
        if self._waiting[service].pop(turn.asked, None) is not None:
            self._queue(service).leave(turn.asked)
            self._report.note_waited(turn.job, now - turn.asked.arrived_at, None)
        elif turn.decision.verdict is Verdict.SERVE:
            self.end(turn)

    def _schedule_wake(self, service: ServiceName, at: float | None, now: float) -> None:
        wake = self._wakes.pop(service, None)
        if wake is not None:
            wake.cancel()
        if at is None or not self._waiting[service]:
            return
        loop = asyncio.get_running_loop()
        delay_s = max(MIN_WAKE_S, at - now)
        self._wakes[service] = loop.call_later(delay_s, self._release, service)


def _asked(job: Job, now: float) -> Asked:
    exchange = job.exchange
    target_at = exchange.received_at + job.route.target_latency_s
    if job.may_have_run:
        # Its rejection would say nothing of use to the caller, so a late answer is better.
        target_at = job.ends_at
    return Asked(
        workspace=job.workspace_name or NO_WORKSPACE,
        rank=job.rank,
        work=work_of(job.demand, job.unshared_tokens),
        is_stream=job.route.rule.is_stream,
        base_s=prefill_s(job.unshared_tokens),
        target_at=target_at,
        ends_at=job.ends_at,
        arrived_at=now,
        size_bytes=len(exchange.body) + HEADER_BYTES * len(exchange.headers),
        returns=lambda: _return_key(job),
        sent_before=bool(job.tried),
    )


def _return_key(job: Job) -> ReturnKey:
    return ReturnKey(
        caller=job.demand.key or b"", target=job.exchange.target, fingerprint=job.fingerprint
    )
