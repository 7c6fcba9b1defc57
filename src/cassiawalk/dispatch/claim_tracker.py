"""Tracks the idempotency-key claims of this host and queries other hosts about theirs."""

from cassiawalk.clock import Clock
from cassiawalk.dispatch.outcomes import OutcomeRecorder
from cassiawalk.ids import ClaimId
from cassiawalk.ids import HostId
from cassiawalk.once import Abandon
from cassiawalk.once import Claim
from cassiawalk.once import Outcome
from cassiawalk.once.pool import CLOCK_MARGIN_S
from cassiawalk.peer import ClaimStatusCall
from cassiawalk.peer import ClaimStatusReply
from cassiawalk.peer import HolderState
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks

QUERY_TIMEOUT_S = 2.0


class ClaimTracker:
    """Tracks which claims are running on this host and which requests were sent under them.

    Sent claims are kept for longer than any ledger keeps them. A claim of this process that is
    not running and was not sent can no longer be sent, so its key may be released. Any other claim
    whose outcome is not known is reported as running, unresolved or lost.

    :param incarnation: identifies this process; claims of an earlier process are lost.
    :param window_s: the idempotency window in seconds.
    """

    def __init__(
        self,
        *,
        host: HostId,
        incarnation: str,
        links: PeerLinks,
        recorder: OutcomeRecorder,
        clock: Clock,
        window_s: float,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._links = links
        self._recorder = recorder
        self._clock = clock
        self._keep_s = 2 * (window_s + CLOCK_MARGIN_S)
        self._running: set[ClaimId] = set()
        self._sent: dict[ClaimId, float] = {}

    def begin(self, claim: Claim) -> None:
        """Record that a request is running under the claim."""
        self._running.add(claim.claim_id)

    def note_sent(self, claim: Claim) -> None:
        """Record that the request is about to be sent to an upstream."""
        now = self._clock.monotonic()
        while self._sent and next(iter(self._sent.values())) < now - self._keep_s:
            del self._sent[next(iter(self._sent))]
        self._sent[claim.claim_id] = now

    def was_sent(self, claim: Claim) -> bool:
        """Return whether the request was sent or may have been sent."""
        return claim.claim_id in self._sent

    def note_not_sent(self, claim: Claim) -> None:
        """Record that no byte of the request was sent."""
        self._sent.pop(claim.claim_id, None)

    def end(self, claim: Claim) -> None:
        """Record that the request has its final answer."""
        self._running.discard(claim.claim_id)

    async def query(self, claim: Claim) -> ClaimStatusReply:
        """Query the claim's gateway for the state of its request.

        If a stopping gateway has handed the outcome over to this host, it is returned directly.
        """
        pending = self._recorder.pending_record(claim.claim_id)
        if isinstance(pending, Outcome):
            return _answered_reply(pending)
        call = ClaimStatusCall(
            key=claim.key,
            claim_id=claim.claim_id,
            claimed_s=claim.claimed_s,
            incarnation=claim.incarnation,
        )
        if claim.gateway == self._host:
            return await self.status(call)
        reply = await self._links.call(
            claim.gateway, call, ClaimStatusReply, timeout_s=QUERY_TIMEOUT_S
        )
        if isinstance(reply, PeerFailure):
            return ClaimStatusReply(state=HolderState.UNREACHABLE)
        return reply

    async def status(self, call: ClaimStatusCall) -> ClaimStatusReply:
        """Handle a query about a claim of this host.

        A claim that can no longer be sent is abandoned, which releases its key.
        """
        if call.incarnation != self._incarnation:
            return ClaimStatusReply(state=HolderState.LOST)
        pending = self._recorder.pending_record(call.claim_id)
        if isinstance(pending, Outcome):
            return _answered_reply(pending)
        if call.claim_id in self._running:
            return ClaimStatusReply(state=HolderState.RUNNING)
        if call.claim_id in self._sent:
            return ClaimStatusReply(state=HolderState.UNRESOLVED)
        if pending is None:
            abandon = Abandon(key=call.key, claim_id=call.claim_id, claimed_s=call.claimed_s)
            self._recorder.submit(abandon)
        return ClaimStatusReply(state=HolderState.RELEASED)


def _answered_reply(outcome: Outcome) -> ClaimStatusReply:
    return ClaimStatusReply(state=HolderState.ANSWERED, status=outcome.status, body=outcome.body)
