"""Runs a request on model engines, and resumes it elsewhere when one fails or leaves."""

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
SOLO_WAIT_S = 0.25
_EXPLAINED = (UpstreamState.LEAVING, UpstreamState.GONE)
_Ending = Finished | Interrupted | Placement | Refusal


@dataclasses.dataclass(kw_only=True)
class _Progress:
    """The upstreams that a request was tried on, and whether one of them got it."""

    sent: bool
    tried: frozenset[UpstreamId] = frozenset()

    def note(self, record: RequestRecord, ending: _Ending) -> None:
        """Take an attempt into account."""
        if record.upstream is not None:
            self.tried = self.tried | {record.upstream}
        if not isinstance(ending, Interrupted) or ending.sent:
            self.sent = True


class StreamRunner(Runner):
    """Streams tokens; a cut stream continues on another engine from the tokens so far."""

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
        self._mover = migrator
        self._guard = guard
        self._retries = retries
        self._clock = clock
        self._metrics = metrics

    async def run(self, record: RequestRecord) -> Refusal | None:
        """Run attempts until the end marker, or until no attempt is left."""
        progress = _Progress(sent=record.attempt > 0)
        refusal = await self._run(record, progress)
        if refusal is not None and progress.sent:
            # The code's default may say "not run"; an attempt was sent, so that is not so.
            return dataclasses.replace(refusal, execution=refusal.execution or Execution.RAN)
        if refusal is not None and record.attempt:
            return dataclasses.replace(refusal, execution=Execution.NOT_RUN)
        return refusal

    async def _run(self, record: RequestRecord, progress: _Progress) -> Refusal | None:
        while True:
            admitted = await self._guard.screen(record)
            if isinstance(admitted, Refusal):
                return admitted
            async with contextlib.AsyncExitStack() as stack:
                if isinstance(admitted, IsolatedRun):
                    await stack.enter_async_context(admitted)
                ending = await self._run_placed(record, progress, admitted)
            if isinstance(ending, Finished):
                return self._complete(record, ending)
            if isinstance(ending, Refusal):
                return ending
            refusal = await self._after_interruption(record, ending)
            if refusal is not None:
                return refusal

    async def _run_placed(
        self, record: RequestRecord, progress: _Progress, solo: IsolatedRun | None
    ) -> Finished | Interrupted | Refusal:
        """Run one attempt and those that follow it by moves."""
        place = await self._place(record, progress, solo)
        if isinstance(place, Refusal):
            return place
        ending: _Ending = place
        while isinstance(ending, Placement):
            ending = await self._attempt(record, ending, solo)
            progress.note(record, ending)
        return ending

    async def _place(
        self, record: RequestRecord, progress: _Progress, solo: IsolatedRun | None
    ) -> Placement | Refusal:
        """Return a slot; for a suspect request on an upstream where no other suspect runs."""
        while True:
            busy = frozenset() if solo is None else solo.occupied(record.pool)
            lease = await self._scheduler.acquire(record, exclude=progress.tried | busy)
            if isinstance(lease, Refusal):
                return lease
            if solo is None:
                return Placement(lease=lease)
            reserved = False
            try:
                reserved = await solo.reserve(lease.upstream)
            finally:
                if not reserved:
                    self._scheduler.release(lease)
            if reserved:
                return Placement(lease=lease)
            await self._clock.sleep(SOLO_WAIT_S)

    async def _attempt(
        self, record: RequestRecord, place: Placement, solo: IsolatedRun | None
    ) -> _Ending:
        view = place.lease.upstream
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
            kv_handle=place.kv_handle,
        )
        try:
            if solo is not None:
                await solo.reserve(view)
            with self._guard.running(record, view):
                ending = await self._read(record, view, req)
                if isinstance(ending, Interrupted):
                    await self._note_interruption(record, view, ending)
        finally:
            self._scheduler.release(place.lease)
        if isinstance(ending, Interrupted) and view.state in _EXPLAINED:
            ending = dataclasses.replace(ending, reason=_explained(ending.reason))
        if not isinstance(ending, Finished) and record.tokens > resumed:
            self._note_unreported(record, resumed, place)
        return ending

    async def _read(self, record: RequestRecord, view: UpstreamView, req: EngineRequest) -> _Ending:
        """Return the attempt's end, or the next place if the stream is to move there."""
        ending = Interrupted(reason=InterruptReason.LEAVING, sent=True)
        async with self._mover.watch(record, view) as stream:
            try:
                async with asyncio.timeout(None) as stream.scope:
                    last = await self._read_events(record, view, req)
            except TimeoutError:
                # The scope has no deadline of its own: the next place is ready.
                last = ending
            finally:
                stream.scope = None
            if isinstance(last, Finished) or last.reason is InterruptReason.REJECTED:
                return last
            return await self._mover.take(stream) or last

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
                detail=f"{record.tokens} tokens came, {finished.completion_tokens} were announced",
            )
        self._guard.note_completed(record)
        self._retries.budget(record.service).note_success()
        self._metrics.note_computed(record, finished.computed_tokens, finished.cached_tokens)
        record.add(Ended(tokens=record.tokens))
        return None

    def _note_unreported(self, record: RequestRecord, resumed: int, place: Placement) -> None:
        """Count about what an attempt computed that ended before its engine's own figures."""
        stake = estimate_tokens(record.prompt) + resumed
        saved = stake if place.kv_handle is not None else 0
        self._metrics.note_computed(record, stake - saved, saved)

    async def _note_interruption(
        self, record: RequestRecord, view: UpstreamView, ending: Interrupted
    ) -> None:
        if ending.reason is InterruptReason.LEAVING:
            view.fire("note_leaving")
        elif ending.reason not in (InterruptReason.REFUSED, InterruptReason.REJECTED):
            view.fire("note_failure")
        if ending.reason is InterruptReason.CONNECTION_LOST:
            await self._guard.confirm_death(record, view)

    async def _after_interruption(
        self, record: RequestRecord, ending: Interrupted
    ) -> Refusal | None:
        """Return None to try again, or the final answer."""
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
            record.service, record.retries, record.deadline_s, waits=must_arrive
        ):
            self._metrics.note_retry(record)
            return None
        detail = f"{record.retries} attempts failed, the last: {ending.reason.value}"
        return Refusal(
            code=ResultCode.RETRIES_EXHAUSTED, detail=detail, retry_after_s=RETRY_AFTER_S
        )


def _explained(reason: InterruptReason) -> InterruptReason:
    """Return the reason on an upstream that was leaving; it uses no retry budget."""
    return reason if reason is InterruptReason.REJECTED else InterruptReason.LEAVING
