"""Runs a request on model engines, and resumes it elsewhere when one fails."""

import contextlib

from cassiawalk.admission import Scheduler
from cassiawalk.admission import SlotLease
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.dispatch.connector import Connector
from cassiawalk.dispatch.retry import RetryPolicy
from cassiawalk.dispatch.runner import Runner
from cassiawalk.ids import UpstreamId
from cassiawalk.metrics import Metrics
from cassiawalk.platform import EngineRequest
from cassiawalk.platform import Finished
from cassiawalk.platform import Interrupted
from cassiawalk.platform import Tokens
from cassiawalk.platform.engine import InterruptReason
from cassiawalk.requests import Ended
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestState
from cassiawalk.requests import Text
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.routing.score import engine_priority


class StreamRunner(Runner):
    """Streams tokens; a cut stream continues on another engine from the tokens so far."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        connector: Connector,
        retries: RetryPolicy,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._scheduler = scheduler
        self._connector = connector
        self._retries = retries
        self._clock = clock
        self._metrics = metrics

    async def run(self, record: RequestRecord) -> Refusal | None:
        """Run attempts until the end marker, or until no attempt is left."""
        tried: frozenset[UpstreamId] = frozenset()
        while True:
            lease = await self._scheduler.acquire(record, exclude=tried)
            if isinstance(lease, Refusal):
                return lease
            ending = await self._attempt(record, lease)
            if isinstance(ending, Finished):
                return self._complete(record, ending)
            tried = tried | {lease.upstream.upstream_id}
            refusal = await self._after_interruption(record, lease, ending)
            if refusal is not None:
                return refusal

    async def _attempt(self, record: RequestRecord, lease: SlotLease) -> Finished | Interrupted:
        record.attempt += 1
        record.state = RequestState.RUNNING
        record.upstream = lease.upstream.upstream_id
        req = EngineRequest(
            request_id=record.request_id,
            attempt=record.attempt,
            prompt=record.prompt,
            max_tokens=record.kind.max_tokens,
            priority=engine_priority(record),
            resume_text=record.text,
            resume_tokens=record.tokens,
        )
        try:
            return await self._read(record, lease, req)
        finally:
            self._scheduler.release(lease)

    async def _read(
        self, record: RequestRecord, lease: SlotLease, req: EngineRequest
    ) -> Finished | Interrupted:
        events = self._connector.engine(lease.upstream).generate(req)
        async with contextlib.aclosing(events):
            async for event in events:
                if isinstance(event, Tokens):
                    self._metrics.note_tokens(record, event.count, self._clock.monotonic())
                    record.add(Text(count=event.count, text=event.text))
                    continue
                return event
        return Interrupted(reason=InterruptReason.CONNECTION_LOST, sent=True)

    def _complete(self, record: RequestRecord, finished: Finished) -> Refusal | None:
        if finished.completion_tokens != record.tokens:
            return Refusal(
                code=ResultCode.UPSTREAM_REJECTED,
                detail=f"{record.tokens} tokens came, {finished.completion_tokens} were announced",
            )
        self._retries.budget(record.service).note_success()
        self._metrics.note_computed(record, finished.computed_tokens, finished.cached_tokens)
        record.add(Ended(tokens=record.tokens))
        return None

    async def _after_interruption(
        self, record: RequestRecord, lease: SlotLease, ending: Interrupted
    ) -> Refusal | None:
        """Return None to try again, or the final answer."""
        record.state = RequestState.WAITING
        if ending.reason is InterruptReason.REJECTED:
            return Refusal(code=ResultCode.UPSTREAM_REJECTED, detail=ending.detail)
        if ending.reason is InterruptReason.LEAVING:
            lease.upstream.fire("note_leaving")
            return None
        if ending.reason is not InterruptReason.REFUSED:
            lease.upstream.fire("note_failure")
        record.retries += 1
        must_arrive = record.kind.mode is KindMode.MUST_ARRIVE
        if await self._retries.permit(
            record.service, record.retries, record.deadline_s, waits=must_arrive
        ):
            self._metrics.note_retry(record)
            return None
        detail = f"{record.retries} attempts failed, the last: {ending.reason.value}"
        return Refusal(code=ResultCode.RETRIES_EXHAUSTED, detail=detail, retry_after_s=1.0)
