"""Client that sends claims, outcomes and abandonments to a key's sequencer."""

import dataclasses

from cassiawalk.ids import HostId
from cassiawalk.once.decisions import ClaimDecision
from cassiawalk.once.decisions import Unavailable
from cassiawalk.once.decisions import decisions
from cassiawalk.once.placement import Placement
from cassiawalk.once.pool import SequencerPool
from cassiawalk.once.records import Claim
from cassiawalk.once.records import OnceRecord
from cassiawalk.once.records import records
from cassiawalk.peer import OnceCall
from cassiawalk.peer import OnceReply
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks

MAX_HOSTS_SENT_TO = 2
MAX_CANDIDATE_HOSTS = 6
CALL_TIMEOUT_S = 4.0
_UNREACHABLE = Unavailable(reason="no sequencer could be reached", appended=False)


class ClaimClient:
    """Claims keys and records outcomes at the sequencer of the partition, local or remote."""

    def __init__(
        self, *, host: HostId, placement: Placement, links: PeerLinks, pool: SequencerPool
    ) -> None:
        self._host = host
        self._placement = placement
        self._links = links
        self._pool = pool

    async def claim(self, claim: Claim) -> ClaimDecision:
        """Return the decision on a claim. Sending it again is safe: claims are matched by id."""
        decision = await self._send_to_sequencer(claim)
        return decision or Unavailable(reason="the sequencer's reply could not be decoded")

    async def record(self, record: OnceRecord) -> Unavailable | None:
        """Append an outcome or abandonment; return None if it is in the stream."""
        answer = await self._send_to_sequencer(record)
        return answer if isinstance(answer, Unavailable) else None

    async def _send_to_sequencer(self, record: OnceRecord) -> ClaimDecision | None:
        """Try the partition's hosts in order, then this host, until one returns a decision.

        Gives up once ``MAX_HOSTS_SENT_TO`` hosts may have received the record.
        """
        failure = _UNREACHABLE
        sent_to = 0
        hosts = self._placement.hosts(self._placement.partition(record.key))[:MAX_CANDIDATE_HOSTS]
        for host in [*hosts, self._host]:
            decision = await self._send(host, record)
            if isinstance(decision, PeerFailure):
                sent_to += decision.sent
                decision = Unavailable(reason=decision.reason, appended=decision.sent)
            else:
                sent_to += 1
            if not isinstance(decision, Unavailable):
                return decision
            failure = dataclasses.replace(decision, appended=failure.appended or decision.appended)
            if sent_to >= MAX_HOSTS_SENT_TO:
                break
        return failure

    async def _send(self, host: HostId, record: OnceRecord) -> ClaimDecision | PeerFailure | None:
        if host == self._host:
            return await self.handle_local(record)
        call = OnceCall(record=records.to_plain(record))
        reply = await self._links.call(host, call, OnceReply, timeout_s=CALL_TIMEOUT_S)
        if isinstance(reply, PeerFailure):
            return reply
        if reply.decision is None:
            return None
        decision = decisions.from_plain(reply.decision)
        if isinstance(decision, ClaimDecision):
            return decision
        return Unavailable(reason="the sequencer's reply could not be decoded")

    async def handle_local(self, record: OnceRecord) -> ClaimDecision | None:
        """Process a claim or another record at this host's own sequencer."""
        sequencer = await self._pool.sequencer(self._placement.partition(record.key))
        if isinstance(record, Claim):
            return await sequencer.claim(record)
        return await sequencer.record(record)

    async def handle_call(self, call: OnceCall) -> OnceReply:
        """Handle a record sent by a peer."""
        record = records.from_plain(call.record)
        if not isinstance(record, OnceRecord):
            return OnceReply(decision=decisions.to_plain(Unavailable(reason="unknown record type")))
        decision = await self.handle_local(record)
        return OnceReply(decision=None if decision is None else decisions.to_plain(decision))
