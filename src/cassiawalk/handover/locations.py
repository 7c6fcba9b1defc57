"""Locations of requests, stored on the hosts that rendezvous hashing of the id ranks first.

These hosts are the locator hosts of a request.
"""

import asyncio
import dataclasses

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.handover.messages import AnnounceCall
from cassiawalk.handover.messages import AnnounceReply
from cassiawalk.ids import HostId
from cassiawalk.ids import RequestId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ids import request_origin
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.peer import LocateCall
from cassiawalk.peer import LocateReply
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks

LOCATOR_COUNT = 2
LOOKUP_INTERVAL_S = 0.5
LOCATORS_QUERIED = 3
CALL_TIMEOUT_S = 1.0
LOCATION_RETENTION_S = 600.0
MAX_LOCATIONS = 100_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Location:
    """The host that runs a request; if two hosts announce it, the higher fence wins.

    ``expires_at`` is in monotonic seconds of the host that stores the location.
    """

    workspace: WorkspaceName
    host: HostId
    fence: int
    expires_at: float

    @property
    def precedence(self) -> tuple[int, str]:
        """Return the key that decides between two hosts: the fence, then the host id."""
        return self.fence, self.host


class LocationTable:
    """The locations stored on this host.

    Each entry expires after ``LOCATION_RETENTION_S``. Beyond ``MAX_LOCATIONS`` entries, those
    announced least recently are dropped.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._locations: dict[RequestId, Location] = {}

    def store(self, call: AnnounceCall) -> Location:
        """Store an announced location and return it, or return a known one of higher precedence."""
        expires_at = self._clock.monotonic() + LOCATION_RETENTION_S
        offered = Location(
            workspace=call.workspace, host=call.host, fence=call.fence, expires_at=expires_at
        )
        known = self._locations.pop(call.request_id, None)
        winner = offered if known is None or known.precedence <= offered.precedence else known
        self._locations[call.request_id] = winner
        self._evict()
        return winner

    def find(self, request_id: RequestId, workspace: WorkspaceName) -> Location | None:
        """Return the location of a workspace's request, or None if it is unknown or expired."""
        location = self._locations.get(request_id)
        if location is None or location.workspace != workspace:
            return None
        return location if location.expires_at > self._clock.monotonic() else None

    def _evict(self) -> None:
        now = self._clock.monotonic()
        while self._locations:
            oldest = next(iter(self._locations))
            expired = self._locations[oldest].expires_at <= now
            if not expired and len(self._locations) <= MAX_LOCATIONS:
                return
            del self._locations[oldest]


class Locator(Component):
    """Announces request locations to their locator hosts and looks them up there."""

    def __init__(
        self, *, host: HostId, membership: Membership, links: PeerLinks, clock: Clock
    ) -> None:
        self._host = host
        self._membership = membership
        self._links = links
        self._clock = clock
        self.table = LocationTable(clock=clock)

    async def announce(self, call: AnnounceCall) -> AnnounceReply:
        """Announce a location to its locator hosts.

        Returns the location with the highest fence that this host or a locator host knows.
        """
        hosts = self._ranked(call.request_id)[:LOCATOR_COUNT]
        replies = await asyncio.gather(*(self._announce_to(host, call) for host in hosts))
        own = AnnounceReply(host=call.host, fence=call.fence)
        known = [reply for reply in replies if isinstance(reply, AnnounceReply)]
        return max([own, *known], key=lambda reply: (reply.fence, reply.host))

    async def find(self, request_id: RequestId, workspace: WorkspaceName) -> list[HostId]:
        """Return the other hosts that may hold a request, the likeliest first.

        The cost is the same whether the request exists, does not exist or belongs to another
        workspace, so that it does not disclose other workspaces' requests.
        """
        call = LocateCall(request_id=request_id, workspace=workspace)
        queried = self._ranked(request_id)[:LOCATORS_QUERIED]
        replies = await asyncio.gather(*(self._query(host, call) for host in queried))
        found = [reply.host for reply in replies if reply.host is not None]
        origin = request_origin(request_id)
        if origin is not None:
            found.append(origin)
        return [host for host in dict.fromkeys(found) if host != self._host]

    def may_have_moved(self, request_id: RequestId) -> bool:
        """Return whether the host that accepted a request is no longer reachable."""
        origin = request_origin(request_id)
        return origin is not None and origin not in self._membership.reachable_entry_hosts()

    async def wait_before_lookup(self, lookups: int) -> None:
        """Wait for ``LOOKUP_INTERVAL_S`` before a repeated look-up; return at once on the first.

        :param lookups: number of look-ups made so far.
        """
        if lookups > 0:
            await self._clock.sleep(LOOKUP_INTERVAL_S)

    async def handle_announce(self, call: AnnounceCall) -> AnnounceReply:
        """Handle an announcement."""
        location = self.table.store(call)
        return AnnounceReply(host=location.host, fence=location.fence)

    async def handle_locate(self, call: LocateCall) -> LocateReply:
        """Handle a look-up."""
        location = self.table.find(call.request_id, call.workspace)
        return LocateReply(host=None if location is None else location.host)

    def _ranked(self, request_id: RequestId) -> list[HostId]:
        return rank(f"location-{request_id}", self._membership.reachable_entry_hosts())

    async def _announce_to(self, host: HostId, call: AnnounceCall) -> AnnounceReply | PeerFailure:
        if host == self._host:
            return await self.handle_announce(call)
        return await self._links.call(host, call, AnnounceReply, timeout_s=CALL_TIMEOUT_S)

    async def _query(self, host: HostId, call: LocateCall) -> LocateReply:
        if host == self._host:
            return await self.handle_locate(call)
        reply = await self._links.call(host, call, LocateReply, timeout_s=CALL_TIMEOUT_S)
        return LocateReply() if isinstance(reply, PeerFailure) else reply
