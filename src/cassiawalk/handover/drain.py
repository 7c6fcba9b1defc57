"""Drains a host that is being stopped or reclaimed."""

import asyncio

import eliot

from cassiawalk.app import Component
from cassiawalk.clients import CloudApi
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.dispatch import Dispatcher
from cassiawalk.handover.outcomes import OutcomeHandover
from cassiawalk.handover.plan import DrainPlan
from cassiawalk.handover.plan import DrainWindow
from cassiawalk.handover.plan import drain_window
from cassiawalk.handover.receiver import HandoverReceiver
from cassiawalk.handover.sender import HandoverSender
from cassiawalk.handover.targets import TargetSelector
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.membership import LeavingSource
from cassiawalk.membership import Membership
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestStore
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

CHECK_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.5
LOG_WAIT_S = 2.0


class DrainController(Component):
    """Lets requests finish, hands over those that cannot finish in time, and reports losses.

    :param limit_s: the time limit of a planned stop, in seconds.
    :param notice_s: the time assumed to be left when a reclaim states none, in seconds.
    """

    def __init__(
        self,
        *,
        host: HostId,
        membership: Membership,
        cloud: CloudApi,
        dispatcher: Dispatcher,
        store: RequestStore,
        sender: HandoverSender,
        receiver: HandoverReceiver,
        targets: TargetSelector,
        outcomes: OutcomeHandover,
        clock: Clock,
        limit_s: float,
        notice_s: float,
    ) -> None:
        self._host = host
        self._membership = membership
        self._cloud = cloud
        self._dispatcher = dispatcher
        self._store = store
        self._sender = sender
        self._receiver = receiver
        self._targets = targets
        self._outcomes = outcomes
        self._clock = clock
        self._limit_s = limit_s
        self._notice_s = notice_s
        self._plan = DrainPlan(clock=clock)
        self._stop_window: DrainWindow | None = None
        self._reclaim_window: DrainWindow | None = None
        self._drain_task: asyncio.Task[None] | None = None
        self._in_handover: set[RequestId] = set()
        self._retry_at: dict[RequestId, float] = {}

    async def start(self) -> None:
        """Start watching for a reclaim of this host; one that is already known starts a drain."""
        self._membership.add_leaving_listener(self._on_leaving)
        if self._membership.is_leaving(self._host):
            self._on_leaving(self._host, LeavingSource.HOST_LIST)

    async def begin_drain(self) -> None:
        """Start the drain for a planned stop."""
        self.begin_stop(self._limit_s)

    async def drain(self) -> None:
        """Return once the drain has ended and no request is left on this host."""
        if self._drain_task is not None:
            await self._drain_task

    def begin_stop(self, left_s: float) -> None:
        """Drain the host within ``left_s`` seconds, or sooner if a reclaim requires it."""
        self._stop_window = drain_window(now=self._clock.monotonic(), left_s=left_s)
        self._begin()

    @property
    def _window(self) -> DrainWindow:
        """Return the window that ends first."""
        windows = [item for item in (self._stop_window, self._reclaim_window) if item is not None]
        return min(windows, key=lambda item: item.end_at)

    def _begin(self) -> None:
        self._dispatcher.draining = True
        if self._drain_task is None or self._drain_task.done():
            self._drain_task = self.spawn(self._run_drain(), name="drain")

    def _on_leaving(self, host: HostId, source: LeavingSource) -> None:
        if host != self._host:
            return
        self._reclaim_window = drain_window(now=self._clock.monotonic(), left_s=self._notice_s)
        self._begin()
        self.spawn(self._read_notice(), name="drain-notice")

    async def _read_notice(self) -> None:
        """Query the cloud API for the time left; without an answer the assumed notice applies."""
        notices = await self._cloud.notices(after=0, wait_s=0.0)
        times = [item.reclaim_s for item in notices or () if item.host == self._host]
        if not times:
            return
        left_s = max(0.0, times[-1] - self._clock.wall())
        self._reclaim_window = drain_window(now=self._clock.monotonic(), left_s=left_s)
        eliot.log_message(message_type="drain:reclaim", left_s=left_s)

    async def _run_drain(self) -> None:
        await self._targets.refresh()
        while records := self._store.unfinished():
            window = self._window
            if self._clock.monotonic() >= window.end_at:
                break
            for record in self._plan.to_hand_over(records, window):
                self._start_handover(record, window)
            await self._clock.sleep(CHECK_INTERVAL_S)
        await self._abort_remaining()
        await self._hand_over_records()

    async def _hand_over_records(self) -> None:
        """Wait up to ``LOG_WAIT_S`` for the log, then hand pending records over to another host."""
        log_wait_until = self._clock.monotonic() + LOG_WAIT_S
        while self._outcomes.has_pending:
            window = self._window
            now = self._clock.monotonic()
            if now >= min(log_wait_until, window.end_at) and await self._outcomes.hand_over():
                return
            await self._clock.sleep(CHECK_INTERVAL_S)

    def _start_handover(self, record: RequestRecord, window: DrainWindow) -> None:
        request_id = record.request_id
        waits = self._retry_at.get(request_id, 0.0) > self._clock.monotonic()
        if request_id in self._in_handover or waits:
            return
        self._in_handover.add(request_id)
        self.spawn(self._hand_over(record, window), name=f"handover-{request_id}")

    async def _hand_over(self, record: RequestRecord, window: DrainWindow) -> None:
        try:
            host = await self._sender.hand_over(record, by_s=window.end_at)
            self._retry_at[record.request_id] = self._clock.monotonic() + RETRY_INTERVAL_S
            if host is not None:
                await self._receiver.announce_moved(record, host)
        finally:
            self._in_handover.discard(record.request_id)

    async def _abort_remaining(self) -> None:
        """Abort the requests that neither ended nor were handed over in time."""
        for record in self._store.unfinished():
            refusal = _abort_refusal(record)
            eliot.log_message(
                message_type="drain:lost",
                request_id=record.request_id,
                workspace=record.workspace,
                ran=refusal.ran.value,
                tokens=record.tokens,
            )
            await self._dispatcher.abort(record, refusal)


def _abort_refusal(record: RequestRecord) -> Refusal:
    if record.attempt == 0:
        return Refusal(
            code=ResultCode.DRAINING,
            detail="the host left before the request was dispatched",
            retry_after_s=0.0,
        )
    if record.kind.mode is KindMode.AT_MOST_ONCE:
        return Refusal(
            code=ResultCode.OUTCOME_UNKNOWN,
            detail="the host left while the call ran; retry with the same key",
            execution=Execution.UNKNOWN,
        )
    return Refusal(
        code=ResultCode.RECLAIMED,
        detail=f"the host left after {record.tokens} tokens and no host took the request over",
        retry_after_s=0.0,
    )
