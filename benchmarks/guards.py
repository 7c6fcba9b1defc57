"""Builds the product's crash guard for simulations, with quarantines stored in memory."""

import asyncio

from benchmarks.fakes import FakeCloud
from cassiawalk.clock import Clock
from cassiawalk.crashes.guard import CrashGuard
from cassiawalk.crashes.leases import IsolationLeases
from cassiawalk.crashes.quarantine import QuarantinePublisher
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import HostId
from cassiawalk.membership import Membership
from cassiawalk.peer import MembershipFeed
from cassiawalk.peer import NoteStore
from cassiawalk.peer import PeerLinks
from cassiawalk.routing import UpstreamTable


class MemoryQuarantines(QuarantinePublisher):
    """Stores the quarantined fingerprints with the ends of their quarantines."""

    def __init__(self) -> None:
        self.published: dict[Fingerprint, float] = {}

    async def publish(self, fingerprint: Fingerprint, *, until_s: float, reason: str) -> None:
        """Store the fingerprint until ``until_s``, in seconds of the wall clock."""
        await asyncio.sleep(0)
        self.published[fingerprint] = until_s

    def until_s(self, fingerprint: Fingerprint) -> float | None:
        """Return when a quarantine ends, in seconds of the wall clock, or None."""
        return self.published.get(fingerprint)

    def is_empty(self) -> bool:
        """Return whether no fingerprint was quarantined."""
        return not self.published


def build_guard(
    *, host: HostId, membership: Membership, table: UpstreamTable, clock: Clock
) -> CrashGuard:
    """Return a crash guard that exchanges no messages with peers."""
    links = PeerLinks(membership=membership, secret="")
    note_store = NoteStore(clock=clock)
    feed = MembershipFeed(
        note_store=note_store,
        host=host,
        membership=membership,
        links=links,
        cloud=FakeCloud(),
        clock=clock,
    )
    isolation_leases = IsolationLeases(host=host, membership=membership, links=links, clock=clock)
    guard = CrashGuard(
        host=host,
        note_store=note_store,
        sharing=feed,
        upstreams=table.all,
        on_released=table.notify,
        isolation_leases=isolation_leases,
        quarantines=MemoryQuarantines(),
        clock=clock,
    )
    table.add_leaving_listener(guard.note_leaving)
    return guard
