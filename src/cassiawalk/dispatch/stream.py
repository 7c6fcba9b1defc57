"""Executes requests on model engines and resumes them elsewhere if an engine fails or leaves."""

import asyncio
import contextlib
import dataclasses

from cassiawalk.admission import Scheduler
from cassiawalk.clients import EngineRequest
from cassiawalk.clients import Finished
from cassiawalk.clients import Interrupted
from cassiawalk.clients import Tokens
from cassiawalk.clients.engine import InterruptReason
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.crashes import CrashGuard
from cassiawalk.crashes import IsolatedRun
from cassiawalk.dispatch.connector import Connector
from cassiawalk.dispatch.migrator import StreamMigrator
from cassiawalk.dispatch.migrator import estimate_tokens
from cassiawalk.dispatch.placement import Placement
from cassiawalk.dispatch.retry import RetryPolicy
from cassiawalk.dispatch.runner import Runner
from cassiawalk.ids import UpstreamId
from cassiawalk.metrics import Metrics
from cassiawalk.requests import Ended
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestState
from cassiawalk.requests import Text
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.routing import UpstreamState
from cassiawalk.routing import UpstreamView
from cassiawalk.routing.score import engine_priority

RETRY_AFTER_S = 1.0
ISOLATION_RETRY_S = 0.25
_DEPARTURE_STATES = (UpstreamState.LEAVING, UpstreamState.GONE)
_Ending = Finished | Interrupted | Placement | Refusal


@dataclasses.dataclass(kw_only=True)
class _Progress:
    """The upstreams that a request was tried on, and whether it was sent to one of them."""

    sent: bool
    tried: frozenset[UpstreamId] = frozenset()

    def update(self, record: RequestRecord, ending: _Ending) -> None:
        """Update the progress with the result of an attempt."""
        if record.upstream is not None:
            self.tried = self.tried | {record.upstream}
        if not isinstance(ending, Interrupted) or ending.sent:
            self.sent = True


