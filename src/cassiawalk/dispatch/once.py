"""Executes at-most-once requests: claim the key, send once, record the outcome."""

import asyncio
import typing as t

import eliot

from cassiawalk.admission import Scheduler
from cassiawalk.clients import CallAnswered
from cassiawalk.clients import CallFailed
from cassiawalk.clock import Clock
from cassiawalk.dispatch.call import send_call
from cassiawalk.dispatch.claim_tracker import ClaimTracker
from cassiawalk.dispatch.connector import Connector
from cassiawalk.dispatch.lookup import OutcomeLookUp
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
from cassiawalk.once import Unavailable
from cassiawalk.once.records import body_digest
from cassiawalk.peer import ClaimStatusReply
from cassiawalk.peer import HolderState
from cassiawalk.requests import Ended
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import Result
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

IN_PROGRESS_RETRY_S = 1.0
RELEASE_RETRY_S = 1.0
MAX_CLAIM_AGE_RATIO = 0.5
UNREACHABLE_RETRY_S = 5.0

# States in which the outcome is unknown, with the delay in seconds after which a caller may ask
# again; None if a retry cannot resolve the state.
_UNKNOWN_RETRY_S: t.Mapping[HolderState, float | None] = {
    HolderState.UNRESOLVED: None,
    HolderState.LOST: None,
    HolderState.UNREACHABLE: UNREACHABLE_RETRY_S,
}


