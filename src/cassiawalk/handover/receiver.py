"""Receives requests handed over by leaving hosts."""

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.dispatch import Dispatcher
from cassiawalk.handover.locations import Locator
from cassiawalk.handover.messages import AnnounceCall
from cassiawalk.handover.messages import HandoverOffer
from cassiawalk.handover.messages import HandoverReply
from cassiawalk.handover.messages import HandoverWithdrawal
from cassiawalk.handover.snapshot import restore_record
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestStore

ANNOUNCE_INTERVAL_S = 5.0


class HandoverReceiver(Component):
    """Continues handed-over requests and announces them to their locator hosts.

    Announcements are repeated every ``ANNOUNCE_INTERVAL_S`` while the requests are held.
    """

    def __init__(
        self,
        *,
        host: HostId,
        dispatcher: Dispatcher,
        store: RequestStore,
        locator: Locator,
        clock: Clock,
    ) -> None:
        self._host = host
        self._dispatcher = dispatcher
        self._store = store
        self._locator = locator
        self._clock = clock
        self._received: dict[RequestId, RequestRecord] = {}

    async def start(self) -> None:
        """Start announcing the requests that were handed over to this host."""
        self.keep_running(self._announce_periodically, name="handover-announce")

    async def handle_offer(self, offer: HandoverOffer) -> HandoverReply:
        """Accept an offer, unless this host accepts no requests or holds a newer run.

        A run of the same request on this host with a lower fence is ended first. An offer that
        was accepted before, or whose request was answered here, is acknowledged again without a
        second run.
        """
        request_id = offer.snapshot.request_id
        held = self._store.get(request_id)
        if held is not None and held.answer.is_complete:
            return HandoverReply(accepted=True, reason="already answered")
        if held is not None and held.answer.handover is None and held.fence >= offer.fence:
            return HandoverReply(accepted=held.fence == offer.fence, reason="already held")
        if not self._dispatcher.accepts_requests:
            return HandoverReply(accepted=False, reason="this host is leaving")
        if held is not None and held.answer.handover is None:
            await self._end_run(held, self._host)
            if not held.is_final:
                return HandoverReply(accepted=False, reason="this host is handing its run over")
            return await self.handle_offer(offer)
        record = restore_record(offer, host=self._host, clock=self._clock)
        self._dispatcher.accept_handover(record, offer.snapshot.pool_type)
        self._received[request_id] = record
        self.spawn(self._announce(record), name=f"announce-{request_id}")
        eliot.log_message(
            message_type="handover:taken",
            request_id=request_id,
            sender=offer.sender,
            fence=offer.fence,
            tokens=record.tokens,
        )
        return HandoverReply(accepted=True)

    async def handle_withdrawal(self, call: HandoverWithdrawal) -> HandoverReply:
        """End a run that was accepted here but whose acknowledgement the sender did not receive."""
        record = self._store.get(call.request_id)
        if record is None or record.fence != call.fence or call.host == self._host:
            return HandoverReply(accepted=False, reason="not held")
        await self._end_run(record, call.host)
        return HandoverReply(accepted=True)

    async def announce_moved(self, record: RequestRecord, host: HostId) -> None:
        """Announce the new host of a request that this host handed over."""
        await self._locator.announce(_announcement(record, host))

    async def _announce(self, record: RequestRecord) -> None:
        winner = await self._locator.announce(_announcement(record, self._host))
        if winner.host != self._host and winner.fence >= record.fence and not record.is_final:
            await self._end_run(record, winner.host)

    async def _end_run(self, record: RequestRecord, host: HostId) -> None:
        """End this host's run of a request in favour of the run on ``host``."""
        if await self._dispatcher.suspend(record) is not None:
            self._dispatcher.mark_handed_over(record, host)

    async def _announce_periodically(self) -> None:
        while True:
            await self._clock.sleep(ANNOUNCE_INTERVAL_S)
            for request_id, record in list(self._received.items()):
                if self._store.get(request_id) is not record or record.answer.handover is not None:
                    del self._received[request_id]
                    continue
                await self._announce(record)


def _announcement(record: RequestRecord, host: HostId) -> AnnounceCall:
    return AnnounceCall(
        request_id=record.request_id, workspace=record.workspace, host=host, fence=record.fence
    )
