"""Runs at-most-once requests: claim the key, send once, record the outcome."""

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
USABLE_WINDOW_SHARE = 0.5
UNREACHABLE_RETRY_S = 5.0
_SERVER_ERROR = 500

# What the holder of a key can't tell, and when asking again may tell more, in seconds.
_UNCLEAR: t.Mapping[HolderState, float | None] = {
    HolderState.UNRESOLVED: None,
    HolderState.LOST: None,
    HolderState.UNREACHABLE: UNREACHABLE_RETRY_S,
}


class OnceRunner(Runner):
    """Dispatches a request only under a claim that won its key.

    :param window_s: the idempotency window in seconds. A claim older than half of it is given up
        rather than sent, because another claim may win the key once the window has passed.
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
        self._usable_s = window_s * USABLE_WINDOW_SHARE

    async def run(self, record: RequestRecord) -> Refusal | None:
        """Claim the key and run, or answer from the record of its earlier run."""
        claim = self._new_claim(record)
        self._claim_tracker.begin(claim)
        try:
            return await self._run(record, claim)
        except asyncio.CancelledError:
            # The host gives the request up, as at the end of a drain.
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
        begun_at = self._clock.monotonic()
        holder: Claim | None = None
        decision = await self._claims.claim(claim)
        if isinstance(decision, Taken):
            if decision.claim.body_digest != claim.body_digest:
                return _key_reused(record)
            if decision.outcome is not None:
                return _answer_again(record, decision.outcome)
            holder = decision.claim
            reply = await self._claim_tracker.ask(holder)
            if reply.state not in _UNCLEAR:
                return _answer_of_holder(record, holder, reply)
            # The outcome may have reached the stream, or an abandonment may have freed the key,
            # since the decision.
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
        return await self._run_claimed(record, claim, begun_at)

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
            return _answer_again(record, taken.outcome)
        found = await self._look_up.find(record)
        if found is None:
            detail = f"request {taken.claim.request_id} holds the key; its host is {state.value}"
            return _unknown(detail, retry_after_s=_UNCLEAR.get(state))
        await self._record_outcome(taken.claim, found)
        return _answer(record, found, again=True)

    async def _run_claimed(
        self, record: RequestRecord, claim: Claim, begun_at: float
    ) -> Refusal | None:
        tried: frozenset[UpstreamId] = frozenset()
        while True:
            lease = await self._scheduler.acquire(record, exclude=tried)
            if isinstance(lease, Refusal):
                self._abandon(claim)
                return lease
            try:
                refusal = self._refusal_to_send(record, claim, begun_at)
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

    def _refusal_to_send(
        self, record: RequestRecord, claim: Claim, begun_at: float
    ) -> Refusal | None:
        """Return why the request must not be sent any more, as after a pause of this process."""
        if self._clock.wall() >= record.deadline_s:
            return Refusal(
                code=ResultCode.DEADLINE_PASSED_WAITING,
                detail="the deadline passed before the request was sent",
                retry_after_s=0.0,
            )
        # A suspended machine may stop the monotonic clock; the wall clock goes on.
        age_s = max(self._clock.monotonic() - begun_at, abs(self._clock.wall() - claim.claimed_s))
        if age_s < self._usable_s:
            return None
        return Refusal(
            code=ResultCode.CLAIM_UNAVAILABLE,
            detail=f"the claim is {age_s:.1f} s old; allowed: under {self._usable_s:g} s",
            retry_after_s=RELEASE_RETRY_S,
        )

    async def _settle(
        self, record: RequestRecord, claim: Claim, outcome: CallAnswered | CallFailed
    ) -> Refusal | None:
        if isinstance(outcome, CallAnswered) and outcome.status < _SERVER_ERROR:
            await self._record_outcome(claim, outcome)
            return _answer(record, outcome)
        found = await self._look_up.find(record)
        if found is not None:
            await self._record_outcome(claim, found)
            return _answer(record, found)
        if isinstance(outcome, CallFailed):
            return _unknown(f"the call was sent and no whole answer came: {outcome.reason}")
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
    record: RequestRecord, answered: CallAnswered, *, again: bool = False
) -> Refusal | None:
    """Add the answer to the record; an upstream's error leaves open whether the call ran."""
    if answered.status >= _SERVER_ERROR:
        return Refusal(
            code=ResultCode.UPSTREAM_REJECTED,
            detail=f"the upstream answered with status {answered.status}",
            execution=Execution.UNKNOWN,
        )
    record.add(Result(status=answered.status, body=answered.body, recorded=again))
    record.add(Ended(tokens=0))
    return None


def _answer_again(record: RequestRecord, outcome: Outcome) -> Refusal | None:
    return _answer(record, CallAnswered(status=outcome.status, body=outcome.body), again=True)


def _key_reused(record: RequestRecord) -> Refusal:
    detail = f"key {record.key!r} was used for another request"
    return Refusal(code=ResultCode.KEY_REUSED, detail=detail)


def _in_progress(claim: Claim) -> Refusal:
    return Refusal(
        code=ResultCode.IN_PROGRESS,
        detail=f"request {claim.request_id} holds the key",
        retry_after_s=IN_PROGRESS_RETRY_S,
    )


def _answer_of_holder(
    record: RequestRecord, claim: Claim, reply: ClaimStatusReply
) -> Refusal | None:
    if reply.state is HolderState.ANSWERED:
        return _answer(record, CallAnswered(status=reply.status, body=reply.body), again=True)
    if reply.state is HolderState.RUNNING:
        return _in_progress(claim)
    return Refusal(
        code=ResultCode.CLAIM_UNAVAILABLE,
        detail=f"request {claim.request_id} gives the key back",
        retry_after_s=RELEASE_RETRY_S,
    )


def _unavailable(decision: Unavailable, holder: Claim | None) -> Refusal:
    """Return the refusal; the request of a key that is held may have run."""
    if holder is not None:
        detail = f"request {holder.request_id} held the key, and {decision.reason}"
        return _unknown(detail, retry_after_s=decision.retry_after_s)
    return Refusal(
        code=ResultCode.CLAIM_UNAVAILABLE,
        detail=decision.reason,
        retry_after_s=decision.retry_after_s,
    )


def _unknown(detail: str, *, retry_after_s: float | None = None) -> Refusal:
    return Refusal(
        code=ResultCode.OUTCOME_UNKNOWN,
        detail=detail,
        retry_after_s=retry_after_s,
        execution=Execution.UNKNOWN,
    )
