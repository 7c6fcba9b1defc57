"""Isolated runs, each of one suspect request alone on an upstream."""

import asyncio
import collections.abc as cabc
import dataclasses
import typing as t

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.crashes.leases import LEASE_RENEWAL_S
from cassiawalk.crashes.leases import IsolationLeaseCall
from cassiawalk.crashes.leases import IsolationLeases
from cassiawalk.crashes.notes import CrashNotes
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteTopic
from cassiawalk.requests import RequestRecord
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView

ENDED_RUN_RETENTION_S = 600.0


class IsolatedRuns(Component):
    """The isolated runs of this host; it has at most one at a time.

    :param is_quarantined: returns whether a request is quarantined.
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        notes: CrashNotes,
        isolation_leases: IsolationLeases,
        clock: Clock,
        is_quarantined: cabc.Callable[[RequestRecord], bool],
    ) -> None:
        self._table = table
        self._notes = notes
        self._leases = isolation_leases
        self._clock = clock
        self._is_quarantined = is_quarantined
        self._slot = asyncio.Semaphore(1)
        self._own_runs: dict[Fingerprint, UpstreamId] = {}
        self._contested: set[UpstreamId] = set()

    async def try_acquire(
        self, record: RequestRecord, fingerprint: Fingerprint
    ) -> "IsolatedRun | None":
        """Return an isolated run for the request, or None if it can't run in isolation now."""
        if self._slot.locked():
            return None
        await self._slot.acquire()
        call = IsolationLeaseCall(fingerprint=fingerprint, request_id=record.request_id)
        granted = False
        try:
            reply = await self._leases.request(call)
            granted = reply.granted
            if reply.convicted:
                self._notes.put_local(NoteTopic.QUARANTINE, fingerprint)
        finally:
            if not granted:
                self._slot.release()
        return IsolatedRun(runs=self, record=record, call=call) if granted else None

    def runs_alone_here(self, fingerprint: Fingerprint, upstream: UpstreamId) -> bool:
        """Return whether this host runs the request on the upstream without another suspect.

        Hosts with different views of the membership may each be granted a lease on the upstream;
        its death then is no evidence against either request.
        """
        return self._own_runs.get(fingerprint) == upstream and upstream not in self._contested

    def note_run(self, note: Note) -> None:
        """Take into account that a host announced an isolated run."""
        upstream = UpstreamId(note.name)
        own = [fingerprint for fingerprint, where in self._own_runs.items() if where == upstream]
        if own and note.items and not set(note.items) <= set(own):
            self._contested.add(upstream)

    def announced_fingerprints(self, upstream: UpstreamId) -> tuple[str, ...]:
        """Return the fingerprints of the isolated runs that are announced on an upstream."""
        return self._notes.items(NoteTopic.ISOLATED_RUN, upstream)

    def occupied(self, pool: PoolName) -> frozenset[UpstreamId]:
        """Return the upstreams of a pool that run requests, as far as this host knows."""
        return frozenset(
            view.upstream_id
            for view in self._table.in_pool(pool)
            if view.own_running or self.announced_fingerprints(view.upstream_id)
        )

    async def begin(
        self, record: RequestRecord, call: IsolationLeaseCall, view: UpstreamView
    ) -> bool:
        """Reserve an upstream on this host for the request, and announce the run to all hosts.

        Return False if another host runs a suspect request there, because a death of the upstream
        would then be no evidence against either request.
        """
        if not (await self._leases.request(_upstream_call(call, view))).granted:
            return False
        view.reserved_for = record.request_id
        self._contested.discard(view.upstream_id)
        if set(self.announced_fingerprints(view.upstream_id)) - {call.fingerprint}:
            self._contested.add(view.upstream_id)
        self._own_runs[call.fingerprint] = view.upstream_id
        left_s = max(0.0, record.deadline_s - self._clock.wall())
        try:
            await self._notes.share(
                NoteTopic.ISOLATED_RUN, view.upstream_id, keep_s=left_s, items=(call.fingerprint,)
            )
        except asyncio.CancelledError:
            view.reserved_for = None
            self._own_runs.pop(call.fingerprint, None)
            raise
        return True

    async def end(self, call: IsolationLeaseCall, view: UpstreamView) -> None:
        """End the reservation of the upstream and release the lease on it."""
        view.reserved_for = None
        self._own_runs.pop(call.fingerprint, None)
        await self._notes.share(
            NoteTopic.ISOLATED_RUN, view.upstream_id, keep_s=ENDED_RUN_RETENTION_S
        )
        await self._leases.request(dataclasses.replace(_upstream_call(call, view), release=True))
        self._table.notify()

    async def release(self, record: RequestRecord, call: IsolationLeaseCall) -> None:
        """Release the request's lease, and report to its owner if the request was quarantined."""
        self._slot.release()
        convicted = self._is_quarantined(record)
        await self._leases.request(dataclasses.replace(call, release=True, convicted=convicted))

    async def renew(self, run: "IsolatedRun") -> t.NoReturn:
        """Renew the leases of a run until the task is cancelled."""
        while True:
            await self._clock.sleep(LEASE_RENEWAL_S)
            await self._leases.request(run.call)
            if run.view is not None:
                await self._leases.request(_upstream_call(run.call, run.view))


def _upstream_call(call: IsolationLeaseCall, view: UpstreamView) -> IsolationLeaseCall:
    """Return the call for the lease on an upstream."""
    return dataclasses.replace(call, fingerprint=Fingerprint(f"upstream {view.upstream_id}"))


class IsolatedRun:
    """The right to run one suspect request in isolation.

    Use it as an asynchronous context manager, which renews the leases and releases them at the end.
    """

    def __init__(
        self, *, runs: IsolatedRuns, record: RequestRecord, call: IsolationLeaseCall
    ) -> None:
        self._runs = runs
        self._record = record
        self.call = call
        self.view: UpstreamView | None = None
        self._renewal: asyncio.Task[t.NoReturn] | None = None

    async def __aenter__(self) -> "IsolatedRun":
        name = f"isolated-run-{self._record.request_id}"
        self._renewal = self._runs.spawn(self._runs.renew(self), name=name)
        return self

    async def __aexit__(self, *args: object) -> None:
        if self._renewal is not None:
            self._renewal.cancel()
        try:
            await self._release_upstream()
        finally:
            await self._runs.release(self._record, self.call)

    def occupied(self, pool: PoolName) -> frozenset[UpstreamId]:
        """Return the upstreams of a pool that should be avoided, as they run other requests."""
        return self._runs.occupied(pool)

    async def reserve(self, view: UpstreamView) -> bool:
        """Reserve an upstream for the request in place of the previous one.

        Return False if another host runs a suspect request there.
        """
        if self.view is view:
            return True
        await self._release_upstream()
        if not await self._runs.begin(self._record, self.call, view):
            return False
        self.view = view
        return True

    async def _release_upstream(self) -> None:
        view, self.view = self.view, None
        if view is not None:
            await self._runs.end(self.call, view)
