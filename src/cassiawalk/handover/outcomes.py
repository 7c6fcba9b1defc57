"""Hands over the outcomes that a stopping host could not append to the log."""

import eliot

from cassiawalk.clock import Clock
from cassiawalk.dispatch import Dispatcher
from cassiawalk.dispatch import OutcomeRecorder
from cassiawalk.handover.messages import HandoverReply
from cassiawalk.handover.messages import RecordsOffer
from cassiawalk.handover.targets import TargetSelector
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.once import Abandon
from cassiawalk.once import Outcome
from cassiawalk.once.records import records
from cassiawalk.peer import PeerLinks

OFFER_TIMEOUT_S = 2.0


class OutcomeHandover:
    """Hands pending records over to another host, which continues to retry the append.

    A record may safely be appended by two hosts: the first one in the stream counts.
    """

    def __init__(
        self,
        *,
        host: HostId,
        dispatcher: Dispatcher,
        recorder: OutcomeRecorder,
        targets: TargetSelector,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._host = host
        self._dispatcher = dispatcher
        self._recorder = recorder
        self._targets = targets
        self._links = links
        self._clock = clock

    @property
    def has_pending(self) -> bool:
        """Return whether any record is still pending."""
        return bool(self._recorder.pending)

    async def hand_over(self) -> bool:
        """Offer the pending records to one host after another; return whether one accepted."""
        pending = self._recorder.pending
        plain = tuple(records.to_plain(record) for record in pending)
        offer = RecordsOffer(sender=self._host, records=plain)
        for target in self._targets.candidates(RequestId(self._host)):
            reply = await self._links.call(target, offer, HandoverReply, timeout_s=OFFER_TIMEOUT_S)
            if isinstance(reply, HandoverReply) and reply.accepted:
                self._recorder.release(record.claim_id for record in pending)
                eliot.log_message(
                    message_type="handover:records", target=target, records=len(pending)
                )
                return True
        return False

    async def handle_offer(self, offer: RecordsOffer) -> HandoverReply:
        """Accept the records of a stopping host, unless this host accepts no requests itself."""
        if not self._dispatcher.accepts_requests:
            return HandoverReply(accepted=False, reason="this host is leaving")
        for plain in offer.records:
            record = records.from_plain(plain)
            if isinstance(record, Outcome | Abandon):
                self._recorder.submit(record)
        return HandoverReply(accepted=True)