class StreamRunner(Runner):
    """Streams tokens; an interrupted stream resumes on another engine after its last token."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        connector: Connector,
        migrator: StreamMigrator,
        guard: CrashGuard,
        retries: RetryPolicy,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._scheduler = scheduler
        self._connector = connector
        self._migrator = migrator
        self._guard = guard
        self._retries = retries
        self._clock = clock
        self._metrics = metrics

    async def run(self, record: RequestRecord) -> Refusal | None:
        """Make attempts until the end marker arrives or no further attempt is allowed."""
        progress = _Progress(sent=record.attempt > 0)
        refusal = await self._run(record, progress)
        if refusal is not None and progress.sent:
            # The default for the refusal's code may be "not run", but an attempt was sent.
            return dataclasses.replace(refusal, execution=refusal.execution or Execution.RAN)
        if refusal is not None and record.attempt:
            return dataclasses.replace(refusal, execution=Execution.NOT_RUN)
        return refusal

    async def _run(self, record: RequestRecord, progress: _Progress) -> Refusal | None:
        while True:
            left_s = record.deadline_s - self._clock.wall()
            admitted = await self._guard.screen(record, left_s=left_s)
            if isinstance(admitted, Refusal):
                return admitted
            async with contextlib.AsyncExitStack() as stack:
                if isinstance(admitted, IsolatedRun):
                    await stack.enter_async_context(admitted)
                ending = await self._run_with_migrations(record, progress, admitted)
            if isinstance(ending, Finished):
                return self._complete(record, ending)
            if isinstance(ending, Refusal):
                return ending
            refusal = await self._after_interruption(record, ending)
            if refusal is not None:
                return refusal

    async def _run_with_migrations(
        self, record: RequestRecord, progress: _Progress, isolated: IsolatedRun | None
    ) -> Finished | Interrupted | Refusal:
        """Make one attempt and those that follow it by migration."""
        placement = await self._place(record, progress, isolated)
        if isinstance(placement, Refusal):
            return placement
        ending: _Ending = placement
        while isinstance(ending, Placement):
            ending = await self._attempt(record, ending, isolated)
            progress.update(record, ending)
        return ending

    async def _place(
        self, record: RequestRecord, progress: _Progress, isolated: IsolatedRun | None
    ) -> Placement | Refusal:
        """Return a placement for the next attempt.

        A request suspected of crashing engines gets an upstream on which no other suspect runs.
        """
        while True:
            occupied = frozenset() if isolated is None else isolated.occupied()
            lease = await self._scheduler.acquire(record, exclude=progress.tried | occupied)
            if isinstance(lease, Refusal):
                return lease
            if isolated is None:
                return Placement(lease=lease)
            reserved = False
            try:
                reserved = await isolated.reserve(lease.upstream)
            finally:
                if not reserved:
                    self._scheduler.release(lease)
            if reserved:
                return Placement(lease=lease)
            await self._clock.sleep(ISOLATION_RETRY_S)

    async def _attempt(
        self, record: RequestRecord, placement: Placement, isolated: IsolatedRun | None
    ) -> _Ending:
        view = placement.lease.upstream
        record.attempt += 1
        record.state = RequestState.RUNNING
        record.upstream = view.upstream_id
        resumed = record.tokens
        req = EngineRequest(
            request_id=record.request_id,
            attempt=record.attempt,
            prompt=record.prompt,
            max_tokens=record.kind.max_tokens,
            priority=engine_priority(record),
            resume_text=record.text,
            resume_tokens=resumed,
            kv_handle=placement.kv_handle,
        )
        try:
            if isolated is not None:
                await isolated.reserve(view)
            with self._guard.running(record, view):
                ending = await self._read(record, view, req)
                if isinstance(ending, Interrupted):
                    await self._note_interruption(record, view, ending)
        finally:
            self._scheduler.release(placement.lease)
        if isinstance(ending, Interrupted) and view.state in _DEPARTURE_STATES:
            ending = dataclasses.replace(ending, reason=_departure_reason(ending.reason))
        if not isinstance(ending, Finished) and record.tokens > resumed:
            self._note_estimated_tokens(record, resumed, placement)
        return ending

    async def _read(self, record: RequestRecord, view: UpstreamView, req: EngineRequest) -> _Ending:
        """Return how the attempt ended, or the next placement if the stream is migrated."""
        ending = Interrupted(reason=InterruptReason.LEAVING, sent=True)
        async with self._migrator.watch(record, view) as stream:
            try:
                async with asyncio.timeout(None) as stream.scope:
                    last = await self._read_events(record, view, req)
            except TimeoutError:
                # The scope has no deadline of its own; it expires when the next placement is ready.
                last = ending
            finally:
                stream.scope = None
            if isinstance(last, Finished) or last.reason is InterruptReason.REJECTED:
                return last
            return await self._migrator.take(stream) or last

    async def _read_events(
        self, record: RequestRecord, view: UpstreamView, req: EngineRequest
    ) -> Finished | Interrupted:
        events = self._connector.engine(view).generate(req)
        async with contextlib.aclosing(events):
            async for event in events:
                if not isinstance(event, Tokens):
                    return event
                self._metrics.note_tokens(record, event.count, self._clock.monotonic())
                record.add(Text(count=event.count, text=event.text))
        return Interrupted(reason=InterruptReason.CONNECTION_LOST, sent=True)

    def _complete(self, record: RequestRecord, finished: Finished) -> Refusal | None:
        if finished.completion_tokens != record.tokens:
            return Refusal(
                code=ResultCode.UPSTREAM_REJECTED,
                detail=f"{record.tokens} tokens received, {finished.completion_tokens} reported",
            )
        self._guard.note_completed(record)
        self._retries.budget(record.service).note_success()
        self._metrics.note_computed(record, finished.computed_tokens, finished.cached_tokens)
        record.add(Ended(tokens=record.tokens))
        return None

    def _note_estimated_tokens(
        self, record: RequestRecord, resumed: int, placement: Placement
    ) -> None:
        """Estimate the tokens computed by an attempt that ended before its engine reported them."""
        context = estimate_tokens(record.prompt) + resumed
        cached = context if placement.kv_handle is not None else 0
        self._metrics.note_computed(record, context - cached, cached)

    async def _note_interruption(
        self, record: RequestRecord, view: UpstreamView, ending: Interrupted
    ) -> None:
        if ending.reason is InterruptReason.LEAVING:
            view.fire("note_leaving")
        elif ending.reason not in (InterruptReason.REFUSED, InterruptReason.REJECTED):
            view.fire("note_failure")
        if ending.reason is InterruptReason.CONNECTION_LOST:
            await self._guard.confirm_death(view)

    async def _after_interruption(
        self, record: RequestRecord, ending: Interrupted
    ) -> Refusal | None:
        """Return None if the request is to be retried, else the final refusal."""
        record.state = RequestState.WAITING
        quarantined = self._guard.refusal(record)
        if quarantined is not None:
            return quarantined
        if ending.reason is InterruptReason.REJECTED:
            return Refusal(code=ResultCode.UPSTREAM_REJECTED, detail=ending.detail)
        if ending.reason is InterruptReason.LEAVING:
            return None
        record.retries += 1
        must_arrive = record.kind.mode is KindMode.MUST_ARRIVE
        if await self._retries.permit(
            record.service, record.retries, record.deadline_s, wait_for_budget=must_arrive
        ):
            self._metrics.note_retry(record)
            return None
        detail = f"{record.retries} attempts failed, the last with: {ending.reason.value}"
        return Refusal(
            code=ResultCode.RETRIES_EXHAUSTED, detail=detail, retry_after_s=RETRY_AFTER_S
        )


def _departure_reason(reason: InterruptReason) -> InterruptReason:
    """Return the interrupt reason for an upstream that is leaving or has left.

    Unless the engine rejected the request it is ``LEAVING``, which uses no retry budget.
    """
    return reason if reason is InterruptReason.REJECTED else InterruptReason.LEAVING
