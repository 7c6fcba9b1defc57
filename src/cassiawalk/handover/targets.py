"""Selects the hosts to which requests are handed over."""

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

MAX_CANDIDATE_HOSTS = 8
STATUS_TIMEOUT_S = 0.5


class TargetSelector:
    """Ranks candidate hosts: other failure domains first, then by rendezvous hashing.

    Of the first two by rendezvous order, the less loaded one comes first. A host considers at
    most ``MAX_CANDIDATE_HOSTS`` others, so that the hosts of a reclaimed failure domain do not
    query the whole fleet.
    """

    def __init__(self, *, host: HostId, membership: Membership, links: PeerLinks) -> None:
        self._host = host
        self._membership = membership
        self._links = links
        self._load: collections.Counter[HostId] = collections.Counter()

    async def refresh(self) -> None:
        """Query the load of the candidate hosts."""
        await asyncio.gather(*(self._query_load(host) for host in self._candidate_hosts()))

    def candidates(self, request_id: RequestId) -> list[HostId]:
        """Return the hosts to which a request is offered, in order of preference."""
        hosts = self._candidate_hosts()
        other_domains = [host for host in hosts if not self._in_same_domain(host)]
        same_domain = [host for host in hosts if self._in_same_domain(host)]
        return self._ordered(request_id, other_domains) + self._ordered(request_id, same_domain)

    def mark_unresponsive(self, host: HostId) -> None:
        """Mark a host that did not answer an offer in time as unreachable."""
        self._membership.mark_unreachable(host)

    def count_accepted(self, host: HostId) -> None:
        """Add a request that a host has accepted to its load."""
        self._load[host] += 1

    def _candidate_hosts(self) -> list[HostId]:
        """Return the first hosts by rendezvous order, those of other failure domains first."""
        hosts = [host for host in self._membership.reachable_entry_hosts() if host != self._host]
        ranked = rank(f"handover-{self._host}", hosts)
        return sorted(ranked, key=self._in_same_domain)[:MAX_CANDIDATE_HOSTS]

    def _in_same_domain(self, host: HostId) -> bool:
        own, other = self._membership.entry(self._host), self._membership.entry(host)
        return own is not None and other is not None and own.failure_domain == other.failure_domain

    def _ordered(self, request_id: RequestId, hosts: list[HostId]) -> list[HostId]:
        ranked = rank(f"handover-{request_id}", hosts)
        return sorted(ranked[:2], key=lambda host: self._load[host]) + ranked[2:]

    async def _query_load(self, host: HostId) -> None:
        reply = await self._links.call(
            host, NodeStatusCall(), NodeStatusReply, timeout_s=STATUS_TIMEOUT_S
        )
        if isinstance(reply, PeerFailure) or reply.draining:
            self._membership.mark_unreachable(host)
            return
        self._load[host] = reply.running + reply.waiting
