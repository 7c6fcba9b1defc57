"""Finds the sequencer of a key and talks to it."""

from cassiawalk.ids import HostId
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.once.decisions import ClaimDecision
from cassiawalk.once.decisions import Unavailable
from cassiawalk.once.decisions import decisions
from cassiawalk.once.records import Claim
from cassiawalk.once.records import OnceRecord
from cassiawalk.once.records import partition_of
from cassiawalk.once.records import records
from cassiawalk.once.sequencer import SequencerPool
from cassiawalk.peer import OnceCall
from cassiawalk.peer import OnceReply
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks

PARTITIONS = 16
HOSTS_TRIED = 2
CALL_TIMEOUT_S = 4.0


class ClaimClient:
    """Claims keys and records outcomes, here or at the partition's host.

    :param partitions: the number of partitions; the same on every host.
    """

    def __init__(
        self,
        *,
        host: HostId,
        membership: Membership,
        links: PeerLinks,
        pool: SequencerPool,
        partitions: int = PARTITIONS,
    ) -> None:
        self._host = host
        self._membership = membership
        self._links = links
        self._pool = pool
        self._partitions = partitions

    async def claim(self, claim: Claim) -> ClaimDecision:
        """Return the decision on a claim. The same claim may be sent again: its id decides."""
        failure = Unavailable(reason="no sequencer could be reached")
        for host in self._candidates(claim.key):
            decision = await self._send(host, claim)
            if decision is None or not isinstance(decision, Unavailable):
                return decision or failure
            failure = decision
        return failure

    async def record(self, record: OnceRecord) -> Unavailable | None:
        """Append an outcome or abandonment; None means that it is in the stream."""
        failure: Unavailable | None = Unavailable(reason="no sequencer could be reached")
        for host in self._candidates(record.key):
            answer = await self._send(host, record)
            if not isinstance(answer, Unavailable):
                return None
            failure = answer
        return failure

    def _candidates(self, key: str) -> list[HostId]:
        partition = partition_of(key, partitions=self._partitions)
        hosts = self._membership.reachable_entry_hosts() or [self._host]
        return rank(f"once-{partition}", hosts)[:HOSTS_TRIED]

    async def _send(self, host: HostId, record: OnceRecord) -> ClaimDecision | None:
        if host == self._host:
            return await self.handle_local(record)
        call = OnceCall(record=records.to_plain(record))
        reply = await self._links.call(host, call, OnceReply, timeout_s=CALL_TIMEOUT_S)
        if isinstance(reply, PeerFailure):
            return Unavailable(reason=reply.reason)
        if reply.decision is None:
            return None
        decision = decisions.from_plain(reply.decision)
        if isinstance(decision, ClaimDecision):
            return decision
        return Unavailable(reason="the sequencer's answer can't be read")

    async def handle_local(self, record: OnceRecord) -> ClaimDecision | None:
        """Serve a claim or record at this host's own sequencer."""
        partition = partition_of(record.key, partitions=self._partitions)
        sequencer = await self._pool.sequencer(partition)
        if isinstance(record, Claim):
            return await sequencer.claim(record)
        return await sequencer.record(record)

    async def handle_call(self, call: OnceCall) -> OnceReply:
        """Serve a peer's claim or record."""
        record = records.from_plain(call.record)
        if not isinstance(record, OnceRecord):
            return OnceReply(decision=decisions.to_plain(Unavailable(reason="unknown record")))
        decision = await self.handle_local(record)
        return OnceReply(decision=None if decision is None else decisions.to_plain(decision))
