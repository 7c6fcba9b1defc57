"""Hands accepted requests over to other hosts."""

import asyncio

import eliot

from cassiawalk.clock import Clock
from cassiawalk.control.state import PoolType
from cassiawalk.dispatch import Dispatcher
from cassiawalk.handover.messages import HandoverOffer
from cassiawalk.handover.messages import HandoverReply
from cassiawalk.handover.messages import HandoverWithdrawal
from cassiawalk.handover.snapshot import take_snapshot
from cassiawalk.handover.targets import TargetSelector
from cassiawalk.ids import HostId
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.requests import RequestRecord

OFFER_TIMEOUT_S = 1.0
OFFER_SHARE = 0.2
OFFERS_AT_ONCE = 16
OFFERS_TO_A_HOST = 2


class HandoverSender:
    """Keeps a request until another host has acknowledged it."""

    def __init__(
        self,
        *,
        host: HostId,
        dispatcher: Dispatcher,
        targets: TargetSelector,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._host = host
        self._dispatcher = dispatcher
        self._targets = targets
        self._links = links
        self._clock = clock
        self._slots = asyncio.Semaphore(OFFERS_AT_ONCE)

    async def hand_over(self, record: RequestRecord, *, by_s: float) -> HostId | None:
        """Move a request and return its new host; None if it ended or goes on here.

        :param by_s: when to stop trying, in monotonic seconds.
        """
        async with self._slots:
            pool_type = await self._dispatcher.suspend(record)
            if pool_type is None:
                return None
            unsure: list[tuple[HostId, int]] = []
            host = await self._place(record, pool_type, unsure, by_s)
            if host is None:
                self._dispatcher.resume(record, pool_type)
            else:
                self._dispatcher.mark_handed_over(record, host)
            await self._withdraw(record, unsure, goes_on_at=host or self._host)
        eliot.log_message(
            message_type="handover:sent",
            request_id=record.request_id,
            target=host,
            tokens=record.tokens,
            unsure=[name for name, _ in unsure],
        )
        return host

    async def _place(
        self,
        record: RequestRecord,
        pool_type: PoolType,
        unsure: list[tuple[HostId, int]],
        by_s: float,
    ) -> HostId | None:
        """Return the first host that accepts; hosts that may have are added to ``unsure``."""
        snapshot = take_snapshot(record, pool_type=pool_type, clock=self._clock)
        for host in self._targets.candidates(record.request_id):
            if self._clock.monotonic() >= by_s:
                return None
            record.fence += 1
            offer = HandoverOffer(sender=self._host, fence=record.fence, snapshot=snapshot)
            reply = await self._offer(host, offer, by_s)
            if isinstance(reply, HandoverReply) and reply.accepted:
                self._targets.note_sent(host)
                return host
            if isinstance(reply, PeerFailure) and reply.sent:
                unsure.append((host, offer.fence))
                self._targets.note_silent(host)
        return None

    async def _offer(
        self, host: HostId, offer: HandoverOffer, by_s: float
    ) -> HandoverReply | PeerFailure:
        """Send an offer, and once more if its acknowledgement was lost."""
        lost: PeerFailure | None = None
        for _ in range(OFFERS_TO_A_HOST):
            left_s = by_s - self._clock.monotonic()
            if left_s <= 0:
                break
            timeout_s = min(OFFER_TIMEOUT_S, left_s * OFFER_SHARE)
            reply = await self._links.call(host, offer, HandoverReply, timeout_s=timeout_s)
            if isinstance(reply, HandoverReply):
                return reply
            if not reply.sent:
                return lost or reply
            lost = reply
        return lost or PeerFailure(reason="no time left", sent=False)

    async def _withdraw(
        self, record: RequestRecord, unsure: list[tuple[HostId, int]], *, goes_on_at: HostId
    ) -> None:
        """End runs that lost acknowledgements may have left; their fences end them too."""
        for host, fence in unsure:
            call = HandoverWithdrawal(request_id=record.request_id, fence=fence, host=goes_on_at)
            await self._links.call(host, call, HandoverReply, timeout_s=OFFER_TIMEOUT_S)
