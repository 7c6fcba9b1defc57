"""Assembles the parts of a host that find and refuse requests that crash upstreams."""

import collections.abc as cabc
import random

from cassiawalk.app import Component
from cassiawalk.clients import KeyedLog
from cassiawalk.clock import Clock
from cassiawalk.crashes import CrashGuard
from cassiawalk.crashes import IsolationLeaseCall
from cassiawalk.crashes import IsolationLeases
from cassiawalk.crashes import PartGuard
from cassiawalk.crashes import SharedNotesOnly
from cassiawalk.crashes.notes import CrashNotes
from cassiawalk.crashes.verdicts import VerdictChange
from cassiawalk.fleet.correctedtime import CorrectedClock
from cassiawalk.fleet.correctedtime import CorrectedTime
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.fleet.notes import NoteExchange
from cassiawalk.fleet.notes import NotesCall
from cassiawalk.ids import HostId
from cassiawalk.ingress.endings import Endings
from cassiawalk.ingress.screening import ISOLATE_AFTER_DEATHS
from cassiawalk.ingress.screening import Screening
from cassiawalk.membership import Membership
from cassiawalk.membership.rendezvous import rank
from cassiawalk.peer import NoteStore
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import PeerServer
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.suspects import SuspectFollower

LEASE_TIMEOUT_S = 0.3  # a request waits for it


class CrashParts:
    """The crash guard of a host, and what it shares with other hosts.

    ``exchange`` replicates ``notes`` between hosts, ``screening`` serves the forwarder. ``clock``
    has the corrected wall time.
    """

    def __init__(
        self,
        *,
        host: HostId,
        directory: Directory,
        membership: Membership,
        heartbeats: HeartbeatExchange,
        links: PeerLinks,
        time: CorrectedTime,
        endings: Endings,
        on_verdict: cabc.Callable[[VerdictChange], None],
        clock: Clock,
    ) -> None:
        self.clock = CorrectedClock(clock=clock, time=time)
        self.notes = NoteStore(clock=self.clock)
        self.exchange = NoteExchange(
            host=host, store=self.notes, heartbeats=heartbeats, links=links, clock=clock
        )
        heartbeats.add_listener(self.exchange.compare)
        self._leases = IsolationLeases(
            host=host,
            membership=membership,
            links=links,
            clock=self.clock,
            hosts=heartbeats.coordinators,
            timeout_s=LEASE_TIMEOUT_S,
        )
        self._guard = CrashGuard(
            host=host,
            note_store=self.notes,
            sharing=self.exchange,
            isolation_leases=self._leases,
            quarantines=SharedNotesOnly(),
            upstreams=directory.upstreams,
            on_released=lambda: None,  # no request waits for an upstream here
            clock=self.clock,
            isolate_after=ISOLATE_AFTER_DEATHS,
            settle_s=0.0,
        )
        notes = CrashNotes(note_store=self.notes, sharing=self.exchange, clock=self.clock)
        self._parts = PartGuard(
            host=host,
            notes=notes,
            clock=self.clock,
            on_explained=self._guard.note_explained,
            on_change=on_verdict,
            may_try=lambda name: rank(name, {host, *membership.all_entries()})[0] == host,
        )
        self.notes.add_listener(self._parts.note_changed)
        self.screening = Screening(
            guard=self._guard,
            parts=self._parts,
            directory=directory,
            endings=endings,
            clock=self.clock,
        )

    def serve(self, server: PeerServer) -> None:
        """Register the handlers of other hosts' calls."""
        server.handle(NotesCall, self.exchange.handle)
        server.handle(IsolationLeaseCall, self._leases.handle_call)

    def components(
        self,
        *,
        log: KeyedLog,
        options: ReadOptions,
        add_check: cabc.Callable[[cabc.Callable[[], None]], None],
        rng: random.Random,
    ) -> list[Component]:
        """Return the components to run, with one that keeps suspects in the store.

        :param options: how the stream of suspects is read.
        :param add_check: registers what wakes the reader, see ``ReadOptions.is_woken``.
        """
        follower = SuspectFollower(
            log=log,
            options=options,
            store=self.notes,
            exchange=self.exchange,
            clock=self.clock,
            rng=rng,
        )
        add_check(follower.check_turn)
        return [self.exchange, follower, self._guard, self._parts, self.screening]
