"""Chooses the hosts that requests are handed over to."""

import asyncio
import collections

from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.peer import NodeStatusCall
from cassiawalk.peer import NodeStatusReply
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks

HOSTS_CONSIDERED = 8
STATUS_TIMEOUT_S = 0.5


class TargetSelector:
    """Hosts of other failure domains first, the less loaded of the first two by rendezvous.

    A host considers only a few others, so that a reclaimed failure domain does not ask everybody.
    """

    def __init__(self, *, host: HostId, membership: Membership, links: PeerLinks) -> None:
        self._host = host
        self._membership = membership
        self._links = links
        self._load: collections.Counter[HostId] = collections.Counter()

    async def refresh(self) -> None:
        """Ask the considered hosts for their load."""
        await asyncio.gather(*(self._ask(host) for host in self._considered()))

    def candidates(self, request_id: RequestId) -> list[HostId]:
        """Return the hosts to offer a request to, in order."""
        considered = self._considered()
        far = [host for host in considered if not self._is_near(host)]
        near = [host for host in considered if self._is_near(host)]
        return self._ordered(request_id, far) + self._ordered(request_id, near)

    def note_silent(self, host: HostId) -> None:
        """Pass over a host that did not answer an offer in time."""
        self._membership.mark_unreachable(host)

    def note_sent(self, host: HostId) -> None:
        """Count a request that a host has accepted."""
        self._load[host] += 1

    def _considered(self) -> list[HostId]:
        """Return the first hosts by rendezvous, those of other failure domains before the rest."""
        hosts = [host for host in self._membership.reachable_entry_hosts() if host != self._host]
        ranked = rank(f"handover-{self._host}", hosts)
        return sorted(ranked, key=self._is_near)[:HOSTS_CONSIDERED]

    def _is_near(self, host: HostId) -> bool:
        own, other = self._membership.entry(self._host), self._membership.entry(host)
        return own is not None and other is not None and own.failure_domain == other.failure_domain

    def _ordered(self, request_id: RequestId, hosts: list[HostId]) -> list[HostId]:
        ranked = rank(f"handover-{request_id}", hosts)
        return sorted(ranked[:2], key=lambda host: self._load[host]) + ranked[2:]

    async def _ask(self, host: HostId) -> None:
        reply = await self._links.call(
            host, NodeStatusCall(), NodeStatusReply, timeout_s=STATUS_TIMEOUT_S
        )
        if isinstance(reply, PeerFailure) or reply.draining:
            self._membership.mark_unreachable(host)
            return
        self._load[host] = reply.running + reply.waiting
