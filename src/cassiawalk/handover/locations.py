"""Which host holds a request, kept at the first hosts by rendezvous of its id."""

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

LOCATORS = 2
LOOK_INTERVAL_S = 0.5
LOCATORS_ASKED = 3
CALL_TIMEOUT_S = 1.0
LOCATION_KEPT_S = 600.0
LOCATIONS_LIMIT = 100_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Location:
    """Where a request runs; of two hosts that say so, the higher fence counts."""

    workspace: WorkspaceName
    host: HostId
    fence: int
    expires_at: float

    @property
    def claim(self) -> tuple[int, str]:
        """Return what decides between two hosts."""
        return self.fence, self.host


class LocationBook:
    """The locations that this host keeps for others, each for a limited time."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._locations: dict[RequestId, Location] = {}

    def note(self, call: AnnounceCall) -> Location:
        """Keep an announcement unless a higher claim is known, and return what counts."""
        expires_at = self._clock.monotonic() + LOCATION_KEPT_S
        offered = Location(
            workspace=call.workspace, host=call.host, fence=call.fence, expires_at=expires_at
        )
        known = self._locations.pop(call.request_id, None)
        winner = offered if known is None or known.claim <= offered.claim else known
        self._locations[call.request_id] = winner
        self._drop_old()
        return winner

    def find(self, request_id: RequestId, workspace: WorkspaceName) -> Location | None:
        """Return where a workspace's request runs, or None."""
        location = self._locations.get(request_id)
        if location is None or location.workspace != workspace:
            return None
        return location if location.expires_at > self._clock.monotonic() else None

    def _drop_old(self) -> None:
        now = self._clock.monotonic()
        while self._locations:
            oldest = next(iter(self._locations))
            expired = self._locations[oldest].expires_at <= now
            if not expired and len(self._locations) <= LOCATIONS_LIMIT:
                return
            del self._locations[oldest]


class Locator(Component):
    """Announces locations to their locators and looks them up there."""

    def __init__(
        self, *, host: HostId, membership: Membership, links: PeerLinks, clock: Clock
    ) -> None:
        self._host = host
        self._membership = membership
        self._links = links
        self._clock = clock
        self.book = LocationBook(clock=clock)

    async def announce(self, call: AnnounceCall) -> AnnounceReply:
        """Tell the locators, and return the highest claim that any of them knows."""
        hosts = self._ranked(call.request_id)[:LOCATORS]
        replies = await asyncio.gather(*(self._announce_to(host, call) for host in hosts))
        own = AnnounceReply(host=call.host, fence=call.fence)
        known = [reply for reply in replies if isinstance(reply, AnnounceReply)]
        return max([own, *known], key=lambda reply: (reply.fence, reply.host))

    async def find(self, request_id: RequestId, workspace: WorkspaceName) -> list[HostId]:
        """Return hosts that may hold a request, the likeliest first, without this one.

        The cost is the same whether or not the request exists or is another workspace's.
        """
        call = LocateCall(request_id=request_id, workspace=workspace)
        asked = self._ranked(request_id)[:LOCATORS_ASKED]
        replies = await asyncio.gather(*(self._ask(host, call) for host in asked))
        found = [reply.host for reply in replies if reply.host is not None]
        origin = request_origin(request_id)
        if origin is not None:
            found.append(origin)
        return [host for host in dict.fromkeys(found) if host != self._host]

    def may_have_moved(self, request_id: RequestId) -> bool:
        """Return whether the host that accepted a request is gone."""
        origin = request_origin(request_id)
        return origin is not None and origin not in self._membership.reachable_entry_hosts()

    async def wait_before_lookup(self, looks: int) -> None:
        """Wait before another look-up; not before the first."""
        if looks > 0:
            await self._clock.sleep(LOOK_INTERVAL_S)

    async def handle_announce(self, call: AnnounceCall) -> AnnounceReply:
        """Serve a holder's announcement."""
        location = self.book.note(call)
        return AnnounceReply(host=location.host, fence=location.fence)

    async def handle_locate(self, call: LocateCall) -> LocateReply:
        """Serve a look-up."""
        location = self.book.find(call.request_id, call.workspace)
        return LocateReply(host=None if location is None else location.host)

    def _ranked(self, request_id: RequestId) -> list[HostId]:
        return rank(f"location-{request_id}", self._membership.reachable_entry_hosts())

    async def _announce_to(self, host: HostId, call: AnnounceCall) -> AnnounceReply | PeerFailure:
        if host == self._host:
            return await self.handle_announce(call)
        return await self._links.call(host, call, AnnounceReply, timeout_s=CALL_TIMEOUT_S)

    async def _ask(self, host: HostId, call: LocateCall) -> LocateReply:
        if host == self._host:
            return await self.handle_locate(call)
        reply = await self._links.call(host, call, LocateReply, timeout_s=CALL_TIMEOUT_S)
        return LocateReply() if isinstance(reply, PeerFailure) else reply
