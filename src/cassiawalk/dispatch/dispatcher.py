"""Accepts requests and runs each in a task of its own."""

import collections.abc as cabc

import eliot

from cassiawalk.admission import AdmissionGate
from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.control.state import PoolType
from cassiawalk.dispatch.runner import Runner
from cassiawalk.metrics import Metrics
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestState
from cassiawalk.requests import RequestStore
from cassiawalk.requests.answer import failed
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

DRAIN_CHECK_S = 0.05


class Dispatcher(Component):
    """Owns the requests of this host from admission to their final event."""

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
        self.draining = False

    def submit(self, record: RequestRecord, pool_type: PoolType) -> Refusal | None:
        """Accept the request and start it, or return why it is refused."""
        refusal = self._refusal(record)
        if refusal is not None:
            self._metrics.note_refusal(record, refusal)
            return refusal
        self._store.add(record)
        once = record.kind.mode is KindMode.AT_MOST_ONCE
        runner = self._once_runner if once else self._runners[pool_type]
        self.spawn(self._run(record, runner), name=f"request-{record.request_id}")
        return None

    async def drain(self) -> None:
        """Refuse new requests and return once all accepted ones have ended."""
        self.draining = True
        while self._store.unfinished():
            await self._clock.sleep(DRAIN_CHECK_S)

    def _refusal(self, record: RequestRecord) -> Refusal | None:
        if self.draining:
            return Refusal(
                code=ResultCode.DRAINING, detail="this host is stopping", retry_after_s=0.0
            )
        return self._gate.check(record)

    async def _run(self, record: RequestRecord, runner: Runner) -> None:
        with eliot.start_action(
            action_type="request",
            request_id=record.request_id,
            workspace=record.workspace,
            service=record.service,
            kind=record.kind_name,
        ) as action:
            refusal = await runner.run(record)
            state = RequestState.DONE if refusal is None else RequestState.FAILED
            if refusal is not None:
                record.add(failed(refusal))
                self._metrics.note_refusal(record, refusal)
            else:
                self._metrics.note_complete(record, self._clock.monotonic())
            self._store.finish(record, state)
            action.add_success_fields(
                state=state.value, attempts=record.attempt, tokens=record.tokens
            )
