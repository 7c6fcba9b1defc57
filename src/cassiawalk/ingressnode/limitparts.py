"""Assembles the parts of a host that keep to the limits that upstreams name."""

import collections.abc as cabc
import random

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.fleet.census import HostCensus
from cassiawalk.fleet.contacts import HeartbeatContact
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import HostId
from cassiawalk.ingress.permitting import PermittedPlacer
from cassiawalk.ingress.placement import Placer
from cassiawalk.peer import NoteSharing
from cassiawalk.peer import NoteStore
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import PeerServer
from cassiawalk.ratelimits import LendingAuthority
from cassiawalk.ratelimits import LimitBook
from cassiawalk.ratelimits import PermitCall
from cassiawalk.ratelimits import Permits
from cassiawalk.storeview.directory import Directory


class LimitParts:
    """What a host knows of limits, and how it lends and borrows permits.

    :param is_leaving: returns whether this host is about to stop.
    :param on_put_off: called with the service of each request that got no permit.
    :param wall_clock: its wall time must agree with that of other hosts.
    :param boot_clock: its monotonic time includes time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        host: HostId,
        notes: NoteStore,
        sharing: NoteSharing,
        heartbeats: HeartbeatExchange,
        census: HostCensus,
        links: PeerLinks,
        is_leaving: cabc.Callable[[], bool],
        on_put_off: cabc.Callable[[str], None],
        wall_clock: Clock,
        boot_clock: Clock,
        rng: random.Random,
    ) -> None:
        self._census = census
        self._boot_clock = boot_clock
        self._rng = rng
        self.book = LimitBook(notes=notes, sharing=sharing, clock=wall_clock)
        self._contact = HeartbeatContact(
            host=host, heartbeats=heartbeats, census=census, is_leaving=is_leaving
        )
        self.authority = LendingAuthority(host=host, contact=self._contact, clock=boot_clock)
        self.permits = Permits(
            host=host,
            book=self.book,
            authority=self.authority,
            links=links,
            clock=boot_clock,
            rng=rng,
            on_put_off=on_put_off,
        )
        heartbeats.add_listener(self._note_heartbeat)

    def serve(self, server: PeerServer) -> None:
        """Register the handler of other hosts' calls."""
        server.handle(PermitCall, self.permits.handle)

    def placer(self, placer: Placer, directory: Directory) -> PermittedPlacer:
        """Return what places requests with the permits that they need."""
        return PermittedPlacer(
            placer=placer,
            permits=self.permits,
            directory=directory,
            hosts=self._census.total,
            clock=self._boot_clock,
            rng=self._rng,
        )

    def hears(self, *, lends_quotas: bool = False) -> tuple[HostId, ...]:
        """Return the hosts that this one hears, for its heartbeats, see ``HeartbeatContact``."""
        return self._contact.hears(borrows=self.permits.is_in_use or lends_quotas)

    def components(self) -> list[Component]:
        """Return the components to run."""
        return [self.book, self.permits]

    def _note_heartbeat(self, _: Heartbeat) -> None:
        self.authority.refresh()
