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
from cassiawalk.crashes.subjects import GuardedRequest
from cassiawalk.crashes.subjects import GuardedUpstream
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import UpstreamId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteTopic

ENDED_RUN_RETENTION_S = 600.0
JUDGEMENT_S = 10.0  # from a request's deadline until it is known whether its upstream died


class IsolatedRuns(Component):
    """The isolated runs of this host; it has at most one at a time.

    :param upstreams: returns the upstreams that this host knows.
    :param on_released: called when an upstream is no longer reserved.
    :param is_quarantined: returns whether a request is quarantined.
    """

    def __init__(
        self,
        *,
        upstreams: cabc.Callable[[], cabc.Iterable[GuardedUpstream]],
        on_released: cabc.Callable[[], None],
        notes: CrashNotes,
        isolation_leases: IsolationLeases,
        clock: Clock,
        is_quarantined: cabc.Callable[[GuardedRequest], bool],
    ) -> None:
        self._upstreams = upstreams
        self._on_released = on_released
        self._notes = notes
        self._leases = isolation_leases
        self._clock = clock
        self._is_quarantined = is_quarantined
        self._slot = asyncio.Semaphore(1)
        self._own_runs: dict[Fingerprint, str] = {}
        self._contested: set[str] = set()

    async def try_acquire(self, request: GuardedRequest, *, limit_s: float) -> "IsolatedRun | None":
        """Return an isolated run for the request, or None if it can't run in isolation now.

        :param limit_s: the time that is left until the request's deadline, in seconds.
        """
        fingerprint = request.fingerprint
        if self._slot.locked():
            return None
        await self._slot.acquire()
        call = IsolationLeaseCall(fingerprint=fingerprint, request_id=request.request_id)
        granted = False
        try:
            reply = await self._leases.request(call)
            granted = reply.granted
            if reply.convicted:
                self._notes.put_local(NoteTopic.QUARANTINE, fingerprint)
        finally:
            if not granted:
                self._slot.release()
        if not granted:
            return None
        return IsolatedRun(
            runs=self, request=request, call=call, ends_at=self._clock.monotonic() + limit_s
        )

    def runs_alone_here(self, fingerprint: Fingerprint, process: str) -> bool:
        """Return whether this host runs the request on the upstream without another suspect.

        Hosts with different views of the membership may each be granted a lease on the upstream;
        its death then is no evidence against either request.
        """
        return self._own_runs.get(fingerprint) == process and process not in self._contested

    def note_run(self, note: Note) -> None:
        """Take into account that a host announced an isolated run."""
        process = note.name
        own = [fingerprint for fingerprint, where in self._own_runs.items() if where == process]
        if own and note.items and not set(note.items) <= set(own):
            self._contested.add(process)

    def announced_fingerprints(self, process: str) -> tuple[str, ...]:
        """Return the fingerprints of the isolated runs that are announced on an upstream."""
        return self._notes.items(NoteTopic.ISOLATED_RUN, process)

    def occupied(self) -> frozenset[UpstreamId]:
        """Return the upstreams that run requests, as far as this host knows."""
        return frozenset(
            upstream.upstream_id
            for upstream in self._upstreams()
            if upstream.is_busy or self.announced_fingerprints(upstream.process)
        )

    async def begin(self, run: "IsolatedRun", upstream: GuardedUpstream) -> bool:
        """Reserve an upstream on this host for the request, and announce the run to all hosts.

        Return False if another host runs a suspect request there, because a death of the upstream
        would then be no evidence against either request.
        """
        call, process = run.call, upstream.process
        if not (await self._leases.request(_upstream_call(call, upstream))).granted:
            return False
        upstream.reserved_for = call.request_id
        self._contested.discard(process)
        if set(self.announced_fingerprints(process)) - {call.fingerprint}:
            self._contested.add(process)
        self._own_runs[call.fingerprint] = process
        left_s = max(0.0, run.ends_at - self._clock.monotonic())
        keep_s = left_s + JUDGEMENT_S
        announced = self._notes.new(
            NoteTopic.ISOLATED_RUN, process, keep_s=keep_s, items=(call.fingerprint,)
        )
        try:
            await self._notes.share([announced])
        except asyncio.CancelledError:
            upstream.reserved_for = None
            self._own_runs.pop(call.fingerprint, None)
            raise
        return True

    async def end(self, call: IsolationLeaseCall, upstream: GuardedUpstream) -> None:
        """End the reservation of the upstream and release the lease on it."""
        upstream.reserved_for = None
        self._own_runs.pop(call.fingerprint, None)
        ended = self._notes.new(
            NoteTopic.ISOLATED_RUN, upstream.process, keep_s=ENDED_RUN_RETENTION_S
        )
        await self._notes.share([ended])
        released = dataclasses.replace(_upstream_call(call, upstream), release=True)
        await self._leases.request(released)
        self._on_released()

    async def release(self, request: GuardedRequest, call: IsolationLeaseCall) -> None:
        """Release the request's lease, and report to its owner if the request was quarantined."""
        self._slot.release()
        convicted = self._is_quarantined(request)
        await self._leases.request(dataclasses.replace(call, release=True, convicted=convicted))

    async def renew(self, run: "IsolatedRun") -> t.NoReturn:
        """Renew the leases of a run until the task is cancelled."""
        while True:
            await self._clock.sleep(LEASE_RENEWAL_S)
            await self._leases.request(run.call)
            if run.upstream is not None:
                await self._leases.request(_upstream_call(run.call, run.upstream))


def _upstream_call(call: IsolationLeaseCall, upstream: GuardedUpstream) -> IsolationLeaseCall:
    """Return the call for the lease on an upstream."""
    return dataclasses.replace(call, fingerprint=Fingerprint(f"upstream {upstream.process}"))


class IsolatedRun:
    """The right to run one suspect request in isolation.

    Use it as an asynchronous context manager, which renews the leases and releases them at the end.

    :param ends_at: the request's deadline, in monotonic seconds.
    """

    def __init__(
        self,
        *,
        runs: IsolatedRuns,
        request: GuardedRequest,
        call: IsolationLeaseCall,
        ends_at: float,
    ) -> None:
        self._runs = runs
        self._request = request
        self.call = call
        self.ends_at = ends_at
        self.upstream: GuardedUpstream | None = None
        self._renewal: asyncio.Task[t.NoReturn] | None = None

    def start(self) -> None:
        """Start to renew the leases."""
        name = f"isolated-run-{self._request.request_id}"
        self._renewal = self._runs.spawn(self._runs.renew(self), name=name)

    async def close(self) -> None:
        """Release the upstream and the leases."""
        if self._renewal is not None:
            self._renewal.cancel()
        try:
            await self._release_upstream()
        finally:
            await self._runs.release(self._request, self.call)

    async def __aenter__(self) -> "IsolatedRun":
        self.start()
        return self

    async def __aexit__(self, *args: object) -> None:
        await self.close()

    def occupied(self) -> frozenset[UpstreamId]:
        """Return the upstreams that should be avoided, as they run other requests."""
        return self._runs.occupied()

    async def reserve(self, upstream: GuardedUpstream) -> bool:
        """Reserve an upstream for the request in place of the previous one.

        Return False if another host runs a suspect request there.
        """
        if self.upstream is upstream:
            return True
        await self._release_upstream()
        if not await self._runs.begin(self, upstream):
            return False
        self.upstream = upstream
        return True

    async def _release_upstream(self) -> None:
        upstream, self.upstream = self.upstream, None
        if upstream is not None:
            await self._runs.end(self.call, upstream)
