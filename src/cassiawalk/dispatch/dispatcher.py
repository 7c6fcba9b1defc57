"""Accepts requests and executes each in its own task."""

import asyncio
import collections.abc as cabc
import dataclasses

import eliot

from cassiawalk.admission import AdmissionGate
from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.control.state import PoolType
from cassiawalk.dispatch.runner import Runner
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.metrics import Metrics
from cassiawalk.requests import HandedOver
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestState
from cassiawalk.requests import RequestStore
from cassiawalk.requests.answer import failed_event
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

DRAIN_POLL_INTERVAL_S = 0.05
ABANDON_GRACE_S = 2.0


@dataclasses.dataclass(kw_only=True, eq=False)
class _Run:
    """A request in execution: its record, its pool type and its task."""

    record: RequestRecord
    pool_type: PoolType
    task: asyncio.Task[None]


class Dispatcher(Component):
    """Owns the requests of this host from admission to their final event.

    :param runners: the runner for each pool type.
    :param once_runner: the runner of at-most-once requests, whatever their pool type.
    """

    def __init__(
        self,
        *,
        gate: AdmissionGate,
        runners: cabc.Mapping[PoolType, Runner],
        once_runner: Runner,
        store: RequestStore,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._gate = gate
        self._runners = runners
        self._once_runner = once_runner
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._runs: dict[RequestId, _Run] = {}
        self.draining = False
        self.closed = False

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests are accepted: not draining and not closed by an operator."""
        return not self.draining and not self.closed

    def submit(self, record: RequestRecord, pool_type: PoolType) -> Refusal | None:
        """Accept the request and start it, or return the reason for refusing it."""
        refusal = self._refusal(record)
        if refusal is not None:
            self._metrics.note_refusal(record, refusal)
            return refusal
        self._store.add(record)
        record.add_detach_listener(self._on_last_reader_left)
        self._start(record, pool_type)
        return None

    def accept_handover(self, record: RequestRecord, pool_type: PoolType) -> None:
        """Continue a request that another host accepted."""
        self._store.replace(record)
        self._start(record, pool_type)

    async def suspend(self, record: RequestRecord) -> PoolType | None:
        """Stop executing a request and return its pool type, or None if it has already ended.

        The record gets no final event; follow up with ``resume`` or ``mark_handed_over``.
        """
        run = self._runs.pop(record.request_id, None)
        if run is None:
            return None
        run.task.cancel()
        await asyncio.gather(run.task, return_exceptions=True)
        return None if record.is_final else run.pool_type

    def resume(self, record: RequestRecord, pool_type: PoolType) -> None:
        """Continue a suspended request on this host."""
        record.state = RequestState.WAITING
        self._start(record, pool_type)

    def mark_handed_over(self, record: RequestRecord, host: HostId) -> None:
        """Finish a suspended request here because ``host`` continues it."""
        record.add(HandedOver(host=host))
        self._metrics.note_handover(record)
        self._store.finish(record, RequestState.HANDED_OVER)

    async def abort(self, record: RequestRecord, refusal: Refusal) -> None:
        """Stop a request and send its caller the refusal as the final answer."""
        await self.suspend(record)
        self._end(record, refusal)

    async def begin_drain(self) -> None:
        """Stop accepting new requests."""
        self.draining = True

    async def drain(self) -> None:
        """Stop accepting new requests and return once all accepted ones have ended."""
        self.draining = True
        while self._store.unfinished():
            await self._clock.sleep(DRAIN_POLL_INTERVAL_S)

    def _refusal(self, record: RequestRecord) -> Refusal | None:
        if not self.accepts_requests:
            return Refusal(
                code=ResultCode.DRAINING, detail="this host is stopping", retry_after_s=0.0
            )
        return self._gate.check(record)

    def _start(self, record: RequestRecord, pool_type: PoolType) -> None:
        once = record.kind.mode is KindMode.AT_MOST_ONCE
        runner = self._once_runner if once else self._runners[pool_type]
        task = self.spawn(self._run(record, runner), name=f"request-{record.request_id}")
        self._runs[record.request_id] = _Run(record=record, pool_type=pool_type, task=task)

    async def _run(self, record: RequestRecord, runner: Runner) -> None:
        with eliot.start_action(
            action_type="request",
            request_id=record.request_id,
            workspace=record.workspace,
            service=record.service,
            kind=record.kind_name,
        ) as action:
            refusal = await self._run_catching_errors(record, runner)
            self._runs.pop(record.request_id, None)
            self._end(record, refusal)
            action.add_success_fields(
                state=record.state.value, attempts=record.attempt, tokens=record.tokens
            )

    async def _run_catching_errors(self, record: RequestRecord, runner: Runner) -> Refusal | None:
        """Return the runner's refusal; an exception in the runner becomes an internal error."""
        try:
            return await runner.run(record)
        except Exception as exc:
            eliot.log_message(message_type="request:fault", error=repr(exc))
            return Refusal(
                code=ResultCode.INTERNAL,
                detail=f"internal error of type {type(exc).__name__}",
                retry_after_s=1.0,
                execution=Execution.UNKNOWN if record.attempt else Execution.NOT_RUN,
            )

    def _end(self, record: RequestRecord, refusal: Refusal | None) -> None:
        if refusal is not None:
            record.add(failed_event(refusal))
            self._metrics.note_refusal(record, refusal)
            self._store.finish(record, RequestState.FAILED)
            return
        self._metrics.note_complete(record, self._clock.monotonic())
        self._store.finish(record, RequestState.DONE)

    def _on_last_reader_left(self, record: RequestRecord) -> None:
        """Schedule the cancellation of a quick request that has no reader left.

        The delay of ``ABANDON_GRACE_S`` gives the caller time to attach again.
        """
        if record.kind.mode is KindMode.QUICK and not self.draining:
            self.spawn(self._cancel_if_unread(record), name=f"abandon-{record.request_id}")

    async def _cancel_if_unread(self, record: RequestRecord) -> None:
        await self._clock.sleep(ABANDON_GRACE_S)
        if record.readers or record.is_final or self.draining:
            return
        ran = Execution.UNKNOWN if record.attempt else Execution.NOT_RUN
        detail = f"no caller has read the answer for {ABANDON_GRACE_S:g} s"
        refusal = Refusal(code=ResultCode.ABANDONED, detail=detail, execution=ran)
        await self.abort(record, refusal)
