"""Hands over accepted requests to other hosts."""

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
OFFER_TIMEOUT_RATIO = 0.2
MAX_CONCURRENT_OFFERS = 16
OFFERS_PER_HOST = 2


class HandoverSender:
    """Offers requests to other hosts; each stays here until another host has acknowledged it."""

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
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_OFFERS)

    async def hand_over(self, record: RequestRecord, *, by_s: float) -> HostId | None:
        """Hand a request over and return its new host.

        Returns None if the request has ended, or if no host accepted it and it continues here.

        :param by_s: deadline for further offers, in monotonic seconds.
        """
        async with self._slots:
            pool_type = await self._dispatcher.suspend(record)
            if pool_type is None:
                return None
            unacknowledged: list[tuple[HostId, int]] = []
            host = await self._offer_to_candidates(record, pool_type, unacknowledged, by_s)
            if host is None:
                self._dispatcher.resume(record, pool_type)
            else:
                self._dispatcher.mark_handed_over(record, host)
            await self._withdraw(record, unacknowledged, continues_on=host or self._host)
        eliot.log_message(
            message_type="handover:sent",
            request_id=record.request_id,
            target=host,
            tokens=record.tokens,
            unsure=[name for name, _ in unacknowledged],
        )
        return host

    async def _offer_to_candidates(
        self,
        record: RequestRecord,
        pool_type: PoolType,
        unacknowledged: list[tuple[HostId, int]],
        by_s: float,
    ) -> HostId | None:
        """Return the first host that accepts the request, or None.

        A host that may have accepted without this host knowing is added to ``unacknowledged``,
        with the fence of the offer.
        """
        snapshot = take_snapshot(record, pool_type=pool_type, clock=self._clock)
        for host in self._targets.candidates(record.request_id):
            if self._clock.monotonic() >= by_s:
                return None
            record.fence += 1
            offer = HandoverOffer(sender=self._host, fence=record.fence, snapshot=snapshot)
            reply = await self._offer(host, offer, by_s)
            if isinstance(reply, HandoverReply) and reply.accepted:
                self._targets.count_accepted(host)
                return host
            if isinstance(reply, PeerFailure) and reply.sent:
                unacknowledged.append((host, offer.fence))
                self._targets.mark_unresponsive(host)
        return None

    async def _offer(
        self, host: HostId, offer: HandoverOffer, by_s: float
    ) -> HandoverReply | PeerFailure:
        """Send an offer, up to ``OFFERS_PER_HOST`` times while acknowledgements are lost."""
        lost: PeerFailure | None = None
        for _ in range(OFFERS_PER_HOST):
            left_s = by_s - self._clock.monotonic()
            if left_s <= 0:
                break
            timeout_s = min(OFFER_TIMEOUT_S, left_s * OFFER_TIMEOUT_RATIO)
            reply = await self._links.call(host, offer, HandoverReply, timeout_s=timeout_s)
            if isinstance(reply, HandoverReply):
                return reply
            if not reply.sent:
                return lost or reply
            lost = reply
        return lost or PeerFailure(reason="no time left", sent=False)

    async def _withdraw(
        self,
        record: RequestRecord,
        unacknowledged: list[tuple[HostId, int]],
        *,
        continues_on: HostId,
    ) -> None:
        """End runs that may have been started although their acknowledgements were lost.

        Such a run also ends when its host learns from a locator host of a run with a higher fence.
        """
        for host, fence in unacknowledged:
            call = HandoverWithdrawal(request_id=record.request_id, fence=fence, host=continues_on)
            await self._links.call(host, call, HandoverReply, timeout_s=OFFER_TIMEOUT_S)
