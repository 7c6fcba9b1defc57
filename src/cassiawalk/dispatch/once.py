"""Runs at-most-once requests: claim the key, send once, record the outcome."""

from cassiawalk.admission import Scheduler
from cassiawalk.clock import Clock
from cassiawalk.dispatch.call import send_call
from cassiawalk.dispatch.connector import Connector
from cassiawalk.dispatch.outcomes import OutcomeRecorder
from cassiawalk.dispatch.runner import Runner
from cassiawalk.ids import ClaimId
from cassiawalk.ids import HostId
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import new_uuid7
from cassiawalk.once import Abandon
from cassiawalk.once import Claim
from cassiawalk.once import ClaimClient
from cassiawalk.once import Granted
from cassiawalk.once import Outcome
from cassiawalk.once import Taken
from cassiawalk.once.records import body_digest
from cassiawalk.platform import CallAnswered
from cassiawalk.platform import CallFailed
from cassiawalk.requests import Ended
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import Result
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

IN_PROGRESS_RETRY_S = 1.0


class OnceRunner(Runner):
    """Dispatches a request only under a claim that won its key."""

    def __init__(
        self,
        *,
        host: HostId,
        incarnation: str,
        claims: ClaimClient,
        recorder: OutcomeRecorder,
        scheduler: Scheduler,
        connector: Connector,
        clock: Clock,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._claims = claims
        self._recorder = recorder
        self._scheduler = scheduler
        self._connector = connector
        self._clock = clock

    async def run(self, record: RequestRecord) -> Refusal | None:
        """Claim the key and run, or answer from the record of its earlier run."""
        claim = self._new_claim(record)
        decision = await self._claims.claim(claim)
        if isinstance(decision, Taken):
            return self._answer_taken(record, claim, decision)
        if not isinstance(decision, Granted):
            self._abandon(claim)
            return Refusal(
                code=ResultCode.CLAIM_UNAVAILABLE,
                detail=decision.reason,
                retry_after_s=decision.retry_after_s,
            )
        return await self._run_claimed(record, claim)

    def _new_claim(self, record: RequestRecord) -> Claim:
        return Claim(
            key=f"{record.workspace}/{record.key}",
            claim_id=ClaimId(new_uuid7()),
            body_digest=body_digest(
                service=record.service, kind=record.kind_name, body=record.body
            ),
            gateway=self._host,
            incarnation=self._incarnation,
            request_id=record.request_id,
            claimed_s=self._clock.wall(),
        )

    def _abandon(self, claim: Claim) -> None:
        self._recorder.submit(Abandon(key=claim.key, claim_id=claim.claim_id))

    def _answer_taken(self, record: RequestRecord, claim: Claim, taken: Taken) -> Refusal | None:
        if taken.claim.body_digest != claim.body_digest:
            return Refusal(
                code=ResultCode.KEY_REUSED,
                detail=f"key {record.key!r} was used for another request",
            )
        outcome = taken.outcome or self._recorder.outcome(taken.claim.claim_id)
        if outcome is not None:
            record.add(Result(status=outcome.status, body=outcome.body, recorded=True))
            record.add(Ended(tokens=0))
            return None
        return Refusal(
            code=ResultCode.IN_PROGRESS,
            detail=f"request {taken.claim.request_id} holds the key",
            retry_after_s=IN_PROGRESS_RETRY_S,
        )

    async def _run_claimed(self, record: RequestRecord, claim: Claim) -> Refusal | None:
        tried: frozenset[UpstreamId] = frozenset()
        while True:
            lease = await self._scheduler.acquire(record, exclude=tried)
            if isinstance(lease, Refusal):
                self._abandon(claim)
                return lease
            try:
                outcome = await send_call(
                    record, lease, connector=self._connector, clock=self._clock
                )
            finally:
                self._scheduler.release(lease)
            if isinstance(outcome, CallFailed) and not outcome.sent:
                lease.upstream.fire("note_failure")
                tried = tried | {lease.upstream.upstream_id}
                continue
            return await self._settle(record, claim, outcome)

    async def _settle(
        self, record: RequestRecord, claim: Claim, outcome: CallAnswered | CallFailed
    ) -> Refusal | None:
        if isinstance(outcome, CallFailed):
            return Refusal(
                code=ResultCode.OUTCOME_UNKNOWN,
                detail=f"the call was sent and no whole answer came: {outcome.reason}",
                execution=Execution.UNKNOWN,
            )
        await self._recorder.submit_and_wait(
            Outcome(
                key=claim.key,
                claim_id=claim.claim_id,
                status=outcome.status,
                body=outcome.body,
            )
        )
        record.add(Result(status=outcome.status, body=outcome.body))
        record.add(Ended(tokens=0))
        return None
