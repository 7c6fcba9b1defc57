"""Runs of suspect requests alone on an upstream."""

import asyncio
import collections.abc as cabc
import dataclasses
import typing as t

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.crashes.leases import TURN_RENEWAL_S
from cassiawalk.crashes.leases import IsolationLeaseCall
from cassiawalk.crashes.leases import IsolationLeases
from cassiawalk.crashes.notes import NoteWriter
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteTopic
from cassiawalk.requests import RequestRecord
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView

ENDED_RUN_KEPT_S = 600.0


class IsolatedRuns(Component):
    """The suspect request that this host runs alone; there is at most one at a time.

    :param is_convicted: returns whether a request is quarantined.
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        notes: NoteWriter,
        isolation_leases: IsolationLeases,
        clock: Clock,
        is_convicted: cabc.Callable[[RequestRecord], bool],
    ) -> None:
        self._table = table
        self._notes = notes
        self._leases = isolation_leases
        self._clock = clock
        self._is_convicted = is_convicted
        self._slot = asyncio.Semaphore(1)
        self._here: dict[Fingerprint, UpstreamId] = {}
        self._shared: set[UpstreamId] = set()

    async def take(self, record: RequestRecord, fingerprint: Fingerprint) -> "IsolatedRun | None":
        """Return the right to run the request alone now, or None."""
        if self._slot.locked():
            return None
        await self._slot.acquire()
        call = IsolationLeaseCall(fingerprint=fingerprint, request_id=record.request_id)
        granted = False
        try:
            reply = await self._leases.ask(call)
            granted = reply.granted
            if reply.convicted:
                self._notes.put(NoteTopic.QUARANTINE, fingerprint)
        finally:
            if not granted:
                self._slot.release()
        return IsolatedRun(runs=self, record=record, call=call) if granted else None

    def runs_here(self, fingerprint: Fingerprint, upstream: UpstreamId) -> bool:
        """Return whether this host runs the request on the upstream, and no host another suspect.

        Hosts whose views differ may each be granted the upstream; its death then tells nothing.
        """
        return self._here.get(fingerprint) == upstream and upstream not in self._shared

    def note_run(self, note: Note) -> None:
        """Take into account that a host announced a solo run."""
        upstream = UpstreamId(note.name)
        own = [fingerprint for fingerprint, where in self._here.items() if where == upstream]
        if own and note.items and not set(note.items) <= set(own):
            self._shared.add(upstream)

    def announced(self, upstream: UpstreamId) -> tuple[str, ...]:
        """Return the fingerprint that some host announced as running alone on an upstream."""
        return self._notes.items(NoteTopic.ISOLATED_RUN, upstream)

    def occupied(self, pool: PoolName) -> frozenset[UpstreamId]:
        """Return the upstreams of a pool that run something already, as far as this host knows."""
        return frozenset(
            view.upstream_id
            for view in self._table.in_pool(pool)
            if view.own_running or self.announced(view.upstream_id)
        )

    async def begin(
        self, record: RequestRecord, call: IsolationLeaseCall, view: UpstreamView
    ) -> bool:
        """Keep other requests of this host from an upstream, and announce the run to all hosts.

        Return False if another host runs a suspect there: a death would tell nothing about either.
        """
        if not (await self._leases.ask(_upstream_call(call, view))).granted:
            return False
        view.reserved_for = record.request_id
        self._shared.discard(view.upstream_id)
        if set(self.announced(view.upstream_id)) - {call.fingerprint}:
            self._shared.add(view.upstream_id)
        self._here[call.fingerprint] = view.upstream_id
        left_s = max(0.0, record.deadline_s - self._clock.wall())
        try:
            await self._notes.share(
                NoteTopic.ISOLATED_RUN, view.upstream_id, keep_s=left_s, items=(call.fingerprint,)
            )
        except asyncio.CancelledError:
            view.reserved_for = None
            self._here.pop(call.fingerprint, None)
            raise
        return True

    async def end(self, call: IsolationLeaseCall, view: UpstreamView) -> None:
        """Let other requests use the upstream again."""
        view.reserved_for = None
        self._here.pop(call.fingerprint, None)
        await self._notes.share(NoteTopic.ISOLATED_RUN, view.upstream_id, keep_s=ENDED_RUN_KEPT_S)
        await self._leases.ask(dataclasses.replace(_upstream_call(call, view), release=True))
        self._table.notify()

    async def give_back(self, record: RequestRecord, call: IsolationLeaseCall) -> None:
        """End the turn, and tell the granting host if the request was convicted in it."""
        self._slot.release()
        convicted = self._is_convicted(record)
        await self._leases.ask(dataclasses.replace(call, release=True, convicted=convicted))

    async def renew(self, ticket: "IsolatedRun") -> t.NoReturn:
        """Renew a ticket's turns until the task is cancelled."""
        while True:
            await self._clock.sleep(TURN_RENEWAL_S)
            await self._leases.ask(ticket.call)
            if ticket.view is not None:
                await self._leases.ask(_upstream_call(ticket.call, ticket.view))


def _upstream_call(call: IsolationLeaseCall, view: UpstreamView) -> IsolationLeaseCall:
    """Return the call for the turn on an upstream."""
    return dataclasses.replace(call, fingerprint=Fingerprint(f"upstream {view.upstream_id}"))


class IsolatedRun:
    """The right to run one suspect request alone; an asynchronous context manager."""

    def __init__(
        self, *, runs: IsolatedRuns, record: RequestRecord, call: IsolationLeaseCall
    ) -> None:
        self._runs = runs
        self._record = record
        self.call = call
        self.view: UpstreamView | None = None
        self._renewal: asyncio.Task[t.NoReturn] | None = None

    async def __aenter__(self) -> "IsolatedRun":
        name = f"solo-{self._record.request_id}"
        self._renewal = self._runs.spawn(self._runs.renew(self), name=name)
        return self

    async def __aexit__(self, *args: object) -> None:
        if self._renewal is not None:
            self._renewal.cancel()
        try:
            await self._leave()
        finally:
            await self._runs.give_back(self._record, self.call)

    def occupied(self, pool: PoolName) -> frozenset[UpstreamId]:
        """Return the upstreams of a pool that the request had better not share."""
        return self._runs.occupied(pool)

    async def reserve(self, view: UpstreamView) -> bool:
        """Take an upstream for the request alone, in place of the one before.

        Return False if another suspect request runs there.
        """
        if self.view is view:
            return True
        await self._leave()
        if not await self._runs.begin(self._record, self.call, view):
            return False
        self.view = view
        return True

    async def _leave(self) -> None:
        view, self.view = self.view, None
        if view is not None:
            await self._runs.end(self.call, view)
