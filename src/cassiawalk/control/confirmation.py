"""Finds out on which hosts a revision is in force."""

import asyncio
import dataclasses

from cassiawalk.clients import HostRole
from cassiawalk.control.follower import ControlFollower
from cassiawalk.ids import HostId
from cassiawalk.ids import Revision
from cassiawalk.membership import Membership
from cassiawalk.peer import NodeStatusCall
from cassiawalk.peer import NodeStatusReply
from cassiawalk.peer import PeerLinks

STATUS_TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Confirmation:
    """Hosts on which a revision is in force, and listed hosts that did not confirm it."""

    revision: Revision
    confirmed: tuple[HostId, ...]
    unconfirmed: tuple[HostId, ...]


class Confirmations:
    """Queries each listed entry host once, at most ``MAX_CONCURRENT_CALLS`` at a time."""

    def __init__(
        self, *, host: HostId, follower: ControlFollower, membership: Membership, links: PeerLinks
    ) -> None:
        self._host = host
        self._follower = follower
        self._membership = membership
        self._links = links

    async def collect(self, revision: Revision) -> Confirmation:
        """Return which hosts confirmed a revision; a host that didn't reply is unconfirmed."""
        confirmed: list[HostId] = []
        unconfirmed: list[HostId] = []
        for host, found in sorted((await self._revisions()).items()):
            is_confirmed = found is not None and found >= revision
            (confirmed if is_confirmed else unconfirmed).append(host)
        return Confirmation(
            revision=revision, confirmed=tuple(confirmed), unconfirmed=tuple(unconfirmed)
        )

    async def _revisions(self) -> dict[HostId, Revision | None]:
        slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        others = [
            entry.host
            for entry in self._membership.entries(HostRole.ENTRY)
            if entry.host != self._host
        ]
        answers = await asyncio.gather(*(self._query_revision(host, slots) for host in others))
        found: dict[HostId, Revision | None] = dict(zip(others, answers, strict=True))
        found[self._host] = self._follower.state.revision
        return found

    async def _query_revision(self, host: HostId, slots: asyncio.Semaphore) -> Revision | None:
        async with slots:
            reply = await self._links.call(
                host, NodeStatusCall(), NodeStatusReply, timeout_s=STATUS_TIMEOUT_S
            )
        return Revision(reply.revision) if isinstance(reply, NodeStatusReply) else None