class OnceRunner(Runner):
    """Sends a request only if its claim was granted the key.

    :param window_s: the idempotency window in seconds. A claim older than half of it is abandoned
        instead of sent, because another claim may be granted the key once the window has passed.
    """

    def __init__(
        self,
        *,
        host: HostId,
        incarnation: str,
        claims: ClaimClient,
        claim_tracker: ClaimTracker,
        recorder: OutcomeRecorder,
        look_up: OutcomeLookUp,
        scheduler: Scheduler,
        connector: Connector,
        clock: Clock,
        window_s: float,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._claims = claims
        self._claim_tracker = claim_tracker
        self._recorder = recorder
        self._look_up = look_up
        self._scheduler = scheduler
        self._connector = connector
        self._clock = clock
        self._max_claim_age_s = window_s * MAX_CLAIM_AGE_RATIO

    async def run(self, record: RequestRecord) -> Refusal | None:
        """Claim the key and send the request, or return the recorded outcome of an earlier one."""
        claim = self._new_claim(record)
        self._claim_tracker.begin(claim)
        try:
            return await self._run(record, claim)
        except asyncio.CancelledError:
            # This host aborts the request, for example at the end of a drain.
            if not self._claim_tracker.was_sent(claim):
                self._abandon(claim)
            eliot.log_message(
                message_type="once:cut",
                key=claim.key,
                claim_id=claim.claim_id,
                attempts=record.attempt,
            )
            raise
        finally:
            self._claim_tracker.end(claim)

    async def _run(self, record: RequestRecord, claim: Claim) -> Refusal | None:
        started_at = self._clock.monotonic()
        holder: Claim | None = None
        decision = await self._claims.claim(claim)
        if isinstance(decision, Taken):
            if decision.claim.body_digest != claim.body_digest:
                return _key_reused(record)
            if decision.outcome is not None:
                return _answer_from_record(record, decision.outcome)
            holder = decision.claim
            reply = await self._claim_tracker.query(holder)
            if reply.state not in _UNKNOWN_RETRY_S:
                return _answer_from_holder(record, holder, reply)
            # Since the decision, the outcome may have been recorded in the stream or an
            # abandonment may have released the key, so claim again.
            decision = await self._claims.claim(claim)
            if isinstance(decision, Taken) and decision.claim == holder:
                return await self._answer_taken(record, decision, reply.state)
        if isinstance(decision, Taken):
            return _in_progress(decision.claim)
        if isinstance(decision, Unavailable):
            if decision.appended:
                self._abandon(claim)
            return _unavailable(decision, holder)
        assert isinstance(decision, Granted)
        return await self._run_claimed(record, claim, started_at)

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
        abandon = Abandon(key=claim.key, claim_id=claim.claim_id, claimed_s=claim.claimed_s)
        self._recorder.submit(abandon)

    async def _answer_taken(
        self, record: RequestRecord, taken: Taken, state: HolderState
    ) -> Refusal | None:
        if taken.outcome is not None:
            return _answer_from_record(record, taken.outcome)
        found = await self._look_up.find(record)
        if found is None:
            detail = f"request {taken.claim.request_id} holds the key; its host is {state.value}"
            return _outcome_unknown(detail, retry_after_s=_UNKNOWN_RETRY_S.get(state))
        await self._record_outcome(taken.claim, found)
        return _answer(record, found, recorded=True)

    async def _run_claimed(
        self, record: RequestRecord, claim: Claim, started_at: float
    ) -> Refusal | None:
        tried: frozenset[UpstreamId] = frozenset()
        while True:
            lease = await self._scheduler.acquire(record, exclude=tried)
            if isinstance(lease, Refusal):
                self._abandon(claim)
                return lease
            try:
                refusal = self._check_sendable(record, claim, started_at)
                if refusal is not None:
                    self._abandon(claim)
                    return refusal
                self._claim_tracker.note_sent(claim)
                outcome = await send_call(
                    record, lease, connector=self._connector, clock=self._clock
                )
            finally:
                self._scheduler.release(lease)
            if isinstance(outcome, CallFailed) and not outcome.sent:
                self._claim_tracker.note_not_sent(claim)
                lease.upstream.fire("note_failure")
                tried = tried | {lease.upstream.upstream_id}
                continue
            return await self._settle(record, claim, outcome)

    def _check_sendable(
        self, record: RequestRecord, claim: Claim, started_at: float
    ) -> Refusal | None:
        """Return why the request must no longer be sent, or None if it may be.

        A request can become too old while it waits for a slot or while this process is paused.
        """
        if self._clock.wall() >= record.deadline_s:
            return Refusal(
                code=ResultCode.DEADLINE_PASSED_WAITING,
                detail="the deadline passed before the request was sent",
                retry_after_s=0.0,
            )
        # The monotonic clock may stop while the machine is suspended; the wall clock does not.
        age_s = max(self._clock.monotonic() - started_at, abs(self._clock.wall() - claim.claimed_s))
        if age_s < self._max_claim_age_s:
            return None
        return Refusal(
            code=ResultCode.CLAIM_UNAVAILABLE,
            detail=f"the claim is {age_s:.1f} s old; the limit is {self._max_claim_age_s:g} s",
            retry_after_s=RELEASE_RETRY_S,
        )

    async def _settle(
        self, record: RequestRecord, claim: Claim, outcome: CallAnswered | CallFailed
    ) -> Refusal | None:
        if isinstance(outcome, CallAnswered) and outcome.is_result:
            await self._record_outcome(claim, outcome)
            return _answer(record, outcome)
        found = await self._look_up.find(record)
        if found is not None:
            await self._record_outcome(claim, found)
            return _answer(record, found)
        if isinstance(outcome, CallFailed):
            return _outcome_unknown(f"the call was sent but not fully answered: {outcome.reason}")
        await self._record_outcome(claim, outcome)
        return _answer(record, outcome)

    async def _record_outcome(self, claim: Claim, answered: CallAnswered) -> None:
        await self._recorder.submit_and_wait(
            Outcome(
                key=claim.key,
                claim_id=claim.claim_id,
                status=answered.status,
                body=answered.body,
            )
        )


def _answer(
    record: RequestRecord, answered: CallAnswered, *, recorded: bool = False
) -> Refusal | None:
    """Add the answer to the record, or return a refusal if its status is not that of a result.

    After such a status it is unknown whether the call was executed.
    """
    if not answered.is_result:
        return Refusal(
            code=ResultCode.UPSTREAM_REJECTED,
            detail=f"the upstream answered with status {answered.status}",
            execution=Execution.UNKNOWN,
        )
    record.add(Result(status=answered.status, body=answered.body, recorded=recorded))
    record.add(Ended(tokens=0))
    return None


def _answer_from_record(record: RequestRecord, outcome: Outcome) -> Refusal | None:
    return _answer(record, CallAnswered(status=outcome.status, body=outcome.body), recorded=True)


def _key_reused(record: RequestRecord) -> Refusal:
    detail = f"key {record.key!r} was used for another request"
    return Refusal(code=ResultCode.KEY_REUSED, detail=detail)


def _in_progress(claim: Claim) -> Refusal:
    return Refusal(
        code=ResultCode.IN_PROGRESS,
        detail=f"request {claim.request_id} holds the key",
        retry_after_s=IN_PROGRESS_RETRY_S,
    )


def _answer_from_holder(
    record: RequestRecord, claim: Claim, reply: ClaimStatusReply
) -> Refusal | None:
    if reply.state is HolderState.ANSWERED:
        return _answer(record, CallAnswered(status=reply.status, body=reply.body), recorded=True)
    if reply.state is HolderState.RUNNING:
        return _in_progress(claim)
    return Refusal(
        code=ResultCode.CLAIM_UNAVAILABLE,
        detail=f"request {claim.request_id} is releasing the key",
        retry_after_s=RELEASE_RETRY_S,
    )


def _unavailable(decision: Unavailable, holder: Claim | None) -> Refusal:
    """Return the refusal; if another request holds the key, that request may have run."""
    if holder is not None:
        detail = f"request {holder.request_id} held the key, and {decision.reason}"
        return _outcome_unknown(detail, retry_after_s=decision.retry_after_s)
    return Refusal(
        code=ResultCode.CLAIM_UNAVAILABLE,
        detail=decision.reason,
        retry_after_s=decision.retry_after_s,
    )


def _outcome_unknown(detail: str, *, retry_after_s: float | None = None) -> Refusal:
    return Refusal(
        code=ResultCode.OUTCOME_UNKNOWN,
        detail=detail,
        retry_after_s=retry_after_s,
        execution=Execution.UNKNOWN,
    )
