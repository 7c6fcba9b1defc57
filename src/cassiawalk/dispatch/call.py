"""Executes idempotent requests on plain services."""

import dataclasses
import typing as t

from cassiawalk.admission import Scheduler
from cassiawalk.admission import SlotLease
from cassiawalk.clients import CallAnswered
from cassiawalk.clients import CallOutcome
from cassiawalk.clients import ServiceCall
from cassiawalk.clock import Clock
from cassiawalk.control.state import KindMode
from cassiawalk.dispatch.connector import Connector
from cassiawalk.dispatch.retry import RetryPolicy
from cassiawalk.dispatch.runner import Runner
from cassiawalk.ids import UpstreamId
from cassiawalk.metrics import Metrics
from cassiawalk.requests import Ended
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestState
from cassiawalk.requests import Result
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.routing import UpstreamState

RETRY_AFTER_S = 1.0
_DEPARTURE_STATES = (UpstreamState.LEAVING, UpstreamState.GONE)


async def send_call(
    record: RequestRecord, lease: SlotLease, *, connector: Connector, clock: Clock
) -> CallOutcome:
    """Send the request once to the leased upstream, and count the attempt.

    The call times out at the request's deadline.
    """
    record.attempt += 1
    record.state = RequestState.RUNNING
    record.upstream = lease.upstream.upstream_id
    call = ServiceCall(
        request_id=record.request_id,
        path=record.kind.path,
        body=record.body,
        key=record.key,
        workspace=record.workspace,
        timeout_s=max(0.0, record.deadline_s - clock.wall()),
    )
    return await connector.plain(lease.upstream).call(call)


class CallRunner(Runner):
    """Calls a plain service and retries failed calls within the retry budget.

    A failure on an upstream that is leaving or has left does not count against the budget.
    """

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
        """Make attempts until the service answers or no further attempt is allowed.

        An upstream that was tried is excluded from later attempts.
        """
        tried: frozenset[UpstreamId] = frozenset()
        ran = record.attempt > 0
        while True:
            lease = await self._scheduler.acquire(record, exclude=tried)
            if isinstance(lease, Refusal):
                return _with_execution(lease, ran)
            outcome = await self._send(record, lease)
            ran = ran or isinstance(outcome, CallAnswered) or outcome.sent
            if _is_result(outcome):
                self._complete(record, outcome)
                return None
            refusal = await self._after_failure(record, lease, outcome)
            if refusal is not None:
                return _with_execution(refusal, ran)
            tried = tried | {lease.upstream.upstream_id}

    async def _send(self, record: RequestRecord, lease: SlotLease) -> CallOutcome:
        try:
            return await send_call(record, lease, connector=self._connector, clock=self._clock)
        finally:
            self._scheduler.release(lease)

    def _complete(self, record: RequestRecord, answer: CallAnswered) -> None:
        self._retries.budget(record.service).note_success()
        record.add(Result(status=answer.status, body=answer.body))
        record.add(Ended(tokens=0))

    async def _after_failure(
        self, record: RequestRecord, lease: SlotLease, outcome: CallOutcome
    ) -> Refusal | None:
        """Return None if the request is to be retried, else the final refusal."""
        record.state = RequestState.WAITING
        if self._clock.wall() >= record.deadline_s:
            return Refusal(
                code=ResultCode.DEADLINE_PASSED_RUNNING,
                detail="the upstream did not answer before the deadline",
                retry_after_s=RETRY_AFTER_S,
            )
        if not isinstance(outcome, CallAnswered):
            lease.upstream.fire("note_failure")
        if lease.upstream.state in _DEPARTURE_STATES:
            return None
        record.retries += 1
        must_arrive = record.kind.mode is KindMode.MUST_ARRIVE
        if not await self._retries.permit(
            record.service, record.retries, record.deadline_s, wait_for_budget=must_arrive
        ):
            return _failure_refusal(outcome)
        self._metrics.note_retry(record)
        return None


def _is_result(outcome: CallOutcome) -> t.TypeGuard[CallAnswered]:
    return isinstance(outcome, CallAnswered) and outcome.is_result


def _with_execution(refusal: Refusal, ran: bool) -> Refusal:
    """Return the refusal, stating whether an attempt ran unless it says so already."""
    execution = Execution.RAN if ran else Execution.NOT_RUN
    return dataclasses.replace(refusal, execution=refusal.execution or execution)


def _failure_refusal(outcome: CallOutcome) -> Refusal:
    answered = isinstance(outcome, CallAnswered)
    detail = f"status {outcome.status}" if isinstance(outcome, CallAnswered) else outcome.reason
    code = ResultCode.UPSTREAM_REJECTED if answered else ResultCode.RETRIES_EXHAUSTED
    return Refusal(code=code, detail=detail, retry_after_s=RETRY_AFTER_S)
