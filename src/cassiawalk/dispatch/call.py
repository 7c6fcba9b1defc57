"""Runs idempotent requests on plain services."""

from cassiawalk.admission import Scheduler
from cassiawalk.admission import SlotLease
from cassiawalk.clock import Clock
from cassiawalk.dispatch.connector import Connector
from cassiawalk.dispatch.retry import RetryPolicy
from cassiawalk.dispatch.runner import Runner
from cassiawalk.ids import UpstreamId
from cassiawalk.metrics import Metrics
from cassiawalk.platform import CallAnswered
from cassiawalk.platform import CallOutcome
from cassiawalk.platform import ServiceCall
from cassiawalk.requests import Ended
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestState
from cassiawalk.requests import Result
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

_SERVER_ERROR = 500


async def send_call(
    record: RequestRecord, lease: SlotLease, *, connector: Connector, clock: Clock
) -> CallOutcome:
    """Send the request once to the leased upstream."""
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
    """Calls a plain service; a failed call is repeated within the retry budget."""

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
        """Run attempts until an answer, or until no attempt is left."""
        tried: frozenset[UpstreamId] = frozenset()
        while True:
            lease = await self._scheduler.acquire(record, exclude=tried)
            if isinstance(lease, Refusal):
                return lease
            try:
                outcome = await send_call(
                    record, lease, connector=self._connector, clock=self._clock
                )
            finally:
                self._scheduler.release(lease)
            if isinstance(outcome, CallAnswered) and outcome.status < _SERVER_ERROR:
                self._retries.budget(record.service).note_success()
                record.add(Result(status=outcome.status, body=outcome.body))
                record.add(Ended(tokens=0))
                return None
            if not isinstance(outcome, CallAnswered):
                lease.upstream.fire("note_failure")
            tried = tried | {lease.upstream.upstream_id}
            record.retries += 1
            record.state = RequestState.WAITING
            if not await self._retries.permit(record.service, record.retries, record.deadline_s):
                return _exhausted(outcome)
            self._metrics.note_retry(record)


def _exhausted(outcome: CallOutcome) -> Refusal:
    answered = isinstance(outcome, CallAnswered)
    detail = f"status {outcome.status}" if isinstance(outcome, CallAnswered) else outcome.reason
    code = ResultCode.UPSTREAM_REJECTED if answered else ResultCode.RETRIES_EXHAUSTED
    return Refusal(code=code, detail=detail, retry_after_s=1.0)
